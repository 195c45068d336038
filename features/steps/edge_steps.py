"""Steps on calls of the shared platform."""

import asyncio
import hashlib
import re
import time

from behave import given, then, when
from tools.rawclient import RawAnswer, RawConnection, encode_request
from tools.sharedcaller import make_head
from tools.sharedcluster import (
    KEY,
    ORGANISATION,
    SharedCluster,
    make_configuration,
)

ZONES = (("zone-a", "region-a"), ("zone-b", "region-a"), ("zone-c", "region-b"))
SERVICES = ("model", "shop")
CALL = re.compile(
    r"(?P<method>[A-Z]+) (?P<target>\S+)(?: with (?P<size>\d+) bytes)?"
    r"(?P<chunked> in chunks)?(?P<manner> (?:with|without|to) .*)?$"
)


async def start_cluster(context, edges, engines, zones=1, events=20, **options):
    """Start a platform with edges and engines spread over zones."""
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
    await cluster.wait_edges()
    await world.wait_until(
        lambda: has_engines(context, engines * len(SERVICES)), "engines are registered"
    )


async def has_engines(context, count):
    """Return whether every edge counts a number of engines."""
    for name in context.world.cluster.edges:
        url = context.world.cluster.get_metrics_url(name)
        async with context.world.session.get(url) as answer:
            text = await answer.text()
        found = re.search(r"^sapphirerock_engines (\d+)", text, re.MULTILINE)
        if found is None or int(found[1]) < count:
            return False
    return True


@given("a shared platform with {edges:d} edge and {engines:d} engine of each service")
def start_single(context, edges, engines):
    context.run(start_cluster(context, edges, engines))


@given("a shared platform with {edges:d} edge and {engines:d} engines of each service")
def start_several(context, edges, engines):
    context.run(start_cluster(context, edges, engines))


@when("this call is sent: {call}")
def send_call(context, call):
    context.run(send_described(context, call))


@when("these calls are sent one after the other")
def send_calls(context):
    for row in context.table:
        context.run(send_described(context, row["call"]))


@then("the edge's metrics hold")
def check_metrics(context):
    async def read():
        url = context.world.cluster.get_metrics_url("edge-0")
        async with context.world.session.get(url) as answer:
            return await answer.text()

    lines = context.run(read()).splitlines()
    found = dict(line.rsplit(" ", 1) for line in lines if not line.startswith("#"))
    for row in context.table:
        value = found.get(f"sapphirerock_{row['metric']}")
        assert value is not None, (row["metric"], sorted(found))
        assert float(value) >= float(row["at least"]), (row["metric"], value)


async def send_described(context, call):
    """Send a call that a table describes in words."""
    found = CALL.match(call)
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
    if manner == "with a length and chunks":
        extra = [("Content-Length", "5"), ("Transfer-Encoding", "chunked")]
        body = b""
    elif manner == "with two lengths":
        extra = [("Content-Length", "5"), ("Content-Length", "7")]
        body = b""
    headers = make_head(1, events, *extra, **options)
    context.sent = (found["method"], found["target"], body)
    async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
        context.answer = await connection.ask(
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


@then("the caller got the engine's answer, seal and all")
def check_answer(context):
    answer = context.answer
    assert answer.status == 200, answer
    assert answer.is_whole, answer
    assert answer.headers["sapphirerock-attempt-id"] == f"{1:016x}"
    assert answer.headers["sapphirerock-response-seal"].endswith(f".{1:016x}")
    method, target, body = context.sent
    if target.startswith("/review/"):
        assert answer.events == [1, 2, 3, 4, 5], answer.events
        return
    digest = hashlib.sha256(body).hexdigest()
    expected = f"{method} {target} {digest} {1:016x}\n"
    assert answer.body.decode() == expected, answer.body


@when("a stock lookup carries the header {name}: forged")
def send_forged(context, name):
    headers = [item for item in make_head(1) if item[0] != name]
    value = f"Token {KEY}" if name == "Authorization" else "forged"
    if name == "Sapphirerock-Deadline-Ms":
        value = "900"

    async def run():
        async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
            context.answer = await connection.ask(
                "GET", "/stock/1", [*headers, (name, value)]
            )

    context.run(run())
    assert context.answer.status == 200, context.answer


@then("the engine saw {seen} in the header {name}")
def check_header(context, seen, name):
    (run,) = context.run(list_all_runs(context))
    headers = {key.lower(): value for key, value in run["headers"].items()}
    value = headers.get(name.lower())
    if seen == "its own id":
        engine = context.run(context.world.cluster.read_engine("shop-0"))
        assert value == engine["id"], value
    elif seen == "a time left":
        assert 500 <= int(value) <= 900, value
    else:
        assert value == (None if seen == "nothing" else seen), value


@then("it is answered {status:d} and nothing ran")
def check_refused(context, status):
    assert context.answer.status == status, context.answer
    assert context.run(list_all_runs(context)) == []


@when("a caller sends {count:d} lookups on one connection")
def send_lookups(context, count):
    async def run():
        context.answers = []
        async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
            for number in range(count):
                context.answers.append(
                    await connection.ask("GET", f"/stock/{number}", make_head(number))
                )

    context.run(run())


@then("each was answered with its own answer and ran once")
def check_lookups(context):
    for number, answer in enumerate(context.answers):
        assert answer.status == 200, answer
        assert f" /stock/{number} ".encode() in answer.body, answer.body
    runs = context.run(list_all_runs(context))
    assert len(runs) == len({run["attempt_id"] for run in runs}) == len(context.answers)


@when("a caller sends half a head")
def send_half_head(context):
    request = encode_request("GET", "/stock/1", make_head(1))
    context.run(wait_end(context, request[: len(request) // 2], asks=False))


@when("a caller stays idle after a call")
def stay_idle(context):
    request = encode_request("GET", "/stock/1", make_head(1))
    context.run(wait_end(context, request, asks=True))


async def wait_end(context, data, asks):
    """Send some bytes and measure when the connection ends."""
    async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
        connection.writer.write(data)
        if asks:
            assert (await connection.read_answer()).status == 200
        started_s = time.monotonic()
        async with asyncio.timeout(10):
            await connection.reader.read()
        context.ended_s = time.monotonic() - started_s


@then("its connection ends within {bound:g} seconds, not before {earliest:g}")
def check_end(context, bound, earliest):
    assert earliest <= context.ended_s <= bound, context.ended_s


@when("the engines spoil their next answers as {spoiled}")
def spoil(context, spoiled):
    manner, _, once = spoiled.partition(" ")
    cluster = context.world.cluster
    engines = [name for name in cluster.urls if name.startswith("shop-")]

    async def run():
        for name in engines[:1] if once else engines:
            await cluster.inject(name, "spoil", manner=manner, amount=1 if once else 9)

    context.run(run())


@then("the caller is answered {expected}")
def check_content(context, expected):
    status, _, content = expected.partition(" ")
    answer = context.answer
    assert answer.status == int(status), answer
    assert answer.is_whole, answer
    if content not in ("", "anything"):
        assert answer.body == content.encode(), answer


@when("{count:d} orders meet engines that lose, spoil and fail answers")
def send_spoiled_orders(context, count):
    manners = ("lost", "truncated", "noise", "failed", "unsealed", "unframed-reset")
    cluster = context.world.cluster

    async def run():
        for number in range(3):
            for turn in range(count // 4):
                await cluster.inject(
                    f"shop-{number}", "spoil", manner=manners[(turn + number) % 6]
                )
        context.answers = {}
        edge = cluster.edges["edge-0"]
        for number in range(count):
            async with RawConnection(edge) as connection:
                answer = await connection.ask(
                    "POST", f"/order/{number}", make_head(number), b"wool"
                )
                context.answers[f"{number:016x}"] = answer.status

    context.run(run())


@when("{count:d} orders meet one engine that fails each of them")
def send_failed_orders(context, count):
    cluster = context.world.cluster

    async def run():
        await cluster.inject("shop-0", "spoil", manner="failed", amount=count)
        context.answers = {}
        async with RawConnection(cluster.edges["edge-0"]) as connection:
            for number in range(count):
                answer = await connection.ask(
                    "POST", f"/order/{number}", make_head(number), b"wool"
                )
                context.answers[f"{number:016x}"] = answer.status

    context.run(run())


@then("at most {most:d} orders are answered 500, and none ran twice")
def check_failed_orders(context, most):
    failed = [status for status in context.answers.values() if status == 500]
    assert len(failed) <= most, len(failed)
    check_once(context)


@then("no order ran twice")
def check_once(context):
    runs = [run["attempt_id"] for run in context.run(list_all_runs(context))]
    assert len(runs) == len(set(runs)), sorted(runs)


@then("every order that was said not to have run has not run")
def check_promises(context):
    runs = {run["attempt_id"] for run in context.run(list_all_runs(context))}
    promised = {
        attempt
        for attempt, status in context.answers.items()
        if status in (408, 421, 429, 503)
    }
    assert not promised & runs, promised & runs


@when("a caller that waits {patience:d} ms sends a stock lookup")
def send_patient(context, patience):
    async def run():
        async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
            await connection.ask("GET", "/stock/1", make_head(1, patience_ms=patience))

    context.run(run())


@then("the engine was given between {least:d} and {most:d} ms")
def check_given(context, least, most):
    (run,) = context.run(list_all_runs(context))
    given_ms = int(run["headers"]["Sapphirerock-Deadline-Ms"])
    assert least <= given_ms <= most, given_ms


@when("a caller leaves a stream after {count:d} events")
def leave_stream(context, count):
    async def run():
        async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
            connection.send("POST", "/review/1", make_head(1, 400), b"prompt")
            await connection.read_some_events(RawAnswer(), count)

    context.run(run())


@then("the engine stops within {bound:g} seconds")
def check_stopped(context, bound):
    async def has_stopped():
        (run,) = await list_all_runs(context)
        return run["ended"] == "left"

    context.run(context.world.wait_until(has_stopped, "the run has ended", bound))
    assert ORGANISATION
