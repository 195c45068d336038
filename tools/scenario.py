"""The state that the steps of one scenario share."""

import asyncio
import re
import time

from aiohttp import ClientSession, ClientTimeout

from sapphirerock.load.caller import Caller
from tools.localcluster import ORGANISATION_KEY, LocalCluster, write_basic_settings

MODEL = "quote"
WAIT_TIMEOUT_S = 10.0


class ScenarioWorld:
    """The cluster, callers and results of one scenario.

    Parameters
    ----------
    name : str
        Name of the scenario.

    Attributes
    ----------
    records : list of CallRecord
        Results of the background tasks, set by `finish_calls`.
    calls : list of asyncio.Future
        Tasks that are awaited by `finish_calls` or cancelled at the scenario's end.
    callers : list of Caller
        Caller of each generation begun by `begin_generation`, in order.
    order_responses : list
        Responses to orders, in order.
    fault_at_s : float
        Monotonic time of the latest fault, in seconds.
    step_data : dict
        Values that a step passes to later steps.
    trace_routers : bool
        Whether routers write their spans to files.
    router_settings : dict
        Further settings of each router.
    """

    def __init__(self, name):
        self.cluster = LocalCluster(re.sub(r"[^a-z0-9]+", "-", name.lower())[:40])
        self.records = []
        self.background_tasks = []
        self.callers = []
        self.order_responses = []
        self.fault_at_s = 0.0
        self.step_data = {}
        self.trace_routers = False
        self.router_settings = {}
        self._session = None

    @property
    def session(self):
        """The HTTP session of all callers."""
        if self._session is None:
            self._session = ClientSession(timeout=ClientTimeout(total=30))
        return self._session

    async def start(
        self,
        routers,
        engines=(),
        services=(),
        service_fields=None,
        linked=False,
        **platform_options,
    ):
        """Start the platform, upstreams and routers, and write their settings.

        Parameters
        ----------
        routers : list of (str, str, str)
            Host, availability zone, region.
        engines, services : list of (str, str, str, dict)
            Name, availability zone, region, command-line options of the stand-in.
        service_fields : dict
            Further fields of the model's service in the settings.
        linked : bool
            Whether connections between zones, to the platform and to the upstreams
            go through a link that can delay or cut them.
        platform_options : dict
            Command-line options of the platform stand-in.
        """
        cluster = self.cluster
        for host, zone, region in routers:
            cluster.plan_router(host, zone, region)
        cluster.add_platform(**platform_options)
        for name, zone, region, engine_options in engines:
            cluster.add_engine(name, zone, region, **engine_options)
        for name, zone, region, service_options in services:
            cluster.add_service(name, zone, region, **service_options)
        if linked:
            cluster.add_link()
        await cluster.wait_ready()
        for host, _, _ in routers:
            cluster.start_router(
                host, **self._make_tracing_settings(host), **self.router_settings
            )
        await cluster.wait_ready()
        await write_basic_settings(
            cluster,
            [item[0] for item in engines],
            [item[0] for item in services],
            **(service_fields or {}),
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
        """Return whether each router has reports on all upstreams of its zone.

        A router knows the incarnation of an upstream once it has a report on it.
        """
        for host in self.cluster.list_routers():
            status = await self.cluster.read_status(host)
            locations = self.cluster.upstream_locations
            zone = status["availability_zone"]
            for item in status["upstreams"]:
                if locations[item["name"]][0] == zone and not item["incarnation"]:
                    return False
        return True

    async def wait_until(self, condition, description, timeout_s=WAIT_TIMEOUT_S):
        """Wait up to `timeout_s` until a coroutine function returns a true value.

        The description completes the error "not within ... s: ".
        """
        deadline_s = time.monotonic() + timeout_s
        while not await condition():
            assert time.monotonic() < deadline_s, (
                f"not within {timeout_s} s: {description}"
            )
            await asyncio.sleep(0.05)

    def make_caller(self, *hosts, resumes=True, organisation_key=ORGANISATION_KEY):
        """Return a caller that uses routers in rotation, all if none is named.

        With `resumes`, it sends the last event id when it reconnects.
        """
        urls = self.cluster.get_router_urls(*hosts)
        return Caller(self.session, urls, organisation_key, MODEL, resumes)

    def begin_generation(
        self, prompt, tokens, *hosts, resumes=True, idempotency_key=None
    ):
        """Start reading a generation in the background; return its task."""
        caller = self.make_caller(*hosts, resumes=resumes)
        task = asyncio.ensure_future(
            caller.generate(prompt, tokens, key=idempotency_key)
        )
        self.background_tasks.append(task)
        self.callers.append(caller)
        return task

    async def wait_tokens(self, count):
        """Wait until the caller of the latest generation has `count` tokens or more."""

        async def has_tokens():
            records = self.callers[-1].records
            return bool(records) and len(records[0].tokens) >= count

        await self.wait_until(has_tokens, f"{count} tokens")

    def find_serving_router(self):
        """Return the router that the latest generation was last read from."""
        url = self.callers[-1].records[0].router_urls[-1]
        return next(
            host for host, known_url in self.cluster.urls.items() if known_url == url
        )

    async def finish_calls(self, timeout_s=60.0):
        """Wait for all background tasks; return their results.

        Raises
        ------
        TimeoutError
            If they take longer than `timeout_s`.
        """
        async with asyncio.timeout(timeout_s):
            self.records = list(await asyncio.gather(*self.background_tasks))
        self.background_tasks = []
        return self.records

    async def find_busy_engine(self):
        """Wait until a router reports an engine with a call in flight.

        Returns the name of the engine.
        """
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
        """Send a call to a router, the first one by default.

        Returns the status, headers and body of the response.

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
        """Cancel background tasks and kill all processes.

        After a failed scenario, also prints the end of each process's log.
        """
        for task in self.background_tasks:
            task.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()
        if failed:
            for name in self.cluster.processes:
                print(f"--- {name}\n{self.cluster.read_log(name)}")
        self.cluster.close()
