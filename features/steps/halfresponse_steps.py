"""Steps on responses that end early, at each byte, on all kinds of connections."""

import asyncio
from dataclasses import dataclass
from types import SimpleNamespace

from behave import given, then, when

from features.steps.relay_steps import (
    LOOPBACK,
    RawEngine,
    RelayingPeer,
    register_in,
    reset,
    send_order,
)
from sapphirerock.connection.errors import (
    PeerUnavailable,
    RelayUnavailable,
    UpstreamUnreachable,
)
from sapphirerock.connection.messages import (
    ClaimReply,
    ClaimRequest,
    Hello,
    encode_frame,
)
from sapphirerock.connection.peer import open_peer_stream
from sapphirerock.connection.plain import PlainRequest, send_plain_request
from sapphirerock.connection.responsememory import ResponseMemory
from sapphirerock.connection.sendonce import send_once
from sapphirerock.connection.sessions import make_session
from sapphirerock.connection.store import StoreClient, decode_response
from sapphirerock.connection.storeobjects import StoreUnavailable
from sapphirerock.connection.upstream import make_upstream_session, read_body
from sapphirerock.decisions.streamversions import StreamOrigin
from sapphirerock.platform.dialect import PlatformDialect
from sapphirerock.platform.storewire import (
    decode_events_body,
    decode_object_body,
    decode_page_body,
)
from sapphirerock.process.clock import SystemClock
from sapphirerock.process.engines.prober import EngineProber, ProbeOutcome
from sapphirerock.process.peers.relayserver import RelayServer
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics
from sapphirerock.process.telemetry.metrics import Metrics
from sapphirerock.request.streamcall import StreamCall
from sapphirerock.version.engineentry import EngineEntry

ATTEMPT_ID = "9c41d07be2a35f68"
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Sapphirerock-Attempt-Id: 9c41d07be2a35f68\r\n"
    b"Sapphirerock-Response-Seal: e1.9c41d07be2a35f68\r\n"
)
BODY = b'{"born":1000,"metadata":{"name":"a","revision":7},"spec":{}}'
LENGTH = b"Content-Length: %d\r\n\r\n" % len(BODY)
UNFRAMED = HEAD + b"Connection: close\r\n\r\n"
WHOLE_RESPONSES = {
    "a body with a length": HEAD + LENGTH + BODY,
    "a body in chunks": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY),
    "a body without a length": UNFRAMED + BODY,
    "an interim response": b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + LENGTH + BODY,
    "a reply": encode_frame(-1, ClaimReply(["key", "claimant"])),
}
# The response is to arrive before the reset, which discards what is unread.
RESET_DELAY_S = 0.03
TIMEOUT_S = 3.0
CONCURRENT_SERVERS = 24
SHARED_KEY = b"of all hosts"
CLIENTS = {}


@dataclass(slots=True, frozen=True)
class Reading:
    """How a client took a response.

    Parameters
    ----------
    is_whole : bool
        Whether it took the response for a whole one.
    says_not_run : bool
        Whether it took the request for one that did not run.
    """

    is_whole: bool
    says_not_run: bool = False


class CutResponse:
    """Sends the first bytes of a response, and ends the connection."""

    def __init__(self, data, is_reset):
        self._data = data
        self._is_reset = is_reset

    async def __call__(self, engine, writer):
        """Respond to one request."""
        if self._data:
            await engine.send(writer, self._data)
        if self._is_reset:
            await asyncio.sleep(RESET_DELAY_S)
            reset(writer)


class RelayToAnyAddress(RelayServer):
    """Relays to any address, as if an engine were registered there."""

    def _find_engine(self, address):
        entry = SimpleNamespace(address=address)
        return SimpleNamespace(
            name="e1", is_relayed=False, rest_until_s=0.0, entry=entry
        )


class RawPeer(RawEngine):
    """A peer that reads one request after the handshake."""

    async def _serve(self, reader, writer):
        hello = Hello("b1", "zone-b", "region-1", LOOPBACK, 1, 2, 3, b"")
        opened = await open_peer_stream(
            reader, writer, hello, SHARED_KEY, lambda *message: None
        )
        assert opened.is_ok(), opened
        self.requests.append(await reader.read(1000))
        await self._respond(self, writer)
        writer.close()


async def read_engine_response(session, address):
    """Send an order to an engine; return the reading of its response."""
    opened = await send_order(session, address)
    if opened.is_error():
        failure = opened.error
        not_sent = isinstance(failure, UpstreamUnreachable | RelayUnavailable)
        return Reading(False, not_sent)
    head = PlatformDialect().decode_response_head(opened.ok)
    read = await read_body("e1", opened.ok)
    is_whole = read.is_ok() and head.matches_attempt(ATTEMPT_ID)
    return Reading(is_whole, head.was_not_executed)


@register_in(CLIENTS, "direct connections to an engine")
async def read_direct_response(address, peer):
    async with make_upstream_session(LOOPBACK) as session:
        return await read_engine_response(session, address)


@register_in(CLIENTS, "connections through a peer")
async def read_relayed_response(address, peer):
    async with peer.make_session() as session:
        return await read_engine_response(session, address)


@register_in(CLIENTS, "probes of an engine")
async def probe_engine(address, peer):
    entry = EngineEntry("e1", "model", address, "zone-a", 16, born_ms=1000)
    async with make_upstream_session(LOOPBACK) as session:
        prober = EngineProber(session, PlatformDialect(), SystemClock())
        result = await prober.probe(entry, TIMEOUT_S)
    return Reading(result.outcome is not ProbeOutcome.NO_ANSWER)


def read_store_result(result):
    """Return the reading of a call to the store."""
    if result.is_ok() or not isinstance(result.error, StoreUnavailable):
        return Reading(True)
    return Reading(False, not result.error.may_have_run)


@register_in(CLIENTS, "reads of the store")
async def read_store(address, peer):
    async with make_session(LOOPBACK, force_close=True) as session:
        store = StoreClient(session, f"http://{address}", Metrics())
        return read_store_result(await store.read("servers", "a"))


@register_in(CLIENTS, "writes to the store")
async def write_store(address, peer):
    async with make_session(LOOPBACK, force_close=True) as session:
        store = StoreClient(session, f"http://{address}", Metrics())
        return read_store_result(await store.replace("servers", "a", {}, 6))


@register_in(CLIENTS, "orders to a plain service")
async def order_from_service(address, peer):
    class Service:
        name, url = "s1", f"http://{address}"

    request = PlainRequest("POST", "order/1", "", {}, b"wool")
    async with make_session(LOOPBACK, force_close=True) as session:
        result = await send_plain_request(
            session, Service, request, TIMEOUT_S, ResponseMemory(1 << 23), (send_once,)
        )
    if result.is_ok():
        return Reading(True)
    return Reading(False, isinstance(result.error, UpstreamUnreachable))


@register_in(CLIENTS, "requests to a peer")
async def ask_peer(address, peer):
    host, _, port = address.rpartition(":")
    hello = Hello("a1", "zone-a", "region-1", LOOPBACK, 1, 2, 3, b"")
    reader, writer = await asyncio.open_connection(host, int(port))
    opened = await open_peer_stream(
        reader, writer, hello, SHARED_KEY, lambda *message: None
    )
    running = asyncio.ensure_future(opened.ok.run(SystemClock()))
    result = await opened.ok.ask(ClaimRequest("shop", 1, []), TIMEOUT_S)
    await running
    is_broken = result.is_error() and isinstance(result.error, PeerUnavailable)
    # A refusal would tell that the peer did not act on the request.
    says_not_run = is_broken and "stream closed" not in result.error.reason
    return Reading(not is_broken, says_not_run)


@given("servers whose responses have {body}")
def make_response(context, body):
    context.response = WHOLE_RESPONSES[body]
    # Only a reset shows that a body without a length is incomplete.
    context.is_framed = body != "a body without a length"


@when("each response ends early at another byte, {ending}, on {connections}")
def end_each_early(context, ending, connections):
    is_reset = ending == "with a reset"
    server_type = RawPeer if connections == "requests to a peer" else RawEngine
    end = len(context.response)
    if not context.is_framed:
        end = end + 1 if is_reset else len(UNFRAMED)
    limit = asyncio.Semaphore(CONCURRENT_SERVERS)

    async def read_one(size, peer):
        server = server_type(CutResponse(context.response[:size], is_reset))
        async with limit, asyncio.timeout(2 * TIMEOUT_S):
            reading = await CLIENTS[connections](await server.start(), peer)
        server.close()
        return size, reading, len(server.requests)

    async def run():
        peer = RelayingPeer()
        peer.relay_server = RelayToAnyAddress(
            peer.engines, LOOPBACK, peer.clock, EdgeMetrics()
        )
        await peer.start()
        context.readings = await asyncio.gather(
            *(read_one(size, peer) for size in range(end))
        )
        await peer.table.on_stop()

    context.run(run())


@then("none counts as whole, and no request counts as not run")
def check_readings(context):
    wrong = [
        (context.response[:size][-20:], reading)
        for size, reading, _ in context.readings
        if reading != Reading(False)
    ]
    assert not wrong, f"{len(wrong)} of {len(context.readings)}: {wrong[:5]}"


@then("no request was sent more than {times}")
def check_requests(context, times):
    # aiohttp sends a GET request again whose connection ended without a response.
    counts = [requests for _, _, requests in context.readings]
    assert max(counts) == {"once": 1, "twice": 2}[times], counts


OBJECTS = (
    b'{"metadata":{"name":"a","revision":7},"spec":{"text":"]}]}","list":[1,2]}}',
    b'{"metadata":{"name":"b","revision":8},"spec":{}}',
)
DOCUMENTS = {
    "a list of objects": (
        decode_page_body,
        b'{"items":[%b,%b],"has_more":false,"at":123}' % OBJECTS,
    ),
    "a list that is its last member": (
        decode_page_body,
        b'{"at":123,"has_more":false,"items":[%b,%b]}' % OBJECTS,
    ),
    "the events of a watch": (
        decode_events_body,
        b'{"at":123,"events":[{"object":%b,"deleted":false},'
        b'{"object":%b,"deleted":true}]}' % OBJECTS,
    ),
    "an object": (decode_object_body, OBJECTS[0]),
}


@when("{document} is cut off at each byte")
def cut_document(context, document):
    decode, body = DOCUMENTS[document]
    decode(body)
    context.accepted = []
    for size in range(len(body)):
        response = decode_response("/servers", None, 200, body[:size], decode)
        if response.is_ok() or not isinstance(response.error, StoreUnavailable):
            context.accepted.append(body[:size])


@then("each of its parts is refused as malformed")
def check_parts(context):
    assert not context.accepted, context.accepted


REPORT = b'{"stage":"colocated","born":1000,"running":1,"waiting":0}'
STATUS_500 = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror"
REPORTS = {
    "whole": [(UNFRAMED + REPORT,)],
    "that of a later start": [(UNFRAMED + REPORT.replace(b"1000", b"2000"),)],
    "cut off at any byte, without a length": [
        (UNFRAMED + REPORT[:size],) for size in range(len(REPORT))
    ],
    "an error without a start": [(STATUS_500,)],
    "cut off once, and whole the second time": [
        (UNFRAMED + REPORT[:9], UNFRAMED + REPORT)
    ],
}


class ReportingEngine(RawEngine):
    """An engine that sends given reports in turn, and the last one from then on."""

    def __init__(self, reports):
        super().__init__(self._send_report)
        self._reports = reports

    async def _send_report(self, engine, writer):
        number = min(len(self.requests), len(self._reports)) - 1
        await self.send(writer, self._reports[number])


@given(
    "a stream that {stream}, and an engine of a service with {versions} whose report "
    "is {report}"
)
def choose_reports(context, stream, versions, report):
    context.origin = None
    if stream == "its caller takes up":
        context.origin = StreamOrigin("model", "v1")
    context.versions = {"one version": {"v1"}, "two versions": {"v1", "v2"}}[versions]
    context.reports = REPORTS[report]


async def ask_for_start(context, reports):
    """Return whether a stream goes on at an engine that sends these reports."""
    engine = ReportingEngine(reports)
    entry = EngineEntry("e1", "model", await engine.start(), "z", 16, born_ms=1000)
    async with make_upstream_session(LOOPBACK) as session:
        runtime = SimpleNamespace(
            clock=SystemClock(),
            paths=EngineProber(session, PlatformDialect(), SystemClock()),
            fleet=SimpleNamespace(
                engines=SimpleNamespace(list_versions=lambda service: context.versions)
            ),
            version_history=SimpleNamespace(knows_all=lambda: True),
        )
        metadata = SimpleNamespace(attempt_id=ATTEMPT_ID, last_event_id=7)
        route = SimpleNamespace(name="review")
        call = SimpleNamespace(
            metadata=metadata, route=route, origin=context.origin, service="model"
        )
        stream = StreamCall(runtime, call, None)
        state = SimpleNamespace(name="e1", entry=entry)
        goes_on = await stream._has_registered_start(state)
    engine.close()
    return goes_on


@when("a host asks whether it is still the engine that it registered")
def ask_engine(context):
    async def run():
        context.answers = {
            await ask_for_start(context, reports) for reports in context.reports
        }

    context.run(run())


@then("the stream {result} there")
def check_start(context, result):
    assert context.answers == {result == "goes on"}, context.answers
