"""Which requests crash the engines that run them.

Answers the load pattern in which one request comes again and again and takes down
an engine each time. A crash is evidence against each call that ran on the engine;
but engines of a zone that crash together were not crashed by a call, and a freeze,
a cut or a silent connection is no crash.
"""

from dataclasses import dataclass

# Crashes after which a request is refused: an innocent one that is moved meets
# this many by chance only where zones fail one after the other, which count as one.
CONVICTING_CRASHES = 3
# Engines that a call crashes fail one after the other, at least a prompt's reading
# apart; those of a zone that loses power within this time.
TOGETHER_S = 0.4


@dataclass(slots=True, frozen=True)
class Crash:
    """An engine's end as a host saw it.

    Parameters
    ----------
    engine : str
        The engine's id.
    availability_zone : str
        Where it was.
    at_s : float
        Monotonic time at which it was seen, in seconds.
    """

    engine: str
    availability_zone: str
    at_s: float


def is_evidence(crash, others):
    """Return whether a crash can have been caused by a call.

    Parameters
    ----------
    crash : Crash
        The crash in question.
    others : iterable of Crash
        All crashes that are known.
    """
    return not any(
        other.engine != crash.engine
        and other.availability_zone == crash.availability_zone
        and abs(other.at_s - crash.at_s) < TOGETHER_S
        for other in others
    )
