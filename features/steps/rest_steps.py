"""Steps on engines that ask for rest or say that they leave."""

import asyncio
import time

from behave import then, when

from features.steps.enginecut_steps import plan_calls, send_one

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
