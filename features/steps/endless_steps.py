"""Steps on engines that send bytes without end."""

import asyncio
import random
import re
import time

from behave import given, then, when
from tools.rawclient import RawConnection, RawResponse
from tools.sharedcaller import make_headers

from sapphirerock.connection.eventsplitter import EventSplitter
from sapphirerock.connection.responsememory import ResponseMemory
from sapphirerock.decisions.responsememory import MemoryRequest, ResponseBudget
from sapphirerock.decisions.streamprogress import ProgressCheck

BYTES_PER_MB = 1 << 20
MEMORY_METRIC = re.compile(r"^process_resident_memory_bytes (\S+)", re.MULTILINE)
TIMEOUT_MS = 2500
MODEL_PREFIX = "/review/"
OTHER_INTERVAL_S = 0.05
# Calls to endless engines that run before the others are sent.
HEAD_START_S = 0.2
BLOCK_BYTES = 4096
SENT_BYTES = 200_000
COMMENT = b": wait\n\n"
SEED = 4403


async def read_memory_mb(context):
    """Return the resident memory of the edge, in MB."""
    url = context.world.cluster.get_metrics_url("edge-0")
    async with context.world.session.get(url) as response:
        return float(MEMORY_METRIC.search(await response.text())[1]) / BYTES_PER_MB


async def send_call(context, method, target):
    """Send a call and keep its response, duration and the growth of memory."""
    memory_mb = await read_memory_mb(context)
    peak = asyncio.ensure_future(watch_peak(context))
    events = 5 if target.startswith("/review/") else 0
    headers = make_headers(1, events, timeout_ms=TIMEOUT_MS)
    started_s = time.monotonic()
    async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
        body = b"wool" if method == "POST" else b""
        context.response = await connection.request(method, target, headers, body)
    context.took_s = time.monotonic() - started_s
    await asyncio.sleep(0.2)
    peak.cancel()
    context.growth_mb = max(context.peak_mb, await read_memory_mb(context)) - memory_mb


async def watch_peak(context):
    """Keep the highest memory of the edge until the task is cancelled."""
    context.peak_mb = 0.0
    while True:
        context.peak_mb = max(context.peak_mb, await read_memory_mb(context))
        await asyncio.sleep(0.05)


async def inject_all(context, kind, prefixes=("shop-", "model-"), **fields):
    cluster = context.world.cluster
    for name in cluster.urls:
        if name.startswith(prefixes):
            await cluster.inject(name, kind, **fields)


@when("all engines send {endless} without end in response to {method} {target}")
def send_to_endless_engines(context, endless, method, target):
    async def run():
        await inject_all(context, "spoil", manner=f"endless {endless}", amount=9)
        await send_call(context, method, target)

    context.run(run())


@when("all engines hang in orders and send their reports without end")
def send_to_endless_reports(context):
    async def run():
        await inject_all(context, "spoil", manner="hung", amount=9)
        await inject_all(context, "endless-reports")
        await send_call(context, "POST", "/order/1")

    context.run(run())


@then("the caller gets no success, within {bound:g} seconds")
def check_no_success(context, bound):
    assert context.response.status >= 500, context.response
    assert context.took_s < bound, context.took_s


@then("the memory of the edge grew by less than {bound:g} MB")
def check_memory(context, bound):
    assert context.growth_mb < bound, context.growth_mb


@then("the engines' connections are closed within {bound:g} second")
def check_closed(context, bound):
    async def run():
        deadline_s = time.monotonic() + bound
        while True:
            by_engine = await context.world.cluster.list_runs()
            runs = [run for runs in by_engine.values() for run in runs]
            if runs and all(run["ended"] == "cut off" for run in runs):
                return
            assert time.monotonic() < deadline_s, [run["ended"] for run in runs]
            await asyncio.sleep(0.05)

    context.run(run())


async def send_one(context, number, method, target, timeout_ms):
    """Send one call; return its response and duration."""
    headers = make_headers(
        number, 5 if target.startswith(MODEL_PREFIX) else 0, timeout_ms=timeout_ms
    )
    started_s = time.monotonic()
    async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
        body = b"wool" if method == "POST" else b""
        try:
            response = await connection.request(method, target, headers, body)
        except ValueError:
            # Broken off where a chunk was to begin.
            response = RawResponse()
    return response, time.monotonic() - started_s


@when(
    "engines send {endless} without end in response to {count:d} of {method} {target} "
    "at once, and {others:d} others are sent meanwhile"
)
def send_many(context, endless, count, method, target, others):
    is_stream = target.startswith(MODEL_PREFIX)
    prefix, other_target = (
        ("model-", "/order/1") if is_stream else ("shop-", "/review/1")
    )

    async def run():
        await inject_all(
            context, "spoil", (prefix,), manner=f"endless {endless}", amount=10 * count
        )
        calls = [
            send_one(context, number, method, target, TIMEOUT_MS)
            for number in range(1, count + 1)
        ]
        await send_beside(context, calls, others, other_target)

    context.run(run())


async def send_beside(context, calls, count, target):
    """Start faulty calls; send others meanwhile, and keep results and memory."""
    memory_mb = await read_memory_mb(context)
    peak = asyncio.ensure_future(watch_peak(context))
    faulty = [asyncio.ensure_future(call) for call in calls]
    await asyncio.sleep(HEAD_START_S)
    sound = []
    for number in range(1000, 1000 + count):
        sent = send_one(context, number, "POST", target, TIMEOUT_MS)
        sound.append(asyncio.ensure_future(sent))
        await asyncio.sleep(OTHER_INTERVAL_S)
    context.others = await asyncio.gather(*sound)
    context.results = await asyncio.gather(*faulty)
    peak.cancel()
    await asyncio.wait((peak,))
    peak_mb = max(context.peak_mb, await read_memory_mb(context))
    context.growth_mb = peak_mb - memory_mb


async def send_endless_head(context):
    """Send header lines until the edge closes the connection."""
    started_s = time.monotonic()
    block = b"X-Filler: abcdef\r\n" * 1000
    async with RawConnection(context.world.cluster.edges["edge-0"]) as connection:
        connection.writer.write(b"GET /stock/1 HTTP/1.1\r\nHost: a.example\r\n")
        try:
            while True:
                connection.writer.write(block)
                await connection.writer.drain()
        except OSError:
            return RawResponse(), time.monotonic() - started_s


@when(
    "{count:d} callers send header lines without end, and {others:d} orders are sent "
    "meanwhile"
)
def send_endless_heads(context, count, others):
    calls = [send_endless_head(context) for _ in range(count)]
    context.run(send_beside(context, calls, others, "/order/1"))


@then("each of the {count:d} others is served within {bound:g} s")
def check_others(context, count, bound):
    late = [
        (response.status, round(took_s, 2))
        for response, took_s in context.others
        if response.status != 200 or not response.is_complete or took_s > bound
    ]
    assert len(context.others) == count and not late, late
    whole = [
        response
        for response, _ in context.results
        if response.is_complete and response.status < 500
    ]
    assert not whole, whole


@given("memory for large responses of {size:d} MB")
def make_budget(context, size):
    context.budget, context.granted = ResponseBudget(size * BYTES_PER_MB), []


@when("large responses begin and end: {responses}")
def reserve_memory(context, responses):
    budget, waiting = context.budget, []
    for response in responses.split(", "):
        upstream, event = response.split(" ")
        if event == "ends":
            ended = next(item for item in context.granted if item.upstream == upstream)
            context.granted.remove(ended)
            granted = budget.release(ended)
        elif event == "leaves":
            left = next(item for item in waiting if item.upstream == upstream)
            waiting.remove(left)
            granted = budget.cancel(left)
        else:
            request = MemoryRequest(upstream, int(event) * BYTES_PER_MB)
            waiting.append(request)
            granted = budget.add(request)
        for request in granted:
            waiting.remove(request)
        context.granted += granted


@then("these have memory: {upstreams}")
def check_granted(context, upstreams):
    granted = [request.upstream for request in context.granted]
    assert granted == upstreams.split(", "), granted
    reserved = sum(request.size for request in context.granted)
    assert context.budget.reserved_bytes == reserved, context.budget.reserved_bytes


@when(
    "{count:d} responses of {upstreams:d} upstreams wait for memory, and calls end at "
    "random"
)
def end_calls_at_random(context, count, upstreams):
    generator = random.Random(SEED)
    context.memory = ResponseMemory(8 * BYTES_PER_MB)
    context.served = 0

    async def hold_memory(number):
        hold = context.memory.open_hold(f"e{number % upstreams}")
        try:
            await hold.reserve(generator.randint(1, 4) * BYTES_PER_MB)
            for _ in range(generator.randint(0, 3)):
                await asyncio.sleep(0)
            context.served += 1
        finally:
            hold.release()

    async def run():
        tasks = [asyncio.ensure_future(hold_memory(number)) for number in range(count)]
        await asyncio.sleep(0)
        for _ in range(count // 2):
            task = generator.choice(tasks)
            task.cancel()
            if generator.random() < 1 / 2:
                await asyncio.sleep(0)
        ends = await asyncio.gather(*tasks, return_exceptions=True)
        context.ends = [
            end
            for end in ends
            if end is not None and not isinstance(end, asyncio.CancelledError)
        ]
        context.cancelled = sum(isinstance(end, asyncio.CancelledError) for end in ends)

    context.run(run())


@then("all memory is free, and each other response had its part")
def check_all_free(context):
    assert not context.ends, context.ends
    assert context.memory.reserved_bytes == 0
    assert context.cancelled, "no call ended early"
    assert context.served >= 200 - context.cancelled, context.served


def make_content(text):
    """Return the bytes that an engine sends after event 1, in blocks."""
    if text == "a comment each second for 10 minutes":
        return [COMMENT] * 600
    content = b""
    for part in text.split(", then "):
        item = b""
        number = 1
        size = len(content) + SENT_BYTES
        while len(content) < size:
            if "delivered" in part:
                item = b"id: 1\ndata: abc\n\n"
            elif "of events" in part:
                number += 1
                item = b"id: %d\ndata: abc\n\n" % number
                if "comment" in part:
                    item += COMMENT
            else:
                item = COMMENT
            content += item
    return [
        content[start : start + BLOCK_BYTES]
        for start in range(0, len(content), BLOCK_BYTES)
    ]


@when("the body of a stream is {content}")
def send_content(context, content):
    splitter, check, last_id = EventSplitter(), ProgressCheck(), 1
    context.has_ended = False
    for block in make_content(content):
        events = splitter.feed(block)
        context.has_ended |= check.is_exceeded(block, events, last_id)
        numbers = [event.number for event in events if event.number is not None]
        last_id = max([last_id, *numbers])


@then("reading it {result}")
def check_attempt(context, result):
    assert context.has_ended is (result == "ends")
