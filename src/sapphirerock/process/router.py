"""Router process of an entry host, with settings in this project's own format.

`sapphirerock.process.edge` is the router for a shared platform.
"""

import asyncio
import os
import random
import resource
import time

from aiohttp import web
from loguru import logger
from mode import Service
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from sapphirerock.connection.callerload import CallerLoad
from sapphirerock.connection.messages import (
    JournalAppend,
    JournalBackfill,
    JournalClose,
    JournalFind,
    JournalOpen,
    JournalRecordMessage,
)
from sapphirerock.connection.responsememory import ResponseMemory
from sapphirerock.connection.sessions import make_session
from sapphirerock.connection.store import StoreClient
from sapphirerock.connection.upstream import RESPONSE_LIMIT_BYTES
from sapphirerock.connection.versionedvalues import VersionedValues
from sapphirerock.decisions.quarantine import Quarantine
from sapphirerock.decisions.responsememory import choose_response_memory
from sapphirerock.decisions.retrybudget import RetryBudget, RetryLimits
from sapphirerock.platform.names import (
    CLAIMS_KIND,
    ENGINES_KIND,
    ROUTERS_KIND,
    SETTINGS_KIND,
)
from sapphirerock.platform.registrations import decode_registration
from sapphirerock.process.admin import Admin
from sapphirerock.process.clock import SystemClock
from sapphirerock.process.engines.dispatcher import Dispatcher
from sapphirerock.process.engines.upstreams import UpstreamTable
from sapphirerock.process.engines.watchers import UpstreamWatcher
from sapphirerock.process.gateway import Gateway
from sapphirerock.process.journals.client import JournalClient
from sapphirerock.process.journals.generations import GenerationTable
from sapphirerock.process.journals.store import JournalStore
from sapphirerock.process.orders.ledger import Ledger
from sapphirerock.process.peers.gossip import CrashUpdate, Gossip, SuspectUpdate
from sapphirerock.process.peers.hosts import HostTable
from sapphirerock.process.peers.limits import LimitTable
from sapphirerock.process.peers.loads import LoadForwarder
from sapphirerock.process.peers.membership import MEMBERSHIP_WATCH_TIMEOUT_S, Membership
from sapphirerock.process.peers.table import PeerTable
from sapphirerock.process.replicas.feed import ObjectFeed
from sapphirerock.process.replicas.feedstate import ReplicatedKind
from sapphirerock.process.replicas.replica import Replica
from sapphirerock.process.runtime import Runtime
from sapphirerock.process.settings.store import SettingsStore
from sapphirerock.process.settings.writer import SettingsWriter
from sapphirerock.process.telemetry.metrics import Metrics
from sapphirerock.process.telemetry.tracing import make_tracer
from sapphirerock.process.web import CallerWebService
from sapphirerock.version.routing import CallerLimits

BYTES_PER_MB = 1 << 20
# Stands for no limit on the descriptors of a process.
UNLIMITED_FILES = 1 << 20
DRAIN_POLL_S = 0.05
# Time for callers' load balancers to see that this host is not ready any more.
DRAIN_GRACE_S = 0.2
# Limits on retries and hedges of checks (idempotent calls). Hosts spend only half of
# them: together they add at most a tenth to the requests, and twenty more in a window
# with few requests.
CHECK_RETRY_LIMITS = RetryLimits(ratio=0.2, slack=40.0, window_s=10.0)


class RouterService(Service):
    """Router process of one entry host.

    Parameters
    ----------
    settings : HostSettings
        This host's settings.
    clock : Clock or None
        Source of time; the system's when None.
    """

    def __init__(self, settings, clock=None, **kwargs):
        super().__init__(**kwargs)
        self.settings = settings
        self.clock = clock or SystemClock()
        self.metrics = Metrics()
        self.journal_store = JournalStore(self.clock)
        self.gateway = None
        self._sessions = []

    async def on_start(self):
        """Build all parts and start the services among them."""
        self._build_control_plane()
        self._build_data_plane()
        self._register_handlers()
        for service in (
            self.peers,
            self.feed,
            self.membership,
            self.load_forwarder,
            self.upstream_watcher,
            self.runtime.dispatcher,
            self.runtime.journal,
            self.limits,
            self.generations,
            self._make_caller_service(),
        ):
            await self.add_runtime_dependency(service)
        logger.info("router {} started", self.settings.address.host)

    def _make_session(self, force_close=False):
        """Return a new session that is closed at shutdown."""
        session = make_session(self.settings.address.address, force_close)
        self._sessions.append(session)
        return session

    def _build_control_plane(self):
        """Build the parts that exchange data with peers and the platform."""
        settings, clock = self.settings, self.clock
        hosts = HostTable(settings.address, settings.peers, clock)
        incarnation = time.time_ns()
        self.tracer = make_tracer(settings.tracing, settings.address.host)
        self.peers = PeerTable(
            hosts,
            settings.peer_key,
            incarnation,
            clock,
            self.metrics,
            settings.peer_listen_port,
            self.tracer,
        )
        self.gossip = Gossip(self.peers)
        self.platform = StoreClient(
            self._make_session(force_close=True),
            settings.platform_url,
            self.metrics,
            self.tracer,
        )
        self.settings_store = SettingsStore()
        settings_replica = Replica(SETTINGS_KIND, compress=True)
        settings_replica.subscribe(self.settings_store.apply_changes)
        engine_replica = Replica(ENGINES_KIND)
        engine_replica.subscribe(self._apply_engine_changes)
        router_replica = Replica(ROUTERS_KIND)
        self.feed = ObjectFeed(
            self.platform,
            [
                ReplicatedKind(settings_replica),
                ReplicatedKind(engine_replica),
                ReplicatedKind(router_replica, MEMBERSHIP_WATCH_TIMEOUT_S),
            ],
            self.peers,
            clock,
            random.Random(settings.address.host),
        )
        self.membership = Membership(
            self.platform, router_replica, self.peers, (), incarnation, clock
        )
        self.limits = LimitTable(self.peers, self.gossip, clock)

    def _count_hosts(self):
        """Return the number of live hosts, this one included."""
        return 1 + len(self.peers.hosts.list_live())

    def _build_data_plane(self):
        """Build the parts that requests use."""
        settings, clock = self.settings, self.clock
        session = self._make_session()
        upstreams = UpstreamTable(settings.address, session, clock)
        quarantine = Quarantine(clock)
        self.load_forwarder = LoadForwarder(upstreams, self.peers, clock)
        self.upstream_watcher = UpstreamWatcher(
            upstreams, self.load_forwarder, self.peers, self.gossip, clock
        )
        generator = random.Random(settings.address.host)
        self.runtime = Runtime(
            clock=clock,
            metrics=self.metrics,
            tracer=self.tracer,
            session=session,
            single_use_session=self._make_session(force_close=True),
            settings=self.settings_store,
            upstreams=upstreams,
            quarantine=quarantine,
            gossip=self.gossip,
            dispatcher=Dispatcher(
                upstreams, quarantine, clock, self.metrics, generator
            ),
            journal=JournalClient(
                self.peers, self.journal_store, clock, self.metrics, settings.journal
            ),
            ledger=Ledger(
                VersionedValues(self.platform, CLAIMS_KIND), self.peers, clock
            ),
            retry_budget=RetryBudget(
                CHECK_RETRY_LIMITS, self.peers.hosts.count_possibly_running, clock
            ),
            response_memory=ResponseMemory(
                choose_response_memory(None, RESPONSE_LIMIT_BYTES)
            ),
        )
        self.generations = GenerationTable(self.runtime)
        self.gateway = Gateway(
            self.runtime,
            self.generations,
            self.limits,
            self.settings.max_body_bytes,
        )

    def _register_handlers(self):
        """Subscribe the parts to peer messages, gossip updates and settings."""
        journal_store = self.journal_store
        register = self.peers.register_handler
        register(JournalOpen, self._open_journal)
        register(JournalFind, self._find_journal)
        register(JournalAppend, lambda stream, message: journal_store.append(message))
        register(
            JournalBackfill, lambda stream, message: journal_store.backfill(message)
        )
        register(JournalClose, lambda stream, message: journal_store.close(message))
        self.gossip.subscribe(CrashUpdate, self.runtime.quarantine.apply_update)
        self.gossip.subscribe(SuspectUpdate, self.runtime.apply_suspect_update)
        self.peers.on_connect.append(self._broadcast_crashes)
        self.settings_store.subscribe(self._apply_snapshot)

    def _apply_snapshot(self, snapshot):
        self.runtime.upstreams.apply_snapshot(snapshot)
        self.metrics.settings_horizon.set(snapshot.horizon)

    def _apply_engine_changes(self, changes):
        """Mark the upstreams that registered as draining."""
        for change in changes:
            if change.is_deletion:
                continue
            decoded = decode_registration(change.name, change.spec)
            if decoded.is_ok() and decoded.ok.is_draining:
                self.runtime.upstreams.mark_draining(change.name)

    def _broadcast_crashes(self, stream):
        """Broadcast all recorded crashes again, for a peer that just connected."""
        for crash in self.runtime.quarantine.list_crashes():
            self.gossip.broadcast(CrashUpdate(*crash))

    def _open_journal(self, stream, message):
        """Open a journal for a driver; hand over a generation that this host drives."""
        record = self.generations.hand_over(message.organisation, message.key)
        if record is not None:
            self.journal_store.put_record(record)
        return self.journal_store.open(message)

    def _find_journal(self, stream, message):
        record = self.generations.find_record(message.organisation, message.key)
        if record is None:
            record = self.journal_store.find(message.organisation, message.key)
        if record is None:
            return JournalRecordMessage(False, "", b"", [], b"", "", "", "")
        return record.to_message(found=True)

    def _make_caller_service(self):
        """Return the service for callers, within what their connections may hold."""
        settings = self.settings
        limits = CallerLimits(body_bytes=settings.max_body_bytes)
        load = CallerLoad(
            settings.memory_mb or measure_memory_mb(),
            settings.max_files or measure_max_files(),
            lambda: limits,
            self.clock,
            self.metrics.caller_closes,
        )
        return CallerWebService(
            self._make_application(),
            settings.address.address,
            settings.address.caller_port,
            lambda: limits,
            load,
        )

    def _make_application(self):
        application = web.Application(client_max_size=self.settings.max_body_bytes)
        self.gateway.add_routes(application)
        writer = SettingsWriter(
            VersionedValues(self.platform, SETTINGS_KIND),
            self.settings_store,
            self.clock,
        )
        admin = Admin(self, writer, self.settings.root_operator_sha256)
        admin.add_routes(application)
        application.add_routes(
            [
                web.get("/healthz", self._answer_alive),
                web.get("/readyz", self._answer_ready),
                web.get("/metrics", self._answer_metrics),
            ]
        )
        return application

    async def _answer_alive(self, request):
        return web.json_response({"alive": True})

    async def _answer_ready(self, request):
        synchronised = self.feed.is_synchronised(SETTINGS_KIND)
        ready = synchronised and not self.gateway.is_shutting_down
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def _answer_metrics(self, request):
        return web.Response(
            body=generate_latest(self.metrics.registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )

    async def on_stop(self):
        """Refuse new calls and wait for the running ones, up to `drain_bound_s`."""
        if self.gateway is None:
            return
        self.gateway.is_shutting_down = True
        self.peers.announce_shutdown()
        await self.membership.deregister()
        deadline_s = self.clock.monotonic() + self.settings.drain_bound_s
        await self.clock.sleep(DRAIN_GRACE_S)
        while self.gateway.active_calls and self.clock.monotonic() < deadline_s:
            await self.clock.sleep(DRAIN_POLL_S)
        logger.info("router {} drained", self.settings.address.host)

    async def on_shutdown(self):
        """Close connections to upstreams and the platform."""
        for session in self._sessions:
            await session.close()
        await asyncio.sleep(0)


def measure_max_files():
    """Return the number of descriptors that the process may open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return UNLIMITED_FILES if limit == resource.RLIM_INFINITY else limit


def measure_memory_mb():
    """Return the memory of the machine, in MB."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB
