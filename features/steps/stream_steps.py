"""Steps on streams of the shared platform."""

import asyncio
import time

from behave import given, then, when
from tools.rawclient import RawConnection
from tools.sharedcaller import StreamCaller, make_headers
from tools.sharedcluster import PlannedEdge
from yarl import URL

from features.steps.edge_steps import list_all_runs, start_cluster

FAULTS = {}
POISON_PROMPT = b"a pattern that no loom takes"


def register_fault(text):
    """Register a fault of a stream's engine under its text in the feature.

    The function gets the step context, the engine's name and the run of the stream.
    """

    def register(function):
        FAULTS[text] = function
        return function

    return register


async def start_model_engines(context, edges, engines, zones, **options):
    """Start edges and engines; the options are those of the engine stand-ins."""
    await start_cluster(context, edges, engines, zones, **options)
    context.callers = []


@given(
    "a shared platform with {edges:d} edges and {engines:d} model engines in "
    "{zones:d} zones"
)
def start_with_several_edges(context, edges, engines, zones):
    context.run(start_model_engines(context, edges, engines, zones))


@given(
    "a shared platform with {edges:d} edge and {engines:d} model engines in "
    "{zones:d} zones"
)
def start_with_one_edge(context, edges, engines, zones):
    context.run(start_model_engines(context, edges, engines, zones))


@given(
    "a shared platform with {edges:d} edge and {engines:d} model engines in "
    "{zones:d} zones that prefill slowly"
)
def start_with_slow_prefill(context, edges, engines, zones):
    context.run(start_model_engines(context, edges, engines, zones, prompt=1.0))


@given(
    "a shared platform with {edges:d} edges and {engines:d} model engines in "
    "{zones:d} zones that crash on a poison request"
)
def start_with_poison_prompt(context, edges, engines, zones):
    context.run(
        start_model_engines(
            context, edges, engines, zones, poison=POISON_PROMPT.decode()
        )
    )


def start_callers(context, count, events, last_event_id=0):
    """Start callers that read streams through the edges in turn."""
    edges = list(context.world.cluster.edges.values())

    async def run():
        for number in range(count):
            edge = edges[number % len(edges)]
            caller = StreamCaller(edge, 100 + number, events, last_event_id)
            context.callers.append(caller)
        context.world.background_tasks = [caller.task for caller in context.callers]

    context.run(run())


@when("a caller reads a stream of {events:d} events")
def read_stream(context, events):
    start_callers(context, 1, events)


@when("a caller asks for a stream of {events:d} events")
def request_stream(context, events):
    start_callers(context, 1, events)


@when("a caller asks for a stream of {events:d} events after event {after:d}")
def request_rest(context, events, after):
    start_callers(context, 1, events, after)


@when("{count:d} callers read streams of {events:d} events")
def read_streams(context, count, events):
    start_callers(context, count, events)


async def wait_events(context, count):
    """Wait until the first caller has received `count` events."""

    async def has_events():
        return len(context.callers[0].response.events) >= count

    await context.world.wait_until(has_events, f"{count} events")


async def find_engine(context, attempt_id):
    """Wait until an engine runs a call; return its name and the run."""
    cluster = context.world.cluster
    found = []

    async def find():
        for name, runs in (await cluster.list_runs(waits=False)).items():
            for run in runs:
                if run["attempt_id"] == attempt_id and not run["ended"]:
                    found.append((name, run))
        return bool(found)

    await context.world.wait_until(find, "an engine runs the call")
    return found[-1]


async def find_backup(context, run):
    """Return the name of the engine that holds the backup of a run's KV cache."""
    address = run["headers"]["Sapphirerock-Kv-Backup"]
    urls = context.world.cluster.urls
    return next(name for name, url in urls.items() if url.endswith(address))


@register_fault("crashes")
async def crash(context, engine, run):
    await context.world.cluster.inject(engine, "crash")


@register_fault("stops responding")
async def stop_responding(context, engine, run):
    await context.world.cluster.inject(engine, "down", seconds=60, manner="silent")


@register_fault("resets its connections")
async def reset_connections(context, engine, run):
    await context.world.cluster.inject(engine, "reset-connections")


@register_fault("loses its backup and crashes 2 s later")
async def crash_backup_first(context, engine, run):
    await crash(context, await find_backup(context, run), run)
    await asyncio.sleep(2.0)
    engine, _ = await find_engine(context, run["attempt_id"])
    await crash(context, engine, run)


@register_fault("and its backup crash together")
async def crash_with_backup(context, engine, run):
    backup = await find_backup(context, run)
    await asyncio.gather(crash(context, engine, run), crash(context, backup, run))


@register_fault("starts to drain and crashes 0.5 s later")
async def drain_and_crash(context, engine, run):
    await context.world.cluster.inject(engine, "leave")
    await asyncio.sleep(0.5)
    await crash(context, engine, run)


@register_fault("and all others of its zone crash together")
async def crash_zone(context, engine, run):
    await crash_engines_of_zone(context, engine)


async def crash_engines_of_zone(context, engine):
    """Crash all model engines in the zone of an engine."""
    cluster = context.world.cluster
    prefix = cluster.urls[engine].rsplit(":", 1)[0]
    names = [
        name
        for name, url in cluster.urls.items()
        if name.startswith("model-") and url.rsplit(":", 1)[0] == prefix
    ]
    await asyncio.gather(*(cluster.inject(name, "crash") for name in names))


@when("after {count:d} events its engine {fault}")
def inject_after_events(context, count, fault):
    async def run():
        await wait_events(context, count)
        engine, engine_run = await find_engine(context, context.callers[0].attempt_id)
        await FAULTS[fault](context, engine, engine_run)

    context.run(run())


@when("before the first event its engine {fault}")
def inject_before_first_event(context, fault):
    async def run():
        engine, engine_run = await find_engine(context, context.callers[0].attempt_id)
        await FAULTS[fault](context, engine, engine_run)

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
def crash_with_idle_connection(context, seconds):
    cluster = context.world.cluster

    async def run():
        url = URL(cluster.urls["model-0"])
        # Only the address and the caller port are used to connect.
        engine = PlannedEdge("model-0", "", "", url.host, url.port, 0, 0, 0)
        connection = RawConnection(engine)
        context.idle_connection = await connection.__aenter__()
        # A response shows that the stand-in has accepted the connection.
        response = await connection.request(
            "GET", "/standin/runs", [("Host", url.host)]
        )
        assert response.status == 200, response
        await cluster.inject("model-0", "down-for", seconds=seconds)
        await cluster.inject("model-0", "crash")

    context.run(run())


@then("a request on that connection is reset without a response")
def check_idle_connection(context):
    async def run():
        connection = context.idle_connection
        response = await connection.request(
            "POST", "/review/1", make_headers(1, 5), b"pattern"
        )
        await connection.__aexit__()
        assert response.status == 0, response
        assert connection.reader.at_eof() or connection.reader.exception(), response

    context.run(run())


@when("all engines of one zone crash during the streams")
def crash_one_zone(context):
    async def run():
        await wait_events(context, 20)
        engine, _ = await find_engine(context, context.callers[0].attempt_id)
        await crash_engines_of_zone(context, engine)

    context.run(run())


@when("{times:d} times in a row the engines of streams {fault}")
def inject_repeatedly(context, times, fault):
    cluster = context.world.cluster

    async def run():
        await wait_events(context, 10)
        for _ in range(times):
            engine, _ = await find_engine(context, context.callers[0].attempt_id)
            if fault == "reset their connections":
                await cluster.inject(engine, "reset-connections")
            else:
                await cluster.inject(engine, "down", seconds=1.2, manner="silent")
            await asyncio.sleep(0.6)

    context.run(run())


@when("a poison request is sent {times:d} times, to each edge in turn")
def send_poison(context, times):
    edges = list(context.world.cluster.edges.values())

    async def run():
        await wait_events(context, 5)
        context.poison_attempts = []
        for number in range(times):
            headers = make_headers(900 + number, 10)
            async with RawConnection(edges[number % len(edges)]) as connection:
                started_s = time.monotonic()
                response = await connection.request(
                    "POST", "/review/poison", headers, POISON_PROMPT
                )
                took_s = time.monotonic() - started_s
                context.poison_attempts.append((response.status, took_s, response))
            await asyncio.sleep(1.0)

    context.run(run())


@then("it crashed at most {count:d} engines, and its last attempt was refused at once")
def check_poison_refused(context, count):
    runs = [
        run
        for run in context.run(list_all_runs(context))
        if run["target"] == "/review/poison"
    ]
    assert len(runs) <= count, runs
    status, took_s, response = context.poison_attempts[-1]
    assert status >= 400, response
    assert took_s < 0.5, took_s


async def wait_callers(context):
    async with asyncio.timeout(40):
        await asyncio.gather(*(caller.task for caller in context.callers))


@then("the caller gets every event once and in order, in one response")
def check_complete(context):
    check_all_complete(context)


@then("each caller gets every event once and in order, in one response")
def check_all_complete(context):
    context.run(wait_callers(context))
    for caller in context.callers:
        expected = list(range(1, caller.event_count + 1))
        assert caller.response.events == expected, (
            caller.response.status,
            caller.response.events,
        )
        assert caller.response.is_complete


@then("the caller gets the events from {first:d} to {last:d} once, in one response")
def check_rest(context, first, last):
    context.run(wait_callers(context))
    (caller,) = context.callers
    assert caller.response.events == list(range(first, last + 1)), (
        caller.response.events
    )
    assert caller.response.is_complete


@then("no pause is longer than {bound:g} seconds")
def check_pause(context, bound):
    (caller,) = context.callers
    assert caller.longest_pause_s <= bound, caller.longest_pause_s


def count_prefills(context):
    """Return how many runs of all engines prefilled their prompt."""
    runs = context.run(list_all_runs(context))
    return sum(bool(run["prefilled"]) for run in runs)


@then("{count:d} prompts were prefilled in all")
def check_prefills(context, count):
    assert count_prefills(context) == count, count_prefills(context)


@then("at most {count:d} prompts were prefilled in all")
def check_max_prefills(context, count):
    assert count_prefills(context) <= count, count_prefills(context)


@then("the response ends incomplete, with its events in order")
def check_incomplete(context):
    context.run(wait_callers(context))
    (caller,) = context.callers
    events = caller.response.events
    assert events == list(range(1, len(events) + 1)), events
    assert 20 <= len(events) < caller.event_count
    assert not caller.response.is_complete


STREAM_ENDINGS = {
    "closes the connection after the last event": "unframed-stream",
    "closes the connection inside the third event": "torn-stream",
}


@when("a stream of {events:d} events is sent, and its engine {ending}")
def send_unframed_stream(context, events, ending):
    async def run():
        cluster = context.world.cluster
        engines = [name for name in cluster.urls if name.startswith("model-")]
        for name in engines:
            await cluster.inject(name, "spoil", manner=STREAM_ENDINGS[ending], amount=1)
        edge = cluster.edges["edge-0"]
        async with RawConnection(edge) as connection:
            context.response = await connection.request(
                "POST", "/review/1", make_headers(1, events), b"wool"
            )

    context.run(run())


@then("the caller got all {events:d} events, and {runs:d} engines ran the stream")
def check_unframed_stream(context, events, runs):
    assert context.response.status == 200, context.response
    assert context.response.events == list(range(1, events + 1)), context.response
    assert context.response.is_complete, context.response
    assert len(context.run(list_all_runs(context))) == runs
