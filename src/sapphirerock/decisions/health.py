"""Detection of engines that fail more often than their peers.

Handles engines that fail some of their calls while they report themselves healthy.
Such an engine looks idle, so load-based placement would send it even more calls.
"""

from statistics import median

# A call counts half after this time. It is long enough for a few calls to each engine,
# and an engine that has recovered is tried again after about the same time.
HALF_LIFE_S = 5.0
# Successful calls added to the count of each engine, so that a single failure among few
# calls does not make it an outlier.
CREDITED_SUCCESSES = 4.0
# Excess over the median share that is unlikely to be chance at these call counts.
FAILURE_MARGIN = 0.25
# Share of engines that always stays in use. With fewer, those would be overloaded.
MIN_KEPT_SHARE = 0.5


class FailureShare:
    """Share of an engine's recent calls that failed, with exponential decay."""

    __slots__ = ("_calls", "_failures", "_at_s")

    def __init__(self):
        self._calls = 0.0
        self._failures = 0.0
        self._at_s = 0.0

    def record_call(self, has_failed, now_s):
        """Count a call that ended at ``now_s``."""
        self._decay(now_s)
        self._calls += 1
        self._failures += has_failed

    def measure(self, now_s):
        """Return the share of failed calls, from 0 to 1."""
        self._decay(now_s)
        return self._failures / (self._calls + CREDITED_SUCCESSES)

    def _decay(self, now_s):
        weight = 0.5 ** (max(0.0, now_s - self._at_s) / HALF_LIFE_S)
        self._calls *= weight
        self._failures *= weight
        self._at_s = now_s


def exclude_outliers(views):
    """Return the engines whose failure share is no outlier among their peers.

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
