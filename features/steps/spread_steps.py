"""Steps on how large configurations are sent from host to host."""

import re

from behave import then, when
from tools.sharedcluster import make_configuration, make_route

# A watcher on a link of 5 Mbit/s sends a configuration to 14 hosts within 2 s, half of
# the time in which it must be in force: 5e6 / 8 * 2 / 14 bytes each.
BYTES_PER_KB = 1000
SENT = re.compile(
    r'^sapphirerock_peer_bytes_total\{kind="objects",reach="[\w-]+"\} (\S+)',
    re.MULTILINE,
)
IN_FORCE = re.compile(r"^sapphirerock_configuration_revision (\S+)", re.MULTILINE)


def make_large_configuration(count):
    """Return a configuration with further routes of the usual form."""
    configuration = make_configuration(version=2)
    configuration["routes"] += [
        make_route(f"r-{number:07x}", f"/{number * 7919:08x}/", "idempotent", "shop")
        for number in range(count)
    ]
    return configuration


async def read_metric(context, name, pattern):
    """Return the sum of a metric's values at an edge."""
    url = context.world.cluster.get_metrics_url(name)
    async with context.world.session.get(url) as response:
        text = await response.text()
    return sum(float(value) for value in pattern.findall(text))


async def measure_sent_bytes(context):
    edges = context.world.cluster.edges
    return sum([await read_metric(context, name, SENT) for name in edges])


async def wait_until_in_force(context):
    async def is_in_force():
        edges = context.world.cluster.edges
        revisions = {await read_metric(context, name, IN_FORCE) for name in edges}
        return len(revisions) == 1 and revisions.pop() > context.revision

    await context.world.wait_until(is_in_force, "the configuration is in force")


@when("the configuration grows by {count:d} routes")
def grow_configuration(context, count):
    async def run():
        cluster = context.world.cluster
        context.revision = await read_metric(context, "edge-0", IN_FORCE)
        sent_bytes = await measure_sent_bytes(context)
        await cluster.put_configuration(make_large_configuration(count))
        await wait_until_in_force(context)
        context.sent_bytes = await measure_sent_bytes(context) - sent_bytes

    context.run(run())


@then("each edge has it in force, and got it in at most {bound:d} kB from its peers")
def check_sent_bytes(context, bound):
    receivers = len(context.world.cluster.edges) - 1
    kilobytes = context.sent_bytes / receivers / BYTES_PER_KB
    assert 0 < kilobytes <= bound, round(kilobytes)
