"""Slots at engines that crash when they have to turn many requests away.

Handles more calls than an engine runs at once, arriving at many hosts together, and the
calls of an engine that has crashed, which come to the other engines. One schedule for
each engine, on the host that owns it, hands out the engine's slots; a call without one
is not sent.
"""

from collections import deque
from dataclasses import dataclass

# Share of the tolerated refusals by which the slots handed out may exceed those of the
# engine: a slot is also taken while messages and requests are on their way.
MAX_EXTRA_SHARE = 0.5
# Time without a refusal after which one more slot is handed out. It doubles with each
# refusal up to the maximum.
MIN_GROWTH_INTERVAL_S = 1.0
MAX_GROWTH_INTERVAL_S = 30.0
# After a refusal although no extra slots were handed out, one is kept back for this
# time. Refusals are counted over a second.
CAUTION_S = 2.0
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
    """

    lease: str
    host: str
    memory_tokens: int
    hold_s: float
    max_wait_s: float


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


class SlotSchedule:
    """Leases of one engine's slots, and the calls that wait for one.

    Parameters
    ----------
    now_s : float
        Monotonic time.
    """

    __slots__ = (
        "_leases",
        "_waiting",
        "_first_s",
        "_held_s",
        "_extra",
        "_grown_s",
        "_growth_interval_s",
        "_cautious_until_s",
    )

    def __init__(self, now_s):
        self._leases = {}
        self._waiting = deque()
        self._first_s = now_s + SETTLING_S
        self._extra = 0
        self._grown_s = now_s
        self._growth_interval_s = MIN_GROWTH_INTERVAL_S
        self._cautious_until_s = now_s
        # Mean time for which slots were held.
        self._held_s = 0.0

    def request(self, demand, room, now_s):
        """Lease a slot, or let the call wait for one.

        Returns
        -------
        bool or None
            Whether a slot was leased; None if the call waits.
        """
        self.drop_expired(now_s)
        if not self._waiting and self._has_room(demand, room, now_s):
            self._lease(demand, now_s)
            return True
        if demand.max_wait_s <= 0 or self.estimate_wait_s(room) > demand.max_wait_s:
            return False
        if len(self._waiting) >= MAX_WAITING_RATIO * room.slots:
            return False
        self._waiting.append(demand)
        return None

    def release(self, lease, was_refused, now_s):
        """End a lease, or the wait for it."""
        if was_refused:
            self._record_refusal(now_s)
        ended = self._leases.pop(lease, None)
        if ended is None:
            self._waiting = deque(item for item in self._waiting if item.lease != lease)
        elif not was_refused:
            held_s = now_s - ended[0]
            self._held_s += 0.2 * (held_s - self._held_s) if self._held_s else held_s

    def grant_waiting(self, room, now_s):
        """Lease free slots to calls that wait; return the demands in their order."""
        self.drop_expired(now_s)
        granted = []
        while self._waiting and self._has_room(self._waiting[0], room, now_s):
            demand = self._waiting.popleft()
            self._lease(demand, now_s)
            granted.append(demand)
        return granted

    def drop_host(self, host):
        """End all leases of a host that is gone."""
        self._leases = {
            lease: held for lease, held in self._leases.items() if held[1].host != host
        }

    def drop_expired(self, now_s):
        """End the leases whose calls must have ended."""
        self._leases = {
            lease: (since_s, demand)
            for lease, (since_s, demand) in self._leases.items()
            if now_s < since_s + demand.hold_s
        }

    def estimate_wait_s(self, room):
        """Return the time until a slot is free for one more call, in seconds."""
        return self._held_s * (len(self._waiting) + 1) / max(1, room.slots)

    def _lease(self, demand, now_s):
        self._leases[demand.lease] = (now_s, demand)

    def _has_room(self, demand, room, now_s):
        if now_s < self._first_s:
            return False
        if len(self._leases) >= self._count_slots(room, now_s):
            return False
        if not room.memory_tokens or not self._leases:
            return True
        used = sum(held.memory_tokens for _, held in self._leases.values())
        return used + demand.memory_tokens <= room.memory_tokens

    def _count_slots(self, room, now_s):
        """Return how many slots may be leased at once."""
        if now_s < self._cautious_until_s:
            return max(1, room.slots - 1)
        most_extra = int(MAX_EXTRA_SHARE * room.tolerance)
        if now_s - self._grown_s >= self._growth_interval_s:
            self._grown_s = now_s
            # Only a schedule that is used up shows that one more slot was tolerated.
            if len(self._leases) >= room.slots + self._extra:
                self._extra += 1
        return room.slots + min(self._extra, most_extra)

    def _record_refusal(self, now_s):
        if not self._extra:
            self._cautious_until_s = now_s + CAUTION_S
        self._extra = 0
        self._grown_s = now_s
        self._growth_interval_s = min(
            MAX_GROWTH_INTERVAL_S, 2 * self._growth_interval_s
        )
