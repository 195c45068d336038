"""Which callers' connections a host closes when they hold too much of it.

Handles crowds of callers whose requests are within the limits one by one, but not
together: bodies that stop short of their end, heads that never end, connections that
are only opened, and responses that nobody reads. Each connection is charged for what
it holds. When all of them exceed the memory or the connections of the host, those that
hold much and make no progress are closed first. A request that an engine may be
running is never cut off; its memory is returned when it ends.
"""

import math
from dataclasses import dataclass
from enum import Enum

# Share of the host's memory that callers' requests may hold.
CALLER_MEMORY_SHARE = 1 / 4
# Memory of a host that states none, in MB.
DEFAULT_MEMORY_MB = 128.0
# Objects of an open connection.
CONNECTION_BYTES = 8 << 10
# A request is held as received and as decoded or about to be sent.
COPIES = 2
# Requests up to this size are turned away only when the reserve is used up as well.
SMALL_REQUEST_BYTES = 16 << 10
# Part of the memory that is kept for small requests.
SMALL_RESERVE_SHARE = 1 / 4
# Share of the host's descriptors for callers' connections. Each may need another one to
# an engine; peers and the store have the rest.
CALLER_FILES_SHARE = 3 / 8
# Share of callers' connections that may have a streamed response, so that plain calls
# find one: they end soon, streams last.
STREAM_SHARE = 3 / 4
# Share of the connections that may be open beyond their number, while as many others
# close after their last response.
ENDING_SHARE = 1 / 16
# Descriptors of a host that states none.
DEFAULT_FILES = 1024
# A connection that has received nothing for this time makes no progress.
STALL_S = 1.0
# Most requests are received whole within this time.
USUAL_RECEPTION_S = 0.25
# Callers abandon a stream after a gap of two seconds or more.
UNREAD_RESPONSE_S = 2.0
# A response that is not read for this time is cut off, also without need.
ABANDONED_RESPONSE_S = 15.0
# Parsed head of a request that waits for the one before it.
QUEUED_REQUEST_BYTES = 4 << 10


class ConnectionPhase(Enum):
    """What a caller's connection is doing."""

    IDLE = "idle"
    RECEIVING = "receiving"
    RUNNING = "running"
    UNREAD = "unread"
    CLOSING = "closing"


@dataclass(slots=True, eq=False)
class ConnectionUse:
    """What one caller's connection holds.

    Parameters
    ----------
    phase : ConnectionPhase
        ``RUNNING`` once a request is whole, ``UNREAD`` while its response waits for
        the caller to read, ``CLOSING`` once its request was refused for others.
    held_bytes : int
        Memory that it is charged for, in bytes.
    progress_s : float
        Monotonic time of the last received byte, or of the start of the phase.
    began_s : float
        Monotonic time at which the phase began.
    has_served : bool
        Whether a request on the connection was answered.
    is_streaming : bool
        Whether it has a streamed response.
    has_queue : bool
        Whether further requests wait for the one that is being served.
    is_ending : bool
        Whether it closes after the response to the request that is being served.
    """

    phase: ConnectionPhase
    held_bytes: int
    progress_s: float
    began_s: float
    has_served: bool = False
    is_streaming: bool = False
    has_queue: bool = False
    is_ending: bool = False


@dataclass(slots=True, frozen=True)
class CallerCapacity:
    """What all callers of a host may hold together.

    Parameters
    ----------
    memory_bytes : int
        Memory for connections and requests, in bytes.
    connections : int
        Number of open connections.
    """

    memory_bytes: int
    connections: int

    @property
    def ending_connections(self):
        """Number of connections that may be open beyond these while they end."""
        return math.ceil(self.connections * ENDING_SHARE)


def choose_caller_capacity(memory_mb, max_files, largest_request_bytes):
    """Return the capacity for callers, enough for two requests of the largest size.

    Parameters
    ----------
    memory_mb : float or None
        Memory of the host; None if it is not known.
    max_files : int or None
        Descriptors that the process may open; None if it is not known.
    largest_request_bytes : int
        Largest allowed head and body of a request, in bytes.
    """
    allowed_bytes = (memory_mb or DEFAULT_MEMORY_MB) * CALLER_MEMORY_SHARE * (1 << 20)
    needed_bytes = 2 * COPIES * largest_request_bytes / (1 - SMALL_RESERVE_SHARE)
    files = max_files or DEFAULT_FILES
    return CallerCapacity(
        int(max(allowed_bytes, needed_bytes)), max(1, int(files * CALLER_FILES_SHARE))
    )


def choose_stream_limit(capacity):
    """Return the number of streamed responses that callers may have at once."""
    return max(1, int(capacity.connections * STREAM_SHARE))


def measure_large_limit(capacity):
    """Return the memory that large requests may use up, in bytes."""
    return int(capacity.memory_bytes * (1 - SMALL_RESERVE_SHARE))


def choose_connections_to_close(uses, held_bytes, capacity, now_s):
    """Return the connections to close so that the rest fits the memory, in order.

    Without stalled or large requests none are closed until the reserve for small ones
    is used up.

    Parameters
    ----------
    uses : iterable of ConnectionUse
        All open connections.
    held_bytes : int
        Sum of what they hold, in bytes.
    capacity : CallerCapacity
        What they may hold.
    now_s : float
        Monotonic time, in seconds.

    Returns
    -------
    list of ConnectionUse
    """
    large_limit_bytes = measure_large_limit(capacity)
    chosen = []
    candidates = sorted(
        (use for use in uses if may_close(use, now_s)),
        key=lambda use: (is_stalled(use, now_s), use.held_bytes),
        reverse=True,
    )
    for use in candidates:
        is_small = use.held_bytes <= COPIES * SMALL_REQUEST_BYTES + CONNECTION_BYTES
        limit_bytes = capacity.memory_bytes if is_small else large_limit_bytes
        if held_bytes > limit_bytes:
            chosen.append(use)
            held_bytes -= use.held_bytes
    return chosen


def choose_connection_to_replace(uses, now_s):
    """Return the connection to close for a new one, or None if all are busy.

    Connections without a request go first: those that never had one, then the one
    that has been idle for longest. Then the oldest request that is not whole goes.

    Parameters
    ----------
    uses : iterable of ConnectionUse
        All open connections, without the new one.
    now_s : float
        Monotonic time, in seconds.
    """
    return min(
        (use for use in uses if _may_replace(use, now_s)),
        key=lambda use: (
            use.phase is not ConnectionPhase.IDLE,
            use.has_served,
            use.began_s,
        ),
        default=None,
    )


def choose_connection_to_end(uses):
    """Return the connection to close after its response, or None if there is none.

    A caller that sends requests without waiting for their responses would otherwise
    keep its place for as long as it likes.

    Parameters
    ----------
    uses : iterable of ConnectionUse
        All open connections, without the new one.
    """
    return min(
        (use for use in uses if use.has_queue and not use.is_ending),
        key=lambda use: (use.is_streaming, use.began_s),
        default=None,
    )


def _may_replace(use, now_s):
    if use.phase is ConnectionPhase.RECEIVING:
        return now_s - use.began_s > USUAL_RECEPTION_S
    return may_close(use, now_s)


def may_close(use, now_s):
    """Return whether closing a connection cuts off no request that may be running.

    A caller that has not read its response for long has abandoned it.
    """
    if use.phase is ConnectionPhase.UNREAD:
        return now_s - use.began_s > UNREAD_RESPONSE_S
    return use.phase in (ConnectionPhase.IDLE, ConnectionPhase.RECEIVING)


def is_stalled(use, now_s):
    """Return whether a connection holds a request or response without progress."""
    if use.phase is ConnectionPhase.UNREAD:
        return now_s - use.began_s > UNREAD_RESPONSE_S
    is_receiving = use.phase is ConnectionPhase.RECEIVING
    return is_receiving and now_s - use.progress_s > STALL_S
