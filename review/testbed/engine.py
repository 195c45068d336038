"""An engine of the shared platform: streams of a model, or plain calls.

It registers itself in the store, runs what it is sent, keeps copies of other engines'
runs, and writes a line for each run to a file. Each run draws its own tokens, as an
engine that samples does: a run goes on with the same tokens only from a copy of its
memory. It stops work on a call when its connection closes.
"""

import argparse
import asyncio
import json
import os
import random
import time
import uuid

from aiohttp import ClientError, ClientSession, ClientTimeout, web

ATTEMPT = "Sapphirerock-Attempt-Id"
COPY_INTERVAL_S = 0.15
COPY_TTL_S = 4.0
REGISTRATION_RETRY_S = 0.2


class Engine:
    """One engine process.

    Parameters
    ----------
    options : argparse.Namespace
        Command line.
    """

    def __init__(self, options):
        self.options = options
        self.name = "i-" + uuid.uuid4().hex[:8]
        self.born_ms = int(time.time() * 1000)
        self.running = 0
        self.copies = {}
        self._lost_share = 0.0
        self._loses_until_s = 0.0
        self._log = open(options.log, "a", buffering=1)  # noqa: SIM115
        self._session = None

    def write(self, kind, **fields):
        """Write one line to the record of this engine."""
        line = {"t": time.time(), "kind": kind, "engine": self.name}
        self._log.write(
            json.dumps({**line, "service": self.options.service, **fields}) + "\n"
        )

    def make_application(self):
        """Return the HTTP application."""
        application = web.Application(client_max_size=16 << 20)
        application.add_routes(
            [
                web.get("/health", self._answer_health),
                web.get("/sapphirerock/report", self._answer_report),
                web.put("/testbed/copies/{run}", self._receive_copy),
                web.post("/testbed/lose-answers", self._begin_to_lose),
                web.route("*", "/{path:.*}", self._handle),
            ]
        )
        application.on_startup.append(self._start)
        application.on_cleanup.append(self._stop)
        return application

    async def _start(self, application):
        self._session = ClientSession(timeout=ClientTimeout(total=0.5))
        self._registering = asyncio.ensure_future(self._register())

    async def _stop(self, application):
        self._registering.cancel()
        await self._session.close()

    async def _register(self):
        options = self.options
        spec = {
            "service": options.service,
            "address": f"{options.host}:{options.port}",
            "zone": options.zone,
            "version": "v1",
            "slots": options.slots,
            "state": "ready",
            "cold_ms": 0,
            "seq": 1,
            "born": self.born_ms,
        }
        body = {"metadata": {"name": self.name}, "spec": spec}
        while True:
            try:
                url = f"{options.store}/sapphirerock/objects/servers"
                async with self._session.post(url, json=body) as response:
                    if response.status == 200:
                        self.write("registered", address=spec["address"])
                        return
            except (ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(REGISTRATION_RETRY_S)

    async def _answer_health(self, request):
        return web.Response(headers={"Sapphirerock-Instance-Id": self.name})

    async def _answer_report(self, request):
        return web.json_response(
            {
                "stage": "colocated",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "seq": 1,
                "waiting": 0,
                "running": self.running,
                "kv_used": 0,
                "kv_total": 88_000,
                "handles": len(self.copies),
                "born": self.born_ms,
            }
        )

    async def _receive_copy(self, request):
        copy = await request.json()
        self.copies[request.match_info["run"]] = {**copy, "at": time.monotonic()}
        return web.Response()

    async def _begin_to_lose(self, request):
        order = await request.json()
        self._lost_share = order["share"]
        self._loses_until_s = time.monotonic() + order["for_s"]
        return web.Response()

    def _loses_answer(self):
        is_losing = time.monotonic() < self._loses_until_s
        return is_losing and random.random() < self._lost_share

    def _make_headers(self, request, is_run):
        headers = {
            ATTEMPT: request.headers.get(ATTEMPT, ""),
            "Sapphirerock-Instance-Id": self.name,
            "Sapphirerock-Server-Load": f"{self.running},0,{self.options.slots}",
        }
        if is_run:
            headers["Sapphirerock-Response-Seal"] = f"{self.name}.{uuid.uuid4().hex}"
        else:
            headers["Sapphirerock-Not-Executed"] = "1"
        return headers

    def _refuse(self, request, status):
        return web.Response(status=status, headers=self._make_headers(request, False))

    async def _handle(self, request):
        body = await request.read()
        expected = request.headers.get("Sapphirerock-Expect-Instance")
        if expected not in (None, self.name):
            return self._refuse(request, 421)
        if not request.headers.get(ATTEMPT):
            return self._refuse(request, 400)
        if self.running >= self.options.slots:
            return self._refuse(request, 503)
        copy = None
        source = request.headers.get("Kv-From")
        if source is not None:
            copy = self.copies.pop(source.rpartition("/")[2], None)
            if copy is None or time.monotonic() - copy["at"] > COPY_TTL_S:
                return self._refuse(request, 503)
        self.running += 1
        run = uuid.uuid4().hex[:6] if copy is None else copy["run"]
        self.write(
            "run",
            attempt=request.headers[ATTEMPT],
            run=run,
            method=request.method,
            path=request.raw_path,
            tenant=request.headers.get("Sapphirerock-Tenant"),
            after=request.headers.get("Last-Event-Id"),
            kv_from=source,
            body_bytes=len(body),
        )
        outcome = "left"
        try:
            if "Sapphirerock-Token-Usage" in request.headers:
                response = await self._stream(request, run)
            else:
                response = await self._answer(request, run)
            outcome = "whole"
            return response
        finally:
            self.running -= 1
            self.write("end", attempt=request.headers[ATTEMPT], outcome=outcome)

    async def _answer(self, request, run):
        await asyncio.sleep(self.options.work_ms / 1000)
        text = f"{self.name} {run} {request.raw_path}\n"
        text += "x" * (self.options.answer_bytes - len(text))
        return web.Response(text=text, headers=self._make_headers(request, True))

    async def _stream(self, request, run):
        options, headers = self.options, request.headers
        total = int(headers["Sapphirerock-Token-Usage"].split(",")[1])
        after = int(headers.get("Last-Event-Id") or 0)
        if "Kv-From" not in headers:
            await asyncio.sleep(options.prompt_ms / 1000)
        if self._loses_answer():
            await asyncio.sleep((total - after) * options.event_ms / 1000)
            request.transport.abort()
            return web.Response()
        if options.framing == "none":
            return await self._stream_without_length(request, run, after, total)
        response = web.StreamResponse(headers=self._make_headers(request, True))
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        copied_s = 0.0
        for number in range(after + 1, total + 1):
            if number > after + 1:
                await asyncio.sleep(options.event_ms / 1000)
            await response.write(f"id: {number}\ndata: {run}.{number}\n\n".encode())
            backup = headers.get("Sapphirerock-Kv-Backup")
            if backup and time.monotonic() - copied_s > COPY_INTERVAL_S:
                copied_s = time.monotonic()
                await self._send_copy(backup, headers[ATTEMPT], run, number)
        await asyncio.sleep(options.tail_ms / 1000)
        await response.write_eof()
        return response

    async def _stream_without_length(self, request, run, after, total):
        """Send a stream whose end is the end of its connection."""
        headers = self._make_headers(request, True)
        headers |= {"Content-Type": "text/event-stream", "Connection": "close"}
        lines = [f"{name}: {value}" for name, value in headers.items()]
        transport = request.transport
        transport.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        for number in range(after + 1, total + 1):
            if number > after + 1:
                await asyncio.sleep(self.options.event_ms / 1000)
            transport.write(f"id: {number}\ndata: {run}.{number}\n\n".encode())
        transport.close()
        return web.Response()

    async def _send_copy(self, address, attempt, run, events):
        url = f"http://{address}/testbed/copies/{attempt}"
        try:
            async with self._session.put(url, json={"run": run, "events": events}):
                pass
        except (ClientError, TimeoutError, OSError):
            pass


def main():
    """Run the engine that the command line describes."""
    parser = argparse.ArgumentParser()
    for name in ("host", "store", "service", "zone", "log"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    for name, default in (
        ("slots", 64),
        ("work-ms", 45.0),
        ("prompt-ms", 300.0),
        ("event-ms", 40.0),
        ("tail-ms", 0.0),
        ("answer-bytes", 800),
    ):
        parser.add_argument(f"--{name}", type=type(default), default=default)
    parser.add_argument("--framing", choices=("chunks", "none"), default="chunks")
    options = parser.parse_args()
    engine = Engine(options)
    web.run_app(
        engine.make_application(),
        host=options.host,
        port=options.port,
        print=None,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=0.1,
    )


if __name__ == "__main__":
    os.environ.setdefault("TZ", "UTC")
    main()
