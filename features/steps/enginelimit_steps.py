"""Steps on engines that state a limit on the requests that they accept."""

import asyncio
import time
from collections import Counter
from random import Random
from types import SimpleNamespace
from unittest.mock import Mock

from behave import given, then, when
from expression import Error, Ok
from multidict import CIMultiDict
from tools.rawclient import RawConnection
from tools.sharedcaller import make_headers
from tools.sharedcluster import SharedCluster, make_configuration

from features.steps.edge_steps import ZONES, has_engines
from sapphirerock.connection.errors import PeerUnavailable
from sapphirerock.connection.messages import TurnReply
from sapphirerock.connection.upstream import make_upstream_session
from sapphirerock.decisions.rendezvous import pick_candidate
from sapphirerock.decisions.turns import TurnSchedule, choose_max_wait
from sapphirerock.platform.dialect import PlatformDialect
from sapphirerock.process.clock import ManualClock, SystemClock
from sapphirerock.process.engines.limits import VIEW, EngineLimitTable
from sapphirerock.process.engines.paths import EnginePath
from sapphirerock.process.engines.table import EngineState, EngineTable
from sapphirerock.process.peers.gossip import EngineLimitUpdate
from sapphirerock.process.peers.table import PeerTable
from sapphirerock.process.replicas.replica import ReplicaChange
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics
from sapphirerock.request.backupkeeper import BackupKeeper
from sapphirerock.request.turntaker import TurnTaker
from sapphirerock.version.engineentry import EngineEntry

LIMITS_PER_S = (2.5, 2.0, 1.5)
# From this time after an engine first states its limit, all hosts keep to it.
CONTACT_S = 4.0
WINDOW_S = 4.0
BURST_RATIO, BURST_SLACK = 1.5, 5
REFUSED_STATUSES = (429, 503)
EDGES_STARTED_TOGETHER = 8
SILENCE_PERIOD_S, SILENCE_S, SILENCES = 3.7, 1.2, 4
TROUBLES = {}


def register_trouble(text):
    """Register the coroutine function that makes trouble during the load."""

    def register(function):
        TROUBLES[text] = function
        return function

    return register


async def start_in_waves(context, name, edges, **options):
    """Start edges, a few at a time, and an engine of each service in each zone.

    The options are those of the engine stand-ins.
    """
    world = context.world
    world.cluster = cluster = SharedCluster(name)
    cluster.add_platform()
    await cluster.wait_ready("platform")
    for number in range(edges):
        cluster.plan_edge(f"edge-{number}", *ZONES[number % len(ZONES)])
    for service in ("shop", "model"):
        for number, (zone, _) in enumerate(ZONES):
            cluster.add_shared_engine(f"{service}-{number}", service, zone, **options)
    await cluster.put_configuration(make_configuration())
    names = list(cluster.edges)
    for first in range(0, edges, EDGES_STARTED_TOGETHER):
        started = names[first : first + EDGES_STARTED_TOGETHER]
        for edge in started:
            cluster.start_edge(edge)
        await cluster.wait_edges_ready(*started)
    await world.wait_until(
        lambda: has_engines(context, 2 * len(ZONES)), "engines are known"
    )


@given(
    "a shared platform with {edges:d} edges and 3 plain engines that accept 2.5, 2.0 "
    "and 1.5 requests a second"
)
def start_limited_engines(context, edges):
    context.run(start_in_waves(context, "limits", edges))


@register_trouble("nothing else happens")
async def leave_edges(context):
    pass


@register_trouble("a third of the edges is killed")
async def kill_edges(context):
    """Kill every third edge in turn, in the middle of the load, and restart it."""
    cluster = context.world.cluster
    names = list(cluster.edges)[::3]
    await asyncio.sleep(CONTACT_S + 1.0)
    for name in names:
        cluster.processes[name].kill()
        await asyncio.sleep(0.5)
        cluster.start_edge(name)
        await asyncio.sleep(1.5)


@register_trouble("a third of the edges freezes")
async def freeze_edges(context):
    """Suspend every third edge for longer than peers wait for a heartbeat."""
    cluster = context.world.cluster
    names = list(cluster.edges)[::3]
    await asyncio.sleep(CONTACT_S + 1.0)
    # A suspended process refuses nothing; only the others are timed.
    context.frozen_edges = [cluster.edges[name] for name in names]
    for name in names:
        cluster.processes[name].pause()
    await asyncio.sleep(3.0)
    for name in names:
        cluster.processes[name].resume()


@register_trouble("a third stands still for 1.2 s each 3.7 s")
async def silence_edges(context):
    """Suspend every third edge again and again, as sound hosts may stand still."""
    cluster = context.world.cluster
    names = list(cluster.edges)[::3]
    context.frozen_edges = [cluster.edges[name] for name in names]
    for _ in range(SILENCES):
        await asyncio.sleep(SILENCE_PERIOD_S - SILENCE_S)
        for name in names:
            cluster.processes[name].pause()
        await asyncio.sleep(SILENCE_S)
        for name in names:
            cluster.processes[name].resume()


@register_trouble("three edges are added")
async def add_edges(context):
    """Start new edges, which become the owners of some engines' turns."""
    cluster = context.world.cluster
    await asyncio.sleep(CONTACT_S + 1.0)
    for number, place in enumerate(ZONES, len(cluster.edges)):
        cluster.plan_edge(f"edge-{number}", *place)
        cluster.start_edge(f"edge-{number}")
        await asyncio.sleep(1.0)


async def send_call(context, edge, number, is_stream):
    """Send one call and record its status and time."""
    started_s = time.monotonic()
    result = SimpleNamespace(
        edge=edge, started_s=started_s, status=0, took_s=0.0, retry_after=None
    )
    context.results.append(result)
    try:
        async with RawConnection(edge) as connection:
            if is_stream:
                headers, target = make_headers(number, 20), f"/review/{number}"
                response = await connection.request("POST", target, headers, b"x")
            else:
                headers = make_headers(number, timeout_ms=1000)
                response = await connection.request("GET", f"/stock/{number}", headers)
    except (OSError, ValueError):
        # The connection was closed, or broken off within a stream.
        return
    assert "server-limit" not in response.headers, response.headers
    result.status = response.status
    result.took_s = time.monotonic() - started_s
    result.retry_after = response.headers.get("retry-after")


@when("{rate:d} {kind} a second arrive for {seconds:d} seconds while {trouble}")
def send_load(context, rate, kind, seconds, trouble):
    context.service = "model" if kind == "streams" else "shop"
    context.limits_per_s = LIMITS_PER_S

    async def run():
        cluster = context.world.cluster
        for number, limit in enumerate(LIMITS_PER_S):
            name = f"{context.service}-{number}"
            await cluster.inject(name, "limit", manner=str(limit))
        context.results, context.frozen_edges = [], ()
        troubling = asyncio.ensure_future(TROUBLES[trouble](context))
        tasks, edges = [], list(cluster.edges.items())
        started_s = time.monotonic()
        for number in range(rate * seconds):
            await asyncio.sleep(max(0.0, started_s + number / rate - time.monotonic()))
            name, edge = edges[number % len(edges)]
            if cluster.processes[name].is_running:
                call = send_call(context, edge, number, kind == "streams")
                tasks.append(asyncio.ensure_future(call))
        context.ended_at_s = time.time()
        await asyncio.gather(*tasks, troubling)
        context.engines = [
            await cluster.read_engine(f"{context.service}-{number}")
            for number in range(len(LIMITS_PER_S))
        ]

    context.run(run())


def list_counted_arrivals(engine):
    """Return the times of the arrivals from which on the limit binds all hosts."""
    bound_from_s = engine["limited_at_s"] + CONTACT_S
    return [at_s for at_s, _ in engine["arrivals"] if at_s >= bound_from_s]


@then(
    "no engine got more than one and a half times its limit and 5 requests in 4 seconds"
)
def check_limits_kept(context):
    worst = []
    for limit, engine in zip(context.limits_per_s, context.engines, strict=True):
        times = list_counted_arrivals(engine)
        most = max(
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in times)
            for start_s in times
        )
        worst.append((most, BURST_RATIO * WINDOW_S * limit + BURST_SLACK))
    assert all(most <= allowed for most, allowed in worst), worst


@then("each engine got at least {share:g} of its limit")
def check_limits_used(context, share):
    used = []
    for limit, engine in zip(context.limits_per_s, context.engines, strict=True):
        times = list_counted_arrivals(engine)
        seconds = context.ended_at_s - engine["limited_at_s"] - CONTACT_S
        arrived = sum(at_s <= context.ended_at_s for at_s in times)
        used.append(arrived / (limit * seconds))
    assert min(used) >= share, used


@then("calls were refused within {bound:g} ms, and told when to come back")
def check_refusals(context, bound):
    refused = [
        item
        for item in context.results
        if item.status in REFUSED_STATUSES and item.edge not in context.frozen_edges
    ]
    assert refused, "no call was refused"
    slow = sorted(item.took_s for item in refused)
    # One in twenty may wait for a core that other tests use.
    assert slow[int(0.95 * len(slow))] <= bound / 1000, slow[-20:]
    assert all(item.retry_after is not None for item in refused)


@when(
    "only the first of them states its limit, for {seconds:d} seconds, under {rate:d} "
    "calls a second"
)
def limit_first_engine(context, seconds, rate):
    context.service = "shop"
    context.limits_per_s = LIMITS_PER_S[:1]

    async def run():
        cluster = context.world.cluster
        await cluster.inject("shop-0", "limit", manner=str(LIMITS_PER_S[0]))
        context.results = []
        tasks, edges = [], list(cluster.edges.values())
        started_s = time.monotonic()
        for number in range(rate * 2 * seconds):
            await asyncio.sleep(max(0.0, started_s + number / rate - time.monotonic()))
            if number == rate * seconds:
                limited = await cluster.read_engine("shop-0")
                await cluster.inject("shop-0", "limit", manner="")
                context.lifted_at_s = time.time()
            call = send_call(context, edges[number % len(edges)], number, False)
            tasks.append(asyncio.ensure_future(call))
        await asyncio.gather(*tasks)
        context.engines = [limited]
        context.first_engine = await cluster.read_engine("shop-0")

    context.run(run())


@then(
    "all calls were served, and the engine got {rate:d} calls a second again within "
    "{bound:d} seconds"
)
def check_limit_end(context, rate, bound):
    statuses = {item.status for item in context.results}
    assert statuses == {200}, statuses
    from_s = context.lifted_at_s + bound
    arrived = sum(
        from_s <= at_s < from_s + 2 for at_s, _ in context.first_engine["arrivals"]
    )
    assert arrived >= 2 * rate, arrived


@then("the limit {header} is decoded as {limit}")
def check_decoded(context, header, limit):
    headers = CIMultiDict(("Server-Limit", text) for text in header.split(" and "))
    response = SimpleNamespace(headers=headers, status=200, content_type="text/plain")
    head = PlatformDialect().decode_response_head(response)
    if limit == "invalid":
        assert head.limit_per_s is None
        assert head.invalid_limit == header
    else:
        assert head.limit_per_s == float(limit)
        assert (head.invalid_limit is None) == ("0" not in header.split())


def make_limit_table(name="a1", clock=None, group=None, possibly_running=1):
    """Return a host's engines with one entry, its limits and its clock.

    Parameters
    ----------
    name : str
        Name of the host.
    clock : ManualClock or None
        Clock of the host; a new one if None.
    group : dict or None
        All hosts that can ask each other, by name, to which the host is added.
    possibly_running : int
        Number of hosts that may be running, those that are cut off included.
    """
    clock = clock or ManualClock(100.0)
    group = {} if group is None else group
    engines = EngineTable(lambda name, spec: Ok(spec), clock, EdgeMetrics())
    register(engines, BORN_MS)
    own_address = SimpleNamespace(host=name, availability_zone="zone-a")
    handlers, asked = {}, []

    async def ask(host, request, timeout_s):
        asked.append(host)
        handler = group[host].handlers[type(request)]
        reply = handler(SimpleNamespace(host=name), request)
        return Ok(await reply if asyncio.iscoroutine(reply) else reply)

    def list_live():
        return [host.address for host in group.values() if host.address != own_address]

    peers = SimpleNamespace(
        hosts=SimpleNamespace(
            own_address=own_address,
            list_live=list_live,
            list_capacity_classes=dict,
            count_reachable=lambda: min(len(group), possibly_running),
            count_possibly_running=lambda: possibly_running,
        ),
        is_shutting_down=False,
        register_handler=handlers.__setitem__,
        announce_support=lambda view, notify: None,
        ask=ask,
        may_read=lambda host, view: True,
    )
    gossip = SimpleNamespace(
        subscribe=lambda update_type, listener: None, broadcast=lambda update: None
    )
    host = SimpleNamespace(
        address=own_address,
        engines=engines,
        limits=EngineLimitTable(engines, peers, gossip, clock),
        clock=clock,
        handlers=handlers,
        peers=peers,
        asked=asked,
    )
    group[name] = host
    return host


BORN_MS = 1_000
ENGINE = "e1"


def register(engines, born_ms):
    entry = EngineEntry(ENGINE, "shop", "127.0.0.1:1", "zone-b", 16, born_ms=born_ms)
    engines.apply_changes([ReplicaChange(ENGINE, 1, entry)])


def respond(host, limit_per_s, sent_s):
    head = SimpleNamespace(
        is_other_engine=False, invalid_limit=None, limit_per_s=limit_per_s
    )
    host.limits.record_response(host.engines.get(ENGINE), head, sent_s)


def report(host, limit_per_s, born_ms=BORN_MS):
    host.limits.apply_update(EngineLimitUpdate(ENGINE, born_ms, limit_per_s))


@given("a host with an engine that stated a limit of {limit:g} a second")
def make_limited_host(context, limit):
    context.host = make_limit_table()
    respond(context.host, limit, context.host.clock.monotonic() - 0.1)


@when("a response to {which} request states {stated}")
def respond_again(context, which, stated):
    clock = context.host.clock
    stated_s = clock.monotonic()
    clock.advance(0.5)
    sent_s = stated_s - 0.2 if which == "an earlier" else stated_s + 0.2
    respond(context.host, None if stated == "none" else float(stated), sent_s)


@when("another host reports {when_it} that it ended")
def report_end(context, when_it):
    context.host.clock.advance(0.1 if when_it == "at once" else 5.0)
    report(context.host, 0.0)


@when("another host reports a limit of 1 of an earlier start of the engine")
def report_other_start(context):
    context.host.clock.advance(5.0)
    report(context.host, 1.0, BORN_MS - 1)


@when("another host reports later that it is 1")
def report_change(context):
    context.host.clock.advance(5.0)
    report(context.host, 1.0)


@when("the engine starts again under its id")
def restart_engine(context):
    register(context.host.engines, BORN_MS + 1)


@then("the host takes the limit of the engine to be {limit}")
def check_limit(context, limit):
    expected = None if limit == "none" else float(limit)
    assert context.host.engines.get(ENGINE).limit_per_s == expected


REPLAY_S = 60.0
REMAINING_S = 1.5
URGENT, ORDINARY = 0, 2


@when(
    "{calls:d} calls a second ask for turns at an engine that accepts {limit:g} a "
    "second"
)
def replay_calls(context, calls, limit):
    generator = Random(1)
    context.replay_s = REPLAY_S
    schedule = TurnSchedule(limit, 0.0)
    context.limit_per_s, context.turn_times = limit, []
    context.asked, context.granted = Counter(), Counter()
    now_s = 0.0
    while now_s < REPLAY_S:
        now_s += generator.expovariate(calls)
        priority = generator.choice((URGENT, ORDINARY))
        max_wait_s = choose_max_wait(REMAINING_S, priority)
        turn = schedule.reserve(limit, max_wait_s, now_s)
        context.asked[priority] += 1
        if turn.is_granted:
            assert turn.wait_s <= max_wait_s
            context.granted[priority] += 1
            context.turn_times.append(now_s + turn.wait_s)


@then("no 4 seconds have more than one and a half times the limit and 5 turns")
def check_turns(context):
    times = context.turn_times
    most = max(sum(at <= other < at + WINDOW_S for other in times) for at in times)
    allowed = BURST_RATIO * WINDOW_S * context.limit_per_s + BURST_SLACK
    assert most <= allowed, (most, allowed)


@then(
    "{share:g} of the limit is used, and urgent calls are refused less often than "
    "others"
)
def check_turns_used(context, share):
    used = len(context.turn_times) / (context.replay_s * context.limit_per_s)
    assert used >= share, used
    urgent, ordinary = (
        context.granted[priority] / context.asked[priority]
        for priority in (URGENT, ORDINARY)
    )
    assert urgent > ordinary, (urgent, ordinary)


@given("a host that has just started, and owns the turns of a limited engine")
def make_started_owner(context):
    make_limited_host(context, 2.0)


@when("it is asked for a turn after 1, 2.9 and 4 seconds")
def ask_started_owner(context):
    clock, limits = context.host.clock, context.host.limits
    state = context.host.engines.get(ENGINE)
    context.turns = []
    for step_s in (1.0, 1.9, 1.1):
        clock.advance(step_s)
        turn = context.run(limits.take_turn(state, 0.0))
        # The first turn of a schedule comes after an interval.
        context.turns.append(turn.is_granted or turn.wait_s == 0.5)


@then("it grants none, none and one")
def check_started_owner(context):
    assert context.turns == [False, False, True], context.turns


STEADY_S = 60.0
HOSTS = ("a1", "a2", "a3")


@given(
    "three hosts, of which the one that owns the turns of a limited engine has just "
    "started"
)
def make_group_with_new_owner(context):
    context.limit_per_s, context.clock = 2.0, ManualClock(100.0)
    context.owner = pick_candidate(HOSTS, ENGINE)
    context.group = {}
    for name in HOSTS:
        if name != context.owner:
            make_limit_table(name, context.clock, context.group)
    context.clock.advance(STEADY_S)
    make_limit_table(context.owner, context.clock, context.group)
    for host in context.group.values():
        respond(host, context.limit_per_s, context.clock.monotonic() - 0.1)


@given(
    "{count:d} hosts that know a limited engine and are cut off from each other in "
    "{parts:d} parts"
)
def make_separated_groups(context, count, parts):
    context.limit_per_s, context.clock = 2.0, ManualClock(100.0)
    context.group = {}
    groups = [{} for _ in range(parts)]
    for number in range(count):
        group = groups[number % parts]
        name = f"a{number}"
        context.group[name] = make_limit_table(name, context.clock, group, count)
    context.clock.advance(STEADY_S)
    for host in context.group.values():
        respond(host, context.limit_per_s, context.clock.monotonic() - 0.1)
    context.owner = None


ASKING_HOSTS = {
    "all hosts": lambda owner: [f"a{number}" for number in range(9)],
    "that host": lambda owner: [owner],
    "another host": lambda owner: [name for name in HOSTS if name != owner][:1],
    "all three hosts": lambda owner: HOSTS,
}


@when("{calls:d} calls a second need a turn at {asking} for {seconds:d} seconds")
def replay_calls_at_hosts(context, calls, asking, seconds):
    names = ASKING_HOSTS[asking](context.owner)
    generator = Random(1)
    context.turn_times, context.replay_s = [], seconds
    context.asked, context.granted = Counter(), Counter()

    async def run():
        started_s = context.clock.monotonic()
        while context.clock.monotonic() < started_s + seconds:
            context.clock.advance(generator.expovariate(calls))
            host = context.group[generator.choice(names)]
            priority = generator.choice((URGENT, ORDINARY))
            max_wait_s = choose_max_wait(REMAINING_S, priority)
            state = host.engines.get(ENGINE)
            turn = await host.limits.take_turn(state, max_wait_s)
            context.asked[priority] += 1
            if turn.is_granted:
                context.granted[priority] += 1
                now_s = context.clock.monotonic() - started_s
                context.turn_times.append(now_s + turn.wait_s)

    context.run(run())


PEER_VIEWS = {
    "connected, without a heartbeat": set(),
    "announcing that it grants turns": {"replica", VIEW},
    "announcing other views": {"replica"},
}


@given("a host that owns the turns of an engine and is known as {peer}")
def make_owner_of_version(context, peer):
    clock = ManualClock(100.0)
    context.owner = pick_candidate(HOSTS, ENGINE)
    context.group = {}
    for name in HOSTS:
        make_limit_table(name, clock, context.group)
    clock.advance(STEADY_S)
    table = PeerTable(None, "", 1, clock, None)
    if peer in PEER_VIEWS:
        stream = SimpleNamespace(known_views=PEER_VIEWS[peer])
        table.streams[context.owner] = stream
    for host in context.group.values():
        respond(host, 2.0, clock.monotonic() - 0.1)
        host.peers.may_read = table.may_read


@when("another host needs a turn at the engine")
def take_turn_at_engine(context):
    name = next(name for name in HOSTS if name != context.owner)
    context.host = context.group[name]
    state = context.host.engines.get(ENGINE)
    context.run(context.host.limits.take_turn(state, 1.0))


@then("the owner is asked {times:d} {unit:w}")
def check_asked(context, times, unit):
    assert context.host.asked == [context.owner] * times, context.host.asked


@given("a stream on an engine that accepts 2 requests a second, whose backup is lost")
def make_stream_without_backup(context):
    make_limited_host(context, 2.0)
    context.host.clock.advance(STEADY_S)


async def request_copy(context):
    """Request a copy as for a lost backup; count the requests to the engine."""
    host, dialect = context.host, PlatformDialect()
    session = make_upstream_session("127.0.0.1")
    requests = []

    def make_copy_request(attempt_id, entry):
        requests.append(attempt_id)
        return dialect.make_copy_request(attempt_id, entry)

    runtime = SimpleNamespace(
        engine_limits=host.limits,
        dialect=SimpleNamespace(make_copy_request=make_copy_request),
        paths=SimpleNamespace(list_paths=lambda state: [EnginePath(session)]),
        clock=host.clock,
    )
    metadata = SimpleNamespace(attempt_id="9c41d07be2a35f68")
    call = SimpleNamespace(metadata=metadata)
    state = host.engines.get(ENGINE)
    attempt = SimpleNamespace(state=state, backup=None)
    keeper = BackupKeeper(runtime, call, attempt)
    await keeper._request_copy(SimpleNamespace(name="e2", entry=state.entry))
    await session.close()
    return len(requests)


@when("a copy to another engine is due while {turn}")
def request_due_copy(context, turn):
    state = context.host.engines.get(ENGINE)
    if turn == "the engine has no limit":
        state.limit_per_s = None
    elif turn == "no turn is free":
        state.next_turn_s = context.host.clock.monotonic() + 0.3
    else:
        # The first turn of a schedule comes after an interval.
        context.run(context.host.limits.take_turn(state, 0.0))
        context.host.clock.advance(1.0)
    context.copy_requests = context.run(request_copy(context))


@then("the engine gets {count:d} requests for a copy")
def check_copy_requests(context, count):
    assert context.copy_requests == count, context.copy_requests


@given("a host with {count:d} limited engines, the turns of which {owners}")
def make_silent_owners(context, count, owners):
    # The engines of silent owners come first.
    silent = int(owners.split()[2])

    async def ask(host, request, timeout_s):
        if int(request.engine.removeprefix("e")) < silent:
            await asyncio.sleep(timeout_s)
            return Error(PeerUnavailable(host, "no reply in time"))
        return Ok(TurnReply(True, 0.0, 0.0, ""))

    clock, peers = SystemClock(), Mock(ask=ask, is_shutting_down=True)
    peers.hosts.own_address.host = "a1"
    peers.hosts.list_live.return_value = [SimpleNamespace(host="b1")]
    peers.hosts.list_capacity_classes.return_value = {}
    limits = EngineLimitTable(Mock(), peers, Mock(), clock)
    context.states = []
    for number in range(count):
        entry = EngineEntry(f"e{number}", "shop", "127.0.0.1:1", "zone-b", 16)
        context.states.append(EngineState(entry, limit_per_s=2.0))
    runtime = Mock(clock=clock, engine_limits=limits)
    context.turns = TurnTaker(runtime, Mock())


@when("a call asks for a turn at each engine until it has one")
def ask_all_owners(context):
    async def run():
        started_s = time.monotonic()
        for state in context.states:
            context.has_turn = await context.turns.take_turn(state, 0.5)
            if context.has_turn:
                break
        context.took_s = time.monotonic() - started_s

    context.run(run())


@then("the call {outcome} within 0.5 s")
def check_call_outcome(context, outcome):
    assert context.has_turn == (outcome == "has a turn")
    assert context.took_s <= 0.5, context.took_s
