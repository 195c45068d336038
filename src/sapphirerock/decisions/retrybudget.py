"""Retry budget: limits the retries of all hosts together.

Keeps retries from overloading a service that already fails. The budget of a service
grows with its calls, and each retry uses up a part of it. Each host uses only its own
share of the budget of all hosts.
"""

from collections import deque
from dataclasses import dataclass

# Share of the budget that ordinary retries may use. The rest is a margin, because hosts
# get unequal parts of the traffic, and join and leave.
SPENDABLE_SHARE = 0.5
# Share that retries may use to resume runs whose engine was lost.
RESUMPTION_SHARE = 0.9


@dataclass(slots=True, frozen=True)
class RetryLimits:
    """Limits on the retries of all hosts together.

    Parameters
    ----------
    ratio : float
        Retries allowed per call.
    slack : float
        Retries of all hosts together that are allowed in each window in addition.
    window_s : float
        Length of the sliding window in which calls and retries are counted, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class SlidingWindowCounter:
    """Counts the events in a sliding window.

    Parameters
    ----------
    window_s : float
        Length of the window, in seconds.
    """

    __slots__ = ("_window_s", "_times")

    def __init__(self, window_s):
        self._window_s = window_s
        self._times = deque()

    def add(self, now_s):
        """Count an event at ``now_s``."""
        self._times.append(now_s)

    def remove_latest(self):
        """Count the latest event no longer."""
        if self._times:
            self._times.pop()

    def count(self, now_s):
        """Return the number of events in the window that ends now."""
        while self._times and self._times[0] <= now_s - self._window_s:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """One host's share of the retry budget of each service.

    Parameters
    ----------
    limits : RetryLimits
        Limits for all hosts together.
    count_hosts : callable
        Returns the number of hosts that share the budget.
    clock : Clock
        Source of time.
    """

    __slots__ = ("limits", "_count_hosts", "_clock", "_calls", "_retries")

    def __init__(self, limits, count_hosts, clock):
        self.limits = limits
        self._count_hosts = count_hosts
        self._clock = clock
        self._calls = {}
        self._retries = {}

    def _get_counter(self, counters, service):
        counter = counters.get(service)
        if counter is None:
            counter = counters[service] = SlidingWindowCounter(self.limits.window_s)
        return counter

    def add_call(self, service):
        """Count a call, which adds to the budget of its service."""
        self._get_counter(self._calls, service).add(self._clock.monotonic())

    def try_spend(self, service, is_resumption=False):
        """Return whether a call may be retried; if so, count the retry.

        Parameters
        ----------
        service : str
            Service of the call.
        is_resumption : bool
            Whether the retry resumes a run whose engine was lost.
        """
        now_s = self._clock.monotonic()
        calls = self._get_counter(self._calls, service).count(now_s)
        retries = self._get_counter(self._retries, service)
        slack = self.limits.slack / max(1, self._count_hosts())
        share = RESUMPTION_SHARE if is_resumption else SPENDABLE_SHARE
        # One retry per window is always allowed, however few calls there are.
        if retries.count(now_s) + 1 > max(
            1.0, share * (self.limits.ratio * calls + slack)
        ):
            return False
        retries.add(now_s)
        return True

    def give_back(self, service):
        """Count the latest retry of a service no longer, since it was not sent."""
        self._get_counter(self._retries, service).remove_latest()
