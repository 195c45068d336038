"""Claims of non-idempotent calls, kept in buckets in the platform.

A call may be sent once, by the host whose claim is stored in the platform. Keys
hash to buckets. Each bucket is one object, so one conditional update writes the
claims of many calls. The bucket's owner collects these claims. Ownership only avoids
conflicts: the conditional update decides, whichever host writes.
"""

import asyncio
import random
from dataclasses import astuple, replace

from expression import Error, Ok

from sapphirerock.connection.errors import PlatformConflict, PlatformUnavailable
from sapphirerock.connection.messages import ClaimReply, ClaimRequest, Refusal
from sapphirerock.decisions.rendezvous import pick_candidate
from sapphirerock.process.orders.bucket import (
    CLAIMED,
    Bucket,
    LedgerEntry,
    apply_entry,
    choose_child,
    decode_bucket,
    format_bits,
    prune_entries,
)
from sapphirerock.process.tasks import BackgroundTasks

# Leading bits of an entry's key that name its bucket before any split: each service
# starts with 64 buckets.
BUCKET_BITS = 6
SPLIT_BYTES = 128_000
ENTRY_RETENTION_S = 86_400
OWNER_TIMEOUT_S = 1.0
MAX_COMMIT_ATTEMPTS = 6
MAX_CONFLICT_PAUSE_S = 0.02
MAX_STORED_BODY_BYTES = 2048
MAX_BATCH_ENTRIES = 128


class PendingEntry:
    """An entry that waits for the next write of its bucket.

    Its future gets the result of `BucketCommitter.commit`.
    """

    __slots__ = ("entry", "future")

    def __init__(self, entry):
        self.entry = entry
        self.future = asyncio.get_running_loop().create_future()


class BucketCommitter:
    """Writes one bucket. Entries that arrive during a write go into the next one.

    Parameters
    ----------
    ledger : Ledger
        Provides the platform and the clock.
    path : str
        Path of the bucket's object.
    """

    __slots__ = ("_ledger", "_path", "_pending", "_is_running", "_version", "_bucket")

    def __init__(self, ledger, path):
        self._ledger = ledger
        self._path = path
        self._pending = []
        self._is_running = False
        self._version = None
        self._bucket = None

    async def commit(self, entry):
        """Write an entry with the next batch.

        Returns
        -------
        expression.Result of LedgerEntry or None or PlatformUnavailable
            The key's entry after the write.
        """
        pending = PendingEntry(entry)
        self._pending.append(pending)
        if not self._is_running:
            self._is_running = True
            self._ledger.tasks.spawn(self._write_batches())
        return await asyncio.shield(pending.future)

    async def _write_batches(self):
        try:
            while self._pending:
                batch = self._pending[:MAX_BATCH_ENTRIES]
                del self._pending[:MAX_BATCH_ENTRIES]
                result = await self._commit_batch(batch)
                for pending in batch:
                    pending.future.set_result(
                        result.map(
                            lambda entries, key=pending.entry.key: entries.get(key)
                        )
                    )
        finally:
            self._is_running = False

    async def _commit_batch(self, batch):
        """Commit a batch and return the entries after it, or the failure."""
        failure = PlatformUnavailable("too many conflicts")
        for _ in range(MAX_COMMIT_ATTEMPTS):
            read = await self._read_bucket(batch)
            if read.is_error():
                return read
            if self._bucket.is_split:
                return await self._write_children(batch)
            entries = self._merge_entries(batch)
            if entries == self._bucket.entries:
                return Ok(entries)
            bucket = replace(self._bucket, entries=entries)
            value = bucket.encode()
            if len(value) > self._ledger.split_bytes:
                await self._split()
                continue
            written = await self._ledger.platform.put(self._path, value, self._version)
            if written.is_ok():
                self._version, self._bucket = written.ok, bucket
                return Ok(entries)
            # After a lost answer the bucket is read again. If the write took
            # effect, it holds the entries already and nothing is left to write.
            self._version = None
            failure = written.error
            if isinstance(failure, PlatformConflict):
                pause_s = MAX_CONFLICT_PAUSE_S * self._ledger.random.random()
                await self._ledger.clock.sleep(pause_s)
        if isinstance(failure, PlatformConflict):
            failure = PlatformUnavailable("too many conflicts")
        return Error(failure)

    async def _read_bucket(self, batch):
        """Read the bucket, unless the cached one suffices for a batch."""
        if self._version is not None and not self._lacks_claim(batch):
            return Ok(None)
        read = await self._ledger.platform.get(self._path)
        if read.is_ok():
            self._version = read.ok.version
            self._bucket = decode_bucket(read.ok.value)
        return read

    def _lacks_claim(self, batch):
        """Return whether a batch has an outcome whose claim is not in the cache.

        Another host has written that claim.
        """
        entries = self._bucket.entries
        return not self._bucket.is_split and any(
            pending.entry.state != CLAIMED and pending.entry.key not in entries
            for pending in batch
        )

    def _merge_entries(self, batch):
        entries = dict(self._bucket.entries)
        for pending in batch:
            apply_entry(entries, pending.entry)
        if entries != self._bucket.entries:
            oldest_s = self._ledger.clock.now().timestamp() - ENTRY_RETENTION_S
            entries = prune_entries(entries, oldest_s)
        return entries

    async def _write_children(self, batch):
        """Commit a batch to the buckets that this one was split into."""
        entries = {}
        for pending in batch:
            path = choose_child(self._path, pending.entry.key)
            result = await self._ledger.find_committer(path).commit(pending.entry)
            if result.is_error():
                return result
            if result.ok is not None:
                entries[pending.entry.key] = result.ok
        return Ok(entries)

    async def _split(self):
        """Move the entries to two buckets whose paths have one more bit.

        The children are written first. The conditional update that marks this
        bucket as split fails if another write came in between. A child made from an
        older version of this bucket is replaced. A newer child is kept.
        """
        for bit in "01":
            path = self._path + bit
            entries = {
                key: entry
                for key, entry in self._bucket.entries.items()
                if choose_child(self._path, key) == path
            }
            child = Bucket(entries, parent_version=self._version)
            read = await self._ledger.platform.get(path)
            if read.is_error():
                return
            if read.ok.version:
                existing = decode_bucket(read.ok.value)
                if existing.parent_version >= self._version:
                    continue
            written = await self._ledger.platform.put(
                path, child.encode(), read.ok.version
            )
            if written.is_error():
                self._version = None
                return
        marked = Bucket({}, is_split=True, parent_version=self._bucket.parent_version)
        await self._ledger.platform.put(self._path, marked.encode(), self._version)
        self._version = None


class Ledger:
    """Claims and outcomes of all non-idempotent calls.

    Parameters
    ----------
    platform : VersionedValues
        Stores the buckets.
    peers : PeerTable
        Connections to the owners of buckets; None without peers.
    clock : Clock
        Source of time.
    seed : int or None
        Seed of the random pauses after conflicts.
    split_bytes : int
        Size above which a bucket is split.
    """

    __slots__ = (
        "platform",
        "clock",
        "random",
        "split_bytes",
        "tasks",
        "_peers",
        "_committers",
    )

    def __init__(self, platform, peers, clock, seed=None, split_bytes=SPLIT_BYTES):
        self.platform = platform
        self.split_bytes = split_bytes
        self.clock = clock
        self.random = random.Random(seed)
        self._peers = peers
        self._committers = {}
        self.tasks = BackgroundTasks()
        if peers is not None:
            peers.register_handler(ClaimRequest, self._answer_claim)

    def find_committer(self, path):
        """Return the committer of a bucket; make it on first use."""
        found = self._committers.get(path)
        if found is None:
            found = self._committers[path] = BucketCommitter(self, path)
        return found

    async def submit(self, service, entry):
        """Commit an entry through the bucket's owner, or directly if it doesn't answer.

        Returns
        -------
        expression.Result of LedgerEntry or None or ConnectionFailure
            The key's entry in the platform.
        """
        path = find_bucket_path(service, entry.key)
        owner = self._find_owner(path)
        if owner is not None:
            bucket = format_bits(entry.key)[:BUCKET_BITS]
            request = ClaimRequest(service, int(bucket, 2), list(astuple(entry)))
            answer = await self._peers.ask(owner, request, OWNER_TIMEOUT_S)
            if answer.is_ok():
                fields = answer.ok.entry
                return Ok(LedgerEntry(*fields) if fields else None)
        return await self.find_committer(path).commit(entry)

    def _find_owner(self, path):
        """Return the host that collects a bucket's claims, None for this host."""
        if self._peers is None:
            return None
        own_address = self._peers.hosts.own_address
        hosts = [own_address.host]
        hosts += [address.host for address in self._peers.hosts.list_live()]
        owner = pick_candidate(hosts, path)
        return None if owner == own_address.host else owner

    async def _answer_claim(self, stream, message):
        bucket = f"{message.bucket:0{BUCKET_BITS}b}"
        path = f"claims/{message.service}/{bucket}"
        entry = LedgerEntry(*message.entry)
        result = await self.find_committer(path).commit(entry)
        if result.is_error():
            return Refusal(repr(result.error))
        return ClaimReply(list(astuple(result.ok)) if result.ok else [])


def find_bucket_path(service, key):
    """Return the path of the bucket that a key of a service has before any split."""
    return f"claims/{service}/{format_bits(key)[:BUCKET_BITS]}"
