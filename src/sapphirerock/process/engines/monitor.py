"""Detects engines that crash or go silent while they run attempts of this host."""

from loguru import logger
from mode import Service

from sapphirerock.process.engines.prober import ProbeOutcome

CHECK_INTERVAL_S = 0.05
# Even a busy engine sends its events within about 200 ms of each other.
SILENCE_TIMEOUT_S = 0.2
PROBE_TIMEOUT_S = 0.2


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
        while not self.should_stop:
            await self._clock.sleep(CHECK_INTERVAL_S)
            now_s = self._clock.monotonic()
            for state in self._engines.list_all():
                if not state.attempts or state.is_probe_pending:
                    continue
                if now_s - state.last_received_s > SILENCE_TIMEOUT_S:
                    state.is_probe_pending = True
                    self.add_future(self._probe(state))

    async def _probe(self, state):
        try:
            await self._probe_and_report(state)
        finally:
            state.is_probe_pending = False

    async def _probe_and_report(self, state):
        """Probe an engine; report it down unless it replies or sends other data."""
        probed_at_s = self._clock.monotonic()
        result = await self._prober.probe(state.entry, PROBE_TIMEOUT_S)
        if result.outcome is ProbeOutcome.RUNNING:
            state.last_received_s = self._clock.monotonic()
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
        if result.outcome is ProbeOutcome.NO_ANSWER:
            self._crash_watch.interrupt_silent(state)
        confirmed = await self._prober.confirm(state.entry, result)
        if confirmed.outcome is ProbeOutcome.PATH_LOST:
            return
        if confirmed.outcome is ProbeOutcome.ENDED:
            self._crash_watch.report_crash(state)
        else:
            self._crash_watch.report_silent(state)
