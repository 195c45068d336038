"""The state that the steps of one scenario share."""

import asyncio
import re
import time

from aiohttp import ClientSession, ClientTimeout

from sapphirerock.load.caller import Caller
from tools.localcluster import ORGANISATION_KEY, LocalCluster, declare_basics

MODEL = "quote"
WAIT_TIMEOUT_S = 10.0


class ScenarioWorld:
    """A cluster and the callers of one scenario.

    Parameters
    ----------
    name : str
        Name of the scenario.

    Attributes
    ----------
    records : list of CallRecord
        Finished generations, set by `finish_calls`.
    calls : list of asyncio.Future
        Tasks that run in the background of the scenario.
    callers : list of Caller
        Callers of the generations that were begun, in order.
    order_responses : list
        Responses to orders, in order.
    fault_at_s : float
        Monotonic time of the latest fault.
    step_data : dict
        Further values that one step leaves to later ones.
    trace_routers : bool
        Whether routers write their spans to files.
    host_options : dict
        Further settings of each router.
    """

    def __init__(self, name):
        self.cluster = LocalCluster(re.sub(r"[^a-z0-9]+", "-", name.lower())[:40])
        self.records = []
        self.calls = []
        self.callers = []
        self.order_responses = []
        self.fault_at_s = 0.0
        self.step_data = {}
        self.trace_routers = False
        self.host_options = {}
        self._session = None

    @property
    def session(self):
        """The HTTP session of all callers."""
        if self._session is None:
            self._session = ClientSession(timeout=ClientTimeout(total=30))
        return self._session

    async def start(
        self, routers, engines=(), services=(), fields=None, linked=False, **options
    ):
        """Start the platform, upstreams and routers, and write their settings.

        Parameters
        ----------
        routers : list of (str, str, str)
            Host, availability zone, region.
        engines, services : list of (str, str, str, dict)
            Name, availability zone, region, options.
        fields : dict
            Further fields of the model's service in the settings.
        linked : bool
            Whether connections between zones, to the platform and to the upstreams
            go through a link that can delay or cut them.
        options : dict
            Options of the platform stand-in.
        """
        cluster = self.cluster
        for host, zone, region in routers:
            cluster.plan_router(host, zone, region)
        cluster.add_platform(**options)
        for name, zone, region, options in engines:
            cluster.add_engine(name, zone, region, **options)
        for name, zone, region, options in services:
            cluster.add_service(name, zone, region, **options)
        if linked:
            cluster.add_link()
        await cluster.wait_ready()
        for host, _, _ in routers:
            cluster.start_router(
                host, **self._make_tracing_settings(host), **self.host_options
            )
        await cluster.wait_ready()
        await declare_basics(
            cluster,
            [item[0] for item in engines],
            [item[0] for item in services],
            **(fields or {}),
        )
        await self.wait_until(
            self._routers_know_upstreams, "routers know the upstreams of their zones"
        )

    def _make_tracing_settings(self, host):
        """Return the host settings that make a router write its spans."""
        if not self.trace_routers:
            return {}
        target = str(self.cluster.folder / f"{host}.spans")
        return {"tracing": {"exporter": "file", "target": target}}

    async def _routers_know_upstreams(self):
        for host in self.cluster.list_routers():
            status = await self.cluster.read_status(host)
            places = self.cluster.places
            zone = status["availability_zone"]
            for item in status["upstreams"]:
                if places[item["name"]][0] == zone and not item["incarnation"]:
                    return False
        return True

    async def wait_until(self, condition, what, bound_s=WAIT_TIMEOUT_S):
        """Wait until a coroutine function returns a true value, for `bound_s` s."""
        deadline_s = time.monotonic() + bound_s
        while not await condition():
            assert time.monotonic() < deadline_s, f"not within {bound_s} s: {what}"
            await asyncio.sleep(0.05)

    def make_caller(self, *hosts, resumes=True, key=ORGANISATION_KEY):
        """Return a caller that uses some routers, or all when none is named."""
        urls = self.cluster.get_router_urls(*hosts)
        return Caller(self.session, urls, key, MODEL, resumes)

    def begin_generation(self, prompt, tokens, *hosts, resumes=True, key=None):
        """Start reading a generation in the background."""
        caller = self.make_caller(*hosts, resumes=resumes)
        task = asyncio.ensure_future(caller.generate(prompt, tokens, key=key))
        self.calls.append(task)
        self.callers.append(caller)
        return task

    async def wait_tokens(self, count):
        """Wait until the latest generation has at least `count` tokens."""

        async def has_tokens():
            records = self.callers[-1].records
            return bool(records) and len(records[0].tokens) >= count

        await self.wait_until(has_tokens, f"{count} tokens")

    def find_serving_router(self):
        """Return the name of the router that serves the latest generation."""
        url = self.callers[-1].records[0].router_urls[-1]
        return next(
            host for host, known_url in self.cluster.urls.items() if known_url == url
        )

    async def finish_calls(self, bound_s=60.0):
        """Wait for all calls in the background; return their records."""
        async with asyncio.timeout(bound_s):
            self.records = list(await asyncio.gather(*self.calls))
        self.calls = []
        return self.records

    async def find_busy_engine(self):
        """Wait for an engine that runs a generation; return its name."""
        found = []

        async def has_busy_engine():
            for host in self.cluster.list_routers():
                if not self.cluster.processes[host].is_running:
                    continue
                status = await self.cluster.read_status(host)
                found.extend(
                    item["name"] for item in status["upstreams"] if item["in_flight"]
                )
            return bool(found)

        await self.wait_until(has_busy_engine, "an engine is busy")
        return found[0]

    async def call(self, method, path, host=None, body=None, **headers):
        """Send a call to a router; return status, headers and body.

        Underscores in the names of `headers` stand for hyphens.
        """
        cluster = self.cluster
        url = cluster.urls[host or cluster.list_routers()[0]] + path
        request_headers = {"Authorization": f"Bearer {ORGANISATION_KEY}"}
        request_headers.update(
            {name.replace("_", "-"): value for name, value in headers.items()}
        )
        async with self.session.request(
            method, url, data=body, headers=request_headers
        ) as response:
            content = await response.read()
            return response.status, response.headers, content

    async def close(self, failed):
        """End callers and processes; print the processes' output after a failure."""
        for task in self.calls:
            task.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)
        if self._session is not None:
            await self._session.close()
        if failed:
            for name in self.cluster.processes:
                print(f"--- {name}\n{self.cluster.read_log(name)}")
        self.cluster.close()
