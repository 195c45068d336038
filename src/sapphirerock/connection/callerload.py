"""What the open connections of callers hold, and which of them have to close."""

from loguru import logger

from sapphirerock.decisions.callerload import (
    CONNECTION_BYTES,
    COPIES,
    ConnectionPhase,
    ConnectionUse,
    choose_caller_capacity,
    choose_connection_to_end,
    choose_connection_to_replace,
    choose_connections_to_close,
    choose_stream_limit,
    measure_large_limit,
)


class CallerLoad:
    """Memory and number of the connections of all callers.

    Parameters
    ----------
    memory_mb : float or None
        Memory of the host; None if it is not known.
    max_files : int or None
        Descriptors that the process may open; None if it is not known.
    read_limits : callable
        Returns the current `CallerLimits`.
    clock : Clock
        Source of time.
    closed : prometheus_client.Counter
        Counts connections that were closed for others, by cause.

    Attributes
    ----------
    held_bytes : int
        Sum of what the connections hold.
    """

    __slots__ = (
        "held_bytes",
        "_memory_mb",
        "_max_files",
        "_read_limits",
        "_clock",
        "_closed",
        "_connections",
        "_streams",
        "_ending",
    )

    def __init__(self, memory_mb, max_files, read_limits, clock, closed):
        self.held_bytes = 0
        self._memory_mb = memory_mb
        self._max_files = max_files
        self._read_limits = read_limits
        self._clock = clock
        self._closed = closed
        self._connections = {}
        self._streams = 0
        self._ending = 0

    def __len__(self):
        return len(self._connections)

    @property
    def capacity(self):
        """What the connections may hold, under the limits in force."""
        limits = self._read_limits()
        return choose_caller_capacity(
            self._memory_mb, self._max_files, limits.body_bytes + limits.header_bytes
        )

    def open(self, connection):
        """Add a connection; return its use, or None if all others are busy."""
        now_s = self._clock.monotonic()
        lasting = len(self._connections) - self._ending
        if lasting >= self.capacity.connections and not self._close_one_for_new(now_s):
            self._record(None, "new connection")
            return None
        use = ConnectionUse(ConnectionPhase.IDLE, 0, now_s, now_s)
        self._connections[use] = connection
        self.change(use, CONNECTION_BYTES)
        return use

    def _close_one_for_new(self, now_s):
        """Close a connection, now or after its response; return whether one closes."""
        replaced = choose_connection_to_replace(self._connections, now_s)
        if replaced is not None:
            self._record(replaced, "too many connections")
            other = self._connections[replaced]
            self.close(replaced)
            other.abort()
            return True
        if self._ending >= self.capacity.ending_connections:
            return False
        ended = choose_connection_to_end(self._connections)
        if ended is None:
            return False
        self._record(ended, "pipelined requests")
        ended.is_ending = True
        self._ending += 1
        self._connections[ended].close()
        return True

    def close(self, use):
        """Remove a connection."""
        if self._connections.pop(use, None) is not None:
            self.held_bytes -= use.held_bytes
            self._ending -= use.is_ending
            self.end_stream(use)

    def begin_stream(self, use):
        """Return whether a connection may have a streamed response, and count it."""
        if self._streams >= choose_stream_limit(self.capacity):
            return False
        use.is_streaming = True
        self._streams += 1
        return True

    def end_stream(self, use):
        """Note that a connection has no streamed response any more."""
        self._streams -= use.is_streaming
        use.is_streaming = False

    def receive(self, use, size):
        """Charge a connection for received bytes; close some if this is too much."""
        if use.phase is ConnectionPhase.IDLE:
            self.begin_phase(use, ConnectionPhase.RECEIVING)
        use.progress_s = self._clock.monotonic()
        self.change(use, COPIES * size)

    def change(self, use, difference):
        """Change what a connection holds; close some if this is too much."""
        if use not in self._connections:
            return
        use.held_bytes += difference
        self.held_bytes += difference
        if difference > 0:
            self._close_excess()

    def begin_phase(self, use, phase):
        """Record what a connection does from now on."""
        use.phase = phase
        use.began_s = use.progress_s = self._clock.monotonic()

    def _close_excess(self):
        capacity = self.capacity
        if self.held_bytes <= measure_large_limit(capacity):
            return
        chosen = choose_connections_to_close(
            self._connections, self.held_bytes, capacity, self._clock.monotonic()
        )
        for use in chosen:
            self._record(use, "memory")
            self.begin_phase(use, ConnectionPhase.CLOSING)
            self.change(use, CONNECTION_BYTES - use.held_bytes)
            self._connections[use].refuse()

    def _record(self, use, cause):
        self._closed.labels(cause).inc()
        fields = {"connections": len(self._connections), "held": self.held_bytes}
        if use is not None:
            now_s = self._clock.monotonic()
            fields["phase"] = use.phase.value
            fields["size"] = use.held_bytes
            fields["idle_s"] = round(now_s - use.progress_s, 3)
        logger.bind(cause=cause, **fields).info("connection of caller closed")
