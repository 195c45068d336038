"""Callers of the platform for the cases."""

import asyncio
import time
import uuid

from platformwire import encode_head, read_head

KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
PATH_PREFIX = "/puxa403/"


class Answer:
    """What a caller received of one attempt.

    Attributes
    ----------
    status : int
        HTTP status; 0 without an answer.
    is_whole : bool
        Whether the framing shows the end of the answer.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.is_whole = False


async def call(record, address, deadline_ms, path, body):
    """Send one attempt at a call on a new connection; return id and `Answer`."""
    attempt, answer = uuid.uuid4().hex[:16], Answer()
    headers = [
        ("Host", HOST),
        ("Sapphirerock-Attempt-Id", attempt),
        ("Sapphirerock-Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Token {KEY}"),
        ("Content-Length", str(len(body))),
    ]
    record("sent", {"attempt": attempt, "path": path, "host": address})
    began_s = time.monotonic()
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            await _exchange(address, path, headers, body, answer)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        pass
    fields = {"attempt": attempt, "status": answer.status, "whole": answer.is_whole}
    fields |= {"after_s": round(time.monotonic() - began_s, 3)}
    record("answered", fields)
    return attempt, answer


async def _exchange(address, path, headers, body, answer):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(encode_head(f"POST {path} HTTP/1.1", headers) + body)
        head = await read_head(reader)
        if head is None:
            return
        answer.status, answer.headers = head.status, head.headers
        await reader.readexactly(int(head.headers.get("content-length", 0)))
        answer.is_whole = True
    finally:
        writer.close()
