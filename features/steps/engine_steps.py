"""Steps on engines that crash, leave or stop."""

import asyncio
import time

from behave import given, then, when

from sapphirerock.platform.names import ENGINES_KIND

ZONES = (("zone-a", "region-a"), ("zone-b", "region-a"))
MARKER = "POISON"
SLOW_ENGINE = {"token_interval": 0.03}
LEAVING_BOUND_S = 3.0
PROBES = 12
WORDS = {}


def register_word(text):
    def register(function):
        WORDS[text] = function
        return function

    return register


@given(
    "a zone with {routers:d} routers and {engines:d} engines that a marked prompt kills"
)
def start_with_marker(context, routers, engines):
    options = {"crash_marker": MARKER, "token_interval": 0.02}
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
def start_two_linked(context, routers, engines):
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


@when("{count:d} innocent generations run through every host")
@when("{count:d} generations are under way through every host")
def begin_many(context, count):
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
        context.marked = []
        for host in (first, second):
            caller = world.make_caller(host)
            context.marked.append(await caller.generate(f"{MARKER} archive", 50))

    context.run(run())


@then("at most {count:d} engines were lost")
def check_engines_lost(context, count):
    processes = context.world.cluster.processes
    lost = [
        name
        for name, process in processes.items()
        if name.startswith("e") and not process.is_running
    ]
    assert len(lost) <= count, lost


@then("the marked request got its final answer with Retry-After")
def check_marked(context):
    for record in context.marked:
        assert record.problem["type"].endswith("request-crashes-engines"), (
            record.status,
            record.problem,
        )
        assert int(record.retry_after) > 0
    assert context.marked[1].ended_s - context.marked[1].started_s < 1.0


@then("every innocent generation came whole")
@then("every generation under way came whole")
def check_all_whole(context):
    context.records = context.run(context.world.finish_calls())
    broken = [
        (record.prompt, record.status, record.problem, len(record.tokens))
        for record in context.records
        if not record.is_whole
    ]
    assert not broken, broken


@when("the same request meets a frozen engine, a cut and silent connections")
def meet_no_crash(context):
    world = context.world
    cluster = world.cluster

    async def run():
        world.begin_generation("the same request", 150, "r1")
        await world.wait_tokens(10)
        engine = await world.find_busy_engine()
        cluster.processes[engine].pause()
        await world.wait_tokens(40)
        cluster.processes[engine].wake()
        prefix = cluster.get_zone_prefix("zone-a")
        await cluster.inject("link", "silence", source=prefix, target="127.0.0.8")
        await world.wait_tokens(80)
        await cluster.inject("link", "cut", source=prefix, target="127.0.0.8")
        await asyncio.sleep(1.0)
        await cluster.inject("link", "heal", source=prefix, target="127.0.0.8")

    context.run(run())


@then("it came whole")
def check_one_whole(context):
    (record,) = context.run(context.world.finish_calls())
    assert record.is_whole, (record.status, record.problem, len(record.tokens))


@then("no request is under suspicion")
def check_no_suspicion(context):
    async def run():
        for host in context.world.cluster.list_routers():
            status = await context.world.cluster.read_status(host)
            assert status["suspects"] == 0, (host, status["suspects"])

    context.run(run())


@register_word("the platform's list")
async def mark_in_list(context):
    cluster = context.world.cluster
    entry = {
        "service": "quote",
        "address": cluster.urls[context.leaving].removeprefix("http://"),
        "zone": ZONES[0][0],
        "slots": 1,
        "state": "draining",
    }
    await cluster.put_object(ENGINES_KIND, context.leaving, entry)


@register_word("its own word")
async def mark_by_itself(context):
    await context.world.cluster.inject(context.leaving, "leave")


@register_word("its own word while zone-a is cut off from the platform")
async def mark_without_platform(context):
    await context.world.cluster.cut_platform("cut", "zone-a")
    await mark_by_itself(context)


@register_word("its own word while the zones are cut off from each other")
async def mark_while_cut(context):
    await context.world.cluster.cut_zones("cut", "zone-a", "zone-b")
    await mark_by_itself(context)


@when("an engine is marked as leaving by {word}")
def mark_leaving(context, word):
    context.leaving = "e1"
    context.run(WORDS[word](context))


@then("within 3 seconds no host gives it new work")
def check_no_new_work(context):
    world = context.world
    cluster = world.cluster

    async def read_jobs():
        url = cluster.urls[context.leaving] + "/v1/counters"
        return (await cluster.get_json(url))["submitted"]

    async def run():
        await asyncio.sleep(LEAVING_BOUND_S)
        before = await read_jobs()
        for number in range(PROBES):
            host = cluster.list_routers()[number % 2]
            record = await world.make_caller(host).generate(f"new {number}", 3)
            assert record.is_whole, (host, record.problem)
        assert await read_jobs() == before

    context.run(run())


@when("{name} is told to stop")
def stop_gracefully(context, name):
    process = context.world.cluster.processes[name]

    async def run():
        context.stopped_s = time.monotonic()
        context.stopping = asyncio.get_running_loop().run_in_executor(
            None, process.stop
        )
        await asyncio.sleep(0)

    context.run(run())


@then("no caller of those had to reconnect")
def check_no_reconnect(context):
    again = [record.prompt for record in context.records if record.reconnects]
    assert not again, again


@then("{name} ended by itself")
def check_ended(context, name):
    async def run():
        return await context.stopping

    assert context.run(run()) == 0


@when("every engine sends {count:d} malformed events among {generations:d} generations")
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
