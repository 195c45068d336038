"""Steps on calls that reach an engine late in the shutdown of a host."""

import asyncio
import signal
import time
from random import Random
from types import SimpleNamespace

from behave import given, then, when
from tools.rawclient import RawConnection, encode_request
from tools.sharedcaller import make_headers

from features.steps.edge_steps import start_cluster
from features.steps.stopping_steps import STOPPING_EDGE
from sapphirerock.decisions.fairqueue import FairQueue
from sapphirerock.decisions.leaving import Shutdown, StreamDurations
from sapphirerock.process.clock import ManualClock
from sapphirerock.process.engines.admission import AdmissionQueue
from sapphirerock.version.routing import Route, RouteKind

# Durations of streams that a host has served.
STREAM_S = 3.0
ROUTES = {
    "call": Route("order", "h", "/", RouteKind.NON_IDEMPOTENT, ()),
    "stream": Route("review", "h", "/", RouteKind.STREAMING, (), is_resumable=True),
    "stream that can't be resumed": Route("draft", "h", "/", RouteKind.STREAMING, ()),
}
# Orders that cannot be answered within the time limit of their route.
SLOW_ORDER_S = 1.5


def make_shutdown(clock):
    durations = StreamDurations()
    durations.long_s = durations.typical_s = STREAM_S
    return Shutdown(durations, clock)


@then(
    "after {elapsed:g} s it takes a {kind} that is ended within {remaining:g} s: "
    "{taken:w}"
)
def check_taken(context, elapsed, kind, remaining, taken):
    clock = ManualClock(100.0)
    shutdown = make_shutdown(clock)
    deadline_s = clock.monotonic() + elapsed + remaining
    assert shutdown.can_take(ROUTES[kind], deadline_s)
    shutdown.start(context.allowed_s)
    clock.advance(elapsed)
    assert shutdown.can_take(ROUTES[kind], deadline_s) == (taken == "yes")


@given("a host where a stream waits for memory")
def queue_stream(context):
    clock = ManualClock(100.0)
    context.shutdown = make_shutdown(clock)
    engines = SimpleNamespace(measure_service_rest_s=lambda service: 0.0)
    fleet = SimpleNamespace(
        engines=engines,
        place=lambda call, excluded: SimpleNamespace(
            view=SimpleNamespace(free_tokens=0)
        ),
        measure_load=lambda service: SimpleNamespace(
            capacity_tokens=88_000, memory_tokens=88_000
        ),
    )
    durations = StreamDurations()
    context.queue = AdmissionQueue(
        fleet, durations, context.shutdown, lambda: 1, Random(1), clock
    )
    context.queue._queues["model"] = FairQueue()
    context.call = SimpleNamespace(
        service="model",
        route=ROUTES["stream"],
        organisation="weavers",
        priority=1,
        response_deadline_s=clock.monotonic() + 25.0,
        metadata=SimpleNamespace(
            attempt_id="1", prompt=SimpleNamespace(memory_tokens=8_000)
        ),
    )
    context.clock = clock


@when("its shutdown is {elapsed:g} s old")
def age_shutdown(context, elapsed):
    async def run():
        admission = asyncio.ensure_future(context.queue.admit(context.call))
        await asyncio.sleep(0)
        context.queue.admit_waiting()
        assert not admission.done()
        context.shutdown.start(7.4)
        context.clock.advance(elapsed)
        context.queue.admit_waiting()
        await asyncio.sleep(0)
        context.admitted = admission.result() if admission.done() else None
        admission.cancel()

    context.run(run())


@then("the queued stream {waits_or_is_refused}")
def check_queued_stream(context, waits_or_is_refused):
    if waits_or_is_refused == "still waits":
        assert context.admitted is None, context.admitted
        return
    problem = context.admitted.error
    assert (problem.status, problem.retry_after_s) == (503, 0.1), problem


async def send_slowly(edge, number, events, end_s):
    """Send a stream's request whose body ends at a monotonic time; return a response.

    The head is sent at once.
    """
    headers = make_headers(number, events, timeout_ms=30_000)
    request = encode_request("POST", f"/review/{number}", headers, b"pattern", False)
    async with RawConnection(edge) as connection:
        connection.writer.write(request[:-1])
        await asyncio.sleep(end_s - time.monotonic())
        connection.writer.write(request[-1:])
        return await connection.read_response()


@when("the body of a stream of {events:d} events ends {delay:g} s after SIGTERM")
def send_late_body(context, events, delay):
    cluster = context.world.cluster
    edge = cluster.edges[STOPPING_EDGE]

    async def run():
        end_s = time.monotonic() + 0.3 + delay
        sending = asyncio.ensure_future(send_slowly(edge, 70, events, end_s))
        await asyncio.sleep(0.3)
        cluster.processes[STOPPING_EDGE].send_signal(signal.SIGTERM)
        context.response = await sending

    context.run(run())


@then("the stream is refused as not run, and no engine has run it")
def check_late_stream(context):
    response = context.response
    assert response.status == 503, response
    assert float(response.headers["retry-after"]) < 1
    runs = context.run(context.world.cluster.list_runs())
    attempts = {run["attempt_id"] for found in runs.values() for run in found}
    assert f"{70:016x}" not in attempts, attempts


@given("an edge that has {grace:g} s to stop, and engines too slow for orders")
def start_with_slow_engines(context, grace):
    async def run():
        await start_cluster(context, 1, 2, work=SLOW_ORDER_S, slots=64)
        cluster = context.world.cluster
        cluster.write_settings(STOPPING_EDGE, bounds={"grace_s": grace})
        cluster.processes[STOPPING_EDGE].send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)

    context.run(run())


@when(
    "it gets an order each {interval:d} ms from {first:g} s to {last:g} s after SIGTERM"
)
def send_late_orders(context, interval, first, last):
    cluster = context.world.cluster
    edge = cluster.edges[STOPPING_EDGE]

    async def send(number, delay_s):
        async with RawConnection(edge) as connection:
            await asyncio.sleep(delay_s)
            return await connection.request(
                "POST", f"/order/{number}", make_headers(number), b"one fleece"
            )

    async def run():
        count = round((last - first) * 1000 / interval)
        delays_s = [first + number * interval / 1000 for number in range(count)]
        cluster.processes[STOPPING_EDGE].send_signal(signal.SIGTERM)
        context.responses = await asyncio.gather(
            *(send(100 + number, delay_s) for number, delay_s in enumerate(delays_s))
        )

    context.run(run())


@then("each order that an engine has run is answered, and the others are refused")
def check_late_orders(context):
    runs = context.run(context.world.cluster.list_runs())
    ran = {run["attempt_id"] for found in runs.values() for run in found}
    assert ran, (context.responses[:3], runs)
    statuses = {
        f"{100 + number:016x}": response.status
        for number, response in enumerate(context.responses)
    }
    unanswered = [name for name in ran if not statuses[name]]
    assert not unanswered, (unanswered, statuses)
    # An order that waits in an engine's queue until its time is up gets 504.
    others = {status for name, status in statuses.items() if name not in ran}
    assert 503 in others and others <= {503, 504}, statuses
