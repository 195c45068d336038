"""Connections to engines that a peer relays, seen from the host that uses them.

The host sends `RelayOpen` and then the bytes of its HTTP request. The peer replies with
`RelayOpened` or `Refusal`, followed by one msgpack object for each block of bytes from
the engine, and by nil when the engine has closed the connection. A connection that ends
without nil was broken off, so an incomplete response is never taken for a whole one.
"""

from functools import partial

import msgpack
from aiohttp import BaseConnector, ClientConnectorError

from sapphirerock.connection.errors import RelayError
from sapphirerock.connection.messages import (
    RelayOpen,
    RelayOpened,
    decode_frame,
    encode_frame,
)
from sapphirerock.connection.timeouts import limit_wait
from sapphirerock.connection.upstream import UpstreamProtocol, make_exchange_session

# Two round trips between regions, and the time that the peer has to connect.
RELAY_OPEN_TIMEOUT_S = 0.45
# An exchange with less time in total leaves this much after the reply, so that a silent
# peer is told from a silent engine.
RELAY_REPLY_MARGIN_S = 0.02
# Largest block of bytes in one msgpack object.
RELAY_BLOCK_BYTES = 1 << 14
# One read of asyncio's transports, which have 256 KiB, and the start of a block.
RELAY_BUFFER_BYTES = 1 << 19
# Reasons for which a peer refuses a connection because of the engine.
ENGINE_REFUSED = "engine refused the connection"
ENGINE_UNREACHABLE = "engine unreachable"


CONNECT_ERRORS = {
    ENGINE_REFUSED: ConnectionRefusedError,
    ENGINE_UNREACHABLE: TimeoutError,
}


class EngineConnectError(Exception):
    """The peer could not connect to the engine.

    Attributes
    ----------
    os_error : OSError
        The peer's failure, as if this host had connected itself.
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.os_error = CONNECT_ERRORS[reason](reason)


class RelayedProtocol(UpstreamProtocol):
    """Protocol of a relayed connection: unpacks what the peer received.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop of the connection.
    address : str
        Address of the engine, as ``ip:port``.

    Attributes
    ----------
    opened : asyncio.Future
        Done when the peer has replied; fails if it is not connected to the engine.
    """

    def __init__(self, loop, address):
        super().__init__(loop)
        self.opened = loop.create_future()
        # Unread if the caller gave up before the peer replied.
        self.opened.add_done_callback(consume_exception)
        self._address = address
        self._unpacker = msgpack.Unpacker(max_buffer_size=RELAY_BUFFER_BYTES)
        self._has_engine_closed = False

    def connection_made(self, transport):
        """Ask the peer for a connection to the engine."""
        super().connection_made(transport)
        transport.write(encode_frame(0, RelayOpen(self._address)))

    def data_received(self, data):
        """Unpack the peer's reply and the bytes of the engine."""
        if not data:
            # aiohttp resumes its parser, which was paused within a block.
            super().data_received(data)
            return
        try:
            self._unpacker.feed(data)
            for item in self._unpacker:
                self._receive_item(item)
        except (ValueError, msgpack.UnpackException) as error:
            self._fail(RelayError(f"malformed data: {error!r}"))

    def _receive_item(self, item):
        if not self.opened.done():
            self._receive_reply(decode_frame(item)[1])
        elif item is None:
            self._has_engine_closed = True
        elif isinstance(item, bytes):
            super().data_received(item)
        else:
            raise ValueError("neither bytes nor nil")

    def _receive_reply(self, reply):
        if isinstance(reply, RelayOpened):
            self.opened.set_result(None)
            return
        reason = getattr(reply, "reason", type(reply).__name__)
        if reason in CONNECT_ERRORS:
            self._fail(EngineConnectError(reason))
        else:
            self._fail(RelayError(reason, has_replied=True))

    def _fail(self, error):
        """Abort the connection."""
        if not self.opened.done():
            self.opened.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc):
        """Fail the response in progress unless the engine has closed the connection."""
        if not self.opened.done():
            self.opened.set_exception(RelayError(f"connection closed: {exc!r}"))
        if exc is None and not self._has_engine_closed:
            exc = ConnectionResetError("relayed connection broken off")
        super().connection_lost(exc)


def consume_exception(future):
    """Mark the exception of a future as seen, so that asyncio logs no error."""
    if not future.cancelled():
        future.exception()


class RelayConnector(BaseConnector):
    """Opens connections to engines through one peer.

    Parameters
    ----------
    address : str
        Local IP address of outgoing connections.
    relay_address : str
        IP address of the peer.
    relay_port : int
        Port on which the peer accepts peers.
    """

    def __init__(self, address, relay_address, relay_port):
        super().__init__(limit=0, force_close=True)
        self._local_address = (address, 0)
        self._relay_address = relay_address
        self._relay_port = relay_port

    async def _create_connection(self, req, traces, timeout):
        engine_address = f"{req.url.host}:{req.url.port}"
        timeout_s = RELAY_OPEN_TIMEOUT_S
        if timeout.total is not None:
            timeout_s = min(timeout_s, timeout.total - RELAY_REPLY_MARGIN_S)
        try:
            async with limit_wait(timeout_s):
                return await self._open(engine_address)
        except EngineConnectError as error:
            failure = error.os_error
        except TimeoutError:
            failure = RelayError("no reply in time", is_silent=True)
        except RelayError as error:
            failure = error
        except OSError as error:
            failure = RelayError(repr(error))
        raise ClientConnectorError(req.connection_key, failure)

    async def _open(self, engine_address):
        transport, protocol = await self._loop.create_connection(
            partial(RelayedProtocol, self._loop, engine_address),
            self._relay_address,
            self._relay_port,
            local_addr=self._local_address,
        )
        try:
            await protocol.opened
        except BaseException:
            transport.abort()
            raise
        return protocol


def make_relay_session(address, relay):
    """Return an HTTP client session for exchanges with engines through a peer.

    Parameters
    ----------
    address : str
        Local IP address of outgoing connections.
    relay : HostAddress
        The peer.
    """
    return make_exchange_session(
        RelayConnector(address, relay.address, relay.peer_port)
    )
