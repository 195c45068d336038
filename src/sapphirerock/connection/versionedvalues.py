"""Versioned JSON values, stored as objects of one kind in the store."""

from dataclasses import dataclass

import orjson
from expression import Error, Ok

from sapphirerock.connection.errors import PlatformConflict, PlatformUnavailable
from sapphirerock.connection.storeobjects import ObjectMissing, StoreConflict


@dataclass(slots=True, frozen=True)
class StoredValue:
    """A value as read; version 0 means that it does not exist."""

    version: int
    value: bytes


class VersionedValues:
    """JSON values by path, written only if they still have an expected version.

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
            The version that the value had.
        """
        written = await self._store.delete(self._kind, path, version)
        if written.is_ok():
            return Ok(version)
        return Error(translate_failure(path, written.error))


def translate_failure(path, failure):
    """Translate a `StoreFailure` of a write to a failure of a value."""
    if isinstance(failure, StoreConflict | ObjectMissing):
        return PlatformConflict(path)
    return PlatformUnavailable(repr(failure))
