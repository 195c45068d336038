"""Messages of the platform that the stand-ins of this folder read and write."""

import asyncio
import json


class Head:
    """Start line and headers of a request or response.

    Parameters
    ----------
    start : str
        Request line or status line.
    headers : dict of str to str
        Values by lowercase name; of repeated headers the last one.
    """

    def __init__(self, start, headers):
        self.start = start
        self.headers = headers

    @property
    def status(self):
        """Status of a response."""
        return int(self.start.split()[1])


async def read_head(reader):
    """Read a head; None if the connection ends before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    start, *lines = raw.decode("latin-1").strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(start, {name.lower(): value.strip() for name, _, value in pairs})


def encode_head(start, headers):
    """Return the bytes of a head from its start line and (name, value) pairs."""
    lines = [start, *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1")


async def call_store(address, method, path, document=None):
    """Send a call to the store; return its status and decoded body."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    body = b"" if document is None else json.dumps(document).encode()
    headers = [
        ("Host", address),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    writer.write(encode_head(f"{method} {path} HTTP/1.1", headers) + body)
    try:
        head = await read_head(reader)
        content = await reader.read()
    finally:
        writer.close()
    return head.status, json.loads(content) if content else None
