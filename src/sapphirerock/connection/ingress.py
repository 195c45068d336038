"""Callers' connections: heads, bodies and idle time within bounds."""

import asyncio

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest

LINGER_S = 1.0


class CallerConnection(RequestHandler):
    """The library's server protocol, with a bound on how long a head may take."""

    __slots__ = ("_head_timer", "_limits")

    def __init__(self, manager, limits, **kwargs):
        super().__init__(manager, keepalive_timeout=limits.idle_timeout_s, **kwargs)
        self._limits = limits
        self._head_timer = None

    def data_received(self, data):
        """Take bytes; the first ones of a head start its time."""
        super().data_received(data)
        is_waiting = self._waiter is not None and not self._waiter.done()
        if not is_waiting or self._messages:
            self._stop_head_timer()
        elif self._head_timer is None:
            self._head_timer = asyncio.get_running_loop().call_later(
                self._limits.header_timeout_s, self._end_slow_head
            )

    def connection_lost(self, exc):
        """Forget the connection."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def _stop_head_timer(self):
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _end_slow_head(self):
        self._head_timer = None
        self.force_close()

    @property
    def is_idle(self):
        """Whether the connection waits for the head of a request."""
        waiter = self._waiter
        return waiter is not None and not waiter.done() and not self._messages


class CallerServer(web.Server):
    """Makes a `CallerConnection` for each connection.

    Parameters
    ----------
    handler : coroutine function
        From a request to its answer.
    read_limits : callable
        Returns the `CallerLimits` in force.
    """

    def __init__(self, handler, read_limits):
        super().__init__(handler, handler_cancellation=True)
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
            lingering_time=LINGER_S,
        )

    def close_idle(self):
        """Close connections on which no request is being answered."""
        for connection in self.connections:
            if connection.is_idle:
                connection.force_close()

    def close_all(self):
        """Close every connection; answers under way do not look complete."""
        for connection in self.connections:
            connection.force_close()


async def read_request_body(request: BaseRequest, limit_bytes):
    """Read a body of bounded size.

    Returns
    -------
    bytes or None
        None where it is larger.
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
