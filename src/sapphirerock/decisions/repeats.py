"""How many calls may be sent to a second engine, over all hosts together.

Answers the load pattern in which a failing service gets its own failures back as
extra load: each repeat is paid out of an allowance that grows with the service's
calls, and a host spends only its part of what all hosts share.
"""

from collections import deque
from dataclasses import dataclass

# Hosts see different parts of the traffic and join and leave: half of the common
# allowance is left unspent.
SPENT_SHARE = 0.5
# A run whose engine was lost goes on out of this much more of the allowance.
CONTINUATION_SHARE = 0.9


@dataclass(slots=True, frozen=True)
class RepeatTerms:
    """What all hosts together may repeat.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each call.
    slack : float
        Repeats allowed beside these.
    window_s : float
        Time in which both are counted, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class SlidingCount:
    """Number of events within the last seconds.

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
        """Count an event."""
        self._times.append(now_s)

    def count(self, now_s):
        """Return the number of events in the window that ends now."""
        while self._times and self._times[0] <= now_s - self._window_s:
            self._times.popleft()
        return len(self._times)


class RepeatBudget:
    """One host's part of the allowance, by service.

    Parameters
    ----------
    terms : RepeatTerms
        What all hosts together may do.
    count_hosts : callable
        Returns the number of hosts that share it.
    clock : Clock
        Source of time.
    """

    __slots__ = ("terms", "_count_hosts", "_clock", "_calls", "_repeats")

    def __init__(self, terms, count_hosts, clock):
        self.terms = terms
        self._count_hosts = count_hosts
        self._clock = clock
        self._calls = {}
        self._repeats = {}

    def _get_count(self, counts, service):
        count = counts.get(service)
        if count is None:
            count = counts[service] = SlidingCount(self.terms.window_s)
        return count

    def add_call(self, service):
        """Count a call of a caller."""
        self._get_count(self._calls, service).add(self._clock.monotonic())

    def take(self, service, continues=False):
        """Return whether a call may be sent once more, and count it.

        Parameters
        ----------
        continues : bool
            Whether the repeat goes on with a run whose engine was lost.
        """
        now_s = self._clock.monotonic()
        calls = self._get_count(self._calls, service).count(now_s)
        repeats = self._get_count(self._repeats, service)
        slack = self.terms.slack / max(1, self._count_hosts())
        share = CONTINUATION_SHARE if continues else SPENT_SHARE
        # A host alone with its first calls may still repeat one.
        if repeats.count(now_s) + 1 > max(
            1.0, share * (self.terms.ratio * calls + slack)
        ):
            return False
        repeats.add(now_s)
        return True
