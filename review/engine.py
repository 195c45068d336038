"""Stand-in for an engine that can lose the answers of requests that it ran.

It registers itself in the store, reports, answers calls, streams events to those that
tell their tokens, and lists its runs. With
``POST /control`` and ``{"lose": X}`` it resets the connection of a share X of the
requests that it ran, before the first event, and stays sound otherwise; ``event_s``
sets the time between its events. A stream that goes on after its last event ends at
once.
"""

import asyncio
import json
import random
import socket
import struct
import sys
import time
import uuid

from harness import exchange

EVENT_S = 0.02
PREFILL_S = 0.1
CALL_S = 0.03
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Engine:
    """One start of an engine.

    Parameters
    ----------
    address, store : str
        Addresses of the engine and of the store, as ``ip:port``.
    service, zone : str
        Service and zone of its registration.
    name : str
        Id of this start of the engine; a random one if it is empty.
    """

    def __init__(self, address, store, service, zone, name=""):
        self.address = address
        self._store = store
        self._service = service
        self._zone = zone
        self._id = name or "i-" + uuid.uuid4().hex[:10]
        self._born_ms = time.time_ns() // 1_000_000
        self._lose = 0.0
        self._event_s = EVENT_S
        self._call_s = CALL_S
        self._drained_at_s = None
        self._arrivals = []
        self._running = 0
        self._runs = []

    def _make_entry(self, state):
        """Return this engine's entry in the store."""
        spec = {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 64,
            "state": state,
            "cold_ms": 0,
            "seq": 0,
            "born": self._born_ms,
        }
        return json.dumps({"metadata": {"name": self._id}, "spec": spec}).encode()

    async def _report_draining(self):
        """Report that this engine drains, and note when the store accepted that."""
        path = f"/sapphirerock/objects/servers/{self._id}"
        body = self._make_entry("draining")
        if (await exchange(self._store, "PUT", path, body=body)).status == 200:
            self._drained_at_s = time.time()

    async def register(self):
        """Write this engine's entry to the store."""
        body = self._make_entry("ready")
        path = "/sapphirerock/objects/servers"
        while (await exchange(self._store, "POST", path, body=body)).status != 200:
            await asyncio.sleep(0.2)

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while await self._serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            writer.close()

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        headers = {}
        for line in head[1:-2]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if target == "/control":
            order = json.loads(body)
            self._lose = order.get("lose", self._lose)
            self._event_s = order.get("event_s", self._event_s)
            self._call_s = order.get("call_s", self._call_s)
            if order.get("drain"):
                await self._report_draining()
            return self._answer(writer, 200, b"{}")
        if target == "/arrivals":
            document = {"drained_at_s": self._drained_at_s, "arrivals": self._arrivals}
            return self._answer(writer, 200, json.dumps(document).encode())
        if target == "/runs":
            return self._answer(writer, 200, json.dumps(self._runs).encode())
        if target == "/sapphirerock/report":
            report = {"born": self._born_ms, "waiting": 0, "running": self._running}
            return self._answer(writer, 200, json.dumps(report).encode())
        attempt = headers.get("sapphirerock-attempt-id", "")
        if headers.get("sapphirerock-expect-instance", self._id) != self._id:
            return self._refuse(writer, 421, attempt)
        if not attempt:
            return self._refuse(writer, 400, attempt)
        if "sapphirerock-token-usage" not in headers:
            return await self._call(writer, method, target, attempt)
        return await self._run(reader, writer, attempt, headers)

    async def _call(self, writer, method, target, attempt):
        sender = writer.get_extra_info("peername")[0]
        self._arrivals.append([attempt, time.time(), sender])
        await asyncio.sleep(self._call_s)
        self._runs.append([attempt, round(time.time(), 3), False])
        body = f"{method} {target} {attempt}".encode()
        echo = f"Sapphirerock-Attempt-Id: {attempt}"
        seal = f"Sapphirerock-Response-Seal: {self._id}.{attempt}"
        return self._answer(writer, 200, body, echo, seal)

    def _answer(self, writer, status, body, *lines):
        head = [f"HTTP/1.1 {status} OK", f"Content-Length: {len(body)}", *lines]
        writer.write("\r\n".join([*head, "", ""]).encode() + body)
        return True

    def _refuse(self, writer, status, attempt):
        echo = f"Sapphirerock-Attempt-Id: {attempt}"
        return self._answer(writer, status, b"", echo, "Sapphirerock-Not-Executed: 1")

    async def _run(self, reader, writer, attempt, headers):
        self._running += 1
        # A caller that closes its connection ends the run.
        closed = asyncio.ensure_future(reader.read(1))
        stream = asyncio.ensure_future(self._stream(writer, attempt, headers))
        try:
            await asyncio.wait((closed, stream), return_when=asyncio.FIRST_COMPLETED)
        finally:
            closed.cancel()
            stream.cancel()
            self._running -= 1
        return False

    async def _stream(self, writer, attempt, headers):
        await asyncio.sleep(PREFILL_S)
        first = int(headers.get("last-event-id", 0)) + 1
        last = int(headers["sapphirerock-token-usage"].split(",")[1])
        is_lost = random.random() < self._lose
        self._runs.append([attempt, round(time.time(), 3), is_lost])
        if is_lost:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
            return
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"Sapphirerock-Attempt-Id: {attempt}",
            f"Sapphirerock-Response-Seal: {self._id}.{attempt}",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(first, last + 1):
            event = f"id: {number}\ndata: {attempt[:4]}.{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self._event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def main():
    """Serve until the process is ended."""
    engine = Engine(*sys.argv[1:])
    host, _, port = engine.address.rpartition(":")
    server = await asyncio.start_server(engine.serve, host, int(port))
    await engine.register()
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
