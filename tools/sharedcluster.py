"""A local cluster of edges with stand-ins for the shared platform.

An edge is a router process that serves callers of the shared platform.
"""

import asyncio
import json
import time
from dataclasses import dataclass

from aiohttp import ClientError, ClientSession, ClientTimeout

from sapphirerock.platform.storewire import make_path
from tools.localcluster import LocalCluster, find_free_port, format_options

HOST_HEADER = "ficu95.example"
CALLER_KEY = "key-of-weavers"
ORGANISATION = "weavers"
SHUTDOWN_GRACE_S = 4.0
READY_TIMEOUT_S = 8.0
STREAM_PREFIX, ORDER_PREFIX, LOOKUP_PREFIX = "/review/", "/order/", "/stock/"


@dataclass(slots=True)
class PlannedEdge:
    """Name, location and reserved address and ports of an edge."""

    name: str
    zone: str
    region: str
    address: str
    caller_port: int
    readiness_port: int
    peer_port: int
    metrics_port: int


def make_route(name, prefix, kind, service, **fields):
    """Return a route of the operator's configuration; the fields override defaults."""
    return {
        "name": name,
        "host": HOST_HEADER,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 8000 if kind == "streaming" else 1000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 5 if kind == "streaming" else 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": kind == "streaming",
        **fields,
    }


def make_configuration(version=1, routes=None, keys=(CALLER_KEY,), **limits):
    """Return an operator's configuration with two services.

    It has three routes unless `routes` is given; `limits` override the defaults.
    """
    default = [
        make_route("review", STREAM_PREFIX, "streaming", "model"),
        make_route("order", ORDER_PREFIX, "non_idempotent", "shop", max_attempts=1),
        make_route("stock", LOOKUP_PREFIX, "idempotent", "shop"),
    ]
    engine = {
        "slots": 16,
        "kv_tokens": 88_000,
        "stride": 1,
        "backups": True,
        "moves": True,
        "handle_s": 4.0,
    }
    return {
        "version": version,
        "routes": default if routes is None else routes,
        "services": [
            {"name": "model", "max_conns": 100, "engine": engine},
            {"name": "shop", "max_conns": 100},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1 << 20,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 3000,
            **limits,
        },
        "tenants": [{"name": ORGANISATION, "api_keys": list(keys), "priority": 1}],
    }


class SharedCluster(LocalCluster):
    """Edges, a platform stand-in and engine stand-ins that register themselves.

    Parameters
    ----------
    name : str
        First part of the name of the folder for logs and settings files.
    """

    def __init__(self, name):
        super().__init__(name)
        self.edges = {}
        self._zones_by_region = {}

    def add_shared_engine(self, name, service, zone, **options):
        """Start an engine stand-in that registers itself in the store."""
        address = self.get_zone_prefix(zone) + "2"
        port = find_free_port(address)
        self.urls[name] = f"http://{address}:{port}"
        self.spawn(
            name,
            "standin",
            "shared-engine",
            "--host",
            address,
            "--port",
            port,
            "--store",
            self.urls["platform"],
            "--service",
            service,
            "--zone",
            zone,
            *format_options(options),
        )

    def plan_edge(self, name, zone, region):
        """Reserve address and ports of an edge.

        The first three edges are the seeds, the peers that a starting edge contacts.
        """
        address = f"{self.get_zone_prefix(zone)}{10 + len(self.edges)}"
        ports = [find_free_port(address) for _ in range(4)]
        self.edges[name] = PlannedEdge(name, zone, region, address, *ports)
        self._zones_by_region[zone] = region

    def write_settings(self, name, **changes):
        """Write an edge's settings file; return its path.

        The changes replace or extend top-level fields.
        """
        edge = self.edges[name]
        document = {
            "node": name,
            "role": "router",
            "zone": edge.zone,
            "region": edge.region,
            "zones": self._zones_by_region,
            "ip": edge.address,
            "listen": {
                "front": f"{edge.address}:{edge.caller_port}",
                "ready": f"{edge.address}:{edge.readiness_port}",
                "control": f"{edge.address}:{edge.peer_port}",
            },
            "port_range": [edge.peer_port + 1, edge.peer_port + 2],
            "seeds": [
                f"{item.address}:{item.peer_port}"
                for item in list(self.edges.values())[:3]
            ],
            "bounds": {
                "grace_s": SHUTDOWN_GRACE_S,
                "drain_ms": 3000,
                "contact_ms": 4000,
                "budget_ratio": 0.8,
                "budget_window_s": 10,
                "budget_slack": 150,
            },
            "platform": {
                "address": self.urls["platform"].removeprefix("http://"),
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1 << 20,
            },
            "limits": {
                "cpu_share": 0.5,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000,
            },
            "a_field_of_tomorrow": {"any": "value"},
            **changes,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document))
        return path

    def start_edge(self, name, **changes):
        """Start a planned edge, or restart it after it has ended."""
        path = self.write_settings(name, **changes)
        if name in self.processes:
            self.processes[name].start()
        else:
            self.spawn(name, "router", *self.make_arguments(name), path)

    def make_arguments(self, name):
        """Return the command-line options of an edge."""
        return ["--platform", "--metrics-port", str(self.edges[name].metrics_port)]

    def get_metrics_url(self, name):
        """Return the URL of an edge's metrics."""
        edge = self.edges[name]
        return f"http://{edge.address}:{edge.metrics_port}/metrics"

    async def put_configuration(self, document):
        """Write the operator's configuration to the store."""
        await self.put_object("config", "main", document)

    async def list_objects(self, kind):
        """Return the documents of all objects of a kind in the store."""
        async with ClientSession() as session:
            url = self.urls["platform"] + make_path(kind)
            async with session.get(url) as response:
                return (await response.json(content_type=None))["items"]

    async def delete_objects(self, kind):
        """Delete all objects of a kind from the store."""
        async with ClientSession() as session:
            for item in await self.list_objects(kind):
                path = make_path(kind, item["metadata"]["name"])
                async with session.delete(self.urls["platform"] + path) as response:
                    assert response.status == 200, await response.text()

    async def is_edge_ready(self, name):
        """Return whether an edge reports that it is ready."""
        edge = self.edges[name]
        url = f"http://{edge.address}:{edge.readiness_port}/sapphirerock/readiness"
        try:
            async with ClientSession(timeout=ClientTimeout(total=1)) as session:
                async with session.get(url) as response:
                    return response.status == 200
        except (ClientError, TimeoutError, OSError):
            return False

    async def wait_edges_ready(self, *names):
        """Wait until edges, or all if none is named, are ready.

        Fails with the end of an edge's log after `READY_TIMEOUT_S`.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for name in names or self.edges:
            while not await self.is_edge_ready(name):
                assert time.monotonic() < deadline_s, self.read_log(name)
                await asyncio.sleep(0.03)

    async def read_engine(self, name):
        """Return an engine's id and all of its runs.

        Waits up to `READY_TIMEOUT_S` while the engine is unreachable.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while True:
            try:
                return await self.get_json(self.urls[name] + "/standin/runs")
            except (ClientError, OSError):
                if time.monotonic() > deadline_s:
                    raise
                await asyncio.sleep(0.05)

    async def list_runs(self, waits=True):
        """Return the runs of all engines by engine name.

        With `waits`, waits for engines that can't be reached; otherwise leaves them
        out.
        """
        runs_by_engine = {}
        for name in self.urls:
            if name in self.processes and name not in ("platform", *self.edges):
                try:
                    read = self.read_engine if waits else self.read_engine_once
                    runs_by_engine[name] = (await read(name))["runs"]
                except (ClientError, OSError):
                    if waits:
                        raise
        return runs_by_engine

    async def read_engine_once(self, name):
        """Return an engine's id and all of its runs, without waiting for it."""
        return await self.get_json(self.urls[name] + "/standin/runs")

    def read_log_entries(self, name):
        """Return the decoded JSON log lines of an edge."""
        lines = self.processes[name].log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]
