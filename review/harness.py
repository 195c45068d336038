"""A small deployment for the cases of the review, on loopback and the real clock.

Starts the router with the command of the deploy file, the project's stand-ins of the
store and of engines, and callers. Needs nothing beyond the standard library itself; the
started programs use the libraries that the deploy file's build puts into ``target``.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
READY_TIMEOUT_S = 20.0
# What the command `sapphirerock-standin` runs.
STANDIN_PROGRAM = "from sapphirerock.standin.cli import main; main()"
# The three exit statuses of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not run, which shows nothing about the rule."""


class Response:
    """Response of one exchange.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no whole head arrived.
    headers : dict
        Headers by name in lower case.
    body : bytes
        Body as far as it arrived, without the framing of chunks.
    is_complete : bool
        Whether the body arrived to its end.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False


class Connection:
    """One HTTP/1.1 connection of a caller.

    Parameters
    ----------
    address : str
        Address as ``ip:port``.
    """

    def __init__(self, address):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._reader = self._writer = None

    async def __aenter__(self):
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(self._host, self._port), 1.0
        )
        return self

    async def __aexit__(self, *exception):
        self._writer.close()

    async def request(self, method, target, headers=(), body=b"", on_data=None):
        """Send a request and read its response; a broken one is left incomplete."""
        head = [f"{method} {target} HTTP/1.1"]
        head += [f"{name}: {value}" for name, value in headers]
        if body or method in ("POST", "PUT"):
            head.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join([*head, "", ""]).encode() + body)
        response = Response()
        try:
            await self._read_head(response)
            await self._read_body(response, on_data)
            response.is_complete = True
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        return response

    async def _read_head(self, response):
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        response.status = int(lines[0].split(" ")[1])
        for line in lines[1:-2]:
            name, _, value = line.partition(":")
            response.headers[name.strip().lower()] = value.strip()

    async def _read_body(self, response, on_data):
        def add(data):
            response.body += data
            if on_data is not None:
                on_data(response)

        if "chunked" in response.headers.get("transfer-encoding", ""):
            while True:
                line = await self._reader.readuntil(b"\r\n")
                size = int(line.split(b";")[0], 16)
                data = await self._reader.readexactly(size + 2)
                if not size:
                    return
                add(data[:-2])
        size = int(response.headers.get("content-length", 0))
        if size:
            add(await self._reader.readexactly(size))


async def exchange(address, method, target, headers=(), body=b"", timeout_s=5.0):
    """Send one request on a connection of its own; return the response."""
    response = Response()
    try:
        async with asyncio.timeout(timeout_s):
            async with Connection(address) as connection:
                base = [("Connection", "close"), *headers]
                if "Host" not in dict(headers):
                    base.insert(0, ("Host", address))
                response = await connection.request(method, target, base, body)
    except (TimeoutError, OSError):
        pass
    return response


class Deployment:
    """Routers, a store and engines as child processes on loopback addresses.

    Parameters
    ----------
    case : str
        Folder of the case, into which the record goes.
    """

    def __init__(self, case):
        self.case = Path(case).resolve()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.started_s = time.monotonic()
        self.lines = []
        self.processes = {}
        self.routers = {}
        self.engines = {}
        self.store = ""
        # The deploy file fixes the port of the metrics, so runs beside each other need
        # addresses of their own.
        self._network = random.randint(16, 250), random.randint(2, 250)
        with (ROOT / "deploy/system.toml").open("rb") as stream:
            self._run = tomllib.load(stream)["roles"]["router"]["run"].split()

    def log(self, text):
        """Add a line to the record, with the time since the start."""
        self.lines.append(f"{time.monotonic() - self.started_s:8.3f} s  {text}")

    def write_record(self):
        """Write the record of the case."""
        (self.case / "record.txt").write_text("\n".join([*self.lines, ""]))

    def make_address(self, number):
        """Return a loopback address for a program of this deployment."""
        return f"127.{self._network[0]}.{number}.{self._network[1]}"

    def find_port(self, address):
        """Return a free TCP port at an address."""
        with socket.socket() as probe:
            probe.bind((address, 0))
            return probe.getsockname()[1]

    def spawn(self, name, arguments, **variables):
        """Start a child process; its output goes into the temporary folder."""
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONUNBUFFERED"] = "1"
        environment.update(variables)
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                arguments, stdout=output, stderr=output, cwd=ROOT, env=environment
            )

    def spawn_standin(self, name, *arguments):
        """Start one of the project's stand-ins."""
        command = [sys.executable, "-c", STANDIN_PROGRAM]
        self.spawn(name, [*command, *map(str, arguments)])

    def send_signal(self, name, number):
        """Send a signal to a process that this deployment started."""
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(number)

    def kill(self, name):
        """End a process with SIGKILL and wait for it."""
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait(5.0)

    async def start_store(self):
        """Start the stand-in of the platform's store."""
        address = self.make_address(0)
        self.store = f"{address}:{self.find_port(address)}"
        port = self.store.rpartition(":")[2]
        self.spawn_standin("store", "platform", "--host", address, "--port", port)
        await self.wait_for(self.is_store_up, "the store")

    async def is_store_up(self):
        """Return whether the store answers."""
        return (
            await exchange(self.store, "GET", "/calls", timeout_s=0.5)
        ).status == 200

    async def wait_for(self, condition, what, timeout_s=READY_TIMEOUT_S):
        """Wait until a coroutine function returns a true value."""
        deadline_s = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > deadline_s:
                raise CaseError(f"not ready in time: {what}")
            await asyncio.sleep(0.05)

    async def put_configuration(self, document):
        """Write the operator's configuration, as the first or a later version."""
        base = "/sapphirerock/objects/config"
        body = {"metadata": {"name": "main"}, "spec": document}
        content = json.dumps(body).encode()
        response = await exchange(self.store, "POST", base, body=content)
        if response.status == 409:
            response = await exchange(self.store, "PUT", base + "/main", body=content)
        if response.status not in (200, 201):
            raise CaseError(f"configuration not written: {response.status}")

    async def list_servers(self):
        """Return the registrations in the store by address."""
        response = await exchange(self.store, "GET", "/sapphirerock/objects/servers")
        items = json.loads(response.body)["items"]
        return [(item["metadata"]["name"], item["spec"]) for item in items]

    def start_engine(self, name, service, zone, **options):
        """Start an engine, or start it again at its address."""
        if name not in self.engines:
            address = self.make_address(len(self.engines) + 1)
            self.engines[name] = f"{address}:{self.find_port(address)}"
        address, _, port = self.engines[name].rpartition(":")
        arguments = ["shared-engine", "--host", address, "--port", port]
        arguments += ["--store", f"http://{self.store}", "--service", service]
        arguments += ["--zone", zone]
        for key, value in options.items():
            arguments += [f"--{key}", value]
        self.spawn_standin(name, *arguments)

    async def expire_registration(self, name):
        """Remove the entries of an engine's address, as the store does in time."""
        address = self.engines[name]
        for entry, spec in await self.list_servers():
            if spec.get("address") == address:
                path = f"/sapphirerock/objects/servers/{entry}"
                await exchange(self.store, "DELETE", path)

    def plan_router(self, name, zone, region):
        """Reserve the address and ports of a router."""
        address = self.make_address(100 + len(self.routers))
        self.routers[name] = {
            "zone": zone,
            "region": region,
            "ip": address,
            "front": f"{address}:{self.find_port(address)}",
            "ready": f"{address}:{self.find_port(address)}",
            "control": f"{address}:{self.find_port(address)}",
        }

    def start_router(self, name, **bounds):
        """Write a router's settings file and start it as the deploy file does."""
        router = self.routers[name]
        settings = {
            "node": name,
            "role": "router",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": router["ip"],
            "zone": router["zone"],
            "region": router["region"],
            "zones": {item["zone"]: item["region"] for item in self.routers.values()},
            "listen": {key: router[key] for key in ("front", "ready", "control")},
            "port_range": [7340, 7355],
            "seeds": [item["control"] for item in list(self.routers.values())[:3]],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "heartbeat_ms": 1200,
            "bounds": {
                "contact_ms": 4000,
                "drain_ms": 3000,
                "grace_s": 8,
                "loss_slack_ms": 200,
                "config_apply_ms": 3000,
                "budget_ratio": 0.8,
                "budget_window_s": 10,
                "budget_slack": 150,
                "recover_s": 12,
                **bounds,
            },
            "platform": {
                "address": self.store,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        command = [sys.executable if self._run[0] == "python3" else self._run[0]]
        self.spawn(name, [*command, *self._run[1:]], SAPPHIREROCK_BOOT=str(path))

    async def is_ready(self, name):
        """Return whether a router says that it is ready."""
        path = "/sapphirerock/readiness"
        address = self.routers[name]["ready"]
        return (await exchange(address, "GET", path, timeout_s=1.0)).status == 200

    async def wait_ready(self, *names):
        """Wait until routers are ready, all if none is named.

        One that ends by itself is started again, as the platform does.
        """

        async def is_ready(name):
            status = self.processes[name].poll()
            if status is not None:
                lines = self.search_log(name, ".")
                self.log(f"{name} ended by itself: {status}, {lines[-1:]}")
                await asyncio.sleep(0.5)
                self.start_router(name)
            return await self.is_ready(name)

        for name in names or self.routers:
            await self.wait_for(lambda name=name: is_ready(name), name)

    def search_log(self, name, pattern):
        """Return the lines of a process's output in which a pattern is found."""
        path = self.folder / f"{name}.log"
        lines = path.read_text(errors="replace").splitlines() if path.exists() else []
        return [line for line in lines if re.search(pattern, line)]

    def close(self):
        """End all processes that were started, and remove the temporary folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(5.0)
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_route(name, prefix, kind, service, **fields):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": kind == "streaming",
        **fields,
    }


def make_configuration(routes, tenants, version=1, handle_s=4.0):
    """Return an operator's configuration.

    Parameters
    ----------
    routes : list
        Routes.
    tenants : dict
        Keys by the name of their tenant.
    """
    engine = {
        "slots": 64,
        "kv_tokens": 88_000,
        "stride": 1,
        "backups": True,
        "moves": True,
        "handle_s": handle_s,
    }
    services = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "max_conns": 370}
            | ({"engine": engine} if name == "model" else {})
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1 << 20,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {"name": name, "api_keys": keys, "priority": 1}
            for name, keys in tenants.items()
        ],
    }


def run_case(case, play):
    """Run a case and exit with its status; the record is written in any event.

    Parameters
    ----------
    case : str
        Folder of the case.
    play : coroutine function
        Takes the deployment; returns whether the rule was broken.
    """
    deployment = Deployment(case)
    status = COULD_NOT_RUN
    try:
        status = BROKEN if asyncio.run(play(deployment)) else HELD
    except (CaseError, TimeoutError, OSError, ValueError, KeyError) as error:
        deployment.log(f"the case could not run: {error!r}")
    finally:
        verdict = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}
        deployment.log(f"trouble: {HAS_TROUBLE}, rule: {verdict[status]}")
        deployment.write_record()
        deployment.close()
    print("\n".join(deployment.lines[-12:]))
    sys.exit(status)
