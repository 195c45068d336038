"""Establishes which engines crashed, and which requests ran on them."""

import asyncio
import hashlib

from loguru import logger

from sapphirerock.connection.errors import UpstreamUnreachable
from sapphirerock.connection.upstream import probe
from sapphirerock.decisions.poisonrequests import (
    CORRELATED_CRASH_S,
    CRASH_GOSSIP_DELAY_S,
    choose_isolated_engine,
)
from sapphirerock.decisions.quarantine import ISOLATION_CRASHES, make_fingerprint
from sapphirerock.process.peers.gossip import CrashSuspectsUpdate, EngineDownUpdate
from sapphirerock.process.tasks import BackgroundTasks

# Two round trips between regions, with room for a busy engine.
PROBE_TIMEOUT_S = 0.3
CRASHED = "crashed"
REPLACED = "replaced"
MS_PER_S = 1000


class EngineLoss:
    """Loss of the connections to one engine, whose cause is investigated.

    Attributes
    ----------
    at_s : float
        Monotonic time of the first loss, in seconds.
    suspects : set of bytes
        Fingerprints of the calls whose connections broke.
    task : asyncio.Task or None
        Runs the investigation.
    """

    __slots__ = ("at_s", "suspects", "task")

    def __init__(self, at_s):
        self.at_s = at_s
        self.suspects = set()
        self.task = None


class CrashWatch:
    """Collects evidence of engine crashes from this host's calls and from peers.

    Parameters
    ----------
    engines : EngineTable
        Registered engines.
    crash_log : CrashLog
        Crashes and the requests that ran on the engines.
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
        "_crash_log",
        "_gossip",
        "_session",
        "_dialect",
        "_clock",
        "_metrics",
        "_losses",
        "_tasks",
    )

    def __init__(self, engines, crash_log, gossip, session, dialect, clock, metrics):
        self._engines = engines
        self._crash_log = crash_log
        self._gossip = gossip
        self._session = session
        self._dialect = dialect
        self._clock = clock
        self._metrics = metrics
        self._losses = {}
        self._tasks = BackgroundTasks()
        gossip.subscribe(CrashSuspectsUpdate, self._apply_suspects)
        gossip.subscribe(EngineDownUpdate, self._apply_engine_down)

    def is_blocked(self, call):
        """Return whether a call is blocked because it crashes its engines."""
        if self._crash_log.is_empty:
            return False
        return self._crash_log.is_blocked(fingerprint_call(call))

    def log_send(self, state, call):
        """Log that a call with evidence against it is sent to an engine."""
        if self._crash_log.is_empty:
            return
        fingerprint = fingerprint_call(call)
        crashes = self._crash_log.count_crashes(fingerprint)
        if crashes:
            self._metrics.suspect_sends.inc()
            logger.bind(
                request=call.metadata.attempt_id,
                fingerprint=fingerprint.hex(),
                engine=state.name,
                crashes=crashes,
                evidence=self._crash_log.count_evidence(fingerprint),
            ).info("suspect request sent")

    def investigate(self, state, call):
        """Investigate an engine whose connection broke, with a call as a suspect.

        A call that loses its connection during an investigation joins the suspects.
        """
        key = (state.name, state.entry.born_ms)
        loss = self._losses.get(key)
        if loss is None:
            loss = self._losses[key] = EngineLoss(self._clock.monotonic())
            loss.task = self._tasks.spawn(self._investigate(state, loss))
        loss.suspects.add(fingerprint_call(call))

    async def wait_for_investigations(self, call):
        """Wait until the evidence of the engines that a call lost is complete.

        A call with enough crashes to run alone also waits until other hosts have the
        same evidence.
        """
        fingerprint = fingerprint_call(call)
        pending = [
            loss.task for loss in self._losses.values() if fingerprint in loss.suspects
        ]
        if pending:
            await asyncio.wait(pending)
        await self._clock.sleep(self._crash_log.measure_settling_s(fingerprint))
        if self._crash_log.must_run_alone(fingerprint):
            await self._clock.sleep(CRASH_GOSSIP_DELAY_S)

    def choose_isolated_engine(self, call, views):
        """Return an engine for a suspect request, apart from other suspects.

        Returns
        -------
        EngineView or None
            None if the call is not a suspect request or there is no engine.
        """
        fingerprint = fingerprint_call(call)
        if not self._crash_log.must_run_alone(fingerprint):
            return None
        suspects = self._crash_log.list_suspects()
        view = choose_isolated_engine(views, fingerprint, suspects)
        logger.bind(
            request=call.metadata.attempt_id,
            suspects=len(suspects),
            engine=view.name if view else None,
        ).info("suspect request isolated")
        return view

    async def _investigate(self, state, loss):
        try:
            if await self._has_crashed(state):
                self.report_down(state, CRASHED)
        finally:
            self._losses.pop((state.name, state.entry.born_ms), None)

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

    def report_down(self, state, cause):
        """Report to all hosts, this one included, that an engine is down."""
        entry = state.entry
        self._gossip.broadcast(
            EngineDownUpdate(entry.name, entry.born_ms, entry.availability_zone, cause)
        )

    def report_replaced(self, state):
        """Remove an engine at whose address another one answers, and notify peers."""
        if not state.is_removed:
            self.report_down(state, REPLACED)

    def _apply_engine_down(self, update):
        """Apply a report of this host or a peer that an engine is down or replaced.

        A report of silence is ignored if the engine sent data to this host within the
        last `CORRELATED_CRASH_S`.
        """
        state = self._engines.get(update.engine)
        if state is not None and state.entry.born_ms != update.born_ms:
            state = None
        if update.cause == REPLACED:
            if state is not None:
                self._engines.mark_replaced(state)
            return
        if update.cause == CRASHED:
            self._record_crash(update)
        if state is None or not self._engines.is_usable(state):
            return
        age_s = self._clock.monotonic() - state.last_received_s
        if update.cause != CRASHED and age_s < CORRELATED_CRASH_S:
            logger.bind(engine=state.name, cause=update.cause).info(
                "engine down report ignored"
            )
            return
        self._engines.mark_down(state, update.cause)
        for attempt in list(state.attempts):
            attempt.interrupt(update.cause)

    def _record_crash(self, update):
        """Add a crash to the log, and send this host's suspects to its peers."""
        now_s = self._clock.monotonic()
        loss = self._losses.get((update.engine, update.born_ms))
        at_s = loss.at_s if loss else now_s
        self._crash_log.add_crash(
            update.engine, update.born_ms, update.availability_zone, at_s
        )
        if loss is not None and loss.suspects:
            self._gossip.broadcast(
                CrashSuspectsUpdate(
                    update.engine,
                    update.born_ms,
                    update.availability_zone,
                    int((now_s - at_s) * MS_PER_S),
                    list(loss.suspects),
                )
            )

    def _apply_suspects(self, update):
        """Add the suspects that this host or a peer had on a crashed engine."""
        log = self._crash_log
        at_s = self._clock.monotonic() - update.age_ms / MS_PER_S
        log.add_crash(update.engine, update.born_ms, update.availability_zone, at_s)
        added = log.add_suspects(update.engine, update.born_ms, update.suspects)
        if not added:
            return
        self._metrics.crash_evidence.inc(len(added))
        logger.bind(
            engine=update.engine, start=update.born_ms, suspects=len(added)
        ).info("crash evidence added")
        self._tasks.spawn(self._block_when_settled(added))

    async def _block_when_settled(self, fingerprints):
        """Block the requests whose evidence suffices once it is complete."""
        for fingerprint in fingerprints:
            await self._clock.sleep(self._crash_log.measure_settling_s(fingerprint))
            crashes = self._crash_log.count_crashes(fingerprint)
            evidence = self._crash_log.count_evidence(fingerprint)
            if crashes < ISOLATION_CRASHES:
                continue
            is_blocked = self._crash_log.is_blocked(fingerprint)
            if is_blocked:
                self._crash_log.add_blocked(fingerprint, self._clock.monotonic())
            logger.bind(
                fingerprint=fingerprint.hex(),
                crashes=crashes,
                evidence=evidence,
                blocked=is_blocked,
            ).warning("request suspected of crashing engines")


def fingerprint_call(call):
    """Return the digest of a call's path, organisation and body."""
    digest = hashlib.blake2b(call.target.encode("utf-8", "surrogateescape"))
    digest.update(b"\0" + call.body)
    return make_fingerprint(call.organisation or "", digest.digest())
