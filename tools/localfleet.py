"""Hosts of a large fleet in one process, whose streams deliver in memory."""

import itertools
from collections import Counter, deque

import msgpack

from sapphirerock.connection.messages import decode_frame, encode_frame
from sapphirerock.process.clock import ManualClock
from sapphirerock.process.peers.hosts import HostTable
from sapphirerock.process.peers.table import PeerTable
from sapphirerock.process.settings.hostsettings import HostAddress
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics

ZONES = ("a1", "b1", "c1", "a2", "b2", "c2")


def send_to_each(streams, message, kind):
    """Send a message on several streams, as `PeerTable.send_to` does."""
    for stream in streams:
        stream.send(message)


class FleetStream:
    """One end of a stream between two hosts of a fleet.

    Frames are queued, and delivered by `Fleet.deliver`.

    Parameters
    ----------
    fleet : Fleet
        The fleet.
    sender, receiver : FleetHost
        The host at this end, and the other.
    """

    is_open = True
    accepts_packed = True

    def __init__(self, fleet, sender, receiver):
        self.host = receiver.name
        self.hello = receiver.address
        self.known_views = set()
        self._fleet, self._sender, self._receiver = fleet, sender, receiver

    def send(self, message, correlation=0):
        """Queue a message for the other end; return its size."""
        return self.send_frame(encode_frame(correlation, message))

    def send_frame(self, frame):
        """Queue an encoded message for the other end; return its size."""
        self._fleet.queue.append((self._sender, self._receiver, frame))
        return len(frame)


class FleetHost:
    """One host of a fleet.

    Attributes
    ----------
    received : Counter
        Number of messages received, by the name of their type.
    received_bytes : int
        Size of these messages.
    """

    def __init__(self, name, zone, clock, capacity_class):
        self.name = name
        self.address = HostAddress(name, zone, zone[0], "127.0.0.1", 1, 2)
        self.hosts = HostTable(self.address, (), clock, capacity_class)
        self.peers = PeerTable(self.hosts, "", 1, clock, EdgeMetrics())
        self.received = Counter()
        self.received_bytes = 0

    def receive(self, sender, frame, message):
        """Handle a message of a peer."""
        self.received[type(message).__name__] += 1
        self.received_bytes += len(frame)
        stream = self.peers.streams[sender.name]
        self.peers._dispatch_message(stream, 0, message)


class Fleet:
    """Hosts in six zones of three regions, connected as their peer tables choose.

    Parameters
    ----------
    count : int
        Number of hosts.
    large_per_zone : int
        Hosts of each zone that have a higher capacity class than the others, the last
        ones by name.

    Attributes
    ----------
    queue : deque
        Sender, receiver and frame of each message under way.
    """

    def __init__(self, count, large_per_zone=0):
        self.clock = ManualClock(100.0)
        self.queue = deque()
        zones = itertools.cycle(ZONES)
        first_large = count - large_per_zone * len(ZONES)
        self.hosts = [
            FleetHost(f"{zone}-{number}", zone, self.clock, int(number >= first_large))
            for number, zone in zip(range(count), zones, strict=False)
        ]
        self._hosts_by_name = {host.name: host for host in self.hosts}
        for host, other in itertools.permutations(self.hosts, 2):
            host.hosts.update_from_registration(other.address, other.hosts.own_class)

    def connect(self):
        """Open the streams that the hosts choose."""
        for host in self.hosts:
            for name in host.peers.choose_neighbours():
                self._open_stream(host, self._hosts_by_name[name])

    def _open_stream(self, first, second):
        if second.name in first.peers.streams:
            return
        for sender, receiver in ((first, second), (second, first)):
            stream = FleetStream(self, sender, receiver)
            sender.peers.streams[receiver.name] = stream
            for notify in sender.peers.on_connect:
                notify(stream)

    def deliver(self):
        """Deliver all messages, also those that are sent meanwhile."""
        while self.queue:
            sender, receiver, frame = self.queue.popleft()
            _, message = decode_frame(msgpack.unpackb(frame))
            receiver.receive(sender, frame, message)

    def reset_counts(self):
        """Forget what was received so far."""
        for host in self.hosts:
            host.received.clear()
            host.received_bytes = 0

    def is_hub(self, host):
        """Return whether a host takes itself for a hub."""
        return host.peers.is_hub(host.name)
