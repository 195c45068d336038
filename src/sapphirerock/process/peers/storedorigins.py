"""Origins of streams in the store, for the case that all hosts end at once.

While the engines of a service have, or lately had, several software versions, one live
host writes the records of all hosts to the store, and each host loads them when it
starts.
"""

import asyncio
import base64
from functools import partial

from expression import Ok
from loguru import logger
from mode import Service

from sapphirerock.connection.messages import StreamOriginCopies
from sapphirerock.connection.storeobjects import ObjectMissing, StoreConflict
from sapphirerock.platform.names import STREAM_ORIGINS_KIND
from sapphirerock.process.peers.owners import find_owner
from sapphirerock.process.peers.streamorigins import list_records
from sapphirerock.process.storeretry import retry_store_call

# New records are written at this interval, and less often with many records, since
# each write carries all of them.
MIN_WRITE_INTERVAL_S = 0.1
MAX_WRITE_INTERVAL_S = 0.5
WRITE_INTERVAL_PER_RECORD_S = 1e-5
# Without new records, whether this host is to write is looked up at this interval.
OWNER_CHECK_INTERVAL_S = 0.3
# Records of the oldest streams are left out beyond this, which is 700 KB of the 1 MB
# that an object may have.
MAX_STORED_RECORDS = 50_000
# Longer than the timeout of any caller; then nothing in an object is of use.
OBJECT_TTL_S = 120.0
STORE_FAILURE = "store call for stream origins failed"
WRITTEN_AT = "written_at"
GROUPS = "groups"
# Engines beside the groups, which hosts of earlier builds read without them.
ENGINES = "engines"
ENGINE_NUMBERS = "engine_numbers"
COPIES = "copies"
COPIED_ATTEMPTS = "copied_attempts"


class StoredOrigins(Service):
    """Keeps records of streams in the store.

    Parameters
    ----------
    origins : StreamOriginTable
        Records of the streams of all hosts.
    engines : EngineTable
        Knows the software versions of services.
    peers : PeerTable
        Knows the live hosts, one of which writes.
    store : StoreClient
        The store.
    clock : Clock
        Source of time.
    """

    def __init__(self, origins, engines, peers, store, clock, **kwargs):
        super().__init__(**kwargs)
        self._origins = origins
        self._engines = engines
        self._peers = peers
        self._store = store
        self._clock = clock
        self._loaded = asyncio.Event()
        self._revision = None
        self._written_keys = frozenset()
        # Number of records at the last check, and time of it.
        self._checked_count = -1
        self._checked_at_s = 0.0

    async def wait_until_loaded(self, timeout_s):
        """Wait until the records in the store are known, at most for a time."""
        if self._loaded.is_set():
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._loaded.wait()
        except TimeoutError:
            logger.bind(timeout_s=timeout_s).info("stream origins not loaded yet")

    @Service.task
    async def _keep(self):
        await self.load()
        while not self.should_stop:
            await self._clock.sleep(choose_write_interval_s(len(self._written_keys)))
            await self.write_new()

    async def load(self):
        """Load the records in the store, and delete objects that are of no use."""
        page = await retry_store_call(
            partial(self._store.list_all, STREAM_ORIGINS_KIND),
            self._clock,
            STORE_FAILURE,
            operation="list",
        )
        loaded = 0
        for item in page.objects:
            message = decode_records(item.spec)
            if message is None:
                logger.bind(entry=item.name).warning("invalid stream origins ignored")
                continue
            loaded += self._origins.load_groups(message.groups, message.engines)
            if item.name == self._own_host:
                self._revision = item.revision
        self._loaded.set()
        logger.bind(records=loaded, objects=len(page.objects)).info(
            "stream origins loaded"
        )
        await self._delete_old(page.objects)

    async def _delete_old(self, objects):
        now_s = self._clock.now().timestamp()
        for item in objects:
            written_at = item.spec.get(WRITTEN_AT) if isinstance(item.spec, dict) else 0
            age_s = now_s - written_at if isinstance(written_at, int | float) else now_s
            if item.name != self._own_host and age_s > OBJECT_TTL_S:
                deleted = await self._store.delete(
                    STREAM_ORIGINS_KIND, item.name, item.revision
                )
                if deleted.is_error():
                    logger.bind(operation="delete", cause=repr(deleted.error)).info(
                        STORE_FAILURE
                    )

    @property
    def _own_host(self):
        return self._peers.hosts.own_address.host

    async def write_new(self):
        """Write the records if there are new ones of a service with several versions.

        A failed write is repeated with the next one.
        """
        now_s = self._clock.monotonic()
        has_new = self._checked_count != self._origins.stored_count
        if not has_new and now_s - self._checked_at_s < OWNER_CHECK_INTERVAL_S:
            return
        self._checked_count = self._origins.stored_count
        self._checked_at_s = now_s
        if find_owner(self._peers, STREAM_ORIGINS_KIND) != self._own_host:
            return
        keys = self._origins.list_keys(self._has_several_versions, MAX_STORED_RECORDS)
        if self._written_keys.issuperset(keys):
            return
        spec = encode_records(self._origins.export(keys), self._clock.now().timestamp())
        written = await self._write(spec)
        if written.is_error():
            logger.bind(operation="write", cause=repr(written.error)).info(
                STORE_FAILURE
            )
            self._checked_count = -1
            return
        self._written_keys = frozenset(keys)

    def _has_several_versions(self, origin):
        return len(self._engines.list_versions(origin.service)) > 1

    async def _write(self, spec):
        """Create or replace this host's object; return the Result of the call."""
        kind, name = STREAM_ORIGINS_KIND, self._own_host
        if self._revision is None:
            written = await self._store.create(kind, name, spec)
        else:
            written = await self._store.replace(kind, name, spec, self._revision)
        if written.is_ok():
            self._revision = written.ok.revision
            return Ok(None)
        failure = written.error
        if isinstance(failure, StoreConflict) and failure.current is not None:
            # An earlier write of this host took effect without an answer.
            self._revision = failure.current.revision
        elif isinstance(failure, StoreConflict | ObjectMissing):
            self._revision = None
        return written


def choose_write_interval_s(records):
    """Return the time between two writes, which carry a number of records each."""
    interval_s = MIN_WRITE_INTERVAL_S + WRITE_INTERVAL_PER_RECORD_S * records
    return min(MAX_WRITE_INTERVAL_S, interval_s)


def encode_records(message, written_at):
    """Return the content of an object with the records of a message."""
    encoded = [
        [service, version, ttl_s, base64.b64encode(keys).decode()]
        for service, version, ttl_s, keys, *_ in message.groups
    ]
    numbers, copies = (
        [base64.b64encode(group[column]).decode() for group in message.groups]
        for column in (-3, -2)
    )
    return {
        WRITTEN_AT: written_at,
        GROUPS: encoded,
        ENGINES: message.engines,
        ENGINE_NUMBERS: numbers,
        COPIES: copies,
        COPIED_ATTEMPTS: [group[-1] for group in message.groups],
    }


def decode_records(spec):
    """Return the records in an object as a message; None if it is malformed."""
    try:
        groups = [
            [str(service), str(version), float(ttl_s), base64.b64decode(keys)]
            for service, version, ttl_s, keys in spec[GROUPS]
        ]
        if ENGINES not in spec:
            return StreamOriginCopies(groups, [])
        for group, numbers in zip(groups, spec[ENGINE_NUMBERS], strict=True):
            group.append(base64.b64decode(numbers))
        if COPIES in spec:
            columns = zip(groups, spec[COPIES], spec[COPIED_ATTEMPTS], strict=True)
            for group, copies, attempt_ids in columns:
                group += [base64.b64decode(copies), [str(item) for item in attempt_ids]]
        message = StreamOriginCopies(groups, [str(name) for name in spec[ENGINES]])
        # Numbers may be missing or exceed those of the engines.
        list(list_records(message.groups, message.engines))
        return message
    except (
        KeyError,
        IndexError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ):
        return None
