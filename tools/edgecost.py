"""Measure start-up time, CPU time and memory of an edge on the shared platform.

Run as ``python -m tools.edgecost``. CPU time and memory come from the metrics of the
edge's process.
"""

import asyncio
import compileall
import re
import time
from statistics import median

import click
from aiohttp import ClientSession

from tools.localcluster import ROOT
from tools.rawclient import RawConnection
from tools.sharedcaller import StreamCaller, make_headers
from tools.sharedcluster import SharedCluster, make_configuration

EDGE_NAME = "host-0"
ENGINES_PER_SERVICE = 4
LOOKUPS = 4000
LOOKUP_CALLERS = 4
STREAMS = 24
EVENTS_PER_STREAM = 300
IDLE_WINDOW_S = 10.0
STARTS = 10


async def read_usage(cluster):
    """Return the edge's CPU time in seconds and its resident memory in bytes."""
    async with ClientSession() as session:
        async with session.get(cluster.get_metrics_url(EDGE_NAME)) as response:
            text = await response.text()
    return tuple(
        float(re.search(rf"^{name} (\S+)$", text, re.MULTILINE)[1])
        for name in ("process_cpu_seconds_total", "process_resident_memory_bytes")
    )


async def measure_start(cluster):
    """Start the edge; return its time until ready, its CPU time and its memory."""
    started_s = time.monotonic()
    cluster.start_edge(EDGE_NAME)
    await cluster.wait_edges_ready()
    return time.monotonic() - started_s, *await read_usage(cluster)


async def start(cluster):
    """Start the store, engines and an edge; return the medians of the edge's starts."""
    # The hosts of a build need not compile their sources.
    compileall.compile_dir(ROOT / "src", quiet=1)
    cluster.add_platform()
    await cluster.wait_ready("platform")
    cluster.plan_edge(EDGE_NAME, "zone-a", "region-a")
    for number in range(ENGINES_PER_SERVICE):
        cluster.add_shared_engine(f"model-{number}", "model", "zone-a")
        cluster.add_shared_engine(f"shop-{number}", "shop", "zone-a")
    await cluster.put_configuration(make_configuration())
    await asyncio.sleep(2.0)
    starts = [await measure_start(cluster)]
    while len(starts) < STARTS:
        cluster.processes[EDGE_NAME].kill()
        starts.append(await measure_start(cluster))
    return [median(values) for values in zip(*starts, strict=True)]


async def send_lookups(cluster):
    """Send lookups over persistent connections, one for each caller."""

    async def send_from_caller(first):
        async with RawConnection(cluster.edges[EDGE_NAME]) as connection:
            for number in range(first, LOOKUPS, LOOKUP_CALLERS):
                response = await connection.request(
                    "GET", f"/stock/{number}", make_headers(number)
                )
                assert response.status == 200, response

    await asyncio.gather(*(send_from_caller(first) for first in range(LOOKUP_CALLERS)))


async def read_streams(cluster):
    """Read all streams concurrently."""
    callers = [
        StreamCaller(cluster.edges[EDGE_NAME], LOOKUPS + number, EVENTS_PER_STREAM)
        for number in range(STREAMS)
    ]
    await asyncio.gather(*(caller.task for caller in callers))
    assert all(len(caller.response.events) == EVENTS_PER_STREAM for caller in callers)


async def measure():
    """Run all measurements; return (name, value, unit) of each result."""
    cluster = SharedCluster("edge-cost")
    try:
        startup_s, startup_cpu_s, startup_bytes = await start(cluster)
        await asyncio.sleep(2.0)
        cpu_before_idle_s, idle_bytes = await read_usage(cluster)
        await asyncio.sleep(IDLE_WINDOW_S)
        cpu_before_lookups_s, _ = await read_usage(cluster)
        await send_lookups(cluster)
        cpu_before_streams_s, _ = await read_usage(cluster)
        await read_streams(cluster)
        cpu_at_end_s, busy_bytes = await read_usage(cluster)
    finally:
        cluster.close()
    return (
        ("start until ready", startup_s, "s"),
        ("processor time of a start", startup_cpu_s, "s"),
        ("memory after a start", startup_bytes / 1e6, "MB"),
        (
            "processor while idle",
            100 * (cpu_before_lookups_s - cpu_before_idle_s) / IDLE_WINDOW_S,
            "% of a core",
        ),
        (
            "processor time per lookup",
            1e6 * (cpu_before_streams_s - cpu_before_lookups_s) / LOOKUPS,
            "us",
        ),
        (
            "processor time per stream event",
            1e6 * (cpu_at_end_s - cpu_before_streams_s) / STREAMS / EVENTS_PER_STREAM,
            "us",
        ),
        ("memory before load", idle_bytes / 1e6, "MB"),
        ("memory after load", busy_bytes / 1e6, "MB"),
    )


@click.command()
def main():
    """Measure one entry host on the stand-ins of the shared platform."""
    for name, value, unit in asyncio.run(measure()):
        click.echo(f"| {name} | {value:.3g} {unit} |")


if __name__ == "__main__":
    main()
