"""Admission control: whether a generation starts now, waits, or is refused.

Handles prompts that need more KV memory than the engines have, as after the loss of an
availability zone. A run that starts without free memory makes the engine preempt other
runs in the middle of their streams, so it waits for memory instead. A generation that
cannot finish before its deadline is refused at once.
"""

from dataclasses import dataclass
from enum import Enum

# Share of an engine's memory that is kept free, since its runs need more memory with
# each token that they generate.
MEMORY_HEADROOM_SHARE = 0.05


class Verdict(Enum):
    """Result of an admission decision."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(slots=True, frozen=True)
class AdmissionView:
    """Inputs of the admission decision for one generation.

    Parameters
    ----------
    needed_tokens : int
        Memory that the generation will occupy at its end, in tokens.
    free_tokens : int or None
        Free memory of the engine that it would run on, in tokens; None if no engine is
        usable.
    capacity_tokens : int
        Total memory of one engine of the service, in tokens; 0 if unknown.
    queued_ahead_tokens : int
        Memory needed by the calls ahead of it in the queue, in tokens.
    freed_tokens_per_s : float
        This host's share of the rate at which finished runs free memory, in tokens per
        second.
    remaining_s : float
        Time until the call's deadline, in seconds.
    run_s : float
        Expected duration of the run, in seconds.
    waited_s : float
        Time spent in the queue so far, in seconds.
    max_outage_wait_s : float
        Longest wait while no engine is usable, in seconds.
    rest_s : float or None
        Time until the first engine has rested, in seconds; None if no engine is up.
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
    rest_s: float | None = None


@dataclass(slots=True, frozen=True)
class Admission:
    """Result of the admission decision for one generation.

    Parameters
    ----------
    verdict : Verdict
        Whether the generation starts, waits or is refused.
    reason : str
        Reason for the verdict; the caller gets it as the detail of a refusal.
    wait_s : float or None
        Expected time until there is enough free memory, in seconds; None if unknown.
    """

    verdict: Verdict
    reason: str
    wait_s: float | None = None


def decide_admission(view):
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
    """Let a call wait for a limited time while no engine is usable.

    The engines of an availability zone become usable again at about the same time. If
    all engines ask for a rest that is longer, the call is refused at once.
    """
    max_wait_s = min(view.max_outage_wait_s - view.waited_s, view.remaining_s)
    if view.rest_s and view.rest_s > max_wait_s:
        return Admission(Verdict.REFUSE, "all engines ask for rest", view.rest_s)
    if view.waited_s < min(view.max_outage_wait_s, view.remaining_s):
        return Admission(Verdict.WAIT, "no engine")
    return Admission(Verdict.REFUSE, "no engine", None)
