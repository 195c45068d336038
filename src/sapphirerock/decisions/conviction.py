"""Which requests crash the engines that run them.

Answers the load pattern in which one request comes again and again and takes down
an engine each time. A crash is evidence against each call that ran on the engine;
but engines of a zone that crash together were not crashed by a call, and a freeze,
a cut or a silent connection is no crash.
"""

from dataclasses import dataclass, field

# Crashes after which a request is refused: an innocent one that is moved meets
# this many by chance only where zones fail one after the other, which count as one.
CONVICTING_CRASHES = 3
# Losses after which a call waits for what is found out about them before it is sent
# once more.
EXAMINED_LOSSES = 2
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
    suspects : set of bytes
        Fingerprints of the calls that this host had there.
    """

    engine: str
    availability_zone: str
    at_s: float
    suspects: set = field(default_factory=set)


def is_evidence(crash, fingerprint, others):
    """Return whether a crash can have been caused by a call.

    Engines that crash one after the other under the same call do not count as
    having failed together.

    Parameters
    ----------
    crash : Crash
        The crash in question.
    fingerprint : bytes
        Names the call.
    others : iterable of Crash
        All crashes that are known.
    """
    return not any(
        other.engine != crash.engine
        and other.availability_zone == crash.availability_zone
        and abs(other.at_s - crash.at_s) < TOGETHER_S
        and fingerprint not in other.suspects
        for other in others
    )
