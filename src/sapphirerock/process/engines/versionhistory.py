"""Software versions that the engines of each service have or recently had.

A stream of unknown origin goes on only where its service had one version since the
stream may have begun. Hosts note the versions that they see, and the store keeps them
for the case that all hosts end.
"""

from functools import partial

import xxhash
from expression import Ok
from loguru import logger
from mode import Service

from sapphirerock.connection.storeobjects import ObjectMissing, StoreConflict
from sapphirerock.decisions.duties import pick_for_duty
from sapphirerock.platform.names import ENGINE_VERSIONS_KIND, ENGINES_KIND
from sapphirerock.process.engines.table import VERSION_HISTORY_S
from sapphirerock.process.storeretry import retry_store_call

CHECK_INTERVAL_S = 0.5
# Longer than a watch call, a heartbeat and the takeover of a watch together.
MAX_CONTACT_AGE_S = 3.0
STORE_FAILURE = "store call for engine versions failed"


class VersionHistory(Service):
    """Keeps the versions of engines in the store, and loads them when a host starts.

    Parameters
    ----------
    engines : EngineTable
        Registered engines, and the versions seen lately.
    feed : ObjectFeed
        Distributes the registrations.
    hosts : HostTable
        Hosts that may know other registrations.
    store : StoreClient
        The store.
    clock : Clock
        Source of time.
    """

    def __init__(self, engines, feed, hosts, store, clock, **kwargs):
        super().__init__(**kwargs)
        self._engines = engines
        self._feed = feed
        self._hosts = hosts
        self._store = store
        self._clock = clock
        self._started_s = clock.monotonic()
        self._is_loaded = False
        # Versions in the store as far as known: service and version by object name.
        self._stored = {}
        self._revisions = {}
        store.on_restore.append(self._stored.clear)

    def knows_all(self):
        """Return whether the versions seen lately are all that engines had.

        Not so on a host that has just started and has not read the store, nor on one
        that is cut off from the store and from some of the other hosts. It takes some
        seconds to notice that; see `confirm_all`.
        """
        return self._has_history() and (self._is_current() or self._hears_all_hosts())

    async def confirm_all(self):
        """Return whether the versions seen lately are all that engines had until now.

        The store is asked, or peers if it does not answer, since a host that was cut
        off or suspended does not know at once that its view is old.
        """
        if not self._has_history() or not await self._feed.refresh(ENGINES_KIND):
            return False
        return self._is_current() or self._hears_all_hosts()

    def _has_history(self):
        uptime_s = self._clock.monotonic() - self._started_s
        return self._is_loaded or uptime_s >= VERSION_HISTORY_S

    def _is_current(self):
        return self._feed.measure_age_s(ENGINES_KIND) <= MAX_CONTACT_AGE_S

    def _hears_all_hosts(self):
        """Return whether no host is out of reach, as far as peers were heard lately."""
        since_s = self._clock.monotonic() - MAX_CONTACT_AGE_S
        return self._hosts.can_reach_all() and self._feed.has_heard_from_peers(since_s)

    @Service.task
    async def _keep(self):
        await self.load()
        while not self.should_stop:
            await self._clock.sleep(CHECK_INTERVAL_S)
            await self.update()

    async def load(self):
        """Note the versions in the store as seen now."""
        page = await self._retry(
            "list", partial(self._store.list_all, ENGINE_VERSIONS_KIND)
        )
        for item in page.objects:
            version = decode_version(item)
            if version is None:
                logger.bind(entry=item.name).warning("invalid engine version ignored")
                continue
            self._stored[item.name] = version
            self._revisions[item.name] = item.revision
            self._engines.note_version(*version)
        self._is_loaded = True
        logger.bind(versions=len(self._stored)).info("engine versions loaded")

    async def update(self):
        """Write versions that are new, and delete those that no engine had lately."""
        await self._write_new()
        await self._delete_old()

    async def _write_new(self):
        for version in self._engines.list_registered_versions():
            name = make_name(*version)
            if name not in self._stored and self._is_writer(name):
                await self._retry("write", partial(self._create, name, version))
                self._stored[name] = version

    async def _create(self, name, version):
        service, software_version = version
        spec = {"service": service, "version": software_version}
        created = await self._store.create(ENGINE_VERSIONS_KIND, name, spec)
        if created.is_ok():
            self._revisions[name] = created.ok.revision
            return created
        # Another host has written it.
        return Ok(None) if isinstance(created.error, StoreConflict) else created

    async def _delete_old(self):
        for name, (service, version) in list(self._stored.items()):
            if version in self._engines.list_versions(service):
                continue
            if self._is_writer(name):
                await self._retry("delete", partial(self._delete, name))
            self._stored.pop(name, None)

    async def _delete(self, name):
        """Delete an object, unless it has changed or is gone."""
        revision = self._revisions.pop(name, None)
        if revision is None:
            return Ok(None)
        deleted = await self._store.delete(ENGINE_VERSIONS_KIND, name, revision)
        if deleted.is_error():
            if isinstance(deleted.error, StoreConflict | ObjectMissing):
                return Ok(None)
            self._revisions[name] = revision
        return deleted

    def _is_writer(self, name):
        """Return whether this host writes an object, which one live host does."""
        own_host = self._hosts.own_address.host
        live = [address.host for address in self._hosts.list_live()]
        classes = self._hosts.list_capacity_classes()
        return pick_for_duty([own_host, *live], name, classes) == own_host

    async def _retry(self, operation, call):
        return await retry_store_call(
            call, self._clock, STORE_FAILURE, operation=operation
        )


def make_name(service, version):
    """Return the name of the object that stands for a version of a service."""
    return xxhash.xxh64_hexdigest(f"{service}\0{version}".encode())


def decode_version(item):
    """Decode a stored version; return service and version, or None if malformed."""
    spec = item.spec if isinstance(item.spec, dict) else {}
    service, version = spec.get("service"), spec.get("version")
    if not isinstance(service, str) or not isinstance(version, str):
        return None
    return service, version
