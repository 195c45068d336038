"""Waits for engines that are silent.

Handles engines of a service that all stand still for a moment, as when their host
swaps or collects garbage. They are not lost, so calls wait for them.
"""

# Sound engines are silent for about a second.
MAX_SILENCE_WAIT_S = 1.5
# Share of its remaining time that a call may wait. The rest is left for the engine.
MAX_WAIT_SHARE = 0.5


def choose_silence_wait(remaining_s):
    """Return how long a call may wait while all engines are silent, in seconds.

    Parameters
    ----------
    remaining_s : float
        Time until the call's deadline when the wait begins, in seconds.
    """
    return max(0.0, min(MAX_SILENCE_WAIT_S, MAX_WAIT_SHARE * remaining_s))
