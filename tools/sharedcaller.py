"""A caller of the shared platform."""

import asyncio
import time

from tools.rawclient import RawAnswer, RawConnection
from tools.sharedcluster import HOST, KEY

PROMPT = ("Sapphirerock-Prompt-Prefix", "5c1e07a2:80,91bd3f06:410")


def make_head(number, events=0, *extra, key=KEY, host=HOST, patience_ms=8000):
    """Return the head of a call."""
    headers = [("Host", host), ("Sapphirerock-Attempt-Id", f"{number:016x}")]
    headers.append(("Sapphirerock-Deadline-Ms", str(patience_ms)))
    if key:
        headers.append(("Authorization", f"Token {key}"))
    if events:
        headers += [("Sapphirerock-Token-Usage", f"490,{events}"), PROMPT]
    return [*headers, *extra]


class StreamCaller:
    """A caller that reads one stream and notes when events came."""

    def __init__(self, edge, number, events, after=0):
        self.edge = edge
        self.attempt_id = f"{number:016x}"
        self.events = events
        self.answer = RawAnswer()
        self.longest_pause_s = 0.0
        self._number = number
        self._after = after
        self.task = asyncio.ensure_future(self._read())

    async def _read(self):
        extra = [("Last-Event-Id", str(self._after))] if self._after else []
        head = make_head(self._number, self.events, *extra, patience_ms=30_000)
        async with RawConnection(self.edge) as connection:
            connection.send("POST", f"/review/{self._number}", head, b"pattern")
            try:
                await connection.read_some_events(self.answer, 1)
                last_s, count = time.monotonic(), len(self.answer.events)
                while count < self.events - self._after:
                    await connection.read_some_chunk(self.answer)
                    now_s = time.monotonic()
                    self.longest_pause_s = max(self.longest_pause_s, now_s - last_s)
                    last_s, count = now_s, len(self.answer.events)
            except (asyncio.IncompleteReadError, OSError, ValueError):
                return
            await connection.read_rest(self.answer, 5.0)
