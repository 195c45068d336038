"""Reads server-sent events from an engine's response.

Client libraries for server-sent events open and reopen the connection themselves and
hide comments. A router has to decide when to reconnect, and needs the comments, which
are the engine's heartbeats. So this module splits the bytes of an aiohttp response
into events.
"""

import asyncio
from dataclasses import dataclass

import orjson
from aiohttp import ClientError
from expression import Error, Ok

from sapphirerock.connection.errors import UpstreamBroken, UpstreamSilent
from sapphirerock.decisions.streamprogress import WASTE_LIMIT_BYTES

EVENT_END = b"\n\n"
DATA_FIELD = b"data: "
DONE_FIELD = b"event: done\n"
COMMENT_PREFIX = b":"


@dataclass(slots=True, frozen=True)
class TokenEvent:
    """Tokens of a generation; the first one has the given offset."""

    generation_id: str
    offset: int
    tokens: list
    text: str


@dataclass(slots=True, frozen=True)
class DoneEvent:
    """End of a generation; the total counts its tokens from its start."""

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
        Id that changes when the engine restarts; empty when it sent none.
    received_bytes : int
        Number of bytes read so far.
    """

    __slots__ = (
        "upstream",
        "incarnation",
        "received_bytes",
        "_response",
        "_loop",
        "_silence_timeout_s",
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
        self._silence_timeout_s = 0.0
        self._last_received_s = 0.0
        self._silence_timer = None
        self._is_silent = False

    async def read_event(self, silence_timeout_s):
        """Return the next token or done event.

        Heartbeats restart the timeout and are not returned.

        Parameters
        ----------
        silence_timeout_s : float
            Longest time without any bytes, in seconds.

        Returns
        -------
        expression.Result of TokenEvent, DoneEvent or ConnectionFailure
            `UpstreamSilent` when nothing arrived in time, `UpstreamBroken` when
            the connection ended early, an event is malformed or only comments arrive.
        """
        self._set_silence_timeout(silence_timeout_s)
        comment_bytes = 0
        while True:
            try:
                block = await self._response.content.readuntil(EVENT_END)
            except (ClientError, ValueError, OSError) as error:
                if self._is_silent:
                    return Error(UpstreamSilent(self.upstream, silence_timeout_s))
                return Error(UpstreamBroken(self.upstream, repr(error)))
            self._last_received_s = self._loop.time()
            self.received_bytes += len(block)
            if not block.endswith(EVENT_END):
                return Error(UpstreamBroken(self.upstream, "end of stream"))
            if not block.startswith(COMMENT_PREFIX):
                return self._decode_event(block)
            comment_bytes += len(block)
            if comment_bytes > WASTE_LIMIT_BYTES:
                return Error(UpstreamBroken(self.upstream, "comments without end"))

    def _set_silence_timeout(self, timeout_s):
        """Set the timeout and start the timer if it is not running.

        The timer is not restarted with each event, which would cost more: it checks
        the time of the last event when it fires.
        """
        self._silence_timeout_s = timeout_s
        if self._silence_timer is None:
            self._last_received_s = self._loop.time()
            self._silence_timer = self._loop.call_later(timeout_s, self._check_silence)

    def _check_silence(self):
        silent_s = self._loop.time() - self._last_received_s
        if silent_s < self._silence_timeout_s:
            remaining_s = self._silence_timeout_s - silent_s
            self._silence_timer = self._loop.call_later(
                remaining_s, self._check_silence
            )
        else:
            self._is_silent = True
            self._response.close()

    def _decode_event(self, block):
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
