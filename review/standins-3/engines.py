"""Engines of the platform for the cases, which answer plain calls.

An engine begins to run a request once it has read it whole, and drops it when its
connection closes. A crash in the manner ``dark`` leaves all connections silent until
the engine is back, under another id.
"""

import asyncio
import json
import time
import uuid

from platformwire import call_store, encode_head, read_head

REPORT_PATH = "/sapphirerock/report"
SERVERS_PATH = "/sapphirerock/objects/servers"


class Engine:
    """One engine.

    Parameters
    ----------
    record : callable
        Takes the fields of one line of the record.
    store : str
        Address of the store.
    service, zone, address : str
        Service, availability zone and IP address.
    crashes : callable
        Takes the target of the run that begins now; returns whether it crashes the
        engine.

    Attributes
    ----------
    runs : list of dict
        All runs in the order of their beginnings.
    """

    slots = 16
    work_s = 0.03
    # The store removes an entry after three heartbeats of silence.
    expiry_s = 3.6
    down_s = 4.5

    def __init__(
        self,
        record,
        store,
        service,
        zone,
        address,
        crashes=lambda target: False,
    ):
        self.name = ""
        self.runs = []
        self.crash_times_s = []
        self._record = record
        self._store = store
        self._service = service
        self._zone = zone
        self._address = address
        self._crashes = crashes
        self._born_ms = 0
        self._running = 0
        self._server = None
        self._listening = ""
        self._writers = set()
        # Set while the engine is up.
        self._is_up = asyncio.Event()
        self._down = None

    async def start(self):
        """Listen at a free port and register in the store."""
        self._server = await asyncio.start_server(self._serve, self._address, 0)
        port = self._server.sockets[0].getsockname()[1]
        self._listening = f"{self._address}:{port}"
        await self._begin()

    async def _begin(self):
        """Begin an incarnation."""
        self.name = f"i-{uuid.uuid4().hex[:10]}"
        self._born_ms = time.time_ns() // 1_000_000
        self._is_up.set()
        spec = {
            "service": self._service,
            "address": self._listening,
            "zone": self._zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_ms": 0,
            "seq": 0,
            "born": self._born_ms,
        }
        document = {"metadata": {"name": self.name}, "spec": spec}
        status, _ = await call_store(self._store, "POST", SERVERS_PATH, document)
        if status != 200:
            raise RuntimeError(f"the store answered {status} to a registration")

    def close(self):
        """Take no more connections."""
        self._server.close()

    async def _crash(self):
        """Fall silent, and come back as another incarnation."""
        self._is_up.clear()
        self.crash_times_s.append(time.monotonic())
        self._record("engine goes dark", {"engine": self.name})
        await asyncio.sleep(self.expiry_s)
        await call_store(self._store, "DELETE", f"{SERVERS_PATH}/{self.name}")
        await asyncio.sleep(self.down_s - self.expiry_s)
        for writer in self._writers:
            writer.transport.abort()
        before = self.name
        await self._begin()
        self._record("engine is back", {"engine": self.name, "before": before})

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled when the case ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(self, reader, writer):
        """Serve one request; return whether the connection goes on."""
        head = await read_head(reader)
        if head is None:
            return False
        method, target, _ = head.start.split()
        body = await reader.readexactly(int(head.headers.get("content-length", 0)))
        if not self._is_up.is_set():
            await asyncio.sleep(self.down_s)
            return False
        if target == REPORT_PATH:
            await self._send_report(writer)
            return True
        return await self._run_or_refuse(method, target, head, body, reader, writer)

    async def _send_report(self, writer):
        document = {"stage": "colocated", "models": [], "busy": False, "seq": 0}
        document |= {"waiting": 0, "running": self._running, "born": self._born_ms}
        content = json.dumps(document).encode()
        headers = [("Content-Length", str(len(content)))]
        writer.write(encode_head("HTTP/1.1 200 OK", headers) + content)
        await writer.drain()

    async def _run_or_refuse(self, method, target, head, body, reader, writer):
        attempt = head.headers.get("sapphirerock-attempt-id", "")
        expected = head.headers.get("sapphirerock-expect-instance", self.name)
        if expected != self.name:
            return await self._refuse(writer, attempt, "421 Misdirected Request")
        if not attempt:
            return await self._refuse(writer, attempt, "400 Bad Request")
        if self._running >= self.slots:
            return await self._refuse(writer, attempt, "503 Service Unavailable")
        run = {
            "attempt": attempt,
            "engine": self.name,
            "method": method,
            "target": target,
            "began_s": time.monotonic(),
            "ended": "",
        }
        self.runs.append(run)
        names = ("attempt", "engine")
        self._record("run begins", {name: run[name] for name in names})
        self._running += 1
        if self._crashes(target):
            self._down = asyncio.ensure_future(self._crash())
        work = asyncio.ensure_future(self._run(run, writer))
        closing = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((work, closing), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                run["ended"] = "dropped: its connection closed"
                work.cancel()
                return False
            return work.result()
        finally:
            closing.cancel()
            await asyncio.wait((closing,))
            self._running -= 1
            run["ended_s"] = time.monotonic()
            names = ("attempt", "engine", "ended")
            self._record("run ends", {name: run[name] for name in names})

    async def _refuse(self, writer, attempt, status):
        headers = [
            ("Sapphirerock-Attempt-Id", attempt),
            ("Sapphirerock-Instance-Id", self.name),
            ("Sapphirerock-Not-Executed", "1"),
            ("Content-Length", "0"),
        ]
        writer.write(encode_head(f"HTTP/1.1 {status}", headers))
        await writer.drain()
        return True

    async def _run(self, run, writer):
        """Work on a request and answer; return whether the connection goes on."""
        await asyncio.sleep(self.work_s)
        if not self._is_up.is_set():
            await asyncio.sleep(self.down_s)
            return False
        content = f"{run['method']} {run['target']} {run['attempt']}\n".encode()
        headers = [
            ("Sapphirerock-Attempt-Id", run["attempt"]),
            ("Sapphirerock-Response-Seal", f"{self.name}.{run['attempt']}"),
            ("Sapphirerock-Server-Load", f"{self._running},0,{self.slots}"),
            ("Content-Length", str(len(content))),
        ]
        writer.write(encode_head("HTTP/1.1 200 OK", headers) + content)
        await writer.drain()
        run["ended"] = "whole"
        return True
