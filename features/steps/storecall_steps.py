"""Steps on the calls that hosts make to the store when they start."""

import asyncio
import re

from behave import given, then

from features.steps.edge_steps import SERVICES, start_cluster
from sapphirerock.platform.names import ENGINE_VERSIONS_KIND

STORE_CALLS = re.compile(
    r'^sapphirerock_platform_calls_total\{kind="(\w+)"\} (\S+)', re.MULTILINE
)
SEEDS = 3
# A host that started from its peers leaves the watch to them for longer than this.
SETTLED_S = 1.0


@given("a shared platform with {edges:d} edges in {zones:d} zones")
def start_zones(context, edges, zones):
    async def are_versions_stored():
        stored = await context.world.cluster.list_objects(ENGINE_VERSIONS_KIND)
        return len(stored) == len(SERVICES)

    async def run():
        await start_cluster(context, edges, 1, zones)
        await context.world.wait_until(are_versions_stored, "versions are stored")

    context.run(run())


@then(
    "each edge but the seeds has made at most {bound:d} calls to the store once all "
    "are ready"
)
def check_store_calls(context, bound):
    cluster = context.world.cluster

    async def read_calls(name):
        url = cluster.get_metrics_url(name)
        async with context.world.session.get(url) as response:
            return dict(STORE_CALLS.findall(await response.text()))

    async def run():
        await cluster.wait_edges_ready()
        await asyncio.sleep(SETTLED_S)
        names = list(cluster.edges)[SEEDS:]
        return {name: await read_calls(name) for name in names}

    calls = context.run(run())
    sums = {
        name: sum(float(count) for count in kinds.values())
        for name, kinds in calls.items()
    }
    assert max(sums.values()) <= bound, calls
    assert min(sums.values()) >= 1, calls
