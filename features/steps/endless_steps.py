"""Steps on engines that send bytes without end."""

import asyncio
import re
import time

from behave import then, when
from tools.rawclient import RawConnection
from tools.sharedcaller import make_headers

BYTES_PER_MB = 1 << 20
MEMORY_METRIC = re.compile(r"^process_resident_memory_bytes (\S+)", re.MULTILINE)
TIMEOUT_MS = 2500


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
