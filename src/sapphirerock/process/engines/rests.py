"""Engines that turn requests away and ask the sender for rest.

A rest binds the host that an engine got the request from. For a relayed request that is
the relaying host, which the host that has the call tells.
"""

from loguru import logger

from sapphirerock.connection.messages import EngineRest
from sapphirerock.process.tasks import BackgroundTasks


class EngineRestTable:
    """Records the rests that engines ask for.

    Parameters
    ----------
    engines : EngineTable
        Registered engines, whose states hold the end of their rests.
    peers : PeerTable
        Streams to relaying hosts.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_engines", "_peers", "_clock", "_tasks")

    def __init__(self, engines, peers, clock):
        self._engines = engines
        self._peers = peers
        self._clock = clock
        self._tasks = BackgroundTasks()
        peers.register_handler(EngineRest, self._handle_rest)

    def record_response(self, state, head, relay):
        """Record a rest that the response to a request of this host asks for.

        Parameters
        ----------
        relay : str or None
            Peer that relayed the request.
        """
        if head.rest_s is None or head.is_other_engine:
            return
        if head.invalid_rest is not None:
            logger.bind(engine=state.name, rest=head.invalid_rest[:100]).warning(
                "invalid engine rest replaced"
            )
        self._apply(state, head.rest_s, "response")
        if relay is not None:
            entry = state.entry
            message = EngineRest(entry.name, entry.born_ms, head.rest_s)
            self._tasks.spawn(self._notify(relay, message))

    def _apply(self, state, rest_s, source):
        """Extend the rest of an engine; of rests that overlap the longest binds."""
        now_s = self._clock.monotonic()
        if state.rest_until_s <= now_s:
            state.rest_probes = 0
        if now_s + rest_s <= state.rest_until_s:
            return
        state.rest_until_s = now_s + rest_s
        logger.bind(engine=state.name, rest_s=rest_s, source=source).info(
            "engine asked for rest"
        )

    async def _notify(self, relay, message):
        """Tell a relaying host of a rest that binds it."""
        reached = await self._peers.get_stream(relay)
        if reached.is_error():
            logger.bind(
                engine=message.engine, relay=relay, cause=repr(reached.error)
            ).info("relaying host not told of engine rest")
            return
        stream = reached.ok
        self._peers.count_bytes(stream, "engine-rest", stream.send(message))

    def _handle_rest(self, stream, message):
        state = self._engines.get(message.engine)
        if state is not None and state.entry.born_ms == message.born_ms:
            self._apply(state, message.rest_s, stream.host)
