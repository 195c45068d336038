"""Objects of the store as far as this host knows them."""

import zlib
from dataclasses import dataclass

import orjson

# Deletions are remembered for peers that missed them; whoever lacks older ones
# gets everything.
DELETIONS_KEPT = 512
COMPRESSION_LEVEL = 1


@dataclass(slots=True, frozen=True)
class ReplicaChange:
    """A newer state of one object.

    Parameters
    ----------
    name : str
        Name of the object.
    revision : int
        Grows with each change of the object.
    spec : object
        Its content; None for a deletion.
    """

    name: str
    revision: int
    spec: object

    @property
    def is_deletion(self):
        """Whether the object is gone."""
        return self.spec is None


class Replica:
    """The newest known state of each object of a kind.

    Only a higher revision replaces an object, wherever it comes from, so an
    older read of the store or a peer that lags changes nothing.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    packs : bool
        Whether contents are kept compressed, for kinds that grow large.

    Attributes
    ----------
    horizon : int
        Revision of the store up to which nothing is missing; 0 when nothing is
        known.
    newest : int
        Revision of the last change taken over. Unlike the horizon, it stands still
        while other kinds change.
    """

    __slots__ = (
        "kind",
        "horizon",
        "newest",
        "_packs",
        "_live",
        "_deleted",
        "_complete_from",
        "_listeners",
    )

    def __init__(self, kind, packs=False):
        self.kind = kind
        self.horizon = 0
        self.newest = 0
        self._packs = packs
        self._live = {}
        self._deleted = {}
        self._complete_from = 0
        self._listeners = []

    def __len__(self):
        return len(self._live)

    def subscribe(self, listener):
        """Call a function with each list of changes that were taken over."""
        self._listeners.append(listener)

    def get(self, name):
        """Return an object's last change, or None where it does not exist."""
        known = self._live.get(name)
        return self._unpack(known) if known is not None else None

    def list_live(self):
        """Return the last change of all objects that exist."""
        return [self._unpack(known) for known in self._live.values()]

    def list_names(self):
        """Return the names of all objects that exist."""
        return list(self._live)

    def _pack(self, change):
        if not self._packs:
            return change
        packed = zlib.compress(orjson.dumps(change.spec), COMPRESSION_LEVEL)
        return ReplicaChange(change.name, change.revision, packed)

    def _unpack(self, change):
        if not self._packs or change.is_deletion:
            return change
        spec = orjson.loads(zlib.decompress(change.spec))
        return ReplicaChange(change.name, change.revision, spec)

    def apply(self, after, horizon, changes, names=None):
        """Take over changes from the store or a peer.

        Parameters
        ----------
        after, horizon : int
            The changes are complete between these revisions; `after` 0 stands
            for the whole list.
        changes : iterable of ReplicaChange
            Changes in any order.
        names : collection of str or None
            With the last part of the whole list, the names of all objects: those
            that it lacks are gone.

        Returns
        -------
        list of ReplicaChange
            Those that were new.
        """
        changes = list(changes)
        is_whole = after == 0 and horizon >= self.horizon
        if is_whole and names is not None:
            changes += self._find_absent(horizon, names)
        # What is not known though nothing is missing has been deleted since.
        floor = 0 if is_whole else self.horizon
        taken = [change for change in changes if self._take(change, floor)]
        is_complete = after > 0 or names is not None
        if is_complete and after <= self.horizon < horizon:
            self.horizon = horizon
        if taken:
            self.newest = max(self.newest, *(change.revision for change in taken))
            for listener in self._listeners:
                listener(taken)
        return taken

    def _find_absent(self, horizon, names):
        """Return the deletion of each object that a whole list does not name."""
        names = set(names)
        return [
            ReplicaChange(known.name, horizon, None)
            for known in self._live.values()
            if known.name not in names and known.revision <= horizon
        ]

    def _take(self, change, floor):
        known = self._live.get(change.name) or self._deleted.get(change.name)
        if change.revision <= (floor if known is None else known.revision):
            return False
        if change.is_deletion:
            self._live.pop(change.name, None)
            self._deleted[change.name] = change
            self._forget_deletions()
        else:
            self._deleted.pop(change.name, None)
            self._live[change.name] = self._pack(change)
        return True

    def _forget_deletions(self):
        while len(self._deleted) > DELETIONS_KEPT:
            oldest = self._deleted.pop(next(iter(self._deleted)))
            self._complete_from = max(self._complete_from, oldest.revision)

    def list_changes(self, after):
        """Return what somebody lacks who knows all up to a revision.

        Returns
        -------
        tuple of (int, list of ReplicaChange)
            The revision that the changes are complete from, 0 for everything; in
            the order of their revisions.
        """
        if after < self._complete_from or after == 0:
            after, known = 0, self._live.values()
        else:
            known = [*self._live.values(), *self._deleted.values()]
        changes = [self._unpack(item) for item in known if item.revision > after]
        return after, sorted(changes, key=lambda change: change.revision)
