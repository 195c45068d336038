"""Steps on non-idempotent calls."""

import asyncio
import time
from dataclasses import dataclass

from aiohttp import ClientError, ClientTimeout
from behave import given, then, when
from tools.localcluster import ORGANISATION_KEY

FAULTS = {}
ROUTES = {}
ORDER_KEY = "purchase-1"
ORDER_PATH = "/v1/services/stock/orders/fleece"
CALL_BOUND_S = 8.0
LONG_DOWN_S = 600
SLOW_BEFORE_DOWN_S = 0.3
RECORDED_WITHIN_S = 0.5


@dataclass(slots=True)
class OrderAnswer:
    """What a caller was told; `outcome` is empty when there was no answer."""

    host: str
    status: int
    outcome: str
    retry_after: str
    took_s: float


def register_fault(text):
    def register(function):
        FAULTS[text] = function
        return function

    return register


def register_route(text):
    def register(function):
        ROUTES[text] = function
        return function

    return register


@given(
    "two zones with {routers:d} routers each, {engines:d} engines and {services:d} "
    "plain services"
)
def start_for_orders(context, routers, engines, services):
    places = [("zone-a", "region-a"), ("zone-b", "region-a")]
    hosts = [(f"r{number + 1}", *places[number % 2]) for number in range(2 * routers)]
    context.run(
        context.world.start(
            hosts,
            [(f"e{number + 1}", *places[number % 2], {}) for number in range(engines)],
            [
                (f"s{number + 1}", *places[number % 2], {"delay": 0.4})
                for number in range(services)
            ],
        )
    )
    context.method = "POST"


@given("two linked zones with {routers:d} routers each and {services:d} plain services")
def start_linked_for_orders(context, routers, services):
    places = [("zone-a", "region-a"), ("zone-b", "region-a")]
    context.run(
        context.world.start(
            [(f"r{number + 1}", *places[number % 2]) for number in range(2 * routers)],
            (),
            [
                (f"s{number + 1}", *places[number % 2], {"delay": 0.2})
                for number in range(services)
            ],
            linked=True,
        )
    )
    context.method = "POST"


@when("the zones are cut off from each other")
def cut_zones(context):
    context.run(context.world.cluster.cut_zones("cut", "zone-a", "zone-b"))


@when("the zones are cut off from each other, one also from the platform")
def cut_zones_and_platform(context):
    cut_zones(context)
    context.run(context.world.cluster.cut_platform("cut", "zone-b"))


@given("this fault: {fault}")
def inject_fault(context, fault):
    context.run(FAULTS[fault](context))


@register_fault("none")
async def inject_nothing(context):
    return


@register_fault("the upstreams are killed")
async def kill_upstreams(context):
    for name in ("s1", "s2"):
        context.world.cluster.processes[name].kill()


@register_fault("the nearest upstream is killed")
async def kill_nearest(context):
    context.world.cluster.processes["s1"].kill()


@register_fault("the upstream is killed while an order runs")
async def kill_upstream_later(context):
    async def kill():
        await wait_order_under_way(context.world)
        await kill_upstreams(context)

    context.later = asyncio.ensure_future(kill())


@register_fault("the upstreams lose the next answer")
async def lose_answer(context):
    for name in ("s1", "s2"):
        await context.world.cluster.inject(name, "lose-answer", amount=1)


@register_fault("the upstreams lose the next answer to a PUT")
async def lose_put_answer(context):
    context.method = "PUT"
    await lose_answer(context)


@register_fault("the platform loses the next answer")
async def lose_platform_answer(context):
    await context.world.cluster.inject("platform", "lose-answer", amount=1)


@register_fault("the platform loses the next answers")
async def lose_platform_answers(context):
    await context.world.cluster.inject("platform", "lose-answer", amount=3)


@register_fault("the platform is slow")
async def slow_platform(context):
    await context.world.cluster.inject("platform", "slow", amount=200)


@register_fault("the platform is down")
async def stop_platform(context):
    await context.world.cluster.inject("platform", "down", seconds=LONG_DOWN_S)


@register_fault("the platform is slow, then down")
async def slow_then_stop_platform(context):
    await slow_platform(context)

    async def stop():
        await asyncio.sleep(SLOW_BEFORE_DOWN_S)
        await stop_platform(context)

    context.later = asyncio.ensure_future(stop())


@register_fault("the platform answers stale reads")
async def make_platform_stale(context):
    await context.world.cluster.inject("platform", "stale", seconds=0.3)


async def wait_order_under_way(world):
    async def has_run():
        for name in ("s1", "s2"):
            if world.cluster.processes[name].is_running:
                runs = await world.cluster.get_json(world.cluster.urls[name] + "/runs")
                if runs:
                    return True
        return False

    await world.wait_until(has_run, "an order is under way")


async def send_order(context, host):
    """Send the order through a host and note what the caller was told."""
    world = context.world
    headers = {
        "Authorization": f"Bearer {ORGANISATION_KEY}",
        "Idempotency-Key": ORDER_KEY,
    }
    started_s = time.monotonic()
    try:
        async with world.session.request(
            context.method,
            world.cluster.urls[host] + ORDER_PATH,
            data=b"{}",
            headers=headers,
            timeout=ClientTimeout(total=CALL_BOUND_S),
        ) as answer:
            await answer.read()
            told = OrderAnswer(
                host,
                answer.status,
                answer.headers.get("Sapphirerock-Outcome", ""),
                answer.headers.get("Retry-After", ""),
                time.monotonic() - started_s,
            )
    except (ClientError, TimeoutError, OSError):
        told = OrderAnswer(host, 0, "", "", time.monotonic() - started_s)
    world.answers.append(told)
    return told


@register_route("one host")
async def send_through_one(context):
    await send_order(context, "r1")


@register_route("every host in turn")
async def send_in_turn(context):
    for host in context.world.cluster.list_routers():
        await send_order(context, host)


@register_route("every host at once")
async def send_at_once(context):
    hosts = context.world.cluster.list_routers()
    await asyncio.gather(*(send_order(context, host) for host in hosts))
    await send_order(context, hosts[0])


@register_route("a host, then another after the upstreams were killed")
async def send_after_kill(context):
    await send_order(context, "r1")
    # The outcome is recorded with the bucket's next write.
    await asyncio.sleep(RECORDED_WITHIN_S)
    await kill_upstreams(context)
    await send_order(context, "r2")


@register_route("a host that is killed while it runs")
async def send_through_dying(context):
    sending = asyncio.ensure_future(send_order(context, "r1"))
    await wait_order_under_way(context.world)
    context.world.cluster.processes["r1"].kill()
    await sending
    await send_order(context, "r2")


@register_route("a host that is paused while it claims")
async def send_through_paused(context):
    await interrupt_claim(context, "pause")
    await send_order(context, "r2")
    context.world.cluster.processes["r1"].wake()
    await asyncio.sleep(1.0)
    await send_order(context, "r3")


@register_route("a host that is killed while it claims")
async def send_through_killed(context):
    await interrupt_claim(context, "kill")
    await send_order(context, "r2")
    await send_order(context, "r3")


async def interrupt_claim(context, action):
    """Stop a host some milliseconds after it took an order."""
    sending = asyncio.ensure_future(send_order(context, "r1"))
    await asyncio.sleep(0.03)
    getattr(context.world.cluster.processes["r1"], action)()
    context.world.calls.append(sending)


@when("one order key is sent through {route}")
def send_one_key(context, route):
    context.run(ROUTES[route](context))


@when("the platform is up again")
def restore_platform(context):
    context.run(context.world.cluster.inject("platform", "down", seconds=0))


@when("the same order key is sent again until it ran")
def send_until_ran(context):
    async def run():
        async def has_run():
            return (await send_order(context, "r2")).outcome == "ran"

        await context.world.wait_until(has_run, "the order ran")

    context.run(run())


async def count_runs(context):
    """Return how often the order ran, on upstreams that still live."""
    total = 0
    cluster = context.world.cluster
    for name in ("s1", "s2"):
        if cluster.processes[name].is_running:
            runs = await cluster.get_json(cluster.urls[name] + "/runs")
            total += runs.get(ORDER_KEY, 0)
    return total


@then("the order ran at most once")
def check_at_most_once(context):
    context.runs = context.run(count_runs(context))
    assert context.runs <= 1, (context.runs, context.world.answers)


@then("the order ran exactly once")
def check_exactly_once(context):
    runs = context.run(count_runs(context))
    assert runs == 1, (runs, context.world.answers)


@then("no key that was told not-run ever ran")
def check_not_run(context):
    told = [answer.outcome for answer in context.world.answers]
    # A key that was refused before may run when it is sent again.
    if told and all(outcome == "not-run" for outcome in told):
        assert context.runs == 0, context.world.answers
    ran = sum(answer.outcome == "ran" for answer in context.world.answers)
    if ran:
        assert context.runs == 1 or not all_upstreams_live(context)


def all_upstreams_live(context):
    cluster = context.world.cluster
    return all(cluster.processes[name].is_running for name in ("s1", "s2"))


@then("the last answer says {outcome}")
def check_outcome(context, outcome):
    seen = context.world.answers[-1]
    assert outcome in ("any", seen.outcome), context.world.answers


@then("the answer came within {seconds:d} seconds with Retry-After")
def check_prompt_refusal(context, seconds):
    answer = context.world.answers[-1]
    assert (answer.status, answer.outcome) == (503, "not-run"), answer
    assert answer.took_s <= seconds, answer
    assert int(answer.retry_after) >= 0


@then("a check and a generation are served by every host")
def check_others_go_on(context):
    world = context.world

    async def run():
        for host in world.cluster.list_routers():
            status, _, _ = await world.call(
                "GET", "/v1/services/stock/check", host=host
            )
            assert status == 200, (host, status)
            record = await world.make_caller(host).generate("without platform", 5)
            assert record.is_whole, (host, record.problem)

    context.run(run())
