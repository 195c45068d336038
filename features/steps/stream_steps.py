"""Steps on streams of the shared platform."""

import asyncio
import time

from behave import given, then, when
from tools.rawclient import RawConnection
from tools.sharedcaller import StreamCaller, make_head
from tools.sharedcluster import PlannedEdge
from yarl import URL

from features.steps.edge_steps import list_all_runs, start_cluster

TROUBLES = {}
POISON = b"a pattern that no loom takes"


def register_trouble(text):
    """Register what a step does to an engine that runs a stream."""

    def register(function):
        TROUBLES[text] = function
        return function

    return register


async def start_engines(context, edges, engines, zones, **options):
    await start_cluster(context, edges, engines, zones, **options)
    context.callers = []


@given(
    "a shared platform with {edges:d} edges and {n:d} model engines in {zones:d} zones"
)
def start_many(context, edges, n, zones):
    context.run(start_engines(context, edges, n, zones))


@given(
    "a shared platform with {edges:d} edge and {n:d} model engines in {zones:d} zones"
)
def start_one(context, edges, n, zones):
    context.run(start_engines(context, edges, n, zones))


@given(
    "a shared platform with {edges:d} edge and {n:d} model engines in {zones:d} zones "
    "that read slowly"
)
def start_slow(context, edges, n, zones):
    context.run(start_engines(context, edges, n, zones, prompt=1.0))


@given(
    "a shared platform with {edges:d} edges and {n:d} model engines in {zones:d} zones "
    "with a poison"
)
def start_poisoned(context, edges, n, zones):
    context.run(start_engines(context, edges, n, zones, poison=POISON.decode()))


def begin(context, count, events, after=0):
    edges = list(context.world.cluster.edges.values())

    async def run():
        for number in range(count):
            edge = edges[number % len(edges)]
            caller = StreamCaller(edge, 100 + number, events, after)
            context.callers.append(caller)
        context.world.calls = [caller.task for caller in context.callers]

    context.run(run())


@when("a caller reads a stream of {events:d} events")
def begin_stream(context, events):
    begin(context, 1, events)


@when("a caller asks for a stream of {events:d} events")
def ask_stream(context, events):
    begin(context, 1, events)


@when("a caller asks for a stream of {events:d} events after event {after:d}")
def ask_rest(context, events, after):
    begin(context, 1, events, after)


@when("{count:d} callers read streams of {events:d} events")
def begin_streams(context, count, events):
    begin(context, count, events)


async def wait_events(context, count):
    async def has_events():
        return len(context.callers[0].answer.events) >= count

    await context.world.wait_until(has_events, f"{count} events")


async def find_engine(context, attempt_id):
    """Return the name of the engine that runs a call."""
    cluster = context.world.cluster
    found = []

    async def look():
        for name, runs in (await cluster.list_runs(waits=False)).items():
            for run in runs:
                if run["attempt_id"] == attempt_id and not run["ended"]:
                    found.append((name, run))
        return bool(found)

    await context.world.wait_until(look, "an engine runs the call")
    return found[-1]


async def find_backup(context, run):
    """Return the name of the engine that a run's memory is copied to."""
    address = run["headers"]["Sapphirerock-Kv-Backup"]
    urls = context.world.cluster.urls
    return next(name for name, url in urls.items() if url.endswith(address))


@register_trouble("crashes")
async def crash(context, engine, run):
    await context.world.cluster.inject(engine, "crash")


@register_trouble("goes silent")
async def silence(context, engine, run):
    await context.world.cluster.inject(engine, "down", seconds=60, manner="silent")


@register_trouble("resets its connections")
async def reset(context, engine, run):
    await context.world.cluster.inject(engine, "reset-connections")


@register_trouble("loses its backup, and crashes 2 s later")
async def lose_backup_first(context, engine, run):
    await crash(context, await find_backup(context, run), run)
    await asyncio.sleep(2.0)
    engine, _ = await find_engine(context, run["attempt_id"])
    await crash(context, engine, run)


@register_trouble("and its backup crash at once")
async def crash_both(context, engine, run):
    backup = await find_backup(context, run)
    await asyncio.gather(crash(context, engine, run), crash(context, backup, run))


@register_trouble("starts to leave")
async def leave(context, engine, run):
    await context.world.cluster.inject(engine, "leave")
    await asyncio.sleep(0.5)
    await crash(context, engine, run)


@register_trouble("and all others of its zone crash")
async def crash_zone(context, engine, run):
    await crash_neighbours(context, engine)


async def crash_neighbours(context, engine):
    """Crash all model engines of an engine's zone."""
    cluster = context.world.cluster
    prefix = cluster.urls[engine].rsplit(":", 1)[0]
    names = [
        name
        for name, url in cluster.urls.items()
        if name.startswith("model-") and url.rsplit(":", 1)[0] == prefix
    ]
    await asyncio.gather(*(cluster.inject(name, "crash") for name in names))


@when("after {count:d} events its engine {trouble}")
def trouble_engine(context, count, trouble):
    async def run():
        await wait_events(context, count)
        engine, found = await find_engine(context, context.callers[0].attempt_id)
        await TROUBLES[trouble](context, engine, found)

    context.run(run())


@when("before the first event its engine {trouble}")
def trouble_early(context, trouble):
    async def run():
        engine, found = await find_engine(context, context.callers[0].attempt_id)
        await TROUBLES[trouble](context, engine, found)

    context.run(run())


@when("after {count:d} events all engines crash for {seconds:d} seconds")
def crash_all(context, count, seconds):
    cluster = context.world.cluster

    async def run():
        await wait_events(context, count)
        names = [name for name in cluster.urls if name.startswith("model-")]
        for name in names:
            await cluster.inject(name, "down-for", seconds=seconds)
        await asyncio.gather(*(cluster.inject(name, "crash") for name in names))

    context.run(run())


@when("a model engine crashes for {seconds:d} seconds while a connection to it is idle")
def crash_beside_idle_connection(context, seconds):
    cluster = context.world.cluster

    async def run():
        url = URL(cluster.urls["model-0"])
        engine = PlannedEdge("model-0", "", "", url.host, url.port, 0, 0, 0)
        connection = RawConnection(engine)
        context.idle_connection = await connection.__aenter__()
        # An answer shows that the stand-in has accepted the connection.
        answer = await connection.ask("GET", "/standin/runs", [("Host", url.host)])
        assert answer.status == 200, answer
        await cluster.inject("model-0", "down-for", seconds=seconds)
        await cluster.inject("model-0", "crash")

    context.run(run())


@then("a request on that connection is reset without an answer")
def check_idle_connection(context):
    async def run():
        connection = context.idle_connection
        answer = await connection.ask("POST", "/review/1", make_head(1, 5), b"pattern")
        await connection.__aexit__()
        assert answer.status == 0, answer
        assert connection.reader.at_eof() or connection.reader.exception(), answer

    context.run(run())


@when("all engines of one zone crash meanwhile")
def crash_one_zone(context):
    async def run():
        await wait_events(context, 20)
        engine, _ = await find_engine(context, context.callers[0].attempt_id)
        await crash_neighbours(context, engine)

    context.run(run())


@when("{times:d} times in a row the engines of streams {trouble}")
def trouble_often(context, times, trouble):
    cluster = context.world.cluster

    async def run():
        await wait_events(context, 10)
        for _ in range(times):
            engine, _ = await find_engine(context, context.callers[0].attempt_id)
            if trouble == "reset their connections":
                await cluster.inject(engine, "reset-connections")
            else:
                await cluster.inject(engine, "down", seconds=1.2, manner="silent")
            await asyncio.sleep(0.6)

    context.run(run())


@when("a request that crashes its engine is sent {times:d} times, to each edge in turn")
def send_poison(context, times):
    edges = list(context.world.cluster.edges.values())

    async def run():
        await wait_events(context, 5)
        context.poisoned = []
        for number in range(times):
            head = make_head(900 + number, 10)
            async with RawConnection(edges[number % len(edges)]) as connection:
                started_s = time.monotonic()
                answer = await connection.ask("POST", "/review/poison", head, POISON)
                took_s = time.monotonic() - started_s
                context.poisoned.append((answer.status, took_s, answer))
            await asyncio.sleep(1.0)

    context.run(run())


@then("it crashed at most {count:d} engines, and its last answer came at once")
def check_poison(context, count):
    runs = [
        run
        for run in context.run(list_all_runs(context))
        if run["target"] == "/review/poison"
    ]
    assert len(runs) <= count, runs
    status, took_s, answer = context.poisoned[-1]
    assert status >= 400, answer
    assert took_s < 0.5, took_s


async def finish(context):
    async with asyncio.timeout(40):
        await asyncio.gather(*(caller.task for caller in context.callers))


@then("the caller gets every event once and in order, in one answer")
def check_whole(context):
    check_all_whole(context)


@then("each caller gets every event once and in order, in one answer")
def check_all_whole(context):
    context.run(finish(context))
    for caller in context.callers:
        expected = list(range(1, caller.events + 1))
        assert caller.answer.events == expected, (
            caller.answer.status,
            caller.answer.events,
        )
        assert caller.answer.is_whole


@then("the caller gets the events from {first:d} to {last:d} once, in one answer")
def check_rest(context, first, last):
    context.run(finish(context))
    (caller,) = context.callers
    assert caller.answer.events == list(range(first, last + 1)), caller.answer.events
    assert caller.answer.is_whole


@then("no pause is longer than {bound:g} seconds")
def check_pause(context, bound):
    (caller,) = context.callers
    assert caller.longest_pause_s <= bound, caller.longest_pause_s


def count_prompts(context):
    runs = context.run(list_all_runs(context))
    return sum(bool(run["prefilled"]) for run in runs)


@then("prompts were read {count:d} times in all")
def check_prompts(context, count):
    assert count_prompts(context) == count, count_prompts(context)


@then("prompts were read at most {count:d} times in all")
def check_most_prompts(context, count):
    assert count_prompts(context) <= count, count_prompts(context)


@then("the answer ends without looking complete, and what came is in order")
def check_incomplete(context):
    context.run(finish(context))
    (caller,) = context.callers
    events = caller.answer.events
    assert events == list(range(1, len(events) + 1)), events
    assert 20 <= len(events) < caller.events
    assert not caller.answer.is_whole
