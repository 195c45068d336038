"""Steps on engines that crash, drain, shut down or send malformed events."""

import asyncio
import time

from behave import given, then, when

from sapphirerock.platform.names import ENGINES_KIND

ZONES = (("zone-a", "region-a"), ("zone-b", "region-a"))
CRASH_MARKER = "POISON"
SLOW_ENGINE = {"token_interval": 0.03}
DRAIN_PROPAGATION_S = 3.0
PROBE_GENERATIONS = 12
DRAIN_SOURCES = {}


def register_drain_source(text):
    """Register a function that marks ``context.draining_engine`` as draining."""

    def register(function):
        DRAIN_SOURCES[text] = function
        return function

    return register


@given(
    "a zone with {routers:d} routers and {engines:d} engines that a marked prompt "
    "crashes"
)
def start_with_marker(context, routers, engines):
    options = {"crash_marker": CRASH_MARKER, "token_interval": 0.02}
    context.run(
        context.world.start(
            [(f"r{number + 1}", *ZONES[0]) for number in range(routers)],
            [(f"e{number + 1}", *ZONES[0], options) for number in range(engines)],
        )
    )


@given("a linked zone with {routers:d} routers and {engines:d} engines")
def start_linked_zone(context, routers, engines):
    context.run(
        context.world.start(
            [(f"r{number + 1}", *ZONES[0]) for number in range(routers)],
            [(f"e{number + 1}", *ZONES[0], SLOW_ENGINE) for number in range(engines)],
            linked=True,
        )
    )


@given("two linked zones with {routers:d} router and {engines:d} engines each")
def start_two_linked_zones(context, routers, engines):
    context.run(
        context.world.start(
            [(f"r{number + 1}", *ZONES[number % 2]) for number in range(2 * routers)],
            [
                (f"e{number + 1}", *ZONES[number % 2], SLOW_ENGINE)
                for number in range(2 * engines)
            ],
            linked=True,
        )
    )


@when("{count:d} unmarked generations run through every host")
@when("{count:d} generations are under way through every host")
def begin_generations(context, count):
    world = context.world
    hosts = world.cluster.list_routers()

    async def run():
        for number in range(count):
            host = hosts[number % len(hosts)]
            others = [name for name in hosts if name != host]
            world.begin_generation(f"innocent {number}", 120, host, *others)
        await asyncio.sleep(0.8)

    context.run(run())


@when("a marked request is sent through {first}, and again through {second}")
def send_marked(context, first, second):
    world = context.world

    async def run():
        context.marked_records = []
        for host in (first, second):
            caller = world.make_caller(host)
            context.marked_records.append(
                await caller.generate(f"{CRASH_MARKER} archive", 50)
            )

    context.run(run())


@then("at most {count:d} engines crashed")
def check_engines_crashed(context, count):
    processes = context.world.cluster.processes
    crashed = [
        name
        for name, process in processes.items()
        if name.startswith("e") and not process.is_running
    ]
    assert len(crashed) <= count, crashed


@then("the marked request was refused as a poison request with Retry-After")
def check_poison_refusal(context):
    for record in context.marked_records:
        assert record.problem["type"].endswith("request-crashes-engines"), (
            record.status,
            record.problem,
        )
        assert int(record.retry_after) > 0
    assert context.marked_records[1].ended_s - context.marked_records[1].started_s < 1.0


@then("every unmarked generation is complete")
@then("every generation under way is complete")
def check_all_complete(context):
    context.records = context.run(context.world.finish_calls())
    incomplete = [
        (record.prompt, record.status, record.problem, len(record.tokens))
        for record in context.records
        if not record.is_whole
    ]
    assert not incomplete, incomplete


@when("one request encounters a frozen engine, silent connections and a network cut")
def disturb_request(context):
    world = context.world
    cluster = world.cluster

    async def run():
        world.begin_generation("the same request", 150, "r1")
        await world.wait_tokens(10)
        engine = await world.find_busy_engine()
        cluster.processes[engine].pause()
        await world.wait_tokens(40)
        cluster.processes[engine].resume()
        prefix = cluster.get_zone_prefix("zone-a")
        await cluster.inject("link", "silence", source=prefix, target="127.0.0.8")
        await world.wait_tokens(80)
        await cluster.inject("link", "cut", source=prefix, target="127.0.0.8")
        await asyncio.sleep(1.0)
        await cluster.inject("link", "heal", source=prefix, target="127.0.0.8")

    context.run(run())


@then("its generation is complete")
def check_one_complete(context):
    (record,) = context.run(context.world.finish_calls())
    assert record.is_whole, (record.status, record.problem, len(record.tokens))


@then("no request is suspect")
def check_no_suspects(context):
    async def run():
        for host in context.world.cluster.list_routers():
            status = await context.world.cluster.read_status(host)
            assert status["suspects"] == 0, (host, status["suspects"])

    context.run(run())


@register_drain_source("its entry in the platform")
async def mark_in_platform(context):
    cluster = context.world.cluster
    entry = {
        "service": "quote",
        "address": cluster.urls[context.draining_engine].removeprefix("http://"),
        "zone": ZONES[0][0],
        "slots": 1,
        "version": "v1",
        "state": "draining",
    }
    await cluster.put_object(ENGINES_KIND, context.draining_engine, entry)


@register_drain_source("the engine itself")
async def mark_at_engine(context):
    await context.world.cluster.inject(context.draining_engine, "leave")


@register_drain_source("the engine itself while zone-a is cut off from the platform")
async def mark_without_platform(context):
    await context.world.cluster.switch_platform_links("cut", "zone-a")
    await mark_at_engine(context)


@register_drain_source("the engine itself while the zones are cut off from each other")
async def mark_without_other_zone(context):
    await context.world.cluster.switch_zone_links("cut", "zone-a", "zone-b")
    await mark_at_engine(context)


@when("an engine is marked as draining by {source}")
def mark_draining(context, source):
    context.draining_engine = "e1"
    context.run(DRAIN_SOURCES[source](context))


@then("3 seconds later no host sends it new work")
def check_no_new_work(context):
    world = context.world
    cluster = world.cluster

    async def read_submitted():
        url = cluster.urls[context.draining_engine] + "/v1/counters"
        return (await cluster.get_json(url))["submitted"]

    async def run():
        await asyncio.sleep(DRAIN_PROPAGATION_S)
        submitted_before = await read_submitted()
        for number in range(PROBE_GENERATIONS):
            host = cluster.list_routers()[number % 2]
            record = await world.make_caller(host).generate(f"new {number}", 3)
            assert record.is_whole, (host, record.problem)
        assert await read_submitted() == submitted_before

    context.run(run())


@when("{name} is asked to shut down")
def request_shutdown(context, name):
    process = context.world.cluster.processes[name]

    async def run():
        context.stop_requested_s = time.monotonic()
        context.exit_status = asyncio.get_running_loop().run_in_executor(
            None, process.stop
        )
        await asyncio.sleep(0)

    context.run(run())


@then("none of their callers had to reconnect")
def check_no_reconnect(context):
    reconnected = [record.prompt for record in context.records if record.reconnects]
    assert not reconnected, reconnected


@then("{name} exited with status 0")
def check_exit_status(context, name):
    async def run():
        return await context.exit_status

    assert context.run(run()) == 0


@when(
    "every engine sends {count:d} malformed events during {generations:d} generations"
)
def send_malformed(context, count, generations):
    world = context.world

    async def run():
        hosts = world.cluster.list_routers()
        for number in range(generations):
            world.begin_generation(f"garbled {number}", 120, hosts[number % 2])
        await asyncio.sleep(0.5)
        for name in ("e1", "e2", "e3"):
            await world.cluster.inject(name, "garble", amount=count)

    context.run(run())


@then("every router still runs")
def check_routers_run(context):
    cluster = context.world.cluster
    for host in cluster.list_routers():
        assert cluster.processes[host].is_running, host
