"""Outlier detection: finds engines that fail more often than the others.

Handles engines that fail some of their calls while they report that they are healthy.
Such an engine looks idle, so load-based placement would send it even more calls.
"""

from statistics import median

# Time after which a call counts half. Each engine gets a few calls within it, and an
# excluded engine is tried again after about the same time.
HALF_LIFE_S = 5.0
# Successful calls that are assumed for each engine, so that a single failure among few
# calls does not make it an outlier.
ASSUMED_SUCCESSES = 4.0
# Engines with a failure share above the median by more than this are outliers. With the
# few calls that count, smaller differences are often chance.
FAILURE_MARGIN = 0.25
# Share of engines that is never excluded: fewer engines would be overloaded.
MIN_KEPT_SHARE = 0.5


class FailureShare:
    """Share of an engine's recent calls that failed, with exponential decay."""

    __slots__ = ("_calls", "_failures", "_decayed_at_s")

    def __init__(self):
        self._calls = 0.0
        self._failures = 0.0
        self._decayed_at_s = 0.0

    def record_call(self, has_failed, now_s):
        """Count a call that ended at ``now_s``, a monotonic time."""
        self._decay(now_s)
        self._calls += 1
        self._failures += has_failed

    def measure(self, now_s):
        """Return the share of recent calls that failed, from 0 to 1."""
        self._decay(now_s)
        return self._failures / (self._calls + ASSUMED_SUCCESSES)

    def _decay(self, now_s):
        weight = 0.5 ** (max(0.0, now_s - self._decayed_at_s) / HALF_LIFE_S)
        self._calls *= weight
        self._failures *= weight
        self._decayed_at_s = now_s


def exclude_outliers(views):
    """Return the engines without those whose failure share is an outlier.

    Parameters
    ----------
    views : list of EngineView
        Usable engines.

    Returns
    -------
    list of EngineView
        At least half of the engines, in their original order.
    """
    if len(views) < 2:
        return views
    shares = [view.failure_share for view in views]
    max_share = median(shares) + FAILURE_MARGIN
    if max(shares) <= max_share:
        return views
    min_kept = max(1, int(MIN_KEPT_SHARE * len(views)))
    max_share = max(max_share, sorted(shares)[min_kept - 1])
    return [view for view in views if view.failure_share <= max_share]
