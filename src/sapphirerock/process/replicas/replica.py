"""Objects of the store as far as this host knows them."""

from dataclasses import dataclass

# Deletions are remembered for peers that missed them; whoever lacks older ones
# gets everything.
DELETIONS_KEPT = 512


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
        "_live",
        "_deleted",
        "_complete_from",
        "_listeners",
    )

    def __init__(self, kind):
        self.kind = kind
        self.horizon = 0
        self.newest = 0
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
        return self._live.get(name)

    def list_live(self):
        """Return the last change of all objects that exist."""
        return list(self._live.values())

    def apply(self, after, horizon, changes):
        """Take over changes from the store or a peer.

        Parameters
        ----------
        after, horizon : int
            The changes are complete between these revisions; `after` 0 stands
            for the whole list, and what it lacks is gone.
        changes : iterable of ReplicaChange
            Changes in any order.

        Returns
        -------
        list of ReplicaChange
            Those that were new.
        """
        changes = list(changes)
        is_whole = after == 0 and horizon >= self.horizon
        if is_whole:
            changes += self._find_absent(horizon, changes)
        # What is not known though nothing is missing has been deleted since.
        floor = 0 if is_whole else self.horizon
        taken = [change for change in changes if self._take(change, floor)]
        if after <= self.horizon < horizon:
            self.horizon = horizon
        if taken:
            self.newest = max(self.newest, *(change.revision for change in taken))
            for listener in self._listeners:
                listener(taken)
        return taken

    def _find_absent(self, horizon, changes):
        """Return the deletion of each object that a whole list does not name."""
        names = {change.name for change in changes}
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
            self._live[change.name] = change
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
            The revision that the changes are complete from, 0 for everything.
        """
        if after < self._complete_from or after == 0:
            return 0, self.list_live()
        known = [*self._live.values(), *self._deleted.values()]
        return after, [change for change in known if change.revision > after]
