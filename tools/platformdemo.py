"""Demonstrate calls on the shared platform with stand-in engines and store.

There are two availability zones with two edges and two model engines each. A stream
survives the loss of its engine, a lookup and an order are answered, and a
configuration change that only one edge can read from the store reaches all others.
"""

import asyncio
import time

from tools.rawclient import RawConnection
from tools.sharedcaller import StreamCaller, make_headers
from tools.sharedcluster import SharedCluster, make_configuration

ZONES = ("zone-a", "zone-b")
REGION = "region-a"
EVENTS = 150
EVENTS_BEFORE_KILL = 30
CHANGED_VERSION = 2
WAIT_TIMEOUT_S = 5.0


async def wait_until(condition, description):
    """Wait up to `WAIT_TIMEOUT_S` until a coroutine function returns a true value."""
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while not await condition():
        assert time.monotonic() < deadline_s, f"timed out: {description}"
        await asyncio.sleep(0.05)


async def start(cluster):
    """Start the store, the engines and the edges."""
    cluster.add_platform()
    await cluster.wait_ready("platform")
    for number in range(4):
        zone = ZONES[number % 2]
        cluster.plan_edge(f"host-{number}", zone, REGION)
        cluster.add_shared_engine(f"model-{number}", "model", zone)
        cluster.add_shared_engine(f"shop-{number}", "shop", zone)
    await cluster.put_configuration(make_configuration())
    for name in cluster.edges:
        cluster.start_edge(name)
    await cluster.wait_edges_ready()
    await asyncio.sleep(1.0)


async def show_stream(cluster):
    """Kill the engine of a stream; check that the stream is complete."""
    caller = StreamCaller(cluster.edges["host-0"], 1, EVENTS)

    async def has_begun():
        return len(caller.response.events) >= EVENTS_BEFORE_KILL

    await wait_until(has_begun, "the stream's first events")
    runs = await cluster.list_runs(waits=False)
    engine = next(
        name
        for name, engine_runs in runs.items()
        if any(run["attempt_id"] == caller.attempt_id for run in engine_runs)
    )
    print(f"   killing {engine}")
    cluster.processes[engine].kill()
    await caller.task
    assert caller.response.events == list(range(1, EVENTS + 1))
    assert caller.response.is_complete
    print(f"   {EVENTS} events, longest pause {caller.longest_pause_s:.3f} s")


async def show_calls(cluster):
    """Send a lookup and an order; check that both succeed."""
    async with RawConnection(cluster.edges["host-1"]) as connection:
        for number, (method, target) in enumerate(
            (("GET", "/stock/1"), ("POST", "/order/1")), 10
        ):
            response = await connection.request(
                method, target, make_headers(number), b""
            )
            print(f"   {method} {target}: {response.status}")
            assert response.status == 200


async def show_change(cluster):
    """Change the configuration while the store refuses all edges but one.

    Checks that the change is in force on every edge.
    """
    addresses = [cluster.edges[f"host-{number}"].address for number in (1, 2, 3)]
    await cluster.inject(
        "platform", "down", manner="busy", source=",".join(addresses), seconds=10
    )
    await cluster.put_configuration(make_configuration(CHANGED_VERSION))
    started_s = time.monotonic()

    async def is_in_force():
        return all(
            any(
                event["event"] == "configuration in force"
                and event["version"] == CHANGED_VERSION
                for event in cluster.read_log_entries(name)
            )
            for name in cluster.edges
        )

    await wait_until(is_in_force, "the change on every host")
    print(f"   in force on all hosts after {time.monotonic() - started_s:.2f} s")


async def run():
    """Run the whole demo."""
    cluster = SharedCluster("demo")
    try:
        print("   two zones, two hosts and two model engines in each")
        await start(cluster)
        await show_stream(cluster)
        await show_calls(cluster)
        await show_change(cluster)
    finally:
        cluster.close()


if __name__ == "__main__":
    asyncio.run(run())
