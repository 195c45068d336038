"""Which engines fail more often than their fellows.

Answers the load pattern of engines that fail part of their calls while they say that
they are well: such an engine looks idle, so every other rank would send it more.
"""

from statistics import median

# Calls count half after this long; a few calls to each engine come in it, and an
# engine that has recovered is tried again about as soon.
HALF_LIFE_S = 5.0
# Calls without failure that each engine is credited with, so that one failure among
# few calls is no verdict.
CREDITED_CALLS = 4.0
# Difference from the fellows that is more than chance among the calls that count.
FAILURE_MARGIN = 0.25
# Engines that stay in use whatever they do: the others would be overrun.
KEPT_SHARE = 0.5


class FailureShare:
    """Part of an engine's latest calls that failed.

    Calls count less as they get older.
    """

    __slots__ = ("_calls", "_failures", "_at_s")

    def __init__(self):
        self._calls = 0.0
        self._failures = 0.0
        self._at_s = 0.0

    def note(self, has_failed, now_s):
        """Count a call that ended now."""
        self._age(now_s)
        self._calls += 1
        self._failures += has_failed

    def measure(self, now_s):
        """Return the part, from 0 to 1."""
        self._age(now_s)
        return self._failures / (self._calls + CREDITED_CALLS)

    def _age(self, now_s):
        weight = 0.5 ** (max(0.0, now_s - self._at_s) / HALF_LIFE_S)
        self._calls *= weight
        self._failures *= weight
        self._at_s = now_s


def leave_out_failing(views):
    """Return the engines that fail no more than their fellows do.

    Parameters
    ----------
    views : list of EngineView
        Engines that can be used.

    Returns
    -------
    list of EngineView
        At least half of them, in their order.
    """
    if len(views) < 2:
        return views
    shares = [view.failure_share for view in views]
    allowed = median(shares) + FAILURE_MARGIN
    if max(shares) <= allowed:
        return views
    kept = max(1, int(KEPT_SHARE * len(views)))
    allowed = max(allowed, sorted(shares)[kept - 1])
    return [view for view in views if view.failure_share <= allowed]
