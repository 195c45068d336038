"""Establishes which engines crashed, and which requests ran on them."""

import asyncio
import hashlib
import math

from loguru import logger

from sapphirerock.decisions.crashlog import (
    REFUSALS_MARK,
    EngineRun,
    is_part,
    make_part_fingerprint,
)
from sapphirerock.decisions.poisonrequests import (
    CORRELATED_CRASH_S,
    CRASH_GOSSIP_DELAY_S,
    MAX_RESTART_S,
    SUSPECT_LOSSES,
    choose_isolated_engine,
)
from sapphirerock.decisions.quarantine import ISOLATION_CRASHES, make_fingerprint
from sapphirerock.decisions.refusals import RecentRefusals
from sapphirerock.decisions.unanswered import (
    UnansweredCall,
    UnansweredCalls,
    estimate_silence_start,
)
from sapphirerock.process.engines.prober import ProbeOutcome
from sapphirerock.process.peers.gossip import (
    CrashSuspectsUpdate,
    EngineDownUpdate,
)
from sapphirerock.process.tasks import BackgroundTasks

# Two round trips between regions, with room for a busy engine.
PROBE_TIMEOUT_S = 0.3
# An engine that has sent data within this time gets calls without a check.
RECENT_DATA_S = 0.25
CHECK_TIMEOUT_S = 0.2
# An engine that doesn't answer is probed again, since a lost packet, a busy engine or a
# network partition hides a crash.
PROBE_RETRY_DELAYS_S = (0.1, 0.4, 1.0)
# A peer's report that an engine is down is verified if the engine has sent data to this
# host within this time.
VERIFIED_CONTACT_S = 5.0
INCONCLUSIVE_OUTCOMES = (
    ProbeOutcome.NO_ANSWER,
    ProbeOutcome.RELAY_FAILED,
    ProbeOutcome.HOST_BUSY,
    ProbeOutcome.RESTING,
)
UNUSABLE_OUTCOMES = (
    ProbeOutcome.NO_ANSWER,
    ProbeOutcome.RELAY_FAILED,
    ProbeOutcome.ENDED,
)
CRASHED = "crashed"
SILENT = "silent"
REPLACED = "replaced"
MS_PER_S = 1000


class EngineLoss:
    """Loss of the connections to one engine, whose cause is investigated.

    Attributes
    ----------
    at_s : float
        Monotonic time of the first loss, in seconds.
    suspects : set of bytes
        Fingerprints of the calls whose connections broke, and of their prompt parts.
    is_probed : asyncio.Event
        Set after the first probe.
    task : asyncio.Task or None
        Runs the investigation.
    """

    __slots__ = ("at_s", "suspects", "is_probed", "task")

    def __init__(self, at_s):
        self.at_s = at_s
        self.suspects = set()
        self.is_probed = asyncio.Event()
        self.task = None


class CrashWatch:
    """Collects evidence of engine crashes from this host's calls and from peers.

    Parameters
    ----------
    engines : EngineTable
        Registered engines.
    crash_log : CrashLog
        Crashes and the requests that ran on the engines.
    sound_parts : SoundPartSpread
        Spreads which prompt parts are sound.
    gossip : Gossip
        Exchanges crash updates with peers.
    prober : EngineProber
        Probes engines.
    clock : Clock
        Source of time.
    metrics : EdgeMetrics
        Counts evidence and sends of suspect requests.

    Attributes
    ----------
    on_block : list of callable
        Called with the fingerprint of a request that this host blocks.
    """

    __slots__ = (
        "on_block",
        "_engines",
        "_crash_log",
        "_sound_parts",
        "_gossip",
        "_prober",
        "_clock",
        "_metrics",
        "_losses",
        "_checks",
        "_unanswered",
        "_refusals",
        "_tasks",
    )

    def __init__(self, engines, crash_log, sound_parts, gossip, prober, clock, metrics):
        self.on_block = []
        self._engines = engines
        self._crash_log = crash_log
        self._sound_parts = sound_parts
        self._gossip = gossip
        self._prober = prober
        self._clock = clock
        self._metrics = metrics
        self._losses = {}
        self._checks = {}
        self._unanswered = UnansweredCalls()
        self._refusals = RecentRefusals()
        self._tasks = BackgroundTasks()
        gossip.subscribe(CrashSuspectsUpdate, self._apply_suspects)
        gossip.subscribe(EngineDownUpdate, self._apply_engine_down)
        engines.on_restart.append(self._apply_restart)
        engines.on_lapse.append(self._apply_lapse)

    def is_blocked(self, call):
        """Return whether a call is blocked because it crashes its engines."""
        if self._crash_log.is_empty:
            return False
        fingerprint = fingerprint_call(call)
        if self._crash_log.is_blocked(fingerprint):
            return True
        parts = fingerprint_parts(call)
        suspects = {fingerprint, *parts}
        return any(self._crash_log.is_part_blocked(part, suspects) for part in parts)

    def record_output(self, call):
        """Record that an engine has begun to write on the prompt of a call."""
        self._sound_parts.record_output(fingerprint_parts(call))

    def record_survival(self, call):
        """Record that an engine has run a call and lives.

        A request that crashes its engines would have crashed it.
        """
        now_s = self._clock.monotonic()
        is_calm = self._crash_log.is_empty and not self._losses
        if not is_calm or not self._unanswered.is_empty(now_s):
            self._sound_parts.record_output([fingerprint_call(call)])

    def _list_suspects(self, call):
        """Return the fingerprints of a call and of its parts that may crash engines."""
        suspects = [fingerprint_call(call), *fingerprint_parts(call)]
        return [item for item in suspects if not self._crash_log.is_sound(item)]

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
        """Investigate an engine that a call was lost with, with the call as a suspect.

        A call that is lost later with the same run of the engine joins the suspects.
        """
        run, suspects = make_run(state), self._list_suspects(call)
        if self._crash_log.has_crash(run):
            self._send_late_suspects(run, suspects)
            return
        self._drop_old_losses()
        loss = self._losses.get(run)
        if loss is None:
            loss = self._losses[run] = EngineLoss(self._clock.monotonic())
            loss.task = self._tasks.spawn(self._investigate(state, loss))
        loss.suspects.update(suspects)

    def record_unanswered(self, state, call, began_s):
        """Record that a call left its engine without an answer.

        It is a suspect if it shows later that the run of the engine has ended, and the
        engine was not heard after the call.

        Parameters
        ----------
        began_s : float
            Monotonic time at which the call was sent, in seconds.
        """
        run, suspects = make_run(state), self._list_suspects(call)
        if self._crash_log.has_crash(run):
            self._send_late_suspects(run, suspects)
        elif suspects:
            ended_s = self._clock.monotonic()
            unanswered = UnansweredCall(tuple(suspects), began_s, ended_s)
            self._unanswered.add(run, unanswered)

    def _drop_old_losses(self):
        oldest_s = self._clock.monotonic() - MAX_RESTART_S
        for run, loss in list(self._losses.items()):
            if loss.at_s < oldest_s:
                del self._losses[run]

    def must_wait(self, call):
        """Return whether a call must wait before it is sent to another engine.

        It must if its request, or a part of its prompt, has lost enough runs of
        engines, on all hosts together.
        """
        return any(
            len(self._list_lost_runs(suspect)) >= SUSPECT_LOSSES
            for suspect in self._list_suspects(call)
        )

    def _list_lost_runs(self, fingerprint):
        """Return the runs that crashed, or were lost, under a suspect."""
        lost = [
            run for run, loss in self._losses.items() if fingerprint in loss.suspects
        ]
        return self._crash_log.list_runs(fingerprint).union(lost)

    async def wait_for_investigations(self, call):
        """Wait until the evidence of the engines that a call lost is complete.

        A call with enough crashes to run alone also waits for engines that don't answer
        a first probe, and until other hosts have the same evidence.
        """
        suspects = self._list_suspects(call)
        for loss in self._list_losses(suspects):
            await loss.is_probed.wait()
        await self._clock.sleep(self._measure_settling_s(suspects))
        if self._must_run_alone(suspects):
            for loss in self._list_losses(suspects):
                await asyncio.wait([loss.task])
            await self._clock.sleep(self._measure_settling_s(suspects))
            await self._clock.sleep(CRASH_GOSSIP_DELAY_S)

    def _list_losses(self, suspects):
        return [
            loss
            for loss in self._losses.values()
            if not loss.suspects.isdisjoint(suspects)
        ]

    def _measure_settling_s(self, suspects):
        times_s = map(self._crash_log.measure_settling_s, suspects)
        return max(times_s, default=0.0)

    def _must_run_alone(self, suspects):
        return any(self._crash_log.must_run_alone(suspect) for suspect in suspects)

    def choose_isolated_engine(self, call, views):
        """Return an engine for a suspect request, apart from other suspects.

        Returns
        -------
        EngineView or None
            None if the call is not a suspect request or there is no engine.
        """
        if not self._must_run_alone(self._list_suspects(call)):
            return None
        suspects = self._crash_log.list_suspects()
        view = choose_isolated_engine(views, fingerprint_call(call), suspects)
        logger.bind(
            request=call.metadata.attempt_id,
            suspects=len(suspects),
            engine=view.name if view else None,
        ).info("suspect request isolated")
        return view

    async def _investigate(self, state, loss):
        """Probe an engine until it is known whether it has ended."""
        try:
            outcome = await self._probe(state, loss)
        finally:
            loss.is_probed.set()
        for delay_s in PROBE_RETRY_DELAYS_S:
            if outcome not in INCONCLUSIVE_OUTCOMES:
                return
            await self._clock.sleep(delay_s)
            run = make_run(state)
            if self._crash_log.has_crash(run):
                self._record_crash(run, state)
                return
            outcome = await self._probe(state, loss)

    async def _probe(self, state, loss):
        entry = state.entry
        result = await self._prober.probe_and_confirm(entry, PROBE_TIMEOUT_S)
        logger.bind(
            engine=entry.name,
            born_ms=entry.born_ms,
            outcome=result.outcome.value,
            detail=result.detail,
            suspects=len(loss.suspects),
        ).info("engine investigated")
        if result.outcome is ProbeOutcome.ENDED:
            self.report_crash(state)
        elif result.shows_running:
            self._losses.pop(make_run(state), None)
            self._unanswered.drop(make_run(state))
        return result.outcome

    def report_crash(self, state):
        """Report to all hosts, this one included, that a run of an engine has ended.

        A crash that a peer has reported is known with the peer's calls only.
        """
        run = make_run(state)
        if not self._crash_log.has_crash(run):
            # The state may have been removed from the table since.
            self._record_crash(run, state)
            self._mark_down_and_interrupt(state, CRASHED)
            self._broadcast_down(state, CRASHED)
        elif run in self._losses:
            self._record_crash(run, state)

    async def apply_failed_probe(self, state, result):
        """Mark an engine that failed a probe, and tell peers what they confirm.

        The first probe that a silent engine leaves unanswered is confirmed by peers.
        """
        if result.outcome is ProbeOutcome.RELAY_FAILED:
            # The relays are silent, and other hosts may reach the engine.
            self.mark_silent(state)
            return
        if result.outcome is ProbeOutcome.NO_ANSWER and not self.mark_silent(state):
            return
        asked_s = self._clock.monotonic()
        confirmed = await self._prober.confirm(state.entry, result)
        if confirmed.shows_running:
            return
        if confirmed.outcome is ProbeOutcome.ENDED:
            self.report_crash(state)
        elif state.heard_s < asked_s:
            self.report_silent(state)

    async def check_answers(self, state):
        """Return whether an engine answers; probe it if it has sent nothing lately.

        Calls that check an engine at the same time share one probe.
        """
        if self._clock.monotonic() - state.heard_s <= RECENT_DATA_S:
            return True
        run = make_run(state)
        check = self._checks.get(run)
        if check is None:
            check = self._checks[run] = self._tasks.spawn(self._check_answers(state))
            check.add_done_callback(lambda _: self._checks.pop(run))
        return await asyncio.shield(check)

    async def _check_answers(self, state):
        result = await self._prober.probe(state.entry, CHECK_TIMEOUT_S)
        if result.outcome is ProbeOutcome.RUNNING:
            state.record_received(self._clock.monotonic())
        elif result.outcome in UNUSABLE_OUTCOMES:
            self._tasks.spawn(self.apply_failed_probe(state, result))
            return False
        return True

    def mark_silent(self, state):
        """Give an engine that doesn't answer no new work, and notify its attempts.

        They go on, since a sound engine may be silent for a second.

        Returns
        -------
        bool
            Whether the engine was not marked down before.
        """
        is_new = self._engines.mark_down(state, SILENT, is_silent=True)
        for attempt in list(state.attempts):
            attempt.report_silence()
        return is_new

    def report_silent(self, state):
        """Mark an engine as silent, and notify peers."""
        self.mark_silent(state)
        self._broadcast_down(state, SILENT)

    def report_replaced(self, state):
        """Remove an engine at whose address another one answers, and notify peers."""
        if not state.is_removed:
            self._broadcast_down(state, REPLACED)

    def _broadcast_down(self, state, cause):
        entry = state.entry
        self._gossip.broadcast(
            EngineDownUpdate(entry.name, entry.born_ms, entry.availability_zone, cause)
        )

    def _apply_engine_down(self, update):
        """Apply a report of this host or a peer that an engine is down or replaced.

        The peer may have lost its path to the engine. If the engine sent data to this
        host within the last `VERIFIED_CONTACT_S`, it is only marked down until a probe
        of this host shows whether it is running. A report of silence is ignored if the
        engine sent data within the last `CORRELATED_CRASH_S`.
        """
        state = self._engines.get(update.engine)
        if state is not None and state.entry.born_ms != update.born_ms:
            state = None
        if update.cause == REPLACED:
            if state is not None:
                self._engines.mark_replaced(state)
            return
        if update.cause == SILENT and not self._can_be_silent(state, update.cause):
            return
        if state is None:
            run = EngineRun(update.engine, update.born_ms, update.availability_zone)
            self._record_crash(run, None)
            return
        silent_s = self._clock.monotonic() - state.last_received_s
        if silent_s <= VERIFIED_CONTACT_S and self._engines.is_alive(state):
            self._engines.mark_down(
                state, update.cause, is_silent=update.cause == SILENT
            )
            self._tasks.spawn(self._verify_report(state, update.cause))
        else:
            self._apply_down(state, update.cause)

    async def _verify_report(self, state, cause):
        """Probe an engine that a peer reported as down, and apply what it shows."""
        result = await self._prober.probe(state.entry, PROBE_TIMEOUT_S)
        if result.shows_running:
            logger.bind(
                engine=state.name, cause=cause, outcome=result.outcome.value
            ).info("engine down report refuted")
            self._engines.lift_down(state)
            return
        self._apply_down(state, cause)

    def _apply_down(self, state, cause):
        if cause == SILENT:
            self.mark_silent(state)
            return
        if cause == CRASHED:
            self._record_crash(make_run(state), state)
        self._mark_down_and_interrupt(state, cause)

    def _apply_restart(self, state):
        """Record the crash of an engine that registered again, if calls ran on it.

        All hosts get the registration, so peers need no report of the crash.
        """
        if self._has_lost_calls(state):
            self._record_crash(make_run(state), state)
            self._mark_down_and_interrupt(state, CRASHED)

    def _has_lost_calls(self, state):
        """Return whether calls of this host may have crashed an engine that ended."""
        run = make_run(state)
        now_s = self._clock.monotonic()
        has_unanswered = self._unanswered.select(run, state.heard_s, now_s)
        return run in self._losses or bool(state.attempts or has_unanswered)

    def _apply_lapse(self, state):
        """Find out whether an engine whose registration was removed has crashed."""
        if self._has_lost_calls(state) and not state.is_draining:
            self._tasks.spawn(self._investigate_lapse(state))

    async def _investigate_lapse(self, state):
        """Record a crash if an engine neither registers nor answers any host."""
        asked_s = self._clock.monotonic()
        result = await self._prober.probe_and_confirm(state.entry, PROBE_TIMEOUT_S)
        logger.bind(
            engine=state.name,
            born_ms=state.entry.born_ms,
            outcome=result.outcome.value,
            detail=result.detail,
        ).info("engine without registration investigated")
        if result.outcome is ProbeOutcome.ENDED:
            self.report_crash(state)
        elif result.outcome is ProbeOutcome.NO_ANSWER and state.heard_s < asked_s:
            self._record_crash(make_run(state), state)

    def _mark_down_and_interrupt(self, state, cause):
        """Give an engine whose run has ended no new work, and end its attempts."""
        self._engines.mark_down(state, cause)
        for attempt in list(state.attempts):
            attempt.interrupt(cause)

    def _can_be_silent(self, state, cause):
        """Return whether a report of silence can be true of a usable engine."""
        if state is None or not self._engines.is_alive(state):
            return False
        if self._clock.monotonic() - state.last_received_s >= CORRELATED_CRASH_S:
            return True
        logger.bind(engine=state.name, cause=cause).info("engine down report ignored")
        return False

    def record_refusal(self, engine, born_ms):
        """Record that a brittle engine turned a call away.

        The refusals that caused a crash may be reported after it.
        """
        state = self._engines.get(engine)
        if state is None or state.entry.born_ms != born_ms:
            return
        run = make_run(state)
        tolerance = self._engines.get_refusal_tolerance(state)
        self._refusals.record(run, tolerance or 0.0, self._clock.monotonic())
        if self._crash_log.has_crash(run):
            self._attribute_to_refusals(run)

    def _attribute_to_refusals(self, run):
        """Tell all hosts that refusals caused a crash, if they did."""
        at_s = self._crash_log.get_crash_time(run)
        if self._crash_log.is_caused_by_refusals(run):
            return
        if not self._refusals.can_have_caused(run, at_s):
            return
        logger.bind(engine=run.engine, start=run.born_ms).info(
            "crash attributed to refusals"
        )
        self._broadcast_suspects(run, at_s, [REFUSALS_MARK])

    def _record_crash(self, run, state):
        """Add a crash to the log, with the calls that this host had on the engine."""
        loss = self._losses.pop(run, None)
        heard_s = state.heard_s if state is not None else -math.inf
        now_s = self._clock.monotonic()
        unanswered = self._unanswered.select(run, heard_s, now_s)
        self._unanswered.drop(run)
        at_s = loss.at_s if loss else now_s
        if unanswered:
            at_s = min(at_s, estimate_silence_start(unanswered, heard_s))
        self._crash_log.add_crash(run, at_s)
        self._attribute_to_refusals(run)
        if self._crash_log.is_caused_by_refusals(run):
            return
        suspects = set(loss.suspects) if loss else set()
        suspects.update(*(call.suspects for call in unanswered))
        if state is not None:
            for attempt in state.attempts:
                suspects.update(self._list_suspects(attempt.call))
        suspects = self._crash_log.select_unknown(run, suspects)
        if suspects:
            self._send_suspects(run, at_s, suspects)

    def _send_late_suspects(self, run, suspects):
        """Send suspects of a crash that is known, unless refusals caused it."""
        unknown = self._crash_log.select_unknown(run, suspects)
        if unknown and not self._crash_log.is_caused_by_refusals(run):
            self._send_suspects(run, self._clock.monotonic(), unknown)

    def _send_suspects(self, run, at_s, suspects):
        """Send the requests that this host had on a crashed engine to all hosts."""
        self._broadcast_suspects(run, at_s, suspects)
        self._tasks.spawn(self._block_when_settled(suspects))

    def _broadcast_suspects(self, run, at_s, suspects):
        age_ms = int((self._clock.monotonic() - at_s) * MS_PER_S)
        self._gossip.broadcast(
            CrashSuspectsUpdate(
                run.engine, run.born_ms, run.availability_zone, age_ms, list(suspects)
            )
        )

    def _apply_suspects(self, update):
        """Add the suspects that this host or a peer had on a crashed engine."""
        run = EngineRun(update.engine, update.born_ms, update.availability_zone)
        at_s = self._clock.monotonic() - update.age_ms / MS_PER_S
        self._crash_log.add_crash(run, at_s)
        added = self._crash_log.add_suspects(run, update.suspects)
        if not added or self._crash_log.is_caused_by_refusals(run):
            return
        self._sound_parts.announce_soon(added)
        self._metrics.crash_evidence.inc(len(added))
        logger.bind(
            engine=update.engine, start=update.born_ms, suspects=len(added)
        ).info("crash evidence added")

    async def _block_when_settled(self, fingerprints):
        """Block this host's suspects whose evidence suffices once it is complete.

        Other hosts come to the same result from the same evidence.
        """
        for fingerprint in fingerprints:
            await self._clock.sleep(self._crash_log.measure_settling_s(fingerprint))
            crashes = self._crash_log.count_crashes(fingerprint)
            evidence = self._crash_log.count_evidence(fingerprint)
            if crashes < ISOLATION_CRASHES:
                continue
            if is_part(fingerprint):
                self._log_suspected_part(fingerprint, crashes, evidence)
                continue
            is_blocked = self._crash_log.is_blocked(fingerprint)
            now_s = self._clock.monotonic()
            if is_blocked and self._crash_log.add_blocked(fingerprint, now_s):
                for notify in self.on_block:
                    notify(fingerprint)
            logger.bind(
                fingerprint=fingerprint.hex(),
                crashes=crashes,
                evidence=evidence,
                blocked=is_blocked,
            ).warning("request suspected of crashing engines")

    def _log_suspected_part(self, part, crashes, evidence):
        """Log a part with several crashes; whether it blocks depends on the request."""
        logger.bind(
            part=part.hex(),
            crashes=crashes,
            evidence=evidence,
            sound=self._crash_log.is_sound(part),
        ).warning("prompt part suspected of crashing engines")


def make_run(state):
    """Return the run of an engine that a state describes."""
    entry = state.entry
    return EngineRun(entry.name, entry.born_ms, entry.availability_zone)


def fingerprint_parts(call):
    """Return the fingerprints of a prompt's parts, without the call's own last one."""
    prompt = call.metadata.prompt
    return [make_part_fingerprint(prompt.model, name) for name, _ in prompt.parts[:-1]]


def fingerprint_call(call):
    """Return the digest of a call's path, organisation and body."""
    digest = hashlib.blake2b(call.target.encode("utf-8", "surrogateescape"))
    digest.update(b"\0" + call.body)
    return make_fingerprint(call.organisation or "", digest.digest())
