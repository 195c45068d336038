"""Stand-in for a plain service: answers calls and counts executions of orders."""

import asyncio
import time
from collections import Counter

from aiohttp import web

from sapphirerock.standin.faults import FaultState, drop_connection


class ServiceStandin(FaultState):
    """Stand-in for one upstream of a plain service.

    Parameters
    ----------
    name : str
        Name of the upstream.
    delay_s : float
        Duration of a call, in seconds.

    Attributes
    ----------
    runs : Counter
        Number of executions of each order, by idempotency key.
    """

    def __init__(self, name, delay_s=0.0):
        super().__init__()
        self.name = name
        self.delay_s = delay_s
        self.runs = Counter()
        self.die_after_run = False

    def make_application(self):
        """Return the HTTP application."""
        application = web.Application()
        application.add_routes(
            [
                web.get("/v1/load", self._report_load),
                web.get("/runs", self._list_runs),
                web.post("/faults", self.handle_fault),
                web.post("/orders/{path:.*}", self._run_order),
                web.put("/orders/{path:.*}", self._run_order),
                web.route("*", "/{path:.*}", self._run_idempotent_call),
            ]
        )
        return application

    async def _report_load(self, request):
        return web.json_response(
            {
                "upstream": self.name,
                "incarnation": self.name,
                "leaving": self.is_draining,
                "running": 0,
                "queued": 0,
                "capacity": 64,
                "kv_free": 0,
                "models": [],
                "sampled_at": time.time(),
            }
        )

    async def _list_runs(self, request):
        return web.json_response(dict(self.runs))

    async def _run_order(self, request):
        if self.is_down:
            return web.Response(status=503)
        await asyncio.sleep(self.delay_s * self.slowdown / 2)
        self.runs[request.headers.get("Idempotency-Key", "")] += 1
        if self.consume_response_drop():
            return drop_connection(request)
        await asyncio.sleep(self.delay_s * self.slowdown / 2)
        return web.json_response({"upstream": self.name, "accepted": True}, status=201)

    async def _run_idempotent_call(self, request):
        if self.is_down:
            return web.Response(status=503)
        await asyncio.sleep(self.delay_s * self.slowdown)
        if self.consume_response_drop():
            return drop_connection(request)
        return web.json_response({"upstream": self.name, "path": request.path})
