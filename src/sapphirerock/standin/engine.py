"""The engine stand-in: streams, resumption, cancellation, load reports and orders."""

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

# A stream without tokens for this long sends a comment line as a heartbeat.
HEARTBEAT_INTERVAL_S = 0.5
# Delay after which a cache event becomes visible to clients.
CACHE_EVENT_LAG_S = 1.0
BODY_LIMIT_BYTES = 8 << 20


class EngineStandin(FaultState):
    """Stand-in for one engine process.

    Parameters
    ----------
    name : str
        Name of the upstream.
    models : list of str
        Names of the models loaded at the start.
    performance : EnginePerformance
        Speeds and capacities.
    checks_fencing : bool
        Whether an order with a stale fencing number is rejected.
    report_lag_s : float
        Age of each load report, in seconds.
    crash_marker : str
        Text in a prompt that kills the process. Empty disables this.
    order_delay_s : float
        Execution time of an order, in seconds.
    salt : int or None
        Salt of the generated tokens. Chosen at random when None or 0.

    Attributes
    ----------
    incarnation : str
        Id that changes with each start and each simulated crash.
    highest_fencing_number : int
        Highest fencing number of the orders executed so far.
    orders : list of dict
        Executed orders, each with its monotonic time ``at_s``.
    """

    def __init__(
        self,
        name,
        models,
        performance,
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
        self.batch = Batch(performance, salt or random.getrandbits(31), self)
        self.checks_fencing = checks_fencing
        self.crash_marker = crash_marker
        self.order_delay_s = order_delay_s
        self.highest_fencing_number = 0
        self.orders = []
        self._report_lag_s = report_lag_s
        self._load_reports = []
        self._transports = set()

    def crash(self):
        """Drop all jobs, reset all streams and change to a new incarnation."""
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
                web.get("/v1/load", self._report_load),
                web.get("/v1/cache-events", self._list_cache_events),
                web.post("/v1/orders", self._run_order),
                web.get("/v1/counters", self._report_counters),
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
        if self.is_draining:
            return web.json_response({"leaving": True}, status=503)
        if body["model"] not in self.models:
            return web.json_response({"models": self.models}, status=409)
        if self.crash_marker and self.crash_marker in body["prompt"]:
            # After 0.15 s, when the stream has begun, the process kills itself.
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
        connection_number = self.connection_count
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
            await self._write_events(response, job, offset, connection_number)
        except ConnectionError:
            pass
        finally:
            self._transports.discard(request.transport)
            job.readers -= 1
            job.last_read_s = time.monotonic()
        return response

    async def _write_events(self, response, job, offset, connection_number):
        while True:
            changed = job.changed
            if connection_number <= self.last_silenced_connection:
                # Longer than the timeout of any caller.
                await asyncio.sleep(3600)
            tokens = job.tokens[offset:]
            if tokens:
                await self._write_malformed_event(response, job, offset)
                await response.write(encode_event(job.generation_id, offset, tokens))
                offset += len(tokens)
            elif job.finish_reason is not None:
                break
            else:
                await self._wait_or_send_heartbeat(response, changed, connection_number)
        await response.write(encode_done(job))
        await response.write_eof()

    async def _write_malformed_event(self, response, job, offset):
        """Write a malformed event while the ``garble`` fault is active."""
        if self.malformed_events_to_send <= 0:
            return
        make_event = MALFORMED_EVENTS[
            self.malformed_events_to_send % len(MALFORMED_EVENTS)
        ]
        self.malformed_events_to_send -= 1
        await response.write(make_event(job, offset))

    async def _wait_or_send_heartbeat(self, response, changed, connection_number):
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                await changed.wait()
        except TimeoutError:
            if connection_number > self.last_silenced_connection:
                await response.write(b": beat\n\n")

    async def _report_load(self, request):
        """Return the load `report_lag_s` ago, but the current incarnation and state."""
        now_s = time.monotonic()
        report = {
            "upstream": self.name,
            "incarnation": self.incarnation,
            "leaving": self.is_draining,
            "running": len(self.batch.running) + self.occupied_slots,
            "queued": self.batch.queued_count,
            "capacity": self.batch.performance.capacity,
            "kv_free": max(
                0, self.batch.performance.capacity - len(self.batch.running)
            ),
            "models": self.models,
            "sampled_at": time.time(),
        }
        self._load_reports.append((now_s, report))
        while len(self._load_reports) > 1 and (
            self._load_reports[1][0] <= now_s - self._report_lag_s
        ):
            self._load_reports.pop(0)
        delayed_report = dict(self._load_reports[0][1])
        delayed_report["incarnation"] = self.incarnation
        delayed_report["leaving"] = self.is_draining
        return web.json_response(delayed_report)

    async def _list_cache_events(self, request):
        """Return the visible cache events after a sequence number."""
        after = int(request.query.get("after", "0"))
        cutoff_s = time.monotonic() - CACHE_EVENT_LAG_S
        events = [
            {"seq": sequence, "kind": kind, "prefix": digest}
            for sequence, kind, digest, at_s in self.batch.cache.events
            if sequence > after and at_s <= cutoff_s
        ]
        return web.json_response({"events": events})

    async def _run_order(self, request):
        body = await request.json()
        fencing_number = body["fencing_number"]
        await asyncio.sleep(self.order_delay_s)
        if self.checks_fencing and fencing_number < self.highest_fencing_number:
            return web.json_response(
                {"highest": self.highest_fencing_number}, status=409
            )
        self.highest_fencing_number = max(fencing_number, self.highest_fencing_number)
        self.orders.append({**body, "at_s": time.monotonic()})
        if body["kind"] == "load-model" and body["target"] not in self.models:
            self.models.append(body["target"])
        if body["kind"] == "unload-model" and body["target"] in self.models:
            self.models.remove(body["target"])
        return web.json_response({"models": self.models})

    async def _report_counters(self, request):
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
    """Return the final server-sent event of a stream."""
    data = {
        "generation_id": job.generation_id,
        "tokens_total": len(job.tokens),
        "finish_reason": job.finish_reason,
    }
    return b"event: done\ndata: " + orjson.dumps(data) + b"\n\n"


# Functions that make a malformed event from a job and a token offset: a token out of
# range, a token of the wrong type, an offset that skips tokens, a repeated token,
# invalid JSON, and a final event without a finish reason.
MALFORMED_EVENTS = (
    lambda job, offset: encode_event(job.generation_id, offset, [1 << 40]),
    lambda job, offset: encode_event(job.generation_id, offset, ["text"]),
    lambda job, offset: encode_event(job.generation_id, offset + 5, [1]),
    lambda job, offset: encode_event(job.generation_id, 0, job.tokens[:1]),
    lambda job, offset: b"data: {not json\n\n",
    lambda job, offset: b'event: done\ndata: {"tokens_total": 1}\n\n',
)


class EngineService(Service):
    """Service that runs the decoder and the HTTP server of an engine stand-in.

    Parameters
    ----------
    standin : EngineStandin
        The engine to run.
    host, port : str, int
        IP address and TCP port to listen on.
    """

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
        """Reject new work and let the active streams finish."""
        self.standin.is_draining = True
        batch = self.standin.batch
        while batch.running or batch.queued_count:
            await asyncio.sleep(batch.performance.token_interval_s)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
