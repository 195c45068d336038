"""Steps on the placement of models and its lease."""

import asyncio

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from tools.memoryplatform import MemoryPlatform

from sapphirerock.process.clock import ManualClock
from sapphirerock.process.orders.placer import LEASE_DURATION_S, LeaseKeeper

ZONES = (("zone-a", "region-a"), ("zone-b", "region-a"))
LOADS_PER_MINUTE = 60
FAULTS = {}


def register_fault(text):
    """Register a coroutine function under the text of its fault in the feature."""

    def register(function):
        FAULTS[text] = function
        return function

    return register


@given(
    "two zones with a router and a placer each, an engine that checks fencing numbers "
    "and one that does not"
)
def start_with_placers(context):
    world = context.world
    engines = [
        ("e1", *ZONES[0], {"checks_fencing": True}),
        ("e2", *ZONES[1], {"ignores_fencing": True}),
    ]

    async def run():
        await world.start([("r1", *ZONES[0]), ("r2", *ZONES[1])], engines)
        for number in (1, 2):
            path = world.cluster.folder / f"r{number}.json"
            world.cluster.spawn(f"p{number}", "placer", path)

    context.run(run())


@when("the engines are declared to hold {first} and {second}")
def declare_placement(context, first, second):
    cluster = context.world.cluster
    document = {
        "kind": "placement",
        "loads_per_minute": LOADS_PER_MINUTE,
        "upstreams": [
            {
                "upstream": name,
                "checks_fencing": checks,
                "models": [first, second],
                "order_delay_bound_s": 0.5,
            }
            for name, checks in (("e1", True), ("e2", False))
        ],
    }

    async def run():
        status, response = await cluster.put_settings("team/placement/e", document)
        assert status == 200, response
        await context.world.wait_until(
            lambda: has_holder(context), "a placer holds the lease", 15
        )

    context.run(run())


async def has_holder(context):
    return await find_holder(context) is not None


async def find_holder(context):
    """Return the first placer whose log reports the lease as held, or None."""
    for name in ("p1", "p2"):
        if "acquired by" in context.world.cluster.read_log(name):
            return name
    return None


@when("this fault of the placers occurs: {fault}")
def inject_fault(context, fault):
    context.run(FAULTS[fault](context))


@register_fault("none")
async def inject_no_fault(context):
    return


@register_fault("the holder is killed")
async def kill_holder(context):
    context.world.cluster.processes[await find_holder(context)].kill()


@register_fault("the holder is paused for longer than its lease")
async def pause_holder(context):
    process = context.world.cluster.processes[await find_holder(context)]
    process.pause()
    asyncio.get_running_loop().call_later(3 * LEASE_DURATION_S, process.resume)


@register_fault("the platform loses the next responses")
async def drop_platform_responses(context):
    await context.world.cluster.inject("platform", "lose-answer", amount=3)


async def read_orders(context, name):
    """Return the load and unload orders that an engine executed, oldest first."""
    url = context.world.cluster.urls[name] + "/v1/counters"
    return (await context.world.cluster.get_json(url))["orders"]


@then("the engines hold {first} and {second} within {seconds:d} seconds")
def check_placement(context, first, second, seconds):
    cluster = context.world.cluster

    async def is_placed():
        for name in ("e1", "e2"):
            load = await cluster.get_json(cluster.urls[name] + "/v1/load")
            if sorted(load["models"]) != sorted([first, second]):
                return False
        return True

    context.run(context.world.wait_until(is_placed, "the declared models", seconds))


@then("no engine executed an order of an older lease after one of a newer lease")
def check_fencing(context):
    async def run():
        # Gives a paused holder time to resume and send an order under its old lease.
        await asyncio.sleep(2 * LEASE_DURATION_S)
        for name in ("e1", "e2"):
            numbers = [
                order["fencing_number"] for order in await read_orders(context, name)
            ]
            assert numbers == sorted(numbers), (name, numbers)

    context.run(run())


@then("models were loaded at no more than the declared rate")
def check_load_rate(context):
    async def run():
        times = []
        for name in ("e1", "e2"):
            times += [order["at_s"] for order in await read_orders(context, name)]
        times.sort()
        spacing_s = 60 / LOADS_PER_MINUTE
        for before, after in zip(times, times[1:], strict=False):
            assert after - before >= 0.9 * spacing_s, times

    context.run(run())


@given("two lease keepers on a simulated clock")
def define_keeper_steps(context):
    context.keeper_steps = st.tuples(
        st.integers(0, 1), st.sampled_from(("keep", "pause")), st.floats(0.1, 5.0)
    )


@then(
    "in {examples:d} schedules of pauses, lost responses and outages at most one of "
    "them holds the lease"
)
def check_single_holder(context, examples):
    @settings(max_examples=examples, deadline=None, derandomize=True, database=None)
    @for_all(
        st.lists(st.sampled_from(("", "", "lose", "refuse")), max_size=60),
        st.lists(context.keeper_steps, max_size=60),
    )
    def check(faults, steps):
        context.run(run_lease_schedule(faults, steps))

    check()


async def run_lease_schedule(faults, steps):
    """Let two keepers on one clock renew or acquire the lease, unless paused.

    Checks after each step that at most one of them holds it.
    """
    platform = MemoryPlatform(faults)
    clock = ManualClock(100.0)
    keepers = [LeaseKeeper(platform, name, clock) for name in ("a", "b")]
    paused_until_s = [0.0, 0.0]
    for number, action, seconds in steps:
        if action == "pause":
            paused_until_s[number] = clock.monotonic() + seconds
        elif clock.monotonic() >= paused_until_s[number]:
            await keepers[number].renew_or_acquire()
        holders = [keeper for keeper in keepers if keeper.is_held]
        assert len(holders) <= 1, "both keepers hold the lease"
        clock.advance(min(seconds, 1.0))
