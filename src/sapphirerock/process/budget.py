"""A budget for retries and hedges, fed by the traffic itself."""

RETRY_SHARE = 0.1
BUDGET_LIMIT = 20.0


class RetryBudget:
    """Credit that each request adds to and each extra attempt takes from.

    Parameters
    ----------
    share : float
        Extra attempts allowed for each request.
    limit : float
        Most credit that is kept.
    """

    __slots__ = ("_share", "_limit", "_credit")

    def __init__(self, share=RETRY_SHARE, limit=BUDGET_LIMIT):
        self._share = share
        self._limit = limit
        self._credit = limit / 2

    def add_request(self):
        """Count a request."""
        self._credit = min(self._limit, self._credit + self._share)

    def take(self):
        """Return whether an extra attempt may be made, and count it."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
