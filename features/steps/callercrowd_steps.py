"""Steps on crowds of callers that leave their requests unfinished."""

import asyncio
import math
from functools import partial
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when
from tools.localcluster import ORGANISATION_KEY
from tools.rawclient import RawConnection, encode_request
from tools.scenario import MODEL
from tools.sharedcaller import make_headers
from tools.sharedcluster import (
    CALLER_KEY,
    ORDER_PREFIX,
    STREAM_PREFIX,
    make_configuration,
)

from features.steps.edge_steps import start_cluster

EDGE, ROUTER = "edge-0", "r1"
ORDER, STREAM = f"{ORDER_PREFIX}1", f"{STREAM_PREFIX}1"
BODY_LIMIT_BYTES = 1 << 20
ROUTE_TIMEOUT_MS = 60_000
# Ends the wait for callers whose bytes the edge does not read.
SEND_TIMEOUT_S = 20.0
# The edge has handled what it received once it uses almost no processor time.
IDLE_INTERVAL_S = 0.5
IDLE_TICKS = 5
FILES_INTERVAL_S = 0.02
CROWD_NUMBER = 1000
ORDINARY_NUMBER = 7
CHUNK_BYTES = 60_000
LARGE_BODY_BYTES = 900_000
SMALL_CHUNKS = 260_000
HEADER_VALUE_BYTES = 15_000
HEADERS_PER_HEAD = 7
PIPELINED_REQUESTS = 3000
STREAM_EVENTS = 5000
REPEATED_BODIES = 5
KB_PER_MB = 1024
TRUE_REFUSALS = frozenset((408, 413, 421, 429, 431, 503))


def encode_chunks(size, total):
    """Return a body in chunks of one size, without its end."""
    whole, rest = divmod(total, size)
    sizes = [size] * whole + ([rest] if rest else [])
    return b"".join(b"%x\r\n%b\r\n" % (item, b"x" * item) for item in sizes)


def encode_head(number, target, *extra):
    headers = make_headers(number, 0, *extra, timeout_ms=ROUTE_TIMEOUT_MS)
    return encode_request("POST", target, headers)


def encode_chunked(number, chunk_bytes, total):
    head = encode_head(number, ORDER, ("Transfer-Encoding", "chunked"))
    return head + encode_chunks(chunk_bytes, total)


def encode_short_body(number, total):
    length = ("Content-Length", str(total + 1))
    return encode_head(number, ORDER, length) + b"x" * total


def encode_unfinished_head(number):
    fillers = [(f"X-{i}", "x" * HEADER_VALUE_BYTES) for i in range(HEADERS_PER_HEAD)]
    return encode_head(number, ORDER, *fillers)[:-2]


def encode_pipeline(number):
    headers = make_headers(number, 0, timeout_ms=ROUTE_TIMEOUT_MS)
    return encode_request("GET", "/stock/1", headers) * PIPELINED_REQUESTS


def encode_repeated_bodies(number):
    body = encode_chunked(number, CHUNK_BYTES, LARGE_BODY_BYTES) + b"0\r\n\r\n"
    return body * REPEATED_BODIES


def encode_stream(number):
    headers = make_headers(number, STREAM_EVENTS, timeout_ms=ROUTE_TIMEOUT_MS)
    return encode_request("POST", STREAM, headers, b"pattern")


CROWDS = {
    "large chunks": partial(
        encode_chunked, chunk_bytes=CHUNK_BYTES, total=LARGE_BODY_BYTES
    ),
    "one-byte chunks": partial(encode_chunked, chunk_bytes=1, total=SMALL_CHUNKS),
    "bodies with a length": partial(encode_short_body, total=LARGE_BODY_BYTES),
    "unfinished heads": encode_unfinished_head,
    "pipelined requests": encode_pipeline,
    "open connections": lambda number: b"",
    "repeated large bodies": encode_repeated_bodies,
    "stopped readers": encode_stream,
}
# Callers whose requests are whole, so that engines may run them.
WHOLE_REQUESTS = frozenset(
    ("pipelined requests", "stopped readers", "repeated large bodies")
)
SINGLE_BODIES = {
    "in large chunks": partial(encode_chunked, chunk_bytes=CHUNK_BYTES),
    "in one-byte chunks": partial(encode_chunked, chunk_bytes=1),
}


@given("a host of {memory:d} MB and {files:d} descriptors")
def start_small_host(context, memory, files):
    async def run():
        await start_cluster(context, 1, 2)
        cluster = context.world.cluster
        document = make_configuration(version=2, max_body_bytes=BODY_LIMIT_BYTES)
        for route in document["routes"]:
            route["timeout_ms"] = ROUTE_TIMEOUT_MS
        await cluster.put_configuration(document)
        cluster.processes[EDGE].kill()
        limits = {
            "cpu_share": 0.5,
            "cores": 2,
            "memory_mb": memory,
            "max_fds": files,
            "link_mbps": 1000,
        }
        cluster.start_edge(EDGE, limits=limits)
        await cluster.wait_edges_ready()
        prepare_crowd(context, EDGE, cluster.edges[EDGE])

    context.run(run())


def prepare_crowd(context, process, endpoint, adapt=bytes):
    """Set the process and the address that a crowd calls.

    Parameters
    ----------
    adapt : callable
        Turns the bytes of a request of the shared platform into one of the API that
        the process serves.
    """
    context.host_process = context.world.cluster.processes[process]
    context.endpoint, context.adapt = endpoint, adapt
    context.most_files = 0
    context.crowd, context.unfinished = [], []


def adapt_to_completions(data):
    """Return the bytes of a request to the API of a router with its own settings."""
    data = data.replace(f"POST {ORDER} ".encode(), b"POST /v1/completions ")
    return data.replace(
        f"Token {CALLER_KEY}".encode(), f"Bearer {ORGANISATION_KEY}".encode()
    )


@given(
    "a router with its own settings on a host of {memory:d} MB and {files:d} "
    "descriptors"
)
def start_router_with_own_settings(context, memory, files):
    async def run():
        world = context.world
        world.router_settings = {
            "memory_mb": memory,
            "max_files": files,
            "max_body_bytes": BODY_LIMIT_BYTES,
        }
        await world.start(
            [(ROUTER, "zone-a", "region-a")], [("e1", "zone-a", "region-a", {})]
        )
        entry = next(item for item in world.cluster.hosts if item["host"] == ROUTER)
        prepare_crowd(context, ROUTER, SimpleNamespace(**entry), adapt_to_completions)

    context.run(run())


def get_process_folder(context):
    return Path("/proc") / str(context.host_process.popen.pid)


def count_files(context):
    return len(list((get_process_folder(context) / "fd").iterdir()))


def read_peak_memory_mb(context):
    """Return the highest resident memory of the edge since its start, in MB."""
    lines = (get_process_folder(context) / "status").read_text().splitlines()
    peak = next(line for line in lines if line.startswith("VmHWM"))
    return int(peak.split()[1]) / KB_PER_MB


def read_processor_ticks(context):
    """Return the processor time of the edge, in ticks of the system's clock."""
    text = (get_process_folder(context) / "stat").read_text()
    fields = text.rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


async def wait_until_idle(context):
    """Wait until the edge has handled the crowd, for `SEND_TIMEOUT_S` at most."""
    try:
        async with asyncio.timeout(SEND_TIMEOUT_S):
            used = -math.inf
            while (now := read_processor_ticks(context)) > used + IDLE_TICKS:
                used = now
                await asyncio.sleep(IDLE_INTERVAL_S)
    except TimeoutError:
        pass


async def watch_files(context):
    while context.host_process.is_running:
        context.most_files = max(context.most_files, count_files(context))
        await asyncio.sleep(FILES_INTERVAL_S)


async def send_and_stay(context, data):
    """Connect and send data; the connection stays open, as far as the edge lets it."""
    try:
        connection = await RawConnection(context.endpoint).__aenter__()
        context.crowd.append(connection)
        connection.writer.write(data)
        await connection.writer.drain()
    except OSError:
        # The edge refused or closed the connection.
        pass


@when("a crowd sends requests and stays: {crowd}")
def send_crowd(context, crowd):
    async def run():
        watch = asyncio.ensure_future(watch_files(context))
        numbers, sends = iter(range(CROWD_NUMBER, 10 * CROWD_NUMBER)), []
        for part in crowd.split(", "):
            count, _, kind = part.partition(" of ")
            for _ in range(int(count)):
                number = next(numbers)
                if kind not in WHOLE_REQUESTS:
                    context.unfinished.append(f"{number:016x}")
                data = context.adapt(CROWDS[kind](number))
                sends.append(asyncio.ensure_future(send_and_stay(context, data)))
        _, pending = await asyncio.wait(sends, timeout=SEND_TIMEOUT_S)
        for task in pending:
            task.cancel()
        await asyncio.wait(sends)
        if context.host_process.is_running:
            await wait_until_idle(context)
        watch.cancel()
        await asyncio.wait((watch,))

    context.run(run())


@when("one request with a body of {size:d} bytes is sent {framing}")
def send_single_body(context, size, framing):
    if framing == "with a length":
        length = ("Content-Length", str(size))
        data = encode_head(ORDINARY_NUMBER, ORDER, length) + b"x" * size
    else:
        data = SINGLE_BODIES[framing](ORDINARY_NUMBER, total=size) + b"0\r\n\r\n"

    async def run():
        async with RawConnection(context.world.cluster.edges[EDGE]) as connection:
            connection.writer.write(data)
            context.response = await connection.read_response(ROUTE_TIMEOUT_MS / 1000)
            context.most_files = count_files(context)

    context.run(run())


@then("it is answered with success")
def check_single_response(context):
    assert context.response.status == 200, context.response


@then("the edge is still running")
def check_running(context):
    assert context.host_process.is_running


@then("the edge never used more than {memory:d} MB and {files:d} descriptors")
def check_bounds(context, memory, files):
    peak_mb = read_peak_memory_mb(context)
    print(f"peak {peak_mb:.1f} MB, {context.most_files} descriptors")
    assert peak_mb <= memory, f"{peak_mb:.1f} MB"
    assert context.most_files <= files, context.most_files


@then("an ordinary request is answered beside the crowd")
def check_ordinary_request(context):
    async def run():
        headers = make_headers(ORDINARY_NUMBER, 0, timeout_ms=ROUTE_TIMEOUT_MS)
        async with RawConnection(context.world.cluster.edges[EDGE]) as connection:
            connection.send("POST", ORDER, headers, b"wool")
            return await connection.read_response(ROUTE_TIMEOUT_MS / 1000)

    response = context.run(run())
    assert response.status == 200, response


@then("a completion is answered beside the crowd")
def check_completion(context):
    body = {"model": MODEL, "prompt": "wool", "max_tokens": 3}

    async def run():
        async with context.world.session.post(
            f"{context.world.cluster.urls[ROUTER]}/v1/completions",
            json=body,
            headers={"Authorization": f"Bearer {ORGANISATION_KEY}"},
        ) as response:
            return response.status, await response.text()

    status, text = context.run(run())
    assert status == 200, text


@then("refusals of the crowd are true")
def check_refusal_statuses(context):
    statuses = {read_status(item) for item in context.crowd} - {None}
    assert statuses <= TRUE_REFUSALS | {400}, statuses
    for connection in context.crowd:
        connection.writer.close()


def read_status(connection):
    """Return the status of the response that a connection has received, or None."""
    # What the reader has received and nobody has read.
    received = bytes(connection.reader._buffer)
    return int(received.split(b" ", 2)[1]) if received.startswith(b"HTTP/") else None


@then("no unfinished request has run, and refusals are true")
def check_refusals(context):
    runs = context.run(context.world.cluster.list_runs())
    ran = {run["attempt_id"] for engine in runs.values() for run in engine}
    assert not ran.intersection(context.unfinished), ran
    statuses = {read_status(item) for item in context.crowd} - {None, 200}
    assert statuses <= TRUE_REFUSALS | {400}, statuses
    for connection in context.crowd:
        connection.writer.close()
