"""Estimates of the resources that a fleet needs, from measured unit costs.

``docs/measured.json`` holds the unit costs and the commands that measure them.
Each row of the output names the mechanism that causes the cost and its bound, if
any.
"""

import math
from dataclasses import dataclass

import orjson

from sapphirerock.process.engines.watchers import POLL_INTERVAL_S
from sapphirerock.process.orders.placer import (
    CANDIDATE_REFRESH_INTERVAL_S,
    LEASE_CANDIDATES_PER_ZONE,
    LEASE_RENEW_INTERVAL_S,
)
from sapphirerock.process.peers.table import HUBS_PER_ZONE
from sapphirerock.process.replicas.feed import WATCHERS_PER_ZONE

# Bounds for one node's control traffic, which is all traffic outside the data path. The
# CPU bound is in percent of a core.
MAX_CONTROL_CPU_PERCENT = 2.0
MAX_CONTROL_MEMORY_BYTES = 32e6
MAX_CONTROL_BYTES_PER_S = 11e3
# Bounds for the calls of the whole fleet to the platform.
MAX_PLATFORM_WRITES_PER_S = 300
MAX_PLATFORM_READS_PER_S = 2000
SECONDS_PER_DAY = 86_400
BYTES_PER_MB = 1e6


@dataclass(slots=True, frozen=True)
class FleetSize:
    """Size of a fleet and its load.

    Parameters
    ----------
    nodes : int
        Machines that run routers. A node may run several, each a host of its own in the
        host list.
    engines, zones : int
        Engines and availability zones of the whole fleet.
    organisations : int
        Organisations in the settings.
    requests_per_s, tokens_per_s : float
        Load of the whole fleet.
    token_gap_s : float
        Time between two tokens of a generation, in seconds.
    changes_per_day : int
        Changes of the settings per day.
    restarts_per_day : int
        Restarts of hosts per day, over the whole fleet.
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
        """Tokens that one node relays per second."""
        return self.tokens_per_s / self.nodes

    @property
    def node_generations(self):
        """Generations in progress on one node."""
        return self.node_tokens_per_s * self.token_gap_s

    @property
    def zone_engines(self):
        """Engines per availability zone."""
        return self.engines / self.zones

    @property
    def zone_nodes(self):
        """Nodes per availability zone."""
        return self.nodes / self.zones

    @property
    def hub_streams(self):
        """Peer streams of a hub: to its zone's nodes and to the other zones' hubs."""
        return self.zone_nodes - 1 + HUBS_PER_ZONE * (self.zones - 1)


@dataclass(slots=True, frozen=True)
class UnitCosts:
    """Measured unit costs, as in ``docs/measured.json``.

    Parameters
    ----------
    token_cpu_us : float
        CPU time per relayed token, journal included, in microseconds.
    generation_bytes : float
        Memory per generation in progress.
    journal_bytes_per_token : float
        Bytes sent to the journal holder per token.
    organisation_bytes, organisation_peak_bytes : float
        Memory per organisation, steady and while the index is rebuilt.
    rebuild_us_per_organisation : float
        Time per organisation of an index rebuild, in microseconds.
    idle_cpu_percent, idle_bytes_per_s : float
        CPU use of an idle host, and bytes that it sends to peers per second.
    load_sample_bytes : float
        Bytes per load sample on one stream.
    load_sample_cpu_us : float
        CPU time to record and forward one load sample, in microseconds.
    poll_cpu_us : float
        CPU time per poll of an engine, in microseconds.
    watch_calls_per_zone_s : float
        Platform calls per second of an idle zone.
    router_bytes : float
        Resident memory of an idle router.
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
class CapacityEstimate:
    """One row of the capacity table.

    Parameters
    ----------
    role : str
        Role of the process that has the cost.
    quantity, unit : str
        What is estimated, and its unit.
    value : float
        Estimate in that unit.
    mechanism : str
        Mechanism that causes the cost.
    bound : float or None
        Largest permitted value, if there is a bound.
    """

    role: str
    quantity: str
    value: float
    unit: str
    mechanism: str
    bound: float | None = None

    @property
    def verdict(self):
        """Either "kept" or "missed"; empty without a bound."""
        if self.bound is None:
            return ""
        return "kept" if self.value <= self.bound else "missed"

    def format(self):
        """Return the estimate as a row of a Markdown table."""
        bound = "" if self.bound is None else f"{self.bound:g}"
        return (
            f"| {self.role} | {self.quantity} | {self.value:.3g} {self.unit} | "
            f"{bound} | {self.verdict} | {self.mechanism} |"
        )


def read_unit_costs(path):
    """Read unit costs from a JSON file of measurements."""
    with open(path, "rb") as stream:
        return UnitCosts(**orjson.loads(stream.read())["slopes"])


def estimate_relay(size, unit_costs):
    """Return the estimates of the data path of one node."""
    cores = size.node_tokens_per_s * unit_costs.token_cpu_us / 1e6
    journal_bytes_per_s = size.node_tokens_per_s * unit_costs.journal_bytes_per_token
    memory_bytes = size.node_generations * unit_costs.generation_bytes
    return [
        CapacityEstimate(
            "relay", "tokens", size.node_tokens_per_s, "/s", "one task a stream"
        ),
        CapacityEstimate(
            "relay", "generations", size.node_generations, "", "generation table"
        ),
        CapacityEstimate(
            "relay", "processor", cores, "cores", "events relayed one by one"
        ),
        CapacityEstimate(
            "relay",
            "router processes a node",
            math.ceil(cores / 0.7),
            "",
            "several routers on a node, each a host of the list, at 70% of a core",
        ),
        CapacityEstimate(
            "relay",
            "memory",
            memory_bytes / BYTES_PER_MB,
            "MB",
            "segments of each generation",
        ),
        CapacityEstimate(
            "journal",
            "bytes to holders, as data",
            journal_bytes_per_s / 1e3,
            "KB/s",
            "appends batched by holder",
        ),
        CapacityEstimate(
            "journal",
            "the same, if it were control",
            journal_bytes_per_s / 1e3,
            "KB/s",
            "appends batched by holder",
            MAX_CONTROL_BYTES_PER_S / 1e3,
        ),
    ]


def estimate_control(size, unit_costs):
    """Return the estimates of control traffic of one node, without the data path."""
    # Each sample is sent once on each stream of a host. Dividing microseconds of CPU
    # time per second by 1e4 gives percent of a core.
    samples_per_s = size.zone_engines / POLL_INTERVAL_S
    load_bytes_per_s = samples_per_s * HUBS_PER_ZONE * unit_costs.load_sample_bytes
    load_cpu_percent = (
        samples_per_s * HUBS_PER_ZONE * unit_costs.load_sample_cpu_us / 1e4
    )
    hub_bytes_per_s = samples_per_s * size.hub_streams * unit_costs.load_sample_bytes
    hub_cpu_percent = (
        samples_per_s * size.hub_streams * unit_costs.load_sample_cpu_us / 1e4
    )
    poll_cpu_percent = samples_per_s / size.zone_nodes * unit_costs.poll_cpu_us / 1e4
    change_cpu_percent = (
        size.changes_per_day
        / SECONDS_PER_DAY
        * size.organisations
        * unit_costs.rebuild_us_per_organisation
        / 1e4
    )
    cpu_percent = (
        unit_costs.idle_cpu_percent
        + load_cpu_percent
        + poll_cpu_percent
        + change_cpu_percent
    )
    sent_bytes_per_s = unit_costs.idle_bytes_per_s + load_bytes_per_s
    kept_bytes = size.organisations * unit_costs.organisation_bytes
    peak_bytes = size.organisations * unit_costs.organisation_peak_bytes
    percent_of_core = "% of a core"
    return [
        CapacityEstimate(
            "control",
            "at rest",
            unit_costs.idle_cpu_percent,
            percent_of_core,
            "heartbeats, watch",
        ),
        CapacityEstimate(
            "control",
            "loads",
            load_cpu_percent,
            percent_of_core,
            "digests to the zone's hubs",
        ),
        CapacityEstimate(
            "hub",
            "loads",
            hub_cpu_percent,
            percent_of_core,
            "digests to the zone",
            MAX_CONTROL_CPU_PERCENT,
        ),
        CapacityEstimate(
            "control",
            "polls",
            poll_cpu_percent,
            percent_of_core,
            "one watcher an engine",
        ),
        CapacityEstimate(
            "control",
            "settings",
            change_cpu_percent,
            percent_of_core,
            "index rebuilt a change",
        ),
        CapacityEstimate(
            "control",
            "processor, all",
            cpu_percent,
            percent_of_core,
            "",
            MAX_CONTROL_CPU_PERCENT,
        ),
        CapacityEstimate(
            "control",
            "bytes sent",
            sent_bytes_per_s / 1e3,
            "KB/s",
            "streams to hubs alone",
            MAX_CONTROL_BYTES_PER_S / 1e3,
        ),
        CapacityEstimate(
            "hub",
            "bytes sent",
            (unit_costs.idle_bytes_per_s + hub_bytes_per_s) / 1e3,
            "KB/s",
            f"{HUBS_PER_ZONE} hubs a zone",
            MAX_CONTROL_BYTES_PER_S / 1e3,
        ),
        CapacityEstimate(
            "control",
            "settings, memory kept",
            kept_bytes / BYTES_PER_MB,
            "MB",
            "organisations packed as bytes",
            MAX_CONTROL_MEMORY_BYTES / BYTES_PER_MB,
        ),
        CapacityEstimate(
            "control",
            "settings, memory at a rebuild",
            peak_bytes / BYTES_PER_MB,
            "MB",
            "one sorted index",
            MAX_CONTROL_MEMORY_BYTES / BYTES_PER_MB,
        ),
    ]


def estimate_platform(size, unit_costs):
    """Return the estimates of the load of all nodes on the platform."""
    watch_calls_per_s = size.zones * unit_costs.watch_calls_per_zone_s
    start_calls_per_s = 3 * size.restarts_per_day / SECONDS_PER_DAY
    change_calls_per_s = 2 * size.changes_per_day / SECONDS_PER_DAY
    candidates = size.zones * LEASE_CANDIDATES_PER_ZONE
    lease_reads_per_s = (
        candidates / LEASE_RENEW_INTERVAL_S + size.nodes / CANDIDATE_REFRESH_INTERVAL_S
    )
    return [
        CapacityEstimate(
            "platform",
            "watches and host lists",
            watch_calls_per_s,
            "calls/s",
            f"{WATCHERS_PER_ZONE} watchers a zone",
            MAX_PLATFORM_READS_PER_S,
        ),
        CapacityEstimate(
            "platform",
            "starts of hosts",
            start_calls_per_s,
            "calls/s",
            "one list a start",
        ),
        CapacityEstimate(
            "platform",
            "changes",
            change_calls_per_s,
            "calls/s",
            "read, conditional write",
        ),
        CapacityEstimate(
            "placer",
            "lease and host list",
            lease_reads_per_s,
            "reads/s",
            f"{LEASE_CANDIDATES_PER_ZONE} candidates a zone; the others look rarely",
            MAX_PLATFORM_READS_PER_S,
        ),
    ]


def format_capacity(size, unit_costs):
    """Return all estimates as a Markdown table."""
    header = "| role | quantity | at the size | bound | verdict | mechanism |"
    lines = [header, "| --- | --- | ---: | ---: | --- | --- |"]
    estimates = estimate_relay(size, unit_costs)
    estimates += estimate_control(size, unit_costs)
    estimates += estimate_platform(size, unit_costs)
    return "\n".join([*lines, *(estimate.format() for estimate in estimates)])
