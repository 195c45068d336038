"""Steps on rollouts of a service's version."""

import asyncio
import json
import math
from collections import deque
from random import Random
from types import SimpleNamespace

from behave import given, then, when
from expression import Error, Ok
from tools.rawclient import RawConnection
from tools.sharedcaller import make_headers
from tools.sharedcluster import ORDER_PREFIX

from features.steps.edge_steps import start_cluster
from sapphirerock.connection.storeobjects import (
    StoreConflict,
    StoredObject,
    StoreUnavailable,
)
from sapphirerock.platform.names import ROLLOUTS_KIND
from sapphirerock.platform.rollouts import decode_rollout
from sapphirerock.process.clock import ManualClock
from sapphirerock.process.replicas.replica import ReplicaChange
from sapphirerock.process.rollouts import CHECK_INTERVAL_S, RolloutTable
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics

SERVICE, OLD, NEW = "shop", "v1", "v2"
EXPOSED_SHARE, EXPOSED_SLACK = 0.1, 50
ROLLBACK_S, LAST_BAD = 5.0, 50
ENDED = ("completed", "rolled_back")
SEED = 7
USUAL_TIME_S = 0.05
# Share of the calls on each route, and of those that fail at the old version.
ROUTES = {"order": (0.7, 0.004), "lookup": (0.3, 0.14)}
VIEWS = [SimpleNamespace(version=version) for version in (OLD, NEW)]
MANNERS = {}
TROUBLES = {}


def register(registry, text):
    """Register a function under the text of a feature."""

    def add(function):
        registry[text] = function
        return function

    return add


class FleetGossip:
    """Delivers updates to all hosts of a fleet, at its next step."""

    def __init__(self, fleet, name):
        self._fleet, self._name = fleet, name
        self.listeners = []

    def subscribe(self, update_type, listener):
        """Call a function with each update."""
        self.listeners.append(listener)

    def broadcast(self, update):
        """Send an update."""
        self._fleet.updates.append((self._name, update))


class FleetStore:
    """A store with the one order."""

    def __init__(self, fleet, duration_s):
        self._fleet = fleet
        spec = {"service": SERVICE, "target": NEW, "duration_s": duration_s}
        self.item = StoredObject(SERVICE, 1, spec)
        self.is_away = False
        self.restores = 0
        self.written = []

    async def replace_status(self, kind, name, status, revision):
        """Replace the status of the order, as a store does."""
        if self.is_away:
            return Error(StoreUnavailable("away"))
        if revision != self.item.revision:
            return Error(StoreConflict(self.item))
        spec, number = self.item.spec, self.item.revision + 1
        self.item = StoredObject(SERVICE, number, spec, status)
        self.written.append((self._fleet.clock.monotonic(), status["state"]))
        return Ok(self.item)


class RolloutFleet:
    """Hosts of a fleet in one process, and calls to the engines of a service."""

    def __init__(self, count, rate_per_s):
        self.clock = ManualClock()
        self.generator = Random(SEED)
        self.rate_per_s = rate_per_s
        self.names = [f"host-{number}" for number in range(count)]
        self.cut, self.updates = set(), deque()
        self.calls, self.sent_s, self.bad_s = 0, [], []
        self.tables = {}

    def start(self, duration_s):
        """Give all hosts the order."""
        self.store = FleetStore(self, duration_s)
        for name in self.names:
            hosts = SimpleNamespace(
                own_address=SimpleNamespace(host=name),
                list_live=lambda name=name: self.list_others(name),
                list_capacity_classes=dict,
            )
            self.tables[name] = RolloutTable(
                hosts,
                FleetGossip(self, name),
                self.store,
                EXPOSED_SHARE,
                self.clock,
                EdgeMetrics(),
            )
            for _ in range(50):
                self.record(name, "order", OLD, False, USUAL_TIME_S)
                self.record(name, "lookup", OLD, False, USUAL_TIME_S)
        self.spread_order()

    def list_others(self, name):
        """Return the hosts that a host knows to live."""
        if name in self.cut:
            return []
        others = [item for item in self.names if item != name and item not in self.cut]
        return [SimpleNamespace(host=item) for item in others]

    def record(self, name, route, version, has_failed, time_s):
        """Let a host see the response to a call."""
        call = SimpleNamespace(route=SimpleNamespace(name=route), service=SERVICE)
        state = SimpleNamespace(entry=SimpleNamespace(version=version))
        self.tables[name].record_response(call, state, has_failed, time_s)

    def spread_order(self):
        """Give the object in the store to all hosts that are not cut off."""
        item = self.store.item
        change = ReplicaChange(item.name, item.revision, item.content)
        for name in self.names:
            if name not in self.cut:
                self.tables[name].apply_changes([change])

    def serve_calls(self, respond):
        """Send the calls of one step to the versions that hosts choose."""
        now_s = self.clock.monotonic()
        for _ in range(round(self.rate_per_s * CHECK_INTERVAL_S)):
            name, draw = self.generator.choice(self.names), self.generator.random()
            (view, *_) = self.tables[name].select_engines(SERVICE, VIEWS, draw)
            route = "order" if draw * 1000 % 1 < ROUTES["order"][0] else "lookup"
            self.calls += 1
            has_failed = self.generator.random() < ROUTES[route][1]
            time_s = USUAL_TIME_S * self.generator.lognormvariate(0.0, 0.3)
            if view.version == NEW:
                has_responded, fails, slowness = respond(self.generator, now_s, route)
                has_failed |= fails
                time_s *= slowness
                if now_s < self.end_s():
                    self.sent_s.append(now_s)
                    if has_responded and (has_failed or slowness > 1):
                        self.bad_s.append(now_s)
                if not has_responded:
                    continue
            self.record(name, route, view.version, has_failed, time_s)

    def end_s(self):
        """Return the time from which the rollout is completed."""
        return min(
            (at_s for at_s, state in self.store.written if state == "completed"),
            default=math.inf,
        )

    async def step(self, respond):
        """Play one interval of the hosts' judgements."""
        self.serve_calls(respond)
        updates, self.updates = self.updates, deque()
        for sender, update in updates:
            for name in self.names:
                if name != sender and not self.cut & {name, sender}:
                    for listener in self.tables[name]._gossip.listeners:
                        listener(update)
        for name in self.names:
            if name not in self.cut:
                await self.tables[name].judge_all()
        if not self.store.is_away:
            self.spread_order()
        self.clock.advance(CHECK_INTERVAL_S)


def respond_well(generator, now_s, route):
    """Return that a call got a response, no failure, and its usual time."""
    return True, False, 1.0


register(MANNERS, "is good")(respond_well)


@register(MANNERS, "fails half of its calls")
def respond_with_failures(generator, now_s, route):
    return True, generator.random() < 0.5, 1.0


@register(MANNERS, "fails half of its calls from 5 s on")
def respond_with_later_failures(generator, now_s, route):
    return True, now_s >= 5.0 and generator.random() < 0.5, 1.0


@register(MANNERS, "fails on one route")
def respond_with_failures_on_lookups(generator, now_s, route):
    return True, route == "lookup" and generator.random() < 0.8, 1.0


@register(MANNERS, "is four times as slow")
def respond_slowly(generator, now_s, route):
    return True, False, 4.0


@register(MANNERS, "crashes while it runs calls")
def respond_not(generator, now_s, route):
    return generator.random() < 0.7, False, 1.0


@register(MANNERS, "gets no calls")
def respond_never(generator, now_s, route):
    return False, False, 1.0


@register(TROUBLES, "nothing else happens")
def make_no_trouble(fleet, now_s):
    """Leave the fleet as it is."""


def kill_writer(fleet):
    writers = [
        name
        for name in fleet.names
        if name not in fleet.cut
        and any(
            table._has_duty(rollout.order)
            for table in [fleet.tables[name]]
            for rollout in table._rollouts.values()
        )
    ]
    fleet.names.remove(writers[0])


@register(TROUBLES, "the writer is killed at 6 s")
def kill_writer_late(fleet, now_s):
    if now_s == 6.0:
        kill_writer(fleet)


@register(TROUBLES, "the writer is killed at 2 s")
def kill_writer_early(fleet, now_s):
    if now_s == 2.0:
        kill_writer(fleet)


@register(TROUBLES, "a third of the hosts is cut off")
def cut_hosts(fleet, now_s):
    fleet.cut = set(fleet.names[::3])


@register(TROUBLES, "the store is away from 2 to 9 s")
def stop_store(fleet, now_s):
    fleet.store.is_away = 2.0 <= now_s < 9.0


@register(TROUBLES, "the store restores an older copy at 11.5 s")
def restore_store(fleet, now_s):
    if now_s == 11.5:
        item = fleet.store.item
        fleet.store.item = StoredObject(SERVICE, item.revision + 1, item.spec)
        fleet.store.restores += 1


@given("{hosts:d} hosts that serve {rate:d} calls a second")
def make_fleet(context, hosts, rate):
    context.fleet = RolloutFleet(hosts, rate)


@when(
    "traffic is to move within {duration:d} s to a version that {manner}, while "
    "{trouble}"
)
def play_rollout(context, duration, manner, trouble):
    fleet = context.fleet
    context.duration_s = duration

    async def run():
        fleet.start(duration)
        while fleet.clock.monotonic() < duration:
            TROUBLES[trouble](fleet, fleet.clock.monotonic())
            await fleet.step(MANNERS[manner])

    context.run(run())
    print(fleet.store.written, fleet.calls, len(fleet.sent_s), len(fleet.bad_s))


@then("the new version got no more calls than a bad one may, unless it is completed")
def check_exposure(context):
    fleet = context.fleet
    assert len(fleet.sent_s) <= EXPOSED_SHARE * fleet.calls + EXPOSED_SLACK


@then("no call was sent to it 5 s after its 50th bad response, unless it is completed")
def check_rollback(context):
    fleet = context.fleet
    if len(fleet.bad_s) >= LAST_BAD:
        assert max(fleet.sent_s) <= fleet.bad_s[LAST_BAD - 1] + ROLLBACK_S


@then("the state in the store is {state} before the deadline")
def check_state(context, state):
    store = context.fleet.store
    assert store.item.status["state"] == state, store.written
    assert store.written[-1][0] <= context.duration_s, store.written


@then("each state was written once, and again only if the store has lost it")
def check_states(context):
    states = [state for _, state in context.fleet.store.written]
    assert len({state for state in states if state in ENDED}) == 1, states
    assert len(states) - len(set(states)) == context.fleet.store.restores, states


@when("a rollout is {state}, and engines of v3 start {seconds:d} s later")
def release_after_rollout(context, state, seconds):
    fleet = context.fleet
    fleet.start(DURATION_S)
    item = fleet.store.item
    status = {"state": state, "target": NEW}
    fleet.store.item = StoredObject(SERVICE, item.revision + 1, item.spec, status)
    fleet.spread_order()
    fleet.clock.advance(seconds)
    views = [*VIEWS, SimpleNamespace(version="v3")]
    (table,) = fleet.tables.values()
    context.selected = table.select_engines(SERVICE, views, 0.0)


@then("calls may go to engines of {versions}")
def check_selected(context, versions):
    assert ", ".join(view.version for view in context.selected) == versions


@when("an operator orders a rollout of the service shop: {content}")
def decode_order(context, content):
    context.decoded = decode_rollout(SERVICE, json.loads(content))


@then("the order of a rollout is {result}")
def check_order(context, result):
    decoded = context.decoded
    if decoded.is_error():
        found = "refused"
    else:
        found = decoded.ok.state.value if decoded.ok.state else "without state"
    assert found == result, decoded


DURATION_S = 8
ENGINES_PER_VERSION = 2
SLOWDOWN = 30
BOUNDS = {"grace_s": 4.0, "drain_ms": 3000, "contact_ms": 4000, "expose_share": 0.5}
ORDERS_AT_ONCE = 4
ORDERS_AFTERWARDS = 20


@given("a shared platform whose operators order rollouts, with {edges:d} edges")
def start_rollout_cluster(context, edges):
    async def run():
        await start_cluster(context, 1, ENGINES_PER_VERSION, version=OLD)
        cluster = context.world.cluster
        cluster.plan_edge("edge-1", "zone-a", "region-a")
        cluster.processes["edge-0"].kill()
        for name in cluster.edges:
            cluster.start_edge(name, bounds=BOUNDS)
        await cluster.wait_edges_ready()

    context.run(run())


async def send_order(context, number):
    """Send an order to one of the edges, which takes turns; return the response."""
    edges = list(context.world.cluster.edges.values())
    async with RawConnection(edges[number % len(edges)]) as connection:
        headers = make_headers(number, 0)
        return await connection.request("POST", f"{ORDER_PREFIX}1", headers, b"wool")


@when("traffic is to move to engines that {manner}, and callers send orders")
def order_rollout(context, manner):
    cluster = context.world.cluster
    numbers = iter(range(1, 100_000))
    context.next_number = numbers

    async def send_until(is_over):
        while not is_over():
            await send_order(context, next(numbers))

    async def read_state():
        (item,) = await cluster.list_objects(ROLLOUTS_KIND)
        return (item["status"] or {}).get("state")

    async def run():
        for _ in range(ORDERS_AFTERWARDS):
            await send_order(context, next(numbers))
        spec = {"service": SERVICE, "target": NEW, "duration_s": DURATION_S}
        await cluster.put_object(ROLLOUTS_KIND, SERVICE, spec)
        for number in range(ENGINES_PER_VERSION):
            name = f"new-{number}"
            cluster.add_shared_engine(name, SERVICE, "zone-a", version=NEW)
            slowness = SLOWDOWN if "slow" in manner else 1

            async def has_started(name=name, slowness=slowness):
                return await cluster.inject(name, "slow", amount=slowness) == 200

            await context.world.wait_until(has_started, "the new engines start")
        states = []
        senders = [
            asyncio.ensure_future(send_until(lambda: bool(states)))
            for _ in range(ORDERS_AT_ONCE)
        ]

        async def has_ended():
            state = await read_state()
            if state in ENDED:
                states.append(state)
            return bool(states)

        try:
            await context.world.wait_until(
                has_ended, "the rollout ends", 3 * DURATION_S
            )
        finally:
            states.append(None)
            await asyncio.gather(*senders)
        context.state = states[0]

    context.run(run())


@then("the status in the store becomes {state}")
def check_status(context, state):
    assert context.state == state, context.state


@then("orders go to {version} only from then on")
def check_versions(context, version):
    cluster = context.world.cluster

    async def list_versions(first):
        by_engine = await cluster.list_runs()
        return {
            run["version"]
            for runs in by_engine.values()
            for run in runs
            if int(run["attempt_id"], 16) >= first
        }

    async def run():
        async def have_all_moved():
            first = next(context.next_number)
            for number in range(first, first + ORDERS_AFTERWARDS):
                await send_order(context, number)
                next(context.next_number)
            return await list_versions(first) == {version}

        await context.world.wait_until(have_all_moved, f"orders go to {version}")
        first = next(context.next_number)
        for number in range(first, first + ORDERS_AFTERWARDS):
            await send_order(context, number)
        assert await list_versions(first) == {version}

    context.run(run())


@then("the edge has no rollouts")
def check_no_rollouts(context):
    started = []

    async def has_logged_start():
        entries = context.world.cluster.read_log_entries("edge-0")
        started.extend(item for item in entries if item["event"] == "edge started")
        return bool(started)

    context.run(context.world.wait_until(has_logged_start, "the start is logged"))
    assert not started[0]["takes_rollouts"], started
