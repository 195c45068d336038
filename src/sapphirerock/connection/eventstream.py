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

    __slots__ = ("upstream", "incarnation", "received_bytes", "_response")

    def __init__(self, upstream, response):
        self.upstream = upstream
        self.incarnation = response.headers.get("Sapphirerock-Incarnation", "")
        self.received_bytes = 0
        self._response = response

    async def read_event(self, silence_bound_s):
        """Return the next event; heartbeats only renew the bound.

        Returns
        -------
        expression.Result of TokenEvent, DoneEvent or ConnectionFailure
            `UpstreamSilent` when nothing came within the bound,
            `UpstreamBroken` when the connection ended.
        """
        while True:
            try:
                async with asyncio.timeout(silence_bound_s):
                    block = await self._response.content.readuntil(EVENT_END)
            except TimeoutError:
                return Error(UpstreamSilent(self.upstream, silence_bound_s))
            except (ClientError, ValueError, OSError) as error:
                return Error(UpstreamBroken(self.upstream, repr(error)))
            self.received_bytes += len(block)
            if not block.endswith(EVENT_END):
                return Error(UpstreamBroken(self.upstream, "end of stream"))
            if not block.startswith(COMMENT):
                return self._decode(block)

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
        self._response.close()
