"""Objects, events and failures of the platform's store."""

from dataclasses import dataclass

from sapphirerock.connection.errors import ConnectionFailure

# Revisions of the store stay far below this power of two.
REVISION_BITS = 40
REVISION_MASK = (1 << REVISION_BITS) - 1
# Field of an object's content in replicas that holds its status.
STATUS_FIELD = "status"


def qualify_revision(era, revision):
    """Return a revision that is comparable over the eras of the store.

    A store that comes back from an older copy begins a new era and gives revisions out
    again. A qualified revision of a later era is higher than all of earlier ones; in
    era 0 it equals the store's own.
    """
    return era << REVISION_BITS | revision


def get_era(revision):
    """Return the era of a qualified revision."""
    return revision >> REVISION_BITS


def strip_era(revision):
    """Return the store's own revision for a qualified one."""
    return revision & REVISION_MASK


@dataclass(slots=True, frozen=True)
class StoredObject:
    """One object at one revision.

    Parameters
    ----------
    name : str
        Name, unique among the objects of its kind.
    revision : int
        Qualified revision of its last change. All objects of the store share one
        counter.
    spec : object
        Content, decoded from JSON.
    status : object
        What the system has written about it; None if nothing.
    """

    name: str
    revision: int
    spec: object
    status: object = None

    @property
    def content(self):
        """The spec, with the status as a further field if there is one."""
        if self.status is None or not isinstance(self.spec, dict):
            return self.spec
        return {**self.spec, STATUS_FIELD: self.status}


@dataclass(slots=True, frozen=True)
class ObjectPage:
    """A page of the list of a kind's objects.

    Parameters
    ----------
    has_more : bool
        Whether more objects follow the page.
    revision : int
        Revision of the store at which the page was read.
    """

    objects: tuple
    has_more: bool
    revision: int


@dataclass(slots=True, frozen=True)
class ObjectEvent:
    """A change of an object."""

    object: StoredObject
    is_deleted: bool


@dataclass(slots=True, frozen=True)
class ObjectEvents:
    """Result of a watch: changes up to and including a revision of the store."""

    events: tuple
    revision: int


class StoreFailure(ConnectionFailure):
    """Base class of the failures of calls to the store."""


@dataclass(slots=True, frozen=True)
class StoreUnavailable(StoreFailure):
    """The store gave no usable response.

    Parameters
    ----------
    may_have_run : bool
        Whether a write may have taken effect or may still take effect.
    """

    reason: str
    may_have_run: bool = True


@dataclass(slots=True, frozen=True)
class AnswerTooLarge(StoreFailure):
    """The answer of the store exceeds what this host reads."""

    limit_bytes: int


@dataclass(slots=True, frozen=True)
class StoreConflict(StoreFailure):
    """The object does not have the state that the write required.

    Parameters
    ----------
    current : StoredObject or None
        The current object, if the store returned it.
    """

    current: StoredObject | None


@dataclass(slots=True, frozen=True)
class ObjectMissing(StoreFailure):
    """The object does not exist."""

    name: str


@dataclass(slots=True, frozen=True)
class HistoryGone(StoreFailure):
    """The store no longer has the changes after the requested revision."""

    revision: int
