"""Steps on the shutdown, start, reload and log output of hosts."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import time
from collections import Counter
from contextlib import suppress

from aiohttp import web
from behave import given, then, when
from loguru import logger
from tools.localcluster import BIN
from tools.rawclient import RawConnection
from tools.sharedcaller import StreamCaller, make_headers
from tools.sharedcluster import SHUTDOWN_GRACE_S, SharedCluster, make_configuration

from features.steps.edge_steps import start_cluster
from features.steps.replica_steps import send_lookup
from sapphirerock.connection.callerload import CallerLoad
from sapphirerock.connection.ingress import CallerServer
from sapphirerock.connection.listener import open_listener
from sapphirerock.process.clock import ManualClock, SystemClock
from sapphirerock.process.settings.hostprofile import Endpoint
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics
from sapphirerock.process.telemetry.logs import LineSink
from sapphirerock.version.routing import CallerLimits

STOPPING_EDGE = "edge-0"
OTHER_EDGE = "edge-1"


@when("an edge gets SIGTERM while it relays streams and answers lookups")
def stop_busy_edge(context):
    cluster = context.world.cluster
    edge = cluster.edges[STOPPING_EDGE]

    async def run():
        context.callers = [StreamCaller(edge, 50 + n, 100) for n in range(4)]
        context.world.background_tasks = [caller.task for caller in context.callers]
        await asyncio.sleep(0.6)
        async with RawConnection(edge) as persistent:
            assert (
                await persistent.request("GET", "/stock/1", make_headers(1))
            ).status == 200
            context.started_s = time.monotonic()
            cluster.processes[STOPPING_EDGE].send_signal(signal.SIGTERM)
            await asyncio.sleep(0.15)
            context.readiness = [await cluster.is_edge_ready(STOPPING_EDGE)]
            context.lookups = [
                await persistent.request("GET", "/stock/2", make_headers(2))
            ]
        for number in range(3, 7):
            await asyncio.sleep(0.3)
            async with RawConnection(edge) as connection:
                response = await connection.request(
                    "GET", f"/stock/{number}", make_headers(number)
                )
                context.lookups.append(response)
            context.readiness.append(await cluster.is_edge_ready(STOPPING_EDGE))
        async with RawConnection(edge) as connection:
            context.late_stream = await connection.request(
                "POST", "/review/9", make_headers(9, 100), b"pattern"
            )
        await asyncio.gather(*context.world.background_tasks)

    context.run(run())


@then("it is no longer ready")
def check_not_ready_any_more(context):
    assert not any(context.readiness), context.readiness


@then("the streams that end within its grace period are complete")
def check_streams(context):
    for caller in context.callers:
        assert caller.response.events == list(range(1, 101)), caller.response
        assert caller.response.is_complete


@then("new streams are refused with a Retry-After header, new lookups are answered")
def check_new_calls(context):
    assert context.late_stream.status == 503, context.late_stream
    assert float(context.late_stream.headers["retry-after"]) < 1
    assert [response.status for response in context.lookups] == [200] * 5


@then("every response announces that the connection will be closed")
def check_close_announced(context):
    for response in [*context.lookups, context.late_stream]:
        assert response.headers.get("connection") == "close", response


@then("it exits by itself within its grace period")
def check_exit_within_grace(context):
    process = context.world.cluster.processes[STOPPING_EDGE]
    remaining_s = SHUTDOWN_GRACE_S - (time.monotonic() - context.started_s)
    assert process.popen.wait(max(0.1, remaining_s)) == 0


@when("an edge gets SIGTERM while it relays a stream of {events:d} events")
def stop_during_long_stream(context, events):
    cluster = context.world.cluster

    async def run():
        caller = StreamCaller(cluster.edges[STOPPING_EDGE], 60, events)
        context.callers = [caller]
        await asyncio.sleep(0.5)
        context.started_s = time.monotonic()
        cluster.processes[STOPPING_EDGE].send_signal(signal.SIGTERM)
        await caller.task
        context.ended_s = time.monotonic() - context.started_s

    context.run(run())


@then("the stream ends incomplete shortly before the grace period ends")
def check_cut_off(context):
    (caller,) = context.callers
    assert not caller.response.is_complete
    assert SHUTDOWN_GRACE_S * 5 / 6 <= context.ended_s < SHUTDOWN_GRACE_S, (
        context.ended_s
    )


@when("an edge without calls gets SIGTERM")
def stop_idle_edge(context):
    context.started_s = time.monotonic()
    context.world.cluster.processes[STOPPING_EDGE].send_signal(signal.SIGTERM)


@then("it has exited by itself within {bound:g} seconds")
def check_exited(context, bound):
    process = context.world.cluster.processes[STOPPING_EDGE].popen
    assert process.wait(bound - (time.monotonic() - context.started_s)) == 0


@then("the last line of its log says that it has stopped")
def check_last_line(context):
    lines = context.world.cluster.read_log(STOPPING_EDGE).splitlines()
    assert json.loads(lines[-1])["event"] == "edge stopped", lines[-1]


@then("another host sends the complete rest of the stream")
def check_rest(context):
    (first_caller,) = context.callers
    last_event = first_caller.response.events[-1]
    cluster = context.world.cluster

    async def run():
        caller = StreamCaller(
            cluster.edges[OTHER_EDGE], 61, first_caller.event_count, last_event
        )
        await caller.task
        return caller.response

    response = context.run(run())
    assert response.is_complete
    expected = list(range(last_event + 1, first_caller.event_count + 1))
    assert response.events == expected, response.events


class LookupCaller:
    """Sends lookups sequentially and reconnects when the connection is closed.

    Parameters
    ----------
    edge : PlannedEdge
        Edge to call.
    number : int
        Number of the caller, from which the numbers of its lookups are derived.

    Attributes
    ----------
    failed_lookups : list of (str, int)
        Attempt id and status of each lookup not answered 200; 0 is no response.
    answered : int
        Number of lookups answered 200.
    is_stopped : bool
        Set this to end `run`.
    """

    def __init__(self, edge, number):
        self.edge = edge
        self.failed_lookups = []
        self.answered = 0
        self.is_stopped = False
        self._number = number * 100_000

    async def run(self):
        """Send lookups until ``is_stopped`` is set."""
        while not self.is_stopped:
            try:
                await self._send_on_one_connection()
            except OSError:
                await asyncio.sleep(0.05)

    async def _send_on_one_connection(self):
        async with RawConnection(self.edge) as connection:
            while not self.is_stopped:
                await asyncio.sleep(0.01)
                self._number += 1
                path = f"/stock/{self._number}"
                response = await connection.request(
                    "GET", path, make_headers(self._number)
                )
                if response.status == 200:
                    self.answered += 1
                else:
                    self.failed_lookups.append(
                        (f"{self._number:016x}", response.status)
                    )
                    return
                if response.headers.get("connection") == "close":
                    return


async def send_lookups_during(context, edges, action):
    """Send lookups to each edge from four callers while a coroutine function runs."""
    callers = [LookupCaller(edge, 1 + number) for number, edge in enumerate(edges * 4)]
    tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
    await asyncio.sleep(0.3)
    await action()
    for caller in callers:
        caller.is_stopped = True
    await asyncio.gather(*tasks)
    context.lookup_callers = callers


@when(
    "callers send lookups to 3 edges over persistent connections "
    "while each edge is restarted in turn"
)
def restart_in_turn(context):
    cluster = context.world.cluster

    async def restart_each():
        for name in cluster.edges:
            process = cluster.processes[name]
            process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(process.popen.wait, SHUTDOWN_GRACE_S + 1)
            cluster.start_edge(name)
            await cluster.wait_edges_ready(name)
            await asyncio.sleep(0.3)

    context.run(
        send_lookups_during(context, list(cluster.edges.values()), restart_each)
    )


@then("every request that an edge read got its response")
def check_no_lookup_lost(context):
    runs = context.run(context.world.cluster.list_runs())
    ran = {run["attempt_id"] for found in runs.values() for run in found}
    failed = [
        item for caller in context.lookup_callers for item in caller.failed_lookups
    ]
    # An edge that closes the connection while a request is under way has neither read
    # nor run it.
    assert not [item for item in failed if item[0] in ran], failed
    assert not [item for item in failed if item[1] not in (0, 503)], failed
    assert sum(caller.answered for caller in context.lookup_callers) > 500


@when("callers send lookups to the edge while its settings file {change}")
def change_settings_file(context, change):
    cluster = context.world.cluster
    path = cluster.folder / "edge-0.json"

    async def apply_change():
        if change.startswith("changes"):
            cluster.write_settings("edge-0", extra=1)
        elif change.startswith("becomes invalid"):
            path.write_text("{")
        if change.endswith("SIGHUP arrives"):
            cluster.processes["edge-0"].send_signal(signal.SIGHUP)
        await asyncio.sleep(1.5)

    context.run(
        send_lookups_during(context, list(cluster.edges.values()), apply_change)
    )


@then("every request was answered, and the log says {logged}")
def check_reloaded(context, logged):
    failed = [
        item for caller in context.lookup_callers for item in caller.failed_lookups
    ]
    assert not failed, failed
    lines = context.world.cluster.read_log_entries("edge-0")
    assert any(line["event"] == logged for line in lines), lines[-5:]


@given("an edge's settings file with {field} set to {value}")
def write_invalid_settings(context, field, value):
    world = context.world
    world.cluster = cluster = SharedCluster("settings")
    cluster.urls["platform"] = "http://127.0.0.1:1"
    cluster.plan_edge("edge-0", "zone-a", "region-a")
    path = cluster.write_settings("edge-0")
    document = json.loads(path.read_text())
    if field == "file" and value == "not there":
        path.unlink()
    elif field == "file":
        path.write_text(value)
    else:
        if value == "nothing":
            del document[field]
        else:
            document[field] = json.loads(value)
        path.write_text(json.dumps(document))
    context.settings_path = path


@then("the router exits with status 2 and its error names {named}")
def check_settings_error(context, named):
    completed = subprocess.run(
        [BIN / "sapphirerock-router", "--platform", context.settings_path],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2, completed
    assert named in completed.stderr, completed.stderr


@when("a second edge starts at the same addresses")
def start_second_edge(context):
    cluster = context.world.cluster
    path = cluster.folder / "edge-0.json"
    context.second_edge = subprocess.run(
        [BIN / "sapphirerock-router", *cluster.make_arguments("edge-0"), path],
        capture_output=True,
        text=True,
        check=False,
        timeout=10,
    )


@then("it exits with an error that names the address, and no other error")
def check_port_in_use(context):
    edge = context.world.cluster.edges["edge-0"]
    assert context.second_edge.returncode not in (0, 2), context.second_edge
    output = context.second_edge.stdout + context.second_edge.stderr
    assert "address already in use" in output, output
    assert edge.address in output, output
    assert "AttributeError" not in output, output


@given("a shared platform with 1 edge whose output nobody reads")
def start_unread(context):
    context.run(start_cluster(context, 1, 1))
    cluster = context.world.cluster
    cluster.processes["edge-0"].kill()
    path = cluster.write_settings("edge-0")
    read_end, write_end = os.pipe()
    context.read_end = read_end
    context.unread_edge = subprocess.Popen(
        [BIN / "sapphirerock-router", *cluster.make_arguments("edge-0"), path],
        stdout=write_end,
        stderr=subprocess.DEVNULL,
    )
    os.close(write_end)
    cluster.processes["edge-0"].popen = context.unread_edge
    context.run(cluster.wait_edges_ready("edge-0"))


def read_resident_kb(pid):
    """Return the resident memory of a process in KiB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as stream:
        line = next(line for line in stream if line.startswith("VmRSS"))
    return int(line.split()[1])


@when("callers send {count:d} lookups that are refused")
def send_refused(context, count):
    async def run():
        edge = context.world.cluster.edges["edge-0"]
        context.statuses = []
        async with RawConnection(edge) as connection:
            for number in range(count):
                if number == 200:
                    context.memory_before_kb = read_resident_kb(context.unread_edge.pid)
                response = await connection.request("GET", "/no/", make_headers(number))
                context.statuses.append(response.status)

    context.run(run())


@then("all are answered, and memory has not grown by more than {bound:d} MB")
def check_memory(context, bound):
    assert set(context.statuses) == {404}, set(context.statuses)
    grown_kb = read_resident_kb(context.unread_edge.pid) - context.memory_before_kb
    assert grown_kb < bound * 1024, grown_kb


@given("a log whose reader keeps up")
def open_log(context):
    context.read_end, write_end = os.pipe()
    os.set_blocking(context.read_end, False)
    context.clock = ManualClock()
    context.sink = LineSink(write_end, context.clock)
    context.written_log = b""
    # Only this sink gets the lines, not the default handlers.
    logger.remove()
    handler = logger.add(context.sink, format="{message}")
    context.add_cleanup(logger.remove, handler)
    context.add_cleanup(os.close, write_end)


def read_log(context):
    """Flush the sink and collect the bytes that it wrote to the pipe."""
    context.sink.flush()
    with suppress(BlockingIOError):
        context.written_log += os.read(context.read_end, 1 << 20)


@when("{lines:d} lines of {size:d} bytes are logged within a second")
def log_lines(context, lines, size):
    context.lines = lines
    for number in range(lines):
        logger.bind(request=number, filler="x" * (size - 120)).info("burst")
        context.clock.advance(1 / lines)
        read_log(context)


@then(
    "{written} of them are written, "
    "and the number of dropped lines is logged a second later"
)
def check_log_volume(context, written):
    count = context.written_log.count(b'"event":"burst"')
    low, _, high = written.partition(" to ")
    if written == "all":
        low = high = context.lines
    assert int(low) <= count <= int(high), count
    context.clock.advance(1.0)
    read_log(context)
    read_log(context)
    dropped = [
        json.loads(line).get("lines", 0)
        for line in context.written_log.splitlines()
        if b"log lines dropped" in line
    ]
    assert sum(dropped) == context.lines - count, (dropped, count)


@then("each line is a JSON object")
def check_log_lines(context):
    assert all(json.loads(line) for line in context.written_log.splitlines())


@then("the number of dropped lines is logged once the output is read")
def check_dropped_lines_logged(context):
    async def read():
        os.set_blocking(context.read_end, False)
        content, end_s = b"", time.monotonic() + 5
        while time.monotonic() < end_s and b"log lines dropped" not in content:
            try:
                content += os.read(context.read_end, 1 << 16)
            except BlockingIOError:
                await asyncio.sleep(0.05)
            await send_lookup(context, "edge-0", "/no/", 1)
        return content

    content = context.run(read())
    assert b"log lines dropped" in content, content[-500:]


@when("the edges are paused for {seconds:d} seconds and resumed")
def pause_edges(context, seconds):
    cluster = context.world.cluster

    async def run():
        for name in cluster.edges:
            cluster.processes[name].pause()
        await asyncio.sleep(seconds)
        for name in cluster.edges:
            cluster.processes[name].resume()
        await cluster.put_configuration(make_configuration(version=9))

    context.run(run())


HANDLER_S = 0.1
DRAIN_S = 2.0


@given("a server of callers' connections whose handler takes 100 milliseconds")
def prepare_server(context):
    context.requests = Counter()

    async def handle(request):
        context.requests["begun"] += 1
        await asyncio.sleep(HANDLER_S)
        context.requests["ended"] += 1
        return web.Response(text="whole")

    context.handle = handle
    context.closes = EdgeMetrics().caller_closes


@when(
    "a request is sent on a new connection {steps:d} steps of the event loop before "
    "the server closes"
)
def send_before_close(context, steps):
    async def run():
        load = CallerLoad(None, None, CallerLimits, SystemClock(), context.closes)
        server = CallerServer(context.handle, CallerLimits, load)
        listener = await server.listen(open_listener(Endpoint("127.0.0.1", 0)))
        address = listener.sockets[0].getsockname()
        with socket.create_connection(address) as connection:
            connection.sendall(b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
            for _ in range(steps):
                await asyncio.sleep(0)
            deadline_s = time.monotonic() + DRAIN_S
            await server.drain(listener, deadline_s, SystemClock())
            context.at_close = Counter(context.requests)
            await asyncio.sleep(2 * HANDLER_S)

    context.run(run())


@then("no request is being handled once the server has closed")
def check_no_request_left(context):
    assert context.at_close["begun"] == context.at_close["ended"], context.at_close
    assert context.requests == context.at_close, (context.at_close, context.requests)
