"""A caller that writes and reads bytes itself, to see what really crosses."""

import asyncio
from dataclasses import dataclass, field

READ_BOUND_S = 12.0


@dataclass(slots=True)
class RawAnswer:
    """An answer as it came.

    Parameters
    ----------
    status : int
        HTTP status; 0 where none came.
    headers : dict of str to str
        By lowercase name.
    body : bytes
        Content without framing.
    is_whole : bool
        Whether the framing says that all of it came.
    """

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    @property
    def events(self):
        """The numbers of all events, in the order in which they came."""
        lines = self.body.decode(errors="replace").splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


class RawConnection:
    """One connection to an edge.

    Parameters
    ----------
    edge : PlannedEdge
        Where it goes.
    """

    def __init__(self, edge):
        self._edge = edge
        self.reader = None
        self.writer = None

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection(
            self._edge.address, self._edge.callers_port
        )
        return self

    async def __aexit__(self, *exception):
        self.writer.close()

    async def ask(self, method, target, headers, body=b"", chunked=False):
        """Send a request and read its answer."""
        self.send(method, target, headers, body, chunked)
        return await self.read_answer()

    def send(self, method, target, headers, body=b"", chunked=False):
        """Send a request."""
        self.writer.write(encode_request(method, target, headers, body, chunked))

    async def read_answer(self, bound_s=READ_BOUND_S):
        """Read one answer as far as it comes."""
        answer = RawAnswer()
        try:
            async with asyncio.timeout(bound_s):
                await self._read(answer)
        except (asyncio.IncompleteReadError, OSError, TimeoutError):
            pass
        return answer

    async def read_head(self, answer):
        """Read the head of an answer."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.strip().split("\r\n")
        answer.status = int(status_line.split()[1])
        for line in lines:
            name, _, value = line.partition(":")
            answer.headers[name.lower()] = value.strip()

    async def _read(self, answer):
        await self.read_head(answer)
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await self.reader.readline(), 16):
                answer.body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
        else:
            size = int(answer.headers.get("content-length", 0))
            answer.body = await self.reader.readexactly(size)
        answer.is_whole = True

    async def read_some_events(self, answer, count):
        """Read a stream's head and its first events; more may come."""
        await self.read_head(answer)
        while len(answer.events) < count:
            await self.read_some_chunk(answer)

    async def read_some_chunk(self, answer):
        """Read the next part of a stream."""
        size = int(await self.reader.readline(), 16)
        if not size:
            raise ValueError("the stream has ended")
        answer.body += await self.reader.readexactly(size)
        await self.reader.readexactly(2)

    async def read_rest(self, answer, bound_s=READ_BOUND_S):
        """Read a stream to its end."""
        try:
            async with asyncio.timeout(bound_s):
                while size := int(await self.reader.readline(), 16):
                    answer.body += await self.reader.readexactly(size)
                    await self.reader.readexactly(2)
                await self.reader.readexactly(2)
                answer.is_whole = True
        except (asyncio.IncompleteReadError, OSError, TimeoutError, ValueError):
            pass
        return answer


def encode_request(method, target, headers, body=b"", chunked=False):
    """Return a request as bytes."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        half = len(body) // 2
        parts = [part for part in (body[:half], body[half:]) if part]
        framed = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
        body = b"".join([*framed, b"0\r\n\r\n"])
    elif body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
