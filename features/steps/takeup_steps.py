"""Steps on streams that callers take up after their host has died."""

import asyncio

from behave import given, then, when
from tools.rawclient import RawConnection, RawResponse
from tools.sharedcaller import make_headers
from tools.sharedcluster import SharedCluster, make_configuration

from features.steps.edge_steps import has_engines
from sapphirerock.decisions.streamversions import (
    KvBackup,
    StreamOrigin,
    choose_copy,
    is_copied_request,
)
from sapphirerock.process.peers.streamorigins import CONTENT_BYTES, make_key

ENGINES = 4
EVENT_INTERVAL_MS = 15
BODY = b"pattern"
TARGET = "/review/1"
FIRST_NUMBER = 1
FIRST_RUN = (("Resumes", f"{FIRST_NUMBER:016x}"),)
UNKNOWN_RUN = (("Resumes", "f" * 16),)
# What a caller that takes its stream up twice names, by the text in the feature.
NAMED_ATTEMPTS = {
    "the first attempt": (FIRST_RUN, FIRST_RUN),
    "the attempt before": (FIRST_RUN, (("Resumes", f"{2:016x}"),)),
    "no attempt": ((), ()),
}
# Time at which another caller sends the same request, from the first one's, in seconds;
# None if it is sent just before the host is killed.
OFFSETS_S = {
    "sends the same 0.3 s later": 0.3,
    "sent the same 0.3 s earlier": -0.3,
    "sends the same 20 ms before the kill": None,
}
NAMINGS = {
    "takes its stream up and names no attempt": (),
    "takes its stream up and names the attempt": FIRST_RUN,
    "names an attempt that no host knows": UNKNOWN_RUN,
}
OTHER_NUMBER = 9
BEFORE_KILL_S = 0.02
# Hubs send records on each 0.1 s, to hosts of their zone and to other hubs.
RECORD_SPREAD_S = 0.5
COPY_HEADER = "Kv-From"
TIMEOUT_MS = 30_000


@given("a shared platform with {edges:d} edges and 4 model engines in one zone")
def start_hosts(context, edges):
    async def run():
        world = context.world
        world.cluster = cluster = SharedCluster("takeups")
        cluster.add_platform()
        await cluster.wait_ready("platform")
        for number in range(edges):
            cluster.plan_edge(f"edge-{number}", "zone-a", "region-a")
        for number in range(ENGINES):
            cluster.add_shared_engine(f"model-{number}", "model", "zone-a")
        document = make_configuration()
        document["routes"][0]["timeout_ms"] = TIMEOUT_MS
        await cluster.put_configuration(document)
        for name in cluster.edges:
            cluster.start_edge(name)
        await cluster.wait_edges_ready()
        await world.wait_until(
            lambda: has_engines(context, ENGINES), "engines are registered"
        )
        context.take_ups = []

    context.run(run())


async def find_run(context, number):
    """Return the engine of an attempt and its run."""
    runs = await context.world.cluster.list_runs()
    return next(
        (engine, run)
        for engine, items in runs.items()
        for run in items
        if run["attempt_id"] == f"{number:016x}"
    )


@when(
    "a stream of {events:d} events is read up to event {last:d}, and its host is killed"
)
def read_and_kill(context, events, last):
    async def run():
        context.events = events
        context.first = RawResponse()
        headers = make_headers(FIRST_NUMBER, events, timeout_ms=TIMEOUT_MS)
        cluster = context.world.cluster
        async with RawConnection(cluster.edges["edge-0"]) as connection:
            connection.send("POST", TARGET, headers, BODY)
            await connection.read_first_events(context.first, last)
            context.engine, begun = await find_run(context, FIRST_NUMBER)
            context.backup_address = begun["headers"]["Sapphirerock-Kv-Backup"]
            cluster.processes["edge-0"].kill()

    context.run(run())


def make_take_up_headers(context, number, resumed=FIRST_RUN):
    last = ("Last-Event-Id", str(context.first.events[-1]))
    return make_headers(number, context.events, last, *resumed, timeout_ms=TIMEOUT_MS)


async def take_up(context, edge, number, body=BODY, resumed=FIRST_RUN):
    """Take the stream up at an edge and keep its response."""
    headers = make_take_up_headers(context, number, resumed)
    async with RawConnection(context.world.cluster.edges[edge]) as connection:
        connection.send("POST", TARGET, headers, body)
        response = await connection.read_response(TIMEOUT_MS / 1000)
    context.take_ups.append(response)


@when("its caller takes it up")
def take_up_at_once(context):
    context.run(take_up(context, "edge-1", 2))


@when("its caller takes it up without the id of its first attempt")
def take_up_without_id(context):
    context.run(take_up(context, "edge-1", 2, resumed=()))


@when("its caller takes it up with the id of an attempt that no host knows")
def take_up_with_unknown_id(context):
    context.run(take_up(context, "edge-1", 2, resumed=UNKNOWN_RUN))


@when(
    "its caller takes it up twice, since the second host is killed too, and names "
    "{naming}"
)
def take_up_twice_in_turn(context, naming):
    second, third = NAMED_ATTEMPTS[naming]

    async def run():
        cluster = context.world.cluster
        async with RawConnection(cluster.edges["edge-1"]) as connection:
            headers = make_take_up_headers(context, 2, second)
            connection.send("POST", TARGET, headers, BODY)
            response = RawResponse()
            await connection.read_first_events(response, 60)
            cluster.processes["edge-1"].kill()
        context.first = response
        await take_up(context, "edge-2", 3, resumed=third)

    context.run(run())


@when("its caller takes it up after the engine with the copy has crashed")
def take_up_without_copy(context):
    async def run():
        cluster = context.world.cluster
        backup = next(
            name
            for name, url in cluster.urls.items()
            if url == f"http://{context.backup_address}"
        )
        await cluster.inject(backup, "crash")
        await take_up(context, "edge-1", 2)

    context.run(run())


@when("it is taken up with another body")
def take_up_other_body(context):
    context.run(take_up(context, "edge-1", 2, b"another pattern"))


@when("it is taken up at two hosts at once")
def take_up_twice(context):
    async def run():
        await asyncio.gather(
            take_up(context, "edge-1", 2), take_up(context, "edge-2", 3)
        )

    context.run(run())


@then("the take-ups read {prompts:d} prompts and {result}")
def check_take_ups(context, prompts, result):
    runs = context.run(context.world.cluster.list_runs())
    first_id = f"{FIRST_NUMBER:016x}"
    take_ups = [
        run for items in runs.values() for run in items if run["attempt_id"] != first_id
    ]
    prefills = sum(bool(run["prefilled"]) for run in take_ups)
    copies = sum(COPY_HEADER in run["headers"] for run in take_ups)
    assert prefills == prompts, take_ups
    last = context.first.events[-1]
    expected = list(range(last + 1, context.events + 1))
    for response in context.take_ups:
        assert response.status == 200 and response.is_complete, response.status
        assert response.events == expected, response.events
    if result == "no engine goes on from its copy":
        assert copies == 0, take_ups
    if result == "one engine goes on from its copy":
        assert copies == 1, take_ups


@when(
    "a caller reads a stream, another caller {second}, and the first one's host is "
    "killed"
)
def read_beside_other_caller(context, second):
    async def read_other():
        headers = make_headers(OTHER_NUMBER, context.events, timeout_ms=TIMEOUT_MS)
        async with RawConnection(context.world.cluster.edges["edge-1"]) as connection:
            connection.send("POST", TARGET, headers, BODY)
            return await connection.read_response(TIMEOUT_MS / 1000)

    async def run():
        context.events, context.first = 300, RawResponse()
        cluster, offset_s = context.world.cluster, OFFSETS_S[second]
        other = None
        if offset_s is not None and offset_s < 0:
            other = asyncio.ensure_future(read_other())
            await asyncio.sleep(-offset_s)
        headers = make_headers(FIRST_NUMBER, context.events, timeout_ms=TIMEOUT_MS)
        async with RawConnection(cluster.edges["edge-0"]) as connection:
            connection.send("POST", TARGET, headers, BODY)
            if offset_s is not None and offset_s > 0:
                await asyncio.sleep(offset_s)
                other = asyncio.ensure_future(read_other())
            await connection.read_first_events(context.first, 60)
            if other is None:
                other = asyncio.ensure_future(read_other())
                await asyncio.sleep(BEFORE_KILL_S)
            cluster.processes["edge-0"].kill()
        context.other = other

    context.run(run())


@when("the first caller {take_up_text}")
def take_up_beside_other_caller(context, take_up_text):
    async def run():
        resumed = NAMINGS[take_up_text]
        # The other caller's record, if there is one, has reached this host.
        await asyncio.sleep(RECORD_SPREAD_S)
        await take_up(context, "edge-2", 2, resumed=resumed)
        response = await context.other
        assert response.status == 200 and response.is_complete, response.status

    context.run(run())


def list_copy_uses(context):
    """Return the attempt that each run began for, and the run that it copied."""
    runs = context.run(context.world.cluster.list_runs())
    return [
        (run["attempt_id"], run["headers"][COPY_HEADER].rpartition("/")[2])
        for items in runs.values()
        for run in items
        if COPY_HEADER in run["headers"]
    ]


@then("{copies:d} engine goes on from the copy of a run that the first caller has read")
def check_own_copies(context, copies):
    uses = list_copy_uses(context)
    own = [use for use in uses if use == (f"{2:016x}", f"{FIRST_NUMBER:016x}")]
    assert len(own) == copies, uses
    last = context.first.events[-1]
    response = context.take_ups[0]
    assert response.status == 200 and response.is_complete, response.status
    assert response.events == list(range(last + 1, context.events + 1))


@then("no engine goes on from the copy of another caller's run")
def check_no_other_copies(context):
    uses = list_copy_uses(context)
    others = [use for use in uses if f"{OTHER_NUMBER:016x}" in use]
    assert not others, uses


@then("it goes on at the engine that began it")
def check_same_engine(context):
    engine, _ = context.run(find_run(context, 2))
    assert engine == context.engine, (engine, context.engine)


CONTENT, OTHER_CONTENT = (bytes([number]) * CONTENT_BYTES for number in (1, 2))
COPY = KvBackup("copy", "1", CONTENT)
RECORDED = {
    "that of a run with a copy": StreamOrigin("chat", "v1", "engine", COPY),
    "that of a run without a copy": StreamOrigin("chat", "v1", "engine"),
    # Where a stream of an unknown attempt may go on.
    "unknown": StreamOrigin("chat", "v1"),
}
CONTENTS = {"is that of the run": CONTENT, "differs from the run's": OTHER_CONTENT}


@when(
    "the record of the stream that a caller names is {recorded}, and its request "
    "{content}"
)
def choose_recorded_copy(context, recorded, content):
    context.choice = choose_copy(RECORDED[recorded], CONTENTS[content])


@then("the stream goes on from {copy}, because of: {reason}")
def check_copy_choice(context, copy, reason):
    assert context.choice.reason == reason, context.choice
    assert context.choice.backup == (COPY if copy == "the copy" else None)


class RecordedStreams:
    """Writes the records of streams that begin, change and are taken up.

    Parameters
    ----------
    hosts : list of OriginHost
        The hosts.
    """

    def __init__(self, hosts):
        self._hosts = hosts

    def play(self, history):
        """Write the records that a text in a feature lists."""
        for step in history.split(", "):
            story, _, place = step.rpartition(" at ")
            host = next(
                host for host in self._hosts if host.hosts.own_address.host == place
            )
            number, verb, *rest = story.split(" ")
            if verb == "takes":
                self._take_up(host, number, rest[1], " ".join(rest[2:]))
            elif rest != ["unheard"]:
                # Otherwise no host gets the record.
                self._begin(host, number, verb)

    def _begin(self, host, number, verb):
        copy = KvBackup(f"copy-{verb}", number, CONTENT)
        host.table.record(number, StreamOrigin("chat", "v1", "engine", copy), 20.0)
        self._exchange()

    def _take_up(self, host, number, resumed, manner):
        content = OTHER_CONTENT if "another request" in manner else CONTENT
        copy = KvBackup("copy", number, content)
        if "without a copy" in manner:
            copy = None
        origin = StreamOrigin("chat", "v1", "engine", copy)
        known = host.table.find(resumed)
        stream = resumed if known is None or is_copied_request(known, content) else None
        host.table.record(number, origin, 20.0, stream)
        self._exchange()

    def _exchange(self):
        for _ in range(3):
            for host in self._hosts:
                host.table.send_pending()


@when("streams are recorded in this order: {history}")
def record_streams(context, history):
    RecordedStreams(context.hosts).play(history)


@then("every host knows the copy {copy} for stream 1")
def check_stream_copy(context, copy):
    expected = None if copy == "none" else copy.removeprefix("of ")
    backups = [host.table.find("1").kv_backup for host in context.hosts]
    found = [backup and backup.attempt_id for backup in backups]
    assert found == [expected] * len(context.hosts), found


@when("streams 1 and 2 begin on it, and {seconds:d} seconds later 1 is taken up")
def begin_and_take_up(context, seconds):
    table = context.host.table
    for number in ("1", "2"):
        copy = KvBackup("copy", number, CONTENT)
        table.record(number, StreamOrigin("chat", "v1", "engine", copy), 20.0)
    context.clock.advance(seconds)
    copy = KvBackup("copy", "3", CONTENT)
    table.record("3", StreamOrigin("chat", "v1", "engine", copy), 20.0, "1")


@then("{seconds:d} seconds later it has the record of 1, and none of 2")
def check_record_kept(context, seconds):
    table = context.host.table
    context.clock.advance(seconds)
    table._drop_expired()
    assert table.find("1").kv_backup.attempt_id == "3"
    assert make_key("2") not in table._records
