"""Origins of streams, known to all hosts, so that any host can go on with a stream.

The host that begins a stream records the service and the software version before it
forwards the first event, and sends the record at once to the hubs of its zone. Hubs
send the records on in batches to the hosts of their zone and to the hubs of others.
"""

import asyncio
import math
from collections import OrderedDict, defaultdict
from dataclasses import dataclass

import xxhash
from loguru import logger
from mode import Service

from sapphirerock.connection.messages import (
    StreamOriginCopies,
    StreamOriginEngines,
    StreamOrigins,
)
from sapphirerock.decisions.streamversions import KvBackup, StreamOrigin

BATCH_INTERVAL_S = 0.1
# With the streams of the largest deployments known, records live for tens of seconds.
MAX_RECORDS = 100_000
KEY_BYTES = 8
ENGINE_NUMBER_BYTES = 2
MAX_ENGINE_NUMBER = (1 << 8 * ENGINE_NUMBER_BYTES) - 1
CHANGES_BYTES = 1
MAX_CHANGES = (1 << 8 * CHANGES_BYTES) - 1
# A take-up counts as this many changes, more than the record of one run has.
TAKE_UP_CHANGES = 16
# Number of changes if a host that takes a stream up does not know its record, which
# other hosts may know.
UNKNOWN_CHANGES = 128
CONTENT_BYTES = 8
COPY_BYTES = ENGINE_NUMBER_BYTES + CHANGES_BYTES + CONTENT_BYTES
NO_BACKUP = KvBackup("", "", bytes(CONTENT_BYTES))
VIEW = "stream-origins"
# Hosts of earlier builds know records without the engine, or without the KV copy.
ENGINES_VIEW = "stream-origin-engines"
COPIES_VIEW = "stream-origin-copies"


@dataclass(slots=True, frozen=True)
class OriginRecord:
    """Origin of one stream.

    Parameters
    ----------
    origin : StreamOrigin
        Service, software version and engine.
    expires_s : float
        Monotonic time after which the caller no longer takes the stream up.
    changes : int
        How often the record has changed; the one with the most is the newest.
    """

    origin: StreamOrigin
    expires_s: float
    changes: int = 0

    def is_newer(self, known):
        """Return whether the record replaces a known one of the same stream."""
        if known is None or self.changes != known.changes:
            return known is None or self.changes > known.changes
        return self.origin != known.origin


class StreamOriginTable(Service):
    """Records of the streams of all hosts.

    Parameters
    ----------
    peers : PeerTable
        Streams to other hosts.
    clock : Clock
        Source of time.

    Attributes
    ----------
    stored_count : int
        Number of records stored so far.
    """

    def __init__(self, peers, clock, **kwargs):
        super().__init__(**kwargs)
        self._peers = peers
        self._clock = clock
        self.stored_count = 0
        self._records = OrderedDict()
        # Key of the latest record of each request with a KV copy. Its engine has the
        # prompt in its cache; the run may be another caller's.
        self._keys_by_content = {}
        # Records dropped before they expired, since the last log line.
        self._dropped = 0
        # Keys to send on at the next batch, by the host that sent them; this host's
        # own under its name.
        self._pending = defaultdict(list)
        self._has_pending = asyncio.Event()
        peers.register_handler(StreamOrigins, self._handle_origins)
        peers.register_handler(StreamOriginEngines, self._handle_origins)
        peers.register_handler(StreamOriginCopies, self._handle_origins)
        peers.announce_support(COPIES_VIEW, self._send_all)
        peers.announce_support(ENGINES_VIEW, self._send_all_without_copies)
        peers.announce_support(VIEW, self._send_all_without_engines)

    @property
    def _own_address(self):
        return self._peers.hosts.own_address

    def find(self, attempt_id):
        """Return the origin of the stream that an attempt began, or None."""
        record = self._records.get(make_key(attempt_id))
        if record is None or record.expires_s < self._clock.monotonic():
            return None
        return record.origin

    def find_prompt_engine(self, content, service, version):
        """Return an engine that has probably cached a request's prompt; may be empty.

        Parameters
        ----------
        content : bytes
            Digest of the request.
        service, version : str
            Service and software version that the engine must have.
        """
        record = self._records.get(self._keys_by_content.get(content))
        if record is None or record.expires_s < self._clock.monotonic():
            return ""
        is_usable = record.origin == StreamOrigin(service, version)
        return record.origin.engine if is_usable else ""

    def record(self, attempt_id, origin, ttl_s, resumed_attempt_id=None):
        """Record the origin of a stream that this host runs, and tell others.

        A later record of the same stream replaces an earlier one. Callers name a stream
        that they have taken up by its first attempt or by a later one.

        Parameters
        ----------
        attempt_id : str
            Attempt that brings the first event.
        origin : StreamOrigin
            Service, software version and id of its engine, and its KV copy.
        ttl_s : float
            Time until the caller's deadline, in seconds.
        resumed_attempt_id : str or None
            Attempt that began the stream, if its caller has taken it up; its record is
            replaced as well.
        """
        expires_s = self._clock.monotonic() + ttl_s
        change_counts = {make_key(attempt_id): self._count_change(make_key(attempt_id))}
        if resumed_attempt_id and resumed_attempt_id != attempt_id:
            key = make_key(resumed_attempt_id)
            change_counts[key] = self._count_take_up(key, attempt_id)
        keys = [key for key, changes in change_counts.items() if changes is not None]
        for key in keys:
            self._store(key, OriginRecord(origin, expires_s, change_counts[key]))
        message = self.export(keys)
        own_host = self._own_address.host
        hubs = [host for host in self._peers.zone_hubs if host != own_host]
        for host in hubs or list(self._peers.streams):
            self._send(self._peers.streams.get(host), message)
        if self._peers.is_hub(own_host):
            for key in keys:
                self._add_pending(own_host, key)

    def _count_change(self, key):
        """Return the number of changes of a run's record, with one more.

        Returns
        -------
        int or None
            None if the stream has been taken up: its record is that of a later run.
        """
        known = self._records.get(key)
        if known is None:
            return 0
        if known.changes >= TAKE_UP_CHANGES:
            return None
        return min(TAKE_UP_CHANGES - 1, known.changes + 1)

    def _count_take_up(self, key, attempt_id):
        """Return the number of changes of a stream's record, with those of a take-up.

        Parameters
        ----------
        key : bytes
            Key of the stream's record.
        attempt_id : str
            Attempt that takes the stream up.
        """
        known = self._records.get(key)
        if known is None:
            return UNKNOWN_CHANGES
        backup = known.origin.kv_backup
        if backup is not None and backup.attempt_id == attempt_id:
            return min(MAX_CHANGES, known.changes + 1)
        take_ups = known.changes // TAKE_UP_CHANGES + 1
        return min(MAX_CHANGES, take_ups * TAKE_UP_CHANGES)

    def _add_pending(self, host, key):
        self._pending[host].append(key)
        self._has_pending.set()

    def list_keys(self, selects, limit):
        """Return the keys of the newest records that have not expired.

        Parameters
        ----------
        selects : callable
            Takes an origin; returns whether its records are wanted.
        limit : int
            Largest number of keys.
        """
        now_s = self._clock.monotonic()
        origins = {record.origin for record in self._records.values()}
        wanted = {origin for origin in origins if selects(origin)}
        keys = [
            key
            for key, record in self._records.items()
            if record.expires_s > now_s and record.origin in wanted
        ]
        return keys[-limit:]

    def export(self, keys):
        """Return the records of some keys as a `StreamOriginCopies` message."""
        now_s = self._clock.monotonic()
        numbers = {"": 0}
        groups = defaultdict(lambda: [bytearray(), bytearray(), bytearray(), []])
        for key in keys:
            record = self._records.get(key)
            if record is None or record.expires_s <= now_s:
                continue
            origin, backup = record.origin, record.origin.kv_backup or NO_BACKUP
            ttl_s = math.ceil(record.expires_s - now_s)
            group = groups[origin.service, origin.version, ttl_s]
            group[0] += key
            group[1] += assign_number(numbers, origin.engine)
            group[2] += assign_number(numbers, backup.engine)
            group[2] += record.changes.to_bytes(CHANGES_BYTES) + backup.content
            group[3].append(backup.attempt_id)
        return StreamOriginCopies(
            [
                [*group, *(bytes(column) for column in columns), attempt_ids]
                for group, (*columns, attempt_ids) in groups.items()
            ],
            list(numbers)[1:],
        )

    def load_groups(self, groups, engines):
        """Store the records in groups without sending them on; return their number."""
        now_s = self._clock.monotonic()
        count = 0
        for key, origin, ttl_s, changes in list_records(groups, engines):
            if key not in self._records:
                self._store(key, OriginRecord(origin, now_s + ttl_s, changes))
                count += 1
        return count

    def _store(self, key, record):
        self.stored_count += 1
        if key in self._records:
            # The new record expires later than those stored since.
            self._drop(key)
        self._records[key] = record
        if record.origin.kv_backup is not None:
            self._keys_by_content[record.origin.kv_backup.content] = key
        if len(self._records) > MAX_RECORDS:
            oldest = self._drop(next(iter(self._records)))
            self._dropped += oldest.expires_s >= self._clock.monotonic()

    def _drop(self, key):
        """Remove a record and return it."""
        self._forget_backup(key)
        return self._records.pop(key)

    def _forget_backup(self, key):
        """Remove the entry of a record's KV copy from the index by content."""
        backup = self._records[key].origin.kv_backup
        if backup is not None and self._keys_by_content.get(backup.content) == key:
            del self._keys_by_content[backup.content]

    def _send(self, stream, message):
        """Send records, in the newest form that the peer knows."""
        if stream is None or not message.groups:
            return
        if COPIES_VIEW in stream.known_views:
            pass
        elif ENGINES_VIEW in stream.known_views:
            groups = [group[:-2] for group in message.groups]
            message = StreamOriginEngines(groups, message.engines)
        elif VIEW in stream.known_views:
            message = StreamOrigins([group[:-3] for group in message.groups])
        else:
            return
        self._peers.count_bytes(stream, "stream-origin", stream.send(message))

    def _send_all(self, stream):
        """Send all records to a host that has just connected."""
        self._send(stream, self.export(list(self._records)))

    def _send_all_without_copies(self, stream):
        """Send all records to a host of an earlier build that has just connected."""
        if COPIES_VIEW not in stream.known_views:
            self._send_all(stream)

    def _send_all_without_engines(self, stream):
        """Send all records to a host of the earliest build that has just connected."""
        if not {COPIES_VIEW, ENGINES_VIEW} & set(stream.known_views):
            self._send_all(stream)

    def _handle_origins(self, stream, message):
        now_s = self._clock.monotonic()
        engines = getattr(message, "engines", ())
        for key, origin, ttl_s, changes in list_records(message.groups, engines):
            record = OriginRecord(origin, now_s + ttl_s, changes)
            if record.is_newer(self._records.get(key)):
                self._store(key, record)
                self._add_pending(stream.host, key)

    @Service.task
    async def _send_batches(self):
        while not self.should_stop:
            await self._has_pending.wait()
            await self._clock.sleep(BATCH_INTERVAL_S)
            self._has_pending.clear()
            self._drop_expired()
            self.send_pending()

    def _log_dropped(self):
        """Log how many records were dropped for want of room, if any."""
        if self._dropped:
            logger.bind(records=self._dropped, limit=MAX_RECORDS).warning(
                "stream origins dropped"
            )
            self._dropped = 0

    def send_pending(self):
        """Send on the records that have arrived since the last batch, as a hub."""
        self._log_dropped()
        pending, self._pending = self._pending, defaultdict(list)
        if pending and self._peers.is_hub(self._own_address.host):
            self._forward_to_zone(pending)
            self._forward_to_hubs(pending)

    def _forward_to_zone(self, pending):
        """Send all records to the hosts of this zone, in one message for all.

        A host that sent some of them gets these back if there are others.
        """
        own_zone = self._own_address.availability_zone
        streams = [
            stream
            for stream in self._peers.streams.values()
            if stream.hello.availability_zone == own_zone
            and pending.keys() != {stream.host}
        ]
        keys = [key for host_keys in pending.values() for key in host_keys]
        self._send_to(streams, self.export(keys))

    def _forward_to_hubs(self, pending):
        """Send the records of this zone's hosts to the hubs of other zones."""
        own_zone = self._own_address.availability_zone
        keys = [
            key
            for host, host_keys in pending.items()
            if self._is_in_zone(host)
            for key in host_keys
        ]
        streams = [
            stream
            for stream in self._peers.streams.values()
            if stream.hello.availability_zone != own_zone
            and self._peers.is_hub(stream.host)
        ]
        if keys:
            self._send_to(streams, self.export(keys))

    def _is_in_zone(self, host):
        if host == self._own_address.host:
            return True
        address = self._peers.hosts.find(host)
        own_zone = self._own_address.availability_zone
        return address is not None and address.availability_zone == own_zone

    def _send_to(self, streams, message):
        """Send records on several streams, in the newest form that each peer knows."""
        if not message.groups:
            return
        newest = [item for item in streams if COPIES_VIEW in item.known_views]
        self._peers.send_to(newest, message, "stream-origin")
        for stream in streams:
            if COPIES_VIEW not in stream.known_views:
                self._send(stream, message)

    def _drop_expired(self):
        """Drop the oldest records while they have expired."""
        now_s = self._clock.monotonic()
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.expires_s >= now_s:
                return
            self._drop(key)


def assign_number(numbers, engine):
    """Return the number of an engine in a message, encoded; 0 if there are too many."""
    number = numbers.get(engine)
    if number is None:
        number = len(numbers)
        if number > MAX_ENGINE_NUMBER:
            return bytes(ENGINE_NUMBER_BYTES)
        numbers[engine] = number
    return number.to_bytes(ENGINE_NUMBER_BYTES)


def list_records(groups, engines):
    """Yield key, origin, seconds until expiry and number of changes of each record.

    Parameters
    ----------
    groups, engines : list
        As in `StreamOriginCopies`; groups may lack what concerns copies, or the
        numbers of engines as well.
    """
    names = ["", *engines]
    for service, version, ttl_s, keys, *columns in groups:
        numbers, copies, attempt_ids = [*columns, b"", b"", ()][:3]
        for index in range(len(keys) // KEY_BYTES):
            engine, backup, changes = "", None, 0
            if numbers:
                number = cut_record(numbers, index, ENGINE_NUMBER_BYTES)
                engine = names[int.from_bytes(number)]
            if copies:
                copy = cut_record(copies, index, COPY_BYTES)
                holder = names[int.from_bytes(copy[:ENGINE_NUMBER_BYTES])]
                changes = int.from_bytes(copy[ENGINE_NUMBER_BYTES:-CONTENT_BYTES])
                if holder:
                    content = copy[-CONTENT_BYTES:]
                    backup = KvBackup(holder, attempt_ids[index], content)
            key = cut_record(keys, index, KEY_BYTES)
            yield key, StreamOrigin(service, version, engine, backup), ttl_s, changes


def cut_record(column, index, size):
    """Return the part of a column that belongs to one record."""
    return column[index * size : (index + 1) * size]


def make_key(attempt_id):
    """Return the key of an attempt's record, of `KEY_BYTES`."""
    return xxhash.xxh64_digest(attempt_id.encode())


def digest_content(call):
    """Return the digest by which a request is found to be the one of a KV copy.

    Parameters
    ----------
    call : RoutedCall
        The request.
    """
    prompt = call.metadata.prompt
    digest = xxhash.xxh64(call.body)
    for part in (
        call.target,
        call.organisation,
        prompt.model,
        prompt.tokens,
        prompt.output_tokens,
        prompt.parts,
    ):
        digest.update(repr(part).encode("utf-8", "surrogateescape"))
    return digest.digest()
