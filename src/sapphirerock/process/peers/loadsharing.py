"""Load that all hosts have placed on each engine, summed by zone.

Engines' own reports are old when they arrive, so hosts exchange the load that they
placed themselves. Each host sends its load to the hubs of its zone, which
`PeerTable.choose_neighbours` chooses. The first hub of a zone adds up the loads, and
sends the sum of its zone to the hubs of other zones, and the sum of all zones to the
hosts of its own. So a host gets one message an interval, whatever the number of hosts
and zones.
"""

from mode import Service

from sapphirerock.connection.messages import HostLoads, ZoneLoads
from sapphirerock.process.engines.table import EngineLoadCell
from sapphirerock.process.peers.loadtable import LoadTable

# Well under the time that an engine takes to prefill a prompt.
PUBLISH_INTERVAL_S = 0.1
# All loads are published again after this time, to replace messages that were lost
# with their stream.
FULL_PUBLISH_INTERVAL_S = 3.0


class LoadSharing(Service):
    """Publishes this host's loads and receives those of other hosts.

    Parameters
    ----------
    engines : EngineTable
        Holds this host's load of each engine, and receives that of other hosts.
    peers : PeerTable
        Streams to and from hubs and hosts.
    clock : Clock
        Source of time.
    """

    def __init__(self, engines, peers, clock, **kwargs):
        super().__init__(**kwargs)
        self._engines = engines
        self._peers = peers
        self._clock = clock
        # Loads by host of this zone, which only its hubs receive, and sums by zone. A
        # host that is no hub gets the sum of all zones under the name of its own.
        self._host_loads = LoadTable()
        self._zone_loads = LoadTable()
        # The hub that sent the sum of all zones last.
        self._zone_hub = None
        self._published = {}
        self._zone_published = {}
        self._all_published = {}
        self._full_publish_at_s = -FULL_PUBLISH_INTERVAL_S
        peers.register_handler(HostLoads, self._handle_host_loads)
        peers.register_handler(ZoneLoads, self._handle_zone_loads)
        peers.on_connect.append(self._request_full_publish)

    @property
    def _own_address(self):
        return self._peers.hosts.own_address

    @property
    def _is_hub(self):
        return self._peers.is_hub(self._own_address.host)

    def _request_full_publish(self, stream):
        """Publish all loads at the next interval, since a new peer knows none."""
        self._full_publish_at_s = -FULL_PUBLISH_INTERVAL_S

    def _handle_host_loads(self, stream, message):
        affected = self._host_loads.apply_report(
            stream.host, message.cells, self._clock.monotonic()
        )
        self._update_remote_loads(affected)

    def _handle_zone_loads(self, stream, message):
        zone, own_zone = message.availability_zone, self._own_address.availability_zone
        is_from_own_zone = stream.hello.availability_zone == own_zone
        affected = set()
        if self._is_hub:
            if zone == own_zone:
                return
        elif not is_from_own_zone:
            # Part of the sum that this zone's hub sends.
            return
        elif zone == own_zone and stream.host != self._zone_hub:
            self._zone_hub = stream.host
            affected = self._zone_loads.drop_all()
        affected |= self._zone_loads.apply_report(
            zone, message.cells, self._clock.monotonic()
        )
        self._update_remote_loads(affected)

    def _update_remote_loads(self, names):
        """Recompute the load that other hosts have placed on some engines."""
        is_hub = self._is_hub
        now_s = self._clock.monotonic()
        for name in names:
            state = self._engines.get(name)
            if state is None:
                continue
            total = EngineLoadCell()
            total.add(self._zone_loads.sum_engine(name))
            if is_hub:
                total.add(self._host_loads.sum_engine(name))
            state.remote_load = total
            state.loads_updated_s = now_s

    @Service.task
    async def _publish_periodically(self):
        while not self.should_stop:
            await self._clock.sleep(PUBLISH_INTERVAL_S)
            self.publish()

    def publish(self):
        """Send loads that have changed, and all loads now and then."""
        now_s = self._clock.monotonic()
        is_hub = self._is_hub
        affected = self._host_loads.drop_silent_sources(now_s)
        affected |= self._zone_loads.drop_silent_sources(now_s)
        if is_hub:
            # Received before this host became a hub.
            own_zone = self._own_address.availability_zone
            affected |= self._zone_loads.drop_source(own_zone)
            self._zone_hub = None
        self._update_remote_loads(affected)
        is_full = now_s - self._full_publish_at_s > FULL_PUBLISH_INTERVAL_S
        if is_full:
            self._full_publish_at_s = now_s
        own_loads = self._collect_own_loads()
        if is_hub:
            self._publish_sums(own_loads, is_full)
        self._publish_to_hubs(own_loads, is_full)

    def _collect_own_loads(self):
        """Return the load that this host has placed on each engine."""
        return {
            state.name: state.local_load.to_numbers()
            for state in self._engines.list_all()
            if state.local_load.is_loaded
        }

    def _publish_to_hubs(self, own_loads, is_full):
        """Send this host's loads to the hubs of its zone, except itself."""
        cells = find_changed(self._published, own_loads, is_full)
        self._published = own_loads
        if not cells and not is_full:
            return
        hubs = [self._peers.streams.get(host) for host in self._peers.zone_hubs]
        streams = [stream for stream in hubs if stream is not None]
        self._peers.send_to(streams, HostLoads(cells), "load")

    def _publish_sums(self, own_loads, is_full):
        """Send the sum of this zone to other zones, and of all zones to this one."""
        zone_sums, all_sums = {}, {}
        for name in self._host_loads.list_engines() | own_loads.keys():
            total = EngineLoadCell()
            total.add(self._host_loads.sum_engine(name))
            if name in own_loads:
                total.add(EngineLoadCell(*own_loads[name]))
            zone_sums[name] = total.to_numbers()
        for name in self._zone_loads.list_engines() | zone_sums.keys():
            total = EngineLoadCell(*zone_sums.get(name, ()))
            total.add(self._zone_loads.sum_engine(name))
            all_sums[name] = total.to_numbers()
        zone_cells = find_changed(self._zone_published, zone_sums, is_full)
        all_cells = find_changed(self._all_published, all_sums, is_full)
        self._zone_published, self._all_published = zone_sums, all_sums
        if not self._peers.is_first_hub(self._own_address.host):
            return
        if zone_cells or is_full:
            self._send_to_other_hubs(zone_cells)
        if all_cells or is_full:
            self._send_to_zone_hosts(all_cells)

    def _send_to_other_hubs(self, cells):
        zone = self._own_address.availability_zone
        streams = [
            stream
            for stream in self._peers.streams.values()
            if stream.hello.availability_zone != zone
            and self._peers.is_hub(stream.host)
        ]
        self._peers.send_to(streams, ZoneLoads(zone, cells), "load")

    def _send_to_zone_hosts(self, cells):
        """Send loads to the hosts of this zone, to each without its own load.

        Most hosts have loaded none of the engines, and get the same message.
        """
        zone, changed = self._own_address.availability_zone, {cell[0] for cell in cells}
        others = []
        for stream in self._peers.streams.values():
            if stream.hello.availability_zone != zone:
                continue
            if self._peers.is_hub(stream.host):
                continue
            if changed.isdisjoint(self._host_loads.list_loaded_by(stream.host)):
                others.append(stream)
            else:
                own_cells = self._subtract_host(stream.host, cells)
                self._peers.send_to([stream], ZoneLoads(zone, own_cells), "load")
        self._peers.send_to(others, ZoneLoads(zone, cells), "load")

    def _subtract_host(self, host, cells):
        """Return loads without that of one host, which has newer figures."""
        reduced = []
        for cell in cells:
            part = self._host_loads.get(host, cell[0])
            if part is not None:
                total = EngineLoadCell(*cell[1:])
                total.subtract(part)
                cell = [cell[0], *total.to_numbers()]
            reduced.append(cell)
        return reduced


def find_changed(published, current, is_full):
    """Return [engine, numbers...] of each engine whose load is to be published.

    These are the engines whose load differs from the published one, or with `is_full`
    all engines. An engine that is no longer loaded gets zeros.
    """
    if is_full:
        names = published.keys() | current.keys()
    else:
        names = {
            name
            for name in published.keys() | current.keys()
            if published.get(name) != current.get(name)
        }
    no_load = EngineLoadCell().to_numbers()
    return [[name, *current.get(name, no_load)] for name in names]
