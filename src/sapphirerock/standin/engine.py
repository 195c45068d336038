"""The engine stand-in: streams, resume, cancel, load reports, orders."""

import asyncio
import os
import random
import signal
import time

import orjson
from aiohttp import web
from mode import Service

from sapphirerock.process.clock import SystemClock
from sapphirerock.process.web import WebService
from sapphirerock.standin.batch import Batch, EngineJob
from sapphirerock.standin.chain import render_text
from sapphirerock.standin.faults import FaultState

HEARTBEAT_S = 0.5
CACHE_EVENT_LAG_S = 1.0
BODY_LIMIT_BYTES = 8 << 20


class EngineStandin(FaultState):
    """One engine process.

    Parameters
    ----------
    name : str
        Name of the upstream.
    models : list of str
        What it has loaded at the start.
    model : EngineModel
        Speeds and sizes.
    checks_fencing : bool
        Whether an order with an old fencing number is refused.
    report_lag_s : float
        Age of each load report, in seconds.
    crash_marker : str
        A prompt that contains it kills the process; empty for none.
    order_delay_s : float
        Time that an order takes.
    salt : int or None
        What decides its tokens; drawn when None.
    """

    def __init__(
        self,
        name,
        models,
        model,
        checks_fencing=True,
        report_lag_s=0.0,
        crash_marker="",
        order_delay_s=0.0,
        salt=None,
    ):
        super().__init__()
        self.name = name
        self.models = list(models)
        self.incarnation = f"{os.getpid()}-{time.time_ns()}"
        self.batch = Batch(model, salt or random.getrandbits(31), self)
        self.checks_fencing = checks_fencing
        self.crash_marker = crash_marker
        self.order_delay_s = order_delay_s
        self.highest_fencing_number = 0
        self.orders = []
        self._report_lag_s = report_lag_s
        self._reports = []
        self._transports = set()

    def crash(self):
        """Lose all jobs, close all streams and take a new incarnation."""
        self.incarnation = f"{os.getpid()}-{time.time_ns()}"
        for transport in list(self._transports):
            transport.abort()
        self.batch.clear()

    def make_application(self):
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=BODY_LIMIT_BYTES, middlewares=[self._refuse_when_down]
        )
        application.add_routes(
            [
                web.post("/v1/completions", self._complete),
                web.get("/v1/generations/{generation_id}", self._resume),
                web.delete("/v1/generations/{generation_id}", self._cancel),
                web.get("/v1/load", self._load),
                web.get("/v1/cache-events", self._cache_events),
                web.post("/v1/orders", self._order),
                web.get("/v1/counters", self._counters),
                web.post("/faults", self.handle_fault),
            ]
        )
        return application

    @web.middleware
    async def _refuse_when_down(self, request, handler):
        if self.is_down and request.path != "/faults":
            return web.Response(status=503)
        return await handler(request)

    async def _complete(self, request):
        body = orjson.loads(await request.read())
        if self.leaving:
            return web.json_response({"leaving": True}, status=503)
        if body["model"] not in self.models:
            return web.json_response({"models": self.models}, status=409)
        if self.crash_marker and self.crash_marker in body["prompt"]:
            loop = asyncio.get_running_loop()
            loop.call_later(0.15, os.kill, os.getpid(), signal.SIGKILL)
        job = EngineJob(
            body["generation_id"],
            body["prompt"],
            body.get("prefix_tokens", []),
            body["max_tokens"],
            body.get("priority", 0),
            self.batch.salt,
        )
        self.batch.add(job)
        offset = body.get("echo_offset", len(job.tokens))
        return await self._stream(request, job, offset)

    async def _resume(self, request):
        job = self.batch.jobs.get(request.match_info["generation_id"])
        offset = int(request.query.get("offset", "0"))
        if job is None or job.finish_reason == "cancelled":
            raise web.HTTPNotFound
        return await self._stream(request, job, offset)

    async def _cancel(self, request):
        job = self.batch.jobs.get(request.match_info["generation_id"])
        if job is None:
            raise web.HTTPNotFound
        job.cancel()
        return web.json_response({"tokens": len(job.tokens)})

    async def _stream(self, request, job, offset):
        self.connection_count += 1
        number = self.connection_count
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Sapphirerock-Incarnation": self.incarnation,
            }
        )
        await response.prepare(request)
        job.readers += 1
        self._transports.add(request.transport)
        try:
            await self._write_events(response, job, offset, number)
        except ConnectionError:
            pass
        finally:
            self._transports.discard(request.transport)
            job.readers -= 1
            job.last_read_s = time.monotonic()
        return response

    async def _write_events(self, response, job, offset, number):
        while True:
            changed = job.changed
            if number <= self.silent_before:
                await asyncio.sleep(3600)
            tokens = job.tokens[offset:]
            if tokens:
                await self._garble(response, job, offset)
                await response.write(encode_event(job.generation_id, offset, tokens))
                offset += len(tokens)
            elif job.finish_reason is not None:
                break
            else:
                await self._wait_or_beat(response, changed, number)
        await response.write(encode_done(job))
        await response.write_eof()

    async def _garble(self, response, job, offset):
        """Send a malformed event, if that fault is on."""
        if self.garbled_events <= 0:
            return
        kind = GARBLED[self.garbled_events % len(GARBLED)]
        self.garbled_events -= 1
        await response.write(kind(job, offset))

    async def _wait_or_beat(self, response, changed, number):
        try:
            async with asyncio.timeout(HEARTBEAT_S):
                await changed.wait()
        except TimeoutError:
            if number > self.silent_before:
                await response.write(b": beat\n\n")

    async def _load(self, request):
        now_s = time.monotonic()
        report = {
            "upstream": self.name,
            "incarnation": self.incarnation,
            "leaving": self.leaving,
            "running": len(self.batch.running) + self.occupied,
            "queued": self.batch.queued,
            "capacity": self.batch.model.capacity,
            "kv_free": max(0, self.batch.model.capacity - len(self.batch.running)),
            "models": self.models,
            "sampled_at": time.time(),
        }
        self._reports.append((now_s, report))
        while len(self._reports) > 1 and (
            self._reports[1][0] <= now_s - self._report_lag_s
        ):
            self._reports.pop(0)
        answer = dict(self._reports[0][1])
        answer["incarnation"] = self.incarnation
        answer["leaving"] = self.leaving
        return web.json_response(answer)

    async def _cache_events(self, request):
        after = int(request.query.get("after", "0"))
        newest_s = time.monotonic() - CACHE_EVENT_LAG_S
        events = [
            {"seq": number, "kind": kind, "prefix": digest}
            for number, kind, digest, at_s in self.batch.cache.events
            if number > after and at_s <= newest_s
        ]
        return web.json_response({"events": events})

    async def _order(self, request):
        body = await request.json()
        number = body["fencing_number"]
        await asyncio.sleep(self.order_delay_s)
        if self.checks_fencing and number < self.highest_fencing_number:
            return web.json_response(
                {"highest": self.highest_fencing_number}, status=409
            )
        self.highest_fencing_number = max(number, self.highest_fencing_number)
        self.orders.append({**body, "at_s": time.monotonic()})
        if body["kind"] == "load-model" and body["target"] not in self.models:
            self.models.append(body["target"])
        if body["kind"] == "unload-model" and body["target"] in self.models:
            self.models.remove(body["target"])
        return web.json_response({"models": self.models})

    async def _counters(self, request):
        return web.json_response(
            {
                "prefilled_tokens": self.batch.prefilled_tokens,
                "decoded_tokens": self.batch.decoded_tokens,
                "cache_hits": self.batch.cache.hits,
                "orders": self.orders,
                "submitted": self.batch.submitted,
            }
        )


def encode_event(generation_id, offset, tokens):
    """Return one server-sent event with tokens."""
    data = {
        "generation_id": generation_id,
        "offset": offset,
        "tokens": tokens,
        "text": render_text(tokens),
    }
    return b"data: " + orjson.dumps(data) + b"\n\n"


def encode_done(job):
    """Return the last event of a stream."""
    data = {
        "generation_id": job.generation_id,
        "tokens_total": len(job.tokens),
        "finish_reason": job.finish_reason,
    }
    return b"event: done\ndata: " + orjson.dumps(data) + b"\n\n"


# Events that no engine should send, as functions of the job and the offset.
GARBLED = (
    lambda job, offset: encode_event(job.generation_id, offset, [1 << 40]),
    lambda job, offset: encode_event(job.generation_id, offset, ["text"]),
    lambda job, offset: encode_event(job.generation_id, offset + 5, [1]),
    lambda job, offset: encode_event(job.generation_id, 0, job.tokens[:1]),
    lambda job, offset: b"data: {not json\n\n",
    lambda job, offset: b'event: done\ndata: {"tokens_total": 1}\n\n',
)


class EngineService(Service):
    """The engine stand-in as a process."""

    def __init__(self, standin, host, port, **kwargs):
        super().__init__(**kwargs)
        self.standin = standin
        self._web = WebService(standin.make_application(), host, port)

    def on_init_dependencies(self):
        """Return the web server."""
        return [self._web]

    @Service.task
    async def _decode(self):
        await self.standin.batch.run(SystemClock())

    async def on_stop(self):
        """Take no new work and finish every stream under way."""
        self.standin.leaving = True
        batch = self.standin.batch
        while batch.running or batch.queued:
            await asyncio.sleep(batch.model.token_interval_s)
        await asyncio.sleep(HEARTBEAT_S)
