"""When a caller that is turned away is told to come back."""

# A caller that is told less comes back before anything has changed.
MIN_RETRY_AFTER_S = 0.2
# Nothing known of now says anything of later than this.
MAX_RETRY_AFTER_S = 10.0
# Without a better guess: about the time of a run that ends and makes room.
DEFAULT_RETRY_AFTER_S = 1.0


def choose_retry_after(wait_s, generator):
    """Return when to come back, spread so that callers do not return as a wave.

    Parameters
    ----------
    wait_s : float or None
        Time until there is room, in seconds; None where it is not known.
    generator : random.Random
        Source of the spread.
    """
    wait_s = DEFAULT_RETRY_AFTER_S if wait_s is None else wait_s
    spread_s = wait_s * generator.uniform(1.0, 1.5)
    return round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, spread_s)), 2)
