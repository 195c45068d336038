"""Investigates whether an engine crashed, and which requests may have caused it."""

import asyncio
import hashlib
from collections import deque

from loguru import logger

from sapphirerock.connection.errors import UpstreamUnreachable
from sapphirerock.connection.upstream import probe
from sapphirerock.decisions.poisonrequests import (
    BLOCKING_CRASHES,
    CORRELATED_CRASH_S,
    CRASH_GOSSIP_DELAY_S,
    Crash,
    can_be_caused_by,
    choose_isolated_engine,
    is_simultaneous,
)
from sapphirerock.decisions.quarantine import make_fingerprint
from sapphirerock.process.peers.gossip import CrashUpdate, EngineDownUpdate
from sapphirerock.process.tasks import BackgroundTasks

# Two round trips between regions, with room for a busy engine.
PROBE_TIMEOUT_S = 0.3
MAX_RECENT_CRASHES = 256
REPLACED = "replaced"


class CrashInvestigation:
    """Investigation of why the connections to one engine broke.

    Attributes
    ----------
    suspects : set of bytes
        Fingerprints of the calls whose connections broke.
    task : asyncio.Task or None
        Runs the investigation.
    """

    __slots__ = ("suspects", "task")

    def __init__(self):
        self.suspects = set()
        self.task = None


class CrashWatch:
    """Collects evidence of engine crashes from this host's calls and from peers.

    Parameters
    ----------
    engines : EngineTable
        Registered engines.
    quarantine : Quarantine
        Evidence against requests.
    gossip : Gossip
        Exchanges crash updates with peers.
    session : aiohttp.ClientSession
        Connections to engines.
    dialect : EngineDialect
        Protocol of the engines.
    clock : Clock
        Source of time.
    metrics : EdgeMetrics
        Counts evidence and sends of suspect requests.
    """

    __slots__ = (
        "_engines",
        "_quarantine",
        "_gossip",
        "_session",
        "_dialect",
        "_clock",
        "_metrics",
        "_recent_crashes",
        "_investigations",
        "_tasks",
    )

    def __init__(self, engines, quarantine, gossip, session, dialect, clock, metrics):
        self._engines = engines
        self._quarantine = quarantine
        self._gossip = gossip
        self._session = session
        self._dialect = dialect
        self._clock = clock
        self._metrics = metrics
        self._recent_crashes = deque(maxlen=MAX_RECENT_CRASHES)
        self._investigations = {}
        self._tasks = BackgroundTasks()
        gossip.subscribe(CrashUpdate, self._apply_crash)
        gossip.subscribe(EngineDownUpdate, self._apply_engine_down)

    def is_blocked(self, call):
        """Return whether a call is blocked because it crashes its engines."""
        if not len(self._quarantine):
            return False
        crashes = self._quarantine.count_crashes(fingerprint_call(call))
        return crashes >= BLOCKING_CRASHES

    def log_send(self, state, call):
        """Log that a call with evidence against it is sent to an engine."""
        if not len(self._quarantine):
            return
        fingerprint = fingerprint_call(call)
        crashes = self._quarantine.count_crashes(fingerprint)
        if crashes:
            self._metrics.suspect_sends.inc()
            logger.bind(
                request=call.metadata.attempt_id,
                fingerprint=fingerprint.hex(),
                engine=state.name,
                crashes=crashes,
            ).info("suspect request sent")

    def investigate(self, state, call):
        """Investigate an engine whose connection broke, with a call as a suspect.

        A call that loses its connection during an investigation joins the suspects.
        """
        investigation = self._investigations.get(state)
        if investigation is None:
            investigation = self._investigations[state] = CrashInvestigation()
            investigation.task = self._tasks.spawn(
                self._investigate(state, investigation.suspects)
            )
        investigation.suspects.add(fingerprint_call(call))

    async def wait_for_investigations(self, call):
        """Wait for the investigations of all engines that a call lost.

        A call with enough crashes to run alone also waits until other hosts have the
        same evidence.
        """
        fingerprint = fingerprint_call(call)
        pending = [
            investigation.task
            for investigation in self._investigations.values()
            if fingerprint in investigation.suspects
        ]
        if pending:
            await asyncio.wait(pending)
        if self._quarantine.must_run_alone(fingerprint):
            await self._clock.sleep(CRASH_GOSSIP_DELAY_S)

    def choose_isolated_engine(self, call, views):
        """Return an engine for a suspect request, apart from other suspects.

        Returns
        -------
        EngineView or None
            None if the call is not a suspect request or there is no engine.
        """
        fingerprint = fingerprint_call(call)
        if not self._quarantine.must_run_alone(fingerprint):
            return None
        suspects = self._quarantine.list_suspects()
        view = choose_isolated_engine(views, fingerprint, suspects)
        logger.bind(
            request=call.metadata.attempt_id,
            suspects=len(suspects),
            engine=view.name if view else None,
        ).info("suspect request isolated")
        return view

    async def _investigate(self, state, suspects):
        try:
            if await self._has_crashed(state):
                crash = self.report_down(state, "crashed", suspects)
                await self._collect_evidence(state, crash)
        finally:
            del self._investigations[state]

    async def _has_crashed(self, state):
        """Probe an engine; return whether it refuses connections or has restarted."""
        entry = state.entry
        reply = await probe(
            self._session,
            entry.name,
            entry.address,
            self._dialect.report_path,
            PROBE_TIMEOUT_S,
        )
        if reply.is_error():
            failure = reply.error
            has_crashed = isinstance(failure, UpstreamUnreachable) and failure.refused
            outcome = repr(failure)
        else:
            born_ms = self._dialect.decode_start_ms(reply.ok)
            has_crashed = bool(entry.born_ms and born_ms and born_ms != entry.born_ms)
            outcome = f"started at {born_ms} ms"
        logger.bind(
            engine=entry.name,
            born_ms=entry.born_ms,
            probe=outcome,
            crashed=has_crashed,
        ).info("engine investigated")
        return has_crashed

    def report_down(self, state, cause, suspects=()):
        """Mark an engine down, interrupt this host's attempts on it and notify peers.

        Returns
        -------
        Crash
        """
        self._mark_down_and_interrupt(state, cause)
        entry = state.entry
        now_s = self._clock.monotonic()
        crash = Crash(entry.name, entry.availability_zone, now_s, suspects)
        self._recent_crashes.append(crash)
        self._gossip.broadcast(
            EngineDownUpdate(entry.name, entry.born_ms, entry.availability_zone, cause)
        )
        return crash

    def report_replaced(self, state):
        """Remove an engine at whose address another one answers, and notify peers."""
        if not state.is_removed:
            entry = state.entry
            self._engines.mark_replaced(state)
            self._gossip.broadcast(
                EngineDownUpdate(
                    entry.name, entry.born_ms, entry.availability_zone, REPLACED
                )
            )

    def _mark_down_and_interrupt(self, state, cause):
        self._engines.mark_down(state, cause)
        for attempt in list(state.attempts):
            attempt.interrupt(cause)

    async def _collect_evidence(self, state, crash):
        """Wait for reports of simultaneous crashes, then send the evidence to peers."""
        await self._clock.sleep(CORRELATED_CRASH_S)
        start = str(state.entry.born_ms)
        implicated = [
            fingerprint
            for fingerprint in crash.suspects
            if can_be_caused_by(crash, fingerprint, self._recent_crashes)
        ]
        logger.bind(
            engine=state.name,
            suspects=len(crash.suspects),
            against=len(implicated),
            simultaneous=[
                other.engine
                for other in self._recent_crashes
                if is_simultaneous(other, crash)
            ],
        ).info("engine crash evidence collected")
        for fingerprint in implicated:
            self._gossip.broadcast(CrashUpdate(fingerprint, state.name, start, False))

    def _apply_crash(self, update):
        """Add a crash that this host or a peer reported to the evidence."""
        if self._quarantine.apply_update(update):
            self._metrics.crash_evidence.inc()
            logger.bind(
                fingerprint=update.fingerprint.hex(),
                engine=update.upstream,
                start=update.incarnation,
                crashes=self._quarantine.count_crashes(update.fingerprint),
            ).info("crash evidence added")

    def _apply_engine_down(self, update):
        """Apply a peer's report that an engine is down or was replaced.

        A report other than of a crash is ignored if the engine sent data to this host
        within the last `CORRELATED_CRASH_S`.
        """
        now_s = self._clock.monotonic()
        state = self._engines.get(update.engine)
        if update.cause == REPLACED:
            if state is not None and state.entry.born_ms == update.born_ms:
                self._engines.mark_replaced(state)
            return
        self._recent_crashes.append(
            Crash(update.engine, update.availability_zone, now_s)
        )
        if state is None or state.entry.born_ms != update.born_ms:
            return
        if not self._engines.is_usable(state):
            return
        if (
            update.cause != "crashed"
            and now_s - state.last_received_s < CORRELATED_CRASH_S
        ):
            logger.bind(engine=state.name, cause=update.cause).info(
                "engine down report ignored"
            )
            return
        self._mark_down_and_interrupt(state, update.cause)


def fingerprint_call(call):
    """Return the digest of a call's path, organisation and body."""
    digest = hashlib.blake2b(call.target.encode("utf-8", "surrogateescape"))
    digest.update(b"\0" + call.body)
    return make_fingerprint(call.organisation or "", digest.digest())
