"""How urgently an engine should admit a run and spare it from preemption.

Handles streams of several ranks that compete for the slots and the memory of the same
engines, in bursts of the lower ranks and after the loss of engines. A stream that goes
on after a loss is a level more urgent than new ones of its rank: its caller sees a
pause. A service whose streams have one rank leaves the choice to its engines.
"""

# Levels of new streams. Engines know 0, the most urgent, to 9.
FIRST_LEVEL = 2
LAST_LEVEL = 8
LEVELS_PER_RANK = 2


def choose_urgency(priority, ranks, goes_on):
    """Return the level of a run, or None if its service has a single rank.

    Parameters
    ----------
    priority : int
        Priority of the call; 0 is the highest.
    ranks : tuple of int
        All priorities of streams of the service, in order.
    goes_on : bool
        Whether the stream has begun before.
    """
    if len(ranks) < 2:
        return None
    higher = sum(rank < priority for rank in ranks)
    level = min(LAST_LEVEL, FIRST_LEVEL + LEVELS_PER_RANK * higher)
    return level - goes_on
