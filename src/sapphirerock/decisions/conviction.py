"""Which requests crash the engines that run them.

Answers the load pattern in which one request comes again and again and takes down
an engine each time. A crash is evidence against each call that ran on the engine;
but engines of a zone that crash together were not crashed by a call, and a freeze,
a cut or a silent connection is no crash.
"""

from dataclasses import dataclass, field

from sapphirerock.decisions.rendezvous import rank_candidates

# Crashes after which a request is refused: an innocent one that is moved meets
# this many by chance only where zones fail one after the other, which count as one.
CONVICTING_CRASHES = 3
# Losses after which a call waits for what is found out about them before it is sent
# once more.
EXAMINED_LOSSES = 2
# Within this what a host found out about a crash has reached all others.
SETTLE_S = 0.1
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
    # A crash is known once for each host that saw it, each with its own suspects.
    ran_there = {}
    for other in others:
        if (
            other.engine != crash.engine
            and other.availability_zone == crash.availability_zone
            and abs(other.at_s - crash.at_s) < TOGETHER_S
        ):
            ran_there.setdefault(other.engine, False)
            ran_there[other.engine] |= fingerprint in other.suspects
    return all(ran_there.values())


def choose_isolated(views, fingerprint, suspects):
    """Return the engine for a call that has lost so many that it may crash the next.

    Calls that lost the same engines can't be told apart, so each of them gets an
    engine of its own. All hosts that know the same suspects and engines choose
    alike without asking each other.

    Parameters
    ----------
    views : list of EngineView
        Engines that can be used.
    fingerprint : bytes
        Names the call.
    suspects : iterable of bytes
        Names this call and all others like it.

    Returns
    -------
    EngineView or None
    """
    if not views:
        return None
    order = sorted({fingerprint, *suspects})
    if len(order) == 1:
        return min(views, key=lambda view: (view.runs, view.copy_tokens))
    names = rank_candidates([view.name for view in views], "suspects")
    name = names[order.index(fingerprint) % len(names)]
    return next(view for view in views if view.name == name)
