"""Claims of non-idempotent calls, kept in buckets in the platform.

A call may be sent once, by the host whose claim stands in the platform. Keys
hash to buckets; each bucket is one object, and claims of many calls go into one
conditional update. The bucket's owner gathers them. Ownership only saves
conflicts: whoever writes, a conditional update decides.
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

BUCKET_BITS = 6
SPLIT_BYTES = 128_000
RETENTION_S = 86_400
OWNER_BOUND_S = 1.0
COMMIT_TRIES = 6
CONFLICT_PAUSE_S = 0.02
STORED_BODY_BYTES = 2048
BATCH_ENTRIES = 128


class PendingEntry:
    """An entry that waits for the next write of its bucket."""

    __slots__ = ("entry", "done")

    def __init__(self, entry):
        self.entry = entry
        self.done = asyncio.get_running_loop().create_future()


class BucketCommitter:
    """Writes one bucket; what arrives during a write goes with the next.

    Parameters
    ----------
    ledger : Ledger
        Where the platform and the clock are.
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
            The entry that stands for the key afterwards.
        """
        pending = PendingEntry(entry)
        self._pending.append(pending)
        if not self._is_running:
            self._is_running = True
            self._ledger.tasks.spawn(self._run())
        return await asyncio.shield(pending.done)

    async def _run(self):
        try:
            while self._pending:
                batch = self._pending[:BATCH_ENTRIES]
                del self._pending[:BATCH_ENTRIES]
                result = await self._write(batch)
                for pending in batch:
                    pending.done.set_result(
                        result.map(lambda kept, key=pending.entry.key: kept.get(key))
                    )
        finally:
            self._is_running = False

    async def _write(self, batch):
        """Commit a batch; return the entries that stand, or the failure."""
        failure = PlatformUnavailable("too many conflicts")
        for _ in range(COMMIT_TRIES):
            read = await self._load(batch)
            if read.is_error():
                return read
            if self._bucket.is_split:
                return await self._write_children(batch)
            entries = self._merge(batch)
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
            # After a lost answer the bucket is read again: if the write took
            # effect, the entries stand there and nothing is left to write.
            self._version = None
            failure = written.error
            if isinstance(failure, PlatformConflict):
                pause_s = CONFLICT_PAUSE_S * self._ledger.random.random()
                await self._ledger.clock.sleep(pause_s)
        if isinstance(failure, PlatformConflict):
            failure = PlatformUnavailable("too many conflicts")
        return Error(failure)

    async def _load(self, batch):
        """Read the bucket, unless what is known of it will do."""
        if self._version is not None and not self._lacks_claim(batch):
            return Ok(None)
        read = await self._ledger.platform.get(self._path)
        if read.is_ok():
            self._version = read.ok.version
            self._bucket = decode_bucket(read.ok.value)
        return read

    def _lacks_claim(self, batch):
        """Return whether an outcome has come whose claim another host wrote."""
        entries = self._bucket.entries
        return not self._bucket.is_split and any(
            pending.entry.state != CLAIMED and pending.entry.key not in entries
            for pending in batch
        )

    def _merge(self, batch):
        entries = dict(self._bucket.entries)
        for pending in batch:
            apply_entry(entries, pending.entry)
        if entries != self._bucket.entries:
            limit_s = self._ledger.clock.now().timestamp() - RETENTION_S
            entries = prune_entries(entries, limit_s)
        return entries

    async def _write_children(self, batch):
        kept = {}
        for pending in batch:
            path = choose_child(self._path, pending.entry.key)
            result = await self._ledger.find_committer(path).commit(pending.entry)
            if result.is_error():
                return result
            if result.ok is not None:
                kept[pending.entry.key] = result.ok
        return Ok(kept)

    async def _split(self):
        """Move the entries to two buckets with one more bit.

        The children are written first; the conditional update that marks this
        bucket as split fails if a claim came in between. A child made from an
        older version of this bucket is replaced, a newer one never.
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
                standing = decode_bucket(read.ok.value)
                if standing.parent_version >= self._version:
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
        Where the buckets are.
    peers : PeerTable
        Streams to the owners of buckets.
    clock : Clock
        Source of time.
    seed : int or None
        Seed of the pauses after conflicts.
    split_bytes : int
        Size of a bucket that makes it split.
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
        """Return the committer of a bucket."""
        found = self._committers.get(path)
        if found is None:
            found = self._committers[path] = BucketCommitter(self, path)
        return found

    async def submit(self, service, entry):
        """Have an entry committed, by the bucket's owner where it answers.

        Returns
        -------
        expression.Result of LedgerEntry or None or ConnectionFailure
            The entry that stands for the key in the platform.
        """
        bucket = format_bits(entry.key)[:BUCKET_BITS]
        path = f"claims/{service}/{bucket}"
        owner = self._find_owner(path)
        if owner is not None:
            request = ClaimRequest(service, int(bucket, 2), list(astuple(entry)))
            answer = await self._peers.ask(owner, request, OWNER_BOUND_S)
            if answer.is_ok():
                fields = answer.ok.entry
                return Ok(LedgerEntry(*fields) if fields else None)
        return await self.find_committer(path).commit(entry)

    def _find_owner(self, path):
        """Return the host that gathers a bucket's claims, None for this one."""
        if self._peers is None:
            return None
        own = self._peers.hosts.own
        names = [own.host]
        names += [address.host for address in self._peers.hosts.list_live()]
        owner = pick_candidate(names, path)
        return None if owner == own.host else owner

    async def _answer_claim(self, stream, message):
        bucket = f"{message.bucket:0{BUCKET_BITS}b}"
        path = f"claims/{message.service}/{bucket}"
        entry = LedgerEntry(*message.entry)
        result = await self.find_committer(path).commit(entry)
        if result.is_error():
            return Refusal(repr(result.error))
        return ClaimReply(list(astuple(result.ok)) if result.ok else [])
