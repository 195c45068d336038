"""Blocked requests in the store, for the case that all hosts end.

The store is read once, when a host starts. While hosts live, they exchange their crash
logs; see `sapphirerock.process.peers.crashlogs`.
"""

import asyncio
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from functools import partial

from loguru import logger
from mode import Service

from sapphirerock.connection.storeobjects import StoreConflict
from sapphirerock.decisions.quarantine import EVIDENCE_TTL_S
from sapphirerock.platform.names import BLOCKED_REQUESTS_KIND
from sapphirerock.process.storeretry import retry_store_call

STORE_FAILURE = "store call for blocked requests failed"
BLOCKED_AT = "blocked_at"


class BlockedRequests(Service):
    """Writes the requests that this host blocked, and loads those in the store.

    Parameters
    ----------
    crash_log : CrashLog
        Receives the requests in the store.
    store : StoreClient
        The store.
    clock : Clock
        Source of time. Hosts compare their wall clocks to within seconds.
    """

    def __init__(self, crash_log, store, clock, **kwargs):
        super().__init__(**kwargs)
        self._crash_log = crash_log
        self._store = store
        self._clock = clock
        self._pending = asyncio.Queue()
        self._recorded = {}
        store.on_restore.append(self._record_again)

    def record(self, fingerprint):
        """Write a request that this host has just blocked."""
        self._drop_expired()
        self._recorded[fingerprint] = self._clock.now()
        self._pending.put_nowait(fingerprint)

    def _record_again(self):
        """Write all requests again, since the store may have lost them."""
        self._drop_expired()
        for fingerprint in self._recorded:
            self._pending.put_nowait(fingerprint)

    def _drop_expired(self):
        oldest = self._clock.now() - timedelta(seconds=EVIDENCE_TTL_S)
        self._recorded = {
            fingerprint: blocked_at
            for fingerprint, blocked_at in self._recorded.items()
            if blocked_at > oldest
        }

    @Service.task
    async def _write_pending(self):
        while not self.should_stop:
            fingerprint = await self._pending.get()
            blocked_at = self._recorded.get(fingerprint)
            if blocked_at is None:
                continue
            spec = {BLOCKED_AT: blocked_at.isoformat()}
            await self._retry("write", partial(self._put, fingerprint.hex(), spec))

    async def _put(self, name, spec):
        created = await self._store.create(BLOCKED_REQUESTS_KIND, name, spec)
        if created.is_error() and isinstance(created.error, StoreConflict):
            current = created.error.current
            if current is None:
                return created
            return await self._store.replace(
                BLOCKED_REQUESTS_KIND, name, spec, current.revision
            )
        return created

    @Service.task
    async def _load(self):
        listed = await self._retry(
            "list", partial(self._store.list_all, BLOCKED_REQUESTS_KIND)
        )
        loaded = 0
        for item in listed.objects:
            block = decode_block(item, self._clock.now())
            if block is None or block.age_s >= EVIDENCE_TTL_S:
                await self._delete(item)
                continue
            at_s = self._clock.monotonic() - max(0.0, block.age_s)
            loaded += self._crash_log.add_blocked(block.fingerprint, at_s)
        logger.bind(loaded=loaded, listed=len(listed.objects)).info(
            "blocked requests loaded"
        )

    async def _delete(self, item):
        """Delete an expired or malformed object; the next host to start tries again."""
        deleted = await self._store.delete(
            BLOCKED_REQUESTS_KIND, item.name, item.revision
        )
        if deleted.is_error():
            logger.bind(entry=item.name, cause=repr(deleted.error)).info(
                "expired blocked request not deleted"
            )

    async def _retry(self, operation, call):
        return await retry_store_call(
            call, self._clock, STORE_FAILURE, operation=operation
        )


@dataclass(slots=True, frozen=True)
class StoredBlock:
    """A blocked request, and the time since it was blocked in seconds."""

    fingerprint: bytes
    age_s: float


def decode_block(item, now):
    """Decode a stored blocked request; return None if it is malformed.

    Parameters
    ----------
    item : StoredObject
        The object in the store.
    now : datetime
        The current time in UTC.
    """
    try:
        blocked_at = datetime.fromisoformat(item.spec[BLOCKED_AT])
        age_s = (now - blocked_at.astimezone(UTC)).total_seconds()
        return StoredBlock(bytes.fromhex(item.name), age_s)
    except (KeyError, TypeError, ValueError, OverflowError):
        return None
