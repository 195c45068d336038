"""Steps on load, deadlines, shares and hedges."""

import asyncio
import time
from functools import partial

from behave import given, then, when
from tools.localcluster import ORGANISATION_KEY, hash_key
from tools.scenario import MODEL

from sapphirerock.load.experiment import Experiment, Plan, PlannedFault

ZONES = (("zone-a", "region-a"), ("zone-b", "region-a"))
SECOND_KEY = "second-organisation-key"
TOKEN_INTERVAL_S = 0.02
SLOWNESS = 400


@given(
    "one router and {engines:d} engine of {slots:d} slots whose reports lag by "
    "{lag:d} seconds"
)
@given(
    "one router and {engines:d} engines of {slots:d} slots whose reports lag by "
    "{lag:d} seconds"
)
def start_small(context, engines, slots, lag):
    options = {
        "capacity": slots,
        "token_interval": TOKEN_INTERVAL_S,
        "report_lag": float(lag),
    }
    context.slots = engines * slots
    context.run(
        context.world.start(
            [("r1", *ZONES[0])],
            [(f"e{number + 1}", *ZONES[0], options) for number in range(engines)],
        )
    )


@when("a sister firm takes all slots")
def occupy(context):
    context.run(context.world.cluster.inject("e1", "occupy", amount=context.slots))


def begin(context, count, tokens, deadline_s, key=ORGANISATION_KEY, priority=0):
    """Start generations at once; return their tasks."""
    tasks = []
    for number in range(count):
        caller = context.world.make_caller(key=key)
        task = asyncio.ensure_future(
            caller.generate(
                f"{key} {number} {priority}",
                tokens,
                start_timeout_s=deadline_s,
                priority=priority,
            )
        )
        tasks.append(task)
        context.world.calls.append(task)
    return tasks


@when("{count:d} generations are asked for with a deadline of {seconds:d} second")
def ask_late(context, count, seconds):
    ask(context, count, 20, seconds)


@when(
    "{count:d} generations of {tokens:d} tokens are asked for at once with a deadline "
    "of {seconds:d} seconds"
)
def ask(context, count, tokens, seconds):
    async def run():
        begin(context, count, tokens, seconds)
        context.records = await context.world.finish_calls()

    context.deadline_s = seconds
    context.run(run())


@then("each was refused within {seconds:d} seconds with Retry-After")
def check_all_refused(context, seconds):
    for record in context.records:
        took_s = record.ended_s - record.started_s
        assert record.status == 429 and int(record.retry_after) >= 1, record
        assert took_s <= seconds, took_s


@then("the engine runs nothing for them")
def check_nothing_runs(context):
    cluster = context.world.cluster

    async def is_idle():
        load = await cluster.get_json(cluster.urls["e1"] + "/v1/load")
        return load["queued"] == 0 and load["running"] <= context.slots

    context.run(context.world.wait_until(is_idle, "the engine is idle"))


def split_refused(context):
    refused = [record for record in context.records if not record.tokens]
    return refused, [record for record in context.records if record.tokens]


@then("some came whole and all others were refused with Retry-After")
def check_some_refused(context):
    refused, served = split_refused(context)
    assert refused and served, (len(refused), len(served))
    assert all(record.is_whole for record in served)
    for record in refused:
        assert record.status == 429 and int(record.retry_after) >= 1, record


@then("half of the refusals came within {seconds:d} second")
def check_prompt_refusals(context, seconds):
    refused, _ = split_refused(context)
    times = sorted(record.ended_s - record.started_s for record in refused)
    assert times[len(times) // 2] <= seconds, times


@then("no accepted generation waited longer than its deadline")
def check_deadline(context):
    _, served = split_refused(context)
    latest = max(record.first_token_s for record in served)
    assert latest <= context.deadline_s, latest


@given("a second organisation of the same weight")
def declare_second(context):
    cluster = context.world.cluster
    document = {
        "kind": "organisations",
        "organisations": [{"name": "buyers", "key_sha256": hash_key(SECOND_KEY)}],
    }

    async def run():
        status, answer = await cluster.put_settings(
            "team/organisations/second", document
        )
        assert status == 200, answer
        assert not await cluster.wait_in_force(answer["version"])

    context.run(run())


@when(
    "the first sends {many:d} generations of {tokens:d} tokens and the second {few:d}"
)
def send_unequal(context, many, tokens, few):
    async def run():
        context.first = begin(context, many, tokens, 60)
        await asyncio.sleep(0.3)
        context.second = begin(context, few, tokens, 60, SECOND_KEY)
        await context.world.finish_calls()

    context.run(run())


def list_ends(tasks):
    return sorted(task.result().ended_s for task in tasks)


@then("the second's generations ended before most of the first's")
def check_fair(context):
    first, second = list_ends(context.first), list_ends(context.second)
    assert second[-1] < first[len(first) * 2 // 3], (first, second)


@when("{count:d} generations of {tokens:d} tokens wait and one of priority 9 arrives")
def send_priority(context, count, tokens):
    async def run():
        context.first = begin(context, count, tokens, 60)
        await asyncio.sleep(0.3)
        context.second = begin(context, 1, tokens, 60, priority=9)
        await context.world.finish_calls()

    context.run(run())


@then("that one ended before most of the others")
def check_priority(context):
    first, second = list_ends(context.first), list_ends(context.second)
    assert second[0] < first[len(first) // 2], (first, second)


@given("two linked zones with 1 router each, and 2 plain services")
def start_services(context):
    services = [
        (f"s{number + 1}", *place, {"delay": 0.01})
        for number, place in enumerate(ZONES)
    ]
    context.run(
        context.world.start(
            [(f"r{number + 1}", *place) for number, place in enumerate(ZONES)],
            (),
            services,
            linked=True,
        )
    )


@when("one plain service is slow and {checks:d} checks and {orders:d} orders are sent")
def send_to_slow(context, checks, orders):
    world = context.world

    async def check():
        sent_s = time.monotonic()
        status, _, _ = await world.call("GET", "/v1/services/stock/check")
        return status, time.monotonic() - sent_s

    async def run():
        # One slow call takes 4 seconds, longer than a call may take.
        await world.cluster.inject("s1", "slow", amount=SLOWNESS)
        context.checks = [await check() for _ in range(checks)]
        await world.cluster.inject("s1", "slow", amount=20)
        for number in range(orders):
            await world.call(
                "POST",
                "/v1/services/stock/orders/fleece",
                body=b"{}",
                Idempotency_Key=f"order-{number}",
            )

    context.run(run())


@then("{good:d} of {count:d} checks took less than {seconds:f} seconds")
def check_hedged(context, good, count, seconds):
    prompt = [
        took_s
        for status, took_s in context.checks
        if status == 200 and took_s < seconds
    ]
    assert len(prompt) >= good, context.checks


@then("each order ran once")
def check_orders(context):
    cluster = context.world.cluster

    async def run():
        total = {}
        for name in ("s1", "s2"):
            for key, runs in (
                await cluster.get_json(cluster.urls[name] + "/runs")
            ).items():
                total[key] = total.get(key, 0) + runs
        return total

    runs = context.run(run())
    assert runs and all(count == 1 for count in runs.values()), runs


@when(
    "generations arrive at 80 percent of capacity for {seconds:d} seconds and half the "
    "engines are down from second {start:d} to {end:d}"
)
def run_cascade(context, seconds, start, end):
    cluster = context.world.cluster
    urls = [cluster.urls[name] for name in ("e1", "e2", "e3", "e4")]
    tokens = 50
    rate = 0.8 * context.slots / (tokens * TOKEN_INTERVAL_S)
    down = partial(PlannedFault, float(start), kind="down")
    faults = [down(target=url, fields={"seconds": end - start}) for url in urls[:2]]
    faults += [PlannedFault(float(start), url, "crash") for url in urls[:2]]
    plan = Plan(
        "half the engines crash",
        tuple(cluster.get_router_urls()),
        tuple(urls),
        ORGANISATION_KEY,
        MODEL,
        rate,
        float(seconds),
        tokens=(tokens, tokens),
        start_timeout_s=4.0,
        faults=tuple(faults),
    )
    context.report = context.run(Experiment(plan, seed=3).run())
    context.crash_s, context.window_s = start, seconds


@then("every accepted generation came whole")
def check_accepted_whole(context):
    report = context.report
    assert report.broken == 0 and report.whole > 0, report


@then(
    "in the last {seconds:d} seconds goodput was at least {share:d} percent of that "
    "before the crash"
)
def check_goodput(context, seconds, share):
    goodput = context.report.goodput_tokens_per_s
    before = goodput[context.crash_s - seconds : context.crash_s]
    after = goodput[context.window_s - seconds : context.window_s]
    assert sum(after) >= share / 100 * sum(before), goodput
