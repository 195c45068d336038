"""Callers' connections: timeouts of headers and idle time, limit of body size."""

import asyncio

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_server import Server
from loguru import logger

# Time to read and discard the rest of a request that was answered before its end.
LINGERING_TIME_S = 1.0
DRAIN_POLL_S = 0.05
# A connection that was accepted just before the listener closed shows at a later poll.
EMPTY_DRAIN_POLLS = 2
# Largest header that any open connection can receive, since its parser keeps its limit
# when a later configuration allows larger ones.
LARGEST_HEADER_BYTES = 64 << 10
# Largest head of a request, which the parser does not limit.
LARGEST_HEAD_BYTES = 2 * LARGEST_HEADER_BYTES


class CallerConnection(RequestHandler):
    """aiohttp's server protocol with a timeout for the head of a request.

    An open connection follows the limits of the configuration in force, but for shorter
    timeouts: its caller may not know these yet.

    Parameters
    ----------
    read_limits : callable
        Returns the current `CallerLimits`.
    """

    __slots__ = ("_first_limits", "_head_bytes", "_head_timer", "_read_limits")

    def __init__(self, manager, read_limits, **kwargs):
        limits = read_limits()
        header_bytes = max(limits.header_bytes, LARGEST_HEADER_BYTES)
        super().__init__(
            manager,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=header_bytes,
            max_field_size=header_bytes,
            **kwargs,
        )
        self._first_limits = limits
        self._read_limits = read_limits
        self._head_bytes = 0
        self._head_timer = None

    def connection_made(self, transport):
        """Begin to read requests, unless the server has closed."""
        super().connection_made(transport)
        if self._manager.is_closed:
            self.force_close()

    def data_received(self, data):
        """Process bytes; limit the time and size of a request's head until its end."""
        super().data_received(data)
        is_waiting = self._waiter is not None and not self._waiter.done()
        if not is_waiting or self._messages:
            self._head_bytes = 0
            self._stop_head_timer()
            return
        self._head_bytes += len(data)
        if self._head_bytes > LARGEST_HEAD_BYTES:
            logger.bind(size=self._head_bytes).info("head of request too large")
            self.force_close()
        elif self._head_timer is None:
            self._head_timer = asyncio.get_running_loop().call_later(
                max(
                    self._first_limits.header_timeout_s,
                    self._read_limits().header_timeout_s,
                ),
                self._close_slow_connection,
            )

    def connection_lost(self, exc):
        """Stop the timer of a closed connection."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def _stop_head_timer(self):
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _process_keepalive(self):
        """Close the connection if it is idle, unless it may be so for longer by now."""
        idle_timeout_s = self._read_limits().idle_timeout_s
        extra_s = max(0.0, idle_timeout_s - self._first_limits.idle_timeout_s)
        close_time_s = self._next_keepalive_close_time + extra_s
        if self.is_idle and self._loop.time() < close_time_s:
            self._keepalive_handle = self._loop.call_at(
                close_time_s, self._process_keepalive
            )
        else:
            super()._process_keepalive()

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
        Returns the current `CallerLimits`.

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
        return CallerConnection(
            self,
            self._read_limits,
            loop=self._loop,
            access_log=None,
            auto_decompress=False,
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


def has_large_header(request: BaseRequest, limit_bytes):
    """Return whether a header of a request, or its target, exceeds a size limit."""
    return len(request.raw_path) > limit_bytes or any(
        len(value) > limit_bytes for _, value in request.raw_headers
    )


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
