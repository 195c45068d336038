"""What follows when an attempt at a stream has ended before the stream did.

Answers the load pattern in which engines are lost by availability zone: a run
whose memory was copied goes on at the copy, so that its prompt is not read again.
"""

from dataclasses import dataclass
from enum import Enum

# Engines asked one after the other; each takes at most a connection's bound.
MAX_SENDS = 10
# Beyond any chain of losses that hosts and zones cause; what loses more engines
# does so by itself.
MAX_LOSSES = 6


class Ending(Enum):
    """How an attempt at a stream ended."""

    COMPLETE = "complete"
    PASSED_ON = "passed on"
    # The engine did not run the call.
    NOT_RUN = "not run"
    # The engine, or the way to it, was lost.
    LOST = "lost"
    # The engine answered with a failure, or with what is no answer.
    FAILED = "failed"
    TIME_IS_UP = "time is up"
    NO_ENGINE = "no engine"


class Step(Enum):
    """What is done next."""

    CONTINUE_COPY = "continue from the copy"
    SEND_AGAIN = "send again"
    GIVE_UP = "give up"


@dataclass(slots=True, frozen=True)
class StreamView:
    """What is known of a stream whose attempt has ended.

    Parameters
    ----------
    ending : Ending
        How it ended.
    has_copy : bool
        Whether an engine that can be used holds a copy of the run.
    may_repeat : bool
        Whether the call may run more than once.
    sends, losses, failures : int
        Attempts so far, and how many of them ended each way.
    max_attempts : int
        Most engines that the call may fail on.
    is_convicted : bool
        Whether the call crashes the engines that run it.
    """

    ending: Ending
    has_copy: bool
    may_repeat: bool
    sends: int
    losses: int
    failures: int
    max_attempts: int
    is_convicted: bool


@dataclass(slots=True, frozen=True)
class StepChoice:
    """A step and the reason for it."""

    step: Step
    reason: str


def choose_step(view):
    """Return what follows an attempt's end.

    Returns
    -------
    StepChoice
    """
    if view.ending in (Ending.TIME_IS_UP, Ending.NO_ENGINE):
        return StepChoice(Step.GIVE_UP, view.ending.value)
    if view.is_convicted:
        return StepChoice(Step.GIVE_UP, "crashes engines")
    if view.ending is not Ending.NOT_RUN and not view.may_repeat:
        return StepChoice(Step.GIVE_UP, "may run once only")
    if view.failures >= view.max_attempts:
        return StepChoice(Step.GIVE_UP, "attempts used up")
    if view.losses >= MAX_LOSSES or view.sends >= MAX_SENDS:
        return StepChoice(Step.GIVE_UP, "engines used up")
    if view.ending is Ending.LOST and view.has_copy:
        return StepChoice(Step.CONTINUE_COPY, "copy at hand")
    return StepChoice(Step.SEND_AGAIN, view.ending.value)
