"""Steps on engines whose entries name the same address."""

import random
import re

from behave import given, then, when
from expression import Ok

from sapphirerock.process.clock import SystemClock
from sapphirerock.process.engines.table import EngineTable
from sapphirerock.process.replicas.replica import ReplicaChange
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics
from sapphirerock.version.engineentry import EngineEntry

ADDRESS, OTHER_ADDRESS = "127.0.0.1:8300", "127.0.0.1:8301"
SERVICE = "model"
REGISTRATION = re.compile(r"(\w+) born (\d+) at (\d+)")
MAX_STARTS = 4
SEED = 4400


def make_table():
    """Return a table whose entries are already decoded."""
    return EngineTable(lambda name, spec: Ok(spec), SystemClock(), EdgeMetrics())


def make_entry(name, address, born_ms):
    """Return the entry of an engine of the tested service."""
    return EngineEntry(name, SERVICE, address, "zone-a", 16, born_ms=born_ms)


def list_used(engines):
    """Return the names of the engines that may get calls."""
    return sorted(state.name for state in engines.list_usable(SERVICE))


@when("entries of engines at one address arrive: {arrivals}")
def apply_arrivals(context, arrivals):
    context.engines, context.ended = make_table(), []
    context.engines.on_restart.append(lambda state: context.ended.append(state.name))
    for arrival in arrivals.split(", "):
        name, event = arrival.split(" ", 1)
        state = context.engines.get(name)
        if event == "deleted":
            context.engines.apply_changes([ReplicaChange(name, 100, None)])
        elif event == "replaced":
            context.engines.mark_replaced(state)
        elif event == "moves":
            entry = make_entry(name, OTHER_ADDRESS, state.entry.born_ms)
            context.engines.apply_changes([ReplicaChange(name, 100, entry)])
        else:
            _, born_ms, revision = REGISTRATION.fullmatch(arrival).groups()
            entry = make_entry(name, ADDRESS, int(born_ms))
            context.engines.apply_changes([ReplicaChange(name, int(revision), entry)])


@then("the engine in use at the address is {name}")
def check_engine_in_use(context, name):
    used = [
        used_name
        for used_name in list_used(context.engines)
        if context.engines.get(used_name).entry.address == ADDRESS
    ]
    assert used == [name], used


@then("the ended starts that were reported are {names}")
def check_reported(context, names):
    expected = [] if names == "none" else names.split(", ")
    assert sorted(context.ended) == expected, context.ended


@given(
    "{count:d} engines that restarted at their addresses, some of them several times"
)
def make_restarted_engines(context, count):
    generator = random.Random(SEED)
    context.changes, context.last_starts = [], []
    for number in range(count):
        for start in range(generator.randint(2, MAX_STARTS)):
            name = f"i-{generator.getrandbits(40):010x}"
            entry = make_entry(name, f"127.0.0.1:{9000 + number}", 1000 * (start + 1))
            # The order of the last changes is not that of the starts.
            change = ReplicaChange(name, generator.randint(1, 10_000), entry)
            context.changes.append(change)
        context.last_starts.append(name)


@when("hosts get all registrations in {count:d} random orders")
def apply_in_random_orders(context, count):
    generator = random.Random(SEED)
    context.hosts = []
    for _ in range(count):
        engines = make_table()
        generator.shuffle(context.changes)
        engines.apply_changes(context.changes)
        context.hosts.append(engines)


@then("each host uses exactly the last start of each engine")
def check_last_starts(context):
    for engines in context.hosts:
        assert list_used(engines) == sorted(context.last_starts), list_used(engines)
