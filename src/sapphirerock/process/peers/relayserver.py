"""Connections to engines that this host relays for peers that can't reach them.

Only registered engines are connected to, and only directly, so a connection is relayed
once at most. See `sapphirerock.connection.relay` for the other end.
"""

import asyncio

import msgpack
from loguru import logger

from sapphirerock.connection.messages import Refusal, RelayOpened, encode_frame
from sapphirerock.connection.relay import (
    ENGINE_REFUSED,
    ENGINE_UNREACHABLE,
    RELAY_BLOCK_BYTES,
)
from sapphirerock.connection.sessions import measure_unsent_bytes
from sapphirerock.connection.upstream import CONNECT_TIMEOUT_S, limit_read_size

# Leaves most of a host's descriptors and memory to its own callers: a connection uses
# two descriptors, and up to 200 KiB if neither end reads.
MAX_RELAYED_CONNECTIONS = 256
DRAIN_POLL_S = 0.05
# Passes of the event loop in which bytes that wait in a socket are read and passed on.
PASSES_TO_ENGINE = 3
END_OF_CONNECTION = msgpack.packb(None)


class RelayServer:
    """Relays connections of peers to engines.

    Parameters
    ----------
    engines : EngineTable
        Registered engines.
    address : str
        Local IP address of outgoing connections.
    clock : Clock
        Source of time.
    metrics : EdgeMetrics
        Counts relayed connections.

    Attributes
    ----------
    on_unreachable : list of callable
        Called with the state of an engine that this host could not connect to.
    is_closed : bool
        Whether new connections are refused because the process is shutting down.
    """

    __slots__ = (
        "on_unreachable",
        "is_closed",
        "_engines",
        "_address",
        "_clock",
        "_metrics",
        "_open_connections",
    )

    def __init__(self, engines, address, clock, metrics):
        self.on_unreachable = []
        self.is_closed = False
        self._engines = engines
        self._address = address
        self._clock = clock
        self._metrics = metrics
        self._open_connections = 0

    async def serve(self, reader, writer, request):
        """Relay one connection of a peer until either end closes it.

        Parameters
        ----------
        reader, writer : asyncio streams
            Connection of the peer.
        request : RelayOpen
            The engine.
        """
        peer = writer.get_extra_info("peername")
        state = self._find_engine(request.address)
        refusal = self._find_refusal(state)
        if refusal is None:
            self._open_connections += 1
            try:
                refusal = await self._connect_and_relay(reader, writer, state)
            finally:
                self._open_connections -= 1
        if refusal is not None:
            self._metrics.relayed_connections.labels("refused").inc()
            logger.bind(
                peer=peer[0] if peer else None,
                address=request.address,
                engine=state.name if state else None,
                cause=refusal,
                open=self._open_connections,
            ).info("relayed connection refused")
            writer.write(encode_frame(0, Refusal(refusal)))
            writer.close()

    def _find_engine(self, address):
        return next(
            (
                state
                for state in self._engines.list_all()
                if state.entry.address == address and not state.is_removed
            ),
            None,
        )

    def _find_refusal(self, state):
        """Return why a connection to an engine is not attempted, or None."""
        if self.is_closed:
            return "shutting down"
        if state is None:
            return "unknown engine"
        if state.is_relayed:
            return "engine not reached directly"
        if self._engines.measure_rest_s(state):
            return "engine asked for rest"
        if self._open_connections >= MAX_RELAYED_CONNECTIONS:
            return "too many relayed connections"
        return None

    async def _connect_and_relay(self, reader, writer, state):
        """Connect to an engine and relay; return the reason if that fails, or None."""
        address, _, port = state.entry.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                engine_reader, engine_writer = await asyncio.open_connection(
                    address,
                    int(port),
                    local_addr=(self._address, 0),
                    limit=RELAY_BLOCK_BYTES,
                )
        except OSError as error:
            for notify in self.on_unreachable:
                notify(state)
            if isinstance(error, ConnectionRefusedError):
                return ENGINE_REFUSED
            return ENGINE_UNREACHABLE
        self._metrics.relayed_connections.labels("opened").inc()
        for end in (writer, engine_writer):
            end.transport.set_write_buffer_limits(RELAY_BLOCK_BYTES)
            limit_read_size(end.transport, RELAY_BLOCK_BYTES)
        writer.write(encode_frame(0, RelayOpened()))
        requests = asyncio.ensure_future(copy_request(reader, engine_writer))
        responses = asyncio.ensure_future(
            copy_response(engine_reader, engine_writer, writer)
        )
        try:
            await asyncio.wait(
                (requests, responses), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            requests.cancel()
            responses.cancel()
            engine_writer.transport.abort()
        if not responses.done() or not responses.result():
            writer.transport.abort()
        else:
            writer.close()
        return None

    async def drain(self, deadline_s):
        """Refuse new connections, and wait for the open ones until a deadline.

        Returns
        -------
        int
            Number of connections that are still open.
        """
        self.is_closed = True
        while self._open_connections and self._clock.monotonic() < deadline_s:
            await self._clock.sleep(DRAIN_POLL_S)
        return self._open_connections


async def copy_request(reader, engine_writer):
    """Copy bytes of a peer to an engine until the peer closes the connection."""
    try:
        while data := await reader.read(RELAY_BLOCK_BYTES):
            engine_writer.write(data)
            await engine_writer.drain()
    except OSError as error:
        logger.bind(cause=repr(error)).debug("relayed connection of peer broken off")


async def copy_response(engine_reader, engine_writer, writer):
    """Copy bytes of an engine to a peer until the engine closes the connection.

    The peer takes a connection without the end mark for broken off. An engine that
    closes before it has received the request has broken off.

    Returns
    -------
    bool
        Whether the engine closed the connection, and the peer has got all its bytes.
    """
    try:
        while data := await engine_reader.read(RELAY_BLOCK_BYTES):
            writer.write(msgpack.packb(data))
            await writer.drain()
        if await has_received_request(engine_writer.transport):
            writer.write(END_OF_CONNECTION)
        await writer.drain()
    except OSError as error:
        logger.bind(cause=repr(error)).debug("relayed connection to engine broken off")
        return False
    return True


async def has_received_request(transport):
    """Return whether an engine that has ended its side has received the request.

    Bytes of the peer that have arrived here are passed on first.

    Parameters
    ----------
    transport : asyncio.Transport
        Connection to the engine. It is closing if bytes could not be sent.
    """
    for _ in range(PASSES_TO_ENGINE):
        await asyncio.sleep(0)
    is_lost = transport.is_closing()
    unsent_bytes = None if is_lost else measure_unsent_bytes(transport)
    if is_lost or unsent_bytes:
        logger.bind(unsent_bytes=unsent_bytes).info(
            "engine closed relayed connection before it had the request"
        )
    return not is_lost and not unsent_bytes
