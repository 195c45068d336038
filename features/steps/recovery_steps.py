"""Steps on generations that lose engines, routers and journal holders."""

import asyncio
import time

from behave import given, then, when

from sapphirerock.standin.chain import find_broken_token

LOSSES = {}
ENGINE_OPTIONS = {"token_interval": 0.02}
PAUSE_BETWEEN_LOSSES_S = 0.6


def register_loss(text):
    """Register a coroutine function under the text of the loss in the feature."""

    def register(function):
        LOSSES[text] = function
        return function

    return register


@given("two zones with {routers:d} routers and {engines:d} engines each")
def start_two_zones(context, routers, engines):
    zones = [("zone-a", "region-a"), ("zone-b", "region-a")]
    router_numbers = iter(range(1, 100))
    engine_numbers = iter(range(1, 100))
    context.run(
        context.world.start(
            [(f"r{next(router_numbers)}", *zone) for zone in zones]
            + [
                (f"r{next(router_numbers)}", *zone)
                for zone in zones
                for _ in range(routers - 1)
            ],
            [
                (f"e{next(engine_numbers)}", *zone, ENGINE_OPTIONS)
                for zone in zones
                for _ in range(engines)
            ],
        )
    )


@given("two zones whose links take {delay:d} milliseconds each way")
def start_slow_links(context, delay):
    world = context.world
    zones = [("zone-a", "region-a"), ("zone-b", "region-a")]

    async def run():
        await world.start(
            [(f"r{number + 1}", *zones[number % 2]) for number in range(4)],
            [
                (f"e{number + 1}", *zones[number % 2], ENGINE_OPTIONS)
                for number in range(4)
            ],
            linked=True,
        )
        await world.cluster.inject("link", "delay", seconds=delay / 1000)

    context.run(run())


@when("a generation of {tokens:d} tokens is read through {host}")
def begin_generation(context, tokens, host):
    begin_reading(context, tokens, host, resumes=True)


@when(
    "a caller without event ids reads a generation of {tokens:d} tokens through {host}"
)
def begin_generation_without_event_ids(context, tokens, host):
    begin_reading(context, tokens, host, resumes=False)


def begin_reading(context, tokens, host, resumes):
    """Start a generation through a host; the other hosts serve reconnects."""
    world = context.world
    others = [name for name in world.cluster.list_routers() if name != host]

    async def run():
        world.begin_generation(
            "a long pattern archive", tokens, host, *others, resumes=resumes
        )
        await asyncio.sleep(0)

    context.run(run())


@when("after {tokens:d} tokens {loss}")
def cause_loss(context, tokens, loss):
    world = context.world

    async def run():
        world.step_data["engine"] = await world.find_busy_engine()
        if tokens:
            await world.wait_tokens(tokens)
        world.fault_at_s = time.monotonic()
        await LOSSES[loss](world)

    context.run(run())


@register_loss("its engine is killed")
async def kill_engine(world):
    name = world.step_data["engine"]
    world.fault_at_s = time.monotonic()
    world.cluster.processes[name].kill()


@register_loss("its engine freezes for 4 seconds")
async def freeze_engine(world):
    name = world.step_data["engine"]
    await pause_process(world, name, 4)


@register_loss("all engines stand still for 1.2 s")
async def silence_engines(world):
    status = await world.cluster.read_status("r1")
    for upstream in status["upstreams"]:
        await pause_process(world, upstream["name"], 1.2)


async def pause_process(world, name, seconds):
    """Pause a process and let a timer resume it; return at once."""
    process = world.cluster.processes[name]
    world.fault_at_s = time.monotonic()
    process.pause()
    asyncio.get_running_loop().call_later(seconds, process.resume)


@register_loss("its engine's open connections go silent")
async def silence_engine(world):
    name = world.step_data["engine"]
    world.fault_at_s = time.monotonic()
    await world.cluster.inject(name, "silence")


@register_loss("its engine is killed and restarts at its address")
async def restart_engine(world):
    process = world.cluster.processes[world.step_data["engine"]]
    world.fault_at_s = time.monotonic()
    process.kill()
    process.start()


@register_loss("two engines are killed one after the other")
async def kill_two_engines(world):
    await kill_engine(world)
    await asyncio.sleep(PAUSE_BETWEEN_LOSSES_S)
    world.step_data["engine"] = await world.find_busy_engine()
    await kill_engine(world)


@register_loss("the router is killed")
async def kill_router(world):
    host = world.find_serving_router()
    world.fault_at_s = time.monotonic()
    world.cluster.processes[host].kill()


@register_loss("the router is paused for 4 seconds")
async def pause_router(world):
    await pause_process(world, world.find_serving_router(), 4)


@register_loss("the router and its engine are killed together")
async def kill_router_and_engine(world):
    name = world.step_data["engine"]
    await kill_router(world)
    world.cluster.processes[name].kill()


@register_loss("the router, its journal holder and its engine are killed together")
async def kill_router_holder_and_engine(world):
    last_event_id = world.callers[-1].records[0].last_event_id
    await kill_router_and_engine(world)
    world.cluster.processes[last_event_id.rsplit("@", 1)[1]].kill()


@register_loss("the journal holder is killed")
async def kill_journal_holder(world):
    last_event_id = world.callers[-1].records[0].last_event_id
    holder = last_event_id.rsplit("@", 1)[1]
    assert holder, "the generation has no journal holder"
    world.fault_at_s = time.monotonic()
    world.cluster.processes[holder].kill()


@register_loss("the journal holder is killed, then the router")
async def kill_journal_holder_then_router(world):
    await kill_journal_holder(world)
    await asyncio.sleep(PAUSE_BETWEEN_LOSSES_S)
    await kill_router(world)


@register_loss("the journal holder is killed, then the engine")
async def kill_journal_holder_then_engine(world):
    await kill_journal_holder(world)
    await asyncio.sleep(PAUSE_BETWEEN_LOSSES_S)
    await kill_engine(world)


@then("the generation is complete, with a single generation id")
def check_complete(context):
    (record,) = context.run(context.world.finish_calls())
    context.record = record
    details = (record.status, record.problem, len(record.tokens), record.reconnects)
    assert record.is_whole, details
    assert len(record.generation_ids) == 1, record.generation_ids


@then("its caller did not have to reconnect")
def check_no_reconnect(context):
    assert not context.record.reconnects, context.record.reconnects


@then("it resumed within {seconds:d} seconds")
def check_resume_latency(context, seconds):
    gap_s = context.record.find_gap_after(context.world.fault_at_s)
    if gap_s is not None:  # None if the loss came after the last token
        assert gap_s <= seconds, gap_s
    assert context.record.longest_gap_s <= seconds, context.record.longest_gap_s


@then("the caller gets the problem generation-lost within {seconds:d} seconds")
def check_generation_lost(context, seconds):
    (record,) = context.run(context.world.finish_calls())
    context.record = record
    assert record.problem is not None, len(record.tokens)
    assert record.problem["type"].endswith("generation-lost"), record.problem
    took_s = record.ended_s - context.world.fault_at_s
    assert took_s <= seconds, took_s


@then("the tokens that it got are the first ones of a single generation")
def check_first_tokens(context):
    record = context.record
    assert find_broken_token(record.prompt, record.tokens) is None
    assert len(record.generation_ids) == 1


@then("no more than {tokens:d} tokens were decoded")
def check_decoded(context, tokens):
    cluster = context.world.cluster

    async def count():
        total = 0
        for name in ("e1", "e2", "e3", "e4"):
            if cluster.processes[name].is_running:
                counters = await cluster.get_json(cluster.urls[name] + "/v1/counters")
                total += counters["decoded_tokens"]
        return total

    total = context.run(count())
    assert total <= tokens, total


@then("it resumed over a new connection to the same engine")
def check_same_engine(context):
    cluster = context.world.cluster

    async def read():
        name = context.world.step_data["engine"]
        counters = await cluster.get_json(cluster.urls[name] + "/v1/counters")
        return counters["decoded_tokens"]

    assert context.run(read()) == len(context.record.tokens)
