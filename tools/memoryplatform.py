"""An in-memory platform store, for tests without processes."""

import asyncio

from expression import Error, Ok

from sapphirerock.connection.errors import PlatformConflict, PlatformUnavailable
from sapphirerock.connection.versionedvalues import StoredValue
from sapphirerock.process.orders.bucket import decode_bucket

MAX_VALUE_BYTES = 1 << 20


class MemoryPlatform:
    """An in-memory store with conditional updates and scheduled faults.

    Parameters
    ----------
    faults : iterable of str
        Fault of each successive call: "refuse" fails the call without effect,
        "stale" makes a read return the version before the latest, "lose" applies a
        write but reports its response as lost, and "" is no fault. Calls after the
        last entry have no fault.
    """

    def __init__(self, faults=()):
        self.objects = {}
        self.version = 0
        self.writes = 0
        self._faults = iter(faults)

    async def get(self, path):
        """Return the latest version of an object, or an error.

        The version of an object that was never written is 0.
        """
        await asyncio.sleep(0)
        fault = next(self._faults, "")
        if fault == "refuse":
            return Error(PlatformUnavailable("refused"))
        versions = self.objects.get(path, [StoredValue(0, b"")])
        if fault == "stale" and len(versions) > 1:
            return Ok(versions[-2])
        return Ok(versions[-1])

    async def put(self, path, value, version):
        """Write an object if `version` is its current version.

        Returns the new version, `PlatformConflict` if another version is current, or
        `PlatformUnavailable` for an injected fault.
        """
        await asyncio.sleep(0)
        fault = next(self._faults, "")
        if fault == "refuse":
            return Error(PlatformUnavailable("refused"))
        assert len(value) <= MAX_VALUE_BYTES, (
            "value exceeds the size limit of the store"
        )
        versions = self.objects.setdefault(path, [StoredValue(0, b"")])
        if versions[-1].version != version:
            return Error(PlatformConflict(path))
        self.version += 1
        self.writes += 1
        versions.append(StoredValue(self.version, value))
        if fault == "lose":
            return Error(PlatformUnavailable("response lost"))
        return Ok(self.version)

    def collect_entries(self):
        """Return all ledger entries by key.

        Entries of a split bucket are in its children. A child whose parent isn't
        split is left out: the split was prepared but not committed.
        """
        entries = {}
        for path, versions in self.objects.items():
            bucket = decode_bucket(versions[-1].value)
            parent = self.objects.get(path[:-1])
            if parent and not decode_bucket(parent[-1].value).is_split:
                continue
            if not bucket.is_split:
                entries.update(bucket.entries)
        return entries
