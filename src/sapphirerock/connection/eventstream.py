"""Server-sent events of an engine's stream.

Client libraries for server-sent events own their connection, reconnect by
themselves and hide comment lines. A router decides on reconnects and needs the
comments: they are the engine's heartbeat. So events are split here, from the
bytes of an aiohttp response.
"""

import asyncio
from dataclasses import dataclass

import orjson
from aiohttp import ClientError
from expression import Error, Ok

from sapphirerock.connection.errors import UpstreamBroken, UpstreamSilent

EVENT_END = b"\n\n"
DATA_FIELD = b"data: "
DONE_FIELD = b"event: done\n"
COMMENT = b":"


@dataclass(slots=True, frozen=True)
class TokenEvent:
    """Tokens of a generation from an offset on."""

    generation_id: str
    offset: int
    tokens: list
    text: str


@dataclass(slots=True, frozen=True)
class DoneEvent:
    """The end of a generation."""

    generation_id: str
    tokens_total: int
    finish_reason: str


class EventStream:
    """One engine's answer, read event by event.

    Parameters
    ----------
    upstream : str
        Name of the engine.
    response : aiohttp.ClientResponse
        An open answer.
    """

    __slots__ = (
        "upstream",
        "incarnation",
        "received_bytes",
        "_response",
        "_loop",
        "_bound_s",
        "_heard_s",
        "_timer",
        "_is_silent",
    )

    def __init__(self, upstream, response):
        self.upstream = upstream
        self.incarnation = response.headers.get("Sapphirerock-Incarnation", "")
        self.received_bytes = 0
        self._response = response
        self._loop = asyncio.get_running_loop()
        self._bound_s = 0.0
        self._heard_s = 0.0
        self._timer = None
        self._is_silent = False

    async def read_event(self, silence_bound_s):
        """Return the next event; heartbeats only renew the bound.

        Returns
        -------
        expression.Result of TokenEvent, DoneEvent or ConnectionFailure
            `UpstreamSilent` when nothing came within the bound,
            `UpstreamBroken` when the connection ended.
        """
        self._watch_silence(silence_bound_s)
        while True:
            try:
                block = await self._response.content.readuntil(EVENT_END)
            except (ClientError, ValueError, OSError) as error:
                if self._is_silent:
                    return Error(UpstreamSilent(self.upstream, silence_bound_s))
                return Error(UpstreamBroken(self.upstream, repr(error)))
            self._heard_s = self._loop.time()
            self.received_bytes += len(block)
            if not block.endswith(EVENT_END):
                return Error(UpstreamBroken(self.upstream, "end of stream"))
            if not block.startswith(COMMENT):
                return self._decode(block)

    def _watch_silence(self, bound_s):
        """Keep one timer for the whole stream; one for each event costs more."""
        self._bound_s = bound_s
        if self._timer is None:
            self._heard_s = self._loop.time()
            self._timer = self._loop.call_later(bound_s, self._check_silence)

    def _check_silence(self):
        silent_s = self._loop.time() - self._heard_s
        if silent_s < self._bound_s:
            remaining_s = self._bound_s - silent_s
            self._timer = self._loop.call_later(remaining_s, self._check_silence)
        else:
            self._is_silent = True
            self._response.close()

    def _decode(self, block):
        try:
            if block.startswith(DONE_FIELD):
                data = orjson.loads(block[len(DONE_FIELD) + len(DATA_FIELD) :])
                return Ok(DoneEvent(**data))
            return Ok(TokenEvent(**orjson.loads(block[len(DATA_FIELD) :])))
        except (ValueError, TypeError) as error:
            return Error(UpstreamBroken(self.upstream, f"malformed event: {error!r}"))

    def close(self):
        """Close the connection."""
        if self._timer is not None:
            self._timer.cancel()
        self._response.close()
