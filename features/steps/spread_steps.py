"""Steps on how large configurations are sent from host to host."""

import asyncio
import hashlib
import re
import zlib
from random import Random
from types import SimpleNamespace

import msgpack
from behave import given, then, when
from tools.localfleet import send_to_each
from tools.sharedcluster import make_configuration, make_route

from sapphirerock.connection.messages import (
    FRAME_LIMIT_BYTES,
    Heartbeat,
    ObjectDelta,
    PackedMessage,
    encode_frame,
)
from sapphirerock.connection.packing import pack_message, unpack_message
from sapphirerock.process.clock import ManualClock
from sapphirerock.process.replicas.feed import ObjectFeed
from sapphirerock.process.replicas.feedstate import ReplicatedKind
from sapphirerock.process.replicas.replica import Replica

# A watcher on a link of 5 Mbit/s sends a configuration to 14 hosts within 2 s, half of
# the time in which it must be in force: 5e6 / 8 * 2 / 14 bytes each.
BYTES_PER_KB = 1000
SENT = re.compile(
    r'^sapphirerock_peer_bytes_total\{kind="objects",reach="[\w-]+"\} (\S+)',
    re.MULTILINE,
)
IN_FORCE = re.compile(r"^sapphirerock_configuration_revision (\S+)", re.MULTILINE)


def make_large_configuration(count):
    """Return a configuration with further routes of the usual form."""
    configuration = make_configuration(version=2)
    for number in range(count):
        digest = hashlib.blake2b(b"%d" % number).hexdigest()
        configuration["routes"].append(
            make_route(f"r-{digest[:7]}", f"/{digest[7:16]}/", "idempotent", "shop")
        )
    return configuration


async def read_metric(context, name, pattern):
    """Return the sum of a metric's values at an edge."""
    url = context.world.cluster.get_metrics_url(name)
    async with context.world.session.get(url) as response:
        text = await response.text()
    return sum(float(value) for value in pattern.findall(text))


async def measure_sent_bytes(context):
    edges = context.world.cluster.edges
    return sum([await read_metric(context, name, SENT) for name in edges])


async def wait_until_in_force(context):
    async def is_in_force():
        edges = context.world.cluster.edges
        revisions = {await read_metric(context, name, IN_FORCE) for name in edges}
        return len(revisions) == 1 and revisions.pop() > context.revision

    await context.world.wait_until(is_in_force, "the configuration is in force")


@when("the configuration grows by {count:d} routes")
def grow_configuration(context, count):
    async def run():
        cluster = context.world.cluster
        context.revision = await read_metric(context, "edge-0", IN_FORCE)
        sent_bytes = await measure_sent_bytes(context)
        await cluster.put_configuration(make_large_configuration(count))
        await wait_until_in_force(context)
        context.sent_bytes = await measure_sent_bytes(context) - sent_bytes

    context.run(run())


@then("each edge has it in force, and got it in at most {bound:d} kB from its peers")
def check_sent_bytes(context, bound):
    receivers = len(context.world.cluster.edges) - 1
    kilobytes = context.sent_bytes / receivers / BYTES_PER_KB
    assert 0 < kilobytes <= bound, round(kilobytes)


def make_large_delta():
    content = make_large_configuration(200)
    return ObjectDelta("config", 1, 2, [["main", 2, content]], None)


FAULTY_CONTENTS = {
    "cut off": lambda: pack_message(make_large_delta()).content[:-20],
    "no zlib data": lambda: b"plain bytes",
    "too large": lambda: zlib.compress(bytes(FRAME_LIMIT_BYTES + 1)),
    "no message": lambda: zlib.compress(msgpack.packb([999, 0])),
}


@given("a packed message that is {fault}")
def make_faulty_message(context, fault):
    context.message = PackedMessage(FAULTY_CONTENTS[fault]())


@then("it can't be unpacked")
def check_not_unpacked(context):
    try:
        unpack_message(context.message)
    except ValueError:
        return
    raise AssertionError("unpacked")


HUBS = ("a0", "a1", "b1", "c1")


class RecordingStream:
    """A stream to a peer that keeps what is sent."""

    def __init__(self, host, availability_zone):
        self.host = host
        self.hello = SimpleNamespace(availability_zone=availability_zone)
        self.accepts_packed = False
        self.sent = []

    def send(self, message):
        """Keep a message; return its size."""
        self.sent.append(message)
        return len(encode_frame(0, message))


class FeedUnderTest:
    """A feed of one host in zone-a, with recorded streams to its peers."""

    def __init__(self, zones_by_host, batch_s=0.0):
        self.streams = {
            host: RecordingStream(host, zone) for host, zone in zones_by_host.items()
        }
        own_address = SimpleNamespace(host="a0", availability_zone="zone-a")
        self.peers = SimpleNamespace(
            register_handler=lambda message_type, handler: None,
            on_heartbeat=[],
            view_sources=[],
            streams=self.streams,
            hosts=SimpleNamespace(own_address=own_address),
            send_to=send_to_each,
            is_hub=lambda host: host in HUBS,
        )
        store = SimpleNamespace(observe_era=lambda era: True)
        kinds = [ReplicatedKind(Replica("config"), batch_s=batch_s)]
        self.feed = ObjectFeed(store, kinds, self.peers, ManualClock(1.0), Random(0))

    def receive_heartbeat(self, host, views):
        """Deliver a heartbeat of a peer."""
        for notify in self.peers.on_heartbeat:
            notify(self.streams[host], Heartbeat(False, views))

    def receive_change(self, host):
        """Deliver a large change from a peer."""
        self.feed._handle_delta(self.streams[host], make_large_delta())


@given("a host that {reads} packed messages")
def make_feed(context, reads):
    context.host = FeedUnderTest({"a1": "zone-a", "b1": "zone-b"})
    if reads == "has said that it reads":
        context.host.receive_heartbeat("b1", [["packed-messages", 0, 0, 1 << 30, ""]])


@when("a large change is sent to it")
def send_large_change(context):
    context.host.receive_change("a1")


@given("a host that gathers changes for {batch:g} s before it sends them on")
def make_batching_feed(context, batch):
    context.batch_s = batch
    context.host = FeedUnderTest({"a1": "zone-a", "b1": "zone-b"}, batch)


@when("it gets {count:d} changes from {host}, one after the other")
def receive_changes(context, count, host):
    async def run():
        for number in range(1, count + 1):
            changes = [[f"host-{number}", number, {}]]
            delta = ObjectDelta("config", number - 1, number, changes, None)
            context.host.feed._handle_delta(context.host.streams[host], delta)
        await asyncio.sleep(2 * context.batch_s)

    context.run(run())


@then("it sends one message with {count:d} changes to {host}")
def check_batch(context, count, host):
    (message,) = context.host.streams[host].sent
    assert len(message.changes) == count, message


@given("a host with peers in its zone and in two others")
def make_feed_of_three_zones(context):
    context.host = FeedUnderTest(
        {"a1": "zone-a", "a2": "zone-a", "b1": "zone-b", "c1": "zone-c"}
    )


@when("it gets a change from {host}")
def receive_change(context, host):
    context.host.receive_change(host)


@then("it sends the change to {hosts}")
def check_receivers(context, hosts):
    sent = [name for name, stream in context.host.streams.items() if stream.sent]
    assert sent == hosts.split(" and "), sent


@then("it gets the change {form}")
def check_form(context, form):
    (message,) = context.host.streams["b1"].sent
    if form == "packed":
        message = unpack_message(message)
    assert message.changes == make_large_delta().changes
