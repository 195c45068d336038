"""The platform's conditional updates in memory, for tests without processes."""

import asyncio

from expression import Error, Ok

from sapphirerock.connection.errors import PlatformConflict, PlatformUnavailable
from sapphirerock.connection.versionedvalues import StoredValue
from sapphirerock.process.orders.bucket import decode_bucket

VALUE_LIMIT_BYTES = 1 << 20


class MemoryPlatform:
    """Conditional updates in memory, with faults drawn from a schedule.

    Parameters
    ----------
    faults : iterable of str
        Fault of each call in turn; "" for none, for ever after the last.
    """

    def __init__(self, faults=()):
        self.objects = {}
        self.version = 0
        self.writes = 0
        self._faults = iter(faults)

    async def get(self, path):
        """Read an object, or its version before where the read is stale."""
        await asyncio.sleep(0)
        fault = next(self._faults, "")
        if fault == "refuse":
            return Error(PlatformUnavailable("refused"))
        versions = self.objects.get(path, [StoredValue(0, b"")])
        if fault == "stale" and len(versions) > 1:
            return Ok(versions[-2])
        return Ok(versions[-1])

    async def put(self, path, value, version):
        """Write an object that has a version."""
        await asyncio.sleep(0)
        fault = next(self._faults, "")
        if fault == "refuse":
            return Error(PlatformUnavailable("refused"))
        assert len(value) <= VALUE_LIMIT_BYTES, "a value is too large"
        versions = self.objects.setdefault(path, [StoredValue(0, b"")])
        if versions[-1].version != version:
            return Error(PlatformConflict(path))
        self.version += 1
        self.writes += 1
        versions.append(StoredValue(self.version, value))
        if fault == "lose":
            return Error(PlatformUnavailable("answer lost"))
        return Ok(self.version)

    def collect_entries(self):
        """Return the entries of all buckets that are in use."""
        entries = {}
        for path, versions in self.objects.items():
            bucket = decode_bucket(versions[-1].value)
            parent = self.objects.get(path[:-1])
            if parent and not decode_bucket(parent[-1].value).is_split:
                continue
            if not bucket.is_split:
                entries.update(bucket.entries)
        return entries
