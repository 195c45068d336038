"""Finds engines that went silent while they had work of this host."""

from loguru import logger
from mode import Service

from sapphirerock.connection.upstream import probe

SWEEP_INTERVAL_S = 0.05
# Events follow each other within some 200 ms even on a busy engine.
SILENCE_BOUND_S = 0.2
PROBE_BOUND_S = 0.2


class EngineMonitor(Service):
    """Asks engines that say nothing whether they are still there.

    Parameters
    ----------
    engines : EngineTable
        All engines.
    crashes : CrashWatch
        Takes engines out.
    session : aiohttp.ClientSession
        Connections to engines.
    dialect : EngineDialect
        How engines are spoken to.
    clock : Clock
        Source of time.
    """

    def __init__(self, engines, crashes, session, dialect, clock, **kwargs):
        super().__init__(**kwargs)
        self._engines = engines
        self._crashes = crashes
        self._session = session
        self._dialect = dialect
        self._clock = clock

    @Service.task
    async def _sweep(self):
        while not self.should_stop:
            await self._clock.sleep(SWEEP_INTERVAL_S)
            now_s = self._clock.monotonic()
            for state in self._engines.list_all():
                if not state.attempts or state.is_probed:
                    continue
                if now_s - state.heard_at_s > SILENCE_BOUND_S:
                    state.is_probed = True
                    self.add_future(self._probe(state))

    async def _probe(self, state):
        asked_at_s = self._clock.monotonic()
        answer = await probe(
            self._session,
            state.name,
            state.entry.address,
            self._dialect.report_target,
            PROBE_BOUND_S,
        )
        state.is_probed = False
        if answer.is_ok():
            state.heard_at_s = self._clock.monotonic()
            return
        if state.heard_at_s > asked_at_s:
            return
        logger.bind(engine=state.name, cause=repr(answer.error)).info("probe failed")
        self._crashes.condemn(state, "silent")
