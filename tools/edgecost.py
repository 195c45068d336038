"""What an entry host on the shared platform costs: ``python -m tools.edgecost``.

Processor time and memory come from the metrics of the router's own process.
"""

import asyncio
import re
import time

import click
from aiohttp import ClientSession

from tools.rawclient import RawConnection
from tools.sharedcaller import StreamCaller, make_head
from tools.sharedcluster import SharedCluster, make_configuration

HOST_NAME = "host-0"
ENGINES = 4
LOOKUPS = 4000
CALLERS = 4
STREAMS = 24
EVENTS = 300
REST_S = 10.0


async def read_costs(cluster):
    """Return the router's processor seconds and resident bytes."""
    async with ClientSession() as session:
        async with session.get(cluster.get_metrics_url(HOST_NAME)) as answer:
            text = await answer.text()
    return tuple(
        float(re.search(rf"^{name} (\S+)$", text, re.MULTILINE)[1])
        for name in ("process_cpu_seconds_total", "process_resident_memory_bytes")
    )


async def start(cluster):
    """Start the store, engines and one host; return the host's start in seconds."""
    cluster.add_platform()
    await cluster.wait_ready("platform")
    cluster.plan_edge(HOST_NAME, "zone-a", "region-a")
    for number in range(ENGINES):
        cluster.add_shared_engine(f"model-{number}", "model", "zone-a")
        cluster.add_shared_engine(f"shop-{number}", "shop", "zone-a")
    await cluster.put_configuration(make_configuration())
    await asyncio.sleep(2.0)
    started_s = time.monotonic()
    cluster.start_edge(HOST_NAME)
    await cluster.wait_edges()
    return time.monotonic() - started_s


async def send_lookups(cluster):
    """Send lookups over kept connections."""

    async def call(first):
        async with RawConnection(cluster.edges[HOST_NAME]) as connection:
            for number in range(first, LOOKUPS, CALLERS):
                answer = await connection.ask(
                    "GET", f"/stock/{number}", make_head(number)
                )
                assert answer.status == 200, answer

    await asyncio.gather(*(call(first) for first in range(CALLERS)))


async def read_streams(cluster):
    """Read some streams at once."""
    callers = [
        StreamCaller(cluster.edges[HOST_NAME], LOOKUPS + number, EVENTS)
        for number in range(STREAMS)
    ]
    await asyncio.gather(*(caller.task for caller in callers))
    assert all(len(caller.answer.events) == EVENTS for caller in callers)


async def measure():
    """Return the figures as (name, value, unit)."""
    cluster = SharedCluster("edge-cost")
    try:
        start_s = await start(cluster)
        await asyncio.sleep(2.0)
        rest_s, idle_bytes = await read_costs(cluster)
        await asyncio.sleep(REST_S)
        before_s, _ = await read_costs(cluster)
        await send_lookups(cluster)
        between_s, _ = await read_costs(cluster)
        await read_streams(cluster)
        after_s, busy_bytes = await read_costs(cluster)
    finally:
        cluster.close()
    return (
        ("start until ready", start_s, "s"),
        ("at rest", 100 * (before_s - rest_s) / REST_S, "% of a core"),
        ("a lookup", 1e6 * (between_s - before_s) / LOOKUPS, "us"),
        ("an event of a stream", 1e6 * (after_s - between_s) / STREAMS / EVENTS, "us"),
        ("memory without work", idle_bytes / 1e6, "MB"),
        ("memory after the work", busy_bytes / 1e6, "MB"),
    )


@click.command()
def main():
    """Measure one entry host on the stand-ins of the shared platform."""
    for name, value, unit in asyncio.run(measure()):
        click.echo(f"| {name} | {value:.3g} {unit} |")


if __name__ == "__main__":
    main()
