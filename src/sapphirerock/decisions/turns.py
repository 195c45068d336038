"""Turns at engines that limit the requests they accept from all hosts together.

Handles more calls than a limited engine accepts, arriving at many hosts at once. One
schedule for each engine, on the host that owns it, spaces all calls to the engine.
"""

from dataclasses import dataclass

# Turns that are kept for later while no call asks for one, so that the limit is used
# up although the next call comes a little later.
KEPT_TURNS = 2.0
# Share of its remaining time that a call of the highest priority may wait for its turn.
MAX_WAIT_SHARE = 0.5
# Longest wait of a stream that resumes, whose caller has seen its first events.
RESUMPTION_MAX_WAIT_S = 3.0


@dataclass(slots=True, frozen=True)
class Turn:
    """Answer to the request for a turn.

    Parameters
    ----------
    is_granted : bool
        Whether the turn is reserved for the call.
    wait_s : float
        Time until the turn, in seconds; if not granted, until the first free turn.
    next_wait_s : float
        Time until the first turn that is free after this answer, in seconds.
    has_owner : bool
        Whether a host that owns the turns has answered.
    """

    is_granted: bool
    wait_s: float
    next_wait_s: float
    has_owner: bool = True


class TurnSchedule:
    """Reserved turns of one engine.

    Parameters
    ----------
    limit_per_s : float
        Turns per second.
    now_s : float
        Monotonic time. The first turn is an interval later, so that a schedule that
        replaces one on another host does not repeat its last turns.
    """

    __slots__ = ("_free_s",)

    def __init__(self, limit_per_s, now_s):
        self._free_s = now_s + 1 / limit_per_s

    def reserve(self, limit_per_s, max_wait_s, now_s):
        """Reserve the first free turn if it comes within ``max_wait_s``; return it."""
        interval_s = 1 / limit_per_s
        free_s = max(self._free_s, now_s - KEPT_TURNS * interval_s)
        wait_s = max(0.0, free_s - now_s)
        if wait_s > max_wait_s:
            return Turn(False, wait_s, wait_s)
        self._free_s = free_s + interval_s
        return Turn(True, wait_s, max(0.0, self._free_s - now_s))

    def postpone(self, free_s):
        """Reserve all turns before a monotonic time, which another host granted."""
        self._free_s = max(self._free_s, free_s)


def choose_max_wait(remaining_s, priority):
    """Return how long a call may wait for its turn, in seconds.

    Calls of low priority reserve turns less far ahead, which leaves the later ones to
    urgent calls.

    Parameters
    ----------
    remaining_s : float
        Time within which the call must start, in seconds.
    priority : int
        Priority of the call; 0 is the highest.
    """
    return max(0.0, MAX_WAIT_SHARE * remaining_s / (1 + max(0, priority)))
