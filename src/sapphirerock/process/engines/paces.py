"""Paces of engines, as measured by all hosts."""

from loguru import logger

from sapphirerock.decisions.enginepace import (
    choose_usual_pause,
    measure_slowness,
    needs_announcement,
    update_pause,
)
from sapphirerock.process.peers.gossip import EnginePaceUpdate

# The usual pace of a service is computed again after this time.
USUAL_INTERVAL_S = 0.5
MS_PER_S = 1e3
US_PER_S = 1e6


class EnginePaceTable:
    """Records the pauses of engines in their states, and exchanges them with peers.

    Only engines that state a pace of their machine are measured.

    Parameters
    ----------
    engines : EngineTable
        Registered engines.
    gossip : Gossip
        Announces measurements to all hosts.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_engines", "_gossip", "_clock", "_usual")

    def __init__(self, engines, gossip, clock):
        self._engines = engines
        self._gossip = gossip
        self._clock = clock
        # Usual pause by service, and monotonic time at which it was computed.
        self._usual = {}
        gossip.subscribe(EnginePaceUpdate, self._apply_update)

    def record_stream(self, state, head, sample):
        """Record the pauses of a stream on an engine.

        Parameters
        ----------
        state : EngineState
            The engine.
        head : ResponseHead
            Head of the response, which may state a pace.
        sample : PauseSample
            Pauses so far.
        """
        pause_s = sample.measure()
        if pause_s is None or head.load is None or head.load.pace is None:
            return
        state.pause_s = update_pause(state.pause_s, pause_s)
        if needs_announcement(state.announced_pause_s, state.pause_s):
            pause_us = round(state.pause_s * US_PER_S)
            entry = state.entry
            self._gossip.broadcast(
                EnginePaceUpdate(entry.name, entry.born_ms, pause_us)
            )
            logger.bind(
                engine=entry.name,
                pause_ms=round(state.pause_s * MS_PER_S, 1),
                slowness=round(self.measure_slowness(state), 2),
            ).info("engine pace changed")

    def _apply_update(self, update):
        """Apply what this or another host has measured."""
        state = self._engines.get(update.engine)
        pause_us = update.pause_us
        if state is None or state.entry.born_ms != update.born_ms:
            return
        if not isinstance(pause_us, int) or pause_us <= 0:
            return
        state.pause_s = state.announced_pause_s = pause_us / US_PER_S

    def measure_slowness(self, state):
        """Return how many times as long as usual an engine takes for its work."""
        if state.pause_s is None:
            return 1.0
        return measure_slowness(state.pause_s, self._find_usual(state.entry.service))

    def _find_usual(self, service):
        now_s = self._clock.monotonic()
        usual_s, computed_s = self._usual.get(service, (None, None))
        if computed_s is None or now_s - computed_s > USUAL_INTERVAL_S:
            pauses_s = [
                state.pause_s
                for state in self._engines.list_all()
                if state.entry.service == service and state.pause_s is not None
            ]
            usual_s = choose_usual_pause(pauses_s)
            self._usual[service] = usual_s, now_s
        return usual_s
