"""Detection of poison requests, which crash the engines that run them.

Handles a request that is retried after each crash and so crashes one engine after
another. A crash is evidence against each call that ran on the engine. There are two
exceptions: engines of one availability zone that crash together were not crashed by a
call, and a frozen engine, a network partition or a silent connection is no crash.
"""

from dataclasses import dataclass, field

from sapphirerock.decisions.rendezvous import rank_candidates

# Time within which an engine that crashed has registered again.
MAX_RESTART_S = 15.0
# Crashes after which a request is blocked. A harmless request that is migrated
# encounters this many by chance only if zones fail one after the other, since the
# crashes of one zone count as a single crash.
BLOCKING_CRASHES = 3
# Crashes after which a request is blocked even if each of them coincided with another.
# A harmless request loses fewer engines than this to failures of zones.
MAX_CRASHES = 6
# Engines that a request may lose, on all hosts together, before it has to wait: from
# this number on, it is sent to another engine only after the causes of the losses have
# been determined.
SUSPECT_LOSSES = 2
# Time within which evidence of a crash reaches all hosts by gossip.
CRASH_GOSSIP_DELAY_S = 0.1
# Engines of a zone that loses power crash within this time of each other. Engines that
# are crashed by one call crash one after the other, with at least the time for a
# prefill of its prompt in between.
CORRELATED_CRASH_S = 0.4


@dataclass(slots=True, frozen=True)
class Crash:
    """Crash of an engine.

    Parameters
    ----------
    engine : str
        The engine's id.
    availability_zone : str
        Availability zone of the engine.
    at_s : float
        Monotonic time of the crash, in seconds.
    suspects : set of bytes
        Fingerprints of the calls that ran on the engine.
    """

    engine: str
    availability_zone: str
    at_s: float
    suspects: set = field(default_factory=set)


def is_simultaneous(other, crash):
    """Return whether two engines of a zone crashed within ``CORRELATED_CRASH_S``."""
    return (
        other.engine != crash.engine
        and other.availability_zone == crash.availability_zone
        and abs(other.at_s - crash.at_s) < CORRELATED_CRASH_S
    )


def can_be_caused_by(crash, fingerprint, crashes):
    """Return whether a crash can be caused by a call.

    It cannot if another engine of the same zone crashed within ``CORRELATED_CRASH_S``
    without running the call.

    Parameters
    ----------
    crash : Crash
        The crash to examine.
    fingerprint : bytes
        Fingerprint of the call.
    crashes : iterable of Crash
        All known crashes, with or without the one to examine.
    """
    # A crash may be listed once for each host that observed it.
    ran_call = {}
    for other in crashes:
        if is_simultaneous(other, crash):
            ran_call.setdefault(other.engine, False)
            ran_call[other.engine] |= fingerprint in other.suspects
    return all(ran_call.values())


def choose_isolated_engine(views, fingerprint, suspects):
    """Return the engine on which a suspect request runs without other suspects.

    Nothing shows which of the requests that ran on the same lost engines crashed them,
    so each is sent to a different engine. Hosts that know the same suspects and engines
    make the same choice without coordination. A single suspect gets the engine with the
    fewest runs.

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
