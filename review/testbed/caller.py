"""A caller on the wire: HTTP/1.1 requests over connections that it keeps open."""

import asyncio
import uuid
from dataclasses import dataclass, field

from testbed.cluster import HOST_HEADER, KEY

STREAM_DEADLINE_MS = 25_000
RETRY_DELAY_S = 0.5


@dataclass(slots=True)
class Answer:
    """What a caller received of an answer.

    Parameters
    ----------
    status : int
        HTTP status; 0 without a head.
    headers : dict of str to str
        Values by name in lower case.
    body : bytes
        Body without the framing of chunks.
    is_complete : bool
        Whether the framing shows that the answer is whole.
    """

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False

    @property
    def events(self):
        """Number and content of each event."""
        found = []
        for text in self.body.decode().split("\n\n")[:-1]:
            lines = dict(line.split(": ", 1) for line in text.split("\n") if line)
            found.append((int(lines["id"]), lines["data"]))
        return found


def make_attempt_id():
    """Return a new id for an attempt."""
    return uuid.uuid4().hex[:16]


class Connection:
    """A connection to a host.

    Parameters
    ----------
    address : (str, int)
        Callers' address of the host.
    """

    def __init__(self, address):
        self._address = address
        self._reader = None
        self._writer = None

    @classmethod
    def on(cls, reader, writer):
        """Return a connection that is open."""
        connection = cls(None)
        connection._reader, connection._writer = reader, writer
        return connection

    async def __aenter__(self):
        self._reader, self._writer = await asyncio.open_connection(*self._address)
        return self

    async def __aexit__(self, *exception):
        self._writer.close()

    async def send(self, method, path, attempt, deadline_ms, headers=(), body=b""):
        """Send a request."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST_HEADER}",
            f"Sapphirerock-Attempt-Id: {attempt}",
            f"Sapphirerock-Deadline-Ms: {deadline_ms}",
            f"Authorization: Token {KEY}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await self._writer.drain()

    async def receive(self, timeout_s, answer=None):
        """Return the answer, as far as it arrives before the connection ends."""
        answer = Answer() if answer is None else answer
        try:
            async with asyncio.timeout(timeout_s):
                await self._receive_into(answer)
        except (asyncio.IncompleteReadError, OSError, TimeoutError, ValueError):
            pass
        return answer

    async def _receive_into(self, answer):
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        answer.status = int(first.split()[1])
        for line in lines:
            name, _, value = line.partition(":")
            answer.headers[name.lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await self._reader.readline(), 16):
                answer.body += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
            await self._reader.readexactly(2)
        else:
            size = int(answer.headers.get("content-length", 0))
            answer.body = await self._reader.readexactly(size)
        answer.is_complete = True


def make_prompt(events, parts="5c1e07a2:800,91bd3f06:410,e4402b7d:250"):
    """Return the headers of a prompt that is answered with a number of events."""
    return [
        ("Sapphirerock-Model", "m"),
        ("Sapphirerock-Token-Usage", f"1460,{events}"),
        ("Sapphirerock-Prompt-Prefix", parts),
    ]


class StreamCaller:
    """A caller that takes its stream up at another host when the connection breaks.

    Parameters
    ----------
    cluster : Cluster
        The deployment.
    name : str
        Name of the caller in the record.
    path : str
        Path of its request.
    prompt : list of (str, str)
        Headers of its prompt.
    body : bytes
        Body of its request.

    Attributes
    ----------
    attempts : list of str
        Ids of its attempts.
    events : list of (int, str)
        All events that it has received, over all attempts.
    is_whole : bool
        Whether the last attempt ended as complete.
    """

    def __init__(self, cluster, name, path, prompt, body):
        self.attempts = []
        self.events = []
        self.is_whole = False
        self._cluster = cluster
        self._name = name
        self._path = path
        self._prompt = prompt
        self._body = body

    async def run(self, hosts):
        """Send the request to the hosts, one after the other, until it is whole."""
        for host in hosts:
            attempt = make_attempt_id()
            self.attempts.append(attempt)
            headers = list(self._prompt)
            if self.events:
                headers.append(("Last-Event-Id", str(self.events[-1][0])))
            self._note("sent", attempt, host=host, after=len(self.events))
            answer = Answer()
            try:
                async with Connection(self._cluster.hosts[host]) as connection:
                    await connection.send(
                        "POST",
                        self._path,
                        attempt,
                        STREAM_DEADLINE_MS,
                        headers,
                        self._body,
                    )
                    await connection.receive(STREAM_DEADLINE_MS / 1000, answer)
            except OSError:
                pass
            self.events += answer.events
            runs = " then ".join(list_runs(answer.events))
            self._note("answered", attempt, status=answer.status, of_runs=runs)
            self.is_whole = answer.is_complete and answer.status == 200
            if self.is_whole:
                return
            await asyncio.sleep(RETRY_DELAY_S)

    def _note(self, kind, attempt, **fields):
        self._cluster.note(kind, caller=self._name, attempt=attempt, **fields)


def list_runs(events):
    """Return the runs that made some events, in order, each once in a row."""
    runs = []
    for _, data in events:
        run = data.split(".")[0]
        if not runs or runs[-1] != run:
            runs.append(run)
    return runs
