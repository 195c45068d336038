"""Registration of entry hosts in the store, and discovery through seeds."""

import asyncio
from ipaddress import IPv4Address

from expression import Error
from loguru import logger
from mode import Service

from sapphirerock.connection.storeobjects import ObjectMissing, StoreConflict
from sapphirerock.decisions.rendezvous import rank_candidates
from sapphirerock.process.replicas.replica import ReplicaChange
from sapphirerock.process.settings.hostsettings import HostAddress

REGISTRATION_CHECK_INTERVAL_S = 1.0
# A watch of the registrations may wait this long: hosts also find each other through
# peers, and nothing waits for the list in the store.
MEMBERSHIP_WATCH_TIMEOUT_S = 5.0
# Registrations of hosts that start together are sent on together.
MEMBERSHIP_BATCH_S = 0.2
# A host that starts writes its entry after this time, also if it has not yet got the
# entries of others, among which may be its own of an earlier process.
FIRST_WRITE_DELAY_S = 1.0
FIRST_WRITE_POLL_S = 0.05
# A working store answers within this time; a host that shuts down waits no longer.
DEREGISTER_TIMEOUT_S = 0.5
SEED_DIAL_INTERVAL_S = 1.0
# Seeds may be starting, too. A connection that is refused costs little.
FIRST_SEED_DIAL_INTERVAL_S = 0.2
MAX_PORT = 65_535
# View of a heartbeat and field of an entry by which a host tells its capacity class.
CAPACITY_VIEW = "host-capacity"
CAPACITY_FIELD = "capacity_class"


class Membership(Service):
    """Registers this host and applies the registrations of others.

    Parameters
    ----------
    store : StoreClient
        Store that holds the registrations.
    replica : Replica
        This host's replica of the registrations.
    peers : PeerTable
        Streams to other hosts.
    seeds : tuple of Endpoint
        Addresses where other hosts may listen, for use while the store is unavailable.
    incarnation : int
        Number of this process; a later process on the same host has a higher one.
    clock : Clock
        Source of time.
    """

    def __init__(self, store, replica, peers, seeds, incarnation, clock, **kwargs):
        super().__init__(**kwargs)
        self._store = store
        self._replica = replica
        self._peers = peers
        self.seeds = seeds
        self._incarnation = incarnation
        self._clock = clock
        self._must_write = True
        replica.subscribe(self._apply_changes)
        peers.view_sources.append(self._describe_capacity)
        peers.on_heartbeat.append(self._note_capacity)
        store.on_restore.append(self._request_write)

    @property
    def _own_address(self):
        return self._peers.hosts.own_address

    def _make_spec(self):
        own_address, own_class = self._own_address, self._peers.hosts.own_class
        capacity = {} if own_class is None else {CAPACITY_FIELD: own_class}
        return {
            "availability_zone": own_address.availability_zone,
            "region": own_address.region,
            "address": own_address.address,
            "caller_port": own_address.caller_port,
            "peer_port": own_address.peer_port,
            "incarnation": self._incarnation,
            **capacity,
        }

    def _describe_capacity(self):
        own_class = self._peers.hosts.own_class
        return [] if own_class is None else [[CAPACITY_VIEW, own_class, 0, 0, ""]]

    def _note_capacity(self, stream, heartbeat):
        for kind, capacity_class, *_ in heartbeat.views:
            if kind == CAPACITY_VIEW:
                self._peers.hosts.note_capacity(stream.host, capacity_class)

    def _apply_changes(self, changes):
        hosts = self._peers.hosts
        for change in changes:
            if change.name == self._own_address.host:
                continue
            if change.is_deletion:
                hosts.remove(change.name)
                continue
            try:
                hosts.update_from_registration(
                    decode_host(change.name, change.spec),
                    decode_capacity_class(change.spec),
                )
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                logger.bind(entry=change.name, cause=repr(error)).warning(
                    "invalid host registration ignored"
                )

    @Service.task
    async def _register(self):
        """Write this host's entry, and again when it may be gone or differs.

        A failed write is tried again after `REGISTRATION_CHECK_INTERVAL_S`.
        """
        started_s = self._clock.monotonic()
        while not self._replica.horizon and not self.should_stop:
            if self._clock.monotonic() - started_s > FIRST_WRITE_DELAY_S:
                break
            await self._clock.sleep(FIRST_WRITE_POLL_S)
        while not self.should_stop:
            registered = self._replica.get(self._own_address.host)
            differs = registered is not None and registered.spec != self._make_spec()
            if self._must_write or differs:
                self._must_write = False
                written = await self._write(registered)
                if written.is_ok():
                    self._apply_written(written.ok)
                else:
                    self._must_write = True
            await self._clock.sleep(REGISTRATION_CHECK_INTERVAL_S)

    def _apply_written(self, entry):
        """Note this host's entry before the store's watchers report it."""
        change = ReplicaChange(entry.name, entry.revision, entry.spec)
        self._replica.apply(self._replica.horizon, self._replica.horizon, [change])

    def _request_write(self):
        """Write the entry again, since the store may have lost it."""
        self._must_write = True

    async def _write(self, registered):
        name, spec = self._own_address.host, self._make_spec()
        kind = self._replica.kind
        if registered is not None:
            return await self._store.replace(kind, name, spec, registered.revision)
        created = await self._store.create(kind, name, spec)
        if created.is_error() and isinstance(created.error, StoreConflict):
            return await self._replace_stale_entry(kind, name, spec, created.error)
        return created

    async def _replace_stale_entry(self, kind, name, spec, conflict):
        """Replace the entry of an earlier process on this host."""
        if conflict.current is not None:
            revision = conflict.current.revision
            return await self._store.replace(kind, name, spec, revision)
        read = await self._store.read(kind, name)
        if read.is_error():
            return Error(read.error)
        return await self._store.replace(kind, name, spec, read.ok.revision)

    async def deregister(self):
        """Delete this host's entry; give up after `DEREGISTER_TIMEOUT_S`."""
        try:
            async with asyncio.timeout(DEREGISTER_TIMEOUT_S):
                read = await self._store.read(
                    self._replica.kind, self._own_address.host
                )
                if read.is_ok() and read.ok.spec == self._make_spec():
                    await self._store.delete(
                        self._replica.kind, self._own_address.host, read.ok.revision
                    )
                elif read.is_error() and not isinstance(read.error, ObjectMissing):
                    logger.bind(cause=repr(read.error)).info(
                        "host deregistration failed"
                    )
        except TimeoutError:
            logger.bind(cause="store too slow").info("host deregistration failed")

    @Service.task
    async def _connect_to_seeds(self):
        """Connect to seeds, one after the other, until other hosts are known.

        Hosts begin with different seeds, so that all hosts of a fleet that starts don't
        connect to the same one.
        """
        while not self.should_stop:
            if not self._peers.streams or not self._replica.horizon:
                await self._dial_next_seed()
            await self._clock.sleep(
                SEED_DIAL_INTERVAL_S
                if self._peers.streams
                else FIRST_SEED_DIAL_INTERVAL_S
            )

    async def _dial_next_seed(self):
        """Dial the seeds that are not connected until one answers."""
        connected = {
            stream.hello.address for stream in self._peers.streams.values()
        } | {self._own_address.address}
        names = {str(seed): seed for seed in self.seeds}
        for name in rank_candidates(names, self._own_address.host):
            if names[name].address in connected:
                continue
            dialled = await self._peers.dial_seed(names[name])
            if dialled.is_ok():
                return


def decode_host(name, spec):
    """Return the address in a host's entry.

    Raises
    ------
    KeyError, TypeError, ValueError, OverflowError
        The entry has a missing or malformed field.
    """
    texts = (spec["availability_zone"], spec["region"], spec["address"])
    ports = (int(spec["caller_port"]), int(spec["peer_port"]))
    if not all(isinstance(text, str) for text in texts):
        raise TypeError("zone, region and address must be strings")
    if not all(0 < port <= MAX_PORT for port in ports):
        raise ValueError("a port is out of range")
    IPv4Address(spec["address"])
    return HostAddress(name, *texts, *ports)


def decode_capacity_class(spec):
    """Return the capacity class in a host's entry, or None if there is none.

    Raises
    ------
    TypeError, ValueError
        The class is no number.
    """
    capacity_class = spec.get(CAPACITY_FIELD)
    return None if capacity_class is None else int(capacity_class)
