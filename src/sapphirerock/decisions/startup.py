"""How long a request waits for the data that a host needs to serve it.

Handles the return of all hosts after a loss of power: callers come back at once, many
of them for the last time, while their hosts still load the configuration and the
engines. These arrive within a moment if the store or a peer answers, so waiting serves
the callers better than a refusal does. Once the data is overdue, requests are refused
at once.
"""

# A host that starts has its data within this time if the store or a peer answers.
DATA_TIMEOUT_S = 1.5
# Share of the time until its deadline for which a request waits at most.
MAX_WAIT_SHARE = 1 / 3


def choose_start_wait(uptime_s, remaining_s):
    """Return how long a request waits for the data of a host, in seconds.

    Parameters
    ----------
    uptime_s : float
        Time since the host began to load its data, in seconds.
    remaining_s : float
        Time until the deadline of the request, in seconds.
    """
    return max(0.0, min(DATA_TIMEOUT_S - uptime_s, MAX_WAIT_SHARE * remaining_s))
