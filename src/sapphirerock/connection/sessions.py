"""HTTP client sessions that are bound to this host's address."""

import fcntl
import struct
import termios
from functools import partial

from aiohttp import ClientPayloadError, ClientSession, ClientTimeout, TCPConnector
from aiohttp.client_proto import ResponseHandler

CONNECT_TIMEOUT_S = 0.5
# Statuses that can end an exchange (RFC 9110, section 15).
MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599
# Responses with other statuses below 200 precede the final one. This host asks for no
# other protocol.
SWITCHING_PROTOCOLS = 101
INTERIM_STATUSES = frozenset(range(100, 200)) - {SWITCHING_PROTOCOLS}
OUTGOING_BYTES = struct.Struct("i")


class StrictResponseProtocol(ResponseHandler):
    """aiohttp's client protocol, which rejects incomplete responses and odd statuses.

    The end of the connection ends a response without a length. aiohttp also accepts a
    reset as this end, and an end before the other side has received the request, though
    the response may be incomplete. It also accepts statuses that HTTP does not have.
    """

    def feed_data(self, data, size=0):
        """Pass on the head of a response; fail if its status is none of HTTP's."""
        status = data[0].code
        if is_final_status(status) or status in INTERIM_STATUSES:
            super().feed_data(data, size)
            return
        reason = f"status {status:03d} is no status of a response"
        self._fail_body(reason)
        self.set_exception(ClientPayloadError(reason))

    def eof_received(self):
        """Fail the response in progress if the request has not been received."""
        super().eof_received()
        unsent_bytes = measure_unsent_bytes(self.transport)
        if unsent_bytes:
            self._fail_body(
                f"the connection ended with {unsent_bytes} bytes of the request unsent"
            )

    def connection_lost(self, exc):
        """Fail the response in progress if the connection was reset."""
        if exc is not None:
            self._fail_body(f"reset: {exc!r}")
        super().connection_lost(exc)

    def _fail_body(self, reason):
        """Fail the body of the response in progress, unless it is whole."""
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(reason))


def is_final_status(status):
    """Return whether a status can be that of a response that ends an exchange."""
    return MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS


def measure_unsent_bytes(transport):
    """Return the bytes that were written and not received by the other side's system.

    Its end of a connection acknowledges all that it has received, so that this is 0
    once a process that has read the whole request closes the connection.
    """
    unsent_bytes = transport.get_write_buffer_size()
    connection = transport.get_extra_info("socket")
    try:
        data = fcntl.ioctl(
            connection.fileno(), termios.TIOCOUTQ, OUTGOING_BYTES.size * b"\0"
        )
    except OSError:
        # The system does not tell; the transport's own buffer decides.
        return unsent_bytes
    return unsent_bytes + OUTGOING_BYTES.unpack(data)[0]


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
    use_protocol(connector, StrictResponseProtocol)
    return ClientSession(
        connector=connector, timeout=ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
    )
