"""Detects engines that crash or go silent while they run attempts of this host.

A sound engine may be silent for a second. Its attempts are told that it is, and go on.
"""

from loguru import logger
from mode import Service

from sapphirerock.process.engines.prober import ProbeOutcome

CHECK_INTERVAL_S = 0.05
# Even a busy engine sends its events within about 200 ms of each other.
SILENCE_TIMEOUT_S = 0.2
PROBE_TIMEOUT_S = 0.2
# If a probe has no answer after this time, the engines that hold KV copies of the runs
# are probed, too, so that calls can move to them when the engine is found silent. An
# engine in another region answers within this time.
BACKUP_CHECK_DELAY_S = 0.14
# Interval at which an engine that is known to be silent is probed.
SILENT_ENGINE_PROBE_INTERVAL_S = 0.25


class EngineMonitor(Service):
    """Probes silent engines and reports those that ended or don't reply as down.

    Parameters
    ----------
    engines : EngineTable
        All engines.
    crash_watch : CrashWatch
        Receives the reports.
    prober : EngineProber
        Probes engines.
    clock : Clock
        Source of time.
    """

    def __init__(self, engines, crash_watch, prober, clock, **kwargs):
        super().__init__(**kwargs)
        self._engines = engines
        self._crash_watch = crash_watch
        self._prober = prober
        self._clock = clock

    @Service.task
    async def _probe_silent_engines(self):
        watched = []
        while not self.should_stop:
            # An attempt that begins meanwhile is not silent before this time is over.
            await self._clock.sleep(CHECK_INTERVAL_S if watched else SILENCE_TIMEOUT_S)
            now_s = self._clock.monotonic()
            watched = self._engines.list_watched()
            for state in watched:
                if self._is_probe_due(state, now_s):
                    state.is_probe_pending = True
                    state.probed_s = now_s
                    self.add_future(self._probe(state))

    def _is_probe_due(self, state, now_s):
        """Return whether an engine is silent and should be probed now."""
        if state.is_probe_pending:
            return False
        if self._engines.is_marked_silent(state):
            # Hosts that need nothing from the engine don't ask it.
            is_awaited = now_s - state.awaited_s <= SILENT_ENGINE_PROBE_INTERVAL_S
            is_due = now_s - state.probed_s >= SILENT_ENGINE_PROBE_INTERVAL_S
            return is_due and (is_awaited or bool(state.attempts))
        is_silent = now_s - state.last_received_s > SILENCE_TIMEOUT_S
        return bool(state.attempts) and is_silent

    async def _probe(self, state):
        if not self._engines.is_marked_silent(state):
            self.add_future(self._check_backups(state))
        try:
            await self._probe_and_report(state)
        finally:
            state.is_probe_pending = False

    async def _check_backups(self, state):
        """Find out whether an engine's backups answer, if its own answer is late."""
        await self._clock.sleep(BACKUP_CHECK_DELAY_S)
        if not state.is_probe_pending:
            return
        backups = {attempt.backup for attempt in state.attempts if attempt.backup}
        for backup in backups:
            self.add_future(self._crash_watch.check_answers(backup))

    async def _probe_and_report(self, state):
        """Probe an engine; report it down unless it replies or sends other data."""
        probed_at_s = self._clock.monotonic()
        result = await self._prober.probe(state.entry, PROBE_TIMEOUT_S)
        if result.outcome is ProbeOutcome.RUNNING:
            state.record_received(self._clock.monotonic())
            return
        if result.outcome is ProbeOutcome.RESTING:
            return
        if result.outcome is ProbeOutcome.HOST_BUSY:
            # The next check probes again.
            logger.bind(engine=state.name, detail=result.detail).info(
                "engine probe inconclusive"
            )
            return
        if state.last_received_s > probed_at_s:
            return
        logger.bind(
            engine=state.name, outcome=result.outcome.value, detail=result.detail
        ).info("engine probe failed")
        await self._crash_watch.apply_failed_probe(state, result)
