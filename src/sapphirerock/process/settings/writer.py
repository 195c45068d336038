"""Accepting changes of settings: checked, written, read back."""

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

WRITE_TRIES = 4
WRITE_PAUSE_S = 0.25
RETRY_AFTER_S = 2


@dataclass(slots=True, frozen=True)
class SettingsChange:
    """One change that an operator asks for.

    Parameters
    ----------
    path : str
        Path of the object in the platform.
    document : dict or None
        New settings; None to delete.
    expected : int
        Version that the operator saw; 0 for a new object.
    change : str
        Id by which a resent change is known.
    operator : str
        Who asks.
    """

    path: str
    document: dict | None
    expected: int
    change: str
    operator: str


@dataclass(slots=True, frozen=True)
class Accepted:
    """The version that a change was accepted as."""

    version: int
    change: str


class SettingsWriter:
    """Accept changes of settings: check, write, read back after a lost answer.

    Parameters
    ----------
    platform : VersionedValues
        Where settings are kept.
    store : SettingsStore
        Settings in force, for references.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_platform", "_store", "_clock")

    def __init__(self, platform, store, clock):
        self._platform = platform
        self._store = store
        self._clock = clock

    async def read(self, path):
        """Read an object from the platform.

        Returns
        -------
        expression.Result of (StoredValue, Envelope) or Problem
        """
        read = await self._platform.get(path)
        if read.is_error():
            return Error(make_unavailable("the platform did not answer"))
        if not read.ok.version:
            return Ok((read.ok, Envelope({})))
        envelope = decode_envelope(read.ok.value)
        return Ok((read.ok, envelope.default_value(Envelope({}))))

    async def write(self, change):
        """Bring a change into force.

        A change whose answer was lost is found by its id when it is sent again,
        and is not applied twice.

        Returns
        -------
        expression.Result of Accepted or Problem
        """
        refused = self._check(change)
        if refused is not None:
            return Error(refused)
        for _ in range(WRITE_TRIES):
            result = await self._try_write(change)
            if result.is_ok() or result.error.kind is not PLATFORM_UNAVAILABLE:
                return result
            await self._clock.sleep(WRITE_PAUSE_S)
        return result

    def _check(self, change):
        """Return why a document can't be taken, or None."""
        if change.document is None:
            return None
        decoded = decode_settings(change.document)
        if decoded.is_error():
            faults = "; ".join(str(fault) for fault in decoded.error.faults)
            return Problem(REFUSED_SETTINGS, f"{change.path}: {faults}")
        if isinstance(decoded.ok, OperatorList):
            outside = self._find_outside(change, decoded.ok)
            if outside:
                detail = f"{change.path}: subtree {outside!r} is not below the path"
                return Problem(REFUSED_SETTINGS, detail)
        dangling = self._store.snapshot.find_dangling_references(decoded.ok)
        if dangling:
            detail = f"{change.path}: nothing defines {', '.join(dangling)}"
            return Problem(REFUSED_SETTINGS, detail)
        return None

    def _find_outside(self, change, operators):
        """Return a subtree that the path's own subtree does not contain."""
        own = change.path.rsplit("/", 1)[0] + "/"
        for operator in operators.operators:
            if not operator.subtree.startswith(own):
                return operator.subtree
        return None

    async def _try_write(self, change):
        read = await self.read(change.path)
        if read.is_error():
            return read
        stored, envelope = read.ok
        if change.change in envelope.changes:
            return Ok(Accepted(stored.version, change.change))
        if change.document is None and not stored.version:
            return Ok(Accepted(change.expected, change.change))
        if stored.version != change.expected:
            detail = f"{change.path} has version {stored.version}, by "
            detail += f"{envelope.operator or 'nobody'}, not {change.expected}"
            return Error(Problem(CONFLICT, detail))
        return await self._put(change, envelope, stored.version)

    async def _put(self, change, envelope, version):
        if change.document is None:
            written = await self._platform.delete(change.path, version)
        else:
            following = envelope.follow(change.document, change.operator, change.change)
            written = await self._platform.put(change.path, following.encode(), version)
        if written.is_ok():
            return Ok(Accepted(written.ok, change.change))
        if isinstance(written.error, PlatformConflict):
            return Error(Problem(CONFLICT, f"{change.path} was changed meanwhile"))
        return Error(make_unavailable("the change may or may not have been taken"))


def make_unavailable(detail):
    """Return the answer when the platform can't be asked."""
    return Problem(PLATFORM_UNAVAILABLE, detail, RETRY_AFTER_S)
