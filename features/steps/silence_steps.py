"""Steps on engines that are silent for a moment."""

import asyncio
import itertools
import re
import time
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when
from tools.sharedcluster import (
    LOOKUP_PREFIX,
    ORDER_PREFIX,
    STREAM_PREFIX,
    make_configuration,
    make_route,
)

from features.steps.edge_steps import start_cluster
from features.steps.enginecut_steps import plan_calls, send_one
from features.steps.poison_steps import HostUnderTest, PendingAttempt, make_call
from features.steps.relay_steps import RawEngine, send_report
from sapphirerock.connection.responsememory import ResponseMemory
from sapphirerock.process.engines.crashwatch import RECENT_DATA_S
from sapphirerock.request.upstreamattempt import UpstreamAttempt

# 70 events of a stream take about 4 s, as on the users' sites.
STREAM_EVENTS = 70
EVENT_S = 0.057
PLAIN_TIMEOUT_MS = 3000
STREAM_TIMEOUT_MS = 25_000
SILENCE_PERIOD_S = 3.7
CONFIGURATION_INTERVAL_S = 0.5
MARK_BOUND_S = 0.7
AWAIT_INTERVAL_S = 0.05
# While there is little room, at most a tenth of all calls is refused.
MAX_REFUSED_SHARE = 0.1
RELAYED_EDGES = 4
RELAY_SETTLING_S = 20.0
FIRST_SETTLING_CALL = 900_000
CUT_S = 120.0
SILENT_ENGINES = {
    "one of them": lambda names, turn: [names[turn % len(names)]],
    "two thirds": lambda names, turn: [
        name for number, name in enumerate(names) if (number + turn) % 3
    ],
    "all of them": lambda names, turn: names,
    "all model engines": lambda names, turn: [
        name for name in names if name.startswith("model")
    ],
}
SILENT_HOSTS = {
    "one of the hosts": lambda edges, turn: [edges[turn % len(edges)]],
    "all hosts": lambda edges, turn: edges,
    "one of the relaying hosts": lambda edges, turn: [edges[RELAYED_EDGES + turn % 2]],
    "all relaying hosts": lambda edges, turn: edges[RELAYED_EDGES:],
}


def make_patient_configuration(version):
    """Return a configuration whose plain calls may take as long as on the sites."""
    routes = [
        make_route(
            "review",
            STREAM_PREFIX,
            "streaming",
            "model",
            timeout_ms=STREAM_TIMEOUT_MS,
        ),
        make_route(
            "order",
            ORDER_PREFIX,
            "non_idempotent",
            "shop",
            max_attempts=1,
            timeout_ms=PLAIN_TIMEOUT_MS,
        ),
        make_route(
            "stock", LOOKUP_PREFIX, "idempotent", "shop", timeout_ms=PLAIN_TIMEOUT_MS
        ),
    ]
    return make_configuration(version, routes)


@given(
    "a shared platform with {edges:d} edges and {engines:d} engines of each service, "
    "with room for {slots:d} streams each"
)
def start_patient_cluster(context, edges, engines, slots):
    async def run():
        await start_cluster(
            context, edges, engines, zones=3, slots=slots, event=EVENT_S
        )
        context.versions = itertools.count(2)
        await put_next_configuration(context)
        await asyncio.sleep(1.0)

    context.run(run())


async def put_next_configuration(context):
    """Write the same configuration once more, as a new version."""
    document = make_patient_configuration(next(context.versions))
    await context.world.cluster.put_configuration(document)


async def put_configurations(context):
    """Write a new version again and again, until cancelled."""
    while True:
        await put_next_configuration(context)
        await asyncio.sleep(CONFIGURATION_INTERVAL_S)


def list_engines(cluster):
    """Return the names of the engines of a cluster."""
    return [name for name in cluster.urls if name.startswith(("shop", "model"))]


async def silence_processes(cluster, kind, seconds, until_s):
    """Stop and continue processes again and again until a monotonic time.

    The kind is a key of `SILENT_ENGINES` or `SILENT_HOSTS`.
    """
    if kind in SILENT_HOSTS:
        choose, names = SILENT_HOSTS[kind], list(cluster.edges)
    else:
        choose, names = SILENT_ENGINES[kind], list_engines(cluster)
    for turn in itertools.count():
        await asyncio.sleep(SILENCE_PERIOD_S - seconds)
        if time.monotonic() > until_s:
            return
        chosen = choose(names, turn)
        try:
            for name in chosen:
                cluster.processes[name].pause()
            await asyncio.sleep(seconds)
        finally:
            for name in chosen:
                cluster.processes[name].resume()


async def reach_engines_through_peers(context, edges):
    """Return whether edges reach all engines through peers, by their metrics."""
    cluster = context.world.cluster
    count = len(list_engines(cluster))
    for edge in edges:
        url = cluster.get_metrics_url(edge.name)
        async with context.world.session.get(url) as response:
            text = await response.text()
        found = re.search(r"^sapphirerock_relayed_engines (\d+)", text, re.MULTILINE)
        if found is None or int(found[1]) < count:
            return False
    return True


@given("engines hang the connections of the first {count:d} edges")
def cut_edges_off(context, count):
    async def run():
        cluster = context.world.cluster
        source = ",".join(edge.address for edge in list(cluster.edges.values())[:count])
        for name in list_engines(cluster):
            await cluster.inject(
                name, "cut", seconds=CUT_S, manner="hang", source=source
            )
        context.results, context.started_s = [], time.monotonic()
        edges = list(cluster.edges.values())[:count]
        # Calls make the hosts find out which engines they don't reach.
        numbers = itertools.count(FIRST_SETTLING_CALL)
        while not await reach_engines_through_peers(context, edges):
            assert time.monotonic() < context.started_s + RELAY_SETTLING_S
            await asyncio.gather(
                *(
                    send_one(context, edge, next(numbers), kind, 5)
                    for edge in edges
                    for kind in ("stock", "stream")
                )
            )

    context.run(run())


@when(
    "{processes} stand still for {seconds:g} s every 3.7 s for {duration:d} s, under "
    "{load}, {beside}"
)
def send_beside_silence(context, processes, seconds, duration, load, beside):
    async def run():
        cluster = context.world.cluster
        edges = list(cluster.edges.values())
        context.results, context.started_s = [], time.monotonic()
        until_s = context.started_s + duration
        trouble = [
            asyncio.ensure_future(
                silence_processes(cluster, processes, seconds, until_s)
            )
        ]
        if beside != "nothing else happens":
            trouble.append(asyncio.ensure_future(put_configurations(context)))
        calls = []
        for number, (at_s, kind) in enumerate(plan_calls(load, duration), 1):
            await asyncio.sleep(max(0.0, context.started_s + at_s - time.monotonic()))
            timeout_ms = PLAIN_TIMEOUT_MS if kind != "stream" else STREAM_TIMEOUT_MS
            # Each edge gets calls of each kind.
            edge = edges[number // 2 % len(edges)]
            calls.append(
                asyncio.ensure_future(
                    send_one(context, edge, number, kind, STREAM_EVENTS, timeout_ms)
                )
            )
        await asyncio.gather(*calls)
        for task in trouble:
            task.cancel()
        await asyncio.gather(*trouble, return_exceptions=True)
        context.runs = await cluster.list_runs()

    context.run(run())


def count_failures(results):
    """Return how often each kind of call failed with each status and events."""
    return Counter(
        (item.kind, item.status, len(getattr(item, "events", ())))
        for item in results
        if not item.is_served
    )


@then("every stream arrives whole, and every call gets an engine's answer")
def check_all_served(context):
    assert context.results
    failures = count_failures(context.results)
    assert not failures, failures


@then(
    "every stream arrives whole or is refused with a time to come back, and every call "
    "gets an engine's answer"
)
def check_served_or_refused(context):
    assert context.results
    refused = [
        item
        for item in context.results
        if item.kind == "stream" and item.status == 503 and item.retry_after
    ]
    others = [item for item in context.results if item not in refused]
    failures = count_failures(others)
    assert not failures, (failures, len(refused))
    assert len(refused) <= MAX_REFUSED_SHARE * len(context.results), len(refused)
    for item in refused:
        assert not any(
            run["attempt_id"] == item.attempt_id
            for runs in context.runs.values()
            for run in runs
        ), item


@then("no engine was reported silent to other hosts")
def check_no_silence_reported(context):
    cluster = context.world.cluster
    reports = Counter(
        (name, entry["event"])
        for name in cluster.edges
        for entry in cluster.read_log_entries(name)
        if entry.get("event") == "engine marked down"
    )
    assert not reports, reports


@given("a host, and an engine that never answers")
def start_host(context):
    async def run():
        context.host = HostUnderTest()
        context.state = context.host.add_unresponsive_engine("e1")

    context.run(run())


@when("the host sends it {calls}")
def send_to_dead_engine(context, calls):
    found = re.search(r"every ([0-9.]+) s", calls)
    interval_s = float(found[1]) if found else MARK_BOUND_S

    async def run():
        host = context.host
        await host.monitor.start()
        memory = ResponseMemory(1 << 23)
        runtime = SimpleNamespace(clock=host.clock, response_memory=memory)
        started_s = time.monotonic()
        attempts = []
        while time.monotonic() < started_s + MARK_BOUND_S:
            attempt = UpstreamAttempt(runtime, make_call(), context.state)
            attempts.append(attempt.__enter__())
            await asyncio.sleep(interval_s)
        context.is_silent = host.engines.is_marked_silent(context.state)
        await host.monitor.stop()
        await host.close()

    context.run(run())


@then("it is marked silent within 0.7 s")
def check_marked_silent(context):
    assert context.is_silent


@when("the host has an attempt there, with a backup that answers after {delay_s:g} s")
def send_with_backup(context, delay_s):
    async def answer(engine, writer):
        await asyncio.sleep(delay_s)
        await send_report(engine, writer)

    async def run():
        host = context.host
        backup = host.add_engine("e2", await RawEngine(answer).start())
        attempt = PendingAttempt(context.state, make_call())
        attempt.backup = backup
        await host.monitor.start()
        while not attempt.is_silent:
            await asyncio.sleep(0.002)
        now_s = host.clock.monotonic()
        context.has_answered = now_s - backup.heard_s <= RECENT_DATA_S
        await host.monitor.stop()
        await host.close()

    context.run(run())


@then("the backup has answered when the attempt hears that its engine is silent")
def check_backup_answered(context):
    assert context.has_answered


@when("it is marked silent at the host for {seconds:g} s, and {need}")
def keep_silent(context, seconds, need):
    async def run():
        host, state = context.host, context.state
        host.crash_watch.mark_silent(state)
        if need == "an attempt is running there":
            PendingAttempt(state, make_call())
        await host.monitor.start()
        for _ in range(int(seconds / AWAIT_INTERVAL_S)):
            if need == "a call waits for it":
                assert host.engines.await_silent_engine("model")
            await asyncio.sleep(AWAIT_INTERVAL_S)
        await host.monitor.stop()
        await host.close()

    context.run(run())


@then("the host probes it {times}")
def check_probes(context, times):
    assert (context.state.probed_s > 0) is (times == "again"), context.state
