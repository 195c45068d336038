"""Validation and conditional writes of changes to settings."""

from dataclasses import dataclass

from expression import Error, Ok

from sapphirerock.connection.errors import PlatformConflict
from sapphirerock.process.settings.store import Envelope, decode_envelope
from sapphirerock.request.problem import (
    CONFLICT,
    PLATFORM_UNAVAILABLE,
    REFUSED_SETTINGS,
    Problem,
)
from sapphirerock.version.objects import OperatorList, decode_settings

MAX_WRITE_ATTEMPTS = 4
WRITE_RETRY_PAUSE_S = 0.25
RETRY_AFTER_S = 2


@dataclass(slots=True, frozen=True)
class SettingsChange:
    """A change that an operator requests.

    Parameters
    ----------
    path : str
        Path of the settings object in the platform.
    document : dict or None
        New settings; None to delete the object.
    expected_version : int
        Version that the operator has seen; 0 for a new object.
    change_id : str
        Id by which a change that is sent again is recognised.
    operator : str
        Name of the operator.
    """

    path: str
    document: dict | None
    expected_version: int
    change_id: str
    operator: str


@dataclass(slots=True, frozen=True)
class AcceptedChange:
    """The version of an accepted change and the change's id."""

    version: int
    change_id: str


class SettingsWriter:
    """Validates changes of settings and writes them to the platform.

    After a lost answer the object is read again, to see whether the change is in it.

    Parameters
    ----------
    platform : VersionedValues
        Stores the settings.
    store : SettingsStore
        Settings in force, to check references against.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_platform", "_store", "_clock")

    def __init__(self, platform, store, clock):
        self._platform = platform
        self._store = store
        self._clock = clock

    async def read(self, path):
        """Read a settings object from the platform.

        Returns
        -------
        expression.Result of (StoredValue, Envelope) or Problem
        """
        read = await self._platform.get(path)
        if read.is_error():
            return Error(make_unavailable_problem("the platform did not answer"))
        if not read.ok.version:
            return Ok((read.ok, Envelope({})))
        envelope = decode_envelope(read.ok.value)
        return Ok((read.ok, envelope.default_value(Envelope({}))))

    async def write(self, change):
        """Validate and write a change.

        A change that is sent again after a lost answer is recognised by its id and
        not applied twice.

        Returns
        -------
        expression.Result of AcceptedChange or Problem
        """
        problem = self._validate(change)
        if problem is not None:
            return Error(problem)
        for _ in range(MAX_WRITE_ATTEMPTS):
            result = await self._try_write(change)
            if result.is_ok() or result.error.kind is not PLATFORM_UNAVAILABLE:
                return result
            await self._clock.sleep(WRITE_RETRY_PAUSE_S)
        return result

    def _validate(self, change):
        """Return the problem of an invalid document, or None."""
        if change.document is None:
            return None
        decoded = decode_settings(change.document)
        if decoded.is_error():
            faults = "; ".join(str(fault) for fault in decoded.error.faults)
            return Problem(REFUSED_SETTINGS, f"{change.path}: {faults}")
        if isinstance(decoded.ok, OperatorList):
            outside = self._find_outside_subtree(change, decoded.ok)
            if outside:
                detail = f"{change.path}: subtree {outside!r} is not below the path"
                return Problem(REFUSED_SETTINGS, detail)
        dangling = self._store.snapshot.find_dangling_references(decoded.ok)
        if dangling:
            detail = f"{change.path}: nothing defines {', '.join(dangling)}"
            return Problem(REFUSED_SETTINGS, detail)
        return None

    def _find_outside_subtree(self, change, operators):
        """Return an operator's subtree that is outside the path's folder, or None."""
        folder = change.path.rsplit("/", 1)[0] + "/"
        for operator in operators.operators:
            if not operator.subtree.startswith(folder):
                return operator.subtree
        return None

    async def _try_write(self, change):
        """Write a change once, unless it was already applied or has a conflict."""
        read = await self.read(change.path)
        if read.is_error():
            return read
        stored, envelope = read.ok
        if change.change_id in envelope.changes:
            return Ok(AcceptedChange(stored.version, change.change_id))
        if change.document is None and not stored.version:
            return Ok(AcceptedChange(change.expected_version, change.change_id))
        if stored.version != change.expected_version:
            detail = f"{change.path} has version {stored.version}, by "
            detail += f"{envelope.operator or 'nobody'}, not {change.expected_version}"
            return Error(Problem(CONFLICT, detail))
        return await self._write_object(change, envelope, stored.version)

    async def _write_object(self, change, envelope, version):
        if change.document is None:
            written = await self._platform.delete(change.path, version)
        else:
            successor = envelope.make_successor(
                change.document, change.operator, change.change_id
            )
            written = await self._platform.put(change.path, successor.encode(), version)
        if written.is_ok():
            return Ok(AcceptedChange(written.ok, change.change_id))
        if isinstance(written.error, PlatformConflict):
            return Error(Problem(CONFLICT, f"{change.path} was changed meanwhile"))
        return Error(
            make_unavailable_problem("the change may or may not have been taken")
        )


def make_unavailable_problem(detail):
    """Return the problem of a platform that didn't answer."""
    return Problem(PLATFORM_UNAVAILABLE, detail, RETRY_AFTER_S)
