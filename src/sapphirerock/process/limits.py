"""Rates of organisations, shared among hosts.

Each host admits by a local bucket of credit. Its rate is a share of the
organisation's limit, given by the owner that rendezvous picks in its availability
zone; owners of different zones tell each other the demand of their zones.
"""

import math
from dataclasses import dataclass, field

from mode import Service

from sapphirerock.connection.messages import ShareReply, ShareRequest
from sapphirerock.process.gossip import DemandNews
from sapphirerock.process.rendezvous import pick_candidate

SHARE_INTERVAL_S = 1.0
SHARE_BOUND_S = 0.3
IDLE_LIFE_S = 10.0
DEMAND_SMOOTHING = 0.5
BURST_S = 1.0
# A zone without demand keeps this part of a limit, so that its first requests
# need not wait for a share.
MIN_ZONE_SHARE = 0.05


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


@dataclass(slots=True)
class ZoneDemand:
    """What an owner knows of one organisation.

    Parameters
    ----------
    by_host : dict of str to (float, float)
        Demand of hosts of the own zone, and when it was told.
    by_zone : dict of str to float
        Demand of zones, the own one included.
    """

    by_host: dict = field(default_factory=dict)
    by_zone: dict = field(default_factory=dict)


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
        gossip.subscribe(DemandNews, self._take_demand)

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
                limit_per_s, share, share * BURST_S, self._clock.monotonic()
            )
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
        names = [address.host for address in hosts.list_zone()]
        owner = pick_candidate(names, name)
        refill(local, now_s)
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
        owned.by_host = {
            other: (demand, told_s)
            for other, (demand, told_s) in owned.by_host.items()
            if now_s - told_s < IDLE_LIFE_S
        }
        total = sum(demand for demand, _ in owned.by_host.values())
        zone_limit = limit_per_s * self._find_zone_share(name, total)
        if total <= 0:
            return zone_limit / len(owned.by_host)
        return zone_limit * demand_per_s / total

    def _find_zone_share(self, name, demand_per_s):
        """Return the own zone's part of a limit, between 0 and 1."""
        zone = self._peers.hosts.own.availability_zone
        known = self._zones_demand.setdefault(name, {})
        if known.get(zone) is None or abs(known[zone] - demand_per_s) > 0.05:
            self._gossip.spread(DemandNews(name, zone, demand_per_s))
            known[zone] = demand_per_s
        zones = self._list_zones()
        total = sum(known.get(other, 0.0) for other in zones)
        spare = 1 - MIN_ZONE_SHARE * len(zones)
        if total <= 0:
            return 1 / len(zones)
        return MIN_ZONE_SHARE + spare * demand_per_s / total

    def _take_demand(self, news):
        known = self._zones_demand.setdefault(news.organisation, {})
        known[news.availability_zone] = news.demand_per_s


def refill(local, now_s):
    """Add the credit earned since the last time."""
    earned = (now_s - local.refilled_at_s) * local.rate_per_s
    local.credit = min(max(1.0, local.rate_per_s * BURST_S), local.credit + earned)
    local.refilled_at_s = now_s
