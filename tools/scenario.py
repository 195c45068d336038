"""What the steps of one scenario share."""

import asyncio
import re
import time

from aiohttp import ClientSession, ClientTimeout

from sapphirerock.load.caller import Caller
from tools.localcluster import ORGANISATION_KEY, LocalCluster, declare_basics

MODEL = "quote"
WAIT_BOUND_S = 10.0


class ScenarioWorld:
    """A cluster and the callers of one scenario.

    Parameters
    ----------
    name : str
        Name of the scenario.
    """

    def __init__(self, name):
        self.cluster = LocalCluster(re.sub(r"[^a-z0-9]+", "-", name.lower())[:40])
        self.records = []
        self.calls = []
        self.callers = []
        self.answers = []
        self.moment_s = 0.0
        self.notes = {}
        self.trace_routers = False
        self.host_options = {}
        self._session = None

    @property
    def session(self):
        """A session of callers."""
        if self._session is None:
            self._session = ClientSession(timeout=ClientTimeout(total=30))
        return self._session

    async def start(
        self, routers, engines=(), services=(), fields=None, linked=False, **options
    ):
        """Start the platform, upstreams and routers, and declare them.

        Parameters
        ----------
        routers : list of (str, str, str)
            Host, availability zone, region.
        engines, services : list of (str, str, str, dict)
            Name, availability zone, region, options.
        fields : dict
            Further fields of the model's service.
        linked : bool
            Whether a link that can be cut stands between zones, and before the
            platform and the upstreams.
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
            cluster.start_router(host, **self._make_tracing(host), **self.host_options)
        await cluster.wait_ready()
        await declare_basics(
            cluster,
            [item[0] for item in engines],
            [item[0] for item in services],
            **(fields or {}),
        )
        await self.wait_until(
            self._knows_upstreams, "routers know the upstreams of their zones"
        )

    def _make_tracing(self, host):
        """Return the host settings that make a router write its spans."""
        if not self.trace_routers:
            return {}
        target = str(self.cluster.folder / f"{host}.spans")
        return {"tracing": {"exporter": "file", "target": target}}

    async def _knows_upstreams(self):
        for host in self.cluster.list_routers():
            status = await self.cluster.read_status(host)
            places = self.cluster.places
            zone = status["availability_zone"]
            for item in status["upstreams"]:
                if places[item["name"]][0] == zone and not item["incarnation"]:
                    return False
        return True

    async def wait_until(self, condition, what, bound_s=WAIT_BOUND_S):
        """Wait for a condition; fail when it does not come."""
        deadline_s = time.monotonic() + bound_s
        while not await condition():
            assert time.monotonic() < deadline_s, f"not within {bound_s} s: {what}"
            await asyncio.sleep(0.05)

    def make_caller(self, *hosts, resumes=True, key=ORGANISATION_KEY):
        """Return a caller that uses some routers, or all."""
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
        """Wait until the generation begun last has a number of tokens."""

        async def has_tokens():
            records = self.callers[-1].records
            return bool(records) and len(records[0].tokens) >= count

        await self.wait_until(has_tokens, f"{count} tokens")

    def read_driving_hosts(self):
        """Return the router that the generation begun last is read from."""
        url = self.callers[-1].records[0].router_urls[-1]
        return next(host for host, known in self.cluster.urls.items() if known == url)

    async def finish_calls(self, bound_s=60.0):
        """Wait for all generations that were begun; return their records."""
        async with asyncio.timeout(bound_s):
            self.records = list(await asyncio.gather(*self.calls))
        self.calls = []
        return self.records

    async def find_busy_engine(self):
        """Return the name of an engine that runs a generation."""
        found = []

        async def look():
            for host in self.cluster.list_routers():
                if not self.cluster.processes[host].is_running:
                    continue
                status = await self.cluster.read_status(host)
                found.extend(
                    item["name"] for item in status["upstreams"] if item["in_flight"]
                )
            return bool(found)

        await self.wait_until(look, "an engine is busy")
        return found[0]

    async def call(self, method, path, host=None, body=None, **headers):
        """Call a router as a caller; return status, headers and document."""
        cluster = self.cluster
        url = cluster.urls[host or cluster.list_routers()[0]] + path
        values = {"Authorization": f"Bearer {ORGANISATION_KEY}"}
        values.update({name.replace("_", "-"): text for name, text in headers.items()})
        async with self.session.request(
            method, url, data=body, headers=values
        ) as answer:
            content = await answer.read()
            return answer.status, answer.headers, content

    async def close(self, failed):
        """End callers and processes; show their output after a failure."""
        for task in self.calls:
            task.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)
        if self._session is not None:
            await self._session.close()
        if failed:
            for name in self.cluster.processes:
                print(f"--- {name}\n{self.cluster.read_log(name)}")
        self.cluster.close()
