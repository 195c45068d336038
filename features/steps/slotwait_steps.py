"""Steps on how long calls wait for slots of brittle engines."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from expression import Error

from sapphirerock.connection.errors import PeerUnavailable
from sapphirerock.connection.messages import SlotRequest
from sapphirerock.decisions.slots import EngineRoom
from sapphirerock.process.clock import ManualClock
from sapphirerock.process.engines.slots import EngineSlotTable
from sapphirerock.request.turntaker import TurnTaker

ENGINES = ("e1", "e2", "e3")
TOLERANCE = 4.0
SLOTS = 6


def make_state(name):
    entry = SimpleNamespace(name=name, born_ms=1_000, slots=SLOTS)
    return SimpleNamespace(name=name, entry=entry, next_slot_s=0.0)


@given(
    "a call that may wait {max_wait:g} seconds for a slot, and 3 engines whose slots "
    "are taken"
)
def make_waiting_call(context, max_wait):
    clock = ManualClock(100.0)
    context.max_wait_s, context.clock = max_wait, clock

    async def take(state, room, memory_tokens, hold_s, max_wait_s):
        clock.advance(max_wait_s)
        return 0.1

    context.runtime = SimpleNamespace(
        clock=clock,
        engine_slots=SimpleNamespace(take=take),
        fleet=SimpleNamespace(
            engines=SimpleNamespace(get_refusal_tolerance=lambda state: TOLERANCE),
            get_memory_tokens=lambda service: 0,
        ),
    )
    context.call = SimpleNamespace(
        service="shop",
        response_deadline_s=clock.monotonic() + 10.0,
        metadata=SimpleNamespace(
            attempt_id="1", prompt=SimpleNamespace(memory_tokens=0)
        ),
    )


@when("the call asks for slots of all engines, and half a second later again")
def ask_all_engines(context):
    turns = TurnTaker(context.runtime, context.call)
    context.waited_s = []

    async def run():
        for _ in range(2):
            started_s = context.clock.monotonic()
            for name in ENGINES:
                assert not await turns.take(make_state(name), context.max_wait_s)
            context.waited_s.append(context.clock.monotonic() - started_s)
            context.clock.advance(0.5)
            turns.engines_without_turn.clear()

    context.run(run())


@then("it waited for {seconds:g} seconds each time")
def check_waits(context, seconds):
    assert all(abs(waited_s - seconds) < 1e-6 for waited_s in context.waited_s), (
        context.waited_s
    )


@given("a host that asks a silent owner for the slots of an engine")
def make_host_of_silent_owner(context):
    context.clock, context.asked = ManualClock(100.0), 0

    async def ask(host, request, timeout_s):
        context.asked += isinstance(request, SlotRequest)
        await asyncio.sleep(0)
        return Error(PeerUnavailable(host, "no reply"))

    own_address = SimpleNamespace(host="own")
    peers = SimpleNamespace(
        hosts=SimpleNamespace(
            own_address=own_address,
            list_live=lambda: [SimpleNamespace(host="owner")],
            list_capacity_classes=dict,
        ),
        # A host that is shutting down owns no slots.
        is_shutting_down=True,
        incarnation=1,
        streams={},
        register_handler=lambda *arguments: None,
        may_read=lambda host, view: True,
        ask=ask,
    )
    context.slot_table = EngineSlotTable(None, peers, None, context.clock)


@when("{rate:d} calls a second need a slot for {seconds:d} seconds")
def take_slots(context, rate, seconds):
    context.seconds, context.waits_s = seconds, []
    room = EngineRoom(SLOTS, 0, TOLERANCE)

    async def run():
        for _ in range(rate * seconds):
            taken = await context.slot_table.take(make_state("e1"), room, 0, 1.0, 0.25)
            context.waits_s.append(taken)
            context.clock.advance(1 / rate)

    context.run(run())


@then(
    "the owner is asked at most {most:d} times a second, and other calls are refused "
    "at once"
)
def check_asked(context, most):
    assert 0 < context.asked <= most * context.seconds + 1, context.asked
    assert all(0 < wait_s <= 0.5 for wait_s in context.waits_s)
