"""When a watcher asks the store for changes again after it has got some.

Handles many changes in a row, such as engines of a zone that are lost and register
again, configurations in quick succession and rolling restarts. A watch returns with the
first change, so that without a pause each change costs one call a zone. Watchers of
different zones pause for different times: the first to ask again gets the changes that
came meanwhile and sends them to all others, which wait for later ones.
"""

# Much shorter than the time within which the platform wants changes to be in force.
MAX_PAUSE_S = 0.6
MIN_PAUSE_S = 0.1


def choose_watch_pause(generator):
    """Return the time between changes and the next watch, in seconds.

    Parameters
    ----------
    generator : random.Random
        Source of randomness, different at each host.
    """
    return generator.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
