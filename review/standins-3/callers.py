"""Callers of the platform for the cases."""

import asyncio
import time
import uuid

from platformwire import encode_head, read_head

KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
STREAM_PREFIX = "/lohu930/"
LOOKUP_PREFIX = "/puxa403/"


class Answer:
    """What a caller received of one attempt.

    Attributes
    ----------
    status : int
        HTTP status; 0 without an answer.
    events : list of int
        Numbers of the received events.
    is_whole : bool
        Whether the framing shows the end of the answer.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.events = []
        self.is_whole = False


async def call_stream(record, address, events, stride, deadline_ms, path, part):
    """Send one attempt at a stream on a new connection; return id and `Answer`."""
    headers = [
        ("Sapphirerock-Model", "m"),
        ("Sapphirerock-Token-Usage", f"490,{events * stride}"),
        ("Sapphirerock-Prompt-Prefix", f"5c1e07a2:80,{part}:410"),
    ]
    body = f"prompt {part}".encode()
    return await call(record, address, headers, deadline_ms, path, body)


async def call(record, address, extra_headers, deadline_ms, path, body):
    """Send one attempt at a call on a new connection; return id and `Answer`."""
    attempt, answer = uuid.uuid4().hex[:16], Answer()
    headers = [
        ("Host", HOST),
        ("Sapphirerock-Attempt-Id", attempt),
        ("Sapphirerock-Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Token {KEY}"),
        ("Content-Length", str(len(body))),
        *extra_headers,
    ]
    record("sent", {"attempt": attempt, "path": path, "host": address})
    began_s = time.monotonic()
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            await _exchange(address, path, headers, body, answer)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        pass
    fields = {"attempt": attempt, "status": answer.status, "whole": answer.is_whole}
    fields |= {"events": len(answer.events)}
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
        if head.headers.get("transfer-encoding") != "chunked":
            await reader.readexactly(int(head.headers.get("content-length", 0)))
            answer.is_whole = True
            return
        while size := int(await reader.readline(), 16):
            content = await reader.readexactly(size)
            await reader.readexactly(2)
            lines = content.decode().splitlines()
            answer.events += [int(line[4:]) for line in lines if line[:4] == "id: "]
        await reader.readexactly(2)
        answer.is_whole = True
    finally:
        writer.close()
