"""Steps on engines that break responses off, or put errors into streams."""

import asyncio
import re

from behave import given, then, when
from tools.rawclient import encode_request
from tools.sharedcaller import make_headers
from tools.sharedcluster import make_configuration

from features.steps.edge_steps import list_all_runs, start_cluster
from features.steps.enginecut_steps import send_one
from features.steps.stream_steps import find_backup, find_engine

ATTEMPT = 7
EVENTS = re.compile(rb"(id: \d+\ndata: \d+\.[0-9a-f]{16}\n\n)*")
# The other engines are refusing meanwhile, so that the broken answer comes next.
REFUSING_S = 0.7
CUT_S = 60.0
READ_TIMEOUT_S = 12.0
CALLS = 6


def list_engines(context, prefix):
    return [name for name in context.world.cluster.urls if name.startswith(prefix)]


async def start_host(context, prefix, path, has_copies=False):
    """Start edges and engines; the first edge can be cut off from the engines."""
    edges = 2 if path == "through a peer" else 1
    await start_cluster(context, edges, 3, zones=3, slots=64)
    cluster = context.world.cluster
    if not has_copies:
        configuration = make_configuration(version=2)
        for service in configuration["services"]:
            if "engine" in service:
                service["engine"].update(backups=False, moves=False)
        await cluster.put_configuration(configuration)
        await context.world.wait_until(
            lambda: has_revision(context, 2), "the configuration is in force"
        )
    if path == "through a peer":
        for name in list_engines(context, prefix):
            source = cluster.edges["edge-0"].address
            await cluster.inject(
                name, "cut", manner="reset", seconds=CUT_S, source=source
            )
        await wait_until_relayed(context, prefix)


async def has_revision(context, revision):
    """Return whether every edge has a revision of the configuration in force."""
    for name in context.world.cluster.edges:
        url = context.world.cluster.get_metrics_url(name)
        async with context.world.session.get(url) as response:
            found = re.search(
                r"^sapphirerock_configuration_revision (\d+)",
                await response.text(),
                re.MULTILINE,
            )
        if found is None or int(found[1]) < revision:
            return False
    return True


async def wait_until_relayed(context, prefix):
    """Send calls until the first edge serves a few in a row through its peer."""
    edge = context.world.cluster.edges["edge-0"]
    context.results, context.started_s = [], 0.0
    kind = "stream" if prefix == "model-" else "stock"

    async def is_relayed():
        first = len(context.results)
        for number in range(4):
            await send_one(context, edge, 1000 + first + number, kind)
        return all(result.is_served for result in context.results[first:])

    await context.world.wait_until(is_relayed, "calls are relayed")


@given("a host that reaches 3 model engines {path}, and {copies} of runs")
def start_streaming_host(context, path, copies):
    context.run(start_host(context, "model-", path, copies == "copies"))


@given("a host that reaches 3 plain engines {path}")
def start_plain_host(context, path):
    context.run(start_host(context, "shop-", path))


class OneStreamCaller:
    """Caller that reads one stream to the end of its connection or its framing.

    Parameters
    ----------
    edge : PlannedEdge
        Edge to call.
    events : int
        Number of events of the stream.
    protocol : str
        Protocol version of the request.

    Attributes
    ----------
    status : int
        Status of the response; 0 before it has begun.
    body : bytes
        Body received so far, without chunk framing.
    is_complete : bool
        Whether the framing or the end of the connection shows a complete body.
    """

    def __init__(self, edge, events, protocol="HTTP/1.1"):
        self.status = 0
        self.body = b""
        self.is_complete = False
        self.event_count = events
        self._edge = edge
        self._protocol = protocol
        self.task = asyncio.ensure_future(self._read())

    async def _read(self):
        reader, writer = await asyncio.open_connection(
            self._edge.address, self._edge.caller_port
        )
        headers = make_headers(ATTEMPT, self.event_count)
        request = encode_request("POST", "/review/7", headers, b"pattern")
        writer.write(request.replace(b"HTTP/1.1", self._protocol.encode(), 1))
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                self.status = int(head.split()[1])
                if b"transfer-encoding: chunked" in head.lower():
                    assert self._protocol == "HTTP/1.1", head
                    await self._read_chunks(reader)
                else:
                    await self._read_to_end(reader, head)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            writer.close()

    async def _read_chunks(self, reader):
        while size := int(await reader.readline(), 16):
            self.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        self.is_complete = True

    async def _read_to_end(self, reader, head):
        found = re.search(rb"content-length: (\d+)", head.lower())
        if found:
            self.body = await reader.readexactly(int(found[1]))
        else:
            while data := await reader.read(1 << 16):
                self.body += data
        self.is_complete = True

    @property
    def events(self):
        """Ids of the events received so far."""
        return [int(text) for text in re.findall(rb"^id: (\d+)$", self.body, re.M)]

    async def wait_events(self, count):
        """Wait until a number of events has arrived."""
        async with asyncio.timeout(READ_TIMEOUT_S):
            while len(self.events) < count:
                assert not self.task.done(), (self.status, self.body)
                await asyncio.sleep(0.01)


def start_caller(context, events, protocol="HTTP/1.1"):
    edge = context.world.cluster.edges["edge-0"]
    context.caller = OneStreamCaller(edge, events, protocol)
    return context.caller


@when(
    "a stream of {events:d} events breaks off after {count:d}, and the next engine "
    "answers with {answer}"
)
def break_once(context, events, count, answer):
    cluster = context.world.cluster

    async def run():
        caller = start_caller(context, events)
        await caller.wait_events(count)
        engine, engine_run = await find_engine(context, f"{ATTEMPT:016x}")
        others = [name for name in list_engines(context, "model-") if name != engine]
        if "Sapphirerock-Kv-Backup" in engine_run["headers"]:
            backup = await find_backup(context, engine_run)
            others.sort(key=lambda name: name != backup)
        await cluster.inject(others[0], "spoil", manner=answer, amount=1)
        await cluster.inject(others[1], "down", manner="busy", seconds=REFUSING_S)
        await cluster.inject(engine, "reset-connections")
        await caller.task
        answered = await cluster.read_engine(others[0])
        assert [run["ended"] for run in answered["runs"]][-1] == "broken", answered

    context.run(run())


@when(
    "a stream of {events:d} events breaks off after {count:d}, and all engines answer "
    "{protocol} callers with {answer}"
)
def break_for_good(context, events, count, protocol, answer):
    cluster = context.world.cluster

    async def run():
        caller = start_caller(context, events, protocol)
        await caller.wait_events(count)
        engine, _ = await find_engine(context, f"{ATTEMPT:016x}")
        for name in list_engines(context, "model-"):
            await cluster.inject(name, "spoil", manner=answer, amount=9)
        await cluster.inject(engine, "reset-connections")
        await caller.task

    context.run(run())


@when("a stream of {events:d} events is read by a caller of {protocol:S}")
def read_one_stream(context, events, protocol):
    async def run():
        await start_caller(context, events, protocol).task

    context.run(run())


@when(
    "a stream of {events:d} events is read by a caller of {protocol:S}, and after "
    "{count:d} the host is killed"
)
def kill_host(context, events, protocol, count):
    async def run():
        caller = start_caller(context, events, protocol)
        await caller.wait_events(count)
        context.world.cluster.processes["edge-0"].kill()
        await caller.task

    context.run(run())


@when(
    "a stream of {events:d} events is sent, and {count:d} engines answer with {answer}"
)
def break_first(context, events, count, answer):
    async def run():
        for name in list_engines(context, "model-")[:count]:
            await context.world.cluster.inject(name, "spoil", manner=answer, amount=1)
        await start_caller(context, events).task

    context.run(run())


@then("the caller gets a failure, and nothing of what the engines sent")
def check_failure(context):
    caller = context.caller
    assert caller.status in (502, 503), (caller.status, caller.body)
    assert b"upstream request failed" not in caller.body, caller.body


@then("the caller got all events once and in order, and nothing else")
def check_whole(context):
    caller = context.caller
    expected = list(range(1, caller.event_count + 1))
    assert caller.status == 200, (caller.status, caller.body)
    assert EVENTS.fullmatch(caller.body), caller.body[-400:]
    assert caller.events == expected, caller.events
    assert caller.is_complete


@then(
    "the caller got the first events in order, and nothing else, and sees that they "
    "are not all"
)
def check_incomplete(context):
    caller = context.caller
    assert caller.status == 200, (caller.status, caller.body)
    assert EVENTS.match(caller.body).end() == len(caller.body), caller.body[-400:]
    count = len(caller.events)
    assert caller.events == list(range(1, count + 1)), caller.events
    assert 10 <= count < caller.event_count, count
    assert not caller.is_complete, "the stream looks complete"


@when("orders are sent, and all engines answer with {answer}")
def send_orders(context, answer):
    cluster = context.world.cluster

    async def run():
        for name in list_engines(context, "shop-"):
            await cluster.inject(name, "spoil", manner=answer, amount=CALLS)
        context.results, context.started_s = [], 0.0
        for number in range(CALLS):
            await send_one(context, cluster.edges["edge-0"], number, "order")

    context.run(run())


@then("no order is answered as a success or as not run, and each ran at most once")
def check_orders(context):
    statuses = [result.status for result in context.results]
    assert set(statuses) <= {0, 502, 504}, statuses
    runs = [
        run["attempt_id"]
        for run in context.run(list_all_runs(context))
        if run["target"].startswith("/order/")
    ]
    assert len(runs) == len(set(runs)) == CALLS, runs
