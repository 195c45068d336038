"""The placer: orders engines to load the declared models while it holds a lease.

The lease is an object in the platform. Its version at the takeover is the fencing
number of all orders of that holder. Wall clocks are not compared: a candidate takes
over once it has seen the same version for the duration of the lease on its own
monotonic clock.
"""

import random
from dataclasses import dataclass

import orjson
from loguru import logger
from mode import Service

from sapphirerock.connection.engine import EngineClient
from sapphirerock.connection.sessions import make_session
from sapphirerock.connection.store import StoreClient
from sapphirerock.connection.storeobjects import HistoryGone
from sapphirerock.connection.versionedvalues import VersionedValues
from sapphirerock.decisions.rendezvous import rank_candidates
from sapphirerock.platform.names import LEASES_KIND, ROUTERS_KIND, SETTINGS_KIND
from sapphirerock.process.clock import SystemClock
from sapphirerock.process.replicas.deltas import collapse_events
from sapphirerock.process.replicas.replica import Replica, ReplicaChange
from sapphirerock.process.settings.store import SettingsStore
from sapphirerock.process.telemetry.metrics import Metrics

LEASE_PATH = "leases/placer"
LEASE_DURATION_S = 3.0
LEASE_RENEW_INTERVAL_S = 1.0
LEASE_CANDIDATES_PER_ZONE = 2
CANDIDATE_REFRESH_INTERVAL_S = 10.0
PLACEMENT_INTERVAL_S = 0.5
ORDER_TIMEOUT_S = 2.0
LOAD_MODEL = "load-model"
UNLOAD_MODEL = "unload-model"
SECONDS_PER_MINUTE = 60.0


@dataclass(slots=True)
class Lease:
    """The right to send orders, in the last state that this process has seen.

    Parameters
    ----------
    fencing_number : int
        Sent with each order; 0 while this process doesn't hold the lease.
    version : int
        Last version of the object that was seen.
    valid_until_s : float
        Monotonic time until which no other process takes over.
    seen_at_s : float
        Monotonic time at which the version was first seen.
    """

    fencing_number: int = 0
    version: int = 0
    valid_until_s: float = 0.0
    seen_at_s: float = 0.0


class LeaseKeeper:
    """Acquires and renews the lease.

    Parameters
    ----------
    platform : VersionedValues
        Stores the lease.
    holder : str
        Name of this process.
    clock : Clock
        Source of time.
    """

    __slots__ = ("lease", "acquired_at_s", "_platform", "_holder", "_clock")

    def __init__(self, platform, holder, clock):
        self.lease = Lease()
        self.acquired_at_s = 0.0
        self._platform = platform
        self._holder = holder
        self._clock = clock

    @property
    def is_held(self):
        """Whether this process holds the lease, so that it may send an order."""
        return self.lease.fencing_number > 0 and (
            self._clock.monotonic() < self.lease.valid_until_s
        )

    async def renew_or_acquire(self):
        """Renew the lease if it is held, otherwise try to acquire it."""
        if self.lease.fencing_number:
            await self._renew()
        else:
            await self._try_acquire()

    async def _write(self):
        """Write the lease over its last seen version; return whether it was written."""
        sent_at_s = self._clock.monotonic()
        value = orjson.dumps({"holder": self._holder})
        written = await self._platform.put(LEASE_PATH, value, self.lease.version)
        if written.is_error():
            return False
        self.lease.version = written.ok
        self.lease.valid_until_s = sent_at_s + LEASE_DURATION_S
        return True

    async def _renew(self):
        if await self._write():
            return
        read = await self._platform.get(LEASE_PATH)
        if read.is_error():
            return
        if not self._is_held_by_self(read.ok):
            self._record_loss(read.ok.version)
        else:
            # The renewal took effect, but its answer was lost.
            self.lease.version = read.ok.version

    def _is_held_by_self(self, stored):
        return bool(stored.value) and (
            orjson.loads(stored.value)["holder"] == self._holder
        )

    def _record_loss(self, version):
        logger.info("placer lease lost by {}", self._holder)
        self.lease = Lease(version=version, seen_at_s=self._clock.monotonic())

    async def _try_acquire(self):
        read = await self._platform.get(LEASE_PATH)
        if read.is_error():
            return
        now_s = self._clock.monotonic()
        if read.ok.version != self.lease.version:
            self.lease.version = read.ok.version
            self.lease.seen_at_s = now_s
        if read.ok.version and now_s - self.lease.seen_at_s < LEASE_DURATION_S:
            return
        if await self._write():
            self.lease.fencing_number = self.lease.version
            self.acquired_at_s = self._clock.monotonic()
            logger.info(
                "placer lease {} acquired by {}",
                self.lease.fencing_number,
                self._holder,
            )


class LoadBudget:
    """Rate limit on loads from the weight store while one process holds the lease.

    It starts without credit, so that two successive holders together keep to the rate.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_credit", "_refilled_at_s")

    def __init__(self, clock):
        self._clock = clock
        self._credit = 0.0
        self._refilled_at_s = clock.monotonic()

    def try_consume(self, loads_per_minute):
        """Return whether weights may be loaded now, and count the load if so."""
        now_s = self._clock.monotonic()
        rate_per_s = loads_per_minute / SECONDS_PER_MINUTE
        self._credit += (now_s - self._refilled_at_s) * rate_per_s
        self._credit = min(1.0, self._credit)
        self._refilled_at_s = now_s
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True


class PlacerService(Service):
    """A placer process. At most one of all hosts' placers holds the lease.

    Parameters
    ----------
    settings : HostSettings
        This host's settings.
    clock : Clock or None
        Source of time; the system's clock if None.
    """

    def __init__(self, settings, clock=None, **kwargs):
        super().__init__(**kwargs)
        self.settings = settings
        self.clock = clock or SystemClock()
        self.store = SettingsStore()
        self._replica = Replica(SETTINGS_KIND, compress=True)
        self._replica.subscribe(self.store.apply_changes)
        self._session = None
        self._store_session = None
        self._platform = None
        self._lease_keeper = None
        self._budget = None
        self._was_candidate = False
        self._candidates_read_at_s = -CANDIDATE_REFRESH_INTERVAL_S

    async def on_start(self):
        """Create the HTTP sessions, the store client and the lease keeper."""
        self._session = make_session(self.settings.address.address)
        self._store_session = make_session(
            self.settings.address.address, force_close=True
        )
        self._platform = StoreClient(
            self._store_session, self.settings.platform_url, Metrics()
        )
        name = f"{self.settings.address.host}-{random.getrandbits(32):08x}"
        leases = VersionedValues(self._platform, LEASES_KIND)
        self._lease_keeper = LeaseKeeper(leases, name, self.clock)

    async def on_shutdown(self):
        """Close the HTTP sessions."""
        for session in (self._session, self._store_session):
            if session is not None:
                await session.close()

    @Service.task
    async def _keep_lease(self):
        while not self.should_stop:
            previous_number = self._lease_keeper.lease.fencing_number
            if not previous_number and not await self._is_candidate():
                await self.clock.sleep(CANDIDATE_REFRESH_INTERVAL_S)
                continue
            await self._lease_keeper.renew_or_acquire()
            if self._lease_keeper.lease.fencing_number != previous_number:
                self._budget = LoadBudget(self.clock)
            await self.clock.sleep(LEASE_RENEW_INTERVAL_S)

    async def _is_candidate(self):
        """Return whether this host may try to acquire the lease.

        Each availability zone has two candidates, so that the number of lease calls
        to the platform grows with zones. The list of hosts is read again after
        `CANDIDATE_REFRESH_INTERVAL_S` and may be out of date.
        """
        now_s = self.clock.monotonic()
        if now_s < self._candidates_read_at_s + CANDIDATE_REFRESH_INTERVAL_S:
            return self._was_candidate
        read = await self._platform.list_all(ROUTERS_KIND)
        if read.is_ok():
            self._candidates_read_at_s = now_s
            zone = self.settings.address.availability_zone
            hosts = [
                item.name for item in read.ok.objects if decode_zone(item.spec) == zone
            ]
            candidates = rank_candidates(hosts, LEASE_PATH)[:LEASE_CANDIDATES_PER_ZONE]
            self._was_candidate = self.settings.address.host in candidates
        return self._was_candidate

    @Service.task
    async def _send_orders(self):
        while not self.should_stop:
            if self._lease_keeper.is_held:
                await self._update_settings()
                await self._send_due_orders()
            await self.clock.sleep(PLACEMENT_INTERVAL_S)

    async def _update_settings(self):
        """Update the settings from the store; keep them if it doesn't answer."""
        replica = self._replica
        if replica.horizon:
            after = replica.horizon
            read = await self._platform.watch(SETTINGS_KIND, after, 0.0)
            if read.is_ok():
                replica.apply(after, read.ok.revision, collapse_events(read.ok))
            if read.is_ok() or not isinstance(read.error, HistoryGone):
                return
        read = await self._platform.list_all(SETTINGS_KIND)
        if read.is_ok():
            changes = [
                ReplicaChange(item.name, item.revision, item.spec)
                for item in read.ok.objects
            ]
            names = [change.name for change in changes]
            replica.apply(0, read.ok.revision, changes, names)

    async def _send_due_orders(self):
        """Send each engine at most one order that it needs."""
        snapshot = self.store.snapshot
        upstreams = {
            upstream.name: upstream
            for service in snapshot.services.values()
            for upstream in service.upstreams
        }
        for item in snapshot.placements:
            for placed in item.settings.upstreams:
                upstream = upstreams.get(placed.upstream)
                if upstream is not None:
                    await self._send_due_order(item.settings, placed, upstream)

    async def _send_due_order(self, placement, placed, upstream):
        client = EngineClient(self._session, upstream)
        report = await client.read_load()
        if report.is_error():
            return
        order = choose_order(placed.models, report.ok.models)
        if order is None or not self._may_send_order(placed):
            return
        kind, target = order
        if kind == LOAD_MODEL and not self._budget.try_consume(
            placement.loads_per_minute
        ):
            return
        # The lease is checked again right before the order is sent.
        if self._lease_keeper.is_held:
            await client.send_order(
                self._lease_keeper.lease.fencing_number, kind, target, ORDER_TIMEOUT_S
            )

    def _may_send_order(self, placed):
        """Return whether no order of a former lease holder can take effect any more.

        Engines that check fencing numbers reject such orders themselves.
        """
        if placed.checks_fencing:
            return True
        held_s = self.clock.monotonic() - self._lease_keeper.acquired_at_s
        return held_s > placed.order_delay_bound_s + ORDER_TIMEOUT_S


def decode_zone(spec):
    """Return the availability zone in a host's entry, "" if it has none."""
    return spec.get("availability_zone", "") if isinstance(spec, dict) else ""


def choose_order(wanted, loaded):
    """Return (kind, model) of the next order, or None if the loaded models match."""
    for model in wanted:
        if model not in loaded:
            return LOAD_MODEL, model
    for model in loaded:
        if model not in wanted:
            return UNLOAD_MODEL, model
    return None
