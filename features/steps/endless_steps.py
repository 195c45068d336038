"""Steps on engines that send bytes without end."""

import asyncio
import re
import time

from behave import given, then, when
from tools.rawclient import RawConnection, RawResponse
from tools.sharedcaller import make_headers

from sapphirerock.connection.eventsplitter import EventSplitter
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
        memory_mb = await read_memory_mb(context)
        peak = asyncio.ensure_future(watch_peak(context))
        calls = [
            asyncio.ensure_future(send_one(context, number, method, target, TIMEOUT_MS))
            for number in range(1, count + 1)
        ]
        await asyncio.sleep(HEAD_START_S)
        sound = []
        for number in range(count + 1, count + 1 + others):
            sound.append(
                asyncio.ensure_future(
                    send_one(context, number, "POST", other_target, TIMEOUT_MS)
                )
            )
            await asyncio.sleep(OTHER_INTERVAL_S)
        context.others = await asyncio.gather(*sound)
        context.results = await asyncio.gather(*calls)
        peak.cancel()
        await asyncio.wait((peak,))
        peak_mb = max(context.peak_mb, await read_memory_mb(context))
        context.growth_mb = peak_mb - memory_mb

    context.run(run())


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
