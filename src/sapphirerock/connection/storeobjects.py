"""What the platform's store holds and says, as values."""

from dataclasses import dataclass

from sapphirerock.connection.errors import ConnectionFailure


@dataclass(slots=True, frozen=True)
class StoredObject:
    """One object at one revision.

    Parameters
    ----------
    name : str
        Unique within its kind.
    revision : int
        Revision of its last change; one counter runs over the whole store.
    spec : object
        Its content, as JSON values.
    """

    name: str
    revision: int
    spec: object


@dataclass(slots=True, frozen=True)
class ObjectPage:
    """A part of the list of a kind's objects.

    Parameters
    ----------
    has_more : bool
        Whether there are objects after the last one.
    revision : int
        The store's revision at which the part was read.
    """

    objects: tuple
    has_more: bool
    revision: int


@dataclass(slots=True, frozen=True)
class ObjectEvent:
    """One change of one object."""

    object: StoredObject
    is_deleted: bool


@dataclass(slots=True, frozen=True)
class ObjectEvents:
    """Changes of a kind's objects up to a revision."""

    events: tuple
    revision: int


class StoreFailure(ConnectionFailure):
    """Base class of what a call to the store can come to."""


@dataclass(slots=True, frozen=True)
class StoreUnavailable(StoreFailure):
    """The store gave no answer that can be used.

    Parameters
    ----------
    may_have_run : bool
        Whether a write may have taken effect, or may still do so.
    """

    reason: str
    may_have_run: bool = True


@dataclass(slots=True, frozen=True)
class StoreConflict(StoreFailure):
    """The object is not as the write expected it.

    Parameters
    ----------
    current : StoredObject or None
        The object as it is, where the store said so.
    """

    current: StoredObject | None


@dataclass(slots=True, frozen=True)
class ObjectMissing(StoreFailure):
    """There is no such object."""

    name: str


@dataclass(slots=True, frozen=True)
class HistoryGone(StoreFailure):
    """The store has forgotten the changes after the revision asked for."""

    revision: int
