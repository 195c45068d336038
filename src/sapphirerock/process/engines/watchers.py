"""Polls the upstreams of this availability zone and publishes their state.

Each upstream is polled by one live host of its zone, chosen by rendezvous hashing.
Loads stay within the zone; the start of draining is sent to all zones.
"""

import asyncio

from mode import Service

from sapphirerock.connection.messages import LoadSample
from sapphirerock.decisions.rendezvous import pick_candidate
from sapphirerock.process.peers.gossip import ALL_ZONES, UpstreamUpdate

POLL_INTERVAL_S = 0.8
POLL_TIMEOUT_S = 1.0
REPUBLISH_INTERVAL_S = 30.0


class UpstreamWatcher(Service):
    """Polls the upstreams that this host watches.

    Parameters
    ----------
    upstreams : UpstreamTable
        All upstreams.
    load_forwarder : LoadForwarder
        Forwards loads within the zone.
    peers : PeerTable
        Streams to other hosts.
    gossip : Gossip
        Broadcasts updates of upstreams.
    clock : Clock
        Source of time.
    """

    def __init__(self, upstreams, load_forwarder, peers, gossip, clock, **kwargs):
        super().__init__(**kwargs)
        self._load_forwarder = load_forwarder
        self._upstreams = upstreams
        self._peers = peers
        self._gossip = gossip
        self._clock = clock
        self._published = {}
        self._published_at_s = {}
        gossip.subscribe(UpstreamUpdate, upstreams.apply_update)
        peers.on_connect.append(self._republish)

    def _list_watched(self):
        """Return the upstreams that this host watches.

        Each upstream of this zone is watched by one host of the zone. An upstream of a
        zone without any known host is watched by one host of every other zone.
        """
        hosts = self._peers.hosts
        own_address = hosts.own_address
        zones_with_hosts = {address.availability_zone for address in hosts.list_known()}
        zone_hosts = [address.host for address in hosts.list_live_in_zone()]
        watched = []
        for state in self._upstreams.list_all():
            zone = state.settings.availability_zone
            is_responsible = (
                zone == own_address.availability_zone or zone not in zones_with_hosts
            )
            if (
                is_responsible
                and pick_candidate(zone_hosts, state.name) == own_address.host
            ):
                watched.append(state)
        return watched

    @Service.task
    async def _poll(self):
        while not self.should_stop:
            watched = self._list_watched()
            await asyncio.gather(*(self._poll_upstream(state) for state in watched))
            await self._clock.sleep(POLL_INTERVAL_S)

    async def _poll_upstream(self, state):
        read = await state.client.read_load(POLL_TIMEOUT_S)
        if read.is_error():
            now = self._clock.now().timestamp()
            update = UpstreamUpdate(
                state.name, state.incarnation, state.is_draining, False, [], now
            )
        else:
            update = self._record_report(read.ok, state)
        self._publish(state, update)

    def _record_report(self, report, state):
        """Record the load of a report; return the rest as an update."""
        self._load_forwarder.record(
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
        """Broadcast an update that differs from the last one or is due again.

        An update is due again after `REPUBLISH_INTERVAL_S`. Any other is applied on
        this host only.
        """
        previous = self._published.get(update.upstream)
        now_s = self._clock.monotonic()
        published_at_s = self._published_at_s.get(
            update.upstream, -REPUBLISH_INTERVAL_S
        )
        if (
            not has_changed(previous, update)
            and now_s - published_at_s < REPUBLISH_INTERVAL_S
        ):
            self._upstreams.apply_update(update)
            return
        self._published[update.upstream] = update
        self._published_at_s[update.upstream] = now_s
        starts_draining = update.leaving and not (previous and previous.leaving)
        zone = state.settings.availability_zone
        self._gossip.broadcast(update, ALL_ZONES if starts_draining else zone)

    def _republish(self, stream):
        """Publish the known updates again when a peer has connected.

        Updates of draining upstreams go to all zones, others only to this zone.
        """
        own_zone = self._peers.hosts.own_address.availability_zone
        for update in list(self._published.values()):
            if update.leaving:
                self._gossip.broadcast(update)
            elif stream.hello.availability_zone == own_zone:
                self._gossip.broadcast(update, own_zone)


def has_changed(previous, update):
    """Return whether an update differs from the last one in more than its time."""
    if previous is None:
        return True
    return (
        previous.incarnation,
        previous.leaving,
        previous.alive,
        previous.models,
    ) != (update.incarnation, update.leaving, update.alive, update.models)
