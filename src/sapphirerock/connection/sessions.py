"""HTTP client sessions that are bound to this host's address."""

from functools import partial

from aiohttp import ClientPayloadError, ClientSession, ClientTimeout, TCPConnector
from aiohttp.client_proto import ResponseHandler

CONNECT_TIMEOUT_S = 0.5


class ResetAwareProtocol(ResponseHandler):
    """aiohttp's client protocol with an error for a response that a reset cuts off.

    The end of the connection ends a response without a length. aiohttp also accepts a
    reset as this end, though the response may be incomplete.
    """

    def connection_lost(self, exc):
        """Fail the response in progress if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"reset: {exc!r}"))
        super().connection_lost(exc)


def use_protocol(connector, protocol_type):
    """Make the new connections of an aiohttp connector use a protocol class."""
    # aiohttp has no public way to set it.
    connector._factory = partial(protocol_type, loop=connector._loop)


def make_session(address, force_close=False):
    """Return an HTTP client session.

    Parameters
    ----------
    address : str
        Local IP address of outgoing connections.
    force_close : bool
        Whether to open a new connection for each request.
    """
    connector = TCPConnector(limit=0, local_addr=(address, 0), force_close=force_close)
    use_protocol(connector, ResetAwareProtocol)
    return ClientSession(
        connector=connector, timeout=ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
    )
