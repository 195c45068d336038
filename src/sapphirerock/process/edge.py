"""Router process of an entry host on a shared platform.

The platform supplies the settings file, the store and the engines' protocol.
`sapphirerock.process.router` is the router with this project's own settings.
"""

import asyncio
import os
import random
import signal
import time

from aiohttp.web_response import Response, json_response
from loguru import logger
from mode import Service
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from sapphirerock.connection.callerload import CallerLoad
from sapphirerock.connection.dialects import DIALECTS
from sapphirerock.connection.ingress import CallerServer
from sapphirerock.connection.responsememory import ResponseMemory
from sapphirerock.connection.sessions import make_session
from sapphirerock.connection.store import StoreClient
from sapphirerock.connection.upstream import (
    RESPONSE_LIMIT_BYTES,
    make_upstream_session,
)
from sapphirerock.decisions.crashlog import CrashLog
from sapphirerock.decisions.duties import classify_capacity
from sapphirerock.decisions.leaving import (
    OUT_OF_ROTATION_DELAY_S,
    Shutdown,
    StreamDurations,
)
from sapphirerock.decisions.placement import PLACEMENTS
from sapphirerock.decisions.responsememory import choose_response_memory
from sapphirerock.decisions.retrybudget import RetryBudget, RetryLimits
from sapphirerock.platform import dialect as platform_dialect
from sapphirerock.platform.configuration import decode_configuration
from sapphirerock.platform.names import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ENGINES_KIND,
    READINESS_PATH,
    ROLLOUTS_KIND,
    ROUTERS_KIND,
)
from sapphirerock.platform.registrations import decode_registration
from sapphirerock.platform.settingsfile import read_profile
from sapphirerock.process.clock import SystemClock
from sapphirerock.process.edgeruntime import EdgeRuntime
from sapphirerock.process.engines.admission import AdmissionQueue
from sapphirerock.process.engines.blockedrequests import BlockedRequests
from sapphirerock.process.engines.crashwatch import CrashWatch
from sapphirerock.process.engines.fleet import Fleet
from sapphirerock.process.engines.limits import EngineLimitTable
from sapphirerock.process.engines.monitor import EngineMonitor
from sapphirerock.process.engines.paces import EnginePaceTable
from sapphirerock.process.engines.paths import EnginePaths
from sapphirerock.process.engines.rests import EngineRestTable
from sapphirerock.process.engines.slots import EngineSlotTable
from sapphirerock.process.engines.soundparts import SoundPartSpread
from sapphirerock.process.engines.statements import EngineStatementTable
from sapphirerock.process.engines.table import EngineTable
from sapphirerock.process.engines.versionhistory import VersionHistory
from sapphirerock.process.page import PageService
from sapphirerock.process.peers.crashlogs import CrashLogExchange
from sapphirerock.process.peers.gossip import Gossip
from sapphirerock.process.peers.hosts import HostTable
from sapphirerock.process.peers.loadsharing import LoadSharing
from sapphirerock.process.peers.membership import (
    MEMBERSHIP_BATCH_S,
    MEMBERSHIP_WATCH_TIMEOUT_S,
    Membership,
)
from sapphirerock.process.peers.relayserver import RelayServer
from sapphirerock.process.peers.storedorigins import StoredOrigins
from sapphirerock.process.peers.streamorigins import StreamOriginTable
from sapphirerock.process.peers.table import PeerTable
from sapphirerock.process.replicas.feed import ObjectFeed
from sapphirerock.process.replicas.feedstate import ReplicatedKind
from sapphirerock.process.replicas.replica import Replica
from sapphirerock.process.rollouts import RolloutTable
from sapphirerock.process.settings.hostsettings import HostAddress, TracingSettings
from sapphirerock.process.settings.routing import RoutingStore
from sapphirerock.process.startdata import StartData
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics
from sapphirerock.process.telemetry.tracing import make_tracer
from sapphirerock.request.callhandler import CallHandler
from sapphirerock.version.routing import CallerLimits

METRICS_PATH = "/metrics"
PLACEMENT_POLICY = "rivals"
# Part of the grace period before SIGKILL that is reserved for closing connections.
CLOSE_RESERVE_S = 0.6
SETTINGS_CHECK_INTERVAL_S = 1.0


class Edge(Service):
    """Router process of one entry host on the shared platform.

    Parameters
    ----------
    profile : HostProfile
        Settings of this host.
    settings_file : str
        Path of the file from which the profile was read.
    metrics_port : int
        TCP port of the metrics, at the host's address.
    listening : socket.socket or None
        Listens for callers; None if the router is not going to be started.
    clock : Clock or None
        Source of time; the system's when None.
    """

    def __init__(
        self, profile, settings_file, metrics_port, listening, clock=None, **kwargs
    ):
        super().__init__(**kwargs)
        self.profile = profile
        self._listening = listening
        self._settings_file = settings_file
        self._metrics_port = metrics_port
        self.clock = clock or SystemClock()
        self.metrics = EdgeMetrics()
        self._sessions = []
        self._settings_file_stamp = read_file_stamp(settings_file)
        self._listener = None
        self._server = None

    async def on_start(self):
        """Build all parts, start the services among them and listen for callers."""
        profile = self.profile
        self.tracer = make_tracer(TracingSettings(), profile.host)
        self._build_control_plane()
        self._build_data_plane()
        for service in (
            self.peers,
            self.feed,
            self.start_data,
            *((self.rollouts,) if self.rollouts else ()),
            self.membership,
            self.load_sharing,
            self.stream_origins,
            self.stored_origins,
            self.version_history,
            self.crash_log_exchange,
            self.blocked_requests,
            self.paths,
            self.monitor,
            self.admission,
            PageService(
                profile.readiness_endpoint.address,
                profile.readiness_endpoint.port,
                READINESS_PATH,
                self._answer_ready,
            ),
            PageService(
                profile.address, self._metrics_port, METRICS_PATH, self._answer_metrics
            ),
        ):
            await self.add_runtime_dependency(service)
        self._server = CallerServer(
            self.call_handler.handle, self._get_caller_limits, self._make_caller_load()
        )
        self._listener = await self._server.listen(self._listening)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP, self._reload_settings
        )
        logger.bind(
            host=profile.host,
            zone=profile.availability_zone,
            callers=str(profile.caller_endpoint),
            capacity_class=self.hosts.own_class,
            takes_rollouts=self.rollouts is not None,
        ).info("edge started")

    @Service.task
    async def _watch_settings(self):
        """Reload the settings when their file changes, in case no signal is sent."""
        while not self.should_stop:
            await self.clock.sleep(SETTINGS_CHECK_INTERVAL_S)
            if read_file_stamp(self._settings_file) != self._settings_file_stamp:
                self._reload_settings()

    def _reload_settings(self):
        """Apply the settings file; keep the settings in force if it is invalid."""
        self._settings_file_stamp = read_file_stamp(self._settings_file)
        read = read_profile(self._settings_file)
        if read.is_error():
            logger.bind(cause=str(read.error)).error("settings file refused")
            return
        changed = read.ok != self.profile
        self.profile = read.ok
        self.retry_budget.limits = make_retry_limits(read.ok.bounds)
        self.membership.seeds = read.ok.seeds
        self.store.url = make_store_url(read.ok.store)
        logger.bind(changed=changed).info("settings file reloaded")

    def _register_session(self, session):
        """Register a session to be closed at shutdown and return it."""
        self._sessions.append(session)
        return session

    def _build_control_plane(self):
        """Build the parts that exchange data with the store and with peers."""
        profile, clock = self.profile, self.clock
        own_address = HostAddress(
            profile.host,
            profile.availability_zone,
            profile.region,
            profile.address,
            profile.caller_endpoint.port,
            profile.peer_endpoint.port,
        )
        own_class = None
        if profile.capacity is not None:
            own_class = classify_capacity(profile.capacity)
        self.hosts = HostTable(own_address, (), clock, own_class)
        incarnation = time.time_ns()
        # The platform gives its hosts no shared secret; they have a separate network.
        self.peers = PeerTable(
            self.hosts, "", incarnation, clock, self.metrics, tracer=self.tracer
        )
        self.gossip = Gossip(self.peers)
        self.store = StoreClient(
            self._register_session(make_session(profile.address, force_close=True)),
            make_store_url(profile.store),
            self.metrics,
            self.tracer,
        )
        self.routing = RoutingStore(decode_configuration, CONFIGURATION_NAME)
        self.metrics.configuration_revision.set_function(
            self._get_configuration_revision
        )
        self.engines = EngineTable(decode_registration, clock, self.metrics)
        configuration_replica = Replica(CONFIGURATION_KIND)
        engine_replica = Replica(ENGINES_KIND)
        router_replica = Replica(ROUTERS_KIND)
        configuration_replica.subscribe(self.routing.apply_changes)
        engine_replica.subscribe(self.engines.apply_changes)
        kinds = [
            ReplicatedKind(configuration_replica),
            ReplicatedKind(engine_replica),
            ReplicatedKind(
                router_replica, MEMBERSHIP_WATCH_TIMEOUT_S, MEMBERSHIP_BATCH_S
            ),
        ]
        self.rollouts = None
        exposed_share = profile.bounds.exposed_share
        if exposed_share is not None:
            self.rollouts = RolloutTable(
                self.hosts, self.gossip, self.store, exposed_share, clock, self.metrics
            )
            rollout_replica = Replica(ROLLOUTS_KIND)
            rollout_replica.subscribe(self.rollouts.apply_changes)
            kinds.append(ReplicatedKind(rollout_replica, MEMBERSHIP_WATCH_TIMEOUT_S))
        self.feed = ObjectFeed(
            self.store,
            kinds,
            self.peers,
            clock,
            random.Random(profile.host),
            reads_store_first=is_seed(profile),
        )
        self.start_data = StartData(self._has_start_data, clock)
        self.load_sharing = LoadSharing(self.engines, self.peers, clock)
        self.stream_origins = StreamOriginTable(self.peers, clock)
        self.stored_origins = StoredOrigins(
            self.stream_origins, self.engines, self.peers, self.store, clock
        )
        self.version_history = VersionHistory(
            self.engines, self.feed, self.hosts, self.store, clock
        )
        self.membership = Membership(
            self.store, router_replica, self.peers, profile.seeds, incarnation, clock
        )

    def _build_data_plane(self):
        """Build the parts that calls use."""
        profile, clock = self.profile, self.clock
        generator = random.Random(profile.host)
        session = self._register_session(make_upstream_session(profile.address))
        dialect = DIALECTS[platform_dialect.PlatformDialect.name]
        self.paths = EnginePaths(
            self.engines, self.hosts, session, dialect, generator, clock, self.metrics
        )
        self.relay_server = RelayServer(
            self.engines, profile.address, clock, self.metrics
        )
        self.relay_server.on_unreachable.append(self.paths.check)
        self.peers.relay = self.relay_server.serve
        crash_log = CrashLog(clock)
        self.crash_log_exchange = CrashLogExchange(
            crash_log, self.peers, clock, self.metrics
        )
        self.metrics.quarantined.set_function(lambda: len(crash_log))
        sound_parts = SoundPartSpread(
            crash_log, self.gossip, self.peers, clock, generator
        )
        self.crash_log_exchange.on_pull.append(sound_parts.send_suspects)
        crash_watch = CrashWatch(
            self.engines,
            crash_log,
            sound_parts,
            self.gossip,
            self.paths,
            clock,
            self.metrics,
        )
        self.blocked_requests = BlockedRequests(crash_log, self.store, clock)
        crash_watch.on_block.append(self.blocked_requests.record)
        self.monitor = EngineMonitor(self.engines, crash_watch, self.paths, clock)
        policy = PLACEMENTS[PLACEMENT_POLICY](generator)
        retry_limits = make_retry_limits(self.profile.bounds)
        self.retry_budget = RetryBudget(
            retry_limits, self.hosts.count_possibly_running, clock
        )
        engine_paces = EnginePaceTable(self.engines, self.gossip, clock)
        fleet = Fleet(
            self.engines,
            self.routing,
            policy,
            profile.availability_zone,
            clock,
            engine_paces,
            self.rollouts,
        )
        fleet.on_unreachable.append(self.paths.check)
        stream_durations = StreamDurations()
        self.shutdown = Shutdown(stream_durations, clock)
        self.admission = AdmissionQueue(
            fleet,
            stream_durations,
            self.shutdown,
            self._count_hosts,
            generator,
            clock,
        )
        engine_limits = EngineLimitTable(self.engines, self.peers, self.gossip, clock)
        engine_statements = EngineStatementTable(
            self.engines, self.peers, self.gossip, clock
        )
        capacity = profile.capacity
        response_memory = ResponseMemory(
            choose_response_memory(
                capacity.memory_mb if capacity else None, RESPONSE_LIMIT_BYTES
            )
        )
        self.metrics.response_memory.set_function(
            lambda: response_memory.reserved_bytes
        )
        runtime = EdgeRuntime(
            clock=clock,
            metrics=self.metrics,
            tracer=self.tracer,
            paths=self.paths,
            dialect=dialect,
            fleet=fleet,
            engine_limits=engine_limits,
            engine_slots=EngineSlotTable(self.engines, self.peers, crash_watch, clock),
            engine_rests=EngineRestTable(self.engines, self.peers, clock),
            engine_statements=engine_statements,
            engine_paces=engine_paces,
            rollouts=self.rollouts,
            start_data=self.start_data,
            stream_origins=self.stream_origins,
            stored_origins=self.stored_origins,
            version_history=self.version_history,
            admission=self.admission,
            retry_budget=self.retry_budget,
            crash_watch=crash_watch,
            generator=generator,
            response_memory=response_memory,
            stream_durations=stream_durations,
            shutdown=self.shutdown,
        )
        self.call_handler = CallHandler(runtime, self.routing)

    def _make_caller_load(self):
        capacity = self.profile.capacity
        load = CallerLoad(
            capacity.memory_mb if capacity else None,
            self.profile.max_files,
            self._get_caller_limits,
            self.clock,
            self.metrics.caller_closes,
        )
        self.metrics.caller_memory.set_function(lambda: load.held_bytes)
        self.metrics.caller_connections.set_function(lambda: len(load))
        return load

    def _has_start_data(self):
        """Return whether this host knows the configuration and the engines."""
        is_complete = self.feed.is_synchronised(ENGINES_KIND)
        return is_complete and self.routing.current is not None

    def _count_hosts(self):
        """Return the number of live hosts, this one included."""
        return 1 + len(self.hosts.list_live())

    def _get_caller_limits(self):
        current = self.routing.current
        return current.limits if current else CallerLimits()

    def _get_configuration_revision(self):
        current = self.routing.current
        return current.revision if current else 0

    @property
    def is_ready(self):
        """Whether the platform should send new connections to this host."""
        return self.routing.current is not None and not self.shutdown.has_begun

    async def _answer_ready(self, request):
        status = 200 if self.is_ready else 503
        return json_response({"ready": self.is_ready}, status=status)

    async def _answer_metrics(self, request):
        return Response(
            body=generate_latest(self.metrics.registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )

    async def on_stop(self):
        """Stop receiving new connections, then drain the open ones until a deadline.

        The deadline leaves `CLOSE_RESERVE_S` of the grace period before SIGKILL.
        """
        if self._listener is None:
            return
        started_s = self.clock.monotonic()
        allowed_s = self.profile.bounds.grace_s - CLOSE_RESERVE_S
        deadline_s = started_s + allowed_s
        self.shutdown.start(allowed_s)
        self.relay_server.is_closed = True
        logger.bind(calls=self.call_handler.active_calls).info("edge shutting down")
        self.peers.announce_shutdown()
        await self.membership.deregister()
        await self.clock.sleep(OUT_OF_ROTATION_DELAY_S)
        cut_off = await self._server.drain(self._listener, deadline_s, self.clock)
        relayed_cut_off = await self.relay_server.drain(deadline_s)
        logger.bind(
            cut_off=cut_off,
            relayed_cut_off=relayed_cut_off,
            took_s=round(self.clock.monotonic() - started_s, 2),
        ).info("edge stopped")

    async def on_shutdown(self):
        """Close connections to engines and the store."""
        for session in self._sessions:
            await session.close()
        await asyncio.sleep(0)


def is_seed(profile):
    """Return whether other hosts connect to this one when they start.

    So does a host that knows no other one.
    """
    others = [seed for seed in profile.seeds if seed != profile.peer_endpoint]
    return len(others) < len(profile.seeds) or not others


def read_file_stamp(path):
    """Return a file's modification time, size and inode, or None if stat fails."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino


def make_retry_limits(bounds):
    """Return the retry limits in the platform's bounds, for all hosts together."""
    return RetryLimits(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)


def make_store_url(access):
    """Return the base URL of the platform's store."""
    return f"http://{access.endpoint}"
