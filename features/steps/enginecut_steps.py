"""Steps on hosts that are cut off from engines."""

import asyncio
import re
import time
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when
from tools.rawclient import RawConnection
from tools.sharedcaller import make_headers

from features.steps.edge_steps import start_cluster

# From this time after a cut began the calls at cut hosts count, as stated.
CONTACT_S = 4.0
BEFORE_CUT_S, AFTER_CUT_S = 1.0, 4.0
# Calls that come while the cut ends may still be sent through another host.
CUT_END_SLACK_S = 0.3
# Calls at cut hosts are to be served at least two thirds as often as at the others.
MIN_SERVED_RATIO = 2 / 3
MIN_SERVED_SHARE = 0.95
MIN_SERVED_BESIDE_TROUBLE = 0.9
STREAM_EVENTS = 20
NOT_RUN_STATUSES = (408, 421, 429, 503)
CUT_ENGINES = {
    "two engines of a service": ("shop-0", "shop-1"),
    "all engines of a service": ("model-0", "model-1", "model-2"),
    "one engine of each service": ("shop-0", "model-0"),
}
CUTS = {
    "one host": lambda edges: edges[:1],
    "a third of them": lambda edges: edges[::3],
    "a whole zone": lambda edges: [
        edge for edge in edges if edge.zone == edges[0].zone
    ],
    # Two of the three hosts of each zone.
    "two thirds": lambda edges: edges[: 2 * len(edges) // 3],
}


@given(
    "a shared platform with {edges:d} edges and {engines:d} engines of each service in "
    "3 zones"
)
def start_three_zones(context, edges, engines):
    context.run(start_cluster(context, edges, engines, zones=3, slots=64))


async def send_one(
    context, edge, number, kind, event_count=STREAM_EVENTS, timeout_ms=None
):
    """Send one call without retries and record what its caller gets.

    A stream has `event_count` events. By default, streams may take 8 s and plain
    calls 1 s.
    """
    stream_timeout_ms = timeout_ms or 8000
    result = SimpleNamespace(
        edge=edge.name,
        attempt_id=f"{number:016x}",
        kind=kind,
        at_s=time.monotonic() - context.started_s,
        status=0,
        is_served=False,
        took_s=0.0,
        retry_after=None,
    )
    context.results.append(result)
    try:
        async with RawConnection(edge) as connection:
            if kind == "stream":
                headers, target = (
                    make_headers(number, event_count, timeout_ms=stream_timeout_ms),
                    f"/review/{number}",
                )
                response = await connection.request("POST", target, headers, b"x")
                result.events = response.events
                is_whole = len(response.events) == event_count
            else:
                headers = make_headers(number, timeout_ms=timeout_ms or 1000)
                method, prefix = (
                    ("POST", "order") if kind == "order" else ("GET", "stock")
                )
                target = f"/{prefix}/{number}"
                body = b"order" if kind == "order" else b""
                response = await connection.request(method, target, headers, body)
                is_whole = result.attempt_id.encode() in response.body
    except (OSError, ValueError):
        # The connection was closed, or broken off within a stream.
        return
    result.status = response.status
    result.took_s = time.monotonic() - context.started_s - result.at_s
    result.retry_after = response.headers.get("retry-after")
    result.is_served = response.status == 200 and response.is_complete and is_whole


def plan_calls(load, duration_s):
    """Return (time in s, kind) of each call of a load, in the order of time."""
    planned = []
    for rate, noun in re.findall(r"(\d+) (calls|streams)", load):
        kinds = ("stock", "order") if noun == "calls" else ("stream",)
        planned += [
            (number / int(rate), kinds[number % len(kinds)])
            for number in range(int(int(rate) * duration_s))
        ]
    return sorted(planned)


TROUBLES = {}


def register_trouble(text):
    """Register the coroutine function that makes trouble at the relaying hosts."""

    def register(function):
        TROUBLES[text] = function
        return function

    return register


@register_trouble("nothing else happens")
async def leave_hosts(context, names):
    pass


@register_trouble("the other hosts restart in turn")
async def restart_hosts(context, names):
    cluster = context.world.cluster
    for name in names:
        await asyncio.to_thread(cluster.processes[name].stop)
        cluster.start_edge(name)
        await cluster.wait_edges_ready(name)


@register_trouble("one of the other hosts is killed")
async def kill_host(context, names):
    context.world.cluster.processes[names[0]].kill()
    await asyncio.sleep(3.0)
    context.world.cluster.start_edge(names[0])


@register_trouble("one of the other hosts freezes for 4 s")
async def freeze_host(context, names):
    context.world.cluster.processes[names[0]].pause()
    await asyncio.sleep(4.0)
    context.world.cluster.processes[names[0]].resume()


@when("engines {manner} the connections of {cut} for {seconds:d} seconds, under {load}")
def send_beside_cut(context, manner, cut, seconds, load):
    send_beside_trouble(context, manner, cut, seconds, load, "nothing else happens")


@when(
    "engines {manner} the connections of {cut} for {seconds:d} seconds while "
    "{trouble}, beside {load}"
)
def send_beside_trouble(context, manner, cut, seconds, load, trouble, engines=()):
    async def run():
        cluster = context.world.cluster
        edges = list(cluster.edges.values())
        cut_edges = CUTS[cut](edges)
        context.cut_names = {edge.name for edge in cut_edges}
        source = ",".join(edge.address for edge in cut_edges)
        cut_engines = engines or [
            name for name in cluster.urls if name.startswith(("shop", "model"))
        ]
        context.results, context.started_s = [], time.monotonic()
        context.cut_at_s, context.cut_end_s = BEFORE_CUT_S, BEFORE_CUT_S + seconds

        async def cut_off():
            await asyncio.sleep(BEFORE_CUT_S)
            for name in cut_engines:
                await cluster.inject(
                    name, "cut", seconds=float(seconds), manner=manner, source=source
                )

        async def make_trouble():
            await asyncio.sleep(BEFORE_CUT_S + CONTACT_S)
            names = [name for name in cluster.edges if name not in context.cut_names]
            await TROUBLES[trouble](context, names)

        tasks = [
            asyncio.ensure_future(cut_off()),
            asyncio.ensure_future(make_trouble()),
        ]
        duration_s = context.cut_end_s + AFTER_CUT_S
        for number, (at_s, kind) in enumerate(plan_calls(load, duration_s), 1):
            await asyncio.sleep(max(0.0, context.started_s + at_s - time.monotonic()))
            # Strides of 7 give each host calls of each kind.
            edge = edges[number * 7 % len(edges)]
            if not cluster.processes[edge.name].is_running:
                continue
            tasks.append(asyncio.ensure_future(send_one(context, edge, number, kind)))
        await asyncio.gather(*tasks)
        context.runs = await cluster.list_runs()

    context.run(run())


def count_served(results, names, from_s, until_s):
    """Return the numbers of calls served and sent at hosts within a time."""
    counted = [
        item for item in results if item.edge in names and from_s <= item.at_s < until_s
    ]
    return sum(item.is_served for item in counted), len(counted)


def list_failures(results, names, from_s, until_s):
    """Return how often each kind of call failed with each status."""
    return Counter(
        (item.kind, item.status)
        for item in results
        if item.edge in names and from_s <= item.at_s < until_s and not item.is_served
    )


@when(
    "one host is cut off from {engines}, which {manner} its connections, for "
    "{seconds:d} seconds under {load}"
)
def send_beside_partial_cut(context, engines, manner, seconds, load):
    send_beside_trouble(
        context,
        manner,
        "one host",
        seconds,
        load,
        "nothing else happens",
        CUT_ENGINES[engines],
    )


@then(
    "from {start:d} seconds on, calls are served at the first attempt at the cut hosts "
    "as often as at the others"
)
def check_cut_hosts_serve(context, start):
    from_s, until_s = context.cut_at_s + start, context.cut_end_s
    others = set(context.world.cluster.edges) - context.cut_names
    cut = count_served(context.results, context.cut_names, from_s, until_s)
    other = count_served(context.results, others, from_s, until_s)
    failures = list_failures(context.results, context.cut_names, from_s, until_s)
    other_failures = list_failures(context.results, others, from_s, until_s)
    seen = {"cut": (cut, failures), "others": (other, other_failures)}
    assert cut[0] / cut[1] >= MIN_SERVED_RATIO * other[0] / other[1], f"{seen}"
    assert cut[0] / cut[1] >= MIN_SERVED_SHARE, seen
    assert other[0] / other[1] >= MIN_SERVED_SHARE, seen


@then(
    "from {start:d} seconds on, nine in ten calls are served at the first attempt at "
    "the cut hosts"
)
def check_cut_hosts_serve_beside(context, start):
    from_s, until_s = context.cut_at_s + start, context.cut_end_s
    served, sent = count_served(context.results, context.cut_names, from_s, until_s)
    failures = list_failures(context.results, context.cut_names, from_s, until_s)
    assert served >= MIN_SERVED_BESIDE_TROUBLE * sent, (served, sent, failures)


@then("after the cut all hosts serve their calls at the first attempt")
def check_served_after_cut(context):
    from_s, until_s = context.cut_end_s + CUT_END_SLACK_S, context.cut_end_s + 60
    names = set(context.world.cluster.edges)
    served, sent = count_served(context.results, names, from_s, until_s)
    failures = list_failures(context.results, names, from_s, until_s)
    assert served / sent >= MIN_SERVED_SHARE, (served, sent, failures)


@then("no call ran twice, was joined from two answers, or was refused after it ran")
def check_calls_ran_once(context):
    runs = Counter(run["attempt_id"] for runs in context.runs.values() for run in runs)
    for item in context.results:
        if item.kind == "order":
            assert runs[item.attempt_id] <= 1, item
            if item.status in NOT_RUN_STATUSES:
                assert not runs[item.attempt_id], item
        if item.kind == "stream" and item.status == 200:
            wanted = list(range(1, len(item.events) + 1))
            assert item.events == wanted, (item.attempt_id, item.events)


@given("a shared platform with {edges:d} edges and 1 engine of each service in 1 zone")
def start_single_engine(context, edges):
    context.run(start_cluster(context, edges, 1, work=0.1))


@when("the engines fall silent for {seconds:g} s while {count:d} {kind} run")
def silence_engines(context, seconds, count, kind):
    async def run():
        cluster = context.world.cluster
        edges = list(cluster.edges.values())
        context.results, context.started_s = [], time.monotonic()
        kind_name = "order" if kind == "orders" else "stock"
        tasks = [
            asyncio.ensure_future(
                send_one(context, edges[number % len(edges)], number + 1, kind_name)
            )
            for number in range(count)
        ]
        await asyncio.sleep(0.03)
        await cluster.inject("shop-0", "freeze", seconds=seconds)
        await asyncio.gather(*tasks)
        context.runs = await cluster.list_runs()

    context.run(run())


@then("all of them get the engine's answer, and each ran once")
def check_answers(context):
    statuses = [item.status for item in context.results]
    assert all(item.is_served for item in context.results), statuses
    runs = Counter(run["attempt_id"] for runs in context.runs.values() for run in runs)
    assert set(runs.values()) == {1}, runs
