"""Callers of the shared platform."""

import asyncio
import time

from tools.rawclient import RawConnection, RawResponse
from tools.sharedcluster import CALLER_KEY, HOST_HEADER

PROMPT_PREFIX_HEADER = ("Sapphirerock-Prompt-Prefix", "5c1e07a2:80,91bd3f06:410")


def make_headers(
    number, event_count=0, *extra, key=CALLER_KEY, host=HOST_HEADER, timeout_ms=8000
):
    """Return the headers of a call as (name, value) pairs.

    Parameters
    ----------
    number : int
        Number of the call, which gives its attempt id.
    event_count : int
        Number of events of a stream; 0 for a call without a prompt.
    extra : (str, str)
        Further headers.
    key : str
        API key of the caller; empty for none.
    host : str
        Value of the Host header.
    timeout_ms : int
        How long the caller waits for the response.
    """
    headers = [("Host", host), ("Sapphirerock-Attempt-Id", f"{number:016x}")]
    headers.append(("Sapphirerock-Deadline-Ms", str(timeout_ms)))
    if key:
        headers.append(("Authorization", f"Token {key}"))
    if event_count:
        headers += [
            ("Sapphirerock-Token-Usage", f"490,{event_count}"),
            PROMPT_PREFIX_HEADER,
        ]
    return [*headers, *extra]


class StreamCaller:
    """Reads one stream in a task and measures the pauses between its chunks.

    If the connection fails, the task ends and the response stays incomplete.

    Parameters
    ----------
    edge : PlannedEdge
        Edge to call.
    number : int
        Number of the call, which gives its attempt id.
    event_count : int
        Number of events of the whole stream, which is the id of its last event.
    last_event_id : int
        Id of the event after which the stream resumes; 0 for the beginning.

    Attributes
    ----------
    response : RawResponse
        Response received so far.
    longest_pause_s : float
        Longest time between two chunks after the first event, in seconds.
    """

    def __init__(self, edge, number, event_count, last_event_id=0):
        self.edge = edge
        self.attempt_id = f"{number:016x}"
        self.event_count = event_count
        self.response = RawResponse()
        self.longest_pause_s = 0.0
        self._number = number
        self._last_event_id = last_event_id
        self.task = asyncio.ensure_future(self._read_stream())

    async def _read_stream(self):
        extra = (
            [("Last-Event-Id", str(self._last_event_id))] if self._last_event_id else []
        )
        headers = make_headers(
            self._number, self.event_count, *extra, timeout_ms=30_000
        )
        async with RawConnection(self.edge) as connection:
            connection.send("POST", f"/review/{self._number}", headers, b"pattern")
            try:
                await connection.read_first_events(self.response, 1)
                last_chunk_s, count = time.monotonic(), len(self.response.events)
                while count < self.event_count - self._last_event_id:
                    await connection.read_chunk(self.response)
                    now_s = time.monotonic()
                    self.longest_pause_s = max(
                        self.longest_pause_s, now_s - last_chunk_s
                    )
                    last_chunk_s, count = now_s, len(self.response.events)
            except (asyncio.IncompleteReadError, OSError, ValueError):
                return
            await connection.read_rest(self.response, 5.0)
