"""Steps on requests under which engines fall silent and start anew."""

import asyncio
import contextlib
import threading
import time

from behave import given, then, when
from tools.rawclient import RawConnection
from tools.sharedcaller import make_headers

from features.steps.edge_steps import list_all_runs, start_cluster
from features.steps.poison_steps import (
    BORN_MS,
    ORDERS,
    POISON_LOOKUP_TARGET,
    REFUSED_STATUS,
    answer_reports,
    list_edges,
    register_in,
    report_crash,
    report_peer_calls,
)
from sapphirerock.decisions.unanswered import UnansweredCall, UnansweredCalls
from sapphirerock.process.replicas.replica import ReplicaChange
from sapphirerock.version.engineentry import EngineEntry

DEADLINE_MS = 1000
LEAVE_AFTER_S = 0.4
FIRST_POISON, FIRST_LAST, FIRST_SOUND = 5_000, 8_000, 9_000
SOUND_LOOKUPS = 12
# Longer than an engine is silent, so that all are back.
RECOVERY_S = 9.0


@given(
    "a shared platform with {edges:d} edges and {engines:d} engines in a zone of each "
    "service in {zones:d} zones that a poison lookup silences for {silence:f} s"
)
def start_with_silencing_lookup(context, edges, engines, zones, silence):
    options = {"poison": POISON_LOOKUP_TARGET, "silence": silence}
    context.run(start_cluster(context, edges, engines * zones, zones, **options))


async def send_lookup(edge, number, target=POISON_LOOKUP_TARGET):
    """Send a lookup; return the status."""
    async with RawConnection(edge) as connection:
        headers = make_headers(number, timeout_ms=DEADLINE_MS)
        return (await connection.request("GET", target, headers)).status


async def leave_early(edges, number):
    """Send the poison lookup, and leave before its deadline."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LEAVE_AFTER_S):
            await send_lookup(edges[number % len(edges)], number)


async def wait_for_deadline(edges, number):
    """Send the poison lookup, and wait for the response."""
    await send_lookup(edges[number % len(edges)], number)


async def send_to_two(edges, number):
    await asyncio.gather(
        wait_for_deadline(edges, number), wait_for_deadline(edges, number + 1000)
    )


MANNERS = {
    "it waits for its deadline": wait_for_deadline,
    "it leaves after 0.4 s": leave_early,
    "it comes to two edges at once": send_to_two,
}


@when("the poison lookup comes to the edges in turn for {seconds:d} s: {manner}")
def repeat_lookup(context, seconds, manner):
    send, _, interval = manner.partition(", every ")
    interval_s = float(interval.removesuffix(" s"))

    async def run():
        end_s = time.monotonic() + seconds
        number = FIRST_POISON
        while time.monotonic() < end_s:
            number += 1
            next_s = time.monotonic() + interval_s
            await MANNERS[send](list_edges(context), number)
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))

    context.run(run())


@then(
    "at most {count:d} of its retries reach engines later than {delay:d} s after the "
    "third crash"
)
def check_late_retries(context, count, delay):
    runs = context.run(list_all_runs(context))
    poison = [run for run in runs if run["target"] == POISON_LOOKUP_TARGET]
    began = sorted(run["began_at"] for run in poison)
    print(f"{len(began)} engines crashed")
    assert len(began) >= 3, began
    late = [run for run in poison if run["began_at"] > began[2] + delay]
    assert len({run["attempt_id"] for run in late}) <= count, (began, len(late))


@then("every edge refuses the poison lookup, and other lookups are served")
def check_refused(context):
    async def run():
        await asyncio.sleep(RECOVERY_S)
        edges = list_edges(context)
        refused = [
            await send_lookup(edge, FIRST_LAST + number)
            for number, edge in enumerate(edges)
        ]
        served = [
            await send_lookup(
                edges[number % len(edges)], FIRST_SOUND + number, f"/stock/{number}"
            )
            for number in range(SOUND_LOOKUPS)
        ]
        return refused, served

    refused, served = context.run(run())
    assert set(refused) == {REFUSED_STATUS}, refused
    assert set(served) == {200}, served


def end_unanswered(host, call, state):
    """End a call of an engine that has sent nothing."""
    host.crash_watch.record_unanswered(state, call, host.clock.monotonic() - 0.5)


def add_sound_engine(host, name):
    """Register an engine that answers probes."""
    state = host.add_unresponsive_engine(name)
    listener = host.silent_engines[-1]
    threading.Thread(target=answer_reports, args=(listener,), daemon=True).start()
    return state


def lapse(host, name):
    """Apply the removal of a registration."""
    host.engines.apply_changes([ReplicaChange(name, 1_000, None)])


@register_in(ORDERS, "the call ends, and a new start registers before the entry lapses")
async def restart_early(host, call):
    state = host.add_unresponsive_engine("e1")
    end_unanswered(host, call, state)
    host.add_engine("e2", state.entry.address, BORN_MS + 5_000)


@register_in(ORDERS, "the call ends, the entry lapses, and a new start registers")
async def restart_late(host, call):
    state = host.add_unresponsive_engine("e1")
    end_unanswered(host, call, state)
    lapse(host, "e1")
    host.add_engine("e2", state.entry.address, BORN_MS + 5_000)


def restart_in_one_answer(host, call, has_end_first):
    state = host.add_unresponsive_engine("e1")
    end_unanswered(host, call, state)
    address, born_ms = state.entry.address, BORN_MS + 5_000
    entry = EngineEntry("e2", "model", address, "zone-a", 16, born_ms=born_ms)
    changes = [ReplicaChange("e1", 1_002, None), ReplicaChange("e2", 1_001, entry)]
    host.engines.apply_changes(changes if has_end_first else changes[::-1])


@register_in(
    ORDERS, "the call ends, and one answer has the new entry before the old one's end"
)
async def restart_before_end(host, call):
    restart_in_one_answer(host, call, has_end_first=False)


@register_in(
    ORDERS, "the call ends, and one answer has the old entry's end before the new one"
)
async def restart_after_end(host, call):
    restart_in_one_answer(host, call, has_end_first=True)


@register_in(
    ORDERS, "the call ends, the entry lapses, and it registers elsewhere under its id"
)
async def restart_elsewhere(host, call):
    end_unanswered(host, call, host.add_unresponsive_engine("e1"))
    lapse(host, "e1")
    host.add_engine("e1", born_ms=BORN_MS + 5_000)


@register_in(ORDERS, "the call ends, the entry lapses, and the engine answers nobody")
async def vanish(host, call):
    end_unanswered(host, call, host.add_unresponsive_engine("e1"))
    lapse(host, "e1")
    await asyncio.sleep(0.5)


@register_in(ORDERS, "the call ends, and a peer reports the crash")
async def report_after_end(host, call):
    state = host.add_unresponsive_engine("e1")
    end_unanswered(host, call, state)
    report_crash(host, state)


@register_in(ORDERS, "a peer reports the crash with its own calls, and the call ends")
async def end_after_report(host, call):
    state = host.add_unresponsive_engine("e1")
    report_peer_calls(host, state)
    end_unanswered(host, call, state)


@register_in(
    ORDERS, "its connection breaks, the entry lapses, and a new start registers"
)
async def break_and_restart(host, call):
    state = host.add_unresponsive_engine("e1")
    host.crash_watch.investigate(state, call)
    await asyncio.sleep(0.1)
    lapse(host, "e1")
    host.add_engine("e2", state.entry.address, BORN_MS + 5_000)


@register_in(
    ORDERS, "the call ends, the engine answers another one, and a new start registers"
)
async def hear_after_end(host, call):
    state = host.add_unresponsive_engine("e1")
    end_unanswered(host, call, state)
    await asyncio.sleep(0.01)
    state.record_received(host.clock.monotonic())
    host.add_engine("e2", state.entry.address, BORN_MS + 5_000)


@register_in(
    ORDERS, "the call ends, the entry lapses, and the same start registers again"
)
async def return_unchanged(host, call):
    state = add_sound_engine(host, "e1")
    end_unanswered(host, call, state)
    lapse(host, "e1")
    host.add_engine("e1", state.entry.address, BORN_MS)


@register_in(ORDERS, "the call ends, and the entry of a sound engine lapses")
async def lapse_sound(host, call):
    end_unanswered(host, call, add_sound_engine(host, "e1"))
    lapse(host, "e1")


@register_in(ORDERS, "the call ends, and a draining engine leaves")
async def leave_drained(host, call):
    address = host.add_unresponsive_engine("e1").entry.address
    state = host.add_engine("e1", address, is_draining=True)
    end_unanswered(host, call, state)
    lapse(host, "e1")


@register_in(
    ORDERS, "the call ends, a new start registers, and another engine runs the call"
)
async def survive_after(host, call):
    await restart_early(host, call)
    host.crash_watch.record_survival(call)


@register_in(
    ORDERS, "the call ends, another engine runs the call, and a new start registers"
)
async def survive_before(host, call):
    state = host.add_unresponsive_engine("e1")
    end_unanswered(host, call, state)
    host.crash_watch.record_survival(call)
    host.add_engine("e2", state.entry.address, BORN_MS + 5_000)


@when(
    "{count:d} engines end silently under the call, which another engine runs after "
    "each"
)
def survive_between(context, count):
    async def run():
        host, call = context.host, context.call
        for number in range(count):
            state = host.add_unresponsive_engine(f"e{number}")
            end_unanswered(host, call, state)
            host.add_engine(f"new-{number}", state.entry.address, BORN_MS + 5_000)
            await asyncio.sleep(0.5)
            host.crash_watch.record_survival(call)
        await asyncio.sleep(1.0)
        await host.close()

    context.run(run())


@given("calls that began and ended at {times}")
def add_unanswered(context, times):
    context.calls = UnansweredCalls()
    for text in times.split(", "):
        began_s, ended_s = map(float, text.split(" to "))
        call = UnansweredCall((text.encode(),), began_s, ended_s)
        context.calls.add("run", call)


@when("it shows at {now:f} that the engine, heard at {heard:f}, has ended")
def select_calls(context, now, heard):
    context.selected = context.calls.select("run", heard, now)


@then("{count:d} of them are suspects")
def check_selected(context, count):
    assert len(context.selected) == count, context.selected


@then("the call is not blocked")
def check_not_blocked(context):
    assert not context.host.crash_watch.is_blocked(context.call)
