"""Whether a generation starts now, waits, or is turned away.

Answers the load pattern of more prompts than the engines have memory for, as when a
zone of engines is lost: a run that is started without room takes the place of others
in the middle of their streams, so it waits for room; and what cannot be served in its
time is refused at once.
"""

from dataclasses import dataclass
from enum import Enum

# Part of an engine's memory that is left for the growth of what it holds.
RESERVED_SHARE = 0.05


class Verdict(Enum):
    """What is to be done with a call."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(slots=True, frozen=True)
class AdmissionView:
    """What is known when a generation asks to start.

    Parameters
    ----------
    needed_tokens : int
        Memory that it will occupy.
    free_tokens : int or None
        Free memory of the engine that it would go to; None without any engine.
    capacity_tokens : int
        Memory of an engine.
    ahead_tokens : int
        Memory that calls before it wait for.
    freed_tokens_per_s : float
        Memory that runs of this host's part of the load set free.
    time_left_s : float
        Time until its caller gives up, in seconds.
    run_s : float
        Typical time of a run, in seconds.
    waited_s : float
        Time that it has waited, in seconds.
    outage_hold_s : float
        Time that it may wait while there is no engine at all, in seconds.
    """

    needed_tokens: int
    free_tokens: int | None
    capacity_tokens: int
    ahead_tokens: int
    freed_tokens_per_s: float
    time_left_s: float
    run_s: float
    waited_s: float
    outage_hold_s: float


@dataclass(slots=True, frozen=True)
class Admission:
    """A verdict, its reason, and the wait that is expected.

    Parameters
    ----------
    wait_s : float or None
        Seconds until there is room; None where that is not known.
    """

    verdict: Verdict
    reason: str
    wait_s: float | None = None


def admit(view):
    """Return what is to be done with a generation.

    Returns
    -------
    Admission
    """
    if view.free_tokens is None:
        return _admit_without_engines(view)
    if not view.capacity_tokens:
        return Admission(Verdict.START, "memory not known")
    room = view.free_tokens - RESERVED_SHARE * view.capacity_tokens
    if view.needed_tokens > view.capacity_tokens:
        return Admission(Verdict.START, "larger than any engine: let it say so")
    if not view.ahead_tokens and room >= view.needed_tokens:
        return Admission(Verdict.START, "room")
    lacking = view.ahead_tokens + view.needed_tokens - max(0, room)
    wait_s = max(0.0, lacking) / max(1.0, view.freed_tokens_per_s)
    if wait_s + view.run_s > view.time_left_s:
        return Admission(Verdict.REFUSE, "no room in its time", wait_s)
    return Admission(Verdict.WAIT, "no room", wait_s)


def _admit_without_engines(view):
    """Hold a call for a moment: engines of a zone come back together."""
    if view.waited_s < min(view.outage_hold_s, view.time_left_s):
        return Admission(Verdict.WAIT, "no engine")
    return Admission(Verdict.REFUSE, "no engine", None)
