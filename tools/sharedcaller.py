"""Callers of the shared platform."""

import asyncio
import time

from tools.rawclient import RawAnswer, RawConnection
from tools.sharedcluster import HOST, KEY

PROMPT_PREFIX = ("Sapphirerock-Prompt-Prefix", "5c1e07a2:80,91bd3f06:410")


def make_head(number, events=0, *extra, key=KEY, host=HOST, patience_ms=8000):
    """Return the headers of a call; `patience_ms` is how long its caller waits."""
    headers = [("Host", host), ("Sapphirerock-Attempt-Id", f"{number:016x}")]
    headers.append(("Sapphirerock-Deadline-Ms", str(patience_ms)))
    if key:
        headers.append(("Authorization", f"Token {key}"))
    if events:
        headers += [("Sapphirerock-Token-Usage", f"490,{events}"), PROMPT_PREFIX]
    return [*headers, *extra]


class StreamCaller:
    """Reads one stream in a task and measures the pauses between its events.

    Parameters
    ----------
    edge : PlannedEdge
        Edge to call.
    number : int
        Number of the call, which gives its attempt id.
    events : int
        Id of the stream's last event.
    after : int
        Id of the event after which the stream resumes; 0 for the beginning.

    Attributes
    ----------
    answer : RawAnswer
        Response received so far.
    longest_pause_s : float
        Longest time between two chunks, after the first event.
    """

    def __init__(self, edge, number, events, after=0):
        self.edge = edge
        self.attempt_id = f"{number:016x}"
        self.events = events
        self.answer = RawAnswer()
        self.longest_pause_s = 0.0
        self._number = number
        self._last_event_id = after
        self.task = asyncio.ensure_future(self._read_stream())

    async def _read_stream(self):
        extra = (
            [("Last-Event-Id", str(self._last_event_id))] if self._last_event_id else []
        )
        headers = make_head(self._number, self.events, *extra, patience_ms=30_000)
        async with RawConnection(self.edge) as connection:
            connection.send("POST", f"/review/{self._number}", headers, b"pattern")
            try:
                await connection.read_some_events(self.answer, 1)
                last_chunk_s, count = time.monotonic(), len(self.answer.events)
                while count < self.events - self._last_event_id:
                    await connection.read_chunk(self.answer)
                    now_s = time.monotonic()
                    self.longest_pause_s = max(
                        self.longest_pause_s, now_s - last_chunk_s
                    )
                    last_chunk_s, count = now_s, len(self.answer.events)
            except (asyncio.IncompleteReadError, OSError, ValueError):
                return
            await connection.read_rest(self.answer, 5.0)
