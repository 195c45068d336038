"""State of the distribution of one kind of objects: contacts, watch, settings."""

import asyncio
from dataclasses import dataclass

from sapphirerock.process.replicas.replica import Replica

# Bounds the time until a silent watch is noticed. Each wait costs one call.
WATCH_WAIT_S = 1.0
# Monotonic time that stands for an event that has not happened.
NEVER_S = -1e9


@dataclass(slots=True, frozen=True)
class Contact:
    """A host's last contact with the store.

    Parameters
    ----------
    at_s : float
        Monotonic time, `NEVER_S` for none.
    host : str
        The host that called the store.
    """

    at_s: float
    host: str


NO_CONTACT = Contact(NEVER_S, "")


class FeedState:
    """State of the feed of one kind: contacts with the store, and the watch.

    Attributes
    ----------
    contact_at_s : float
        Monotonic time of the store's last response to this host.
    last_call_failed : bool
        Whether this host's last call to the store failed.
    is_synchronised : bool
        Whether the replica has been complete once.
    peer_contacts : dict of str to Contact
        The last contact that each peer reported, by host.
    pulls : dict of str to ReplicaPull
        The last pull from each peer, by host.
    watch : asyncio.Task or None
        The call that waits for changes.
    contact_lost : asyncio.Event
        Set when a peer reports that it lost contact with the store, so that this host
        may have to start watching.
    """

    __slots__ = (
        "contact_at_s",
        "last_call_failed",
        "is_synchronised",
        "peer_contacts",
        "pulls",
        "watch",
        "contact_lost",
    )

    def __init__(self):
        self.contact_at_s = NEVER_S
        self.last_call_failed = False
        self.is_synchronised = False
        self.peer_contacts = {}
        self.pulls = {}
        self.watch = None
        self.contact_lost = asyncio.Event()

    @property
    def own_contact_at_s(self):
        """Monotonic time of this host's last contact, `NEVER_S` after a failed call."""
        return NEVER_S if self.last_call_failed else self.contact_at_s


@dataclass(slots=True, frozen=True)
class ReplicatedKind:
    """A kind of objects to replicate.

    Parameters
    ----------
    replica : Replica
        Replica of the objects.
    watch_wait_s : float
        Longest wait of one watch call, in seconds. Kinds whose changes may arrive
        late have a longer one.
    batch_s : float
        Time for which changes are gathered before they are sent on, in seconds.
    """

    replica: Replica
    watch_wait_s: float = WATCH_WAIT_S
    batch_s: float = 0.0
