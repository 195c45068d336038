"""HTTP client of a model engine."""

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
from sapphirerock.connection.upstream import REPORT_LIMIT_BYTES, read_body
from sapphirerock.process.telemetry.tracing import inject_trace_context

# For calls that are not streamed.
CALL_TIMEOUT_S = 1.0
# Size of the read buffer, which limits the length of an event.
EVENT_LIMIT_BYTES = 1 << 18


@dataclass(slots=True, frozen=True)
class EngineRequest:
    """Request for a generation; the fields are the keys of its JSON document.

    Parameters
    ----------
    max_tokens : int
        Maximum number of tokens of the generation, the prefix included.
    priority : int
        Priority in the engine's queue; higher numbers are served first.
    seed : int or None
        Seed of the sampling; None to let the engine choose one.
    prefix_tokens : list of int
        Tokens generated so far; the engine continues after them.
    echo_offset : int
        Offset of the first token that the engine sends; at most the length of the
        prefix, whose tokens from this offset on are sent with their text.
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
        """Return the JSON body."""
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
    """Load that an engine reports; the fields are the keys of its JSON document.

    Parameters
    ----------
    incarnation : str
        Id that changes when the engine restarts.
    leaving : bool
        Whether the engine is draining.
    running, queued, capacity : int
        Generations that the engine runs, generations in its queue, and generations
        that it can run concurrently.
    kv_free : int
        Free capacity of its KV memory.
    models : list of str
        Names of the models that it has loaded.
    sampled_at : float
        Wall-clock time at the engine, in seconds since the epoch.
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
    """Client of one engine.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session to send with.
    upstream : Upstream
        Name and address of the engine.
    """

    __slots__ = ("_session", "_upstream")

    def __init__(self, session, upstream):
        self._session = session
        self._upstream = upstream

    async def open_stream(self, request, timeout_s):
        """Start a generation, or continue one after the prefix in the request.

        Parameters
        ----------
        request : EngineRequest
            The request.
        timeout_s : float
            Time limit for the head of the response, in seconds.

        Returns
        -------
        expression.Result of EventStream or ConnectionFailure
        """
        return await self._request_stream(
            "POST", "/v1/completions", timeout_s, data=request.encode()
        )

    async def resume_stream(self, generation_id, offset, timeout_s):
        """Reconnect to a generation that this engine still runs or has kept.

        Parameters
        ----------
        generation_id : str
            Id of the generation.
        offset : int
            Offset of the first token to send.
        timeout_s : float
            Time limit for the head of the response, in seconds.

        Returns
        -------
        expression.Result of EventStream or ConnectionFailure
        """
        path = f"/v1/generations/{generation_id}?offset={offset}"
        return await self._request_stream("GET", path, timeout_s)

    async def cancel(self, generation_id):
        """Ask the engine to cancel a generation; failures are ignored."""
        url = f"{self._upstream.url}/v1/generations/{generation_id}"
        try:
            async with self._session.delete(
                url, timeout=ClientTimeout(total=CALL_TIMEOUT_S)
            ):
                return
        except (TimeoutError, ClientError, OSError):
            return

    async def read_load(self, timeout_s=CALL_TIMEOUT_S):
        """Request a load report.

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
                read = await read_body(
                    self._upstream.name, response, REPORT_LIMIT_BYTES
                )
                return read.map(lambda body: LoadReport(**orjson.loads(body)))
        except (TimeoutError, ClientError, OSError) as error:
            return Error(self._classify_error(error, timeout_s))
        except (ValueError, TypeError) as error:
            return Error(UpstreamBroken(self._upstream.name, repr(error)))

    async def send_order(self, fencing_number, kind, target, timeout_s):
        """Send an order to load or unload a model.

        Parameters
        ----------
        fencing_number : int
            Number of the sender's lease. An engine that checks it rejects an order
            with a lower number than that of an earlier order.
        kind : str
            ``load-model`` or ``unload-model``.
        target : str
            Name of the model.
        timeout_s : float
            Time limit for the response, in seconds.

        Returns
        -------
        expression.Result of int or ConnectionFailure
            HTTP status of the response.
        """
        body = {"fencing_number": fencing_number, "kind": kind, "target": target}
        try:
            async with self._session.post(
                f"{self._upstream.url}/v1/orders",
                json=body,
                timeout=ClientTimeout(total=timeout_s),
            ) as response:
                read = await read_body(
                    self._upstream.name, response, REPORT_LIMIT_BYTES
                )
                return read.map(lambda body: response.status)
        except (TimeoutError, ClientError, OSError) as error:
            return Error(self._classify_error(error, timeout_s))

    async def _request_stream(self, method, path, timeout_s, data=None):
        headers = inject_trace_context({"Content-Type": "application/json"})
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._session.request(
                    method,
                    self._upstream.url + path,
                    data=data,
                    headers=headers,
                    timeout=ClientTimeout(total=None),
                    read_bufsize=EVENT_LIMIT_BYTES,
                )
        except (ClientError, TimeoutError, OSError) as error:
            return Error(self._classify_error(error, timeout_s))
        if response.status != 200:
            is_draining = await reports_draining(response)
            return Error(
                UpstreamRefused(self._upstream.name, response.status, is_draining)
            )
        return Ok(EventStream(self._upstream.name, response))

    def _classify_error(self, error, timeout_s):
        name = self._upstream.name
        if isinstance(error, ClientConnectorError):
            refused = isinstance(error.os_error, ConnectionRefusedError)
            return UpstreamUnreachable(name, refused)
        if isinstance(error, asyncio.TimeoutError):
            return UpstreamSilent(name, timeout_s, is_new_connection=True)
        return UpstreamBroken(name, repr(error))


async def reports_draining(response):
    """Read and close an error response; return whether the engine is draining."""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            read = await read_body("", response, REPORT_LIMIT_BYTES)
        document = orjson.loads(read.ok) if read.is_ok() else None
        return isinstance(document, dict) and document.get("leaving") is True
    except (ClientError, TimeoutError, OSError, ValueError):
        return False
    finally:
        response.close()
