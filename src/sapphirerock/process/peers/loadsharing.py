"""Load that all hosts have placed on each engine, summed by zone.

Engines' own reports are old when they arrive, so hosts exchange the load that they
placed themselves. Each host sends its load to the hubs of its zone, which
`PeerTable.choose_neighbours` chooses. A hub adds up the loads and sends the sum to the
hubs of other zones and to the hosts of its own. The traffic that a host receives grows
with engines and zones, not with hosts.
"""

from collections import defaultdict

from mode import Service

from sapphirerock.connection.messages import HostLoads, ZoneLoads
from sapphirerock.process.engines.table import EngineLoadCell

# Well under the time that an engine takes to prefill a prompt.
PUBLISH_INTERVAL_S = 0.1
# All loads are published again after this time, to replace messages that were lost
# with their stream.
FULL_PUBLISH_INTERVAL_S = 3.0
# The loads of a host or zone that has sent no report for this time are dropped.
SOURCE_EXPIRY_S = 8.0


class LoadTable:
    """Loads by source and engine, and their sum by engine."""

    __slots__ = ("_cells", "_updated_at_s")

    def __init__(self):
        self._cells = defaultdict(dict)
        self._updated_at_s = {}

    def apply_report(self, source, cells, now_s):
        """Apply a source's report on some engines; return the engines' names."""
        self._updated_at_s[source] = now_s
        source_cells = self._cells[source]
        for engine, *numbers in cells:
            if any(numbers):
                source_cells[engine] = EngineLoadCell(*numbers)
            else:
                source_cells.pop(engine, None)
        return {cell[0] for cell in cells}

    def drop_silent_sources(self, now_s):
        """Drop sources without a recent report; return the engines that they loaded."""
        affected = set()
        for source, updated_at_s in list(self._updated_at_s.items()):
            if now_s - updated_at_s > SOURCE_EXPIRY_S:
                del self._updated_at_s[source]
                affected.update(self._cells.pop(source, ()))
        return affected

    def sum_engine(self, engine, excluded_sources=()):
        """Return the sum of an engine's loads over all sources not excluded."""
        total = EngineLoadCell()
        for source, cells in self._cells.items():
            cell = cells.get(engine)
            if cell is not None and source not in excluded_sources:
                total.add(cell)
        return total

    def get(self, source, engine):
        """Return the load that a source has placed on an engine, or None."""
        return self._cells.get(source, {}).get(engine)

    def list_engines(self):
        """Return the engines that any source has loaded."""
        return {engine for cells in self._cells.values() for engine in cells}


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
        # Loads by host of this zone, which only its hubs receive, and sums by zone.
        self._host_loads = LoadTable()
        self._zone_loads = LoadTable()
        self._published = {}
        self._zone_published = {}
        self._full_publish_at_s = -FULL_PUBLISH_INTERVAL_S
        peers.register_handler(HostLoads, self._handle_host_loads)
        peers.register_handler(ZoneLoads, self._handle_zone_loads)

    @property
    def _own_address(self):
        return self._peers.hosts.own_address

    def _handle_host_loads(self, stream, message):
        affected = self._host_loads.apply_report(
            stream.host, message.cells, self._clock.monotonic()
        )
        self._update_remote_loads(affected)

    def _handle_zone_loads(self, stream, message):
        own_zone = self._own_address.availability_zone
        if message.availability_zone == own_zone:
            if self._peers.is_hub(self._own_address.host):
                return
        elif (
            self._peers.is_hub(self._own_address.host)
            and stream.hello.availability_zone != own_zone
        ):
            # Only the first hub of a zone publishes its sum, to the hubs of other
            # zones, which forward it to their hosts. What a host of this zone has
            # forwarded is not forwarded again: while hosts disagree about the hubs, it
            # would go back and forth.
            self._forward_to_zone_hosts(message)
        affected = self._zone_loads.apply_report(
            message.availability_zone, message.cells, self._clock.monotonic()
        )
        self._update_remote_loads(affected)

    def _update_remote_loads(self, names):
        """Recompute the load that other hosts have placed on some engines."""
        is_hub = self._peers.is_hub(self._own_address.host)
        own_zone = (self._own_address.availability_zone,)
        now_s = self._clock.monotonic()
        for name in names:
            state = self._engines.get(name)
            if state is None:
                continue
            total = self._zone_loads.sum_engine(name, own_zone if is_hub else ())
            if is_hub:
                total.add(self._host_loads.sum_engine(name))
            state.remote_load = total
            state.loads_updated_s = now_s

    @Service.task
    async def _publish(self):
        while not self.should_stop:
            await self._clock.sleep(PUBLISH_INTERVAL_S)
            now_s = self._clock.monotonic()
            affected = self._host_loads.drop_silent_sources(now_s)
            affected |= self._zone_loads.drop_silent_sources(now_s)
            self._update_remote_loads(affected)
            is_full = now_s - self._full_publish_at_s > FULL_PUBLISH_INTERVAL_S
            if is_full:
                self._full_publish_at_s = now_s
            if self._peers.is_hub(self._own_address.host):
                self._publish_zone(is_full)
            else:
                self._publish_to_hubs(is_full)

    def _collect_own_loads(self):
        """Return the load that this host has placed on each engine."""
        return {
            state.name: state.local_load.to_numbers()
            for state in self._engines.list_all()
            if state.local_load.is_loaded
        }

    def _publish_to_hubs(self, is_full):
        current = self._collect_own_loads()
        cells = find_changed(self._published, current, is_full)
        self._published = current
        if not cells and not is_full:
            return
        message = HostLoads(cells)
        for host in self._peers.zone_hubs:
            stream = self._peers.streams.get(host)
            if stream is not None:
                self._peers.count_bytes(stream, "load", stream.send(message))

    def _publish_zone(self, is_full):
        """Send the zone's sum to the hubs of other zones and to the hosts of this one.

        Each host of this zone gets the sum without its own load.
        """
        own_loads = self._collect_own_loads()
        names = self._host_loads.list_engines() | own_loads.keys()
        current = {}
        for name in names:
            total = self._host_loads.sum_engine(name)
            if name in own_loads:
                total.add(EngineLoadCell(*own_loads[name]))
            current[name] = total.to_numbers()
        cells = find_changed(self._zone_published, current, is_full)
        self._zone_published = current
        if not cells and not is_full:
            return
        if not self._peers.is_first_hub(self._own_address.host):
            return
        zone = self._own_address.availability_zone
        message = ZoneLoads(zone, cells)
        for stream in list(self._peers.streams.values()):
            if stream.hello.availability_zone != zone:
                if self._peers.is_hub(stream.host):
                    self._peers.count_bytes(stream, "load", stream.send(message))
            elif not self._peers.is_hub(stream.host):
                without_receiver = ZoneLoads(
                    zone, self._subtract_host(stream.host, cells)
                )
                self._peers.count_bytes(stream, "load", stream.send(without_receiver))

    def _subtract_host(self, host, cells):
        """Return a zone's loads without that of one host, which has newer figures."""
        reduced = []
        for engine, *numbers in cells:
            part = self._host_loads.get(host, engine)
            cell = EngineLoadCell(*numbers)
            if part is not None:
                cell.subtract(part)
            reduced.append([engine, *cell.to_numbers()])
        return reduced

    def _forward_to_zone_hosts(self, message):
        """Forward another zone's loads to the hosts of this zone."""
        zone = self._own_address.availability_zone
        for stream in list(self._peers.streams.values()):
            is_same_zone = stream.hello.availability_zone == zone
            if is_same_zone and not self._peers.is_hub(stream.host):
                self._peers.count_bytes(stream, "load", stream.send(message))


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
