"""Finds out whether an engine whose connections broke has crashed, and by what."""

import asyncio
import hashlib
from collections import deque

from loguru import logger

from sapphirerock.connection.errors import UpstreamUnreachable
from sapphirerock.connection.upstream import probe
from sapphirerock.decisions.conviction import (
    CONVICTING_CRASHES,
    SETTLE_S,
    TOGETHER_S,
    Crash,
    choose_isolated,
    is_evidence,
)
from sapphirerock.decisions.quarantine import make_fingerprint
from sapphirerock.process.peers.gossip import CrashUpdate, EngineDownUpdate
from sapphirerock.process.tasks import BackgroundTasks

# Two ways between regions and back, with room for a busy engine.
PROBE_BOUND_S = 0.3
CRASHES_REMEMBERED = 256
REPLACED = "replaced"


class Inquiry:
    """Looks into why the connections to one engine broke.

    Attributes
    ----------
    suspects : set of bytes
        Fingerprints of the calls whose connections these were.
    task : asyncio.Task or None
        Ends when it is known.
    """

    __slots__ = ("suspects", "task")

    def __init__(self):
        self.suspects = set()
        self.task = None


class CrashWatch:
    """Evidence of crashes from this host's calls and from peers.

    Parameters
    ----------
    engines : EngineTable
        Registered engines.
    quarantine : Quarantine
        Evidence against requests.
    gossip : Gossip
        Carries crashes to and from peers.
    session : aiohttp.ClientSession
        Connections to engines.
    dialect : EngineDialect
        How engines are spoken to.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_engines",
        "_quarantine",
        "_gossip",
        "_session",
        "_dialect",
        "_clock",
        "_crashes",
        "_inquiries",
        "_tasks",
    )

    def __init__(self, engines, quarantine, gossip, session, dialect, clock):
        self._engines = engines
        self._quarantine = quarantine
        self._gossip = gossip
        self._session = session
        self._dialect = dialect
        self._clock = clock
        self._crashes = deque(maxlen=CRASHES_REMEMBERED)
        self._inquiries = {}
        self._tasks = BackgroundTasks()
        gossip.subscribe(CrashUpdate, quarantine.apply_update)
        gossip.subscribe(EngineDownUpdate, self._take_down)

    def is_convicted(self, call):
        """Return whether a call crashes the engines that run it."""
        if not len(self._quarantine):
            return False
        crashes = self._quarantine.count_crashes(fingerprint_call(call))
        return crashes >= CONVICTING_CRASHES

    def investigate(self, state, call):
        """Find out why the connection of a call to its engine broke."""
        found = self._inquiries.get(state)
        if found is None:
            found = self._inquiries[state] = Inquiry()
            found.task = self._tasks.spawn(self._investigate(state, found.suspects))
        found.suspects.add(fingerprint_call(call))

    async def wait_examined(self, call):
        """Wait until all losses of a call have been looked into."""
        fingerprint = fingerprint_call(call)
        pending = [
            found.task
            for found in self._inquiries.values()
            if fingerprint in found.suspects
        ]
        if pending:
            await asyncio.wait(pending)
        if self._quarantine.needs_exclusion(fingerprint):
            await self._clock.sleep(SETTLE_S)

    def choose_isolated(self, call, views):
        """Return an engine apart from other suspects for a call that is one.

        Returns
        -------
        EngineView or None
            None where the call is no suspect, or there is no engine.
        """
        fingerprint = fingerprint_call(call)
        if not self._quarantine.needs_exclusion(fingerprint):
            return None
        suspects = self._quarantine.list_suspects()
        view = choose_isolated(views, fingerprint, suspects)
        logger.bind(
            request=call.terms.attempt_id,
            suspects=len(suspects),
            engine=view.name if view else None,
        ).info("isolated")
        return view

    async def _investigate(self, state, suspects):
        try:
            if await self._has_crashed(state):
                crash = self.condemn(state, "crashed", suspects)
                await self._collect_evidence(state, crash)
        finally:
            del self._inquiries[state]

    async def _has_crashed(self, state):
        """Return whether an engine is not the one any more that it was."""
        entry = state.entry
        answer = await probe(
            self._session,
            entry.name,
            entry.address,
            self._dialect.report_target,
            PROBE_BOUND_S,
        )
        if answer.is_error():
            failure = answer.error
            return isinstance(failure, UpstreamUnreachable) and failure.refused
        born_ms = self._dialect.read_start(answer.ok)
        return bool(entry.born_ms and born_ms and born_ms != entry.born_ms)

    def condemn(self, state, cause, suspects=()):
        """Take an engine out, end this host's attempts there and tell peers.

        Returns
        -------
        Crash
        """
        self._end_attempts(state, cause)
        entry = state.entry
        now_s = self._clock.monotonic()
        crash = Crash(entry.name, entry.availability_zone, now_s, suspects)
        self._crashes.append(crash)
        self._gossip.spread(
            EngineDownUpdate(entry.name, entry.born_ms, entry.availability_zone, cause)
        )
        return crash

    def report_replaced(self, state):
        """Take out an engine whose address another one has, and tell peers."""
        if not state.is_gone:
            entry = state.entry
            self._engines.mark_replaced(state)
            self._gossip.spread(
                EngineDownUpdate(
                    entry.name, entry.born_ms, entry.availability_zone, REPLACED
                )
            )

    def _end_attempts(self, state, cause):
        self._engines.mark_down(state, cause)
        for attempt in list(state.attempts):
            attempt.interrupt(cause)

    async def _collect_evidence(self, state, crash):
        """Wait until crashes of the same moment are known, then tell peers."""
        await self._clock.sleep(TOGETHER_S)
        start = str(state.entry.born_ms)
        against = [
            fingerprint
            for fingerprint in crash.suspects
            if is_evidence(crash, fingerprint, self._crashes)
        ]
        logger.bind(
            engine=state.name, suspects=len(crash.suspects), against=len(against)
        ).info("crash examined")
        for fingerprint in against:
            self._gossip.spread(CrashUpdate(fingerprint, state.name, start, False))

    def _take_down(self, update):
        """Take over that a peer found an engine down, unless it speaks to us."""
        now_s = self._clock.monotonic()
        state = self._engines.get(update.engine)
        if update.cause == REPLACED:
            if state is not None and state.entry.born_ms == update.born_ms:
                self._engines.mark_replaced(state)
            return
        self._crashes.append(Crash(update.engine, update.availability_zone, now_s))
        if state is None or state.entry.born_ms != update.born_ms:
            return
        if not self._engines.is_usable(state):
            return
        if update.cause != "crashed" and now_s - state.heard_at_s < TOGETHER_S:
            logger.bind(engine=state.name, cause=update.cause).info("peer contradicted")
            return
        self._end_attempts(state, update.cause)


def fingerprint_call(call):
    """Return the digest of a call's path, organisation and body."""
    digest = hashlib.blake2b(call.target.encode("utf-8", "surrogateescape"))
    digest.update(b"\0" + call.body)
    return make_fingerprint(call.organisation or "", digest.digest())
