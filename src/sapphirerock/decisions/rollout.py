"""Which engines calls go to while a service's traffic moves to another version.

Handles orders of operators whose new version may be bad: at once or later, on one route
only, or under load, with failures or with responses that take several times as long. A
small share of the calls shows how the new version does beside the old one; all of them
go to it only once the rollout has nearly used up its time without evidence against it.
Each call draws its share by itself, so that the bound holds for any number of hosts,
also while they can't reach each other.
"""

import math
from dataclasses import dataclass
from enum import Enum

# Part of the allowed share of calls that is used; the rest is for repeated calls.
EXPOSURE_PART = 0.75
# A rollout without evidence against it is completed after this part of its time.
COMPLETION_PART = 0.85
# With fewer responses of the new version than this there is no evidence for it.
MIN_RESPONSES = 10
# Fewer bad responses may be due to a single caller or engine.
MIN_BAD_RESPONSES = 4
# Standard deviations by which bad responses must exceed the number expected.
DEVIATIONS = 3.0
# A response that takes this many times as long as usual on its route counts as bad.
SLOW_FACTOR = 2.5
# Weight of a new response time in the usual one, and the number of response times
# without which none is usual.
RESPONSE_TIME_WEIGHT = 0.1
MIN_RESPONSE_TIMES = 5
# New engines are slow for a moment after their start.
WARM_UP_S = 3.0


class RolloutState(Enum):
    """State of a rollout, as its status in the store names it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(slots=True, frozen=True)
class RolloutOrder:
    """An operator's order to move a service's traffic to another version.

    Parameters
    ----------
    service, target : str
        The service, and the version of its engines' software.
    duration_s : float
        Time until the deadline of the rollout, in seconds.
    state : RolloutState or None
        State that is written for this target; None if none is.
    """

    service: str
    target: str
    duration_s: float
    state: RolloutState | None = None

    @property
    def has_ended(self):
        """Whether the rollout is completed or rolled back."""
        return self.state in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)


@dataclass(slots=True)
class Tally:
    """Number of responses of one version on one route, and of the bad ones."""

    responses: int = 0
    bad: int = 0

    def add(self, other):
        """Add another tally."""
        self.responses += other.responses
        self.bad += other.bad


@dataclass(slots=True)
class RouteEvidence:
    """Responses of the new and the old version on one route, at the same time."""

    new: Tally
    old: Tally

    @property
    def expected_share(self):
        """Share of bad responses that the old version leads to expect."""
        return (self.old.bad + 1) / (self.old.responses + 4)


@dataclass(slots=True, frozen=True)
class Verdict:
    """The state that a rollout should get, and why.

    Parameters
    ----------
    state : RolloutState
        ``RUNNING`` while there is nothing to decide.
    reason : str
        The evidence.
    """

    state: RolloutState
    reason: str


class UsualTime:
    """Usual response time on a route, the geometric mean of the latest ones."""

    __slots__ = ("_log_s", "_count")

    def __init__(self):
        self._log_s = 0.0
        self._count = 0

    def record(self, time_s):
        """Record a response time, in seconds."""
        log_s = math.log(max(time_s, 1e-6))
        self._count += 1
        weight = max(RESPONSE_TIME_WEIGHT, 1 / self._count)
        self._log_s += weight * (log_s - self._log_s)

    def is_slow(self, time_s):
        """Return whether a response took several times as long as usual."""
        return self._count >= MIN_RESPONSE_TIMES and time_s > SLOW_FACTOR * math.exp(
            self._log_s
        )


# Time after the end of a rollout in which engines of the version that lost may still be
# registered. Later versions come by releases, which need no order.
SETTLE_TIMES_S = {RolloutState.COMPLETED: 5.0, RolloutState.ROLLED_BACK: 60.0}


def has_settled(state, ended_s_ago):
    """Return whether a rollout that ended no longer matters for calls."""
    return ended_s_ago > SETTLE_TIMES_S[state]


def choose_exposed_share(order, elapsed_s, allowed_share, is_rejected):
    """Return the share of a service's calls that go to the new version.

    Parameters
    ----------
    order : RolloutOrder
        The rollout, with the newest known state.
    elapsed_s : float
        Time since the order, in seconds.
    allowed_share : float
        Share of calls that a bad version may get.
    is_rejected : bool
        Whether this host has enough evidence against the new version.
    """
    if order.state is RolloutState.COMPLETED:
        return 1.0
    has_passed = elapsed_s > order.duration_s
    if order.state is RolloutState.ROLLED_BACK or is_rejected or has_passed:
        return 0.0
    return EXPOSURE_PART * allowed_share


def select_engines(views, target, exposed_share, draw):
    """Return the engines that a call may go to while a rollout is known.

    Parameters
    ----------
    views : list of EngineView
        Usable engines of the service.
    target : str
        Version to which the traffic moves.
    exposed_share : float
        Share of the calls that go to it.
    draw : float
        Random number of the call, from 0 to 1.
    """
    new = [view for view in views if view.version == target]
    old = [view for view in views if view.version != target]
    if exposed_share >= 1.0:
        return new or old
    return (new or old) if draw < exposed_share else old


def judge_rollout(order, evidence, elapsed_s):
    """Return the verdict on a rollout that has not ended.

    Parameters
    ----------
    order : RolloutOrder
        The rollout.
    evidence : dict of str to RouteEvidence
        Responses that all hosts have seen, by route.
    elapsed_s : float
        Time since the order, in seconds.
    """
    for name, route in evidence.items():
        if _is_worse([route]):
            return Verdict(RolloutState.ROLLED_BACK, f"bad responses on route {name}")
    if _is_worse(evidence.values()):
        return Verdict(RolloutState.ROLLED_BACK, "bad responses on all routes together")
    if elapsed_s < COMPLETION_PART * order.duration_s:
        return Verdict(RolloutState.RUNNING, "gathering evidence")
    responses = sum(route.new.responses for route in evidence.values())
    if responses < MIN_RESPONSES:
        return Verdict(RolloutState.ROLLED_BACK, "too few responses to judge by")
    return Verdict(RolloutState.COMPLETED, "no evidence against the new version")


def _is_worse(routes):
    """Return whether the new version has more bad responses than chance explains."""
    bad, expected, variance = 0, 0.0, 0.0
    for route in routes:
        share, responses = route.expected_share, route.new.responses
        bad += route.new.bad
        expected += share * responses
        variance += share * (1 - share) * responses
    limit = expected + DEVIATIONS * math.sqrt(variance)
    return bad >= MIN_BAD_RESPONSES and bad > limit
