"""Steps on model engines of several software versions."""

import asyncio
import itertools
import time
from collections import Counter, defaultdict
from random import Random
from types import SimpleNamespace

from behave import given, then, when
from expression import Error, Ok
from loguru import logger
from tools.localfleet import send_to_each
from tools.rawclient import RawConnection, RawResponse
from tools.sharedcaller import make_headers
from tools.sharedcluster import SharedCluster, make_configuration

from features.steps.edge_steps import ZONES, has_engines, start_cluster
from sapphirerock.connection.storeobjects import (
    ObjectEvent,
    ObjectEvents,
    ObjectMissing,
    ObjectPage,
    StoreConflict,
    StoredObject,
    StoreUnavailable,
)
from sapphirerock.decisions.placement import (
    PLACEMENTS,
    EngineView,
    mark_cached_prompt,
)
from sapphirerock.decisions.streamversions import (
    KvBackup,
    OriginChoice,
    StreamOrigin,
    choose_origin,
    prefer_lasting_versions,
)
from sapphirerock.platform.names import ENGINE_VERSIONS_KIND, ENGINES_KIND
from sapphirerock.process.clock import ManualClock, SystemClock
from sapphirerock.process.engines.fleet import Fleet
from sapphirerock.process.engines.table import EngineTable
from sapphirerock.process.engines.versionhistory import VersionHistory
from sapphirerock.process.peers.hosts import HostTable
from sapphirerock.process.peers.storedorigins import (
    MAX_WRITE_INTERVAL_S,
    StoredOrigins,
    choose_write_interval_s,
)
from sapphirerock.process.peers.streamorigins import (
    CONTENT_BYTES,
    MAX_RECORDS,
    OriginRecord,
    StreamOriginTable,
    make_key,
)
from sapphirerock.process.replicas.feed import ObjectFeed
from sapphirerock.process.replicas.feedstate import ReplicatedKind
from sapphirerock.process.replicas.replica import Replica, ReplicaChange
from sapphirerock.process.settings.hostsettings import HostAddress
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics
from sapphirerock.request.call import Prompt
from sapphirerock.request.callhandler import CallHandler
from sapphirerock.request.streamcall import StreamCall
from sapphirerock.request.turntaker import TurnTaker
from sapphirerock.version.engineentry import EngineEntry

VERSIONS = ("v1", "v2")
ENGINES = 6
# Tries that a host answers; connections that are refused while hosts start don't count.
TRIES = 8
TAKE_UP_S = 15.0
RETRY_DELAY_S = 0.2
CALL_TIMEOUT_MS = 20_000
# Time after which all streams have begun.
BEGUN_S = 1.0
# An engine that starts again has replaced its registration within this time.
MAX_START_S = 6.0
TROUBLES = {}


def register_trouble(text):
    """Register the coroutine function that makes trouble while streams run."""

    def register(function):
        TROUBLES[text] = function
        return function

    return register


@given(
    "a shared platform with {edges:d} edges and {engines:d} model engines, three of "
    "each of two versions"
)
def start_versions(context, edges, engines):
    async def run():
        world = context.world
        world.cluster = cluster = SharedCluster("versions")
        cluster.add_platform()
        await cluster.wait_ready("platform")
        for number in range(edges):
            cluster.plan_edge(f"edge-{number}", *ZONES[number % len(ZONES)])
        for number in range(engines):
            cluster.add_shared_engine(
                f"model-{number}",
                "model",
                ZONES[number % len(ZONES)][0],
                version=VERSIONS[number // (engines // 2)],
            )
        cluster.add_shared_engine("shop-0", "shop", ZONES[0][0])
        await cluster.put_configuration(make_configuration())
        for name in cluster.edges:
            cluster.start_edge(name)
        await cluster.wait_edges_ready()
        await world.wait_until(
            lambda: has_engines(context, engines + 1), "engines are known"
        )

    context.run(run())


@register_trouble("two engines crash")
async def crash_engines(context):
    """Crash an engine of each version."""
    for name in ("model-0", "model-4"):
        await context.world.cluster.inject(name, "crash")


@register_trouble("two engines of one version crash")
async def crash_version(context):
    for name in ("model-0", "model-1"):
        await context.world.cluster.inject(name, "crash")


@register_trouble("two engines of one version crash and start again as another")
async def replace_version(context):
    for name in ("model-0", "model-1"):
        await context.world.cluster.inject(name, "next-version", manner=VERSIONS[1])
        await context.world.cluster.inject(name, "crash")


@register_trouble("an engine starts again under its id as another version")
async def restart_under_id(context):
    """Crash the engine of a version and the engine that would take its streams."""
    cluster = context.world.cluster
    await cluster.inject("model-0", "keep-id")
    await cluster.inject("model-0", "next-version", manner=VERSIONS[1])
    await cluster.inject("model-0", "down-for", seconds=0.1)
    await cluster.inject("model-0", "crash")
    await asyncio.sleep(0.25)
    # The registrations of the first are up to a heartbeat old.
    await cluster.inject("model-1", "crash")


async def kill_hosts(context, count):
    for number in range(count):
        context.world.cluster.processes[f"edge-{number}"].kill()


@register_trouble("three hosts are killed")
async def kill_three_hosts(context):
    await kill_hosts(context, 3)


@register_trouble("three hosts are killed and an engine crashes")
async def kill_hosts_and_engine(context):
    await kill_hosts(context, 3)
    await context.world.cluster.inject("model-0", "crash")


@register_trouble("five hosts are killed")
async def kill_five_hosts(context):
    await kill_hosts(context, 5)


@register_trouble("three hosts are killed and start again")
async def restart_three_hosts(context):
    """Kill half of the hosts; then the others, when the first serve again."""
    cluster = context.world.cluster
    first, others = ("edge-0", "edge-1", "edge-2"), ("edge-3", "edge-4", "edge-5")
    await kill_hosts(context, 3)
    for name in first:
        cluster.start_edge(name)
    await cluster.wait_edges_ready(*first)
    await asyncio.sleep(0.3)
    for name in others:
        cluster.processes[name].kill()


async def wait_until_replaced(cluster, version):
    """Wait until no model engine of a version is registered in the store."""
    deadline_s = time.monotonic() + MAX_START_S
    while True:
        specs = [item["spec"] for item in await cluster.list_objects(ENGINES_KIND)]
        models = [spec["version"] for spec in specs if spec["service"] == "model"]
        if version not in models:
            return
        assert time.monotonic() < deadline_s, models
        await asyncio.sleep(0.1)


@register_trouble("all hosts are killed while the engines of one version are replaced")
async def replace_version_without_hosts(context):
    """Start the hosts again when no engine of the first version is registered."""
    cluster = context.world.cluster
    await kill_hosts(context, len(cluster.edges))
    for number in range(3):
        await cluster.inject(f"model-{number}", "keep-id")
    await lose_version(context)
    await wait_until_replaced(cluster, VERSIONS[0])
    for name in cluster.edges:
        cluster.start_edge(name)


class PersistentCaller:
    """Caller that takes its stream up at other hosts when a connection breaks.

    Parameters
    ----------
    cluster : SharedCluster
        Edges to call.
    number : int
        Number of the stream, which selects the first edge.
    event_count : int
        Number of events of the whole stream.

    Attributes
    ----------
    events : list of int
        Ids of the events received, over all tries.
    first_attempt_id : str
        Id of the attempt that brought the first event; empty before.
    was_cut_off : bool
        Whether a try ended before the last event.
    statuses : list of int
        Status of each try; 0 without a response.
    refused_s : float
        Longest time from sending a try to its refusal, in seconds.
    """

    def __init__(self, cluster, number, event_count):
        self.events = []
        self.first_attempt_id = ""
        self.was_cut_off = False
        self.statuses = []
        self.refused_s = 0.0
        self._cluster = cluster
        self._number = number
        self._event_count = event_count

    @property
    def is_complete(self):
        """Whether all events have arrived, once and in order."""
        return self.events == list(range(1, self._event_count + 1))

    async def run(self):
        """Read the stream, over several tries."""
        names = list(self._cluster.edges)
        deadline_s = time.monotonic() + TAKE_UP_S
        for attempt in itertools.count():
            name = names[(self._number + attempt) % len(names)]
            if attempt:
                # A host that is not running refuses the connection.
                running = [
                    name for name in names if self._cluster.processes[name].is_running
                ] or names
                name = running[(self._number + attempt) % len(running)]
            await self._try(self._cluster.edges[name], 1000 * attempt + self._number)
            answered = len(self.statuses) - self.statuses.count(0)
            if len(self.events) >= self._event_count or answered >= TRIES:
                return
            if time.monotonic() > deadline_s:
                return
            self.was_cut_off = True
            await asyncio.sleep(RETRY_DELAY_S)

    async def _try(self, edge, attempt_number):
        extra = []
        if self.events:
            extra = [
                ("Last-Event-Id", str(self.events[-1])),
                ("Resumes", self.first_attempt_id),
            ]
        headers = make_headers(
            attempt_number, self._event_count, *extra, timeout_ms=CALL_TIMEOUT_MS
        )
        response = RawResponse()
        sent_s = time.monotonic()
        try:
            async with RawConnection(edge) as connection:
                target = f"/review/{self._number}"
                connection.send("POST", target, headers, b"pattern")
                await connection.read_head(response)
                while (
                    response.status == 200 and len(response.events) < self._event_count
                ):
                    await connection.read_chunk(response)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        self.statuses.append(response.status)
        if response.status != 200:
            self.refused_s = max(self.refused_s, time.monotonic() - sent_s)
            return
        if response.events and not self.first_attempt_id:
            self.first_attempt_id = f"{attempt_number:016x}"
        self.events += response.events


@when(
    "{count:d} streams of {events:d} events run, {trouble}, and their callers take up "
    "what breaks"
)
def run_streams(context, count, events, trouble):
    async def run():
        cluster = context.world.cluster
        context.callers = [
            PersistentCaller(cluster, number, events) for number in range(count)
        ]
        tasks = [asyncio.ensure_future(caller.run()) for caller in context.callers]
        await asyncio.sleep(BEGUN_S)
        await TROUBLES[trouble](context)
        await asyncio.gather(*tasks)
        context.runs = [
            run
            for runs in (await cluster.list_runs(waits=True)).values()
            for run in runs
        ]

    context.run(run())


@then("each stream has events of one version only")
def check_versions(context):
    versions = defaultdict(set)
    for run in context.runs:
        if run["first_event"] and run["events"] >= run["first_event"]:
            stream = run["headers"].get("Resumes", run["attempt_id"])
            versions[stream].add(run["version"])
    mixed = sorted(stream for stream, found in versions.items() if len(found) > 1)
    assert not mixed, f"{len(mixed)} of {len(versions)} streams: {mixed}"


@then("at least {share:g} of the streams that were cut off are complete")
def check_share(context, share):
    cut_off = [caller for caller in context.callers if caller.was_cut_off]
    complete = sum(caller.is_complete for caller in cut_off)
    assert complete >= share * len(cut_off), (
        complete,
        len(cut_off),
        [caller.statuses for caller in cut_off if not caller.is_complete],
    )
    lost = [caller.statuses for caller in context.callers if not caller.is_complete]
    assert len(lost) <= (1 - share) * len(context.callers), lost


@register_trouble("all engines of one version crash and start again as another")
async def lose_version(context):
    cluster = context.world.cluster
    for number in range(3):
        await cluster.inject(f"model-{number}", "next-version", manner=VERSIONS[1])
    for number in range(3):
        await cluster.inject(f"model-{number}", "crash")


@register_trouble("all hosts are killed and start again")
async def restart_all_hosts(context):
    cluster = context.world.cluster
    await kill_hosts(context, len(cluster.edges))
    for name in cluster.edges:
        cluster.start_edge(name)


@when("the engines of the second version leave, and are forgotten")
def remove_second_version(context):
    """Replace the engines of the second version by engines of the first."""

    async def run():
        cluster = context.world.cluster
        for number in range(3, ENGINES):
            name = f"model-{number}"
            await cluster.inject(name, "next-version", manner=VERSIONS[0])
            await cluster.inject(name, "keep-id")
            await cluster.inject(name, "crash")
        await wait_until_replaced(cluster, VERSIONS[1])
        # Hosts and the store remember versions for longer than this scenario runs.
        for name in cluster.edges:
            cluster.processes[name].kill()
        await cluster.delete_objects(ENGINE_VERSIONS_KIND)
        for name in cluster.edges:
            cluster.start_edge(name)
        await cluster.wait_edges_ready()
        await context.world.wait_until(
            lambda: has_engines(context, ENGINES + 1), "engines are known"
        )

    context.run(run())


@then(
    "the streams of {ending} ended incomplete within {bound:g} seconds, the others are "
    "complete"
)
def check_ended(context, ending, bound):
    version_by_stream = {
        run["attempt_id"]: run["version"]
        for run in context.runs
        if run["first_event"] == 1
    }
    for caller in context.callers:
        version = version_by_stream[caller.first_attempt_id]
        if ending == "all versions" or version == VERSIONS[0]:
            assert not caller.is_complete
            assert caller.refused_s <= bound, (caller.refused_s, caller.statuses)
        else:
            assert caller.is_complete, caller.statuses


def parse_origin(text):
    return None if text == "nothing" else StreamOrigin(*text.split())


@when(
    "a caller takes up a stream recorded at {recorded} and {candidates} can have begun "
    "it"
)
def take_up_stream(context, recorded, candidates):
    texts = set(candidates.split(", "))
    are_all_known = "perhaps others" not in texts
    origins = {parse_origin(text) for text in texts - {"perhaps others"}} - {None}
    context.choice = choose_origin(parse_origin(recorded), origins, are_all_known)


@then("it goes on at {origin}, because of: {reason}")
def check_origin(context, origin, reason):
    assert context.choice == OriginChoice(parse_origin(origin), reason), context.choice


PROMPT = Prompt("m", 1_000, 100)
ENGINE_MEMORY = 5_000


def make_version_view(text):
    """Return the view of an engine that a text such as ``a v1 full`` describes."""
    name, version, *state = text.split()
    prompt_tokens = {"queued": 2_000, "one": 1_000, "two": 2_000}
    runs = {"one": 1, "two": 2}
    key = state[0] if state else ""
    return EngineView(
        name=name,
        availability_zone="zone-a",
        slots=16,
        prompt_tokens=prompt_tokens.get(key, 0),
        runs=runs.get(key, 0),
        memory_tokens=ENGINE_MEMORY if state == ["full"] else 0,
        copy_tokens=0,
        capacity_tokens=ENGINE_MEMORY,
        version=version,
    )


@when("a stream begins while engines are: {engines}")
def begin_stream(context, engines):
    texts = engines.split(", ")
    draining = Counter(text.split()[1] for text in texts if text.endswith("draining"))
    views = [make_version_view(text) for text in texts if "draining" not in text]
    context.views = prefer_lasting_versions(views, draining, PROMPT)


@then("it may begin on {chosen}")
def check_chosen(context, chosen):
    assert [view.name for view in context.views] == chosen.split(", "), context.views


@when("a stream that began on a is taken up while engines are: {engines}")
def place_taken_up(context, engines):
    views = [make_version_view(text) for text in engines.split(", ")]
    policy = PLACEMENTS["least-prompt-tokens"](Random(1))
    context.view = policy.choose(mark_cached_prompt(views, "a", PROMPT), PROMPT)


@then("it goes on at engine {chosen}")
def check_taken_up(context, chosen):
    assert context.view.name == chosen, context.view


@given("a host whose checks of engines take a while")
def make_checking_host(context):
    clock = ManualClock()
    engines = EngineTable(lambda name, spec: Ok(spec), clock, EdgeMetrics())
    for name in ("a", "b", "c", "d"):
        entry = EngineEntry(name, "chat", f"{name}:1", "zone-a", 16, version="v1")
        engines.apply_changes([ReplicaChange(name, 1, entry)])
    settings = SimpleNamespace(
        engine=SimpleNamespace(supports_backups=True, memory_tokens=ENGINE_MEMORY)
    )
    routing = SimpleNamespace(current=SimpleNamespace(services={"chat": settings}))
    policy = PLACEMENTS["least-prompt-tokens"](Random(1))

    async def probe_and_confirm(entry, timeout_s):
        await asyncio.sleep(0.05)
        return SimpleNamespace(outcome=None, shows_running=True, shows_start=True)

    context.runtime = SimpleNamespace(
        clock=clock,
        fleet=Fleet(engines, routing, policy, "zone-a", clock),
        paths=SimpleNamespace(probe_and_confirm=probe_and_confirm),
        version_history=SimpleNamespace(knows_all=lambda: False),
        crash_watch=None,
    )


@when("callers take up four streams of v1 together, while four engines of it are idle")
def take_up_together(context):
    async def place(number):
        call = SimpleNamespace(
            service="chat",
            metadata=SimpleNamespace(
                prompt=PROMPT, attempt_id=f"attempt-{number}", last_event_id=1
            ),
            route=SimpleNamespace(name="route", target_latency_s=1.0),
            priority=0,
            response_deadline_s=20.0,
            origin=StreamOrigin("chat", "v1"),
        )
        stream = StreamCall(context.runtime, call, None)
        return await stream._place_resumption(TurnTaker(context.runtime, call))

    async def place_all():
        return await asyncio.gather(*map(place, range(4)))

    context.placements = context.run(place_all())


@then("each of the four goes on at another engine")
def check_spread(context):
    names = sorted(placement.state.name for placement in context.placements)
    assert names == ["a", "b", "c", "d"], names


def make_fleet(versions):
    """Return a fleet of engines whose names and versions are given."""
    clock = ManualClock()
    engines = EngineTable(lambda name, spec: Ok(spec), clock, EdgeMetrics())
    for name, version in versions:
        entry = EngineEntry(name, "chat", f"{name}:1", "zone-a", 16, version=version)
        engines.apply_changes([ReplicaChange(name, 1, entry)])
    settings = SimpleNamespace(
        engine=SimpleNamespace(supports_backups=True, memory_tokens=ENGINE_MEMORY)
    )
    routing = SimpleNamespace(current=SimpleNamespace(services={"chat": settings}))
    return Fleet(engines, routing, None, "zone-a", clock)


@when("backups are chosen for streams of v1 while only engines of v2 have free memory")
def choose_backup(context):
    fleet = make_fleet((("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")))
    fleet.engines.get("b").local_load.memory_tokens = ENGINE_MEMORY
    call = SimpleNamespace(service="chat", metadata=SimpleNamespace(prompt=PROMPT))
    context.backup = fleet.choose_backup_engine(call, fleet.engines.get("a"))


@given("{count:d} engines of one version, all of them idle")
def start_idle_engines(context, count):
    context.fleet = make_fleet([(name, "v1") for name in "abcdef"[:count]])


@when("a call runs on {runs} in turn")
def run_in_turn(context, runs):
    metadata = SimpleNamespace(attempt_id="1", last_event_id=None, prompt=PROMPT)
    call = SimpleNamespace(
        service="chat",
        metadata=metadata,
        origin=None,
        route=SimpleNamespace(name="review"),
    )
    runtime = SimpleNamespace(fleet=context.fleet, clock=ManualClock())
    stream = StreamCall(runtime, call, None)
    context.backups = [
        (name, stream._choose_backup(context.fleet.engines.get(name)))
        for name in runs.split(", ")
    ]


@then(
    "{copies:d} copies are kept, each at another engine than the run and the other "
    "copies"
)
def check_copies_apart(context, copies):
    found = [backup.name for _, backup in context.backups if backup is not None]
    assert len(found) == len(set(found)) == copies, found
    assert all(
        backup is None or backup.name != name for name, backup in context.backups
    ), context.backups


@then("no engine is chosen")
def check_no_backup(context):
    assert context.backup is None, context.backup


class ObjectStore:
    """Store of one kind of objects, in memory."""

    def __init__(self):
        self.on_restore = []
        self._objects = {}
        self._revision = 0

    async def list_all(self, kind):
        """Return all objects."""
        return Ok(ObjectPage(tuple(self._objects.values()), False, self._revision))

    async def create(self, kind, name, spec):
        """Create an object that must not exist yet."""
        if name in self._objects:
            return Error(StoreConflict(self._objects[name]))
        self._revision += 1
        self._objects[name] = StoredObject(name, self._revision, spec)
        return Ok(self._objects[name])

    async def delete(self, kind, name, revision):
        """Delete an object that must still have the given revision."""
        found = self._objects.get(name)
        if found is None:
            return Error(ObjectMissing(name))
        if found.revision != revision:
            return Error(StoreConflict(found))
        del self._objects[name]
        return Ok(None)


class VersionHost:
    """Host that knows another one, and keeps the versions of engines in a store."""

    def __init__(self, name, other, clock, store):
        self.clock = clock
        self.contact_age_s = 0.0
        own, peer = (
            HostAddress(host, "zone-a", "r", "127.0.0.1", 1, 2)
            for host in (name, other)
        )
        self.hosts = HostTable(own, (), clock)
        self.hosts.update_from_handshake(peer)
        self.other = other
        self.engines = EngineTable(lambda name, spec: Ok(spec), clock, EdgeMetrics())
        feed = SimpleNamespace(
            measure_age_s=lambda kind: self.contact_age_s,
            has_heard_from_peers=lambda since_s: True,
        )
        self.history = VersionHistory(self.engines, feed, self.hosts, store, clock)

    def set_versions(self, versions, revision):
        """Register an engine of each version, and remove the others."""
        for number, version in enumerate(VERSIONS):
            entry = EngineEntry(
                version, "chat", f"e:{number}", "zone-a", 16, version=version
            )
            spec = entry if version in versions else None
            self.engines.apply_changes([ReplicaChange(version, revision, spec)])


SITUATIONS = {
    # Uptime, whether the store was read, time since the last contact with it, whether
    # the other host can be reached, and whether it has shut down.
    "has just started": (0, False, 0, True, False),
    "has just started and read the store": (0, True, 0, True, False),
    "has run for a minute": (61, False, 0, True, False),
    "lost the store 2 seconds ago, and can't reach the other": (
        61,
        True,
        2,
        False,
        False,
    ),
    "lost the store 4 seconds ago, and can't reach the other": (
        61,
        True,
        4,
        False,
        False,
    ),
    "lost the store 2 minutes ago, and can't reach the other": (
        200,
        True,
        120,
        False,
        False,
    ),
    "lost the store 4 seconds ago, and reaches the other": (61, True, 4, True, False),
    "lost the store 4 seconds ago, and can't reach the other, which shut down": (
        61,
        True,
        4,
        False,
        True,
    ),
}


@given("one of two hosts {situation}")
def make_version_host(context, situation):
    uptime_s, was_read, contact_age_s, is_reached, is_stopped = SITUATIONS[situation]
    context.host = host = VersionHost("a", "b", ManualClock(), ObjectStore())
    if was_read:
        context.run(host.history.load())
    host.clock.advance(uptime_s - contact_age_s)
    if not is_reached:
        host.hosts.mark_dead(host.other)
    if is_stopped:
        host.hosts.mark_shutting_down(host.other)
    host.clock.advance(contact_age_s)
    host.contact_age_s = contact_age_s


@then("it {knows} all versions of engines")
def check_knows_all(context, knows):
    assert context.host.history.knows_all() == (knows == "knows")


class AnsweringStore:
    """Store that answers watches of engines in the manner described."""

    def __init__(self, manner):
        self.on_restore = []
        self._manner = manner

    async def list_all(self, kind):
        """Fail, as after a watch that has failed."""
        return Error(StoreUnavailable("refused", may_have_run=False))

    async def watch(self, kind, revision, wait_s):
        """Return the changes after a revision."""
        if self._manner == "is silent":
            await asyncio.sleep(5.0)
        if self._manner == "fails":
            return Error(StoreUnavailable("refused", may_have_run=False))
        events = ()
        if self._manner.endswith("v2"):
            item = StoredObject("e2", revision + 1, {"version": "v2"})
            events = (ObjectEvent(item, False),)
        return Ok(ObjectEvents(events, revision + 1))


def decode_engine(name, spec):
    """Decode the registration of an engine that states its version only."""
    return Ok(
        EngineEntry(name, "chat", f"{name}:1", "zone-a", 16, version=spec["version"])
    )


class FeedPeers:
    """Streams to one peer, in place of a `PeerTable`."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.streams = {}
        self.on_heartbeat, self.view_sources = [], []

    def register_handler(self, message_type, handler):
        """Take no messages."""

    def is_hub(self, host):
        """Return that no host is a hub."""
        return False

    def connect(self, host, heard_s):
        """Connect to a host that was heard at a time."""
        self.streams[host] = SimpleNamespace(
            host=host,
            last_received_s=heard_s,
            accepts_packed=False,
            hello=SimpleNamespace(availability_zone="zone-a"),
            send=lambda message: 0,
        )

    def send_to(self, streams, message, kind):
        """Send a message on several streams."""
        send_to_each(streams, message, kind)


class RefreshingHost:
    """Host with a feed of engines from a store and a peer."""

    def __init__(self, store_manner, peer_manner):
        self.clock = SystemClock()
        own, peer = (
            HostAddress(host, "zone-a", "r", "127.0.0.1", 1, 2) for host in ("a", "b")
        )
        hosts = HostTable(own, (), self.clock)
        hosts.update_from_handshake(peer)
        self.peers = FeedPeers(hosts)
        if peer_manner != "is not connected":
            self.peers.connect("b", self.clock.monotonic())
        self.engines = EngineTable(decode_engine, self.clock, EdgeMetrics())
        replica = Replica(ENGINES_KIND)
        replica.subscribe(self.engines.apply_changes)
        store = AnsweringStore(store_manner)
        kinds = [ReplicatedKind(replica)]
        self.feed = ObjectFeed(store, kinds, self.peers, self.clock, Random(0))
        replica.apply(0, 7, [ReplicaChange("e1", 5, {"version": "v1"})], ["e1"])
        self.history = VersionHistory(self.engines, self.feed, hosts, store, self.clock)


@given("a host that {situation}, whose store {store} and whose peer {peer}")
def make_refreshing_host(context, situation, store, peer):
    async def run():
        context.host = RefreshingHost(store, peer)
        context.host.history._is_loaded = situation == "knows v1"

    context.run(run())
    context.peer_manner = peer


@when("it is asked whether the versions that it knows are all")
def confirm_versions(context):
    async def run():
        host = context.host
        await asyncio.sleep(0.01)
        asked = asyncio.ensure_future(host.history.confirm_all())
        if context.peer_manner == "is heard later":
            await asyncio.sleep(0.4)
            host.peers.streams["b"].last_received_s = host.clock.monotonic()
        context.confirms = await asked

    context.run(run())


@then("it {confirms} that they are, and knows {versions}")
def check_confirmed(context, confirms, versions):
    assert context.confirms == (confirms == "confirms"), context.confirms
    assert context.host.engines.list_versions("chat") == set(versions.split(", "))


@given("its last contact with the store was {age:g} s ago")
def set_contact(context, age):
    host = context.host
    state = host.feed._states[ENGINES_KIND]
    state.contact_at_s = host.clock.monotonic() - age


@when("a caller takes up a stream that began at another host")
def take_up_elsewhere(context):
    host, records = context.host, {}
    runtime = SimpleNamespace(
        fleet=SimpleNamespace(engines=host.engines),
        stream_origins=SimpleNamespace(find=records.get),
        version_history=host.history,
    )
    handler = CallHandler(runtime, None)
    route = SimpleNamespace(shares=[SimpleNamespace(service="chat", weight=1)])
    metadata = SimpleNamespace(
        attempt_id="2", resumed_attempt_id="1", last_event_id=7, takes_up_stream=True
    )

    async def run():
        await asyncio.sleep(0.01)
        choosing = asyncio.ensure_future(handler._choose_origin(route, metadata))
        if context.peer_manner.endswith("later"):
            await asyncio.sleep(0.4)
            host.peers.streams["b"].last_received_s = host.clock.monotonic()
        if context.peer_manner.startswith("sends a record"):
            records["1"] = StreamOrigin("chat", "v2")
        context.choice = await choosing

    context.run(run())


@then("the stream is refused")
def check_take_up_refused(context):
    assert context.choice.origin is None, context.choice


@then("the stream goes on at {version}")
def check_take_up_version(context, version):
    assert context.choice.origin == StreamOrigin("chat", version), context.choice


# Peers close connections on which nothing came for 2 s, so that no change waits there
# for the host that stands still.
STANDSTILL_S = 2.6
NEW_ENGINES = 2


class LaterCaller(PersistentCaller):
    """Caller that takes its stream up at one host, and may not name its attempt.

    Parameters
    ----------
    names_attempt : bool
        Whether the caller names the attempt that began the stream.
    """

    def __init__(self, cluster, number, event_count, names_attempt):
        super().__init__(cluster, number, event_count)
        self.begun_attempt_id = ""
        self._names_attempt = names_attempt

    async def begin(self, edge):
        """Read the stream until its host is gone."""
        await self._try(edge, self._number)
        self.begun_attempt_id = self.first_attempt_id
        if not self._names_attempt:
            self.first_attempt_id = ""

    async def take_up(self, edge):
        """Take the stream up until it is complete or was refused often."""
        for attempt in range(1, TRIES):
            if not self.events or self.is_complete:
                return
            await self._try(edge, 1000 * attempt + self._number)
            if not self._names_attempt:
                self.first_attempt_id = ""
            await asyncio.sleep(RETRY_DELAY_S)


@given("a shared platform with {edges:d} edges and {engines:d} model engines of v1")
def start_one_version(context, edges, engines):
    context.run(start_cluster(context, edges, engines, zones=3, slots=64))


@when(
    "a host stands still while engines of v2 join and streams begin at them, and takes "
    "these up as it wakes, {store}, from callers that {callers}"
)
def stand_still(context, store, callers):
    names_attempt = callers.startswith("name")

    async def run():
        cluster = context.world.cluster
        sleeper, begun_at = cluster.edges["edge-0"], cluster.edges["edge-1"]
        cluster.processes["edge-0"].pause()
        await asyncio.sleep(STANDSTILL_S)
        for number in range(NEW_ENGINES):
            cluster.add_shared_engine(
                f"model-new-{number}", "model", "zone-b", version="v2"
            )
        await context.world.wait_until(
            lambda: has_registered(cluster, "v2", NEW_ENGINES), "v2 is registered"
        )
        await asyncio.sleep(0.5)
        context.callers = [
            LaterCaller(cluster, number, 150, names_attempt) for number in range(24)
        ]
        begun = [
            asyncio.ensure_future(item.begin(begun_at)) for item in context.callers
        ]
        await asyncio.sleep(BEGUN_S)
        cluster.processes["edge-1"].kill()
        await asyncio.gather(*begun)
        if store != "with the store":
            await cluster.inject(
                "platform", "down", manner="silent", seconds=3, source=sleeper.address
            )
        taken_up = [
            asyncio.ensure_future(item.take_up(sleeper)) for item in context.callers
        ]
        # The requests wait for the host before it wakes.
        await asyncio.sleep(0.3)
        cluster.processes["edge-0"].resume()
        await asyncio.gather(*taken_up)
        by_engine = await cluster.list_runs()
        context.runs = [run for runs in by_engine.values() for run in runs]
        begun_ids = {
            f"{item._number:016x}": item.begun_attempt_id for item in context.callers
        }
        for run in context.runs:
            # Without the name, the number of the stream is that of the attempt.
            first_id = f"{int(run['attempt_id'], 16) % 1000:016x}"
            run["headers"].setdefault("Resumes", begun_ids.get(first_id, first_id))

    context.run(run())


async def has_registered(cluster, version, count):
    """Return whether a number of engines of a version is registered in the store."""
    specs = [item["spec"] for item in await cluster.list_objects(ENGINES_KIND)]
    return sum(spec["version"] == version for spec in specs) >= count


@then("some of the streams began at {version}")
def check_some_began(context, version):
    begun = [
        run
        for run in context.runs
        if run["first_event"] == 1 and run["version"] == version and run["events"]
    ]
    assert begun, Counter(run["version"] for run in context.runs)


@given("two hosts that see engines of v1 and v2, and keep their versions in the store")
def make_version_hosts(context):
    context.clock, context.store = ManualClock(), ObjectStore()
    context.hosts = [
        VersionHost(name, other, context.clock, context.store)
        for name, other in (("a", "b"), ("b", "a"))
    ]
    for host in context.hosts:
        context.run(host.history.load())
        host.set_versions(VERSIONS, 1)
        context.run(host.history.update())


@when("the engines of v2 leave")
def remove_versions(context):
    for host in context.hosts:
        host.set_versions(VERSIONS[:1], 2)


@then("a host that starts a second later knows v1 and v2, and one a minute later v1")
def check_started_hosts(context):
    for passed_s, expected in ((1.0, {"v1", "v2"}), (60.0, {"v1"})):
        context.clock.advance(passed_s)
        for host in context.hosts:
            # A deletion by one host may leave the other a version that is new to it.
            context.run(host.history.update())
        started = VersionHost("c", "a", context.clock, context.store)
        context.run(started.history.load())
        assert started.engines.list_versions("chat") == expected


class OriginHost:
    """Host with a table of origins and queues in place of streams."""

    def __init__(self, name, zone, clock, unknown_views=()):
        self.zone_hubs = [f"{zone}-1"]
        self.unknown_views = unknown_views
        self.streams = {}
        self.on_support = []
        self.handlers = {}
        self.known_hosts = {}
        self.hosts = SimpleNamespace(
            own_address=SimpleNamespace(host=name, availability_zone=zone),
            find=self.known_hosts.get,
            list_capacity_classes=dict,
        )
        self.table = StreamOriginTable(self, clock)

    def register_handler(self, message_type, handler):
        """Register the handler of a message type."""
        self.handlers[message_type] = handler

    def announce_support(self, view, notify):
        """Register what is sent first on a stream."""
        if view not in self.unknown_views:
            self.on_support.append((view, notify))

    @property
    def known_views(self):
        """Names of the views that this host announces."""
        return [view for view, _ in self.on_support]

    def is_hub(self, host):
        """Return whether a host is the hub of its zone."""
        return host.endswith("-1")

    def count_bytes(self, stream, kind, size):
        """Ignore the size of a message."""

    def send_to(self, streams, message, kind):
        """Send a message on several streams."""
        send_to_each(streams, message, kind)


class OriginStream:
    """Stream that delivers at once, and counts the records that it carries."""

    def __init__(self, sender, receiver, counter):
        self.host = receiver.hosts.own_address.host
        self.hello = receiver.hosts.own_address
        self.known_views = set()
        self._sender, self._receiver, self._counter = sender, receiver, counter

    def send(self, message):
        """Deliver a message to the other end; return its size."""
        for _, _, _, keys, *_ in message.groups:
            for start in range(0, len(keys), 8):
                self._counter[keys[start : start + 8]] += 1
        back = self._receiver.streams[self._sender.hosts.own_address.host]
        self._receiver.handlers[type(message)](back, message)
        return 0


def connect_hosts(context, first, second):
    for sender, receiver in ((first, second), (second, first)):
        address = receiver.hosts.own_address
        sender.known_hosts[address.host] = address
        sender.streams[address.host] = OriginStream(sender, receiver, context.sent)
    for sender, receiver in ((first, second), (second, first)):
        stream = sender.streams[receiver.hosts.own_address.host]
        known = set(receiver.known_views) & set(sender.known_views)
        stream.known_views.update(known)
        for view, notify in sender.on_support:
            if view in stream.known_views:
                notify(stream)


@given("two hosts of a zone and one of another zone that exchange origins")
def make_origin_hosts(context):
    context.sent = Counter()
    context.clock = ManualClock()
    context.hosts = [
        OriginHost(name, name[0], context.clock) for name in ("a-1", "a-2", "b-1")
    ]
    connect_hosts(context, context.hosts[0], context.hosts[1])
    connect_hosts(context, context.hosts[0], context.hosts[2])


@when("a stream begins on each host, and a host starts later")
def begin_on_each(context):
    for number, host in enumerate(context.hosts):
        origin = StreamOrigin("chat", "v1", f"engine-{number}")
        host.table.record(f"attempt-{number}", origin, 20.0)
    for _ in range(3):
        for host in context.hosts:
            host.table.send_pending()
    late = OriginHost("b-2", "b", context.clock)
    connect_hosts(context, context.hosts[2], late)
    context.hosts.append(late)


@then("every host knows where each stream began, until the caller's deadline")
def check_known(context):
    for expected in (StreamOrigin("chat", "v1"), None):
        found = [
            host.table.find(f"attempt-{number}")
            for host in context.hosts
            for number in range(3)
        ]
        assert found == [expected] * 12, found
        context.clock.advance(30.0)


@given("a host that exchanges origins with one of an earlier build without {views}")
def make_mixed_hosts(context, views):
    context.sent = Counter()
    context.clock = ManualClock()
    earlier = OriginHost("a-2", "a", context.clock, views.split(" and "))
    context.hosts = [OriginHost("a-1", "a", context.clock), earlier]
    connect_hosts(context, *context.hosts)


@when("a stream begins on each of the two")
def begin_on_both(context):
    for number, host in enumerate(context.hosts):
        backup = KvBackup(f"copy-{number}", f"attempt-{number}", make_content(number))
        origin = StreamOrigin("chat", "v1", f"engine-{number}", backup)
        host.table.record(f"attempt-{number}", origin, 20.0)
    context.hosts[0].table.send_pending()


def make_content(number):
    return bytes([number]) * CONTENT_BYTES


@then("each host knows these KV copies of the streams: {copies}")
def check_copies_known(context, copies):
    backups = [
        host.table.find(f"attempt-{number}").kv_backup
        for host in context.hosts
        for number in range(2)
    ]
    found = [backup.engine if backup else "none" for backup in backups]
    assert found == copies.split(", "), found


@when("records of one stream reach a hub in this order: {records}")
def receive_records(context, records):
    hub = context.hosts[0].table
    for changes in map(int, records.split(", ")):
        backup = KvBackup(f"copy-{changes}", "attempt-0", make_content(0))
        origin = StreamOrigin("chat", "v1", "engine-0", backup)
        record = OriginRecord(origin, context.clock.monotonic() + 20.0, changes)
        if record.is_newer(hub._records.get(make_key("attempt-0"))):
            hub._store(make_key("attempt-0"), record)
            hub._add_pending(
                context.hosts[0].hosts.own_address.host, make_key("attempt-0")
            )
        for _ in range(3):
            for host in context.hosts:
                host.table.send_pending()


@then("every host has the record {newest:d} of the stream")
def check_newest_record(context, newest):
    backups = [host.table.find("attempt-0").kv_backup for host in context.hosts]
    found = [backup.engine for backup in backups]
    assert found == [f"copy-{newest}"] * len(context.hosts), found


@then("each host knows these engines of the streams: {engines}")
def check_engines_known(context, engines):
    found = [
        host.table.find(f"attempt-{number}").engine or "none"
        for host in context.hosts
        for number in range(2)
    ]
    assert found == engines.split(", "), found


@then("every host knows the engine that began each stream")
def check_all_engines_known(context):
    for host in context.hosts:
        engines = [host.table.find(f"attempt-{number}").engine for number in range(3)]
        assert engines == ["engine-0", "engine-1", "engine-2"], engines


@then("no record was sent more than {count:d} times")
def check_sent(context, count):
    assert max(context.sent.values()) <= count, context.sent


@when("{count:d} streams with KV copies begin on it, and {ending}")
def begin_and_end(context, count, ending):
    table = context.host.table
    for number in range(count):
        backup = KvBackup("copy", f"attempt-{number}", make_content(number))
        origins = [StreamOrigin("chat", "v1", "engine", backup)]
        if "copies are lost" in ending:
            origins.append(StreamOrigin("chat", "v1", "engine"))
        for origin in origins:
            table.record(f"attempt-{number}", origin, 20.0)
    if "time ends" in ending:
        context.clock.advance(21.0)
        table._drop_expired()


@then("it finds no KV copy and remembers the content of none")
def check_forgotten(context):
    table = context.host.table
    origin = table.find("attempt-0")
    assert origin is None or origin.kv_backup is None, origin
    assert not table._keys_by_content, table._keys_by_content


@given("a host that exchanges origins")
def make_origin_host(context):
    context.clock = ManualClock()
    context.host = OriginHost("a-1", "a", context.clock)


@when("one stream more begins on it than it can record")
def exceed_records(context):
    lines = []
    handler = logger.add(lines.append, format="{message} {extra[records]}")
    try:
        for number in range(MAX_RECORDS + 1):
            origin = StreamOrigin("chat", "v1")
            context.host.table.record(f"attempt-{number}", origin, 20.0)
        for _ in range(2):
            context.host.table.send_pending()
    finally:
        logger.remove(handler)
    context.log_lines = [line.strip() for line in lines]


@then("it knows where the last streams began, and not where the first did")
def check_oldest_dropped(context):
    found = [
        context.host.table.find(f"attempt-{number}") is not None
        for number in (0, 1, MAX_RECORDS)
    ]
    assert found == [False, True, True], found


@then("it has logged once that it dropped 1 record")
def check_drop_logged(context):
    assert context.log_lines == ["stream origins dropped 1"], context.log_lines


class RecordStore:
    """Store of the records of streams, with lost answers and failures."""

    def __init__(self):
        self.objects = {}
        self.writes = 0
        self.fault = ""
        self._revision = 1

    async def list_all(self, kind):
        """Return all objects."""
        return Ok(SimpleNamespace(objects=tuple(self.objects.values())))

    async def _write(self, name, spec):
        if self.fault == "fails":
            self.fault = ""
            return Error(StoreUnavailable("down", may_have_run=False))
        self.writes += 1
        self._revision += 1
        self.objects[name] = StoredObject(name, self._revision, spec)
        if self.fault == "lost":
            self.fault = ""
            return Error(StoreUnavailable("answer lost"))
        return Ok(self.objects[name])

    async def create(self, kind, name, spec):
        """Create an object that must not exist."""
        if name in self.objects:
            return Error(StoreConflict(self.objects[name]))
        return await self._write(name, spec)

    async def replace(self, kind, name, spec, revision):
        """Replace an object that must have a revision."""
        current = self.objects.get(name)
        if current is None or current.revision != revision:
            return Error(StoreConflict(current))
        return await self._write(name, spec)


def make_stored_origins(context, name):
    """Return the records of a host with the names of its store."""
    host = OriginHost(name, "zone-a", context.clock)
    host.hosts.list_live = lambda: []
    host.is_shutting_down = False
    versions = SimpleNamespace(list_versions=lambda service: context.versions)
    stored = StoredOrigins(host.table, versions, host, context.store, context.clock)
    return host, stored


@given("hosts that keep records of streams in the store")
def make_record_hosts(context):
    context.clock, context.store = ManualClock(), RecordStore()
    context.versions = {"v1"}
    context.host, context.stored = make_stored_origins(context, "a")


@when("these things happen: {events}")
def change_records(context, events):
    for event in events.split(", "):
        words = event.split()
        if words[0] == "stream":
            origin = StreamOrigin("chat", words[4], f"engine-{words[1]}")
            context.host.table.record(f"stream-{words[1]}", origin, 30.0)
        elif words[-1] == "appears":
            context.versions = context.versions | {words[0]}
        elif words[-1] in ("lost", "fails"):
            context.store.fault = words[-1]
        elif words[-1] == "written":
            context.store.objects["odd"] = StoredObject("odd", 1, {"groups": [[7]]})
        else:
            context.clock.advance(60.0 if "minute" in words else 1.0)
            context.run(context.stored.write_new())


@when(
    "engines of a second version appear, and a stream begins a quarter of a second "
    "before its host ends"
)
def begin_before_end(context):
    async def run():
        context.clock = SystemClock()
        host, stored = make_stored_origins(context, "a")
        context.versions = {"v1", "v2"}
        await stored.start()
        # Just after a write at the longest interval.
        await asyncio.sleep(MAX_WRITE_INTERVAL_S + 0.05)
        origin = StreamOrigin("chat", "v1", "engine-1")
        host.table.record("stream-1", origin, 30.0)
        await asyncio.sleep(0.25)
        await stored.stop()

    context.run(run())


@when("a write carries {records:d} records")
def set_records(context, records):
    context.records = records


@then("the next write follows after {interval:g} seconds")
def check_write_interval(context, interval):
    assert choose_write_interval_s(context.records) == interval


@then("a host that starts now knows the streams {known}, after {writes:d} writes")
def check_known_streams(context, known, writes):
    host, stored = make_stored_origins(context, "b")
    context.run(stored.load())
    found = set()
    for number in ("1", "2"):
        origin = host.table.find(f"stream-{number}")
        if origin is not None:
            assert origin.engine == f"engine-{number}", origin
            found.add(number)
    assert found == (set() if known == "none" else set(known.split(", "))), found
    assert context.store.writes == writes, context.store.writes
