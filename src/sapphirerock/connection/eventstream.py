"""Reads server-sent events from an engine's response.

Client libraries for server-sent events own their connection, reconnect by
themselves and hide comment lines. A router decides itself when to reconnect, and
needs the comments because they are the engine's heartbeats. So this module splits
the bytes of an aiohttp response into events.
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
    """Tokens of a generation that begin at an offset."""

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
    """One engine's streamed response, read event by event.

    Parameters
    ----------
    upstream : str
        Name of the engine.
    response : aiohttp.ClientResponse
        An open response.

    Attributes
    ----------
    incarnation : str
        Incarnation of the engine; empty when it sent none.
    received_bytes : int
        Number of bytes read so far.
    """

    __slots__ = (
        "upstream",
        "incarnation",
        "received_bytes",
        "_response",
        "_loop",
        "_silence_bound_s",
        "_last_received_s",
        "_silence_timer",
        "_is_silent",
    )

    def __init__(self, upstream, response):
        self.upstream = upstream
        self.incarnation = response.headers.get("Sapphirerock-Incarnation", "")
        self.received_bytes = 0
        self._response = response
        self._loop = asyncio.get_running_loop()
        self._silence_bound_s = 0.0
        self._last_received_s = 0.0
        self._silence_timer = None
        self._is_silent = False

    async def read_event(self, silence_bound_s):
        """Return the next token or done event.

        Heartbeats restart the timeout and are not returned.

        Parameters
        ----------
        silence_bound_s : float
            Longest time without any bytes, in seconds.

        Returns
        -------
        expression.Result of TokenEvent, DoneEvent or ConnectionFailure
            `UpstreamSilent` when nothing arrived in time, `UpstreamBroken` when
            the connection ended early or an event is malformed.
        """
        self._set_silence_bound(silence_bound_s)
        while True:
            try:
                block = await self._response.content.readuntil(EVENT_END)
            except (ClientError, ValueError, OSError) as error:
                if self._is_silent:
                    return Error(UpstreamSilent(self.upstream, silence_bound_s))
                return Error(UpstreamBroken(self.upstream, repr(error)))
            self._last_received_s = self._loop.time()
            self.received_bytes += len(block)
            if not block.endswith(EVENT_END):
                return Error(UpstreamBroken(self.upstream, "end of stream"))
            if not block.startswith(COMMENT):
                return self._decode(block)

    def _set_silence_bound(self, bound_s):
        """Set the timeout and start the timer if it is not running.

        One timer serves the whole stream; a timer for each event would cost more.
        """
        self._silence_bound_s = bound_s
        if self._silence_timer is None:
            self._last_received_s = self._loop.time()
            self._silence_timer = self._loop.call_later(bound_s, self._check_silence)

    def _check_silence(self):
        silent_s = self._loop.time() - self._last_received_s
        if silent_s < self._silence_bound_s:
            remaining_s = self._silence_bound_s - silent_s
            self._silence_timer = self._loop.call_later(
                remaining_s, self._check_silence
            )
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
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._response.close()
