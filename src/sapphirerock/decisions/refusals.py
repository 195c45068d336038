"""Crashes of brittle engines that were caused by refusals.

Handles engines that crash when they have to turn many calls away: the calls that ran
on them are no suspects, and go on being served. A host knows the refusals of its own
calls, and the owner of an engine's slots those of all hosts.
"""

from collections import deque

# The engine counts its refusals over a second; they are reported a little later, also
# after its crash.
WINDOW_S = 1.2
REPORT_S = 0.5
# Share of the tolerance that has to be known: the last refusals before a crash are lost
# with the engine's connections, or are on their way.
KNOWN_SHARE = 0.5
MAX_RUNS = 100
MAX_REFUSALS = 100


class RecentRefusals:
    """The latest refusals of each run of an engine."""

    __slots__ = ("_refused_s", "_tolerances")

    def __init__(self):
        self._refused_s = {}
        self._tolerances = {}

    def record(self, run, tolerance, now_s):
        """Record that a run turned a call away.

        Parameters
        ----------
        run : EngineRun
            The run.
        tolerance : float
            Calls that it may turn away in a second.
        now_s : float
            Monotonic time.
        """
        if run not in self._refused_s:
            self._refused_s[run] = deque(maxlen=MAX_REFUSALS)
            if len(self._refused_s) > MAX_RUNS:
                oldest = next(iter(self._refused_s))
                del self._refused_s[oldest]
                del self._tolerances[oldest]
        self._refused_s[run].append(now_s)
        self._tolerances[run] = tolerance

    def can_have_caused(self, run, crashed_s):
        """Return whether refusals are likely to have caused a crash.

        Parameters
        ----------
        crashed_s : float
            Monotonic time of the crash, in seconds.
        """
        if run not in self._refused_s:
            return False
        known = sum(
            crashed_s - WINDOW_S <= refused_s <= crashed_s + REPORT_S
            for refused_s in self._refused_s[run]
        )
        return known >= max(1.0, KNOWN_SHARE * self._tolerances[run])
