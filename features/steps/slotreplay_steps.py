"""Replays of the slots of engines whose room shrinks, on a clock of their own."""

import heapq
import itertools
from collections import deque
from random import Random

from behave import then, when

from sapphirerock.decisions.slots import (
    EngineRoom,
    NoticeTimes,
    SlotDemand,
    SlotSchedule,
)

ENGINES = 3
SLOTS, WORK_S = 6, 0.05
SHRINK_S, END_S = 4.0, 16.0
RESTART_S = 3.0
HOLD_S, MAX_WAIT_S = 1.5, 0.25
CHECK_INTERVAL_S = 0.1
# A message takes between half and twice its mean time.
MIN_WAY_RATIO, MAX_WAY_RATIO = 0.5, 2.0
SEEDS = range(1, 6)
REGION_WAY_S = 0.03
# An owner that stops replying is replaced after this time.
SILENCE_S = 2.0
TROUBLES = {}


def register_trouble(text):
    """Register the function that makes trouble for the owner of the slots."""

    def register(function):
        TROUBLES[text] = function
        return function

    return register


class ReplayedEngine:
    """An engine that crashes under refusals, and the schedule of its slots."""

    __slots__ = (
        "slots",
        "tolerance",
        "running",
        "run_number",
        "is_up",
        "refused_s",
        "falls_s",
        "schedule",
        "calls",
        "checked_schedules",
    )

    def __init__(self, tolerance, schedule):
        self.slots = SLOTS
        self.tolerance = tolerance
        self.running = 0
        self.run_number = 0
        self.is_up = True
        self.refused_s = deque()
        self.falls_s = []
        self.schedule = schedule
        # Calls by lease, and schedules that are to be checked.
        self.calls = {}
        self.checked_schedules = set()


class SlotReplay:
    """Calls that ask for slots of some engines, each in a random order.

    Parameters
    ----------
    tolerance : int
        Refusals that an engine bears in a second.
    way_s : float
        Mean time of a message, in seconds.
    seed : int
        Seed of the order of engines and of the times of messages.
    """

    __slots__ = (
        "now_s",
        "notice_times",
        "engines",
        "served_s",
        "asked_s",
        "is_owner_silent",
        "silences_s",
        "_room",
        "_way_s",
        "_random",
        "_events",
        "_numbers",
    )

    def __init__(self, tolerance, way_s, seed):
        self.now_s = 0.0
        # Between regions each message crosses them.
        crossings = 4 if way_s >= REGION_WAY_S else 0
        self.notice_times = NoticeTimes(lambda place: crossings)
        self.engines = [
            ReplayedEngine(tolerance, self.make_schedule()) for _ in range(ENGINES)
        ]
        self.served_s = []
        self.asked_s = []
        self.is_owner_silent = False
        # Times at which the owner of the slots falls silent for `SILENCE_S`.
        self.silences_s = []
        self._room = EngineRoom(SLOTS, 0, float(tolerance))
        self._way_s = way_s
        self._random = Random(seed)
        self._events = []
        self._numbers = itertools.count()

    def make_schedule(self):
        """Return a new schedule of an engine's slots."""
        return SlotSchedule(self.now_s, self.notice_times)

    def at(self, time_s, act, *arguments):
        """Call a function at a time."""
        heapq.heappush(self._events, (time_s, next(self._numbers), act, arguments))

    def run(self, calls_per_s):
        """Replay a steady load."""
        for number in range(int(calls_per_s * END_S)):
            self.at(number / calls_per_s, self._begin_call)
        while self._events and self._events[0][0] < END_S:
            self.now_s, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)

    def _send(self, act, *arguments, ways=1):
        ratio = self._random.uniform(MIN_WAY_RATIO, MAX_WAY_RATIO)
        self.at(self.now_s + ways * self._way_s * ratio, act, *arguments)

    def _begin_call(self):
        self.asked_s.append(self.now_s)
        untried = [engine for engine in self.engines if engine.is_up]
        self._random.shuffle(untried)
        self._ask_next(untried)

    def _ask_next(self, untried):
        while untried and not untried[-1].is_up:
            untried.pop()
        if untried and not self.is_owner_silent:
            engine = untried.pop()
            self._send(self._ask, engine, engine.schedule, untried)

    def _ask(self, engine, schedule, untried):
        lease = str(next(self._numbers))
        demand = SlotDemand(lease, "a", 0, HOLD_S, MAX_WAIT_S)
        engine.calls[lease] = untried
        is_granted = schedule.request(demand, self._room, self.now_s)
        if is_granted:
            self._reply(engine, schedule, lease, True)
        elif is_granted is None:
            self.at(self.now_s + MAX_WAIT_S, self._end_wait, engine, schedule, lease)
            self._check_later(engine, schedule)
        else:
            self._reply(engine, schedule, lease, False)

    def _reply(self, engine, schedule, lease, is_granted):
        untried = engine.calls.pop(lease)
        if is_granted:
            self._send(self._arrive, engine, schedule, lease, untried, ways=2)
        else:
            self._send(self._ask_next, untried)

    def _end_wait(self, engine, schedule, lease):
        if lease in engine.calls:
            schedule.release(lease, False, self.now_s)
            self._reply(engine, schedule, lease, False)

    def _check_later(self, engine, schedule):
        if schedule not in engine.checked_schedules:
            engine.checked_schedules.add(schedule)
            pause_s = schedule.measure_pause_s(self._room, self.now_s)
            delay_s = min(pause_s or CHECK_INTERVAL_S, CHECK_INTERVAL_S)
            self.at(self.now_s + delay_s, self._check, engine, schedule)

    def _check(self, engine, schedule):
        engine.checked_schedules.discard(schedule)
        self._serve_waiting(engine, schedule)
        if schedule.has_waiting:
            self._check_later(engine, schedule)

    def _serve_waiting(self, engine, schedule):
        for demand in schedule.grant_waiting(self._room, self.now_s):
            self._reply(engine, schedule, demand.lease, True)
        for demand in schedule.refuse_waiting(self._room, self.now_s):
            self._reply(engine, schedule, demand.lease, False)

    def _arrive(self, engine, schedule, lease, untried):
        if not engine.is_up:
            self._send(self._release, engine, schedule, lease, False, ways=2)
        elif engine.running < engine.slots:
            engine.running += 1
            end_s = self.now_s + WORK_S
            number = engine.run_number
            self.at(end_s, self._finish, engine, schedule, lease, number)
        else:
            self._refuse(engine, schedule, lease, untried)

    def _refuse(self, engine, schedule, lease, untried):
        engine.refused_s.append(self.now_s)
        while engine.refused_s[0] < self.now_s - 1.0:
            engine.refused_s.popleft()
        if len(engine.refused_s) > engine.tolerance:
            self._crash(engine)
            return
        self._send(self._release, engine, schedule, lease, True, ways=2)
        self._send(self._ask_next, untried)

    def _crash(self, engine):
        engine.falls_s.append(self.now_s)
        engine.is_up = False
        engine.running = 0
        engine.run_number += 1
        engine.refused_s.clear()
        self.at(self.now_s + RESTART_S, self._restart, engine)

    def _restart(self, engine):
        """Start a new run of an engine, whose slots have a new schedule."""
        engine.is_up = True
        engine.schedule = self.make_schedule()

    def _finish(self, engine, schedule, lease, number):
        if number == engine.run_number:
            engine.running -= 1
            self.served_s.append(self.now_s)
            self._send(self._release, engine, schedule, lease, False, ways=2)

    def _release(self, engine, schedule, lease, was_refused):
        schedule.release(lease, was_refused, self.now_s)
        self._serve_waiting(engine, schedule)

    def shrink(self, engines, slots):
        """Let some engines run fewer calls."""
        for engine in self.engines[:engines]:
            engine.slots = slots

    def replace_schedules(self):
        """Hand the slots to another owner; return the schedules of the former."""
        self.is_owner_silent = False
        former = [(engine.run_number, engine.schedule) for engine in self.engines]
        self.notice_times = NoticeTimes(self.notice_times._count_crossings)
        for engine in self.engines:
            engine.schedule = self.make_schedule()
        return former

    def restore_schedules(self, schedules):
        """Hand the slots back to an owner that had lost its peers."""
        for engine, (number, schedule) in zip(self.engines, schedules, strict=True):
            if engine.run_number == number:
                schedule.settle(self.now_s)
                engine.schedule = schedule


@register_trouble("nothing else happens")
def leave_owner(replay):
    pass


@register_trouble("the owner of the slots is killed")
def kill_owner(replay):
    replay.at(SHRINK_S + 3.0, replay.replace_schedules)


@register_trouble("the owner of the slots freezes")
def freeze_owner(replay):
    def freeze():
        replay.is_owner_silent = True
        replay.silences_s.append(replay.now_s)

    def replace():
        former = replay.replace_schedules()
        replay.at(replay.now_s + 1.0, replay.restore_schedules, former)

    replay.at(SHRINK_S + 3.0, freeze)
    replay.at(SHRINK_S + 3.0 + SILENCE_S, replace)


@when(
    "{engines:d} of 3 engines that run 6 calls and tolerate {tolerance:d} refusals run "
    "{left:d} from 4 seconds on, under {calls:d} calls a second {way:g} ms away, while "
    "{trouble}"
)
def replay_shrinking_room(context, engines, tolerance, left, calls, way, trouble):
    context.replays = []
    context.left = engines * left + (ENGINES - engines) * SLOTS
    for seed in SEEDS:
        replay = SlotReplay(tolerance, way / 1000, seed)
        replay.at(SHRINK_S, replay.shrink, engines, left)
        TROUBLES[trouble](replay)
        replay.run(calls)
        context.replays.append(replay)


@then("no more than {most:d} crashes follow, with any seed")
def check_replayed_falls(context, most):
    falls = [
        sum(len(engine.falls_s) for engine in replay.engines)
        for replay in context.replays
    ]
    assert max(falls) <= most, falls


@then(
    "at least {share:g} of the room that is left is used while its owner replies, or "
    "all calls are served"
)
def check_replayed_use(context, share):
    for replay in context.replays:
        silent_s = SILENCE_S * len(replay.silences_s)
        room = context.left / WORK_S * (END_S - SHRINK_S - silent_s)
        asked = sum(
            at_s >= SHRINK_S
            and not any(
                since <= at_s < since + SILENCE_S for since in replay.silences_s
            )
            for at_s in replay.asked_s
        )
        served = sum(at_s >= SHRINK_S for at_s in replay.served_s)
        assert served >= min(share * room, 0.95 * asked), (served, room, asked)
