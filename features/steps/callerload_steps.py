"""Steps on the decision which callers' connections a host closes."""

import re
import resource
from collections import Counter
from unittest.mock import patch

from behave import given, then, when

from sapphirerock.decisions.callerload import (
    CONNECTION_BYTES,
    COPIES,
    CallerCapacity,
    ConnectionPhase,
    ConnectionUse,
    choose_caller_capacity,
    choose_connection_to_end,
    choose_connection_to_replace,
    choose_connections_to_close,
)
from sapphirerock.process.router import measure_max_files

BYTES_PER_KB, BYTES_PER_MB = 1 << 10, 1 << 20
NOW_S = 100.0
# Kinds of connections beside those named as their phase.
PHASES = {"served": ConnectionPhase.IDLE, "pipelining": ConnectionPhase.RUNNING}
GROUP = re.compile(
    r"(\w): (\d+) (\w+) (\d+) kB for ([\d.]+) s, still for ([\d.]+) s(?:; )?"
)


@given("callers' connections: {connections}")
def make_connections(context, connections):
    context.groups = {}
    for group, count, kind, size, age_s, still_s in GROUP.findall(connections):
        has_served = kind == "served"
        phase = PHASES.get(kind) or ConnectionPhase(kind)
        for _ in range(int(count)):
            use = ConnectionUse(
                phase,
                int(size) * BYTES_PER_KB,
                NOW_S - float(still_s),
                NOW_S - float(age_s),
                has_served,
                has_queue=kind == "pipelining",
            )
            context.groups[use] = group


@given(
    "{rate:d} requests a second of {size:d} kB, each received for {receive:g} s and "
    "run for {run:g} s"
)
def make_traffic(context, rate, size, receive, run):
    held_bytes = CONNECTION_BYTES + COPIES * size * BYTES_PER_KB
    context.groups = {}
    counts = (
        (ConnectionPhase.RECEIVING, rate * receive),
        (ConnectionPhase.RUNNING, rate * run),
    )
    for phase, count in counts:
        for _ in range(int(count)):
            use = ConnectionUse(phase, held_bytes, NOW_S, NOW_S - receive)
            context.groups[use] = phase.value


@when("they may hold {limit:d} MB")
def close_for_memory(context, limit):
    capacity = CallerCapacity(limit * BYTES_PER_MB, len(context.groups))
    held_bytes = sum(use.held_bytes for use in context.groups)
    closed = choose_connections_to_close(context.groups, held_bytes, capacity, NOW_S)
    context.closed = Counter(context.groups[use] for use in closed)


@then("these are closed for memory: {closed}")
def check_closed(context, closed):
    text = ", ".join(f"{count} of {group}" for group, count in context.closed.items())
    assert (text or "none") == closed, text


@when("one more connects")
def replace(context):
    replaced = choose_connection_to_replace(context.groups, NOW_S)
    context.replaced = "none" if replaced is None else context.groups[replaced]
    ended = choose_connection_to_end(context.groups)
    context.ended = "none" if ended is None else context.groups[ended]


@then("{group} is closed for it")
def check_replaced(context, group):
    assert context.replaced == group, context.replaced


@then("otherwise {group} would be closed after its response")
def check_ended(context, group):
    assert context.ended == group, context.ended


@given("requests of up to {size:d} kB")
def set_request_size(context, size):
    context.request_bytes = size * BYTES_PER_KB


@then(
    "callers of a host of {memory:d} MB and {files:d} descriptors may hold {held:d} MB "
    "on {connections:d} connections"
)
def check_capacity(context, memory, files, held, connections):
    capacity = choose_caller_capacity(memory, files, context.request_bytes)
    assert capacity.memory_bytes // BYTES_PER_MB == held, capacity
    assert capacity.connections == connections, capacity


@given("a process whose limit on descriptors is {limit}")
def set_files_limit(context, limit):
    context.limit = resource.RLIM_INFINITY if limit == "none" else int(limit)


@then("a router with its own settings takes its limit as {files:d}")
def check_files_limit(context, files):
    with patch.object(resource, "getrlimit", lambda which: (context.limit,) * 2):
        assert measure_max_files() == files
