"""Detection of poison requests, which crash the engines that run them.

Handles a request that is sent again and again and crashes an engine each time. A crash
is evidence against each call that ran on the engine. Engines of one zone that crash
together were not crashed by a call, and a frozen engine, a network partition or a
silent connection does not count as a crash.
"""

from dataclasses import dataclass, field

from sapphirerock.decisions.rendezvous import rank_candidates

# Crashes after which a request is blocked. A harmless request that is migrated meets
# this many by chance only when zones fail in turn, and the crashes of one zone count as
# a single one.
BLOCKING_CRASHES = 3
# Lost engines after which a call waits until their losses have been examined before it
# is sent to another engine.
SUSPECT_LOSSES = 2
# Within this time, evidence of a crash has reached all hosts by gossip.
CRASH_GOSSIP_S = 0.1
# Engines of a zone that loses power crash within this time of each other. Engines
# crashed by one call crash in turn, at least one prefill of its prompt apart.
CORRELATED_CRASH_S = 0.4


@dataclass(slots=True, frozen=True)
class Crash:
    """Crash of an engine as observed by one host.

    Parameters
    ----------
    engine : str
        The engine's id.
    availability_zone : str
        Zone of the engine.
    at_s : float
        Monotonic time of the observation, in seconds.
    suspects : set of bytes
        Fingerprints of the calls that this host had on the engine.
    """

    engine: str
    availability_zone: str
    at_s: float
    suspects: set = field(default_factory=set)


def can_be_caused_by(crash, fingerprint, crashes):
    """Return whether a call can have caused a crash.

    It cannot if an engine of the same zone crashed at about the same time without
    running the call.

    Parameters
    ----------
    crash : Crash
        The crash to examine.
    fingerprint : bytes
        Fingerprint of the call.
    crashes : iterable of Crash
        All known crashes, with or without the one to examine.
    """
    # Each host that observed a crash reports it, with its own suspects.
    ran_call = {}
    for other in crashes:
        if (
            other.engine != crash.engine
            and other.availability_zone == crash.availability_zone
            and abs(other.at_s - crash.at_s) < CORRELATED_CRASH_S
        ):
            ran_call.setdefault(other.engine, False)
            ran_call[other.engine] |= fingerprint in other.suspects
    return all(ran_call.values())


def choose_isolated_engine(views, fingerprint, suspects):
    """Return the engine on which a suspect request runs apart from other suspects.

    Requests that lost the same engines cannot be told apart, so each of them gets an
    engine of its own. Hosts with the same suspects and engines make the same choice
    without coordination. A single suspect gets the engine with the fewest runs.

    Parameters
    ----------
    views : list of EngineView
        Usable engines.
    fingerprint : bytes
        Fingerprint of the request.
    suspects : iterable of bytes
        Fingerprints of all suspect requests; this one may be among them.

    Returns
    -------
    EngineView or None
    """
    if not views:
        return None
    ranked_suspects = sorted({fingerprint, *suspects})
    if len(ranked_suspects) == 1:
        return min(views, key=lambda view: (view.runs, view.copy_tokens))
    names = rank_candidates([view.name for view in views], "suspects")
    name = names[ranked_suspects.index(fingerprint) % len(names)]
    return next(view for view in views if view.name == name)
