"""Measurements of how memory, time and bytes grow with the size of the fleet."""

import asyncio
import gc
import hashlib
import socket
import statistics
import time
import tracemalloc
from contextlib import closing
from dataclasses import dataclass

import orjson

from sapphirerock.process.router import RouterService
from sapphirerock.process.settings.hostsettings import HostAddress, HostSettings
from sapphirerock.process.settings.store import Envelope, SettingsStore
from sapphirerock.process.web import WebService
from sapphirerock.standin.platform import PlatformStandin

MEASUREMENTS = {}
ORGANISATIONS_PER_GROUP = 400
LOOKUP_COUNT = 2000
# Time for the routers of a fleet to connect, and time over which costs are averaged.
FLEET_WARM_UP_S = 6.0
FLEET_MEASUREMENT_S = 10.0
ADDRESS = "127.0.0.1"
# Shared iterator, so that no port is tried twice in one process.
PORTS = iter(range(7_000, 15_000))


def register_measurement(name):
    """Register a function that returns a `SlopeTable` under a name."""

    def register(function):
        MEASUREMENTS[name] = function
        return function

    return register


@dataclass(slots=True, frozen=True)
class SlopeRow:
    """Values measured at one size, in the order of the table's columns."""

    size: int
    values: tuple


@dataclass(slots=True, frozen=True)
class SlopeTable:
    """Values measured at several sizes.

    Parameters
    ----------
    unit : str
        What the size counts, such as hosts.
    columns : tuple of str
        Names of the values with their units.
    rows : tuple of SlopeRow
        One row for each size.
    """

    unit: str
    columns: tuple
    rows: tuple

    def fit(self):
        """Return (slope, intercept) of a linear fit of each column over the size."""
        sizes = [row.size for row in self.rows]
        fits = []
        for position in range(len(self.columns)):
            values = [row.values[position] for row in self.rows]
            regression = statistics.linear_regression(sizes, values)
            fits.append((regression.slope, regression.intercept))
        return fits


def format_slopes(name, table):
    """Return a table as Markdown, with the slopes in its last row."""
    header = f"| {table.unit} | " + " | ".join(table.columns) + " |"
    lines = [f"{name}", header, "|" + " ---: |" * (len(table.columns) + 1)]
    for row in table.rows:
        values = " | ".join(f"{value:.4g}" for value in row.values)
        lines.append(f"| {row.size} | {values} |")
    slopes = " | ".join(f"{slope:.4g}" for slope, _ in table.fit())
    lines.append(f"| slope for one | {slopes} |")
    return "\n".join(lines)


def make_organisation_group(number, size):
    """Return the settings document of a group of organisations, as stored.

    Parameters
    ----------
    number : int
        Number of the group.
    size : int
        Number of organisations in the group.
    """
    organisations = [
        {
            "name": f"organisation-{number}-{position}",
            "key_sha256": hashlib.sha256(f"{number}-{position}".encode()).hexdigest(),
            "weight": 1,
            "requests_per_s": 20,
        }
        for position in range(size)
    ]
    document = {"kind": "organisations", "organisations": organisations}
    return Envelope(document, "load", ("change",)).encode()


@register_measurement("organisations")
def measure_organisations(sizes=(10_000, 20_000, 40_000)):
    """Measure memory and time that the settings of many organisations take."""
    rows = []
    for size in sizes:
        groups = [
            (f"settings/load/organisations/{number}", number + 1, value)
            for number, value in enumerate(
                make_organisation_group(number, ORGANISATIONS_PER_GROUP)
                for number in range(size // ORGANISATIONS_PER_GROUP)
            )
        ]
        rows.append(SlopeRow(size, measure_store(groups)))
    columns = (
        "memory kept, bytes",
        "memory at the peak, bytes",
        "first build, s",
        "rebuild after one change, s",
        "lookup, us",
    )
    return SlopeTable("organisations", columns, tuple(rows))


def measure_store(groups):
    """Return the memory and times of a store with the given groups.

    The values are in the order of the columns of `measure_organisations`.

    Parameters
    ----------
    groups : list of (str, int, bytes)
        Path, version and stored value of each group.
    """
    gc.collect()
    tracemalloc.start()
    store = SettingsStore()
    store.apply(0, len(groups), groups)
    gc.collect()
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.reset_peak()
    store.apply(len(groups), len(groups) + 1, [change_group(groups)])
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    build_s = time_call(lambda: SettingsStore().apply(0, len(groups), groups))
    rebuild_s = time_call(
        lambda: store.apply(len(groups) + 1, len(groups) + 2, [change_group(groups, 2)])
    )
    index = store.snapshot.organisations
    started_s = time.perf_counter()
    for number in range(LOOKUP_COUNT):
        index.find_by_key(f"{number % len(groups)}-7")
    lookup_us = (time.perf_counter() - started_s) / LOOKUP_COUNT * 1e6
    return kept_bytes, peak_bytes, build_s, rebuild_s, lookup_us


def change_group(groups, change_number=1):
    """Return a later version of the first group, with one more change id."""
    path, _, value = groups[0]
    document = orjson.loads(value)
    document["changes"].append(str(change_number))
    return path, len(groups) + change_number, orjson.dumps(document)


def time_call(function):
    """Return the seconds that a call takes."""
    started_s = time.perf_counter()
    function()
    return time.perf_counter() - started_s


def find_free_port():
    """Return a TCP port that nothing listens on.

    The port is outside the range that the system uses for outgoing connections.
    """
    for port in PORTS:
        with closing(socket.socket()) as probe:
            try:
                probe.bind((ADDRESS, port))
            except OSError:
                continue
            return port
    raise OSError("no free port")


class Fleet:
    """Idle routers and a platform stand-in in one process.

    Parameters
    ----------
    hosts : int
        Number of routers.
    zones : int
        Number of availability zones, to which the routers are assigned in rotation.
    """

    def __init__(self, hosts, zones):
        self.platform = PlatformStandin(delay_s=0.0)
        self._platform_port = find_free_port()
        self._addresses = [
            HostAddress(
                f"host-{number:03d}",
                f"zone-{number % zones}",
                f"region-{number % zones % 2}",
                ADDRESS,
                find_free_port(),
                find_free_port(),
            )
            for number in range(hosts)
        ]
        self.routers = []
        self._platform_server = None

    async def start(self):
        """Start the stand-in and all routers; give the routers time to connect."""
        self._platform_server = WebService(
            self.platform.make_application(), ADDRESS, self._platform_port
        )
        await self._platform_server.start()
        for address in self._addresses:
            settings = HostSettings(
                address,
                f"http://{ADDRESS}:{self._platform_port}",
                "a-key-that-peers-share",
                "0" * 64,
                tuple(other for other in self._addresses if other != address),
            )
            router = RouterService(settings)
            await router.start()
            self.routers.append(router)
        await asyncio.sleep(FLEET_WARM_UP_S)

    async def stop(self):
        """Stop all routers, then the stand-in."""
        await asyncio.gather(*(router.stop() for router in self.routers))
        await self._platform_server.stop()

    def count_peer_bytes(self):
        """Return the number of bytes that all routers sent to peers."""
        return sum(
            sample.value
            for router in self.routers
            for metric in router.metrics.peer_bytes.collect()
            for sample in metric.samples
            if sample.name.endswith("_total")
        )

    def count_streams(self):
        """Return the number of peer streams of all routers."""
        return sum(len(router.peers.streams) for router in self.routers)


async def measure_fleet_once(hosts, zones):
    """Return the costs of an idle fleet, in the order of columns of `measure_fleet`."""
    fleet = Fleet(hosts, zones)
    await fleet.start()
    try:
        calls = sum(fleet.platform.calls.values())
        sent_bytes = fleet.count_peer_bytes()
        cpu_s = time.process_time()
        await asyncio.sleep(FLEET_MEASUREMENT_S)
        cpu_s = time.process_time() - cpu_s
        sent_bytes = fleet.count_peer_bytes() - sent_bytes
        calls = sum(fleet.platform.calls.values()) - calls
        streams = fleet.count_streams()
    finally:
        await fleet.stop()
    host_seconds = FLEET_MEASUREMENT_S * hosts
    return (
        calls / FLEET_MEASUREMENT_S,
        sent_bytes / host_seconds,
        100 * cpu_s / host_seconds,
        streams / hosts,
    )


@register_measurement("fleet")
def measure_fleet(sizes=(8, 24, 48), zones=4):
    """Measure calls, bytes and CPU use of idle hosts as the number of hosts grows."""
    rows = [
        SlopeRow(size, asyncio.run(measure_fleet_once(size, zones))) for size in sizes
    ]
    columns = (
        "platform calls a second, all hosts",
        "bytes a second to peers, a host",
        "percent of a core, a host",
        "peer streams, a host",
    )
    return SlopeTable("hosts", columns, tuple(rows))
