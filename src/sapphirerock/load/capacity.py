"""A fleet's needs at a size, worked out from measured slopes.

The slopes stand in ``docs/measured.json`` with the commands that gave them. Each
line names the mechanism that carries a need and the bound beside it.
"""

import math
from dataclasses import dataclass

import orjson

from sapphirerock.process.engines.watchers import POLL_INTERVAL_S
from sapphirerock.process.orders.placer import (
    CANDIDATE_INTERVAL_S,
    CANDIDATES_PER_ZONE,
    RENEW_INTERVAL_S,
)
from sapphirerock.process.peers.table import HUBS_PER_ZONE
from sapphirerock.process.replicas.feed import WATCHERS_PER_ZONE

CONTROL_CPU_PERCENT = 2.0
CONTROL_MEMORY_BYTES = 32e6
CONTROL_BYTES_PER_S = 11e3
PLATFORM_WRITES_PER_S = 300
PLATFORM_READS_PER_S = 2000
SECONDS_PER_DAY = 86_400
MEGABYTE = 1e6


@dataclass(slots=True, frozen=True)
class FleetSize:
    """What a fleet is to carry.

    Parameters
    ----------
    token_gap_s : float
        Time between two tokens of a generation, in seconds.
    """

    nodes: int = 370
    engines: int = 600
    zones: int = 8
    organisations: int = 40_000
    requests_per_s: float = 6_700.0
    tokens_per_s: float = 2_600_000.0
    token_gap_s: float = 0.069
    changes_per_day: int = 1_700
    restarts_per_day: int = 110

    @property
    def node_tokens_per_s(self):
        """Tokens that one node relays in a second."""
        return self.tokens_per_s / self.nodes

    @property
    def node_generations(self):
        """Generations under way on one node."""
        return self.node_tokens_per_s * self.token_gap_s

    @property
    def zone_engines(self):
        """Engines of one availability zone."""
        return self.engines / self.zones

    @property
    def zone_nodes(self):
        """Nodes of one availability zone."""
        return self.nodes / self.zones

    @property
    def hub_streams(self):
        """Streams that a hub keeps: its zone's nodes and the other zones' hubs."""
        return self.zone_nodes - 1 + HUBS_PER_ZONE * (self.zones - 1)


@dataclass(slots=True, frozen=True)
class Slopes:
    """Measured costs of one unit each; see ``docs/measured.json``.

    Parameters
    ----------
    token_cpu_us : float
        Processor time of a relayed token with the journal, in microseconds.
    generation_bytes : float
        Memory of a generation under way.
    journal_bytes_per_token : float
        Bytes to the journal holder for a token.
    organisation_bytes, organisation_peak_bytes : float
        Memory of an organisation, kept and while the index is rebuilt.
    rebuild_us_per_organisation : float
        Time of a rebuild for each organisation.
    idle_cpu_percent, idle_bytes_per_s : float
        Control of a host at rest.
    load_sample_bytes : float
        Bytes of one load sample on one stream.
    load_sample_cpu_us : float
        Processor time to take one sample and pass it on.
    poll_cpu_us : float
        Processor time of one poll of an engine.
    watch_calls_per_zone_s : float
        Platform calls of one zone at rest, a second.
    router_bytes : float
        Resident memory of a router without work.
    """

    token_cpu_us: float
    generation_bytes: float
    journal_bytes_per_token: float
    organisation_bytes: float
    organisation_peak_bytes: float
    rebuild_us_per_organisation: float
    idle_cpu_percent: float
    idle_bytes_per_s: float
    load_sample_bytes: float
    load_sample_cpu_us: float
    poll_cpu_us: float
    watch_calls_per_zone_s: float
    router_bytes: float


@dataclass(slots=True, frozen=True)
class Need:
    """One line of the page."""

    role: str
    quantity: str
    value: float
    unit: str
    mechanism: str
    bound: float | None = None

    @property
    def verdict(self):
        """Whether the bound is kept, in words."""
        if self.bound is None:
            return ""
        return "kept" if self.value <= self.bound else "missed"

    def format(self):
        """Return the line as a row of a table."""
        bound = "" if self.bound is None else f"{self.bound:g}"
        return (
            f"| {self.role} | {self.quantity} | {self.value:.3g} {self.unit} | "
            f"{bound} | {self.verdict} | {self.mechanism} |"
        )


def read_slopes(path):
    """Read the slopes of a file of measured figures."""
    with open(path, "rb") as stream:
        return Slopes(**orjson.loads(stream.read())["slopes"])


def work_out_relay(size, slopes):
    """Return what relaying takes on one node: the data path."""
    cores = size.node_tokens_per_s * slopes.token_cpu_us / 1e6
    journal = size.node_tokens_per_s * slopes.journal_bytes_per_token
    memory = size.node_generations * slopes.generation_bytes
    return [
        Need("relay", "tokens", size.node_tokens_per_s, "/s", "one task a stream"),
        Need("relay", "generations", size.node_generations, "", "generation table"),
        Need("relay", "processor", cores, "cores", "events relayed one by one"),
        Need(
            "relay",
            "router processes a node",
            math.ceil(cores / 0.7),
            "",
            "several routers on a node, each a host of the list, at 70% of a core",
        ),
        Need("relay", "memory", memory / MEGABYTE, "MB", "segments of each generation"),
        Need(
            "journal",
            "bytes to holders, as data",
            journal / 1e3,
            "KB/s",
            "appends batched by holder",
        ),
        Need(
            "journal",
            "the same, if it were control",
            journal / 1e3,
            "KB/s",
            "appends batched by holder",
            CONTROL_BYTES_PER_S / 1e3,
        ),
    ]


def work_out_control(size, slopes):
    """Return what control takes on one node, beyond the data path."""
    # Each sample crosses each of a host's streams once.
    samples_per_s = size.zone_engines / POLL_INTERVAL_S
    load_bytes = samples_per_s * HUBS_PER_ZONE * slopes.load_sample_bytes
    load_cpu = samples_per_s * HUBS_PER_ZONE * slopes.load_sample_cpu_us / 1e4
    hub_bytes = samples_per_s * size.hub_streams * slopes.load_sample_bytes
    hub_cpu = samples_per_s * size.hub_streams * slopes.load_sample_cpu_us / 1e4
    poll_cpu = samples_per_s / size.zone_nodes * slopes.poll_cpu_us / 1e4
    change_cpu = (
        size.changes_per_day
        / SECONDS_PER_DAY
        * size.organisations
        * slopes.rebuild_us_per_organisation
        / 1e4
    )
    cpu = slopes.idle_cpu_percent + load_cpu + poll_cpu + change_cpu
    sent = slopes.idle_bytes_per_s + load_bytes
    kept = size.organisations * slopes.organisation_bytes
    peak = size.organisations * slopes.organisation_peak_bytes
    percent = "% of a core"
    return [
        Need(
            "control", "at rest", slopes.idle_cpu_percent, percent, "heartbeats, watch"
        ),
        Need("control", "loads", load_cpu, percent, "digests to the zone's hubs"),
        Need(
            "hub", "loads", hub_cpu, percent, "digests to the zone", CONTROL_CPU_PERCENT
        ),
        Need("control", "polls", poll_cpu, percent, "one watcher an engine"),
        Need("control", "settings", change_cpu, percent, "index rebuilt a change"),
        Need("control", "processor, all", cpu, percent, "", CONTROL_CPU_PERCENT),
        Need(
            "control",
            "bytes sent",
            sent / 1e3,
            "KB/s",
            "streams to hubs alone",
            CONTROL_BYTES_PER_S / 1e3,
        ),
        Need(
            "hub",
            "bytes sent",
            (slopes.idle_bytes_per_s + hub_bytes) / 1e3,
            "KB/s",
            f"{HUBS_PER_ZONE} hubs a zone",
            CONTROL_BYTES_PER_S / 1e3,
        ),
        Need(
            "control",
            "settings, memory kept",
            kept / MEGABYTE,
            "MB",
            "organisations packed as bytes",
            CONTROL_MEMORY_BYTES / MEGABYTE,
        ),
        Need(
            "control",
            "settings, memory at a rebuild",
            peak / MEGABYTE,
            "MB",
            "one sorted index",
            CONTROL_MEMORY_BYTES / MEGABYTE,
        ),
    ]


def work_out_platform(size, slopes):
    """Return what all nodes ask of the platform."""
    watch = size.zones * slopes.watch_calls_per_zone_s
    starts = 3 * size.restarts_per_day / SECONDS_PER_DAY
    changes = 2 * size.changes_per_day / SECONDS_PER_DAY
    candidates = size.zones * CANDIDATES_PER_ZONE
    lease = candidates / RENEW_INTERVAL_S + size.nodes / CANDIDATE_INTERVAL_S
    return [
        Need(
            "platform",
            "watches and host lists",
            watch,
            "calls/s",
            f"{WATCHERS_PER_ZONE} watchers a zone",
            PLATFORM_READS_PER_S,
        ),
        Need("platform", "starts of hosts", starts, "calls/s", "one list a start"),
        Need("platform", "changes", changes, "calls/s", "read, conditional write"),
        Need(
            "placer",
            "lease and host list",
            lease,
            "reads/s",
            f"{CANDIDATES_PER_ZONE} candidates a zone; the others look rarely",
            PLATFORM_READS_PER_S,
        ),
    ]


def format_capacity(size, slopes):
    """Return the page's tables as Markdown."""
    header = "| role | quantity | at the size | bound | verdict | mechanism |"
    lines = [header, "| --- | --- | ---: | ---: | --- | --- |"]
    needs = work_out_relay(size, slopes)
    needs += work_out_control(size, slopes)
    needs += work_out_platform(size, slopes)
    return "\n".join([*lines, *(need.format() for need in needs)])
