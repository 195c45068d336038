"""Steps on streams that callers take up after their host has died."""

import asyncio

from behave import given, then, when
from tools.rawclient import RawConnection, RawResponse
from tools.sharedcaller import make_headers
from tools.sharedcluster import SharedCluster, make_configuration

from features.steps.edge_steps import has_engines

ENGINES = 4
EVENT_INTERVAL_MS = 15
BODY = b"pattern"
TARGET = "/review/1"
FIRST_NUMBER = 1
FIRST_RUN = (("Resumes", f"{FIRST_NUMBER:016x}"),)
COPY_HEADER = "Kv-From"
TIMEOUT_MS = 30_000


@given("a shared platform with {edges:d} edges and 4 model engines in one zone")
def start_hosts(context, edges):
    async def run():
        world = context.world
        world.cluster = cluster = SharedCluster("takeups")
        cluster.add_platform()
        await cluster.wait_ready("platform")
        for number in range(edges):
            cluster.plan_edge(f"edge-{number}", "zone-a", "region-a")
        for number in range(ENGINES):
            cluster.add_shared_engine(f"model-{number}", "model", "zone-a")
        document = make_configuration()
        document["routes"][0]["timeout_ms"] = TIMEOUT_MS
        await cluster.put_configuration(document)
        for name in cluster.edges:
            cluster.start_edge(name)
        await cluster.wait_edges_ready()
        await world.wait_until(
            lambda: has_engines(context, ENGINES), "engines are registered"
        )
        context.take_ups = []

    context.run(run())


async def find_run(context, number):
    """Return the engine of an attempt and its run."""
    runs = await context.world.cluster.list_runs()
    return next(
        (engine, run)
        for engine, items in runs.items()
        for run in items
        if run["attempt_id"] == f"{number:016x}"
    )


@when(
    "a stream of {events:d} events is read up to event {last:d}, and its host is killed"
)
def read_and_kill(context, events, last):
    async def run():
        context.events = events
        context.first = RawResponse()
        headers = make_headers(FIRST_NUMBER, events, timeout_ms=TIMEOUT_MS)
        cluster = context.world.cluster
        async with RawConnection(cluster.edges["edge-0"]) as connection:
            connection.send("POST", TARGET, headers, BODY)
            await connection.read_first_events(context.first, last)
            _, begun = await find_run(context, FIRST_NUMBER)
            context.backup_address = begun["headers"]["Sapphirerock-Kv-Backup"]
            cluster.processes["edge-0"].kill()

    context.run(run())


def make_take_up_headers(context, number, resumed=FIRST_RUN):
    last = ("Last-Event-Id", str(context.first.events[-1]))
    return make_headers(number, context.events, last, *resumed, timeout_ms=TIMEOUT_MS)


async def take_up(context, edge, number, body=BODY, resumed=FIRST_RUN):
    """Take the stream up at an edge and keep its response."""
    headers = make_take_up_headers(context, number, resumed)
    async with RawConnection(context.world.cluster.edges[edge]) as connection:
        connection.send("POST", TARGET, headers, body)
        response = await connection.read_response(TIMEOUT_MS / 1000)
    context.take_ups.append(response)


@when("its caller takes it up")
def take_up_at_once(context):
    context.run(take_up(context, "edge-1", 2))


@when("its caller takes it up without the id of its first attempt")
def take_up_without_id(context):
    context.run(take_up(context, "edge-1", 2, resumed=()))


@when("its caller takes it up twice, since the second host is killed too")
def take_up_twice_in_turn(context):
    async def run():
        cluster = context.world.cluster
        async with RawConnection(cluster.edges["edge-1"]) as connection:
            headers = make_take_up_headers(context, 2, ())
            connection.send("POST", TARGET, headers, BODY)
            second = RawResponse()
            await connection.read_first_events(second, 60)
            cluster.processes["edge-1"].kill()
        context.first = second
        await take_up(context, "edge-2", 3, resumed=())

    context.run(run())


@when("its caller takes it up after the engine with the copy has crashed")
def take_up_without_copy(context):
    async def run():
        cluster = context.world.cluster
        backup = next(
            name
            for name, url in cluster.urls.items()
            if url == f"http://{context.backup_address}"
        )
        await cluster.inject(backup, "crash")
        await take_up(context, "edge-1", 2)

    context.run(run())


@when("it is taken up with another body")
def take_up_other_body(context):
    context.run(take_up(context, "edge-1", 2, b"another pattern"))


@when("it is taken up at two hosts at once")
def take_up_twice(context):
    async def run():
        await asyncio.gather(
            take_up(context, "edge-1", 2), take_up(context, "edge-2", 3)
        )

    context.run(run())


@then("the take-ups read {prompts:d} prompts and {result}")
def check_take_ups(context, prompts, result):
    runs = context.run(context.world.cluster.list_runs())
    first_id = f"{FIRST_NUMBER:016x}"
    take_ups = [
        run for items in runs.values() for run in items if run["attempt_id"] != first_id
    ]
    prefills = sum(bool(run["prefilled"]) for run in take_ups)
    copies = sum(COPY_HEADER in run["headers"] for run in take_ups)
    assert prefills == prompts, take_ups
    last = context.first.events[-1]
    expected = list(range(last + 1, context.events + 1))
    for response in context.take_ups:
        assert response.status == 200 and response.is_complete, response.status
        assert response.events == expected, response.events
    if result == "no engine goes on from its copy":
        assert copies == 0, take_ups
    if result == "one engine goes on from its copy":
        assert copies == 1, take_ups
