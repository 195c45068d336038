"""Measurements on a cluster of local processes.

Run as ``python -m tools.measure NAME [--seed N] [--json]``. Figures in the documents
name the command that produced them.
"""

import asyncio
import sys
import time
from collections import Counter
from dataclasses import asdict, replace

import click
import orjson

from sapphirerock.load.experiment import Plan, PlannedFault, run_plan
from sapphirerock.load.report import format_report, summarise
from tools.localcluster import ORGANISATION_KEY
from tools.scenario import MODEL, ScenarioWorld

MEASUREMENTS = {}
ZONES = (("zone-a", "region-a"), ("zone-b", "region-a"), ("zone-c", "region-b"))
PAUSE_BETWEEN_REPORTS_S = 1.0
PLATFORM_WRITES_PER_S = 300
STARTUP_SETTLE_S = 3.0
WATCHES_WINDOW_S = 10.0
ORDERS_WINDOW_S = 6.0
CPU_METRIC = "process_cpu_seconds_total"
MEMORY_METRIC = "process_resident_memory_bytes"


def register_measurement(name):
    """Register an asynchronous generator that takes a seed and yields reports."""

    def register(function):
        MEASUREMENTS[name] = function
        return function

    return register


class MeasuredCluster:
    """A cluster on which load plans are run.

    Parameters
    ----------
    name : str
        Name of the run.
    engines : int
        Engines in each zone.
    routers : int
        Routers in each zone.
    zones : tuple of (str, str)
        Pairs of availability zone and region.
    engine_options : dict
        Options of the engine stand-ins.
    service_fields : dict
        Further fields of the model's service in the settings.
    router_settings : dict
        Further settings of each router.
    """

    def __init__(
        self,
        name,
        engines=3,
        routers=1,
        zones=ZONES,
        engine_options=None,
        service_fields=None,
        router_settings=None,
    ):
        self.world = ScenarioWorld(name)
        self.world.router_settings = router_settings or {}
        self._zones = zones
        self._engines = engines
        self._routers = routers
        self._engine_options = engine_options or {}
        self._service_fields = service_fields or {}

    async def __aenter__(self):
        count = len(self._zones)
        await self.world.start(
            [
                (f"r{number + 1}", *self._zones[number % count])
                for number in range(self._routers * count)
            ],
            [
                (f"e{number + 1}", *self._zones[number % count], self._engine_options)
                for number in range(self._engines * count)
            ],
            service_fields=self._service_fields,
        )
        return self

    async def __aexit__(self, *exception):
        await self.world.close(failed=False)

    def list_engines(self):
        """Return the URLs of all engines."""
        cluster = self.world.cluster
        return [cluster.urls[name] for name in sorted(cluster.upstream_locations)]

    def make_plan(self, name, rate_per_s, duration_s, **fields):
        """Return a load plan for this cluster."""
        return Plan(
            name,
            tuple(self.world.cluster.get_router_urls()),
            tuple(self.list_engines()),
            ORGANISATION_KEY,
            MODEL,
            rate_per_s,
            duration_s,
            **fields,
        )

    async def run(self, plan, seed):
        """Run a load plan; add the routers' CPU time and memory to its report.

        Routers that have ended aren't counted.
        """
        hosts = self.world.cluster.list_routers()
        before = await self._sum_metric(hosts, CPU_METRIC)
        report = await run_plan(plan, seed)
        cpu_s = await self._sum_metric(hosts, CPU_METRIC) - before
        memory = await self._sum_metric(hosts, MEMORY_METRIC)
        tokens = max(1, report["tokens_delivered"])
        report["router_cost"] = {
            "cpu_us_per_token": 1e6 * cpu_s / tokens,
            "resident_bytes_per_router": memory / len(hosts),
        }
        return report

    async def _sum_metric(self, hosts, name):
        """Return the sum of a metric over the routers that run."""
        values = [
            await self.world.cluster.read_metric(host, name)
            for host in hosts
            if self.world.cluster.processes[host].is_running
        ]
        return sum(values)


def plan_engine_faults(
    engines, seed, start_s, interval_s, count, kind="crash", **fields
):
    """Return `count` faults of one kind, `interval_s` apart from `start_s` on.

    The seed selects the engine of the first fault; each next fault hits the fourth
    engine after the last one.
    """
    return tuple(
        PlannedFault(
            start_s + number * interval_s,
            engines[(seed + 4 * number) % len(engines)],
            kind,
            fields,
        )
        for number in range(count)
    )


@register_measurement("recovery")
async def measure_recovery(seed):
    """Compare recovery policies under the same traffic, seeds and faults."""
    for policy in ("naive", "cost", "latency"):
        for kind, fields in (
            ("crash", {}),
            ("freeze", {"seconds": 4.0}),
            ("silence", {}),
        ):
            options = {"token_interval": 0.03}
            cluster = MeasuredCluster(
                f"{policy}-{kind}",
                engine_options=options,
                service_fields={"recovery": policy},
            )
            async with cluster:
                faults = plan_engine_faults(
                    cluster.list_engines(), seed, 4.0, 3.0, 3, kind, **fields
                )
                plan = cluster.make_plan(
                    f"recovery {policy}, engines {kind}",
                    6.0,
                    12.0,
                    tokens=(80, 240),
                    resends_lost=policy == "naive",
                    faults=faults,
                )
                yield await cluster.run(plan, seed)


@register_measurement("journal")
async def measure_journal(seed):
    """Compare CPU time and memory of the routers with and without the journal."""
    for enabled in (False, True):
        cluster = MeasuredCluster(
            f"journal-{enabled}",
            engines=2,
            zones=ZONES[:2],
            engine_options={"token_interval": 0.03, "capacity": 64},
            router_settings={"journal": enabled},
        )
        async with cluster:
            plan = cluster.make_plan(
                f"journal {'on' if enabled else 'off'}", 12.0, 12.0, tokens=(150, 250)
            )
            yield await cluster.run(plan, seed)


@register_measurement("relay")
async def measure_relay(seed):
    """Measure CPU time and memory of the routers at several request rates."""
    for rate_per_s in (4.0, 12.0, 28.0):
        cluster = MeasuredCluster(
            f"relay-{rate_per_s}",
            engines=2,
            zones=ZONES[:2],
            engine_options={"token_interval": 0.05, "capacity": 256},
        )
        async with cluster:
            plan = cluster.make_plan(
                f"relay, {rate_per_s:g} requests a second over 2 routers",
                rate_per_s,
                20.0,
                tokens=(150, 250),
            )
            yield await cluster.run(plan, seed)


@register_measurement("balancers")
async def measure_balancers(seed):
    """Compare balancers while another client occupies half of the engines for 8 s."""
    for balancer in ("round-robin", "least-in-flight", "least-wait"):
        cluster = MeasuredCluster(
            f"balancer-{balancer}",
            engines=6,
            routers=2,
            zones=ZONES[:1],
            engine_options={
                "token_interval": 0.03,
                "capacity": 8,
                "report_lag": 2.0,
            },
            service_fields={"balancer": balancer, "start_deadline_s": 10.0},
        )
        async with cluster:
            occupied = tuple(
                PlannedFault(5.0, url, "occupy", {"amount": 8})
                for url in cluster.list_engines()[:3]
            )
            freed = tuple(
                replace(fault, at_s=13.0, fields={"amount": 0}) for fault in occupied
            )
            plan = cluster.make_plan(
                f"balancer {balancer}",
                6.0,
                18.0,
                tokens=(60, 140),
                start_timeout_s=10.0,
                faults=occupied + freed,
            )
            yield await cluster.run(plan, seed)


@register_measurement("cascade")
async def measure_cascade(seed):
    """Measure goodput while half the engines are down for 8 s at 80 percent load."""
    cluster = MeasuredCluster(
        "cascade",
        engines=6,
        routers=2,
        zones=ZONES[:1],
        engine_options={"token_interval": 0.03, "capacity": 8},
        service_fields={"start_deadline_s": 6.0},
    )
    async with cluster:
        engines = cluster.list_engines()
        faults = tuple(
            PlannedFault(6.0, url, "down", {"seconds": 8.0}) for url in engines[:3]
        )
        faults += tuple(PlannedFault(6.0, url, "crash") for url in engines[:3])
        plan = cluster.make_plan(
            "half the engines crash at 80 percent load",
            12.8,
            24.0,
            tokens=(60, 140),
            start_timeout_s=6.0,
            faults=faults,
        )
        yield await cluster.run(plan, seed)


@register_measurement("watches")
async def measure_watches(seed):
    """Count the platform calls of 8 idle router processes in 4 zones."""
    world = ScenarioWorld("watches")
    zones = [(f"zone-{number}", "region-a") for number in range(4)]
    try:
        await world.start(
            [(f"r{number + 1}", *zones[number % 4]) for number in range(8)],
            [(f"e{number + 1}", *zones[number], {}) for number in range(4)],
        )
        url = world.cluster.platform_url + "/calls"
        await asyncio.sleep(STARTUP_SETTLE_S)
        before = await world.cluster.get_json(url)
        await asyncio.sleep(WATCHES_WINDOW_S)
        after = await world.cluster.get_json(url)
        calls = {
            kind: round((after[kind] - before.get(kind, 0)) / WATCHES_WINDOW_S, 2)
            for kind in after
        }
        yield {"name": "platform calls a second, 8 routers", "seed": seed, **calls}
    finally:
        await world.close(failed=False)


@register_measurement("orders")
async def measure_orders(seed):
    """Count platform writes per order at a limit of 300 writes a second."""
    for callers in (1, 16, 128):
        world = ScenarioWorld(f"orders-{callers}")
        try:
            await world.start(
                [(f"r{number + 1}", *ZONES[number % 2]) for number in range(4)],
                services=[(f"s{number + 1}", *ZONES[number], {}) for number in (0, 1)],
                write_rate=PLATFORM_WRITES_PER_S,
                delay=0.003,
            )
            yield await send_orders(world, callers, seed)
        finally:
            await world.close(failed=False)


async def send_orders(world, callers, seed):
    """Let each caller send its next order after a response, for `ORDERS_WINDOW_S`.

    Returns a report of order rate, platform calls per order, latencies and statuses.
    """
    hosts = world.cluster.list_routers()
    calls_url = world.cluster.platform_url + "/calls"
    before = await world.cluster.get_json(calls_url)
    started_s = time.monotonic()
    latencies, statuses = [], Counter()

    async def call(caller_number):
        order_number = 0
        while time.monotonic() - started_s < ORDERS_WINDOW_S:
            sent_s = time.monotonic()
            status, _, _ = await world.call(
                "POST",
                "/v1/services/stock/orders/fleece",
                host=hosts[(caller_number + order_number) % len(hosts)],
                body=b"{}",
                Idempotency_Key=f"{seed}-{caller_number}-{order_number}",
            )
            latencies.append(time.monotonic() - sent_s)
            statuses[status] += 1
            order_number += 1

    await asyncio.gather(*(call(caller_number) for caller_number in range(callers)))
    window_s = time.monotonic() - started_s
    await asyncio.sleep(PAUSE_BETWEEN_REPORTS_S)
    after = await world.cluster.get_json(calls_url)
    orders = max(1, statuses[201])
    writes = after["PUT"] - before["PUT"]
    reads = after.get("GET", 0) - before.get("GET", 0)
    return {
        "name": f"orders, {callers} callers at once",
        "seed": seed,
        "orders_per_s": round(orders / window_s, 1),
        "writes_per_order": round(writes / orders, 3),
        "reads_per_order": round(reads / orders, 3),
        "latency_s": asdict(summarise(latencies)),
        "statuses": {str(status): count for status, count in statuses.items()},
    }


@click.command()
@click.argument("name", type=click.Choice(sorted(MEASUREMENTS)))
@click.option("--seed", default=1, help="Seed of arrivals, prompts and faults.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def main(name, seed, as_json):
    """Run one measurement on a cluster of local processes."""

    async def run():
        async for report in MEASUREMENTS[name](seed):
            line = orjson.dumps(report).decode() if as_json else format_report(report)
            click.echo(line)
            sys.stdout.flush()
            await asyncio.sleep(PAUSE_BETWEEN_REPORTS_S)

    asyncio.run(run())


if __name__ == "__main__":
    main()
