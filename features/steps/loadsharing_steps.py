"""Steps on the exchange of loads between hosts."""

from collections import deque
from types import SimpleNamespace

from behave import given, then, when
from expression import Ok

from sapphirerock.connection.messages import ZoneLoads
from sapphirerock.process.clock import ManualClock
from sapphirerock.process.engines.table import EngineTable
from sapphirerock.process.peers.loadsharing import LoadSharing
from sapphirerock.process.replicas.replica import ReplicaChange
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics
from sapphirerock.version.engineentry import EngineEntry

ENGINE = "e1"
# Far above what the scenarios allow; ends a loop of messages.
MAX_MESSAGES = 1_000


class FakePeers:
    """Peers of a host, with queues in place of streams."""

    def __init__(self, host, zone):
        self.hosts = SimpleNamespace(
            own_address=SimpleNamespace(host=host, availability_zone=zone)
        )
        self.streams = {}
        self.zone_hubs = [host]
        self.handlers = {}
        self.on_connect = []

    def register_handler(self, message_type, handler):
        """Register the handler of a message type."""
        self.handlers[message_type] = handler

    def is_hub(self, host):
        """Return whether this host takes a host for a hub."""
        return host in self.zone_hubs

    def is_first_hub(self, host):
        """Return whether this host takes a host for the first hub of its zone."""
        return host in self.zone_hubs

    def send_to(self, streams, message, kind):
        """Send a message on several streams."""
        for stream in streams:
            stream.send(message)


class QueuedStream:
    """End of a stream: what is sent here is queued for the host at the other end."""

    def __init__(self, sender, receiver, queue):
        address = receiver.peers.hosts.own_address
        self.host = address.host
        self.hello = SimpleNamespace(availability_zone=address.availability_zone)
        self._sender, self._receiver, self._queue = sender, receiver, queue

    def send(self, message):
        """Queue a message for the other end."""
        self._queue.append((self._sender, self._receiver, message))
        return 0


def make_host(name, zone):
    clock, metrics = ManualClock(), EdgeMetrics()
    engines = EngineTable(lambda name, spec: Ok(spec), clock, metrics)
    entry = EngineEntry(ENGINE, "model", "127.0.0.1:1", "zone-b", 16)
    engines.apply_changes([ReplicaChange(ENGINE, 1, entry)])
    peers = FakePeers(name, zone)
    LoadSharing(engines, peers, clock)
    return SimpleNamespace(peers=peers, engines=engines, received=0)


def connect(first, second, queue):
    for sender, receiver in ((first, second), (second, first)):
        stream = QueuedStream(sender, receiver, queue)
        sender.peers.streams[stream.host] = stream


@given("two hosts of a zone that each take only themselves for a hub")
def make_disagreeing_hosts(context):
    context.queue = deque()
    context.hosts = [make_host("a1", "zone-a"), make_host("a2", "zone-a")]
    context.remote = make_host("b1", "zone-b")
    connect(*context.hosts, context.queue)
    for host in context.hosts:
        connect(host, context.remote, context.queue)


@when("the hub of another zone sends its loads to both")
def send_loads(context):
    for stream in context.remote.peers.streams.values():
        stream.send(ZoneLoads("zone-b", [[ENGINE, 8000, 1, 9000, 0]]))
    for _ in range(MAX_MESSAGES):
        if not context.queue:
            return
        sender, receiver, message = context.queue.popleft()
        receiver.received += 1
        stream = receiver.peers.streams[sender.peers.hosts.own_address.host]
        receiver.peers.handlers[ZoneLoads](stream, message)


@then("each host receives at most {count:d} messages, and knows the loads")
def check_messages(context, count):
    assert [host.received <= count for host in context.hosts] == [True, True], [
        host.received for host in context.hosts
    ]
    for host in context.hosts:
        assert host.engines.get(ENGINE).remote_load.prompt_tokens == 8000
