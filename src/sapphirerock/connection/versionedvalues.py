"""Versioned JSON values, each stored as an object of the platform's store."""

from dataclasses import dataclass

import orjson
from expression import Error, Ok

from sapphirerock.connection.errors import PlatformConflict, PlatformUnavailable
from sapphirerock.connection.storeobjects import ObjectMissing, StoreConflict


@dataclass(slots=True, frozen=True)
class StoredValue:
    """A value as JSON bytes; version 0 means that it does not exist."""

    version: int
    value: bytes


class VersionedValues:
    """JSON values by path, with writes conditional on the current version.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    kind : str
        Kind of the objects that hold the values.
    """

    __slots__ = ("_store", "_kind")

    def __init__(self, store, kind):
        self._store = store
        self._kind = kind

    async def get(self, path):
        """Read a value.

        Returns
        -------
        expression.Result of StoredValue or PlatformUnavailable
        """
        read = await self._store.read(self._kind, path)
        if read.is_ok():
            return Ok(StoredValue(read.ok.revision, orjson.dumps(read.ok.spec)))
        if isinstance(read.error, ObjectMissing):
            return Ok(StoredValue(0, b""))
        return Error(PlatformUnavailable(repr(read.error)))

    async def put(self, path, value, version):
        """Write a value if it still has the given version; 0 creates it.

        Parameters
        ----------
        path : str
            Path of the value.
        value : bytes
            The value as JSON.
        version : int
            Version that the value must have.

        Returns
        -------
        expression.Result of int or ConnectionFailure
            The new version, `PlatformConflict`, or `PlatformUnavailable` when
            the write may or may not have taken effect.
        """
        spec = orjson.loads(value)
        if version:
            written = await self._store.replace(self._kind, path, spec, version)
        else:
            written = await self._store.create(self._kind, path, spec)
        if written.is_ok():
            return Ok(written.ok.revision)
        return Error(translate_failure(path, written.error))

    async def delete(self, path, version):
        """Delete a value if it still has the given version.

        Returns
        -------
        expression.Result of int or ConnectionFailure
            The version that was deleted; the errors are those of `put`.
        """
        written = await self._store.delete(self._kind, path, version)
        if written.is_ok():
            return Ok(version)
        return Error(translate_failure(path, written.error))


def translate_failure(path, failure):
    """Return `PlatformConflict` or `PlatformUnavailable` for a failed write."""
    if isinstance(failure, StoreConflict | ObjectMissing):
        return PlatformConflict(path)
    return PlatformUnavailable(repr(failure))
