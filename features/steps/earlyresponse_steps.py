"""Steps on responses to unfinished requests, and on those with odd statuses."""

import asyncio
import re
from dataclasses import dataclass
from unittest.mock import patch

from behave import given, then, when
from tools.rawclient import RawConnection, RawResponse
from tools.sharedcaller import make_headers
from tools.sharedcluster import SharedCluster, make_configuration

from features.steps.brokenstream_steps import list_engines
from features.steps.edge_steps import has_engines, list_all_runs
from features.steps.halfresponse_steps import (
    ATTEMPT_ID,
    HEAD,
    LENGTH,
    UNFRAMED,
    Reading,
    RelayToAnyAddress,
    read_store_result,
)
from features.steps.halfresponse_steps import BODY as RESPONSE_BODY
from features.steps.halfresponse_steps import CLIENTS as READERS
from features.steps.oddentry_steps import REGISTRATION
from features.steps.relay_steps import (
    LOOPBACK,
    RawEngine,
    RelayingPeer,
    register_in,
    reset,
    send_order,
)
from sapphirerock.connection import sessions
from sapphirerock.connection.plain import PlainRequest, send_plain_request
from sapphirerock.connection.responsememory import ResponseMemory
from sapphirerock.connection.sendonce import send_once
from sapphirerock.connection.sessions import make_session
from sapphirerock.connection.store import StoreClient
from sapphirerock.connection.upstream import make_upstream_session, read_body
from sapphirerock.platform.dialect import PlatformDialect
from sapphirerock.platform.names import ENGINES_KIND
from sapphirerock.process.peers.relayserver import has_received_request
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics
from sapphirerock.process.telemetry.metrics import Metrics
from sapphirerock.standin.sharedengine import encode_event

TIMEOUT_S = 4.0
# The engine's side ends while the host is still writing, or waiting to.
END_DELAY_S = 0.05
OPEN_S = 0.4
HALF = RESPONSE_BODY[:20]
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
REFUSAL = UNFRAMED.replace(b"200 OK", b"503 Service Unavailable").replace(
    b"\r\n\r\n", b"\r\nSapphirerock-Not-Executed: 1\r\n\r\n"
)
SOME_EVENTS = UNFRAMED.replace(b"application/json", b"text/event-stream") + b"".join(
    encode_event("", number) for number in (1, 2, 3)
)
READINGS = {
    "whole": Reading(True),
    "broken": Reading(False),
    "a refusal": Reading(True, True),
}
UPLOADERS = {}


def make_chunk(data):
    """Return data as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass(slots=True, frozen=True)
class EarlyResponse:
    """What an engine does with an upload.

    Parameters
    ----------
    data : bytes
        Response.
    ending : str
        How the connection ends: the engine's side first (``side``), both (``close``) or
        with a reset (``reset``).
    reads_first : bool
        Whether the engine reads the whole upload first.
    """

    data: bytes
    ending: str = "side"
    reads_first: bool = False


EARLY_RESPONSES = {
    "part of a body without a length, and ends its side": EarlyResponse(
        UNFRAMED + HALF
    ),
    "part of a body without a length, and closes": EarlyResponse(
        UNFRAMED + HALF, "close"
    ),
    "part of a body without a length, and a reset": EarlyResponse(
        UNFRAMED + HALF, "reset"
    ),
    "part of a body with a length, and ends its side": EarlyResponse(
        HEAD + LENGTH + HALF
    ),
    "part of a body in chunks, and ends its side": EarlyResponse(
        CHUNKED_HEAD + make_chunk(HALF)
    ),
    "some events without a length, and ends its side": EarlyResponse(SOME_EVENTS),
    "some events without a length, and closes": EarlyResponse(SOME_EVENTS, "close"),
    "some events without a length, and a reset": EarlyResponse(SOME_EVENTS, "reset"),
    "a whole body with a length, and ends its side": EarlyResponse(
        HEAD + LENGTH + RESPONSE_BODY
    ),
    "a whole body with a length, and closes": EarlyResponse(
        HEAD + LENGTH + RESPONSE_BODY, "close"
    ),
    "a whole body in chunks, and ends its side": EarlyResponse(
        CHUNKED_HEAD + make_chunk(RESPONSE_BODY) + LAST_CHUNK
    ),
    "a refusal without a length, and ends its side": EarlyResponse(REFUSAL + HALF),
    "a whole body without a length, after it has read it": EarlyResponse(
        UNFRAMED + RESPONSE_BODY, "close", reads_first=True
    ),
}


REPORT = b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"born":1}'


class EarlyEngine(RawEngine):
    """An engine that may respond to a request before it has read the body.

    It also tells its load.
    """

    def __init__(self, response):
        super().__init__(None)
        self._response = response
        self._exchanges = set()

    async def stop(self):
        """Stop listening, and wait until all connections have ended."""
        self.close()
        await asyncio.gather(*self._exchanges)

    async def _serve(self, reader, writer):
        self._exchanges.add(asyncio.current_task())
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"GET /sapphirerock/report "):
                await self.send(writer, REPORT)
                return
            if self._response.reads_first:
                size = re.search(rb"content-length: (\d+)", head.lower())[1]
                await reader.readexactly(int(size))
            await self.send(writer, self._response.data)
            await asyncio.sleep(END_DELAY_S)
            if self._response.ending == "side":
                writer.write_eof()
                await asyncio.sleep(OPEN_S)
            elif self._response.ending == "reset":
                reset(writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def read_response_to(session, address, upload):
    """Send an upload to an engine; return the reading of its response."""
    opened = await send_order(session, address, upload)
    if opened.is_error():
        return Reading(False)
    head = PlatformDialect().decode_response_head(opened.ok)
    if head.was_not_executed:
        return Reading(head.matches_attempt(ATTEMPT_ID), True)
    read = await read_body("e1", opened.ok)
    return Reading(read.is_ok() and head.matches_attempt(ATTEMPT_ID))


@register_in(UPLOADERS, "direct connections to an engine")
async def upload_directly(address, peer, upload):
    async with make_upstream_session(LOOPBACK) as session:
        return await read_response_to(session, address, upload)


@register_in(UPLOADERS, "connections through a peer")
async def upload_through_peer(address, peer, upload):
    async with peer.make_session() as session:
        return await read_response_to(session, address, upload)


@register_in(UPLOADERS, "orders to a plain service")
async def upload_to_service(address, peer, upload):
    class Service:
        name, url = "s1", f"http://{address}"

    request = PlainRequest("POST", "order/1", "", {}, upload)
    async with make_session(LOOPBACK, force_close=True) as session:
        result = await send_plain_request(
            session, Service, request, TIMEOUT_S, ResponseMemory(1 << 23), (send_once,)
        )
    return Reading(result.is_ok())


@register_in(UPLOADERS, "writes to the store")
async def upload_to_store(address, peer, upload):
    async with make_session(LOOPBACK, force_close=True) as session:
        store = StoreClient(session, f"http://{address}", Metrics())
        spec = {"text": upload.decode("latin-1")}
        return read_store_result(await store.replace("servers", "a", spec, 6))


async def read_through(context, clients, connections, *values):
    """Start a peer, and keep the reading of a client's exchange with the engine."""
    peer = RelayingPeer()
    peer.relay_server = RelayToAnyAddress(
        peer.engines, LOOPBACK, peer.clock, EdgeMetrics()
    )
    await peer.start()
    address = await context.engine.start()
    async with asyncio.timeout(2 * TIMEOUT_S):
        context.reading = await clients[connections](address, peer, *values)
    if isinstance(context.engine, EarlyEngine):
        await context.engine.stop()
    context.engine.close()
    await peer.table.on_stop()


@given(
    "an engine that responds to an upload of {size:d} bytes before it reads it with "
    "{response}"
)
def make_early_engine(context, size, response):
    context.upload = b"u" * size
    context.engine = EarlyEngine(EARLY_RESPONSES[response])


@when("a host sends it the upload on {connections}")
def send_upload(context, connections):
    context.run(read_through(context, UPLOADERS, connections, context.upload))


@given(
    "a host with {count:d} engines of each service that respond to uploads early with "
    "{response}"
)
def start_host_with_early_engines(context, count, response):
    async def run():
        context.world.cluster = cluster = SharedCluster("early")
        cluster.add_platform()
        await cluster.wait_ready("platform")
        cluster.plan_edge("edge-0", "zone-a", "region-a")
        await cluster.put_configuration(make_configuration(max_body_bytes=4 << 20))
        context.engines = []
        for service in ("model", "shop"):
            for number in range(count):
                engine = EarlyEngine(EARLY_RESPONSES[response])
                context.engines.append(engine)
                address = await engine.start()
                spec = {**REGISTRATION, "service": service, "address": address}
                name = f"{service}-{number}"
                await cluster.put_object(ENGINES_KIND, name, spec)
        cluster.start_edge("edge-0")
        await cluster.wait_edges_ready()
        await context.world.wait_until(
            lambda: has_engines(context, 2 * count), "engines are registered"
        )

    context.run(run())


async def read_answer(connection):
    """Read a response as far as it arrives before its connection ends."""
    response = RawResponse()
    await connection.read_head(response)
    if response.headers.get("transfer-encoding") == "chunked":
        return await connection.read_rest(response)
    size = int(response.headers["content-length"])
    response.body = await connection.reader.readexactly(size)
    response.is_complete = True
    return response


@when("a caller uploads {size:d} bytes to {target}")
def upload_to_host(context, size, target):
    async def run():
        events = 60 if target.startswith("/review/") else 0
        headers = make_headers(int(ATTEMPT_ID, 16), events, timeout_ms=6000)
        edge = context.world.cluster.edges["edge-0"]
        async with RawConnection(edge) as connection:
            connection.send("POST", target, headers, b"u" * size)
            context.response = await read_answer(connection)
        for engine in context.engines:
            await engine.stop()

    context.run(run())


@then("the caller of the upload gets {result}")
def check_answer(context, result):
    response = context.response
    if result == "no complete answer":
        assert response.status != 200 or not response.is_complete, response
    else:
        assert response.status == int(result), response
        assert response.is_complete, response


@given("servers that respond with the status {status}")
def make_odd_server(context, status):
    data = (HEAD + LENGTH + RESPONSE_BODY).replace(b"200 OK", status.encode() + b" X")

    async def respond(engine, writer):
        await engine.send(writer, data)

    context.engine = RawEngine(respond)


@when("a host sends a request to one on {connections}")
def send_request_to_one(context, connections):
    context.run(read_through(context, READERS, connections))


@then("the host takes the response for {reading}")
def check_reading(context, reading):
    assert context.reading == READINGS[reading], context.reading


@when("engines respond with {status} once to a lookup, and then to an order")
def send_calls(context, status):
    cluster = context.world.cluster

    async def send(number, target):
        async with RawConnection(cluster.edges["edge-0"]) as connection:
            connection.send("POST", target, make_headers(number), b"wool")
            return await connection.read_response(TIMEOUT_S)

    async def run():
        engines = list_engines(context, "shop-")
        # A lookup may be sent to two engines.
        await cluster.inject(engines[0], "spoil", manner=status, amount=1)
        context.lookups = [await send(10 + number, "/stock/1") for number in range(9)]
        for name in engines:
            await cluster.inject(name, "spoil", manner=status, amount=1)
        context.order = await send(20, "/order/1")

    context.run(run())


@then("the lookup is answered with 200 and the order with 502, and the order ran once")
def check_calls(context):
    statuses = [response.status for response in context.lookups]
    assert statuses == [200] * len(statuses), statuses
    assert context.order.status == 502, context.order
    runs = context.run(list_all_runs(context))
    lookups = [run for run in runs if run["target"] == "/stock/1"]
    assert any(run["ended"] == "broken" for run in lookups), lookups
    orders = [run["attempt_id"] for run in runs if run["target"] == "/order/1"]
    assert len(orders) == 1, orders


class LastConnection:
    """Connection to an engine that has ended its side.

    Parameters
    ----------
    buffered_bytes, unreceived_bytes : int
        Bytes that are not sent, and sent bytes that are not acknowledged.
    is_lost : bool
        Whether the connection broke off.
    """

    def __init__(self, buffered_bytes=0, unreceived_bytes=0, is_lost=False):
        self.unreceived_bytes = unreceived_bytes
        self._buffered_bytes = buffered_bytes
        self._is_lost = is_lost

    def is_closing(self):
        """Return whether the connection broke off."""
        return self._is_lost

    def get_write_buffer_size(self):
        """Return the number of bytes that are not sent."""
        return self._buffered_bytes

    def get_extra_info(self, name):
        """Return the socket, which is closed once the connection broke off."""
        return self

    def fileno(self):
        """Return a descriptor that the test does not use."""
        return -1 if self._is_lost else 0


LAST_CONNECTIONS = {
    "has taken all bytes": LastConnection(),
    "has 5 bytes that are not sent": LastConnection(buffered_bytes=5),
    "has 7 bytes that are not received": LastConnection(unreceived_bytes=7),
    "broke off when bytes were sent": LastConnection(is_lost=True),
    "has taken all bytes as far as known": LastConnection(unreceived_bytes=None),
}


@given("a connection to an engine that {connection}")
def make_last_connection(context, connection):
    context.connection = LAST_CONNECTIONS[connection]


@when("the engine has ended its side of it")
def end_side(context):
    unreceived_bytes = context.connection.unreceived_bytes

    def ask_system(descriptor, request, data):
        if descriptor < 0:
            raise ValueError("file descriptor cannot be a negative integer")
        if unreceived_bytes is None:
            raise OSError("not supported")
        return sessions.OUTGOING_BYTES.pack(unreceived_bytes)

    with patch.object(sessions.fcntl, "ioctl", ask_system):
        context.has_request = context.run(has_received_request(context.connection))


@then("the relaying host finds that the engine {result} the request")
def check_has_request(context, result):
    assert context.has_request == (result == "has"), context.has_request
