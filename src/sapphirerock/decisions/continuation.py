"""Recovery of a stream whose attempt ended too early, or whose engine is silent.

Handles the loss of all engines of an availability zone. A run that has a KV copy on
another engine is resumed from the copy, so that its prompt is not prefilled again.
"""

from dataclasses import dataclass
from enum import Enum

# Bounds the total time: each send to an unreachable engine may take as long as the
# connection timeout.
MAX_SENDS = 10
# One call loses fewer engines than this to failures of hosts and zones. A call that
# loses this many is itself the cause.
MAX_ENGINE_LOSSES = 6


class StreamOutcome(Enum):
    """How an attempt at a stream ended."""

    COMPLETE = "complete"
    # A response other than a stream was relayed to the caller.
    RELAYED = "passed on"
    # The engine did not execute the call.
    NOT_RUN = "not run"
    # The engine failed or the connection to it broke.
    LOST = "lost"
    # The engine is silent. The attempt goes on.
    SILENT = "silent"
    # The engine returned an error or a malformed response.
    FAILED = "failed"
    DEADLINE_EXCEEDED = "time is up"
    NO_ENGINE = "no engine"
    # No further attempt is made now.
    GIVEN_UP = "given up"


class RecoveryStep(Enum):
    """What the host does after an attempt has ended without a complete stream."""

    RESUME_FROM_COPY = "continue from the copy"
    RETRY_ON_OTHER_ENGINE = "send again"
    GIVE_UP = "give up"


@dataclass(slots=True, frozen=True)
class StreamView:
    """Inputs of the decision for a stream whose attempt has ended or is silent.

    Parameters
    ----------
    outcome : StreamOutcome
        How the attempt ended.
    has_copy : bool
        Whether a usable engine holds a KV copy of the run.
    may_retry : bool
        Whether the call may run more than once.
    sends : int
        Attempts so far, whatever their outcome.
    losses : int
        Attempts with the outcome ``LOST``.
    failures : int
        Attempts with the outcome ``FAILED``.
    max_attempts : int
        Number of engines that may run the call; lost ones don't count.
    is_blocked : bool
        Whether the call is blocked as a poison request.
    other_engines : int
        Engines besides that run it, or ran it until another one went on first. Engines
        that have ended since, or can't be reached, don't count.
    """

    outcome: StreamOutcome
    has_copy: bool
    may_retry: bool
    sends: int
    losses: int
    failures: int
    max_attempts: int
    is_blocked: bool
    other_engines: int = 0


@dataclass(slots=True, frozen=True)
class StepChoice:
    """A step and the reason for it."""

    step: RecoveryStep
    reason: str


def choose_recovery_step(view):
    """Choose the next step after an attempt has ended.

    Returns
    -------
    StepChoice
    """
    if view.outcome in (StreamOutcome.DEADLINE_EXCEEDED, StreamOutcome.NO_ENGINE):
        return StepChoice(RecoveryStep.GIVE_UP, view.outcome.value)
    if view.is_blocked:
        return StepChoice(RecoveryStep.GIVE_UP, "blocked as a poison request")
    if view.outcome is not StreamOutcome.NOT_RUN and not view.may_retry:
        return StepChoice(RecoveryStep.GIVE_UP, "call may run only once")
    if view.failures + view.other_engines >= view.max_attempts:
        return StepChoice(RecoveryStep.GIVE_UP, "max attempts reached")
    if view.losses >= MAX_ENGINE_LOSSES or view.sends >= MAX_SENDS:
        return StepChoice(RecoveryStep.GIVE_UP, "max sends or engine losses reached")
    is_engine_gone = view.outcome in (StreamOutcome.LOST, StreamOutcome.SILENT)
    if is_engine_gone and view.has_copy:
        return StepChoice(RecoveryStep.RESUME_FROM_COPY, "kv copy available")
    return StepChoice(RecoveryStep.RETRY_ON_OTHER_ENGINE, view.outcome.value)
