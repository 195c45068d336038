"""The settings in force on this host: the highest version of each object."""

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
CHANGES_REMEMBERED = 32


@dataclass(slots=True, frozen=True)
class Envelope:
    """A settings object as stored in the platform.

    Parameters
    ----------
    document : dict
        The settings as the operator wrote them.
    operator : str
        Who wrote them.
    changes : tuple of str
        Ids of the last changes, the latest last.
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

    def follow(self, document, operator, change):
        """Return the envelope of the next change."""
        changes = (*self.changes, change)[-CHANGES_REMEMBERED:]
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
    return decode_envelope(value).bind(lambda found: decode_settings(found.document))


@dataclass(slots=True, frozen=True)
class OrganisationGroup:
    """The organisations of one settings object."""

    path: str
    version: int
    organisations: PackedOrganisations


class SettingsStore:
    """All settings objects and the snapshot that they make.

    Only a higher version replaces an object, wherever it comes from: an older
    read of the platform or an older peer changes nothing. Deletions are kept as
    versions without a value.
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
        """Call a function with each new snapshot."""
        self._listeners.append(listener)

    def get_version(self, path):
        """Return the version of an object, 0 if there is none."""
        return self._versions.get(path, 0)

    def list_versions(self):
        """Return the version of every object by path."""
        return dict(self._versions)

    def apply_changes(self, changes):
        """Take over changes of a replica."""
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
        """Take over objects from the platform or a peer.

        Parameters
        ----------
        after, horizon : int
            The objects are all changes between these versions.
        objects : iterable of (str, int, bytes or None)
            Path, version and value; None for a deletion.

        Returns
        -------
        bool
            Whether anything is new.
        """
        changed = False
        for path, version, value in objects:
            if version > self.get_version(path):
                self._put(path, version, value)
                changed = True
        if after <= self.horizon < horizon:
            self.horizon = horizon
            changed = True
        if changed:
            self._publish()
        return changed

    def _put(self, path, version, value):
        self._versions[path] = version
        self.faults.pop(path, None)
        if value is None:
            self._in_force.pop(path, None)
            self._groups.pop(path, None)
            return
        decoded = decode_stored(value)
        if decoded.is_error():
            # What was in force stays in force.
            self.faults[path] = str(decoded.error)
            logger.error("settings refused: {} {}", path, decoded.error)
        elif isinstance(decoded.ok, OrganisationList):
            packed_organisations = PackedOrganisations(decoded.ok.organisations)
            self._groups[path] = OrganisationGroup(path, version, packed_organisations)
        else:
            self._in_force[path] = VersionedSettings(path, version, decoded.ok)

    def _publish(self):
        objects = [self._in_force[path] for path in sorted(self._in_force)]
        groups = [self._groups[path] for path in sorted(self._groups)]
        self.snapshot = self._builder.build(self.horizon, objects, groups)
        for listener in self._listeners:
            listener(self.snapshot)
