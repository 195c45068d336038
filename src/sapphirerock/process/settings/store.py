"""The settings in force on this host, from the highest version of each object."""

from dataclasses import dataclass

import orjson
from expression import Error, Ok
from loguru import logger

from sapphirerock.version.faults import SettingsError, SettingsFault
from sapphirerock.version.objects import (
    OrganisationList,
    VersionedSettings,
    decode_settings,
)
from sapphirerock.version.organisations import PackedOrganisations
from sapphirerock.version.snapshot import SnapshotBuilder

SETTINGS_PREFIX = "settings/"
MAX_CHANGE_IDS = 32


@dataclass(slots=True, frozen=True)
class Envelope:
    """A settings object with its author and changes, as stored in the platform.

    Parameters
    ----------
    document : dict
        The settings as the operator wrote them.
    operator : str
        Name of the operator who wrote them.
    changes : tuple of str
        Ids of the last changes, newest last, by which a repeated change is recognised.
    """

    document: dict
    operator: str = ""
    changes: tuple = ()

    def encode(self):
        """Return the envelope as JSON."""
        return orjson.dumps(
            {
                "document": self.document,
                "operator": self.operator,
                "changes": self.changes,
            }
        )

    def make_successor(self, document, operator, change):
        """Return the envelope after another change."""
        changes = (*self.changes, change)[-MAX_CHANGE_IDS:]
        return Envelope(document, operator, changes)


def decode_envelope(value):
    """Decode a stored settings object.

    Returns
    -------
    expression.Result of Envelope or SettingsError
    """
    try:
        fields = orjson.loads(value)
        return Ok(
            Envelope(fields["document"], fields["operator"], tuple(fields["changes"]))
        )
    except (ValueError, KeyError, TypeError) as error:
        return Error(SettingsError([SettingsFault("$", repr(error), "an envelope")]))


def decode_stored(value):
    """Decode the settings in a stored object.

    Returns
    -------
    expression.Result of SettingsObject or SettingsError
    """
    return decode_envelope(value).bind(
        lambda envelope: decode_settings(envelope.document)
    )


@dataclass(slots=True, frozen=True)
class OrganisationGroup:
    """The organisations of one settings object."""

    path: str
    version: int
    organisations: PackedOrganisations


class SettingsStore:
    """All settings objects and the snapshot that is built from them.

    Only a higher version replaces an object, whatever its source, so a stale read of
    the platform or a peer that lags changes nothing. The version of a deleted object
    is kept.

    Attributes
    ----------
    horizon : int
        Version up to which changes have been applied.
    snapshot : Snapshot
        The settings in force.
    faults : dict of str to str
        Why the last version of an object was rejected, by path.
    """

    __slots__ = (
        "horizon",
        "snapshot",
        "faults",
        "_versions",
        "_in_force",
        "_groups",
        "_builder",
        "_listeners",
    )

    def __init__(self):
        self.horizon = 0
        self.faults = {}
        self._versions = {}
        self._in_force = {}
        self._groups = {}
        self._builder = SnapshotBuilder()
        self._listeners = []
        self.snapshot = self._builder.build(0, (), [])

    def subscribe(self, listener):
        """Register a function to call with each new snapshot."""
        self._listeners.append(listener)

    def get_version(self, path):
        """Return the last version of an object, 0 if it never existed."""
        return self._versions.get(path, 0)

    def list_versions(self):
        """Return the last version of every object by path, also of deleted ones."""
        return dict(self._versions)

    def apply_changes(self, changes):
        """Apply changes from the replica of settings objects."""
        objects = [
            (
                change.name,
                change.revision,
                None if change.is_deletion else orjson.dumps(change.spec),
            )
            for change in changes
        ]
        newest = max(change.revision for change in changes)
        self.apply(self.horizon, newest, objects)

    def apply(self, after, horizon, objects):
        """Apply objects from the platform or a peer.

        Parameters
        ----------
        after, horizon : int
            The objects contain all changes between these versions.
        objects : iterable of (str, int, bytes or None)
            Path, version and value; None for a deletion.

        Returns
        -------
        bool
            Whether an object or the horizon changed.
        """
        changed = False
        for path, version, value in objects:
            if version > self.get_version(path):
                self._apply_object(path, version, value)
                changed = True
        if after <= self.horizon < horizon:
            self.horizon = horizon
            changed = True
        if changed:
            self._publish_snapshot()
        return changed

    def _apply_object(self, path, version, value):
        self._versions[path] = version
        self.faults.pop(path, None)
        if value is None:
            self._in_force.pop(path, None)
            self._groups.pop(path, None)
            return
        decoded = decode_stored(value)
        if decoded.is_error():
            # The last valid version stays in force.
            self.faults[path] = str(decoded.error)
            logger.error("settings object rejected: {} {}", path, decoded.error)
        elif isinstance(decoded.ok, OrganisationList):
            packed_organisations = PackedOrganisations(decoded.ok.organisations)
            self._groups[path] = OrganisationGroup(path, version, packed_organisations)
        else:
            self._in_force[path] = VersionedSettings(path, version, decoded.ok)

    def _publish_snapshot(self):
        objects = [self._in_force[path] for path in sorted(self._in_force)]
        groups = [self._groups[path] for path in sorted(self._groups)]
        self.snapshot = self._builder.build(self.horizon, objects, groups)
        for listener in self._listeners:
            listener(self.snapshot)
