"""Watch the upstreams of the own availability zone and tell the others.

Each upstream is watched by one live host of its zone, chosen by rendezvous.
Load stays within the zone; that an upstream is leaving goes everywhere.
"""

import asyncio

from mode import Service

from sapphirerock.connection.messages import LoadSample
from sapphirerock.decisions.rendezvous import pick_candidate
from sapphirerock.process.peers.gossip import EVERYWHERE, UpstreamUpdate

POLL_INTERVAL_S = 0.8
POLL_BOUND_S = 1.0
REFRESH_S = 30.0


class UpstreamWatch(Service):
    """Polls of the load of the upstreams that this host watches.

    Parameters
    ----------
    upstreams : UpstreamTable
        All upstreams.
    loads : LoadSpread
        Carries loads within the zone.
    peers : PeerTable
        Live hosts of the zone.
    gossip : Gossip
        Carries updates.
    clock : Clock
        Source of time.
    """

    def __init__(self, upstreams, loads, peers, gossip, clock, **kwargs):
        super().__init__(**kwargs)
        self._loads = loads
        self._upstreams = upstreams
        self._peers = peers
        self._gossip = gossip
        self._clock = clock
        self._published = {}
        self._published_at_s = {}
        gossip.subscribe(UpstreamUpdate, upstreams.apply_update)
        peers.on_connect.append(self._send_known)

    def _list_watched(self):
        """Return the upstreams of the zone that this host is to watch.

        Upstreams of zones without any known host fall to the others.
        """
        hosts = self._peers.hosts
        own = hosts.own
        staffed = {address.availability_zone for address in hosts.list_known()}
        mates = [address.host for address in hosts.list_zone()]
        watched = []
        for state in self._upstreams.list_all():
            zone = state.settings.availability_zone
            near = zone == own.availability_zone or zone not in staffed
            if near and pick_candidate(mates, state.name) == own.host:
                watched.append(state)
        return watched

    @Service.task
    async def _poll(self):
        while not self.should_stop:
            watched = self._list_watched()
            await asyncio.gather(*(self._poll_one(state) for state in watched))
            await self._clock.sleep(POLL_INTERVAL_S)

    async def _poll_one(self, state):
        read = await state.client.read_load(POLL_BOUND_S)
        if read.is_error():
            now = self._clock.now().timestamp()
            update = UpstreamUpdate(
                state.name, state.incarnation, state.leaving, False, [], now
            )
        else:
            update = self._take_report(read.ok, state)
        self._publish(state, update)

    def _take_report(self, report, state):
        """Pass the load on; return the rest as an update."""
        self._loads.record(
            LoadSample(
                state.name,
                report.sampled_at,
                report.running,
                report.queued,
                report.capacity,
            )
        )
        return UpstreamUpdate(
            state.name,
            report.incarnation,
            report.leaving,
            True,
            report.models,
            report.sampled_at,
        )

    def _publish(self, state, update):
        """Spread updates that differ from the last; the same only now and then."""
        previous = self._published.get(update.upstream)
        now_s = self._clock.monotonic()
        published_at_s = self._published_at_s.get(update.upstream, -REFRESH_S)
        if not has_changed(previous, update) and now_s - published_at_s < REFRESH_S:
            self._upstreams.apply_update(update)
            return
        self._published[update.upstream] = update
        self._published_at_s[update.upstream] = now_s
        leaves = update.leaving and not (previous and previous.leaving)
        zone = state.settings.availability_zone
        self._gossip.spread(update, EVERYWHERE if leaves else zone)

    def _send_known(self, stream):
        """Tell a new peer what this host watches, and who is leaving."""
        own_zone = self._peers.hosts.own.availability_zone
        for update in list(self._published.values()):
            if update.leaving:
                self._gossip.spread(update)
            elif stream.hello.availability_zone == own_zone:
                self._gossip.spread(update, own_zone)


def has_changed(previous, update):
    """Return whether a report differs from the last in more than its time."""
    if previous is None:
        return True
    return (
        previous.incarnation,
        previous.leaving,
        previous.alive,
        previous.models,
    ) != (update.incarnation, update.leaving, update.alive, update.models)
