"""Limits that engines state on the requests of all hosts together.

Hosts tell each other of limits that start, change or end. A call to a limited engine
needs a turn. One host, picked by rendezvous hashing among the live hosts, owns the
turns of an engine; the others ask it. While hosts are cut off from each other, the
owner on each side hands out a share of the limit.
"""

from loguru import logger

from sapphirerock.connection.messages import EngineLimits, TurnReply, TurnRequest
from sapphirerock.connection.timeouts import limit_wait
from sapphirerock.decisions.turns import Turn, TurnSchedule
from sapphirerock.process.peers.gossip import EngineLimitUpdate
from sapphirerock.process.peers.hosts import DEAD_HOST_COOLDOWN_S
from sapphirerock.process.peers.owners import find_owner

# Twice a round trip between regions and a busy owner.
TURN_TIMEOUT_S = 0.25
# While a request to an owner is unanswered for longer than this, further calls are
# refused without asking.
PENDING_TURN_S = 0.12
# Time until an owner that did not reply is asked again.
OWNER_RETRY_S = 1.0
# An owner may name a better one, and one that can't be reached has a successor.
MAX_OWNERS_ASKED = 3
# For this time after this host saw a limit, other hosts can't lift it: their answer may
# be older.
LIFT_GUARD_S = 1.0
# Other hosts may take this host for dead, and the next in rank for the owner, for this
# time after it has started. Until then it asks that host.
TAKEOVER_DELAY_S = DEAD_HOST_COOLDOWN_S
MAX_SCHEDULES = 1_000
VIEW = "engine-limits"
# Smaller changes of a limit are ignored, so that they cause no messages.
MIN_CHANGE_SHARE = 0.05


class EngineLimitTable:
    """Limits of engines, and the turns that this host owns.

    Parameters
    ----------
    engines : EngineTable
        Registered engines, whose states hold their limits.
    peers : PeerTable
        Streams to the owners of turns.
    gossip : Gossip
        Announces limits to all hosts.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_engines",
        "_peers",
        "_gossip",
        "_clock",
        "_started_s",
        "_schedules",
        "_engines_with_invalid_limit",
    )

    def __init__(self, engines, peers, gossip, clock):
        self._engines = engines
        self._peers = peers
        self._gossip = gossip
        self._clock = clock
        self._started_s = clock.monotonic()
        self._schedules = {}
        self._engines_with_invalid_limit = set()
        gossip.subscribe(EngineLimitUpdate, self.apply_update)
        peers.register_handler(EngineLimits, self._handle_limits)
        peers.register_handler(TurnRequest, self._handle_turn_request)
        peers.announce_support(VIEW, self._send_limits)

    def record_response(self, state, head, sent_s):
        """Record what the response to a request that was sent at ``sent_s`` states."""
        if head.is_other_engine:
            return
        if head.invalid_limit is not None:
            self._log_invalid_limit(state, head.invalid_limit)
        now_s = self._clock.monotonic()
        limit_per_s = head.limit_per_s
        if limit_per_s is not None:
            state.limit_stated_s = now_s
        if sent_s <= state.limit_changed_s:
            # Responses overtake each other: this one may be older than the last change.
            if limit_per_s is None or state.limit_per_s is None:
                return
            limit_per_s = min(limit_per_s, state.limit_per_s)
        state.answered_s = now_s
        if is_same_limit(limit_per_s, state.limit_per_s):
            return
        self._set_limit(state, limit_per_s, "response")
        self._gossip.broadcast(
            EngineLimitUpdate(state.name, state.entry.born_ms, limit_per_s or 0.0)
        )

    def _log_invalid_limit(self, state, text):
        """Log the first invalid limit of an engine."""
        if state.name in self._engines_with_invalid_limit:
            return
        if len(self._engines_with_invalid_limit) < MAX_SCHEDULES:
            self._engines_with_invalid_limit.add(state.name)
        logger.bind(engine=state.name, limit=text[:100]).warning(
            "invalid engine request limit ignored"
        )

    def _set_limit(self, state, limit_per_s, source):
        logger.bind(
            engine=state.name,
            limit_per_s=limit_per_s,
            before_per_s=state.limit_per_s,
            source=source,
        ).info("engine request limit changed")
        state.limit_per_s = limit_per_s
        state.limit_changed_s = self._clock.monotonic()
        state.next_turn_s = 0.0

    def apply_update(self, update):
        """Apply a limit that another host has observed."""
        self._apply(update.engine, update.born_ms, update.limit_per_s, "gossip")

    def _apply(self, engine, born_ms, limit_per_s, source):
        state = self._engines.get(engine)
        if state is None or state.entry.born_ms != born_ms:
            return
        limit_per_s = limit_per_s or None
        if is_same_limit(limit_per_s, state.limit_per_s):
            return
        age_s = self._clock.monotonic() - state.limit_stated_s
        if limit_per_s is None and age_s < LIFT_GUARD_S:
            return
        self._set_limit(state, limit_per_s, source)

    def _send_limits(self, stream):
        """Send the known limits to a host that has just connected."""
        limits = [
            [state.name, state.entry.born_ms, state.limit_per_s]
            for state in self._engines.list_all()
            if state.limit_per_s is not None
        ]
        if limits:
            size = stream.send(EngineLimits(limits))
            self._peers.count_bytes(stream, "engine-limit", size)

    def _handle_limits(self, stream, message):
        for engine, born_ms, limit_per_s in message.limits:
            self._apply(engine, born_ms, limit_per_s, stream.host)

    async def take_turn(self, state, max_wait_s, timeout_s=TURN_TIMEOUT_S):
        """Reserve a turn at a limited engine, if there is one soon enough.

        Parameters
        ----------
        state : EngineState
            The engine.
        max_wait_s : float
            Longest time until the turn, in seconds.
        timeout_s : float
            Time that the owner has to reply, in seconds.

        Returns
        -------
        Turn
        """
        now_s = self._clock.monotonic()
        known_wait_s = state.next_turn_s - now_s
        if known_wait_s > max_wait_s:
            return Turn(False, known_wait_s, known_wait_s)
        if state.turn_asked_s is not None:
            if now_s - state.turn_asked_s > PENDING_TURN_S:
                return Turn(False, OWNER_RETRY_S, OWNER_RETRY_S)
        else:
            state.turn_asked_s = now_s
        try:
            turn = await self._ask_owner(state, max_wait_s, timeout_s)
        finally:
            state.turn_asked_s = None
        state.next_turn_s = self._clock.monotonic() + turn.next_wait_s
        return turn

    async def _ask_owner(self, state, max_wait_s, timeout_s):
        request = TurnRequest(
            state.name, state.entry.born_ms, state.limit_per_s, max_wait_s
        )
        owner = self._find_owner(state.name)
        for _ in range(MAX_OWNERS_ASKED):
            if owner == self._own_host:
                return await self._reserve_or_pass_on(request)
            reply = await self._ask(owner, request, timeout_s)
            if reply is not None and not reply.owner:
                return Turn(reply.is_granted, reply.wait_s, reply.next_wait_s)
            previous = owner
            owner = reply.owner if reply else self._find_owner(state.name)
            if owner == previous:
                break
        logger.bind(engine=state.name, owner=owner).info("no owner of engine turns")
        return Turn(False, OWNER_RETRY_S, OWNER_RETRY_S, has_owner=False)

    async def _ask(self, owner, request, timeout_s=TURN_TIMEOUT_S):
        """Return a host's reply, or None if it did not come in time.

        A host of an earlier version, which closes the stream on such a request, is not
        asked.
        """
        if not self._peers.may_read(owner, VIEW):
            return None
        try:
            async with limit_wait(timeout_s):
                reply = await self._peers.ask(owner, request, timeout_s)
        except TimeoutError:
            return None
        return reply.ok if reply.is_ok() else None

    @property
    def _own_host(self):
        return self._peers.hosts.own_address.host

    def _find_owner(self, engine, without=None):
        """Return the live host that owns an engine's turns; None if there is none.

        Parameters
        ----------
        without : str or None
            Host that is left out.
        """
        return find_owner(self._peers, engine, without)

    def _handle_turn_request(self, stream, message):
        """Return the reply to a peer's request for a turn, or a coroutine of it.

        A peer that is the owner itself asks the next host in rank while it has just
        started or is shutting down.
        """
        owner = self._find_owner(message.engine)
        is_passed_on = owner == stream.host
        if is_passed_on:
            owner = self._find_owner(message.engine, without=stream.host)
        if owner not in (None, self._own_host):
            return TurnReply(False, 0.0, 0.0, owner)
        if is_passed_on:
            return make_turn_reply(self._reserve(message))
        return self._reply_as_owner(message)

    async def _reply_as_owner(self, message):
        return make_turn_reply(await self._reserve_or_pass_on(message))

    async def _reserve_or_pass_on(self, request):
        """Reserve a turn here, or at the next host in rank if this one is too new."""
        if self._measure_takeover_delay_s() > 0:
            turn = await self._pass_on(request)
            if turn is not None:
                return turn
        return self._reserve(request)

    async def _pass_on(self, request):
        """Ask the host that owned the turns before this one started.

        Returns
        -------
        Turn or None
            None if no host has replied.
        """
        owner = self._find_owner(request.engine, without=self._own_host)
        reply = await self._ask(owner, request) if owner else None
        if reply is not None and reply.owner not in ("", self._own_host):
            reply = await self._ask(reply.owner, request)
        if reply is None or reply.owner:
            return None
        now_s = self._clock.monotonic()
        schedule = self._find_schedule(request.engine, request.limit_per_s)
        schedule.postpone(now_s + reply.next_wait_s)
        return Turn(reply.is_granted, reply.wait_s, reply.next_wait_s)

    def _measure_takeover_delay_s(self):
        """Return the time until this host may grant turns, in seconds."""
        return self._started_s + TAKEOVER_DELAY_S - self._clock.monotonic()

    def _reserve(self, request):
        """Reserve a turn on this host's schedule of an engine."""
        delay_s = self._measure_takeover_delay_s()
        if delay_s > 0:
            return Turn(False, delay_s, delay_s)
        limit_per_s = request.limit_per_s
        state = self._engines.get(request.engine)
        if state is not None and state.limit_per_s is not None:
            limit_per_s = min(limit_per_s, state.limit_per_s)
        hosts = self._peers.hosts
        rate_per_s = limit_per_s * (
            hosts.count_reachable() / hosts.count_possibly_running()
        )
        schedule = self._find_schedule(request.engine, rate_per_s)
        return schedule.reserve(rate_per_s, request.max_wait_s, self._clock.monotonic())

    def _find_schedule(self, engine, rate_per_s):
        """Return this host's schedule of an engine; make it on first use."""
        schedule = self._schedules.get(engine)
        if schedule is None:
            if len(self._schedules) >= MAX_SCHEDULES:
                self._schedules.pop(next(iter(self._schedules)))
            schedule = TurnSchedule(rate_per_s, self._clock.monotonic())
            self._schedules[engine] = schedule
        return schedule


def make_turn_reply(turn):
    """Return the reply that carries a turn."""
    return TurnReply(turn.is_granted, turn.wait_s, turn.next_wait_s, "")


def is_same_limit(new_per_s, known_per_s):
    """Return whether two limits are the same or nearly so; None is no limit."""
    if new_per_s is None or known_per_s is None:
        return new_per_s == known_per_s
    return abs(new_per_s - known_per_s) < MIN_CHANGE_SHARE * known_per_s
