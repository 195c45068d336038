"""Slots at engines that crash when they have to turn many requests away.

Handles more calls than an engine runs at once, arriving at many hosts together, and the
calls of an engine that has crashed, which come to the other engines; an engine that
runs fewer calls than it has registered. One schedule for each engine, on the host that
owns it, hands out the engine's slots; a call without one is not sent.

The schedule assumes a room, which shrinks with refusals and grows while there are none.
It keeps within the tolerated refusals even if the room is less than it assumes: it
counts each call that the engine may still refuse as a refusal.
"""

import math
from collections import deque
from dataclasses import dataclass

# Share of the tolerated refusals by which the slots handed out may exceed those of the
# engine: a slot is also taken while messages and requests are on their way.
MAX_EXTRA_SHARE = 0.5
# Time without a refusal after which more slots are handed out. It doubles with each
# refusal up to the maximum, and halves with each growth that caused none.
MIN_GROWTH_INTERVAL_S = 1.0
MAX_GROWTH_INTERVAL_S = 30.0
# The engine counts its refusals over a second. The rest is for messages that are late.
REFUSAL_WINDOW_S = 1.2
# Bounds of the time after which a refusal is known to the owner of the slots.
MIN_NOTICE_S = 0.03
MAX_NOTICE_S = 0.5
# Added for each message on the way that crosses regions.
REGION_WAY_S = 0.03
# A refusal may take this much longer than the last one.
NOTICE_RATIO = 1.25
# Share by which the time of notice comes down to a shorter one that was observed.
NOTICE_DECAY = 0.1
# Slots of a new schedule are handed out after this time, in which calls end that an
# earlier owner has let through.
SETTLING_S = 0.3
# Calls that may wait for a slot, as a multiple of the slots.
MAX_WAITING_RATIO = 2


@dataclass(slots=True, frozen=True)
class SlotDemand:
    """A call that needs a slot.

    Parameters
    ----------
    lease : str
        Id of the slot's lease, unique among all hosts.
    host : str
        Host that has the call.
    memory_tokens : int
        KV memory that the call will occupy, in tokens.
    hold_s : float
        Longest time for which the call may need the slot, in seconds.
    max_wait_s : float
        Longest time for which the call may wait for it, in seconds.
    place : object
        Places of the host and of the engine, for `NoticeTimes`.
    """

    lease: str
    host: str
    memory_tokens: int
    hold_s: float
    max_wait_s: float
    place: object = None


@dataclass(slots=True, frozen=True)
class EngineRoom:
    """What an engine can hold.

    Parameters
    ----------
    slots : int
        Calls that the engine runs at once.
    memory_tokens : int
        Size of its KV memory, in tokens; 0 if unknown.
    tolerance : float
        Requests that it may turn away in a second.
    """

    slots: int
    memory_tokens: int
    tolerance: float


@dataclass(slots=True, frozen=True)
class WaitingDemand:
    """A call that waits for a slot.

    Parameters
    ----------
    demand : SlotDemand
        The call.
    deadline_s : float
        Monotonic time until which it may wait.
    """

    demand: SlotDemand
    deadline_s: float


@dataclass(slots=True, frozen=True)
class SlotLease:
    """A slot that a call has.

    Parameters
    ----------
    demand : SlotDemand
        The call.
    since_s : float
        Monotonic time of the lease.
    proven_s : float
        Monotonic time from which the call is taken to be running, since a refusal
        would be known.
    """

    demand: SlotDemand
    since_s: float
    proven_s: float


class NoticeTimes:
    """Times after which the owner of slots knows of refusals, by place.

    All schedules of an owner share them.

    Parameters
    ----------
    count_crossings : callable
        Takes a place; returns how many messages cross regions between a lease and the
        notice of a refusal.
    """

    __slots__ = ("_count_crossings", "_times_s")

    def __init__(self, count_crossings=lambda place: 0):
        self._count_crossings = count_crossings
        self._times_s = {}

    def estimate(self, place):
        """Return the time after which a refusal is known, in seconds."""
        known_s = self._times_s.get(place)
        if known_s is None:
            return MIN_NOTICE_S + REGION_WAY_S * self._count_crossings(place)
        return known_s

    def observe(self, place, held_s, was_refused):
        """Record for how long a call had its slot, in seconds.

        A refusal is known before the end of a call that runs.
        """
        known_s = self.estimate(place)
        notice_s = max(MIN_NOTICE_S, NOTICE_RATIO * held_s)
        if notice_s < known_s:
            notice_s = known_s + NOTICE_DECAY * (notice_s - known_s)
        elif not was_refused:
            return
        self._times_s[place] = min(MAX_NOTICE_S, notice_s)


class SlotSchedule:
    """Leases of one engine's slots, and the calls that wait for one.

    Parameters
    ----------
    now_s : float
        Monotonic time.
    notice_times : NoticeTimes or None
        Times after which refusals are known; None for new ones.
    """

    __slots__ = (
        "_leases",
        "_waiting",
        "_first_s",
        "_held_s",
        "_slots",
        "_least_slots",
        "_shrunk_s",
        "_refused_s",
        "_notice_times",
        "_grown_s",
        "_growth",
        "_growth_interval_s",
        "_is_on_trial",
    )

    def __init__(self, now_s, notice_times=None):
        self._leases = {}
        self._waiting = deque()
        self._first_s = now_s + SETTLING_S
        # Calls that the engine is assumed to run at once; None before the first demand.
        self._slots = None
        # Refusals of calls that had their slots before it last shrank leave it these.
        self._least_slots = 1
        self._shrunk_s = now_s
        self._refused_s = deque()
        self._notice_times = notice_times or NoticeTimes()
        self._grown_s = now_s
        self._growth = 1
        self._growth_interval_s = MIN_GROWTH_INTERVAL_S
        # Whether no refusal and no further growth has followed the last growth.
        self._is_on_trial = False
        # Mean time for which slots were held.
        self._held_s = 0.0

    @property
    def has_waiting(self):
        """Whether calls wait for a slot."""
        return bool(self._waiting)

    def request(self, demand, room, now_s):
        """Lease a slot, or let the call wait for one.

        Returns
        -------
        bool or None
            Whether a slot was leased; None if the call waits.
        """
        self.drop_expired(now_s)
        if self._slots is None:
            self._slots = room.slots
        if not self._waiting and self._has_room(demand, room, now_s):
            self._lease(demand, now_s)
            return True
        wait_s = self.estimate_wait_s(room, now_s)
        if demand.max_wait_s <= 0 or wait_s > demand.max_wait_s:
            return False
        if len(self._waiting) >= MAX_WAITING_RATIO * self._slots:
            return False
        self._waiting.append(WaitingDemand(demand, now_s + demand.max_wait_s))
        return None

    def release(self, lease, was_refused, now_s):
        """End a lease, or the wait for it."""
        ended = self._leases.pop(lease, None)
        if was_refused:
            self._record_refusal(ended, now_s)
        if ended is None:
            self._waiting = deque(
                item for item in self._waiting if item.demand.lease != lease
            )
            return
        held_s = now_s - ended.since_s
        self._notice_times.observe(ended.demand.place, held_s, was_refused)
        if not was_refused:
            self._held_s += 0.2 * (held_s - self._held_s) if self._held_s else held_s

    def grant_waiting(self, room, now_s):
        """Lease free slots to calls that wait; return the demands in their order."""
        self.drop_expired(now_s)
        granted = []
        while self._waiting and self._has_room(self._waiting[0].demand, room, now_s):
            demand = self._waiting.popleft().demand
            self._lease(demand, now_s)
            granted.append(demand)
        return granted

    def refuse_waiting(self, room, now_s):
        """End the waits that are too long by now; return the demands."""
        kept, refused = deque(), []
        first_s = now_s + self.measure_pause_s(room, now_s)
        for item in self._waiting:
            if first_s + self._estimate_queueing_s(len(kept)) > item.deadline_s:
                refused.append(item.demand)
            else:
                kept.append(item)
        self._waiting = kept
        return refused

    def settle(self, now_s):
        """Start again with the room that is known.

        Another host may have owned the slots while this one stood still.
        """
        self._first_s = now_s + SETTLING_S
        self._leases = {}

    def drop_host(self, host):
        """End all leases of a host that is gone."""
        self._leases = {
            name: lease
            for name, lease in self._leases.items()
            if lease.demand.host != host
        }

    def drop_expired(self, now_s):
        """End the leases whose calls must have ended."""
        self._leases = {
            name: lease
            for name, lease in self._leases.items()
            if now_s < lease.since_s + lease.demand.hold_s
        }

    def estimate_wait_s(self, room, now_s):
        """Return the time until a slot is free for one more call, in seconds."""
        pause_s = self.measure_pause_s(room, now_s)
        return pause_s + self._estimate_queueing_s(len(self._waiting))

    def _estimate_queueing_s(self, waiting):
        """Return the time until a slot is free for a call behind others, in seconds."""
        return self._held_s * (waiting + 1) / self._slots

    def measure_pause_s(self, room, now_s):
        """Return for how long no call may be sent, whatever slots are free.

        In this time calls prove to be running, or refusals are no longer counted.
        """
        pause_s = max(0.0, self._first_s - now_s)
        refused = self._count_refusals(now_s)
        most = self._count_refusable(room, refused)
        if most == math.inf:
            return pause_s
        if most <= 0:
            refused_s = self._refused_s[refused - int(room.tolerance)]
            return max(pause_s, refused_s + REFUSAL_WINDOW_S - now_s)
        unproven = self._list_unproven(now_s)
        if len(unproven) < most:
            return pause_s
        return max(pause_s, unproven[len(unproven) - most] - now_s)

    def _lease(self, demand, now_s):
        proven_s = now_s + self._notice_times.estimate(demand.place)
        self._leases[demand.lease] = SlotLease(demand, now_s, proven_s)

    def _has_room(self, demand, room, now_s):
        if now_s < self._first_s:
            return False
        if len(self._leases) >= self._count_slots(room, now_s):
            return False
        refused = self._count_refusals(now_s)
        if len(self._list_unproven(now_s)) >= self._count_refusable(room, refused):
            return False
        if not room.memory_tokens or not self._leases:
            return True
        used = sum(lease.demand.memory_tokens for lease in self._leases.values())
        return used + demand.memory_tokens <= room.memory_tokens

    def _count_refusable(self, room, refused):
        """Return how many calls may be under way that the engine may still refuse.

        Without a refusal it is at least one. An engine that tolerates none is not
        spared by fewer calls under way.
        """
        if room.tolerance < 1:
            return math.inf
        return int(room.tolerance) - refused

    def _list_unproven(self, now_s):
        """Return the times until which calls may be refused, in their order."""
        return sorted(
            lease.proven_s for lease in self._leases.values() if lease.proven_s > now_s
        )

    def _count_refusals(self, now_s):
        while self._refused_s and self._refused_s[0] <= now_s - REFUSAL_WINDOW_S:
            self._refused_s.popleft()
        return len(self._refused_s)

    def _count_slots(self, room, now_s):
        """Return how many slots may be leased at once."""
        most = room.slots + int(MAX_EXTRA_SHARE * room.tolerance)
        if now_s - self._grown_s < self._growth_interval_s:
            return self._slots
        # Only a schedule that is used up shows that more slots were tolerated.
        if len(self._leases) >= self._slots:
            if self._is_on_trial:
                self._growth *= 2
                self._growth_interval_s = max(
                    MIN_GROWTH_INTERVAL_S, self._growth_interval_s / 2
                )
            self._grown_s = now_s
            self._is_on_trial = self._slots < most
            self._slots = min(most, self._slots + self._growth)
        return self._slots

    def _record_refusal(self, ended, now_s):
        """Assume less room: at most the calls that were under way beside this one.

        The calls that had their slots at one time take at most half of them, since
        calls also end while refusals are reported.
        """
        self._refused_s.append(now_s)
        if ended is not None and ended.since_s >= self._shrunk_s:
            self._least_slots = max(1, self._slots // 2)
        left = min(self._slots - 1, len(self._leases))
        self._slots = max(self._least_slots, left)
        if self._is_on_trial:
            self._is_on_trial = False
            self._growth_interval_s = min(
                MAX_GROWTH_INTERVAL_S, 2 * self._growth_interval_s
            )
        self._shrunk_s = self._grown_s = now_s
        self._growth = 1
