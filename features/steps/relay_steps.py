"""Steps on connections to engines that a peer relays."""

import asyncio
import json
import random
import re
import socket
import time
from types import SimpleNamespace
from unittest.mock import Mock

from behave import given, then, when
from expression import Ok
from tools.localcluster import find_free_port

from features.steps.poison_steps import (
    BORN_MS,
    HostUnderTest,
    LocalGossip,
    PendingAttempt,
    make_call,
    report_crash,
)
from sapphirerock.connection.errors import (
    RelayUnavailable,
    UpstreamBroken,
    UpstreamUnreachable,
)
from sapphirerock.connection.messages import Hello, encode_frame
from sapphirerock.connection.relay import make_relay_session
from sapphirerock.connection.sessions import make_session
from sapphirerock.connection.store import StoreClient
from sapphirerock.connection.upstream import (
    OutboundRequest,
    make_upstream_session,
    open_response,
    read_body,
)
from sapphirerock.decisions.crashlog import CrashLog
from sapphirerock.decisions.placement import EngineView
from sapphirerock.decisions.relays import (
    RelayCandidate,
    prefer_direct_engines,
    rank_relays,
)
from sapphirerock.platform.dialect import PlatformDialect
from sapphirerock.process.clock import SystemClock
from sapphirerock.process.engines.crashwatch import CrashWatch
from sapphirerock.process.engines.paths import EnginePaths
from sapphirerock.process.engines.prober import ProbeOutcome, ProbeResult
from sapphirerock.process.engines.table import EngineTable
from sapphirerock.process.peers import relayserver
from sapphirerock.process.peers.gossip import EngineDownUpdate
from sapphirerock.process.peers.hosts import HostTable
from sapphirerock.process.peers.relayserver import RelayServer
from sapphirerock.process.peers.table import PeerTable
from sapphirerock.process.replicas.replica import ReplicaChange
from sapphirerock.process.settings.hostsettings import HostAddress
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics
from sapphirerock.process.telemetry.metrics import Metrics
from sapphirerock.request.upstreamattempt import UpstreamAttempt
from sapphirerock.version.engineentry import EngineEntry

LOOPBACK = "127.0.0.1"
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNK = b"c350\r\n" + b"x" * 50_000 + b"\r\n"
WHOLE_BODIES = (b"whole", b"x" * 12_000, b"x" * 3_000_000)
REPORT = b'{"born":%d}' % BORN_MS
RESPONSES, REASONS, EVENTS, EFFECTS, PEERS = {}, {}, {}, {}, {}


def register_in(registry, text):
    """Register the function that a text in the feature names."""

    def register(function):
        registry[text] = function
        return function

    return register


def reset(writer):
    """Close a connection with a TCP reset."""
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
    writer.transport.abort()


class RawEngine:
    """An engine that reads one request and sends bytes of the test's choice."""

    def __init__(self, respond):
        self.requests = []
        self.sent_bytes = 0
        self.closed = asyncio.Event()
        self.writer = None
        self._respond = respond

    async def start(self):
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    def close(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        self.writer = writer
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            found = re.search(rb"content-length: (\d+)", head.lower())
            body = await reader.readexactly(int(found[1]) if found else 0)
            self.requests.append((head, body))
            await self._respond(self, writer)
            if not writer.is_closing():
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            self.closed.set()

    async def send(self, writer, data):
        """Send bytes and wait until the transport takes more."""
        writer.write(data)
        await writer.drain()
        self.sent_bytes += len(data)


@register_in(RESPONSES, "a response with a length")
async def send_length(engine, writer):
    await engine.send(writer, HEAD + b"Content-Length: 5\r\n\r\nwhole")


@register_in(RESPONSES, "a chunked response of 3,000,000 bytes")
async def send_chunks(engine, writer):
    await engine.send(writer, HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(60):
        await engine.send(writer, CHUNK)
    await engine.send(writer, b"0\r\n\r\n")


@register_in(RESPONSES, "a chunked response of 12,000 bytes in one block")
async def send_one_chunk(engine, writer):
    chunk = b"%x\r\n%b\r\n" % (12_000, b"x" * 12_000)
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    await engine.send(writer, head + chunk + b"0\r\n\r\n")


@register_in(RESPONSES, "a response that ends with its connection")
async def send_unframed(engine, writer):
    await engine.send(writer, HEAD + b"Connection: close\r\n\r\nwhole")


@register_in(RESPONSES, "a response that is shorter than its length")
async def send_short(engine, writer):
    await engine.send(writer, HEAD + b"Content-Length: 9\r\n\r\nwhole")


@register_in(RESPONSES, "a response that ends with a reset")
async def send_unframed_reset(engine, writer):
    await engine.send(writer, HEAD + b"Connection: close\r\n\r\nwhole")
    await asyncio.sleep(0.05)
    reset(writer)


@register_in(RESPONSES, "nothing, and resets the connection")
async def send_reset(engine, writer):
    reset(writer)


@register_in(RESPONSES, "nothing, and closes the connection")
async def send_nothing(engine, writer):
    pass


@register_in(RESPONSES, "bytes that are no response")
async def send_noise(engine, writer):
    await engine.send(writer, b"\x00\x01 no answer\r\n\r\n")


@register_in(
    RESPONSES, "a response that ends with its connection, while the peer is killed"
)
async def send_unframed_slowly(engine, writer):
    await engine.send(writer, HEAD + b"Connection: close\r\n\r\nwhole")
    await asyncio.sleep(0.1)
    engine.peer.kill()
    await asyncio.sleep(0.1)


@register_in(RESPONSES, "a response without end")
async def send_endlessly(engine, writer):
    await engine.send(writer, HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    while not writer.is_closing():
        await engine.send(writer, CHUNK)
        await asyncio.sleep(0.001)


@register_in(RESPONSES, "a slow response of 1 s")
async def send_slowly(engine, writer):
    await engine.send(writer, HEAD + b"Content-Length: 5\r\n\r\nwh")
    await asyncio.sleep(1.0)
    await engine.send(writer, b"ole")


class RedirectedRelayServer(RelayServer):
    """Relays to an engine at another address, as if only this peer reached it."""

    reached_address = None

    def _find_engine(self, address):
        state = super()._find_engine(address)
        if self.reached_address is None:
            return state
        entry = SimpleNamespace(address=self.reached_address)
        return SimpleNamespace(
            name="e1", is_relayed=False, rest_until_s=0.0, entry=entry
        )


class RelayingPeer:
    """A peer with one registered engine."""

    def __init__(self, name="b1", zone="zone-b", address=LOOPBACK):
        self.clock, metrics = SystemClock(), EdgeMetrics()
        self.host = HostAddress(
            name, zone, "region-1", address, 1, find_free_port(address)
        )
        self.engines = EngineTable(lambda name, spec: Ok(spec), self.clock, metrics)
        self.relay_server = RedirectedRelayServer(
            self.engines, address, self.clock, metrics
        )
        self.table = PeerTable(
            HostTable(self.host, (), self.clock), "", 1, self.clock, metrics
        )
        self.table.relay = self._relay
        self.connections = []

    async def _relay(self, reader, writer, request):
        self.connections.append((asyncio.current_task(), writer))
        await self.relay_server.serve(reader, writer, request)

    async def start(self):
        """Listen for peers."""
        await self.table.on_start()

    def add_engine(self, address):
        """Register the engine; return its state."""
        entry = EngineEntry(
            "e1", "model", address, "zone-a", 16, False, born_ms=BORN_MS
        )
        self.engines.apply_changes([ReplicaChange("e1", 1, entry)])
        return self.engines.get("e1")

    def kill(self):
        """End all connections as the kernel does when a process is killed."""
        for task, writer in self.connections:
            task.cancel()
            writer.close()

    def make_session(self):
        """Return a session of a host that sends through this peer."""
        return make_relay_session(LOOPBACK, self.host)


async def send_order(session, address, body=b"an order", path="/order/1?a=%20b"):
    """Send an order with a deadline; return the Result of the response."""
    request = OutboundRequest("POST", path, [("X-Given", "as sent")], body)
    return await open_response(session, "e1", address, request)


@given("an engine that sends {response}, and a peer that relays to it")
def start_engine_and_peer(context, response):
    async def run():
        context.engine = RawEngine(RESPONSES[response])
        context.address = await context.engine.start()
        context.peer = context.engine.peer = RelayingPeer()
        await context.peer.start()
        context.peer.add_engine(context.address)
        context.session = context.peer.make_session()

    context.run(run())


@when("a host sends it an order with a body of {size:d} bytes through the peer")
def send_through_peer(context, size):
    async def run():
        context.body = bytes(number % 251 for number in range(size))
        async with asyncio.timeout(5.0):
            opened = await send_order(context.session, context.address, context.body)
            context.result = opened
            if opened.is_ok():
                context.result = await read_body("e1", opened.ok)
        await context.session.close()
        await context.peer.table.on_stop()

    context.run(run())


@then("the host gets the whole response")
def check_whole(context):
    assert context.result.is_ok(), context.result
    assert context.result.ok in WHOLE_BODIES, len(context.result.ok)


@then("the host gets a broken connection")
def check_broken(context):
    assert context.result.is_error(), context.result
    assert isinstance(context.result.error, UpstreamBroken), context.result.error


@then("the engine got the request once, byte for byte")
def check_request(context):
    [(head, body)] = context.engine.requests
    assert head.startswith(b"POST /order/1?a=%20b HTTP/1.1\r\n"), head
    assert b"X-Given: as sent\r\n" in head, head
    assert body == context.body


@register_in(REASONS, "the engine refuses connections")
async def refuse_at_engine(peer):
    address = f"{LOOPBACK}:{find_free_port()}"
    peer.add_engine(address)
    return address


@register_in(REASONS, "the engine can't be reached")
async def hide_engine(peer):
    # A full queue of new connections drops the packets that open another.
    listener = socket.create_server((LOOPBACK, 0), backlog=0)
    address = listener.getsockname()
    peer.held = [listener]
    for _ in range(4):
        held = socket.socket()
        held.setblocking(False)
        held.connect_ex(address)
        peer.held.append(held)
    peer.add_engine(f"{address[0]}:{address[1]}")
    return f"{address[0]}:{address[1]}"


@register_in(REASONS, "the address is no engine's")
async def leave_unregistered(peer):
    return f"{LOOPBACK}:{find_free_port()}"


async def add_working_engine(peer):
    """Register an engine that answers."""
    address = await RawEngine(send_length).start()
    peer.add_engine(address)
    return address


@register_in(REASONS, "the engine is reached only through other hosts")
async def cut_peer(peer):
    address = await add_working_engine(peer)
    peer.engines.get("e1").is_relayed = True
    return address


@register_in(REASONS, "the limit of relayed connections is reached")
async def fill_peer(peer):
    peer.relay_server._open_connections = relayserver.MAX_RELAYED_CONNECTIONS
    return await add_working_engine(peer)


@register_in(REASONS, "the shutdown has begun")
async def close_peer(peer):
    peer.relay_server.is_closed = True
    return await add_working_engine(peer)


@register_in(REASONS, "no process listens")
async def stop_peer(peer):
    await peer.table.on_stop()
    return await add_working_engine(peer)


async def replace_peer(peer, serve):
    """Serve connections to the peer's port otherwise."""
    await peer.table.on_stop()
    await asyncio.start_server(serve, LOOPBACK, peer.host.peer_port)
    return await add_working_engine(peer)


@register_in(REASONS, "connections are accepted and never answered")
async def silence_peer(peer):
    async def serve(reader, writer):
        await asyncio.sleep(5.0)

    return await replace_peer(peer, serve)


@register_in(REASONS, "an earlier version is running")
async def downgrade_peer(peer):
    async def serve(reader, writer):
        hello = Hello("b1", "zone-b", "region-1", LOOPBACK, 1, 2, 3, b"n" * 16)
        writer.write(encode_frame(0, hello))
        await reader.read(100)
        writer.close()

    return await replace_peer(peer, serve)


@register_in(REASONS, "random bytes are sent")
async def garble_peer(peer):
    async def serve(reader, writer):
        writer.write(random.Random(7).randbytes(5_000))
        await asyncio.sleep(1.0)

    return await replace_peer(peer, serve)


@given("a host, and a peer for which {reason}")
def start_refusing_peer(context, reason):
    async def run():
        context.peer = RelayingPeer()
        await context.peer.start()
        context.address = await REASONS[reason](context.peer)
        context.session = context.peer.make_session()

    context.run(run())


@when("the host sends an order through the peer")
def send_in_vain(context):
    async def run():
        started_s = time.monotonic()
        context.result = await send_order(context.session, context.address)
        context.took_s = time.monotonic() - started_s
        await context.session.close()

    context.run(run())


FAILURES = {
    "the engine refused": lambda failure: (
        isinstance(failure, UpstreamUnreachable) and failure.refused
    ),
    "the engine is unreachable": lambda failure: (
        isinstance(failure, UpstreamUnreachable) and not failure.refused
    ),
    "the peer relayed nothing": lambda failure: isinstance(failure, RelayUnavailable),
}


@then("the host knows within {bound:g} s that nothing was sent, because {failure}")
def check_nothing_sent(context, bound, failure):
    assert context.result.is_error(), context.result
    assert FAILURES[failure](context.result.error), context.result.error
    assert context.took_s <= bound, context.took_s


@register_in(EVENTS, "closes the connection")
async def close_response(context):
    context.response.close()


@register_in(EVENTS, "the peer is killed")
async def kill_peer(context):
    context.peer.kill()


@register_in(EVENTS, "the engine resets the connection")
async def reset_at_engine(context):
    reset(context.engine.writer)


@when("a host reads the response and {event}")
def read_until(context, event):
    async def run():
        opened = await send_order(context.session, context.address)
        context.response = opened.ok
        await opened.ok.content.readany()
        await EVENTS[event](context)
        context.event_s = time.monotonic()

    context.run(run())


@then("the engine sees a closed connection within {bound:g} s")
def check_engine_sees(context, bound):
    async def run():
        async with asyncio.timeout(bound):
            await context.engine.closed.wait()
        await context.session.close()

    context.run(run())


@then("the host sees a broken connection within {bound:g} s")
def check_host_sees(context, bound):
    async def run():
        async with asyncio.timeout(bound):
            result = await read_body("e1", context.response, 1 << 30)
        assert isinstance(result.error, UpstreamBroken), result
        await context.session.close()

    context.run(run())


@when("a host reads no more of the response for {seconds:d} s")
def stop_reading(context, seconds):
    async def run():
        await send_order(context.session, context.address)
        await asyncio.sleep(seconds)
        context.engine_sent = context.engine.sent_bytes
        context.buffered_bytes = sum(
            writer.transport.get_write_buffer_size()
            for _, writer in context.peer.connections
        )
        await asyncio.sleep(0.3)
        context.engine_sent_later = context.engine.sent_bytes
        await context.session.close()

    context.run(run())


@then("the engine can send no more, and the peer holds less than {size:d} kB")
def check_sent(context, size):
    assert context.engine_sent == context.engine_sent_later
    assert 0 < context.buffered_bytes < size * 1000, context.buffered_bytes


@when("the peer begins to shut down while a host reads the response")
def shut_down_peer(context):
    async def run():
        opened = await send_order(context.session, context.address)
        deadline_s = time.monotonic() + 3.0
        draining = asyncio.ensure_future(context.peer.relay_server.drain(deadline_s))
        context.result = await read_body("e1", opened.ok)
        context.read_s = time.monotonic()
        context.cut_off = await draining
        context.drained_s = time.monotonic()
        await context.session.close()

    context.run(run())


@then("the peer ends its shutdown after that")
def check_drained(context):
    assert context.cut_off == 0
    assert 0 <= context.drained_s - context.read_s + 0.1 < 0.5


CANDIDATE = re.compile(r"(\w+) in (\S+) of (\S+?)(?: failed ([\d.]+) s ago)?$")


@when("the hosts {hosts} are ranked for a host in {zone} of {region}")
def rank_hosts(context, hosts, zone, region):
    candidates = []
    for text in hosts.split(", "):
        name, its_zone, its_region, failed_s = CANDIDATE.match(text).groups()
        candidates.append(
            RelayCandidate(
                name, its_zone, its_region, float(failed_s) if failed_s else None
            )
        )
    context.firsts = {
        rank_relays(candidates, zone, region, random.Random(seed))[0]
        for seed in range(20)
    }


@then("the order begins with one of {names}")
def check_first(context, names):
    assert context.firsts == set(names.split(", ")), context.firsts


@when("{direct:d} of {engines:d} engines are reached directly")
def make_views(context, direct, engines):
    views = [
        EngineView(f"e{number}", "a", 4, 0, 0, 0, 0, 0, is_relayed=number >= direct)
        for number in range(engines)
    ]
    context.candidates = prefer_direct_engines(views)


@then("a call may be placed on {count:d} engines")
def check_candidates(context, count):
    assert len(context.candidates) == count, context.candidates


class CutHost:
    """The paths of a host that can't reach an engine at its address."""

    def __init__(self, address):
        self.clock, metrics = SystemClock(), EdgeMetrics()
        own = HostAddress("a1", "zone-a", "region-1", LOOPBACK, 1, 2)
        self.hosts = HostTable(own, (), self.clock)
        self.engines = EngineTable(lambda name, spec: Ok(spec), self.clock, metrics)
        entry = EngineEntry("e1", "model", address, "zone-a", 16, born_ms=BORN_MS)
        self.engines.apply_changes([ReplicaChange("e1", 1, entry)])
        self.state = self.engines.get("e1")
        self.session = make_upstream_session(LOOPBACK)
        self.paths = EnginePaths(
            self.engines,
            self.hosts,
            self.session,
            PlatformDialect(),
            random.Random(1),
            self.clock,
            metrics,
        )


async def send_report(engine, writer):
    """Answer a request for the report."""
    await engine.send(
        writer, HEAD + b"Content-Length: %d\r\n\r\n" % len(REPORT) + REPORT
    )


async def hang(engine, writer):
    """Never answer."""
    await asyncio.sleep(5.0)


async def make_engine_address(engine):
    """Return the address of an engine that fails in the way described."""
    if engine == "refuses connections":
        return f"{LOOPBACK}:{find_free_port()}"
    responds = {
        "never answers": hang,
        "resets connections": send_reset,
        "answers probes": send_report,
    }
    return await RawEngine(responds[engine]).start()


async def send_late_report(engine, writer):
    """Answer a request for the report after a moment."""
    await asyncio.sleep(0.1)
    await send_report(engine, writer)


async def add_peers(host, count, reaches, respond=send_report):
    """Add peers of different zones; those that reach the engine use another port.

    A peer that is cut off gets the failure of the host.
    """
    for number in range(count):
        peer = RelayingPeer(f"p{number}", f"zone-{number}")
        await peer.start()
        peer.add_engine(host.state.entry.address)
        if number < reaches:
            peer.relay_server.reached_address = await RawEngine(respond).start()
        host.hosts.update_from_registration(peer.host)


@given("a host that can't reach an engine that {engine}, and {peers}")
def start_cut_host(context, engine, peers):
    async def run():
        context.host = CutHost(await make_engine_address(engine))
        if peers == "three peers that reach it":
            await add_peers(context.host, 3, 3)
        elif peers == "three peers that reach it after 0.1 s":
            await add_peers(context.host, 3, 3, send_late_report)
        elif peers == "one peer that reaches it and two cut off":
            await add_peers(context.host, 3, 1)
        elif peers == "three peers that don't reach it":
            await add_peers(context.host, 3, 0)
        elif peers == "three peers that never answer":
            for number in range(3):

                async def serve(reader, writer):
                    await asyncio.sleep(5.0)

                port = find_free_port()
                await asyncio.start_server(serve, LOOPBACK, port)
                context.host.hosts.update_from_registration(
                    HostAddress(
                        f"p{number}", f"zone-{number}", "region-1", LOOPBACK, 1, port
                    )
                )

    context.run(run())


@when("the host checks the engine")
def check_engine(context):
    async def run():
        host = context.host
        host.state.record_received(host.clock.monotonic())
        host.engines.mark_down(host.state, "refused")
        host.paths.check(host.state)
        await asyncio.sleep(0.8)
        await host.paths.on_stop()
        await host.session.close()

    context.run(run())


@when(
    "the host checks the engine, which sends it data {delay_s:g} s after its probe has "
    "failed"
)
def check_waking_engine(context, delay_s):
    async def run():
        host = context.host
        result = ProbeResult(ProbeOutcome.NO_ANSWER, "silent")
        host.engines.mark_down(host.state, "silent", is_silent=True)
        confirmed = asyncio.ensure_future(host.paths.confirm(host.state.entry, result))
        await asyncio.sleep(delay_s)
        host.state.record_received(host.clock.monotonic())
        await confirmed
        await host.paths.on_stop()
        await host.session.close()

    context.run(run())


@then("the engine is usable, and reached directly")
def check_reached_directly(context):
    host = context.host
    assert host.engines.is_usable(host.state) and not host.state.is_relayed


@when("the host has reached the engine through peers, and checks it")
def check_relayed_engine(context):
    context.host.state.is_relayed = True
    check_engine(context)


@then("the engine is down, and still to be reached through peers")
def check_still_relayed(context):
    host = context.host
    assert host.state.is_relayed and not host.engines.is_usable(host.state)


@then("the engine is {state}")
def check_engine_state(context, state):
    host = context.host
    is_usable = host.engines.is_usable(host.state)
    expected = state == "reached through peers"
    assert host.state.is_relayed is expected, host.state
    assert is_usable is expected, host.state


@given("a host with an attempt on an engine that {engine}")
def start_host_with_attempt(context, engine):
    async def run():
        context.host = HostUnderTest()
        address = await make_engine_address(engine)
        context.state = context.host.add_engine("e1", address)
        context.state.record_received(context.host.clock.monotonic() - 1.0)
        context.attempt = PendingAttempt(context.state, make_call())

    context.run(run())


@when("a peer reports that the engine is {cause}")
def report_engine_down(context, cause):
    async def run():
        report_crash(context.host, context.state, cause)
        await asyncio.sleep(0.45)
        await context.host.close()

    context.run(run())


@then("within {bound:g} s the engine is {state}, and the attempt {attempt}")
def check_report(context, bound, state, attempt):
    host = context.host
    assert host.engines.is_usable(context.state) is (state == "usable")
    assert bool(context.state.attempts) is (attempt != "is interrupted")
    assert context.attempt.is_silent is (attempt == "hears of it")
    assert state == "down" or host.crash_log.is_empty


REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nSapphirerock-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


async def send_answer_twice(engine, writer):
    """Send the number of the request as its answer, and a refusal after it."""
    number = b"%d" % len(engine.requests)
    body = b'{"metadata":{"name":"%b","revision":%b},"spec":{}}' % (number, number)
    await engine.send(
        writer, HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body + REFUSAL
    )
    # The connection stays open, as one that is kept.
    await asyncio.sleep(0.2)


async def open_connections(context, connections):
    """Return the session of a host, and the address that it sends to."""
    context.address = await context.engine.start()
    if connections == "connections through a peer":
        context.peer = RelayingPeer()
        await context.peer.start()
        context.peer.add_engine(context.address)
        return context.peer.make_session()
    return make_upstream_session(LOOPBACK)


@given("an engine or store that sends each answer, and once more the refusal before it")
def make_repeating_engine(context):
    context.engine = RawEngine(send_answer_twice)


@when("{count:d} requests are sent one after the other on {connections}")
def send_in_turn(context, count, connections):
    async def run():
        if connections == "connections to the store":
            address = await context.engine.start()
            session = make_session(LOOPBACK, force_close=True)
            store = StoreClient(session, f"http://{address}", Metrics())
            read = [await store.read("servers", "a") for _ in range(count)]
            context.answers = [item.ok.name for item in read]
        else:
            session = await open_connections(context, connections)
            context.answers = []
            for _ in range(count):
                opened = await send_order(session, context.address)
                body = (await read_body("e1", opened.ok)).ok
                context.answers.append(json.loads(body)["metadata"]["name"])
                opened.ok.close()
        await session.close()

    context.run(run())


@then("each request gets its own answer")
def check_own_answers(context):
    assert context.answers == [str(number + 1) for number in range(10)], context.answers


class EarlyEngine(RawEngine):
    """An engine that sends a refusal as soon as a connection opens."""

    refusal = REFUSAL

    async def _serve(self, reader, writer):
        writer.write(self.refusal)
        await super()._serve(reader, writer)


@given("an engine that sends a refusal {refusal} before it gets a request")
def make_early_engine(context, refusal):
    context.engine = EarlyEngine(send_nothing)
    if refusal == "of an earlier request":
        status_line, rest = REFUSAL.split(b"\r\n", 1)
        attempt_id = b"Sapphirerock-Attempt-Id: ffffffffffffffff"
        context.engine.refusal = b"\r\n".join([status_line, attempt_id, rest])


@when("one request is sent to it on {connections}")
def send_after_answer(context, connections):
    async def run():
        session = await open_connections(context, connections)
        opened = await send_order(session, context.address)
        context.head = None
        if opened.is_ok():
            context.head = PlatformDialect().decode_response_head(opened.ok)
        await session.close()

    context.run(run())


@then("it is not known whether the request ran")
def check_unknown(context):
    # Without a head the connection broke, after which a request may have run.
    assert context.head is None or not context.head.matches_attempt("9c41d07be2a35f68")


@when("the host called the engine a {unit} ago, and fails to connect {count:d} times")
def fail_to_connect(context, unit, count):
    async def run():
        host = context.host
        age_s = {"second": 1.0, "minute": 60.0}[unit]
        host.state.record_received(host.clock.monotonic() - age_s)
        context.asked = 0
        ask_peers = host.paths._ask_peers

        async def count_questions(entry):
            context.asked += 1
            return await ask_peers(entry)

        host.paths._ask_peers = count_questions
        for _ in range(count):
            host.paths.check(host.state)
            await asyncio.sleep(0.1)
        await host.paths.on_stop()
        await host.session.close()

    context.run(run())


@then("it has asked its peers {times:d} {unit:w}")
def check_questions(context, times, unit):
    assert context.asked == times, context.asked


class SilentPeer(RelayingPeer):
    """A peer whose host stands still: it accepts connections and goes on later."""

    def __init__(self, name, zone, silent_s):
        super().__init__(name, zone)
        self._silent_s = silent_s
        self._starts_at_s = time.monotonic() + silent_s

    async def _relay(self, reader, writer, request):
        await asyncio.sleep(self._starts_at_s - time.monotonic())
        await super()._relay(reader, writer, request)


SILENT_PEERS = {
    "which go on after 1.2 s": (1.2, 1.2),
    "one of which goes on after 1.2 s": (1.2, 60.0),
    "which never go on": (60.0, 60.0),
    "whose processes have ended": (None, None),
}


@given("a host that reaches an engine through two peers, {peers}")
def start_silent_peers(context, peers):
    async def run():
        context.engine = RawEngine(send_length)
        address = await context.engine.start()
        context.host = CutHost(f"{LOOPBACK}:{find_free_port()}")
        context.host.state.is_relayed = True
        for number, silent_s in enumerate(SILENT_PEERS[peers]):
            peer = SilentPeer(f"p{number}", f"zone-{number}", silent_s or 0.0)
            await peer.start()
            if silent_s is None:
                await peer.table.on_stop()
            peer.add_engine(address)
            peer.relay_server.reached_address = address
            context.host.hosts.update_from_registration(peer.host)

    context.run(run())


@when("the host sends it an order that has {deadline:g} s")
def send_through_silent_peers(context, deadline):
    host = context.host
    call = make_call()
    call.method, call.response_deadline_s = "POST", time.monotonic() + deadline
    call.priority, call.ranks = 1, ()
    dialect = Mock()
    dialect.make_headers.return_value = []
    runtime = Mock(clock=host.clock, paths=host.paths, dialect=dialect)

    async def run():
        started_s = time.monotonic()
        with UpstreamAttempt(runtime, call, host.state) as attempt:
            context.result = await attempt.open()
            context.took_s = time.monotonic() - started_s
        await host.paths.on_stop()
        await host.session.close()

    context.run(run())


@then("the engine answers the order, and got it once")
def check_answered_once(context):
    assert context.result.is_ok(), (context.result, context.took_s)
    assert len(context.engine.requests) == 1, context.engine.requests


@then("the host knows within {bound:g} s that it was not sent")
def check_known_unsent(context, bound):
    assert isinstance(context.result.error, RelayUnavailable), context.result
    assert context.took_s <= bound, context.took_s
    assert not context.engine.requests, context.engine.requests


@when("the host checks the engine while calls run on it")
def check_engine_of_silent_peers(context):
    host, gossip = context.host, LocalGossip()
    context.reports = []
    gossip.subscribe(EngineDownUpdate, context.reports.append)
    crash_watch = CrashWatch(
        host.engines,
        CrashLog(host.clock),
        Mock(),
        gossip,
        host.paths,
        host.clock,
        EdgeMetrics(),
    )

    async def run():
        result = await host.paths.probe(host.state.entry, 0.2)
        await crash_watch.apply_failed_probe(host.state, result)
        await asyncio.sleep(0.05)
        await host.paths.on_stop()
        await host.session.close()

    context.run(run())


@then("the host gives it no new work, and reports nothing to other hosts")
def check_not_reported(context):
    assert context.host.engines.is_marked_silent(context.host.state)
    assert not context.reports, context.reports
