"""Steps on load, deadlines, fair shares, priorities and hedging."""

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
SLOWDOWN_FACTOR = 400


@given(
    "one router and {engines:d} engine of {slots:d} slots whose load reports lag by "
    "{lag:d} seconds"
)
@given(
    "one router and {engines:d} engines of {slots:d} slots whose load reports lag by "
    "{lag:d} seconds"
)
def start_one_router(context, engines, slots, lag):
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


@when("a client outside this system occupies all slots")
def occupy_slots(context):
    context.run(context.world.cluster.inject("e1", "occupy", amount=context.slots))


def begin_generations(
    context, count, tokens, deadline_s, key=ORGANISATION_KEY, priority=0
):
    """Start generations concurrently; return their tasks.

    The deadline is that of the first token, in seconds after the request.
    """
    tasks = []
    for number in range(count):
        caller = context.world.make_caller(organisation_key=key)
        task = asyncio.ensure_future(
            caller.generate(
                f"{key} {number} {priority}",
                tokens,
                start_timeout_s=deadline_s,
                priority=priority,
            )
        )
        tasks.append(task)
        context.world.background_tasks.append(task)
    return tasks


@when("{count:d} generations are requested with a deadline of {seconds:d} second")
def request_with_short_deadline(context, count, seconds):
    request_with_deadline(context, count, 20, seconds)


@when(
    "{count:d} generations of {tokens:d} tokens are requested at once with a deadline "
    "of {seconds:d} seconds"
)
def request_with_deadline(context, count, tokens, seconds):
    async def run():
        begin_generations(context, count, tokens, seconds)
        context.records = await context.world.finish_calls()

    context.deadline_s = seconds
    context.run(run())


@then("each was refused within {seconds:d} seconds with Retry-After")
def check_all_refused(context, seconds):
    for record in context.records:
        took_s = record.ended_s - record.started_s
        assert record.status == 429 and int(record.retry_after) >= 1, record
        assert took_s <= seconds, took_s


@then("the engine runs none of them")
def check_none_runs(context):
    cluster = context.world.cluster

    async def is_idle():
        load = await cluster.get_json(cluster.urls["e1"] + "/v1/load")
        return load["queued"] == 0 and load["running"] <= context.slots

    context.run(context.world.wait_until(is_idle, "the engine is idle"))


def split_records(context):
    """Return the records without a token and those with tokens."""
    refused = [record for record in context.records if not record.tokens]
    return refused, [record for record in context.records if record.tokens]


@then("some are complete and all others were refused with Retry-After")
def check_some_refused(context):
    refused, served = split_records(context)
    assert refused and served, (len(refused), len(served))
    assert all(record.is_whole for record in served)
    for record in refused:
        assert record.status == 429 and int(record.retry_after) >= 1, record


@then("half of the refusals came within {seconds:d} second")
def check_early_refusals(context, seconds):
    refused, _ = split_records(context)
    times = sorted(record.ended_s - record.started_s for record in refused)
    assert times[len(times) // 2] <= seconds, times


@then("no accepted generation got its first token after its deadline")
def check_deadline(context):
    _, served = split_records(context)
    latest_s = max(record.first_token_s for record in served)
    assert latest_s <= context.deadline_s, latest_s


@given("a second organisation of the same weight")
def declare_second(context):
    cluster = context.world.cluster
    document = {
        "kind": "organisations",
        "organisations": [{"name": "buyers", "key_sha256": hash_key(SECOND_KEY)}],
    }

    async def run():
        status, response = await cluster.put_settings(
            "team/organisations/second", document
        )
        assert status == 200, response
        assert not await cluster.wait_in_force(response["version"])

    context.run(run())


@when(
    "the first organisation sends {many:d} generations of {tokens:d} tokens and the "
    "second sends {few:d}"
)
def send_from_two_organisations(context, many, tokens, few):
    async def run():
        context.first_tasks = begin_generations(context, many, tokens, 60)
        await asyncio.sleep(0.3)
        context.second_tasks = begin_generations(context, few, tokens, 60, SECOND_KEY)
        await context.world.finish_calls()

    context.run(run())


def list_end_times(tasks):
    """Return the monotonic end times of finished generations, earliest first."""
    return sorted(task.result().ended_s for task in tasks)


@then(
    "the second organisation's generations ended before the last third of the first's"
)
def check_fair_share(context):
    first_ends, second_ends = (
        list_end_times(context.first_tasks),
        list_end_times(context.second_tasks),
    )
    assert second_ends[-1] < first_ends[len(first_ends) * 2 // 3], (
        first_ends,
        second_ends,
    )


@when("{count:d} generations of {tokens:d} tokens wait and one of priority 9 arrives")
def send_with_priority(context, count, tokens):
    async def run():
        context.first_tasks = begin_generations(context, count, tokens, 60)
        await asyncio.sleep(0.3)
        context.second_tasks = begin_generations(context, 1, tokens, 60, priority=9)
        await context.world.finish_calls()

    context.run(run())


@then("the generation of priority 9 ended before half of the others")
def check_priority(context):
    first_ends, second_ends = (
        list_end_times(context.first_tasks),
        list_end_times(context.second_tasks),
    )
    assert second_ends[0] < first_ends[len(first_ends) // 2], (first_ends, second_ends)


@given("two linked zones with 1 router each, and 2 plain services")
def start_services(context):
    services = [
        (f"s{number + 1}", *zone, {"delay": 0.01}) for number, zone in enumerate(ZONES)
    ]
    context.run(
        context.world.start(
            [(f"r{number + 1}", *zone) for number, zone in enumerate(ZONES)],
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
        # A slow call takes 4 seconds, longer than the call timeout of the service.
        await world.cluster.inject("s1", "slow", amount=SLOWDOWN_FACTOR)
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
def check_fast_checks(context, good, count, seconds):
    fast = [
        took_s
        for status, took_s in context.checks
        if status == 200 and took_s < seconds
    ]
    assert len(fast) >= good, context.checks


@then("each order ran once")
def check_orders_ran_once(context):
    cluster = context.world.cluster

    async def run():
        runs_by_key = {}
        for name in ("s1", "s2"):
            for key, runs in (
                await cluster.get_json(cluster.urls[name] + "/runs")
            ).items():
                runs_by_key[key] = runs_by_key.get(key, 0) + runs
        return runs_by_key

    runs = context.run(run())
    assert runs and all(count == 1 for count in runs.values()), runs


@when(
    "generations arrive at 80 percent of capacity for {seconds:d} seconds and half the "
    "engines are down from second {start:d} to {end:d}"
)
def run_crash_experiment(context, seconds, start, end):
    cluster = context.world.cluster
    urls = [cluster.urls[name] for name in ("e1", "e2", "e3", "e4")]
    tokens = 50
    rate = 0.8 * context.slots / (tokens * TOKEN_INTERVAL_S)
    plan_outage = partial(PlannedFault, float(start), kind="down")
    faults = [
        plan_outage(target=url, fields={"seconds": end - start}) for url in urls[:2]
    ]
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


@then("every accepted generation is complete")
def check_accepted_complete(context):
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
