"""Slots of brittle engines, which one host leases to the calls of all hosts.

A brittle engine crashes when it has to turn many requests away. A call to one needs a
slot. One host, picked by rendezvous hashing among the live hosts, owns the slots of an
engine; the others ask it. See `sapphirerock.decisions.slots`.
"""

import asyncio
import itertools

from loguru import logger

from sapphirerock.connection.messages import SlotRelease, SlotReply, SlotRequest
from sapphirerock.connection.timeouts import limit_wait
from sapphirerock.decisions.slots import EngineRoom, SlotDemand, SlotSchedule
from sapphirerock.process.engines.statements import VIEW
from sapphirerock.process.peers.owners import find_owner

# Twice a round trip between regions and a busy owner, added to the wait for a slot.
REPLY_TIMEOUT_S = 0.25
# Time after which a call asks again if the owner did not reply.
OWNER_RETRY_S = 0.5
# Interval at which waiting calls look for slots whose leases have expired.
WAIT_CHECK_INTERVAL_S = 0.1
MAX_SCHEDULES = 1_000


class SlotLease:
    """Slot of an engine that is leased to one attempt.

    Attributes
    ----------
    was_refused : bool
        Whether the engine turned the attempt away.
    """

    __slots__ = ("was_refused", "_table", "_state", "_name", "_owner")

    def __init__(self, table, state, name, owner):
        self.was_refused = False
        self._table = table
        self._state = state
        self._name = name
        self._owner = owner

    def release(self):
        """End the lease."""
        entry = self._state.entry
        self._table.send_release(
            self._owner,
            SlotRelease(entry.name, entry.born_ms, self._name, self.was_refused),
        )


class EngineSlotTable:
    """Leases of slots for this host's calls, and the slots that this host owns.

    Parameters
    ----------
    peers : PeerTable
        Streams to the owners of slots.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_peers", "_clock", "_schedules", "_waiting", "_numbers")

    def __init__(self, peers, clock):
        self._peers = peers
        self._clock = clock
        self._schedules = {}
        self._waiting = {}
        self._numbers = itertools.count(1)
        peers.register_handler(SlotRequest, self._handle_request)
        peers.register_handler(SlotRelease, self._handle_release)

    @property
    def _own_host(self):
        return self._peers.hosts.own_address.host

    async def take(self, state, room, memory_tokens, hold_s, max_wait_s):
        """Lease a slot of a brittle engine.

        Parameters
        ----------
        state : EngineState
            The engine.
        room : EngineRoom
            What it can hold.
        memory_tokens : int
            KV memory that the call will occupy, in tokens.
        hold_s, max_wait_s : float
            Longest times to hold the slot and to wait for it, in seconds.

        Returns
        -------
        SlotLease or float
            If there is no slot in time, the estimated time until there is one, in
            seconds.
        """
        entry = state.entry
        name = f"{self._own_host}/{self._peers.incarnation}/{next(self._numbers)}"
        request = SlotRequest(
            entry.name,
            entry.born_ms,
            [room.slots, room.memory_tokens, room.tolerance],
            name,
            memory_tokens,
            hold_s,
            max_wait_s,
        )
        owner = find_owner(self._peers, entry.name)
        try:
            reply = await self._ask(owner, request)
        except asyncio.CancelledError:
            SlotLease(self, state, name, owner).release()
            raise
        if reply is None:
            # The slot may have been leased.
            SlotLease(self, state, name, owner).release()
            reply = SlotReply(False, OWNER_RETRY_S)
            logger.bind(engine=entry.name, owner=owner).info("no owner of engine slots")
        if reply.is_granted:
            return SlotLease(self, state, name, owner)
        state.next_slot_s = self._clock.monotonic() + reply.wait_s
        return reply.wait_s

    async def _ask(self, owner, request):
        """Return the owner's reply, or None if it did not come in time."""
        if owner == self._own_host:
            return await self._reply(self._own_host, request)
        if owner is None or not self._peers.may_read(owner, VIEW):
            return None
        timeout_s = request.max_wait_s + REPLY_TIMEOUT_S
        try:
            async with limit_wait(timeout_s):
                reply = await self._peers.ask(owner, request, timeout_s)
        except TimeoutError:
            return None
        return reply.ok if reply.is_ok() else None

    def send_release(self, owner, message):
        """Tell the owner of a slot that its lease has ended."""
        if owner == self._own_host:
            self._release(message)
            return
        stream = self._peers.streams.get(owner)
        if stream is not None:
            self._peers.count_bytes(stream, "engine-slot", stream.send(message))

    def _handle_request(self, stream, message):
        return self._reply(stream.host, message)

    async def _reply(self, host, message):
        """Lease a slot of an engine that this host owns, or refuse it."""
        schedule = self._find_schedule(message)
        room = EngineRoom(*message.room)
        demand = SlotDemand(
            message.lease,
            host,
            message.memory_tokens,
            message.hold_s,
            message.max_wait_s,
        )
        self._drop_dead_hosts(schedule)
        is_granted = schedule.request(demand, room, self._clock.monotonic())
        if is_granted is None:
            is_granted = await self._wait_for_slot(schedule, room, demand)
        if is_granted:
            return SlotReply(True, 0.0)
        return SlotReply(False, schedule.estimate_wait_s(room))

    async def _wait_for_slot(self, schedule, room, demand):
        """Wait until a slot is leased to a call or its time is over."""
        granted = asyncio.get_running_loop().create_future()
        self._waiting[demand.lease] = granted
        deadline_s = self._clock.monotonic() + demand.max_wait_s
        try:
            while not granted.done():
                remaining_s = deadline_s - self._clock.monotonic()
                if remaining_s <= 0:
                    schedule.release(demand.lease, False, self._clock.monotonic())
                    return False
                await asyncio.wait(
                    {granted}, timeout=min(WAIT_CHECK_INTERVAL_S, remaining_s)
                )
                self._grant_waiting(schedule, room)
            return granted.result()
        finally:
            del self._waiting[demand.lease]

    def _grant_waiting(self, schedule, room):
        for demand in schedule.grant_waiting(room, self._clock.monotonic()):
            granted = self._waiting.get(demand.lease)
            if granted is not None and not granted.done():
                granted.set_result(True)

    def _handle_release(self, stream, message):
        self._release(message)

    def _release(self, message):
        known = self._schedules.get((message.engine, message.born_ms))
        if known is None:
            return
        schedule, room = known
        if message.was_refused:
            logger.bind(engine=message.engine, lease=message.lease).info(
                "call with slot turned away by brittle engine"
            )
        schedule.release(message.lease, message.was_refused, self._clock.monotonic())
        granted = self._waiting.get(message.lease)
        if granted is not None and not granted.done():
            granted.set_result(False)
        self._grant_waiting(schedule, room)

    def _find_schedule(self, message):
        """Return this host's schedule of a run of an engine; make it on first use."""
        key = (message.engine, message.born_ms)
        schedule, _ = self._schedules.get(key, (None, None))
        if schedule is None:
            if len(self._schedules) >= MAX_SCHEDULES:
                self._schedules.pop(next(iter(self._schedules)))
            schedule = SlotSchedule(self._clock.monotonic())
        self._schedules[key] = (schedule, EngineRoom(*message.room))
        return schedule

    def _drop_dead_hosts(self, schedule):
        for host in self._peers.hosts.list_dead():
            schedule.drop_host(host)
