"""Steps on orders, the non-idempotent calls."""

import asyncio
import time
from dataclasses import dataclass

from aiohttp import ClientError, ClientTimeout
from behave import given, then, when
from tools.localcluster import ORGANISATION_KEY

from sapphirerock.decisions.rendezvous import pick_candidate
from sapphirerock.process.orders.bucket import make_entry_key
from sapphirerock.process.orders.ledger import find_bucket_path

FAULTS = {}
SENDERS = {}
ORDER_KEY = "purchase-1"
ORDER_PATH = "/v1/services/stock/orders/fleece"
SERVICE = "stock"
ORGANISATION = "weavers"
CALL_TIMEOUT_S = 8.0
OUTAGE_S = 600
SLOW_BEFORE_OUTAGE_S = 0.3
OUTCOME_WRITE_WAIT_S = 0.5


@dataclass(slots=True)
class OrderResponse:
    """Response to an order that was sent through a host.

    Without a response, `status` is 0 and `outcome` and `retry_after` are empty.
    """

    host: str
    status: int
    outcome: str
    retry_after: str
    took_s: float


def register_fault(text):
    """Register a coroutine function under the text of its fault in the feature."""

    def register(function):
        FAULTS[text] = function
        return function

    return register


def register_sender(text):
    """Register a function that sends the order, under its text in the feature."""

    def register(function):
        SENDERS[text] = function
        return function

    return register


@given(
    "two zones with {routers:d} routers each, {engines:d} engines and {services:d} "
    "plain services"
)
def start_for_orders(context, routers, engines, services):
    zones = [("zone-a", "region-a"), ("zone-b", "region-a")]
    hosts = [(f"r{number + 1}", *zones[number % 2]) for number in range(2 * routers)]
    context.run(
        context.world.start(
            hosts,
            [(f"e{number + 1}", *zones[number % 2], {}) for number in range(engines)],
            [
                (f"s{number + 1}", *zones[number % 2], {"delay": 0.4})
                for number in range(services)
            ],
        )
    )
    context.method = "POST"


@given("two linked zones with {routers:d} routers each and {services:d} plain services")
def start_linked_for_orders(context, routers, services):
    zones = [("zone-a", "region-a"), ("zone-b", "region-a")]
    context.run(
        context.world.start(
            [(f"r{number + 1}", *zones[number % 2]) for number in range(2 * routers)],
            (),
            [
                (f"s{number + 1}", *zones[number % 2], {"delay": 0.2})
                for number in range(services)
            ],
            linked=True,
        )
    )
    context.method = "POST"


@given("each link takes {delay:d} milliseconds each way")
def delay_links(context, delay):
    context.run(context.world.cluster.inject("link", "delay", seconds=delay / 1000))


@when("the zones are cut off from each other")
def cut_zones(context):
    context.run(context.world.cluster.switch_zone_links("cut", "zone-a", "zone-b"))


@when("the zones are cut off from each other, one also from the platform")
def cut_zones_and_platform(context):
    cut_zones(context)
    context.run(context.world.cluster.switch_platform_links("cut", "zone-b"))


@given("this fault: {fault}")
def inject_fault(context, fault):
    context.run(FAULTS[fault](context))


@register_fault("none")
async def inject_no_fault(context):
    return


@register_fault("the upstreams are killed")
async def kill_upstreams(context):
    for name in ("s1", "s2"):
        context.world.cluster.processes[name].kill()


@register_fault("the nearest upstream is killed")
async def kill_nearest(context):
    context.world.cluster.processes["s1"].kill()


@register_fault("the upstream is killed while an order runs")
async def kill_upstreams_during_order(context):
    async def kill():
        await wait_for_running_order(context.world)
        await kill_upstreams(context)

    context.fault_task = asyncio.ensure_future(kill())


@register_fault("the upstreams lose the next response")
async def drop_responses(context):
    for name in ("s1", "s2"):
        await context.world.cluster.inject(name, "lose-answer", amount=1)


@register_fault("the upstreams lose the next response to a PUT")
async def drop_put_responses(context):
    context.method = "PUT"
    await drop_responses(context)


@register_fault("the platform loses the next response")
async def drop_platform_response(context):
    await context.world.cluster.inject("platform", "lose-answer", amount=1)


@register_fault("the platform loses the next responses")
async def drop_platform_responses(context):
    await context.world.cluster.inject("platform", "lose-answer", amount=3)


@register_fault("the platform is slow")
async def slow_platform(context):
    await context.world.cluster.inject("platform", "slow", amount=200)


@register_fault("the platform is down")
async def stop_platform(context):
    await context.world.cluster.inject("platform", "down", seconds=OUTAGE_S)


@register_fault("the platform is slow, then down")
async def slow_then_stop_platform(context):
    await slow_platform(context)

    async def stop():
        await asyncio.sleep(SLOW_BEFORE_OUTAGE_S)
        await stop_platform(context)

    context.fault_task = asyncio.ensure_future(stop())


@register_fault("the platform's reads are stale")
async def make_platform_reads_stale(context):
    await context.world.cluster.inject("platform", "stale", seconds=0.3)


async def wait_for_running_order(world):
    """Wait until an upstream has started to run an order."""

    async def has_run():
        for name in ("s1", "s2"):
            if world.cluster.processes[name].is_running:
                runs = await world.cluster.get_json(world.cluster.urls[name] + "/runs")
                if runs:
                    return True
        return False

    await world.wait_until(has_run, "an order is under way")


async def send_order(context, host):
    """Send the order through a host and record the response."""
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
            timeout=ClientTimeout(total=CALL_TIMEOUT_S),
        ) as http_response:
            await http_response.read()
            response = OrderResponse(
                host,
                http_response.status,
                http_response.headers.get("Sapphirerock-Outcome", ""),
                http_response.headers.get("Retry-After", ""),
                time.monotonic() - started_s,
            )
    except (ClientError, TimeoutError, OSError):
        response = OrderResponse(host, 0, "", "", time.monotonic() - started_s)
    world.order_responses.append(response)
    return response


@register_sender("one host")
async def send_through_one(context):
    await send_order(context, "r1")


@register_sender("every host in turn")
async def send_in_turn(context):
    for host in context.world.cluster.list_routers():
        await send_order(context, host)


@register_sender("every host at once")
async def send_at_once(context):
    hosts = context.world.cluster.list_routers()
    await asyncio.gather(*(send_order(context, host) for host in hosts))
    await send_order(context, hosts[0])


@register_sender("a host, then another after the upstreams were killed")
async def send_before_and_after_kill(context):
    await send_order(context, "r1")
    # The ledger stores the outcome with the next write of the bucket.
    await asyncio.sleep(OUTCOME_WRITE_WAIT_S)
    await kill_upstreams(context)
    await send_order(context, "r2")


@register_sender("a host that is killed while the order runs")
async def send_through_host_killed_in_run(context):
    send_task = asyncio.ensure_future(send_order(context, "r1"))
    await wait_for_running_order(context.world)
    context.world.cluster.processes["r1"].kill()
    await send_task
    await send_order(context, "r2")


@register_sender("a host that is paused while it claims the key")
async def send_through_host_paused_in_claim(context):
    await interrupt_claim(context, "pause")
    await send_order(context, "r2")
    context.world.cluster.processes["r1"].resume()
    await asyncio.sleep(1.0)
    await send_order(context, "r3")


@register_sender("a host that is killed while it claims the key")
async def send_through_host_killed_in_claim(context):
    await interrupt_claim(context, "kill")
    await send_order(context, "r2")
    await send_order(context, "r3")


async def interrupt_claim(context, action):
    """Pause or kill a host 30 ms after an order was sent to it."""
    send_task = asyncio.ensure_future(send_order(context, "r1"))
    await asyncio.sleep(0.03)
    getattr(context.world.cluster.processes["r1"], action)()
    context.world.background_tasks.append(send_task)


@when("one order key is sent through {hosts}")
def send_one_key(context, hosts):
    context.run(SENDERS[hosts](context))


@when("an order is sent through a host, then through the one that collects its claims")
def send_through_collecting_host(context):
    routers = context.world.cluster.list_routers()
    key = make_entry_key(SERVICE, ORGANISATION, ORDER_KEY)
    owner = pick_candidate(routers, find_bucket_path(SERVICE, key))
    other = next(host for host in routers if host != owner)

    async def run():
        await send_order(context, other)
        await send_order(context, owner)

    context.run(run())


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
    """Return how often the order ran, as counted by the upstreams that are alive."""
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
    assert context.runs <= 1, (context.runs, context.world.order_responses)


@then("the order ran exactly once")
def check_exactly_once(context):
    runs = context.run(count_runs(context))
    assert runs == 1, (runs, context.world.order_responses)


@then("no order reported as not-run ever ran")
def check_not_run(context):
    outcomes = [response.outcome for response in context.world.order_responses]
    # A key that was refused at first may run when it is sent again.
    if outcomes and all(outcome == "not-run" for outcome in outcomes):
        assert context.runs == 0, context.world.order_responses
    ran = sum(response.outcome == "ran" for response in context.world.order_responses)
    if ran:
        assert context.runs == 1 or not all_upstreams_run(context)


def all_upstreams_run(context):
    cluster = context.world.cluster
    return all(cluster.processes[name].is_running for name in ("s1", "s2"))


@then("the last response reports {outcome}")
def check_outcome(context, outcome):
    response = context.world.order_responses[-1]
    assert outcome in ("any", response.outcome), context.world.order_responses


@then("the order was refused within {seconds:d} seconds with Retry-After")
def check_early_refusal(context, seconds):
    response = context.world.order_responses[-1]
    assert (response.status, response.outcome) == (503, "not-run"), response
    assert response.took_s <= seconds, response
    assert int(response.retry_after) >= 0


@then("a check and a generation are served by every host")
def check_other_calls(context):
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
