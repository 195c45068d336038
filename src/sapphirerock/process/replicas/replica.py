"""A replica of the store's objects of one kind."""

import zlib
from dataclasses import dataclass

import orjson
import xxhash

# Recent deletions are kept for peers that missed them. A peer that lacks older ones
# gets the whole list.
MAX_DELETIONS = 512
COMPRESSION_LEVEL = 1


@dataclass(slots=True, frozen=True)
class ReplicaChange:
    """A newer state of one object.

    Parameters
    ----------
    name : str
        Name of the object.
    revision : int
        Increases with each change of the object.
    spec : object
        Content of the object; None for a deletion.
    """

    name: str
    revision: int
    spec: object

    @property
    def is_deletion(self):
        """Whether the object has been deleted."""
        return self.spec is None


class Replica:
    """The newest known state of each object of one kind.

    Only a higher revision replaces an object, whatever its source, so a stale read
    of the store or a peer that lags changes nothing.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    compress : bool
        Whether contents are kept compressed, for kinds with much data.

    Attributes
    ----------
    horizon : int
        Revision of the store up to which the replica is complete; 0 before the
        first complete list.
    newest : int
        Highest revision among the applied changes. Unlike `horizon`, it doesn't
        increase when other kinds change.
    digest : int
        Digest of the names and revisions of all objects that exist. Replicas that got
        the same changes in different orders have the same one.
    """

    __slots__ = (
        "kind",
        "horizon",
        "newest",
        "digest",
        "_is_compressed",
        "_live",
        "_deleted",
        "_deletions_complete_from",
        "_listeners",
    )

    def __init__(self, kind, compress=False):
        self.kind = kind
        self.horizon = 0
        self.newest = 0
        self.digest = 0
        self._is_compressed = compress
        self._live = {}
        self._deleted = {}
        # Deletions with revisions above this one are all kept.
        self._deletions_complete_from = 0
        self._listeners = []

    def __len__(self):
        return len(self._live)

    def subscribe(self, listener):
        """Register a function to call with each list of applied changes."""
        self._listeners.append(listener)

    def get(self, name):
        """Return an object's last change, or None if it doesn't exist."""
        current = self._live.get(name)
        return self._decompress(current) if current is not None else None

    def list_live(self):
        """Return the last change of all objects that exist."""
        return [self._decompress(change) for change in self._live.values()]

    def list_names(self):
        """Return the names of all objects that exist."""
        return list(self._live)

    def _compress(self, change):
        if not self._is_compressed:
            return change
        compressed = zlib.compress(orjson.dumps(change.spec), COMPRESSION_LEVEL)
        return ReplicaChange(change.name, change.revision, compressed)

    def _decompress(self, change):
        if not self._is_compressed or change.is_deletion:
            return change
        spec = orjson.loads(zlib.decompress(change.spec))
        return ReplicaChange(change.name, change.revision, spec)

    def apply(self, after, horizon, changes, names=None):
        """Apply changes from the store or a peer.

        Parameters
        ----------
        after, horizon : int
            The changes are complete between these revisions. `after` is 0 for the
            whole list.
        changes : iterable of ReplicaChange
            Changes in any order.
        names : collection of str or None
            The names of all objects, with the last part of the whole list. Objects
            that are not named have been deleted.

        Returns
        -------
        list of ReplicaChange
            The changes that were new.
        """
        changes = list(changes)
        is_whole = after == 0 and horizon >= self.horizon
        if is_whole and names is not None:
            changes += self._find_absent(horizon, names)
        # The replica is complete up to its horizon, so an unknown object with a
        # revision not above it has been deleted since.
        floor = 0 if is_whole else self.horizon
        applied = [change for change in changes if self._apply_change(change, floor)]
        is_complete = after > 0 or names is not None
        if is_complete and after <= self.horizon < horizon:
            self.horizon = horizon
        if applied:
            self.newest = max(self.newest, *(change.revision for change in applied))
            for listener in self._listeners:
                listener(applied)
        return applied

    def _find_absent(self, horizon, names):
        """Return a deletion for each object that a whole list doesn't name."""
        names = set(names)
        return [
            ReplicaChange(current.name, horizon, None)
            for current in self._live.values()
            if current.name not in names and current.revision <= horizon
        ]

    def _apply_change(self, change, floor):
        """Apply a change if it is newer and return whether it was.

        `floor` is the revision that a change of an unknown object must exceed.
        """
        current = self._live.get(change.name) or self._deleted.get(change.name)
        if change.revision <= (floor if current is None else current.revision):
            return False
        replaced = self._live.get(change.name)
        if replaced is not None:
            self.digest ^= hash_revision(replaced)
        if not change.is_deletion:
            self.digest ^= hash_revision(change)
        if change.is_deletion:
            self._live.pop(change.name, None)
            self._deleted[change.name] = change
            self._trim_deletions()
        else:
            self._deleted.pop(change.name, None)
            self._live[change.name] = self._compress(change)
        return True

    def _trim_deletions(self):
        while len(self._deleted) > MAX_DELETIONS:
            oldest = self._deleted.pop(next(iter(self._deleted)))
            self._deletions_complete_from = max(
                self._deletions_complete_from, oldest.revision
            )

    def list_changes(self, after):
        """Return the changes that a replica with an older horizon lacks.

        Parameters
        ----------
        after : int
            Horizon of that replica; 0 asks for the whole list.

        Returns
        -------
        tuple of (int, list of ReplicaChange)
            The revision after which the changes are complete, 0 for the whole
            list, and the changes in the order of their revisions.
        """
        if after < self._deletions_complete_from or after == 0:
            after, candidates = 0, self._live.values()
        else:
            candidates = [*self._live.values(), *self._deleted.values()]
        changes = [
            self._decompress(item) for item in candidates if item.revision > after
        ]
        return after, sorted(changes, key=lambda change: change.revision)


def hash_revision(change):
    """Return a 32-bit hash of an object's name and revision."""
    return xxhash.xxh32_intdigest(f"{change.name}\0{change.revision}".encode())
