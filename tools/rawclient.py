"""A minimal HTTP/1.1 client, so that tests control and see the bytes on the wire."""

import asyncio
from dataclasses import dataclass, field

READ_TIMEOUT_S = 12.0


@dataclass(slots=True)
class RawResponse:
    """A response as it was received.

    Parameters
    ----------
    status : int
        HTTP status; 0 without a response head.
    headers : dict of str to str
        Values by lowercase name.
    body : bytes
        Received content without chunk framing.
    is_complete : bool
        Whether the framing shows that the body was received to its end.
    """

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False

    @property
    def events(self):
        """Ids of all received events, in order."""
        lines = self.body.decode(errors="replace").splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


class RawConnection:
    """A persistent connection to an edge, usable as an asynchronous context manager.

    Parameters
    ----------
    edge : PlannedEdge
        Edge to connect to; its `address` and `caller_port` are used.
    """

    def __init__(self, edge):
        self._edge = edge
        self.reader = None
        self.writer = None

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection(
            self._edge.address, self._edge.caller_port
        )
        return self

    async def __aexit__(self, *exception):
        self.writer.close()

    async def request(self, method, target, headers, body=b"", chunked=False):
        """Send a request and read its response."""
        self.send(method, target, headers, body, chunked)
        return await self.read_response()

    def send(self, method, target, headers, body=b"", chunked=False):
        """Send a request without reading its response."""
        self.writer.write(encode_request(method, target, headers, body, chunked))

    async def read_response(self, timeout_s=READ_TIMEOUT_S):
        """Read one response.

        After a connection error or a timeout, the response holds what was received,
        and `is_complete` is False.
        """
        response = RawResponse()
        try:
            async with asyncio.timeout(timeout_s):
                await self._read_into(response)
        except (asyncio.IncompleteReadError, OSError, TimeoutError):
            pass
        return response

    async def read_head(self, response):
        """Read the status line and the headers into `response`."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.strip().split("\r\n")
        response.status = int(status_line.split()[1])
        for line in lines:
            name, _, value = line.partition(":")
            response.headers[name.lower()] = value.strip()

    async def _read_into(self, response):
        await self.read_head(response)
        if response.headers.get("transfer-encoding") == "chunked":
            while size := int(await self.reader.readline(), 16):
                response.body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
        else:
            size = int(response.headers.get("content-length", 0))
            response.body = await self.reader.readexactly(size)
        response.is_complete = True

    async def read_first_events(self, response, count):
        """Read the head of a stream and at least `count` events into `response`."""
        await self.read_head(response)
        while len(response.events) < count:
            await self.read_chunk(response)

    async def read_chunk(self, response):
        """Read the next chunk of a stream into `response`.

        Raises
        ------
        ValueError
            If the chunk ends the stream.
        """
        size = int(await self.reader.readline(), 16)
        if not size:
            raise ValueError("the stream has ended")
        response.body += await self.reader.readexactly(size)
        await self.reader.readexactly(2)

    async def read_rest(self, response, timeout_s=READ_TIMEOUT_S):
        """Read the remaining chunks of a stream into `response`.

        After a connection error or a timeout, `is_complete` stays False.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while size := int(await self.reader.readline(), 16):
                    response.body += await self.reader.readexactly(size)
                    await self.reader.readexactly(2)
                await self.reader.readexactly(2)
                response.is_complete = True
        except (asyncio.IncompleteReadError, OSError, TimeoutError, ValueError):
            pass
        return response


def encode_request(method, target, headers, body=b"", chunked=False):
    """Return the bytes of a request.

    A chunked body is sent in two halves, or in one chunk if it has a single byte.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        half = len(body) // 2
        chunks = [chunk for chunk in (body[:half], body[half:]) if chunk]
        framed_chunks = [b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks]
        body = b"".join([*framed_chunks, b"0\r\n\r\n"])
    elif body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
