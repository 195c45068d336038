"""Steps that start the shared platform and send calls to its edges."""

import asyncio
import hashlib
import re
import time

from behave import given, then, when
from tools.rawclient import RawConnection, RawResponse, encode_request
from tools.sharedcaller import make_headers
from tools.sharedcluster import (
    CALLER_KEY,
    ORGANISATION,
    SharedCluster,
    make_configuration,
)

ZONES = (("zone-a", "region-a"), ("zone-b", "region-a"), ("zone-c", "region-b"))
SERVICES = ("model", "shop")
CALL_PATTERN = re.compile(
    r"(?P<method>[A-Z]+) (?P<target>\S+)(?: with (?P<size>\d+) bytes)?"
    r"(?P<chunked> in chunks)?(?P<manner> (?:with|without|to) .*)?$"
)


async def start_cluster(context, edges, engines, zones=1, events=20, **options):
    """Start a platform, edges and engines, spread over zones.

    Each service gets `engines` engines; the options are those of the engine stand-ins.
    Returns when every edge is ready and knows all engines.
    """
    world = context.world
    world.cluster = cluster = SharedCluster("shared")
    cluster.add_platform()
    await cluster.wait_ready("platform")
    for number in range(edges):
        cluster.plan_edge(f"edge-{number}", *ZONES[number % zones])
    for service in SERVICES:
        for number in range(engines):
            zone = ZONES[number % zones][0]
            cluster.add_shared_engine(f"{service}-{number}", service, zone, **options)
    await cluster.put_configuration(make_configuration())
    for name in cluster.edges:
        cluster.start_edge(name)
    await cluster.wait_edges_ready()
    await world.wait_until(
        lambda: has_engines(context, engines * len(SERVICES)), "engines are registered"
    )


async def has_engines(context, count):
    """Return whether every edge reports at least `count` engines in its metrics."""
    for name in context.world.cluster.edges:
        url = context.world.cluster.get_metrics_url(name)
        async with context.world.session.get(url) as response:
            text = await response.text()
        found = re.search(r"^sapphirerock_engines (\d+)", text, re.MULTILINE)
        if found is None or int(found[1]) < count:
            return False
    return True


@given("a shared platform with {edges:d} edge and {engines:d} engine of each service")
def start_with_one_engine(context, edges, engines):
    context.run(start_cluster(context, edges, engines))


@given("a shared platform with {edges:d} edge and {engines:d} engines of each service")
def start_with_engines(context, edges, engines):
    context.run(start_cluster(context, edges, engines))


@when("this call is sent: {call}")
def send_call(context, call):
    context.run(send_described_call(context, call))


@when("these calls are sent one after the other")
def send_calls(context):
    for row in context.table:
        context.run(send_described_call(context, row["call"]))


@then("the edge's metrics have at least these values")
def check_metrics(context):
    async def read():
        url = context.world.cluster.get_metrics_url("edge-0")
        async with context.world.session.get(url) as response:
            return await response.text()

    lines = context.run(read()).splitlines()
    found = dict(line.rsplit(" ", 1) for line in lines if not line.startswith("#"))
    for row in context.table:
        value = found.get(f"sapphirerock_{row['metric']}")
        assert value is not None, (row["metric"], sorted(found))
        assert float(value) >= float(row["at least"]), (row["metric"], value)


async def send_described_call(context, call):
    """Send the call that a text such as ``POST /order/1 with 9 bytes`` describes."""
    found = CALL_PATTERN.match(call)
    size, manner = int(found["size"] or 0), (found["manner"] or "").strip()
    events = 5 if found["target"].startswith("/review/") else 0
    options, extra = {}, []
    if manner == "to another host":
        options["host"] = "other.example"
    elif manner == "without a key":
        options["key"] = ""
    elif manner == "with an unknown key":
        options["key"] = "who-knows"
    body = bytes(number % 251 for number in range(size))
    if manner == "with a length and in chunks":
        extra = [("Content-Length", "5"), ("Transfer-Encoding", "chunked")]
        body = b""
    elif manner == "with two lengths":
        extra = [("Content-Length", "5"), ("Content-Length", "7")]
        body = b""
    headers = make_headers(1, events, *extra, **options)
    context.sent = (found["method"], found["target"], body)
    async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
        context.response = await connection.request(
            found["method"], found["target"], headers, body, bool(found["chunked"])
        )


async def list_all_runs(context):
    """Return the runs of all engines."""
    by_engine = await context.world.cluster.list_runs()
    return [run for runs in by_engine.values() for run in runs]


@then("the engine ran it once, with the caller's method, target and body")
def check_run(context):
    (run,) = context.run(list_all_runs(context))
    method, target, body = context.sent
    assert (run["method"], run["target"]) == (method, target), run
    assert run["body_digest"] == hashlib.sha256(body).hexdigest(), run


@then("the caller got the engine's response with its attempt id and seal")
def check_complete_response(context):
    response = context.response
    assert response.status == 200, response
    assert response.is_complete, response
    assert response.headers["sapphirerock-attempt-id"] == f"{1:016x}"
    assert response.headers["sapphirerock-response-seal"].endswith(f".{1:016x}")
    method, target, body = context.sent
    if target.startswith("/review/"):
        assert response.events == [1, 2, 3, 4, 5], response.events
        return
    digest = hashlib.sha256(body).hexdigest()
    expected = f"{method} {target} {digest} {1:016x}\n"
    assert response.body.decode() == expected, response.body


@when("a stock lookup carries the header {name}: forged")
def send_forged(context, name):
    headers = [item for item in make_headers(1) if item[0] != name]
    value = f"Token {CALLER_KEY}" if name == "Authorization" else "forged"
    if name == "Sapphirerock-Deadline-Ms":
        value = "900"

    async def run():
        async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
            context.response = await connection.request(
                "GET", "/stock/1", [*headers, (name, value)]
            )

    context.run(run())
    assert context.response.status == 200, context.response


@then("the engine received {received} in the header {name}")
def check_header(context, received, name):
    (run,) = context.run(list_all_runs(context))
    headers = {key.lower(): value for key, value in run["headers"].items()}
    value = headers.get(name.lower())
    if received == "its instance id":
        engine = context.run(context.world.cluster.read_engine("shop-0"))
        assert value == engine["id"], value
    elif received == "the remaining time":
        assert 500 <= int(value) <= 900, value
    else:
        assert value == (None if received == "nothing" else received), value


@then("it is answered {status:d} and no engine ran it")
def check_refused(context, status):
    assert context.response.status == status, context.response
    assert context.run(list_all_runs(context)) == []


@when("a caller sends {count:d} lookups on one connection")
def send_lookups(context, count):
    async def run():
        context.responses = []
        async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
            for number in range(count):
                context.responses.append(
                    await connection.request(
                        "GET", f"/stock/{number}", make_headers(number)
                    )
                )

    context.run(run())


@then("each lookup got its own response and ran once")
def check_lookups(context):
    for number, response in enumerate(context.responses):
        assert response.status == 200, response
        assert f" /stock/{number} ".encode() in response.body, response.body
    runs = context.run(list_all_runs(context))
    assert (
        len(runs) == len({run["attempt_id"] for run in runs}) == len(context.responses)
    )


@when("a caller sends half a request head")
def send_half_request_head(context):
    request = encode_request("GET", "/stock/1", make_headers(1))
    context.run(
        measure_open_time(context, request[: len(request) // 2], is_complete=False)
    )


@when("a caller stays idle after a call")
def stay_idle_after_call(context):
    request = encode_request("GET", "/stock/1", make_headers(1))
    context.run(measure_open_time(context, request, is_complete=True))


async def measure_open_time(context, data, is_complete):
    """Send the bytes of a request and measure how long the connection stays open.

    The time counts from the response if the request is complete, otherwise from the
    bytes that were sent.
    """
    async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
        connection.writer.write(data)
        if is_complete:
            assert (await connection.read_response()).status == 200
        started_s = time.monotonic()
        async with asyncio.timeout(10):
            await connection.reader.read()
        context.open_s = time.monotonic() - started_s


@then("its connection is closed within {bound:g} seconds, not before {earliest:g}")
def check_connection_closed(context, bound, earliest):
    assert earliest <= context.open_s <= bound, context.open_s


@when("the next responses of the engines have the fault {fault}")
def inject_response_fault(context, fault):
    manner, _, once = fault.partition(" ")
    cluster = context.world.cluster
    engines = [name for name in cluster.urls if name.startswith("shop-")]

    async def run():
        for name in engines[:1] if once else engines:
            await cluster.inject(name, "spoil", manner=manner, amount=1 if once else 9)

    context.run(run())


@then("the response to the caller is {expected}")
def check_response(context, expected):
    status, _, content = expected.partition(" ")
    response = context.response
    assert response.status == int(status), response
    assert response.is_complete, response
    if content not in ("", "anything"):
        assert response.body == content.encode(), response


@when("{count:d} orders are sent to engines that lose, corrupt and fail responses")
def send_orders_to_faulty_engines(context, count):
    manners = ("lost", "truncated", "noise", "failed", "unsealed", "unframed-reset")
    cluster = context.world.cluster

    async def run():
        for number in range(3):
            for turn in range(count // 4):
                await cluster.inject(
                    f"shop-{number}", "spoil", manner=manners[(turn + number) % 6]
                )
        context.status_by_attempt = {}
        edge = cluster.edges["edge-0"]
        for number in range(count):
            async with RawConnection(edge) as connection:
                response = await connection.request(
                    "POST", f"/order/{number}", make_headers(number), b"wool"
                )
                context.status_by_attempt[f"{number:016x}"] = response.status

    context.run(run())


@when("{count:d} orders are sent while one engine fails every order it gets")
def send_orders_with_failing_engine(context, count):
    cluster = context.world.cluster

    async def run():
        await cluster.inject("shop-0", "spoil", manner="failed", amount=count)
        context.status_by_attempt = {}
        async with RawConnection(cluster.edges["edge-0"]) as connection:
            for number in range(count):
                response = await connection.request(
                    "POST", f"/order/{number}", make_headers(number), b"wool"
                )
                context.status_by_attempt[f"{number:016x}"] = response.status

    context.run(run())


@then("at most {most:d} orders are answered 500, and none ran twice")
def check_failed_orders(context, most):
    failed = [status for status in context.status_by_attempt.values() if status == 500]
    assert len(failed) <= most, len(failed)
    check_runs_at_most_once(context)


@then("no order ran twice")
def check_runs_at_most_once(context):
    runs = [run["attempt_id"] for run in context.run(list_all_runs(context))]
    assert len(runs) == len(set(runs)), sorted(runs)


@then("no order ran that was answered as not run")
def check_orders_not_run(context):
    runs = {run["attempt_id"] for run in context.run(list_all_runs(context))}
    answered_as_not_run = {
        attempt
        for attempt, status in context.status_by_attempt.items()
        if status in (408, 421, 429, 503)
    }
    assert not answered_as_not_run & runs, answered_as_not_run & runs


@when("a caller with a timeout of {timeout:d} ms sends a stock lookup")
def send_with_timeout(context, timeout):
    async def run():
        async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
            await connection.request(
                "GET", "/stock/1", make_headers(1, timeout_ms=timeout)
            )

    context.run(run())


@then("the engine received a remaining time of {least:d} to {most:d} ms")
def check_remaining_time(context, least, most):
    (run,) = context.run(list_all_runs(context))
    remaining_ms = int(run["headers"]["Sapphirerock-Deadline-Ms"])
    assert least <= remaining_ms <= most, remaining_ms


@when("a caller disconnects from a stream after {count:d} events")
def disconnect_from_stream(context, count):
    async def run():
        async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
            connection.send("POST", "/review/1", make_headers(1, 400), b"prompt")
            await connection.read_first_events(RawResponse(), count)

    context.run(run())


@then("the engine stops the run within {bound:g} seconds")
def check_run_stopped(context, bound):
    async def has_stopped():
        (run,) = await list_all_runs(context)
        return run["ended"] == "left"

    context.run(context.world.wait_until(has_stopped, "the run has ended", bound))
    assert ORGANISATION
