"""Calls to one model engine."""

import asyncio
from dataclasses import dataclass

import orjson
from aiohttp import ClientConnectorError, ClientError, ClientTimeout
from expression import Error, Ok

from sapphirerock.connection.errors import (
    UpstreamBroken,
    UpstreamRefused,
    UpstreamSilent,
    UpstreamUnreachable,
)
from sapphirerock.connection.eventstream import EventStream
from sapphirerock.process.telemetry.tracing import write_context

CALL_TIMEOUT_S = 1.0
EVENT_LIMIT_BYTES = 1 << 18


@dataclass(slots=True, frozen=True)
class EngineRequest:
    """What an engine is asked to generate.

    Parameters
    ----------
    prefix_tokens : list of int
        Tokens that the answer begins with; the engine goes on after them.
    echo_offset : int
        Offset of the first token that the engine sends, with its text; at most
        the length of the prefix.
    """

    request_id: str
    generation_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    seed: int | None
    prefix_tokens: list
    echo_offset: int

    def encode(self):
        """Return the body of the call."""
        document = {
            "request_id": self.request_id,
            "generation_id": self.generation_id,
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "priority": self.priority,
            "stream": True,
            "prefix_tokens": self.prefix_tokens,
            "echo_offset": self.echo_offset,
        }
        if self.seed is not None:
            document["seed"] = self.seed
        return orjson.dumps(document)


@dataclass(slots=True, frozen=True)
class LoadReport:
    """An engine's own word on its load.

    Parameters
    ----------
    sampled_at : float
        The engine's wall time, in seconds since the epoch.
    """

    upstream: str
    incarnation: str
    leaving: bool
    running: int
    queued: int
    capacity: int
    kv_free: int
    models: list
    sampled_at: float


class EngineClient:
    """Calls to one engine.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections to use.
    upstream : Upstream
        The engine's name and address.
    """

    __slots__ = ("_session", "_upstream")

    def __init__(self, session, upstream):
        self._session = session
        self._upstream = upstream

    async def open_stream(self, request, bound_s):
        """Start a generation, or continue one after a prefix.

        Returns
        -------
        expression.Result of EventStream or ConnectionFailure
        """
        return await self._open(
            "POST", "/v1/completions", bound_s, data=request.encode()
        )

    async def resume_stream(self, generation_id, offset, bound_s):
        """Take up a generation that this engine still holds."""
        path = f"/v1/generations/{generation_id}?offset={offset}"
        return await self._open("GET", path, bound_s)

    async def cancel(self, generation_id):
        """Ask the engine to forget a generation; return whether it answered."""
        url = f"{self._upstream.url}/v1/generations/{generation_id}"
        try:
            async with self._session.delete(
                url, timeout=ClientTimeout(total=CALL_TIMEOUT_S)
            ):
                return
        except (TimeoutError, ClientError, OSError):
            return

    async def read_load(self, timeout_s=CALL_TIMEOUT_S):
        """Ask for a load report.

        Returns
        -------
        expression.Result of LoadReport or ConnectionFailure
        """
        try:
            async with self._session.get(
                f"{self._upstream.url}/v1/load", timeout=ClientTimeout(total=timeout_s)
            ) as response:
                if response.status != 200:
                    return Error(UpstreamRefused(self._upstream.name, response.status))
                return Ok(LoadReport(**orjson.loads(await response.read())))
        except (TimeoutError, ClientError, OSError) as error:
            return Error(self._translate(error, timeout_s))
        except (ValueError, TypeError) as error:
            return Error(UpstreamBroken(self._upstream.name, repr(error)))

    async def send_order(self, fencing_number, kind, target, timeout_s):
        """Send a control order.

        Returns
        -------
        expression.Result of int or ConnectionFailure
            The status.
        """
        body = {"fencing_number": fencing_number, "kind": kind, "target": target}
        try:
            async with self._session.post(
                f"{self._upstream.url}/v1/orders",
                json=body,
                timeout=ClientTimeout(total=timeout_s),
            ) as response:
                await response.read()
                return Ok(response.status)
        except (TimeoutError, ClientError, OSError) as error:
            return Error(self._translate(error, timeout_s))

    async def _open(self, method, path, bound_s, data=None):
        headers = write_context({"Content-Type": "application/json"})
        try:
            async with asyncio.timeout(bound_s):
                response = await self._session.request(
                    method,
                    self._upstream.url + path,
                    data=data,
                    headers=headers,
                    timeout=ClientTimeout(total=None),
                    read_bufsize=EVENT_LIMIT_BYTES,
                )
        except (ClientError, TimeoutError, OSError) as error:
            return Error(self._translate(error, bound_s))
        if response.status != 200:
            leaving = await says_leaving(response)
            return Error(UpstreamRefused(self._upstream.name, response.status, leaving))
        return Ok(EventStream(self._upstream.name, response))

    def _translate(self, error, bound_s):
        name = self._upstream.name
        if isinstance(error, ClientConnectorError):
            refused = isinstance(error.os_error, ConnectionRefusedError)
            return UpstreamUnreachable(name, refused)
        if isinstance(error, asyncio.TimeoutError):
            return UpstreamSilent(name, bound_s, is_new_connection=True)
        return UpstreamBroken(name, repr(error))


async def says_leaving(response):
    """Return whether a refusal says that the engine is leaving."""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            document = orjson.loads(await response.read())
        return isinstance(document, dict) and document.get("leaving") is True
    except (ClientError, TimeoutError, OSError, ValueError):
        return False
    finally:
        response.close()
