"""Choice of the peer that relays a connection to an engine.

Handles hosts that are cut off from engines while the other hosts reach them: some hosts
of each zone, a whole zone, or most hosts, so that a few relay for all others.
"""

from dataclasses import dataclass

# A peer that relayed no connection is asked after all others for this time.
RELAY_RETRY_S = 3.0
# Share of a service's engines that must be reached directly for the others to be left
# out: fewer would be overloaded.
MIN_DIRECT_SHARE = 0.5


@dataclass(slots=True, frozen=True)
class RelayCandidate:
    """A peer that may relay a connection.

    Parameters
    ----------
    host : str
        Name of the peer.
    availability_zone, region : str
        Where the peer is.
    failed_s : float or None
        Seconds since the peer last relayed no connection; None if it never failed.
    """

    host: str
    availability_zone: str
    region: str
    failed_s: float | None = None


def rank_relays(candidates, availability_zone, region, generator):
    """Return the names of peers in the order in which to ask them.

    Peers that failed recently come last, the one that failed first before the others.
    Among the rest, peers of the own zone come first, then those of the region. The
    order is random among equals, which spreads the load of a zone's cut hosts.

    Parameters
    ----------
    candidates : iterable of RelayCandidate
        The live peers.
    availability_zone, region : str
        Where this host is.
    generator : random.Random
        Source of random numbers.

    Returns
    -------
    list of str
    """

    def get_rank(candidate):
        has_failed = candidate.failed_s is not None and (
            candidate.failed_s < RELAY_RETRY_S
        )
        return (
            -candidate.failed_s if has_failed else -RELAY_RETRY_S,
            candidate.availability_zone != availability_zone,
            candidate.region != region,
            generator.random(),
        )

    return [candidate.host for candidate in sorted(candidates, key=get_rank)]


def prefer_direct_engines(views):
    """Return the engines that are reached directly, if they are enough, else all."""
    direct = [view for view in views if not view.is_relayed]
    return direct if len(direct) >= MIN_DIRECT_SHARE * len(views) else views
