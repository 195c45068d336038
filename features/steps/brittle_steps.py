"""Steps on engines that crash when they have to turn many requests away."""

import asyncio
import time

from behave import given, then, when
from tools.sharedcluster import SharedCluster, make_configuration

from features.steps.edge_steps import ZONES, has_engines
from features.steps.enginelimit_steps import send_call

ENGINES = 3
SLOTS, WORK_S = 3, 0.05
REFUSAL_TOLERANCE = 4
RESTART_S = 3.0
# From this time after the engines first state their tolerance, hosts keep to it.
CONTACT_S = 4.0
# Prefill and 20 events of a stream.
STREAM_S = 0.1 + 20 * 0.02
EDGES_STARTED_TOGETHER = 8


@given(
    "a shared platform with {edges:d} edges and 3 engines of each service that run 3 "
    "calls of 50 ms"
)
def start_brittle_engines(context, edges):
    async def run():
        world = context.world
        world.cluster = cluster = SharedCluster("brittle")
        cluster.add_platform()
        await cluster.wait_ready("platform")
        for number in range(edges):
            cluster.plan_edge(f"edge-{number}", *ZONES[number % len(ZONES)])
        for service in ("shop", "model"):
            for number in range(ENGINES):
                zone = ZONES[number][0]
                cluster.add_shared_engine(
                    f"{service}-{number}", service, zone, slots=SLOTS, work=WORK_S
                )
        await cluster.put_configuration(make_configuration())
        names = list(cluster.edges)
        for first in range(0, edges, EDGES_STARTED_TOGETHER):
            started = names[first : first + EDGES_STARTED_TOGETHER]
            for name in started:
                cluster.start_edge(name)
            await cluster.wait_edges_ready(*started)
        await world.wait_until(
            lambda: has_engines(context, 2 * ENGINES), "engines are known"
        )

    context.run(run())


@when(
    "the engines of a service crash after more than {tolerance:d} refusals in a "
    "second, under {rate:d} {kind} a second for {seconds:d} seconds"
)
def send_load(context, tolerance, rate, kind, seconds):
    is_stream = kind == "streams"
    context.call_s = STREAM_S if is_stream else WORK_S
    context.names = [
        f"{'model' if is_stream else 'shop'}-{number}" for number in range(ENGINES)
    ]

    async def run():
        cluster = context.world.cluster
        for name in context.names:
            await cluster.inject(name, "down-for", seconds=RESTART_S)
            await cluster.inject(
                name, "brittle", manner=str(tolerance), amount=float(SLOTS)
            )
        context.results, tasks = [], []
        edges = list(cluster.edges.values())
        started_s = time.monotonic()
        for number in range(rate * seconds):
            await asyncio.sleep(max(0.0, started_s + number / rate - time.monotonic()))
            call = send_call(context, edges[number % len(edges)], number, is_stream)
            tasks.append(asyncio.ensure_future(call))
        await asyncio.gather(*tasks)
        context.served_s = time.monotonic() - started_s
        context.engines = [await cluster.read_engine(name) for name in context.names]

    context.run(run())


@then("from {start:d} seconds on, no more than {most:d} of them crashed")
def check_falls(context, start, most):
    first_s = min(engine["brittle_at_s"] for engine in context.engines)
    falls = [
        at_s - first_s
        for engine in context.engines
        for at_s in engine["falls"]
        if at_s >= first_s + start
    ]
    served = sum(item.status == 200 for item in context.results)
    assert len(falls) <= most, (len(falls), served, len(context.results))


@then("at least {share:g} of their room was used, or all calls were served")
def check_room_used(context, share):
    served = sum(item.status == 200 for item in context.results)
    room = ENGINES * SLOTS / context.call_s * context.served_s
    assert served >= min(share * room, 0.98 * len(context.results)), (
        served,
        room,
        len(context.results),
    )


@then("refused calls were told when to come back")
def check_retry_after(context):
    refused = [item for item in context.results if item.status in (429, 503)]
    assert all(item.retry_after is not None for item in refused)
