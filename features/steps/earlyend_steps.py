"""Steps on responses that end early."""

import asyncio

from behave import given, then, when
from tools.rawclient import RawConnection, RawResponse
from tools.sharedcaller import make_headers

from features.steps.stream_steps import start_model_engines

END_BOUND_S = 6.0
EVENTS = {}


def register_event(text):
    """Register the coroutine function that makes a response end early.

    It gets the step context, the caller's connection and the response.
    """

    def register(function):
        EVENTS[text] = function
        return function

    return register


@given("a shared platform with {edges:d} edge and {engines:d} model engines in 1 zone")
def start_in_one_zone(context, edges, engines):
    context.run(start_model_engines(context, edges, engines, 1))


@register_event("leaves after 3 events")
async def leave_within(context, connection, response):
    await connection.read_first_events(response, 3)
    connection.writer.transport.abort()


@register_event("leaves before the first event")
async def leave_before(context, connection, response):
    await asyncio.sleep(0.05)
    connection.writer.transport.abort()


@register_event("all engines crash for 9 seconds")
async def crash_engines(context, connection, response):
    cluster = context.world.cluster
    await connection.read_first_events(response, 3)
    for name in [name for name in cluster.urls if name.startswith("model")]:
        await cluster.inject(name, "crash", seconds=9.0)
    await connection.read_rest(response)


@register_event("the edge is told to stop")
async def stop_edge(context, connection, response):
    await connection.read_first_events(response, 3)
    await asyncio.to_thread(context.world.cluster.processes["edge-0"].stop)
    await connection.read_rest(response)


@when("a caller sends a stream of {count:d} events, and {event}")
def send_and_end(context, count, event):
    async def run():
        edge = context.world.cluster.edges["edge-0"]
        async with RawConnection(edge) as connection:
            headers = make_headers(1, count, timeout_ms=30_000)
            connection.send("POST", "/review/1", headers, b"pattern")
            await EVENTS[event](context, connection, RawResponse())

    context.run(run())


def list_early_ends(context):
    """Return the log entries of responses that ended early."""
    entries = context.world.cluster.read_log_entries("edge-0")
    return [entry for entry in entries if entry["event"] == "response ended early"]


async def is_counted(context, cause):
    """Return whether the edge counted a response that ended early for a cause."""
    url = context.world.cluster.get_metrics_url("edge-0")
    async with context.world.session.get(url) as response:
        text = await response.text()
    return f'sapphirerock_early_ends_total{{cause="{cause}"}} 1.0' in text


@then("the edge logs that the response ended early, with the cause {cause}")
def check_early_end(context, cause):
    async def is_logged():
        return bool(list_early_ends(context))

    async def run():
        await context.world.wait_until(
            is_logged, "the early end is logged", END_BOUND_S
        )
        causes = [entry["cause"] for entry in list_early_ends(context)]
        assert causes == [cause], causes
        if context.world.cluster.processes["edge-0"].is_running:
            assert await is_counted(context, cause)

    context.run(run())
