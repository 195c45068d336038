"""Steps on engines that ask for rest or say that they leave."""

import asyncio
import time
from types import SimpleNamespace

from behave import given, then, when
from expression import Ok
from multidict import CIMultiDict

from features.steps.enginecut_steps import plan_calls, send_one
from features.steps.relay_steps import CutHost, RawEngine, send_report
from sapphirerock.connection.messages import EngineRest
from sapphirerock.platform.dialect import PlatformDialect
from sapphirerock.process.clock import ManualClock
from sapphirerock.process.engines.prober import ProbeOutcome
from sapphirerock.process.engines.rests import EngineRestTable
from sapphirerock.process.engines.statements import EngineStatementTable
from sapphirerock.process.engines.table import EngineTable
from sapphirerock.process.replicas.replica import ReplicaChange
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics
from sapphirerock.version.engineentry import EngineEntry

# Requests that are on their way when an engine asks for rest do not count.
REST_SLACK_S = 0.5
MAX_REQUESTS_IN_REST = 2
LEAVING_BOUND_S = 3.0
SHARES = {"all calls": 1.0, "1 call in 10": 0.1}
REFUSED_STATUSES = (429, 503)


async def send_load(context, load, seconds):
    """Send calls of both kinds to all hosts in turn, and read the engines after it."""
    cluster = context.world.cluster
    edges, tasks = list(cluster.edges.values()), []
    context.results, context.started_s = [], time.monotonic()
    context.started_wall_s = time.time()
    for number, (at_s, kind) in enumerate(plan_calls(load, seconds), 1):
        await asyncio.sleep(max(0.0, context.started_s + at_s - time.monotonic()))
        edge = edges[number * 7 % len(edges)]
        tasks.append(asyncio.ensure_future(send_one(context, edge, number, kind)))
    await asyncio.gather(*tasks)
    context.engines = {
        name: await cluster.read_engine(name)
        for name in cluster.urls
        if name.startswith(("shop", "model"))
    }


async def ask_for_rest(context, engines, share, seconds):
    """Let some engines of each service ask for rest."""
    for service in ("shop", "model"):
        for number in range(engines):
            await context.world.cluster.inject(
                f"{service}-{number}", "rest", manner=str(seconds), amount=share
            )


@when(
    "{engines:d} of the three engines of a service turn {share} away and ask for "
    "{rest:g} s of rest, under {load} for {seconds:d} seconds"
)
def send_beside_rests(context, engines, share, rest, load, seconds):
    context.rest_s = rest

    async def run():
        await ask_for_rest(context, engines, SHARES[share], rest)
        await send_load(context, load, seconds)

    context.run(run())


@when(
    "engines are cut off from two thirds of the hosts, and {engines:d} of three turn "
    "all calls away and ask for {rest:g} s of rest, under {load} for {seconds:d} "
    "seconds"
)
def send_beside_cut_and_rests(context, engines, rest, load, seconds):
    context.rest_s = rest

    async def run():
        cluster = context.world.cluster
        edges = list(cluster.edges.values())
        source = ",".join(edge.address for edge in edges[: 2 * len(edges) // 3])
        for name in cluster.urls:
            if name.startswith(("shop", "model")):
                await cluster.inject(
                    name, "cut", seconds=60.0, manner="reset", source=source
                )
        await ask_for_rest(context, engines, 1.0, rest)
        await send_load(context, load, seconds)

    context.run(run())


@then(
    "no engine got more than 2 requests from a host within a rest that it had asked for"
)
def check_rests_kept(context):
    broken, rests, most = 0, 0, 0
    for engine in context.engines.values():
        for at_s, host in engine["rests"]:
            first_s, end_s = at_s + REST_SLACK_S, at_s + context.rest_s
            count = sum(
                first_s < contact_s <= end_s and sender == host
                for contact_s, sender in engine["contacts"]
            )
            rests += 1
            most = max(most, count)
            broken += count > MAX_REQUESTS_IN_REST
    assert rests, "no engine asked for rest"
    assert not broken, f"{broken} of {rests} rests broken, {most} requests in one"


@then("{share:d} in 100 calls are served at the first attempt")
def check_served(context, share):
    served = sum(item.is_served for item in context.results)
    failed = [item.status for item in context.results if not item.is_served]
    assert served >= share / 100 * len(context.results), (
        served,
        len(context.results),
        {status: failed.count(status) for status in failed},
    )


@then(
    "refused calls take {bound:g} s at most, and are told to come back after the rest"
)
def check_refusals(context, bound):
    # Calls that find the engines in their first seconds are sent to all three.
    refused = [
        item
        for item in context.results
        if item.status in REFUSED_STATUSES and item.at_s > 1.0
    ]
    assert len(refused) > 0.5 * len(context.results), len(refused)
    slow = sorted(item.took_s for item in refused)
    # One in twenty may wait for a core that other tests use.
    assert slow[int(0.95 * len(slow))] <= bound, slow[-20:]
    early = []
    for item in refused:
        answered_at_s = context.started_wall_s + item.at_s + item.took_s
        back_at_s = answered_at_s + float(item.retry_after)
        ends = [
            at_s + context.rest_s
            for engine in context.engines.values()
            for at_s, _ in engine["rests"]
            if at_s <= answered_at_s < at_s + context.rest_s
        ]
        if ends and back_at_s < min(ends) - 0.1:
            early.append((item.retry_after, min(ends) - answered_at_s))
    # A host that has not asked all engines yet may know a shorter rest.
    assert len(early) <= 0.1 * len(refused), early[:10]


@when("one of three engines says that it leaves, under {load} for {seconds:d} seconds")
def send_beside_leaving(context, load, seconds):
    async def run():
        for service in ("shop", "model"):
            await context.world.cluster.inject(f"{service}-0", "say-leaving")
        await send_load(context, load, seconds)

    context.run(run())


@then(
    "it got no calls from a host later than {bound:g} s after a response to that host"
)
def check_left_alone(context, bound):
    late = 0
    for engine in context.engines.values():
        for at_s, host in engine["arrivals"]:
            told_s = engine["left_at_s"].get(host)
            late += told_s is not None and at_s > told_s + bound
    assert any(engine["left_at_s"] for engine in context.engines.values())
    assert not late, f"{late} calls"


@then(
    "the rest in a response of status {status:d} with {header} is decoded as {seconds}"
)
def check_rest_decoded(context, status, header, seconds):
    texts = [] if header == "none" else header.split(" and ")
    headers = CIMultiDict(("Retry-After", text) for text in texts)
    response = SimpleNamespace(
        status=status, headers=headers, content_type="text/plain"
    )
    head = PlatformDialect().decode_response_head(response)
    assert head.rest_s == (None if seconds == "none" else float(seconds)), head.rest_s


@given("a host with an engine")
def make_host_with_engine(context):
    clock = context.clock = ManualClock()
    context.engines = EngineTable(lambda name, spec: Ok(spec), clock, EdgeMetrics())
    context.handlers = {}
    peers = SimpleNamespace(
        register_handler=lambda kind, handler: context.handlers.update({kind: handler})
    )
    context.rests = EngineRestTable(context.engines, peers, clock)
    add_engine(context, 1000)


def add_engine(context, born_ms):
    """Register the engine, or a later start of it."""
    entry = EngineEntry("e1", "model", "e1:1", "zone-a", 16, born_ms=born_ms)
    context.engines.apply_changes([ReplicaChange("e1", born_ms, entry)])


@when("the engine asks for rest: {events}")
def ask_in_turn(context, events):
    started_s = context.clock.monotonic()
    for event in events.split(", "):
        _, at, *words = event.split()
        context.clock.advance(started_s + float(at) - context.clock.monotonic())
        state = context.engines.get("e1")
        if "relayed" in words:
            born_ms = 999 if "earlier" in words else 1000
            message = EngineRest("e1", born_ms, 4.0)
            context.handlers[EngineRest](SimpleNamespace(host="b1"), message)
        elif "starts" in words:
            add_engine(context, 2000)
        else:
            head = SimpleNamespace(
                rest_s=float(words[-1]), invalid_rest=None, is_other_engine=False
            )
            context.rests.record_response(state, head, None)


@then("after that the engine rests for {seconds:g} s more")
def check_rest(context, seconds):
    state = context.engines.get("e1")
    rest_s = context.engines.measure_rest_s(state)
    assert abs(rest_s - seconds) < 1e-6, rest_s
    assert context.engines.is_usable(state) is (seconds == 0)
    assert context.engines.is_alive(state)


@given("a host with an engine that answers probes and has asked for rest")
def make_resting_engine(context):
    async def run():
        context.engine = RawEngine(send_report)
        context.host = CutHost(await context.engine.start())
        context.host.state.rest_until_s = context.host.clock.monotonic() + 5.0

    context.run(run())


@when("the host probes it {probes:d} times")
def probe_resting_engine(context, probes):
    async def run():
        host = context.host
        context.outcomes = [
            (await host.paths.probe_and_confirm(host.state.entry, 0.3)).outcome
            for _ in range(probes)
        ]
        await host.paths.on_stop()
        await host.session.close()

    context.run(run())


@then("the engine gets {count:d} probes")
def check_probes(context, count):
    assert len(context.engine.requests) == count, context.outcomes
    assert context.outcomes[0] is ProbeOutcome.RUNNING, context.outcomes
    assert set(context.outcomes[1:]) <= {ProbeOutcome.RESTING}, context.outcomes
    assert context.host.engines.is_alive(context.host.state)


@then("the statement {header} is decoded as {result}")
def check_leaving_decoded(context, header, result):
    texts = [] if header == "none" else header.split(" and ")
    headers = CIMultiDict(("Server-Leaving", text) for text in texts)
    response = SimpleNamespace(status=200, headers=headers, content_type="text/plain")
    head = PlatformDialect().decode_response_head(response)
    assert head.leaving == (1.0 if result == "leaving" else None), head.leaving


def record_leaving(context, leaving):
    """Record a response that states, or does not, that the engine leaves."""
    head = SimpleNamespace(
        is_other_engine=False, leaving=leaving, refusal_tolerance=None
    )
    state = context.engines.get("e1")
    context.statements.record_response(state, head, context.clock.monotonic())


@given("a host with an engine that has stated that it leaves")
def make_leaving_engine(context):
    context.execute_steps("Given a host with an engine")
    peers = SimpleNamespace(
        register_handler=lambda *arguments: None,
        announce_support=lambda *arguments: None,
    )
    gossip = SimpleNamespace(
        subscribe=lambda *arguments: None, broadcast=lambda update: None
    )
    context.statements = EngineStatementTable(
        context.engines, peers, gossip, context.clock
    )
    record_leaving(context, 1.0)
    context.clock.advance(10.0)


@when("then {events}")
def change_leaving_engine(context, events):
    if events.startswith("a later response"):
        record_leaving(context, None)
    elif events.startswith("another host"):
        context.statements._apply("e1", 1000, "leaving", -1.0, "gossip")
    elif events.startswith("its registration"):
        if "lapses" in events:
            context.engines.apply_changes([ReplicaChange("e1", 1001, None)])
            assert context.engines.get("e1") is None
        entry = EngineEntry("e1", "model", "e1:1", "zone-a", 32, born_ms=1000)
        context.engines.apply_changes([ReplicaChange("e1", 1002, entry)])
    elif events.startswith("it starts"):
        add_engine(context, 2000)
    elif events.startswith("another engine"):
        entry = EngineEntry("e2", "model", "e1:1", "zone-a", 16, born_ms=3000)
        context.engines.apply_changes([ReplicaChange("e2", 1002, entry)])


@then("the host {result} the engine")
def check_use(context, result):
    state = context.engines.get("e2") or context.engines.get("e1")
    assert context.engines.is_usable(state) is (result == "uses"), state
