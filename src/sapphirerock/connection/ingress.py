"""Callers' connections: timeouts of headers and idle time, limit of body size."""

import asyncio

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_server import Server

# Time to read and discard the rest of a request that was answered before its end.
LINGERING_TIME_S = 1.0
DRAIN_POLL_S = 0.05
# A connection that was accepted just before the listener closed shows at a later poll.
EMPTY_DRAIN_POLLS = 2


class CallerConnection(RequestHandler):
    """aiohttp's server protocol with a timeout for the head of a request.

    Parameters
    ----------
    limits : CallerLimits
        Limits for the connection.
    """

    __slots__ = ("_head_timer", "_limits")

    def __init__(self, manager, limits, **kwargs):
        super().__init__(manager, keepalive_timeout=limits.idle_timeout_s, **kwargs)
        self._limits = limits
        self._head_timer = None

    def connection_made(self, transport):
        """Begin to read requests, unless the server has closed."""
        super().connection_made(transport)
        if self._manager.is_closed:
            self.force_close()

    def data_received(self, data):
        """Process bytes; time a request's head from its first bytes until its end."""
        super().data_received(data)
        is_waiting = self._waiter is not None and not self._waiter.done()
        if not is_waiting or self._messages:
            self._stop_head_timer()
        elif self._head_timer is None:
            self._head_timer = asyncio.get_running_loop().call_later(
                self._limits.header_timeout_s, self._close_slow_connection
            )

    def connection_lost(self, exc):
        """Stop the timer of a closed connection."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def _stop_head_timer(self):
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_slow_connection(self):
        self._head_timer = None
        self.force_close()

    @property
    def is_idle(self):
        """Whether the connection is waiting for the head of a request."""
        waiter = self._waiter
        return waiter is not None and not waiter.done() and not self._messages


class CallerServer(Server):
    """Server whose connections are of class `CallerConnection`.

    Parameters
    ----------
    handler : coroutine function
        Takes a request and returns its response.
    read_limits : callable
        Returns the current `CallerLimits`, which each new connection uses.

    Attributes
    ----------
    is_closed : bool
        Whether all connections have been closed; later ones are closed unread.
    """

    def __init__(self, handler, read_limits):
        super().__init__(handler, handler_cancellation=True)
        self.is_closed = False
        self._read_limits = read_limits

    def __call__(self):
        """Return the protocol of a new connection."""
        limits = self._read_limits()
        return CallerConnection(
            self,
            limits,
            loop=self._loop,
            access_log=None,
            auto_decompress=False,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            lingering_time=LINGERING_TIME_S,
        )

    async def drain(self, listener, deadline_s, clock):
        """Stop accepting connections and serve the open ones until they have closed.

        Parameters
        ----------
        listener : asyncio.Server
            Accepts this server's connections.
        deadline_s : float
            Monotonic time at which connections that are still open are cut off.
        clock : Clock
            Source of time.

        Returns
        -------
        int
            Number of connections that were cut off.
        """
        listener.close()
        empty_polls = 0
        while empty_polls < EMPTY_DRAIN_POLLS and clock.monotonic() < deadline_s:
            # A busy connection closes after its response; idle ones are closed here.
            self.close_idle()
            await clock.sleep(DRAIN_POLL_S)
            empty_polls = 0 if self.connections else empty_polls + 1
        cut_off = len(self.connections)
        self.close_all()
        return cut_off

    def close_idle(self):
        """Close connections without a request in progress."""
        for connection in self.connections:
            if connection.is_idle:
                connection.force_close()

    def close_all(self):
        """Close every connection and cut off responses in progress.

        Callers can tell that these responses are incomplete.
        """
        self.is_closed = True
        for connection in self.connections:
            connection.force_close()


async def read_request_body(request: BaseRequest, limit_bytes):
    """Read a request's body up to a size limit.

    Returns
    -------
    bytes or None
        None when the body exceeds the limit.
    """
    parts, size = [], 0
    while True:
        part = await request.content.readany()
        if not part:
            return b"".join(parts)
        parts.append(part)
        size += len(part)
        if size > limit_bytes:
            return None
