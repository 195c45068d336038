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
from sapphirerock.decisions.slots import (
    EngineRoom,
    NoticeTimes,
    SlotDemand,
    SlotSchedule,
)
from sapphirerock.process.engines.statements import VIEW
from sapphirerock.process.peers.owners import find_owner
from sapphirerock.process.peers.table import SILENCE_TIMEOUT_S

# Twice a round trip between regions and a busy owner, added to the wait for a slot.
REPLY_TIMEOUT_S = 0.25
# An owner that did not reply is asked by one call in this time.
OWNER_RETRY_S = 0.5
# Interval at which slots whose leases have expired go to waiting calls.
WAIT_CHECK_INTERVAL_S = 0.1
# Interval at which this host looks whether it stood still.
AWAKE_INTERVAL_S = 0.5
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
    engines : EngineTable
        Registered engines.
    peers : PeerTable
        Streams to the owners of slots.
    crash_watch : CrashWatch
        Is told of calls that brittle engines turned away.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_engines",
        "_peers",
        "_crash_watch",
        "_clock",
        "_notice_times",
        "_regions",
        "_awake_s",
        "_schedules",
        "_checked_schedules",
        "_silent_until_s",
        "_waiting",
        "_numbers",
    )

    def __init__(self, engines, peers, crash_watch, clock):
        self._engines = engines
        self._peers = peers
        self._crash_watch = crash_watch
        self._clock = clock
        self._notice_times = NoticeTimes(self._count_crossings)
        # By availability zone, as far as looked up.
        self._regions = {}
        # Monotonic time of the last check; None before the first schedule.
        self._awake_s = None
        self._schedules = {}
        # Keys of schedules that are checked after a time.
        self._checked_schedules = set()
        # Monotonic times until which owners that did not reply are not asked.
        self._silent_until_s = {}
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
        now_s = self._clock.monotonic()
        silent_s = self._silent_until_s.get(owner, now_s) - now_s
        if silent_s > 0:
            state.next_slot_s = now_s + silent_s
            return silent_s
        if owner in self._silent_until_s:
            self._silent_until_s[owner] = now_s + OWNER_RETRY_S
        try:
            reply = await self._ask(owner, request)
        except asyncio.CancelledError:
            SlotLease(self, state, name, owner).release()
            raise
        if reply is None:
            # The slot may have been leased.
            SlotLease(self, state, name, owner).release()
            reply = SlotReply(False, OWNER_RETRY_S)
            self._silent_until_s[owner] = self._clock.monotonic() + OWNER_RETRY_S
            logger.bind(engine=entry.name, owner=owner).info("no owner of engine slots")
        else:
            self._silent_until_s.pop(owner, None)
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
        if message.was_refused:
            self._crash_watch.record_refusal(message.engine, message.born_ms)
        if owner == self._own_host:
            self._release(message)
            return
        stream = self._peers.streams.get(owner)
        if stream is not None:
            self._peers.count_bytes(stream, "engine-slot", stream.send(message))

    def _handle_request(self, stream, message):
        return self._reply(stream.host, message)

    def _find_place(self, host, engine):
        """Return the availability zones of a host and of an engine."""
        own_address, state = self._peers.hosts.own_address, self._engines.get(engine)
        address = own_address if host == own_address.host else None
        address = address or self._peers.hosts.find(host)
        return (
            address.availability_zone if address else None,
            state.entry.availability_zone if state else None,
        )

    def _count_crossings(self, place):
        """Return how many messages of a refused call cross regions.

        They are the owner's reply, the call, the refusal and the release.
        """
        host_region, engine_region = (self._find_region(zone) for zone in place)
        own_region = self._peers.hosts.own_address.region
        return 2 * (host_region != own_region) + 2 * (engine_region != host_region)

    def _find_region(self, zone):
        """Return the region of an availability zone; None if no host is in it."""
        if zone not in self._regions:
            hosts = self._peers.hosts
            addresses = [hosts.own_address, *hosts.list_known()]
            regions = {item.availability_zone: item.region for item in addresses}
            if zone not in regions:
                return None
            self._regions[zone] = regions[zone]
        return self._regions[zone]

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
            self._find_place(host, message.engine),
        )
        self._drop_dead_hosts(schedule)
        is_granted = schedule.request(demand, room, self._clock.monotonic())
        if is_granted is None:
            self._check_later((message.engine, message.born_ms))
            is_granted = await self._wait_for_slot(schedule, demand)
        if is_granted:
            return SlotReply(True, 0.0)
        wait_s = schedule.estimate_wait_s(room, self._clock.monotonic())
        return SlotReply(False, wait_s)

    async def _wait_for_slot(self, schedule, demand):
        """Wait until a slot is leased to a call, or it is refused or out of time."""
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[demand.lease] = waiting
        try:
            async with asyncio.timeout(demand.max_wait_s):
                return await waiting
        except TimeoutError:
            schedule.release(demand.lease, False, self._clock.monotonic())
            return False
        finally:
            del self._waiting[demand.lease]

    def _check_later(self, key):
        """Check a schedule with waiting calls when a call may be sent again."""
        schedule, room = self._schedules[key]
        if key in self._checked_schedules or not schedule.has_waiting:
            return
        self._checked_schedules.add(key)
        pause_s = schedule.measure_pause_s(room, self._clock.monotonic())
        delay_s = min(pause_s or WAIT_CHECK_INTERVAL_S, WAIT_CHECK_INTERVAL_S)
        asyncio.get_running_loop().call_later(delay_s, self._check, key)

    def _check(self, key):
        self._checked_schedules.discard(key)
        if key in self._schedules:
            self._serve_waiting(*self._schedules[key])
            self._check_later(key)

    def _serve_waiting(self, schedule, room):
        """Lease free slots to waiting calls, and refuse those that wait too long."""
        now_s = self._clock.monotonic()
        for demand in schedule.grant_waiting(room, now_s):
            self._end_wait(demand.lease, True)
        for demand in schedule.refuse_waiting(room, now_s):
            self._end_wait(demand.lease, False)

    def _end_wait(self, lease, is_granted):
        waiting = self._waiting.get(lease)
        if waiting is not None and not waiting.done():
            waiting.set_result(is_granted)

    def _handle_release(self, stream, message):
        if message.was_refused:
            self._crash_watch.record_refusal(message.engine, message.born_ms)
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
        self._end_wait(message.lease, False)
        self._serve_waiting(schedule, room)
        self._check_later((message.engine, message.born_ms))

    def _find_schedule(self, message):
        """Return this host's schedule of a run of an engine; make it on first use."""
        key = (message.engine, message.born_ms)
        schedule, _ = self._schedules.get(key, (None, None))
        if schedule is None:
            if len(self._schedules) >= MAX_SCHEDULES:
                self._schedules.pop(next(iter(self._schedules)))
            schedule = SlotSchedule(self._clock.monotonic(), self._notice_times)
            if self._awake_s is None:
                self._check_awake()
        self._schedules[key] = (schedule, EngineRoom(*message.room))
        return schedule

    def _check_awake(self):
        """Settle the schedules if this host stood still for so long that it lost them.

        Its peers take a silent host for dead, and ask another one for slots.
        """
        now_s = self._clock.monotonic()
        if self._awake_s is not None and now_s - self._awake_s > SILENCE_TIMEOUT_S:
            logger.bind(schedules=len(self._schedules)).warning(
                "engine slots settled after this host stood still"
            )
            for schedule, _ in self._schedules.values():
                schedule.settle(now_s)
        self._awake_s = now_s
        asyncio.get_running_loop().call_later(AWAKE_INTERVAL_S, self._check_awake)

    def _drop_dead_hosts(self, schedule):
        for host in self._peers.hosts.list_dead():
            schedule.drop_host(host)
