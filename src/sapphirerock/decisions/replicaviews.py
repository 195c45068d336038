"""When a host pulls the changes of a peer's replica that its own may lack.

Handles changes that overtake each other on different paths. While the store rejects
the hubs of a zone, another of its hosts watches, and what it sends reaches the hubs
beside changes that come from other zones. A host that got only the later one of two
changes has the same newest revision and the same number of objects as its hub, so only
a digest of the contents shows that it lacks the other.
"""

from dataclasses import dataclass

# A replica that still differs from the same peer's after a pull is compared as a whole,
# at most once in this time.
REPEATED_PULL_INTERVAL_S = 2.0
# Revision after which all objects are pulled, and not only changes.
WHOLE_LIST = 0


@dataclass(slots=True, frozen=True)
class ReplicaView:
    """What a host tells its peers of a replica.

    Parameters
    ----------
    newest : int
        Highest revision among the changes that it has applied.
    size : int
        Number of objects.
    digest : int or None
        Digest of the objects' names and revisions; None from a host of an earlier
        build, which tells none.
    """

    newest: int
    size: int
    digest: int | None

    def is_same(self, other):
        """Return whether both replicas have the same objects, as far as is known."""
        has_digests = None not in (self.digest, other.digest)
        is_digest_same = not has_digests or self.digest == other.digest
        return (self.newest, self.size) == (other.newest, other.size) and is_digest_same


@dataclass(slots=True, frozen=True)
class ReplicaPull:
    """A pull from a peer: its time, and the views that gave rise to it.

    Parameters
    ----------
    at_s : float
        Monotonic time.
    own, peer : ReplicaView
        Views of this host and of the peer.
    """

    at_s: float
    own: ReplicaView
    peer: ReplicaView


def choose_pull(own, peer, horizon, last_pull, now_s):
    """Return the revision after which to pull a peer's changes, or None.

    A peer that is behind is not pulled from: it pulls from this host first, and what it
    has beyond that shows when both have the same newest revision.

    Parameters
    ----------
    own, peer : ReplicaView
        Views of this host's replica and of the peer's.
    horizon : int
        Revision up to which this host's replica is complete.
    last_pull : ReplicaPull or None
        Last pull from this peer.
    now_s : float
        Monotonic time.
    """
    if peer.newest > own.newest:
        return horizon
    if peer.newest < own.newest or own.is_same(peer):
        return None
    if peer.size != own.size:
        return WHOLE_LIST
    if last_pull is None or (last_pull.own, last_pull.peer) != (own, peer):
        return horizon
    if now_s - last_pull.at_s < REPEATED_PULL_INTERVAL_S:
        return None
    return WHOLE_LIST
