"""Steps on a host whose event loop is busy while answers arrive."""

import asyncio
import socket
import threading
import time
from unittest.mock import Mock

import msgpack
from behave import given, then, when

from features.steps.relay_steps import (
    LOOPBACK,
    RelayingPeer,
    register_in,
    send_order,
)
from sapphirerock.connection.messages import (
    JournalFind,
    JournalOpen,
    RelayOpen,
    RelayOpened,
    TurnReply,
    TurnRequest,
    decode_frame,
    encode_frame,
)
from sapphirerock.connection.peer import PeerStream, make_unpacker
from sapphirerock.connection.relay import make_relay_session
from sapphirerock.connection.upstream import make_upstream_session
from sapphirerock.process.clock import SystemClock
from sapphirerock.process.engines.limits import TURN_TIMEOUT_S
from sapphirerock.process.journals.client import JournalClient
from sapphirerock.process.peers.hosts import HostTable
from sapphirerock.process.peers.table import PeerTable
from sapphirerock.process.settings.hostsettings import HostAddress
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics

ANSWER_DELAY_S = 0.1
BUSY_AFTER_S, BUSY_S = 0.05, 0.8
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
OBSERVED_S = 3.0
WAITS = {}


class ThreadedServer:
    """A peer, or an engine, that answers while the event loop of the test is busy."""

    def __init__(self, answer):
        self._answer = answer
        self._listener = socket.create_server((LOOPBACK, 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(
                target=self._answer, args=(connection,), daemon=True
            ).start()


def answer_as_engine(connection):
    """Answer one HTTP request."""
    if connection.recv(4096):
        connection.sendall(RESPONSE)


def answer_as_peer(connection):
    """Relay one connection to an engine, or grant one turn."""
    unpacker = make_unpacker()
    unpacker.feed(connection.recv(4096))
    correlation, message = decode_frame(next(unpacker))
    time.sleep(ANSWER_DELAY_S)
    if isinstance(message, RelayOpen):
        connection.sendall(encode_frame(0, RelayOpened()))
        connection.recv(4096)
        connection.sendall(msgpack.packb(RESPONSE) + msgpack.packb(None))
    else:
        connection.sendall(encode_frame(-correlation, TurnReply(True, 0.0, 0.0, "")))


@given("a peer and an engine that answer within 0.1 s")
def start_servers(context):
    context.engine_port = ThreadedServer(answer_as_engine).port
    context.peer_port = ThreadedServer(answer_as_peer).port


def keep_busy(loop):
    """Block an event loop a moment after the wait has begun."""
    loop.call_later(BUSY_AFTER_S, time.sleep, BUSY_S)


@register_in(WAITS, "connects to the engine")
async def connect(context):
    loop = asyncio.get_running_loop()
    connect_socket = loop.sock_connect

    async def connect_while_busy(*arguments):
        # A connection is made within microseconds on one machine.
        loop.call_soon(time.sleep, BUSY_S)
        loop.sock_connect = connect_socket
        return await connect_socket(*arguments)

    loop.sock_connect = connect_while_busy
    session = make_upstream_session(LOOPBACK)
    result = await send_order(session, f"{LOOPBACK}:{context.engine_port}")
    await session.close()
    return result


@register_in(WAITS, "asks the peer to relay a connection")
async def open_through_peer(context):
    peer = HostAddress("b1", "zone-b", "region-1", LOOPBACK, 1, context.peer_port)
    session = make_relay_session(LOOPBACK, peer)
    keep_busy(asyncio.get_running_loop())
    result = await send_order(session, f"{LOOPBACK}:{context.engine_port}")
    await session.close()
    return result


@register_in(WAITS, "asks the peer for a turn")
async def ask_for_turn(context):
    reader, writer = await asyncio.open_connection(LOOPBACK, context.peer_port)
    stream = PeerStream(reader, writer, None, None, make_unpacker())
    reading = asyncio.ensure_future(stream.run(SystemClock()))
    stream.hello = HostAddress("b1", "zone-b", "region-1", LOOPBACK, 1, 1)
    keep_busy(asyncio.get_running_loop())
    result = await stream.ask(TurnRequest("e1", 1, 2.0, 0.5), TURN_TIMEOUT_S)
    reading.cancel()
    return result


@when("the host {wait}, and its event loop is busy for 0.8 s")
def wait_while_busy(context, wait):
    async def run():
        context.result = await WAITS[wait](context)

    context.run(run())


@then("it gets the answer")
def check_answer(context):
    assert context.result.is_ok(), context.result


@given("a peer that stands still for {seconds:g} s")
def start_silent_peer(context, seconds):
    context.peer = RelayingPeer()
    # The kernel accepts connections for a process that stands still.
    context.listener = socket.create_server((LOOPBACK, context.peer.host.peer_port))
    context.silent_s = seconds


@when("a host connects to it")
def connect_to_silent_peer(context):
    context.dead_at_s = None

    async def run():
        clock = SystemClock()
        own = HostAddress("a1", "zone-a", "region-1", LOOPBACK, 1, 2)
        hosts = HostTable(own, (), clock)
        hosts.update_from_registration(context.peer.host)
        table = PeerTable(hosts, "", 1, clock, EdgeMetrics())
        started_s = time.monotonic()
        connecting = asyncio.ensure_future(table.get_stream("b1"))
        is_resumed = False
        while time.monotonic() < started_s + OBSERVED_S:
            if time.monotonic() - started_s > context.silent_s and not is_resumed:
                is_resumed = True
                await asyncio.start_server(
                    context.peer.table._accept, sock=context.listener
                )
            if context.dead_at_s is None and hosts.list_dead():
                context.dead_at_s = time.monotonic() - started_s
            await asyncio.sleep(0.02)
        context.is_connected = connecting.done() and connecting.result().is_ok()
        await table.on_stop()

    context.run(run())


@then("the peer is connected, and never dead")
def check_connected(context):
    assert context.is_connected and context.dead_at_s is None, context.dead_at_s


@then("the peer is dead within {bound:g} s")
def check_dead(context, bound):
    assert context.dead_at_s is not None and context.dead_at_s <= bound


@given("two connected hosts, one of which answers after 0.4 s")
def start_slow_holder(context):
    async def run():
        context.peer, context.host = RelayingPeer(), RelayingPeer("a1", "zone-a")

        async def answer_late(stream, message):
            await asyncio.sleep(0.4)

        for message_type in (JournalOpen, JournalFind):
            context.peer.table.register_handler(message_type, answer_late)
        for host in (context.peer, context.host):
            await host.table.start()
        context.host.table.hosts.update_from_registration(context.peer.host)
        connected = await context.host.table.get_stream("b1")
        assert connected.is_ok(), connected

    context.run(run())


@when("the other asks it to keep a journal, and takes it for dead")
def ask_slow_holder(context):
    table = context.host.table
    store = Mock()
    store.find.return_value = None

    async def run():
        journals = JournalClient(table, store, context.host.clock, Mock())
        await journals.open("weavers", "key", b"digest", "g1", "b1")
        context.was_dead = table.hosts.list_dead() == ["b1"]
        started_s = time.monotonic()
        while table.hosts.list_dead() and time.monotonic() < started_s + 0.7:
            await asyncio.sleep(0.02)
        for host in (context.peer, context.host):
            await host.table.stop()

    context.run(run())


@then("it is alive within 0.7 s, and counts as reachable")
def check_alive(context):
    hosts = context.host.table.hosts
    assert context.was_dead
    assert not hosts.list_dead()
    assert hosts.can_reach_all()
