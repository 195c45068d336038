"""Callers' connections: timeouts of headers and idle time, limit of body size."""

import asyncio
from enum import Enum

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_server import Server
from expression import Error, Ok
from loguru import logger

from sapphirerock.connection.listener import BACKLOG
from sapphirerock.connection.upstream import limit_read_size
from sapphirerock.decisions.callerload import (
    ABANDONED_RESPONSE_S,
    CONNECTION_BYTES,
    QUEUED_REQUEST_BYTES,
    ConnectionPhase,
)

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
# Connections of callers are read in small blocks, so that those which send many small
# chunks don't hold up others.
READ_BLOCK_BYTES = 4 << 10
# Received content of a body that waits to be read, per connection.
READ_BUFFER_BYTES = 16 << 10
# Connections that are accepted before others are served.
ACCEPTS_PER_TURN = 16


class BodyFailure(Enum):
    """Why the body of a request was not read to its end."""

    TOO_LARGE = "body too large"
    TIMED_OUT = "body did not end in time"
    NO_ROOM = "no room for the request"


class CallerConnection(RequestHandler):
    """aiohttp's server protocol with a timeout for the head of a request.

    An open connection follows the limits of the configuration in force, but for shorter
    timeouts: its caller may not know these yet.

    Parameters
    ----------
    read_limits : callable
        Returns the current `CallerLimits`.
    load : CallerLoad
        Is charged for what the connection holds.
    """

    __slots__ = (
        "_body_timeout",
        "_first_limits",
        "_head_bytes",
        "_head_timer",
        "_is_serving",
        "_load",
        "_read_limits",
        "_unread_bytes",
        "_unread_timer",
        "_use",
    )

    def __init__(self, manager, read_limits, load, **kwargs):
        limits = read_limits()
        header_bytes = max(limits.header_bytes, LARGEST_HEADER_BYTES)
        super().__init__(
            manager,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=header_bytes,
            max_field_size=header_bytes,
            read_bufsize=READ_BUFFER_BYTES,
            **kwargs,
        )
        self._first_limits = limits
        self._read_limits = read_limits
        self._head_bytes = 0
        self._head_timer = None
        self._load = load
        self._use = None
        self._is_serving = False
        # Timeout of the body that is being read; None at other times.
        self._body_timeout = None
        self._unread_bytes = 0
        self._unread_timer = None

    def connection_made(self, transport):
        """Begin to read requests, unless the server has closed or has no room."""
        super().connection_made(transport)
        limit_read_size(transport, READ_BLOCK_BYTES)
        self._use = self._load.open(self)
        if self._use is None or self._manager.is_closed:
            self.abort()

    def abort(self):
        """Close the connection at once, without waiting for unsent bytes."""
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()

    def refuse(self):
        """Refuse the request whose body is being read, and close the connection."""
        if self._body_timeout is None:
            self.abort()
        else:
            # What still arrives is discarded.
            self.close()
            if not self._body_timeout.expired():
                self._body_timeout.reschedule(self._loop.time())

    def begin_request(self):
        """Note that a request is being served."""
        self._is_serving = True
        self._use.has_queue = bool(self._messages)

    def begin_stream(self):
        """Return whether there is room for a streamed response, and take it."""
        return self._load.begin_stream(self._use)

    def end_request(self):
        """Return the memory of a request that was served."""
        self._is_serving = False
        use = self._use
        self._load.end_stream(use)
        held_bytes = CONNECTION_BYTES + len(self._messages) * QUEUED_REQUEST_BYTES
        self._load.change(use, held_bytes + self._unread_bytes - use.held_bytes)
        use.has_served = True
        self._begin_phase()

    async def read_body(self, content, limit_bytes, deadline_s):
        """Read the body of a request; see `read_request_body`."""
        parts, size = [], 0
        try:
            async with asyncio.timeout_at(deadline_s) as self._body_timeout:
                while part := await content.readany():
                    size += len(part)
                    if size > limit_bytes:
                        return Error(BodyFailure.TOO_LARGE)
                    parts.append(part)
        except TimeoutError:
            is_late = self._loop.time() >= deadline_s
            return Error(BodyFailure.TIMED_OUT if is_late else BodyFailure.NO_ROOM)
        finally:
            self._body_timeout = None
        self._begin_phase()
        return Ok(b"".join(parts))

    def _begin_phase(self):
        """Record what the connection does, after a request or response has changed."""
        phase = ConnectionPhase.RUNNING if self._is_serving else ConnectionPhase.IDLE
        if self.writing_paused:
            phase = ConnectionPhase.UNREAD
        if self._use.phase is not ConnectionPhase.CLOSING:
            self._load.begin_phase(self._use, phase)

    def pause_writing(self):
        """Charge the connection for a response that its caller does not read."""
        super().pause_writing()
        self._unread_bytes = self.transport.get_write_buffer_size()
        self._begin_phase()
        self._unread_timer = self._loop.call_later(ABANDONED_RESPONSE_S, self.abort)
        self._load.change(self._use, self._unread_bytes)

    def resume_writing(self):
        """Return the memory of a response that was read."""
        super().resume_writing()
        self._stop_unread_timer()
        self._load.change(self._use, -self._unread_bytes)
        self._unread_bytes = 0
        self._begin_phase()

    def _stop_unread_timer(self):
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def data_received(self, data):
        """Process bytes; limit the time and size of a request's head until its end."""
        super().data_received(data)
        # What follows a refused request is discarded.
        is_kept = self._is_serving or self._waiter is not None
        if data and is_kept and not self._close and self._use is not None:
            self._load.receive(self._use, len(data))
            self._use.has_queue = self._is_serving and bool(self._messages)
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
        """Stop the timers of a closed connection, and return its memory."""
        self._stop_head_timer()
        self._stop_unread_timer()
        if self._use is not None:
            self._load.close(self._use)
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
    load : CallerLoad
        Memory and number of the connections.
    request_factory : callable or None
        Makes the requests, for an application; None for plain ones.
    cancels_handlers : bool
        Whether a handler is cancelled when its caller disconnects.

    Attributes
    ----------
    is_closed : bool
        Whether all connections have been closed; later ones are closed unread.
    """

    def __init__(
        self, handler, read_limits, load, request_factory=None, cancels_handlers=True
    ):
        super().__init__(
            self._serve,
            request_factory=request_factory,
            handler_cancellation=cancels_handlers,
        )
        self.is_closed = False
        self._handler = handler
        self._read_limits = read_limits
        self._load = load

    def __call__(self):
        """Return the protocol of a new connection."""
        return CallerConnection(
            self,
            self._read_limits,
            self._load,
            loop=self._loop,
            access_log=None,
            auto_decompress=False,
            lingering_time=LINGERING_TIME_S,
        )

    async def _serve(self, request):
        connection = request.protocol
        connection.begin_request()
        try:
            return await self._handler(request)
        finally:
            connection.end_request()

    async def listen(self, listening):
        """Accept connections, few at a time; return the `asyncio.Server`.

        Parameters
        ----------
        listening : socket.socket
            Listens for connections; see `open_listener`.
        """
        listener = await asyncio.get_running_loop().create_server(
            self, sock=listening, backlog=ACCEPTS_PER_TURN
        )
        # asyncio accepts as many connections at once as may wait.
        listening.listen(BACKLOG)
        return listener

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


async def read_request_body(request: BaseRequest, limit_bytes, deadline_s):
    """Read a request's body up to a size limit.

    Parameters
    ----------
    deadline_s : float
        Time of the event loop by which the body must be whole.

    Returns
    -------
    expression.Result of bytes or BodyFailure
    """
    return await request.protocol.read_body(request.content, limit_bytes, deadline_s)
