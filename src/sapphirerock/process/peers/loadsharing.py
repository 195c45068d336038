"""What all hosts have under way on each engine, summed by zones.

Engines' own reports are old when they arrive. So hosts tell what they sent: each
host tells the hubs of its zone, the hubs add it up and tell the hubs of other zones
and the hosts of their own. What a host hears grows with engines and zones, not with
hosts.
"""

from collections import defaultdict

from mode import Service

from sapphirerock.connection.messages import HostLoads, ZoneLoads
from sapphirerock.process.engines.table import EngineLoadCell

# Well under the time that an engine takes to read a prompt.
PUBLISH_INTERVAL_S = 0.1
# Everything is published again now and then, for messages lost with their stream.
REFRESH_S = 3.0
# What a host or zone said counts no longer when it has been silent.
FORGET_AFTER_S = 8.0


class LoadTable:
    """Loads by source and engine, and their sum by engine."""

    __slots__ = ("_cells", "_heard_s")

    def __init__(self):
        self._cells = defaultdict(dict)
        self._heard_s = {}

    def put(self, source, cells, now_s):
        """Take over what a source says of some engines; return their names."""
        self._heard_s[source] = now_s
        own = self._cells[source]
        for engine, *numbers in cells:
            if any(numbers):
                own[engine] = EngineLoadCell(*numbers)
            else:
                own.pop(engine, None)
        return {cell[0] for cell in cells}

    def forget_silent(self, now_s):
        """Drop sources not heard of lately; return the engines that this touches."""
        touched = set()
        for source, heard_s in list(self._heard_s.items()):
            if now_s - heard_s > FORGET_AFTER_S:
                del self._heard_s[source]
                touched.update(self._cells.pop(source, ()))
        return touched

    def sum_engine(self, engine, left_out=()):
        """Return the sum of an engine's loads over all sources but some."""
        total = EngineLoadCell()
        for source, cells in self._cells.items():
            cell = cells.get(engine)
            if cell is not None and source not in left_out:
                total.add(cell)
        return total

    def get(self, source, engine):
        """Return what a source has on an engine, or None."""
        return self._cells.get(source, {}).get(engine)

    def list_engines(self):
        """Return the engines that any source names."""
        return {engine for cells in self._cells.values() for engine in cells}


class LoadSharing(Service):
    """Tells this host's loads and takes over others'.

    Parameters
    ----------
    engines : EngineTable
        Engines, with this host's loads and where others' go.
    peers : PeerTable
        Streams to hubs and from hosts.
    clock : Clock
        Source of time.
    """

    def __init__(self, engines, peers, clock, **kwargs):
        super().__init__(**kwargs)
        self._engines = engines
        self._peers = peers
        self._clock = clock
        # Of hosts of the own zone, which only its hubs keep, and of zones.
        self._hosts = LoadTable()
        self._zones = LoadTable()
        self._published = {}
        self._zone_published = {}
        self._published_all_s = -REFRESH_S
        peers.register_handler(HostLoads, self._take_host)
        peers.register_handler(ZoneLoads, self._take_zone)

    @property
    def _own(self):
        return self._peers.hosts.own

    def _take_host(self, stream, message):
        touched = self._hosts.put(stream.host, message.cells, self._clock.monotonic())
        self._refresh(touched)

    def _take_zone(self, stream, message):
        if message.availability_zone == self._own.availability_zone:
            if self._peers.is_hub(self._own.host):
                return
        elif self._peers.is_hub(self._own.host):
            # One hub of a zone speaks for it; the hosts hear it from theirs.
            self._send_members(message)
        touched = self._zones.put(
            message.availability_zone, message.cells, self._clock.monotonic()
        )
        self._refresh(touched)

    def _refresh(self, names):
        """Bring others' loads of some engines up to date."""
        is_hub = self._peers.is_hub(self._own.host)
        own_zone = (self._own.availability_zone,)
        now_s = self._clock.monotonic()
        for name in names:
            state = self._engines.get(name)
            if state is None:
                continue
            total = self._zones.sum_engine(name, own_zone if is_hub else ())
            if is_hub:
                total.add(self._hosts.sum_engine(name))
            state.others = total
            state.loads_heard_s = now_s

    @Service.task
    async def _publish(self):
        while not self.should_stop:
            await self._clock.sleep(PUBLISH_INTERVAL_S)
            now_s = self._clock.monotonic()
            touched = self._hosts.forget_silent(now_s)
            touched |= self._zones.forget_silent(now_s)
            self._refresh(touched)
            is_full = now_s - self._published_all_s > REFRESH_S
            if is_full:
                self._published_all_s = now_s
            if self._peers.is_hub(self._own.host):
                self._publish_zone(is_full)
            else:
                self._publish_to_hubs(is_full)

    def _collect_own(self):
        """Return this host's load of each engine that it uses."""
        return {
            state.name: state.own.to_numbers()
            for state in self._engines.list_all()
            if state.own.is_loaded
        }

    def _publish_to_hubs(self, is_full):
        current = self._collect_own()
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
        """Add up the zone and tell other zones, and each host what is not its own."""
        own = self._collect_own()
        names = self._hosts.list_engines() | own.keys()
        current = {}
        for name in names:
            total = self._hosts.sum_engine(name)
            if name in own:
                total.add(EngineLoadCell(*own[name]))
            current[name] = total.to_numbers()
        cells = find_changed(self._zone_published, current, is_full)
        self._zone_published = current
        if not cells and not is_full:
            return
        if not self._peers.is_first_hub(self._own.host):
            return
        zone = self._own.availability_zone
        message = ZoneLoads(zone, cells)
        for stream in list(self._peers.streams.values()):
            if stream.hello.availability_zone != zone:
                if self._peers.is_hub(stream.host):
                    self._peers.count_bytes(stream, "load", stream.send(message))
            elif not self._peers.is_hub(stream.host):
                mine = ZoneLoads(zone, self._leave_out(stream.host, cells))
                self._peers.count_bytes(stream, "load", stream.send(mine))

    def _leave_out(self, host, cells):
        """Return a zone's cells without a host's own part, which it knows better."""
        reduced = []
        for engine, *numbers in cells:
            part = self._hosts.get(host, engine)
            cell = EngineLoadCell(*numbers)
            if part is not None:
                cell.subtract(part)
            reduced.append([engine, *cell.to_numbers()])
        return reduced

    def _send_members(self, message):
        """Pass another zone's loads on to the hosts of the own zone."""
        zone = self._own.availability_zone
        for stream in list(self._peers.streams.values()):
            near = stream.hello.availability_zone == zone
            if near and not self._peers.is_hub(stream.host):
                self._peers.count_bytes(stream, "load", stream.send(message))


def find_changed(published, current, is_full):
    """Return [engine, numbers...] of what differs from what was published."""
    if is_full:
        names = published.keys() | current.keys()
    else:
        names = {
            name
            for name in published.keys() | current.keys()
            if published.get(name) != current.get(name)
        }
    nothing = EngineLoadCell().to_numbers()
    return [[name, *current.get(name, nothing)] for name in names]
