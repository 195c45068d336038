"""A caller that reconnects as standard event-stream clients do."""

import asyncio
import time
import uuid
from dataclasses import dataclass, field

import orjson
from aiohttp import ClientError, ClientTimeout

from sapphirerock.standin.chain import find_broken_token

RECONNECT_PAUSE_S = 0.05
MAX_RECONNECTS = 200
# Routers send a heartbeat every second.
READ_BOUND_S = 2.0
FINAL_STATUSES = (400, 401, 403, 404, 413, 422)


@dataclass(slots=True)
class CallRecord:
    """What one caller saw of one generation.

    Parameters
    ----------
    tokens : list of int
        All tokens, in the order of their arrival.
    arrivals : list of (float, int)
        Monotonic time of each event and the tokens so far.
    problem : dict or None
        The problem document of the final answer.
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
    hosts: list = field(default_factory=list)
    headers: list = field(default_factory=list)

    @property
    def is_whole(self):
        """Whether the answer ended as it should, with every token in place."""
        return (
            bool(self.finish_reason)
            and self.tokens_total == len(self.tokens)
            and find_broken_token(self.prompt, self.tokens) is None
        )

    @property
    def first_token_s(self):
        """Seconds to the first token; None without one."""
        return self.arrivals[0][0] - self.started_s if self.arrivals else None

    def find_gap_after(self, moment_s):
        """Return the time from a moment to the next event, and None without one."""
        later = [at_s for at_s, _ in self.arrivals if at_s > moment_s]
        return later[0] - moment_s if later else None

    @property
    def longest_gap_s(self):
        """Longest time between two events."""
        times = [at_s for at_s, _ in self.arrivals]
        gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
        return max(gaps, default=0.0)


class Caller:
    """One organisation's calls through any of some routers.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections to use.
    urls : list of str
        Routers, tried in turn.
    organisation_key : str
        Key of the organisation.
    model : str
        Model to ask for.
    uses_last_event_id : bool
        Whether a reconnect says where it stopped; otherwise the answer is read
        anew from its beginning.

    Attributes
    ----------
    records : list of CallRecord
        All calls, those under way included.
    traceparent : str
        Trace context to send; none when empty.
    """

    def __init__(self, session, urls, organisation_key, model, uses_last_event_id=True):
        self._session = session
        self._urls = list(urls)
        self._organisation_key = organisation_key
        self.model = model
        self._uses_last_event_id = uses_last_event_id
        self.records = []
        self.traceparent = ""

    async def generate(
        self, prompt, max_tokens, key=None, first=0, start_timeout_s=None, priority=0
    ):
        """Read one generation to its end over as many connections as it takes.

        Returns
        -------
        CallRecord
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
        turn = first
        while record.reconnects <= MAX_RECONNECTS:
            url = self._urls[turn % len(self._urls)]
            if await self._read_once(url, body, record, start_timeout_s):
                record.ended_s = time.monotonic()
                return record
            record.reconnects += 1
            turn += 1
            await asyncio.sleep(RECONNECT_PAUSE_S)
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

    async def _read_once(self, url, body, record, start_timeout_s):
        """Read one connection; return whether the answer is final."""
        try:
            async with self._session.post(
                f"{url}/v1/completions",
                json=body,
                headers=self._make_headers(record, start_timeout_s),
                timeout=ClientTimeout(total=None, sock_read=READ_BOUND_S),
            ) as response:
                record.status = response.status
                record.hosts.append(url)
                record.headers.append(dict(response.headers))
                if response.status != 200:
                    return self._take_refusal(response, await response.read(), record)
                if not self._uses_last_event_id:
                    record.tokens.clear()
                    record.texts.clear()
                return await self._read_events(response, record)
        except (ClientError, TimeoutError, OSError):
            return False

    def _take_refusal(self, response, content, record):
        record.problem = orjson.loads(content) if content else {}
        record.retry_after = response.headers.get("Retry-After")
        kind = record.problem.get("type", "").rsplit(":", 1)[-1]
        return kind not in ("leaving", "superseded")

    async def _read_events(self, response, record):
        event, data, identity = "", b"", ""
        async for line in response.content:
            line = line.rstrip(b"\n")
            if line.startswith(b"id: "):
                identity = line[4:].decode()
            elif line.startswith(b"event: "):
                event = line[7:].decode()
            elif line.startswith(b"data: "):
                data = line[6:]
            elif not line and data:
                if self._take_event(event, orjson.loads(data), identity, record):
                    return True
                event, data = "", b""
        return False

    def _take_event(self, event, data, identity, record):
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
        record.last_event_id = identity
        return False
