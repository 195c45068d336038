"""Rates of organisations, shared among hosts.

Each host admits by a local bucket of credit. Its rate is a share of the
organisation's limit, given by the owner that rendezvous picks in its availability
zone; owners of different zones tell each other the demand of their zones.
"""

import math
from dataclasses import dataclass, field

from mode import Service

from sapphirerock.connection.messages import ShareReply, ShareRequest
from sapphirerock.decisions.rendezvous import pick_candidate
from sapphirerock.process.peers.gossip import DemandUpdate

SHARE_INTERVAL_S = 1.0
SHARE_BOUND_S = 0.3
IDLE_LIFE_S = 10.0
DEMAND_SMOOTHING = 0.5
BURST_S = 1.0
# A caller may send this many at once to one host of many.
MIN_BURST = 5.0
REPORT_INTERVAL_S = 20.0
TOLD_LIFE_S = 60.0
# A zone without demand keeps this part of a limit, so that its first requests
# need not wait for a share.
MIN_ZONE_SHARE = 0.05
# A host that uses less of its equal share does not ask for another one. All hosts
# together can exceed a limit by no more than this.
QUIET_SHARE = 0.1
# Smaller changes of a zone's demand are not reported.
MIN_CHANGE_SHARE = 0.05


@dataclass(slots=True)
class LocalLimit:
    """One organisation's credit on this host.

    Parameters
    ----------
    limit_per_s : float
        Limit over all hosts.
    rate_per_s : float
        This host's share.
    credit : float
        Requests that may be admitted now.
    demand_per_s : float
        Requests that arrive here, smoothed.
    """

    limit_per_s: float
    rate_per_s: float
    credit: float
    refilled_at_s: float
    arrived: int = 0
    demand_per_s: float = 0.0
    used_at_s: float = 0.0

    @property
    def burst(self):
        """Most credit that is kept."""
        return max(1.0, self.rate_per_s * BURST_S, min(self.limit_per_s, MIN_BURST))


@dataclass(slots=True)
class ZoneDemand:
    """What an owner knows of one organisation in its zone.

    Parameters
    ----------
    by_host : dict of str to (float, float)
        Demand of hosts of the own zone, and when it was reported.
    """

    by_host: dict = field(default_factory=dict)

    def forget_idle(self, now_s):
        """Drop hosts that have not reported their demand lately."""
        self.by_host = {
            host: (demand, reported_s)
            for host, (demand, reported_s) in self.by_host.items()
            if now_s - reported_s < IDLE_LIFE_S
        }

    @property
    def total_per_s(self):
        """Demand of the zone."""
        return sum(demand for demand, _ in self.by_host.values())


@dataclass(slots=True, frozen=True)
class ReportedDemand:
    """Demand of a zone as its owner reported it, and when."""

    demand_per_s: float
    reported_at_s: float


class LimitTable(Service):
    """All limits on this host, and the shares of those that it owns.

    Parameters
    ----------
    peers : PeerTable
        Streams to owners.
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
        self._local = {}
        self._owned = {}
        self._zones_demand = {}
        peers.register_handler(ShareRequest, self._answer_share)
        gossip.subscribe(DemandUpdate, self._take_demand)

    def admit(self, organisation):
        """Return None when a request is within the rate, else seconds to wait."""
        limit_per_s = organisation.requests_per_s
        if limit_per_s is None:
            return None
        local = self._find_local(organisation.name, limit_per_s)
        now_s = self._clock.monotonic()
        local.arrived += 1
        local.used_at_s = now_s
        refill(local, now_s)
        if local.credit >= 1:
            local.credit -= 1
            return None
        missing = (1 - local.credit) / max(local.rate_per_s, 0.01)
        return max(1, math.ceil(missing))

    def _find_local(self, name, limit_per_s):
        local = self._local.get(name)
        if local is None or local.limit_per_s != limit_per_s:
            share = limit_per_s / max(1, self._count_hosts())
            local = self._local[name] = LocalLimit(
                limit_per_s, share, 0.0, self._clock.monotonic()
            )
            local.credit = local.burst
        return local

    def _count_hosts(self):
        return 1 + len(self._peers.hosts.list_known())

    def _list_zones(self):
        hosts = self._peers.hosts
        zones = {address.availability_zone for address in hosts.list_known()}
        return zones | {hosts.own.availability_zone}

    @Service.task
    async def _renew_shares(self):
        while not self.should_stop:
            await self._clock.sleep(SHARE_INTERVAL_S)
            for name in list(self._local):
                await self._renew(name)
            self._forget_idle()

    def _forget_idle(self):
        """Tell other zones of organisations that nobody uses here any more."""
        now_s = self._clock.monotonic()
        zone = self._peers.hosts.own.availability_zone
        for name, owned in list(self._owned.items()):
            owned.forget_idle(now_s)
            if owned.by_host:
                continue
            del self._owned[name]
            # A former owner must not speak for the one that took over.
            is_owner = self._find_owner(name) == self._peers.hosts.own.host
            if is_owner and zone in self._zones_demand.get(name, ()):
                self._gossip.spread(DemandUpdate(name, zone, 0.0))

    def _find_owner(self, name):
        """Return the host of the zone that shares out an organisation's limit."""
        hosts = [address.host for address in self._peers.hosts.list_zone()]
        return pick_candidate(hosts, name)

    async def _renew(self, name):
        local = self._local[name]
        now_s = self._clock.monotonic()
        if now_s - local.used_at_s > IDLE_LIFE_S:
            del self._local[name]
            return
        recent = local.arrived / SHARE_INTERVAL_S
        local.arrived = 0
        local.demand_per_s += DEMAND_SMOOTHING * (recent - local.demand_per_s)
        hosts = self._peers.hosts
        refill(local, now_s)
        default_per_s = local.limit_per_s / self._count_hosts()
        if local.demand_per_s <= QUIET_SHARE * default_per_s:
            local.rate_per_s = default_per_s
            return
        owner = self._find_owner(name)
        if owner == hosts.own.host:
            rate = self._share(name, owner, local.demand_per_s, local.limit_per_s)
            local.rate_per_s = rate
            return
        request = ShareRequest(name, local.demand_per_s, local.limit_per_s)
        answer = await self._peers.ask(owner, request, SHARE_BOUND_S)
        if answer.is_ok():
            local.rate_per_s = answer.ok.rate_per_s

    def _answer_share(self, stream, message):
        return ShareReply(
            self._share(
                message.organisation,
                stream.host,
                message.demand_per_s,
                message.limit_per_s,
            )
        )

    def _share(self, name, host, demand_per_s, limit_per_s):
        """Return a host's part of a limit, in proportion to demand."""
        owned = self._owned.setdefault(name, ZoneDemand())
        now_s = self._clock.monotonic()
        owned.by_host[host] = (demand_per_s, now_s)
        owned.forget_idle(now_s)
        total = owned.total_per_s
        zone_limit = limit_per_s * self._find_zone_share(name, total)
        if total <= 0:
            return zone_limit / len(owned.by_host)
        return zone_limit * demand_per_s / total

    def _find_zone_share(self, name, demand_per_s):
        """Return the own zone's part of a limit, between 0 and 1."""
        zone = self._peers.hosts.own.availability_zone
        reported = self._zones_demand.get(name, {}).get(zone)
        if reported is None or self._needs_report(reported, demand_per_s):
            self._gossip.spread(DemandUpdate(name, zone, demand_per_s))
        zones = self._list_zones()
        demands = self._list_demands(name, zones)
        demands[zone] = demand_per_s
        total = sum(demands.values())
        spare = 1 - MIN_ZONE_SHARE * len(zones)
        if total <= 0:
            return 1 / len(zones)
        return MIN_ZONE_SHARE + spare * demand_per_s / total

    def _needs_report(self, reported, demand_per_s):
        """Return whether other zones know too little of the own zone's demand."""
        change = abs(reported.demand_per_s - demand_per_s)
        age_s = self._clock.monotonic() - reported.reported_at_s
        return (
            change > MIN_CHANGE_SHARE * reported.demand_per_s
            or age_s > REPORT_INTERVAL_S
        )

    def _list_demands(self, name, zones):
        """Return what zones demand; old words count only of zones that are cut off."""
        live = {address.availability_zone for address in self._peers.hosts.list_live()}
        limit_s = self._clock.monotonic() - TOLD_LIFE_S
        return {
            zone: reported.demand_per_s
            for zone, reported in self._zones_demand.get(name, {}).items()
            if zone in zones and (reported.reported_at_s > limit_s or zone not in live)
        }

    def _take_demand(self, update):
        known = self._zones_demand.setdefault(update.organisation, {})
        now_s = self._clock.monotonic()
        known[update.availability_zone] = ReportedDemand(update.demand_per_s, now_s)
        if all(reported.demand_per_s <= 0 for reported in known.values()):
            del self._zones_demand[update.organisation]


def refill(local, now_s):
    """Add the credit earned since the last time."""
    earned = (now_s - local.refilled_at_s) * local.rate_per_s
    local.credit = min(local.burst, local.credit + earned)
    local.refilled_at_s = now_s
