"""Detects engines that go silent while they run attempts of this host."""

from loguru import logger
from mode import Service

from sapphirerock.connection.upstream import probe

CHECK_INTERVAL_S = 0.05
# Even a busy engine sends its events within about 200 ms of each other.
SILENCE_TIMEOUT_S = 0.2
PROBE_TIMEOUT_S = 0.2


class EngineMonitor(Service):
    """Probes silent engines and reports those that do not reply as down.

    Parameters
    ----------
    engines : EngineTable
        All engines.
    crash_watch : CrashWatch
        Receives the reports.
    session : aiohttp.ClientSession
        Connections to engines.
    dialect : EngineDialect
        Protocol of the engines.
    clock : Clock
        Source of time.
    """

    def __init__(self, engines, crash_watch, session, dialect, clock, **kwargs):
        super().__init__(**kwargs)
        self._engines = engines
        self._crash_watch = crash_watch
        self._session = session
        self._dialect = dialect
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
        """Probe an engine; report it down unless it replies or sends other data."""
        probed_at_s = self._clock.monotonic()
        reply = await probe(
            self._session,
            state.name,
            state.entry.address,
            self._dialect.report_path,
            PROBE_TIMEOUT_S,
        )
        state.is_probe_pending = False
        if reply.is_ok():
            state.last_received_s = self._clock.monotonic()
            return
        if state.last_received_s > probed_at_s:
            return
        logger.bind(engine=state.name, cause=repr(reply.error)).info(
            "engine probe failed"
        )
        self._crash_watch.report_down(state, "silent")
