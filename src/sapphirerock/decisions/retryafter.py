"""Retry-After times for refused calls."""

# The load hardly changes within this time.
MIN_RETRY_AFTER_S = 0.2
# An estimate from the current load is of no use beyond this time.
MAX_RETRY_AFTER_S = 10.0
# Used if there is no estimate; about the time until some run ends and frees its memory.
DEFAULT_RETRY_AFTER_S = 1.0


def choose_retry_after(wait_s, generator):
    """Return the time after which a caller may retry, in seconds.

    It is randomised so that refused callers do not all retry at the same time.

    Parameters
    ----------
    wait_s : float or None
        Expected time until there is capacity, in seconds; None if unknown.
    generator : random.Random
        Source of randomness.
    """
    wait_s = DEFAULT_RETRY_AFTER_S if wait_s is None else wait_s
    jittered_s = wait_s * generator.uniform(1.0, 1.5)
    return round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, jittered_s)), 2)
