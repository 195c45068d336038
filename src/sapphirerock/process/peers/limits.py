"""Request rate limits of organisations, divided among hosts.

Each host admits requests by a local token bucket. The bucket's rate is a share of the
organisation's limit. An owner in each availability zone, picked by rendezvous hashing,
hands out the shares; owners of different zones exchange the demand of their zones.
"""

import math
from dataclasses import dataclass, field

from mode import Service

from sapphirerock.connection.messages import ShareReply, ShareRequest
from sapphirerock.decisions.rendezvous import pick_candidate
from sapphirerock.process.peers.gossip import DemandUpdate

SHARE_RENEW_INTERVAL_S = 1.0
SHARE_TIMEOUT_S = 0.3
IDLE_EXPIRY_S = 10.0
# Weight of the latest interval in the smoothed demand.
DEMAND_SMOOTHING = 0.5
# A bucket holds at most the requests that its rate admits in this time.
BURST_S = 1.0
# A caller may send this many requests at once to one host, however small the host's
# share is.
MIN_BURST_REQUESTS = 5.0
DEMAND_REPORT_INTERVAL_S = 20.0
DEMAND_REPORT_EXPIRY_S = 60.0
# Share of a limit that a zone without demand keeps, so that its first requests do not
# wait for a share.
MIN_ZONE_SHARE = 0.05
# A host whose demand is below this part of an equal share keeps the equal share and
# sends no request to the owner. All hosts together can exceed a limit by no more than
# this part.
LOW_DEMAND_SHARE = 0.1
# Smaller relative changes of a zone's demand are not reported.
MIN_REPORTED_CHANGE_SHARE = 0.05


@dataclass(slots=True)
class LocalBucket:
    """Token bucket of one organisation on this host.

    Parameters
    ----------
    limit_per_s : float
        Limit over all hosts, in requests per second.
    rate_per_s : float
        This host's share of the limit.
    credit : float
        Requests that may be admitted now.
    last_refill_s : float
        Monotonic time of the last refill.
    arrived : int
        Requests since the share was last renewed.
    demand_per_s : float
        Smoothed rate of requests that arrive at this host.
    last_request_s : float
        Monotonic time of the last request.
    """

    limit_per_s: float
    rate_per_s: float
    credit: float
    last_refill_s: float
    arrived: int = 0
    demand_per_s: float = 0.0
    last_request_s: float = 0.0

    @property
    def burst(self):
        """Upper bound of the credit, in requests."""
        return max(
            1.0, self.rate_per_s * BURST_S, min(self.limit_per_s, MIN_BURST_REQUESTS)
        )


@dataclass(slots=True)
class ZoneDemand:
    """Demand of one organisation in the zone of the limit's owner.

    Parameters
    ----------
    by_host : dict of str to (float, float)
        Demand of each host of the zone, and the monotonic time of its report.
    """

    by_host: dict = field(default_factory=dict)

    def drop_idle_hosts(self, now_s):
        """Drop hosts that have not reported their demand for `IDLE_EXPIRY_S`."""
        self.by_host = {
            host: (demand, reported_s)
            for host, (demand, reported_s) in self.by_host.items()
            if now_s - reported_s < IDLE_EXPIRY_S
        }

    @property
    def total_per_s(self):
        """Demand of the whole zone, in requests per second."""
        return sum(demand for demand, _ in self.by_host.values())


@dataclass(slots=True, frozen=True)
class ReportedDemand:
    """Demand that a zone's owner reported, and the monotonic time of the report."""

    demand_per_s: float
    reported_at_s: float


class LimitTable(Service):
    """Token buckets of this host, and the demand on limits that it owns.

    Parameters
    ----------
    peers : PeerTable
        Streams to the owners of limits.
    gossip : Gossip
        Carries demand between zones.
    clock : Clock
        Source of time.
    """

    def __init__(self, peers, gossip, clock, **kwargs):
        super().__init__(**kwargs)
        self._peers = peers
        self._gossip = gossip
        self._clock = clock
        self._buckets = {}
        self._owned_demands = {}
        self._demand_by_zone = {}
        peers.register_handler(ShareRequest, self._handle_share_request)
        gossip.subscribe(DemandUpdate, self._apply_demand_update)

    def admit(self, organisation):
        """Count a request of an organisation.

        Returns
        -------
        int or None
            Seconds after which to retry; None if the request is admitted.
        """
        limit_per_s = organisation.requests_per_s
        if limit_per_s is None:
            return None
        bucket = self._find_bucket(organisation.name, limit_per_s)
        now_s = self._clock.monotonic()
        bucket.arrived += 1
        bucket.last_request_s = now_s
        refill(bucket, now_s)
        if bucket.credit >= 1:
            bucket.credit -= 1
            return None
        wait_s = (1 - bucket.credit) / max(bucket.rate_per_s, 0.01)
        return max(1, math.ceil(wait_s))

    def _find_bucket(self, name, limit_per_s):
        bucket = self._buckets.get(name)
        if bucket is None or bucket.limit_per_s != limit_per_s:
            share = limit_per_s / max(1, self._count_hosts())
            bucket = self._buckets[name] = LocalBucket(
                limit_per_s, share, 0.0, self._clock.monotonic()
            )
            bucket.credit = bucket.burst
        return bucket

    def _count_hosts(self):
        return 1 + len(self._peers.hosts.list_known())

    def _list_zones(self):
        hosts = self._peers.hosts
        zones = {address.availability_zone for address in hosts.list_known()}
        return zones | {hosts.own_address.availability_zone}

    @Service.task
    async def _renew_shares(self):
        while not self.should_stop:
            await self._clock.sleep(SHARE_RENEW_INTERVAL_S)
            for name in list(self._buckets):
                await self._renew_share(name)
            self._drop_idle_organisations()

    def _drop_idle_organisations(self):
        """Drop organisations without demand in this zone and report that to others."""
        now_s = self._clock.monotonic()
        zone = self._peers.hosts.own_address.availability_zone
        for name, zone_demand in list(self._owned_demands.items()):
            zone_demand.drop_idle_hosts(now_s)
            if zone_demand.by_host:
                continue
            del self._owned_demands[name]
            # A former owner must not overwrite the demand that the new owner reports.
            is_owner = self._find_owner(name) == self._peers.hosts.own_address.host
            if is_owner and zone in self._demand_by_zone.get(name, ()):
                self._gossip.broadcast(DemandUpdate(name, zone, 0.0))

    def _find_owner(self, name):
        """Return the host of the zone that owns an organisation's limit."""
        hosts = [address.host for address in self._peers.hosts.list_live_in_zone()]
        return pick_candidate(hosts, name)

    async def _renew_share(self, name):
        bucket = self._buckets[name]
        now_s = self._clock.monotonic()
        if now_s - bucket.last_request_s > IDLE_EXPIRY_S:
            del self._buckets[name]
            return
        recent_per_s = bucket.arrived / SHARE_RENEW_INTERVAL_S
        bucket.arrived = 0
        bucket.demand_per_s += DEMAND_SMOOTHING * (recent_per_s - bucket.demand_per_s)
        hosts = self._peers.hosts
        refill(bucket, now_s)
        default_per_s = bucket.limit_per_s / self._count_hosts()
        if bucket.demand_per_s <= LOW_DEMAND_SHARE * default_per_s:
            bucket.rate_per_s = default_per_s
            return
        owner = self._find_owner(name)
        if owner == hosts.own_address.host:
            rate = self._allocate_share(
                name, owner, bucket.demand_per_s, bucket.limit_per_s
            )
            bucket.rate_per_s = rate
            return
        request = ShareRequest(name, bucket.demand_per_s, bucket.limit_per_s)
        reply = await self._peers.ask(owner, request, SHARE_TIMEOUT_S)
        if reply.is_ok():
            bucket.rate_per_s = reply.ok.rate_per_s

    def _handle_share_request(self, stream, message):
        return ShareReply(
            self._allocate_share(
                message.organisation,
                stream.host,
                message.demand_per_s,
                message.limit_per_s,
            )
        )

    def _allocate_share(self, name, host, demand_per_s, limit_per_s):
        """Record a host's demand and return its proportional share of the limit."""
        zone_demand = self._owned_demands.setdefault(name, ZoneDemand())
        now_s = self._clock.monotonic()
        zone_demand.by_host[host] = (demand_per_s, now_s)
        zone_demand.drop_idle_hosts(now_s)
        total = zone_demand.total_per_s
        zone_limit = limit_per_s * self._find_zone_share(name, total)
        if total <= 0:
            return zone_limit / len(zone_demand.by_host)
        return zone_limit * demand_per_s / total

    def _find_zone_share(self, name, demand_per_s):
        """Return this zone's part of a limit, between 0 and 1.

        Also broadcasts the zone's demand if a report is due.
        """
        zone = self._peers.hosts.own_address.availability_zone
        reported = self._demand_by_zone.get(name, {}).get(zone)
        if reported is None or self._needs_report(reported, demand_per_s):
            self._gossip.broadcast(DemandUpdate(name, zone, demand_per_s))
        zones = self._list_zones()
        demands = self._list_demands(name, zones)
        demands[zone] = demand_per_s
        total = sum(demands.values())
        spare = 1 - MIN_ZONE_SHARE * len(zones)
        if total <= 0:
            return 1 / len(zones)
        return MIN_ZONE_SHARE + spare * demand_per_s / total

    def _needs_report(self, reported, demand_per_s):
        """Return whether the last report of this zone's demand is old or outdated."""
        change = abs(reported.demand_per_s - demand_per_s)
        age_s = self._clock.monotonic() - reported.reported_at_s
        return (
            change > MIN_REPORTED_CHANGE_SHARE * reported.demand_per_s
            or age_s > DEMAND_REPORT_INTERVAL_S
        )

    def _list_demands(self, name, zones):
        """Return the demand of each zone.

        An old report counts only while no host of its zone is live, as when the zone
        is cut off.
        """
        live = {address.availability_zone for address in self._peers.hosts.list_live()}
        oldest_s = self._clock.monotonic() - DEMAND_REPORT_EXPIRY_S
        return {
            zone: reported.demand_per_s
            for zone, reported in self._demand_by_zone.get(name, {}).items()
            if zone in zones and (reported.reported_at_s > oldest_s or zone not in live)
        }

    def _apply_demand_update(self, update):
        known = self._demand_by_zone.setdefault(update.organisation, {})
        now_s = self._clock.monotonic()
        known[update.availability_zone] = ReportedDemand(update.demand_per_s, now_s)
        if all(reported.demand_per_s <= 0 for reported in known.values()):
            del self._demand_by_zone[update.organisation]


def refill(bucket, now_s):
    """Add the credit earned since the last refill."""
    earned = (now_s - bucket.last_refill_s) * bucket.rate_per_s
    bucket.credit = min(bucket.burst, bucket.credit + earned)
    bucket.last_refill_s = now_s
