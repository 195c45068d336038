"""Client for generations that reconnects like a standard event-stream client."""

import asyncio
import time
import uuid
from dataclasses import dataclass, field

import orjson
from aiohttp import ClientError, ClientTimeout

from sapphirerock.standin.chain import find_broken_token

# Delay before each reconnect of a call, and the number after which it gives up.
RECONNECT_DELAY_S = 0.05
MAX_RECONNECTS = 200
# Routers send a heartbeat every second, so a longer silence means a dead connection.
READ_TIMEOUT_S = 2.0
FINAL_STATUSES = (400, 401, 403, 404, 413, 422)


@dataclass(slots=True)
class CallRecord:
    """Responses received for one generation over all of its connections.

    Parameters
    ----------
    key, prompt : str
        Idempotency key and prompt of the call.
    started_s, ended_s : float
        Monotonic times of the start and of the final response; `ended_s` is 0
        without a final response.
    tokens : list of int
        All tokens, in the order of their arrival.
    arrivals : list of (float, int)
        Monotonic time of each event, and the number of tokens received by then.
    texts : list of str
        Text of each token event, in the order of arrival.
    generation_ids : set of str
        Ids of all generations that sent tokens.
    reconnects : int
        Connections that ended without a final response.
    status : int
        HTTP status of the latest response.
    problem : dict or None
        Problem document of the latest error response or error event.
    retry_after : str or None
        Time after which to retry, as the latest error states it, in seconds.
    finish_reason : str
        Reason that the final event states; empty before it.
    tokens_total : int
        Number of tokens that the final event states; -1 before it.
    last_event_id : str
        Id of the latest token event, from which a reconnect resumes.
    router_urls : list of str
        Address of the router of each response, in order.
    headers : list of dict
        Headers of each response, in order.
    """

    key: str
    prompt: str
    started_s: float
    tokens: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)
    texts: list = field(default_factory=list)
    generation_ids: set = field(default_factory=set)
    reconnects: int = 0
    status: int = 0
    problem: dict | None = None
    retry_after: str | None = None
    finish_reason: str = ""
    tokens_total: int = -1
    ended_s: float = 0.0
    last_event_id: str = ""
    router_urls: list = field(default_factory=list)
    headers: list = field(default_factory=list)

    @property
    def is_whole(self):
        """Whether the stream ended normally with all tokens, each of them correct."""
        return (
            bool(self.finish_reason)
            and self.tokens_total == len(self.tokens)
            and find_broken_token(self.prompt, self.tokens) is None
        )

    @property
    def first_token_s(self):
        """Seconds from the start to the first token event; None without one."""
        return self.arrivals[0][0] - self.started_s if self.arrivals else None

    def find_gap_after(self, moment_s):
        """Return the seconds from a monotonic time to the next event, or None."""
        later = [at_s for at_s, _ in self.arrivals if at_s > moment_s]
        return later[0] - moment_s if later else None

    @property
    def longest_gap_s(self):
        """Longest time between two successive events, in seconds; 0 without two."""
        times = [at_s for at_s, _ in self.arrivals]
        gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
        return max(gaps, default=0.0)


class Caller:
    """Sends the calls of one organisation to a list of routers.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session for all calls.
    urls : list of str
        Addresses of the routers, used in rotation.
    organisation_key : str
        API key of the organisation.
    model : str
        Name of the requested model.
    uses_last_event_id : bool
        Whether a reconnect sends `Last-Event-ID` to resume the stream. Otherwise
        the stream is read again from its beginning.

    Attributes
    ----------
    records : list of CallRecord
        All calls, including those in progress.
    traceparent : str
        Trace context sent with each call; not sent when empty.
    """

    def __init__(self, session, urls, organisation_key, model, uses_last_event_id=True):
        self._session = session
        self._router_urls = list(urls)
        self._organisation_key = organisation_key
        self.model = model
        self._uses_last_event_id = uses_last_event_id
        self.records = []
        self.traceparent = ""

    async def generate(
        self,
        prompt,
        max_tokens,
        key=None,
        first_router=0,
        start_timeout_s=None,
        priority=0,
    ):
        """Read one generation to its end, reconnecting when a connection fails.

        Parameters
        ----------
        prompt : str
            Prompt of the generation.
        max_tokens : int
            Number of tokens to generate.
        key : str or None
            Idempotency key; a random one by default.
        first_router : int
            Index of the router to call first, modulo the number of routers.
        start_timeout_s : float or None
            Value of the `Request-Timeout` header, in seconds; not sent when None.
        priority : int
            Priority of the request.

        Returns
        -------
        CallRecord
            Its ``ended_s`` is 0 if all reconnects failed.
        """
        record = CallRecord(key or uuid.uuid4().hex, prompt, time.monotonic())
        self.records.append(record)
        body = {
            "model": self.model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
            "priority": priority,
        }
        router_index = first_router
        while record.reconnects <= MAX_RECONNECTS:
            url = self._router_urls[router_index % len(self._router_urls)]
            if await self._read_connection(url, body, record, start_timeout_s):
                record.ended_s = time.monotonic()
                return record
            record.reconnects += 1
            router_index += 1
            await asyncio.sleep(RECONNECT_DELAY_S)
        return record

    def _make_headers(self, record, start_timeout_s):
        headers = {
            "Authorization": f"Bearer {self._organisation_key}",
            "Idempotency-Key": record.key,
        }
        if record.last_event_id and self._uses_last_event_id:
            headers["Last-Event-ID"] = record.last_event_id
        if start_timeout_s is not None:
            headers["Request-Timeout"] = str(start_timeout_s)
        if self.traceparent:
            headers["traceparent"] = self.traceparent
        return headers

    async def _read_connection(self, url, body, record, start_timeout_s):
        """Read one connection; return whether its response is final."""
        try:
            async with self._session.post(
                f"{url}/v1/completions",
                json=body,
                headers=self._make_headers(record, start_timeout_s),
                timeout=ClientTimeout(total=None, sock_read=READ_TIMEOUT_S),
            ) as response:
                record.status = response.status
                record.router_urls.append(url)
                record.headers.append(dict(response.headers))
                if response.status != 200:
                    return self._record_refusal(response, await response.read(), record)
                if not self._uses_last_event_id:
                    record.tokens.clear()
                    record.texts.clear()
                return await self._read_events(response, record)
        except (ClientError, TimeoutError, OSError):
            return False

    def _record_refusal(self, response, content, record):
        """Record an error response; return whether it is final.

        It is not if another router can continue: this one is draining, or another
        connection took the generation over.
        """
        record.problem = orjson.loads(content) if content else {}
        record.retry_after = response.headers.get("Retry-After")
        problem_type = record.problem.get("type", "").rsplit(":", 1)[-1]
        return problem_type not in ("leaving", "superseded")

    async def _read_events(self, response, record):
        """Read the event stream; return whether it ended with a final event."""
        event, data, event_id = "", b"", ""
        async for line in response.content:
            line = line.rstrip(b"\n")
            if line.startswith(b"id: "):
                event_id = line[4:].decode()
            elif line.startswith(b"event: "):
                event = line[7:].decode()
            elif line.startswith(b"data: "):
                data = line[6:]
            elif not line and data:
                if self._record_event(event, orjson.loads(data), event_id, record):
                    return True
                event, data = "", b""
        return False

    def _record_event(self, event, data, event_id, record):
        """Record an event; return whether it is the final one."""
        if event == "done":
            record.tokens_total = data["tokens_total"]
            record.finish_reason = data["finish_reason"]
            return True
        if event == "error":
            record.problem = data
            record.retry_after = str(data.get("retry_after", ""))
            return not data["type"].endswith("superseded")
        record.tokens.extend(data["tokens"])
        record.texts.append(data["text"])
        record.generation_ids.add(data["generation_id"])
        record.arrivals.append((time.monotonic(), len(record.tokens)))
        record.last_event_id = event_id
        return False
