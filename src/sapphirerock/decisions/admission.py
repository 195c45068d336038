"""Whether a generation starts now, waits, or is refused.

Handles more prompts than the engines have KV memory for, as after the loss of a zone.
A run that starts without free memory preempts others in the middle of their streams,
so it waits for memory instead. A generation that cannot finish before its deadline is
refused at once.
"""

from dataclasses import dataclass
from enum import Enum

# Share of an engine's memory kept free because the runs that it holds still grow.
MEMORY_HEADROOM_SHARE = 0.05


class Verdict(Enum):
    """Whether a call starts, waits or is refused."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(slots=True, frozen=True)
class AdmissionView:
    """Inputs of the admission decision for one generation.

    Parameters
    ----------
    needed_tokens : int
        Memory that the generation will occupy.
    free_tokens : int or None
        Free memory of the engine that it would run on; None if no engine is usable.
    capacity_tokens : int
        Memory of one engine; 0 if unknown.
    queued_ahead_tokens : int
        Memory needed by the calls ahead of it in the queue.
    freed_tokens_per_s : float
        Rate at which finishing runs free memory, this host's share of it.
    remaining_s : float
        Time until the call's deadline, in seconds.
    run_s : float
        Typical duration of a run, in seconds.
    waited_s : float
        Time spent in the queue so far, in seconds.
    max_outage_wait_s : float
        Longest wait while no engine is usable, in seconds.
    """

    needed_tokens: int
    free_tokens: int | None
    capacity_tokens: int
    queued_ahead_tokens: int
    freed_tokens_per_s: float
    remaining_s: float
    run_s: float
    waited_s: float
    max_outage_wait_s: float


@dataclass(slots=True, frozen=True)
class Admission:
    """A verdict, its reason, and the expected wait.

    Parameters
    ----------
    wait_s : float or None
        Expected time until there is enough free memory, in seconds; None if unknown.
    """

    verdict: Verdict
    reason: str
    wait_s: float | None = None


def admit(view):
    """Decide whether a generation starts, waits or is refused.

    Returns
    -------
    Admission
    """
    if view.free_tokens is None:
        return _admit_without_engines(view)
    if not view.capacity_tokens:
        return Admission(Verdict.START, "memory unknown")
    available_tokens = view.free_tokens - MEMORY_HEADROOM_SHARE * view.capacity_tokens
    if view.needed_tokens > view.capacity_tokens:
        return Admission(
            Verdict.START, "larger than any engine, left for the engine to reject"
        )
    if not view.queued_ahead_tokens and available_tokens >= view.needed_tokens:
        return Admission(Verdict.START, "room")
    shortfall_tokens = (
        view.queued_ahead_tokens + view.needed_tokens - max(0, available_tokens)
    )
    wait_s = max(0.0, shortfall_tokens) / max(1.0, view.freed_tokens_per_s)
    if wait_s + view.run_s > view.remaining_s:
        return Admission(Verdict.REFUSE, "no room in its time", wait_s)
    return Admission(Verdict.WAIT, "no room", wait_s)


def _admit_without_engines(view):
    """Let a call wait briefly: the engines of a zone return at about the same time."""
    if view.waited_s < min(view.max_outage_wait_s, view.remaining_s):
        return Admission(Verdict.WAIT, "no engine")
    return Admission(Verdict.REFUSE, "no engine", None)
