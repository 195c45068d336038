"""Which entry hosts there are: registered in the store, known through peers."""

import asyncio

from expression import Error
from loguru import logger
from mode import Service

from sapphirerock.connection.storeobjects import ObjectMissing, StoreConflict
from sapphirerock.process.settings.hostsettings import HostAddress

RETRY_PAUSE_S = 1.0
# Hosts find each other through peers as well; nothing waits for the store's list.
MEMBERS_WATCH_S = 5.0
# A store that answers within a call's bound; a host that leaves does not wait more.
LEAVE_BOUND_S = 0.5
SEED_INTERVAL_S = 1.0


class Membership(Service):
    """This host's registration, and the others'.

    Parameters
    ----------
    store : StoreClient
        Where hosts register.
    replica : Replica
        Registrations as this host knows them.
    peers : PeerTable
        Streams to other hosts.
    seeds : tuple of Endpoint
        Where other hosts may listen, for when the store is away.
    incarnation : int
        Number of this process; higher for a later one on the same host.
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
        replica.subscribe(self._apply_changes)

    @property
    def _own(self):
        return self._peers.hosts.own

    def _make_spec(self):
        own = self._own
        return {
            "availability_zone": own.availability_zone,
            "region": own.region,
            "address": own.address,
            "caller_port": own.caller_port,
            "peer_port": own.peer_port,
            "incarnation": self._incarnation,
        }

    def _apply_changes(self, changes):
        hosts = self._peers.hosts
        for change in changes:
            if change.name == self._own.host:
                continue
            if change.is_deletion:
                hosts.forget(change.name)
                continue
            try:
                hosts.learn_registered(decode_host(change.name, change.spec))
            except (KeyError, TypeError, ValueError) as error:
                logger.bind(entry=change.name, cause=repr(error)).warning(
                    "host registration ignored"
                )

    @Service.task
    async def _register(self):
        """Write this host's entry until it stands."""
        written = None
        while not self.should_stop:
            known = self._replica.get(self._own.host)
            if known is not None and known.spec == self._make_spec():
                await self._clock.sleep(RETRY_PAUSE_S)
                continue
            if written is None or known is not None:
                written = await self._write(known)
                if written.is_error():
                    written = None
            await self._clock.sleep(RETRY_PAUSE_S)

    async def _write(self, known):
        name, spec = self._own.host, self._make_spec()
        kind = self._replica.kind
        if known is not None:
            return await self._store.replace(kind, name, spec, known.revision)
        created = await self._store.create(kind, name, spec)
        if created.is_error() and isinstance(created.error, StoreConflict):
            return await self._replace_former(kind, name, spec)
        return created

    async def _replace_former(self, kind, name, spec):
        """Replace the entry that an earlier life of this host left behind."""
        read = await self._store.read(kind, name)
        if read.is_error():
            return Error(read.error)
        return await self._store.replace(kind, name, spec, read.ok.revision)

    async def leave(self):
        """Withdraw this host's entry; give up soon when the store is away."""
        try:
            async with asyncio.timeout(LEAVE_BOUND_S):
                read = await self._store.read(self._replica.kind, self._own.host)
                if read.is_ok() and read.ok.spec == self._make_spec():
                    await self._store.delete(
                        self._replica.kind, self._own.host, read.ok.revision
                    )
                elif read.is_error() and not isinstance(read.error, ObjectMissing):
                    logger.bind(cause=repr(read.error)).info("entry left behind")
        except TimeoutError:
            logger.bind(cause="store too slow").info("entry left behind")

    @Service.task
    async def _dial_seeds(self):
        """Reach some host through the seeds while no peer is known."""
        while not self.should_stop:
            if not self._peers.streams:
                for seed in self.seeds:
                    if seed.address != self._own.address:
                        await self._peers.dial_seed(seed)
            await self._clock.sleep(SEED_INTERVAL_S)


def decode_host(name, spec):
    """Return the address in a host's entry.

    Raises
    ------
    KeyError, TypeError, ValueError
        It is none.
    """
    return HostAddress(
        name,
        spec["availability_zone"],
        spec["region"],
        spec["address"],
        int(spec["caller_port"]),
        int(spec["peer_port"]),
    )
