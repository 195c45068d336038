"""Steps on the messages by which the hosts of a large fleet share loads."""

from random import Random

from behave import given, then, when
from expression import Ok
from tools.localfleet import Fleet

from sapphirerock.process.engines.table import EngineLoadCell, EngineTable
from sapphirerock.process.peers.loadsharing import PUBLISH_INTERVAL_S, LoadSharing
from sapphirerock.process.replicas.replica import ReplicaChange
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics
from sapphirerock.version.engineentry import EngineEntry

ENGINES = tuple(f"engine-{number}" for number in range(120))
INTERVALS = 20
# A host's sum goes to its hub, to the hubs of other zones and to their hosts.
HOPS = 3


def make_engine_table(clock):
    engines = EngineTable(lambda name, spec: Ok(spec), clock, EdgeMetrics())
    engines.apply_changes(
        ReplicaChange(name, 1, EngineEntry(name, "model", f"{name}:1", "a1", 16))
        for name in ENGINES
    )
    return engines


@given("a fleet of {count:d} hosts in 6 zones that share loads")
def make_fleet(context, count):
    context.fleet = fleet = Fleet(count)
    for host in fleet.hosts:
        host.engines = make_engine_table(fleet.clock)
        host.load_sharing = LoadSharing(host.engines, host.peers, fleet.clock)
    fleet.connect()
    context.generator = Random(count)


def run_interval(fleet):
    fleet.clock.advance(PUBLISH_INTERVAL_S)
    for host in fleet.hosts:
        host.load_sharing.publish()
    fleet.deliver()


def place_load(host, generator):
    """Let a host run streams on another set of engines than before."""
    for state in host.engines.list_all():
        state.local_load = EngineLoadCell()
    for name in generator.sample(ENGINES, 3):
        tokens = generator.randrange(4_000, 12_000)
        host.engines.get(name).local_load = EngineLoadCell(tokens, 1, tokens, 0)


@when("the hosts place and end streams for {seconds:d} seconds")
def place_loads(context, seconds):
    fleet = context.fleet
    run_interval(fleet)
    fleet.reset_counts()
    for _ in range(round(seconds / PUBLISH_INTERVAL_S)):
        for host in context.generator.sample(fleet.hosts, len(fleet.hosts) // 4):
            place_load(host, context.generator)
        run_interval(fleet)
    context.seconds = seconds
    context.received = {
        host.name: sum(host.received.values()) / seconds for host in fleet.hosts
    }
    for _ in range(HOPS):
        run_interval(fleet)


@when("the first hub of a zone ends, and the others go on for {seconds:d} seconds")
def end_first_hub(context, seconds):
    fleet = context.fleet
    ended = next(host for host in fleet.hosts if host.peers.is_first_hub(host.name))
    fleet.hosts.remove(ended)
    for host in fleet.hosts:
        host.hosts.remove(ended.name)
        host.peers.streams.pop(ended.name, None)
    fleet.connect()
    for _ in range(round(seconds / PUBLISH_INTERVAL_S)):
        run_interval(fleet)


@then("a host that is no hub gets at most {bound:d} messages a second")
def check_messages(context, bound):
    fleet = context.fleet
    rates = [
        context.received[host.name] for host in fleet.hosts if not fleet.is_hub(host)
    ]
    assert 0 < max(rates) <= bound, max(rates)


@then("each host knows the load that all others have placed")
def check_loads(context):
    hosts = context.fleet.hosts
    totals = {name: EngineLoadCell() for name in ENGINES}
    for host in hosts:
        for state in host.engines.list_all():
            totals[state.name].add(state.local_load)
    for host in hosts:
        for state in host.engines.list_all():
            known = EngineLoadCell(*state.remote_load.to_numbers())
            known.add(state.local_load)
            assert known == totals[state.name], (host.name, state.name, known)
