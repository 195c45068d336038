"""Steps on replicas that differ although their newest change is the same."""

import random
from random import Random
from types import SimpleNamespace

import msgpack
from behave import given, then, when
from tools.localfleet import Fleet

from sapphirerock.connection.messages import decode_frame
from sapphirerock.decisions.replicaviews import ReplicaPull, ReplicaView, choose_pull
from sapphirerock.process.peers.table import HEARTBEAT_INTERVAL_S
from sapphirerock.process.replicas.feed import ObjectFeed
from sapphirerock.process.replicas.feedstate import ReplicatedKind
from sapphirerock.process.replicas.replica import Replica, ReplicaChange

KIND = "engines"
HORIZON = 10
# Both changes are updates of engines in the list that all hosts have.
ENGINES = [ReplicaChange(f"e{number}", number, {"state": "ready"}) for number in (1, 2)]
CHANGES = {
    "drain": ReplicaChange("e1", 11, {"state": "draining"}),
    "added": ReplicaChange("e3", 11, {"state": "ready"}),
    "other": ReplicaChange("e2", 12, {"state": "ready", "seq": 1}),
}
PULLS = {"nothing": None, "the changes since its horizon": HORIZON, "all objects": 0}
CHANGES_PER_ROUND = 6
SEED = 4402
LOST_SHARE = 1 / 3
WATCHING_ZONE = "a1"


def make_view(text):
    """Return the view of a replica that got some of the changes."""
    names, _, build = text.partition(" of ")
    replica = Replica(KIND)
    replica.apply(0, HORIZON, ENGINES, [change.name for change in ENGINES])
    for name in names.split(", "):
        replica.apply(HORIZON, HORIZON, [CHANGES[name]])
    return ReplicaView(replica.newest, len(replica), None if build else replica.digest)


@when("a host with {own} hears of a peer with {peer}")
def compare_views(context, own, peer):
    context.own, context.peer = make_view(own), make_view(peer)
    context.pull = choose_pull(context.own, context.peer, HORIZON, None, 1.0)


@when("the same again {after:g} s later")
def compare_again(context, after):
    # The first pull brought nothing.
    context.own = ReplicaView(
        context.peer.newest, context.peer.size, context.own.digest
    )
    last = ReplicaPull(1.0, context.own, context.peer)
    context.pull = choose_pull(context.own, context.peer, HORIZON, last, 1.0 + after)


@then("it pulls {pull}")
def check_pull(context, pull):
    assert context.pull == PULLS[pull], context.pull


class ReplicatingFleet:
    """Hosts of a fleet with a feed each, which have the same objects at first.

    One host of each zone watches the store: a hub, but for one zone.

    Parameters
    ----------
    count : int
        Number of hosts.
    is_hub_watching : bool
        Whether a hub of `WATCHING_ZONE` watches the store, or a host that is no hub.
    """

    def __init__(self, count, is_hub_watching):
        self.fleet = Fleet(count)
        self.newest = HORIZON
        self.generator = random.Random(SEED)
        self.feeds = {host.name: self._add_feed(host) for host in self.fleet.hosts}
        self.fleet.connect()
        self.fleet.queue.clear()
        watchers = {}
        for host in self.fleet.hosts:
            zone = host.address.availability_zone
            if self.fleet.is_hub(host) is (zone != WATCHING_ZONE or is_hub_watching):
                watchers[zone] = host
        self.watchers = list(watchers.values())

    def _add_feed(self, host):
        replica = Replica(KIND)
        names = [change.name for change in ENGINES]
        replica.apply(0, HORIZON, ENGINES, names)
        store = SimpleNamespace(observe_era=lambda era: True)
        kinds = [ReplicatedKind(replica)]
        return ObjectFeed(store, kinds, host.peers, self.fleet.clock, Random(0))

    def _get_replica(self, host):
        return self.feeds[host.name]._replicas[KIND]

    def change_objects(self, lost_share=0.0):
        """Let each watcher read the same changes, at times of its own.

        Messages from one host to another stay in order; others overtake each other.
        """
        changes = []
        for _ in range(CHANGES_PER_ROUND):
            self.newest += 1
            name = self.generator.choice(ENGINES).name
            changes.append(ReplicaChange(name, self.newest, {"seq": self.newest}))
        unread = {watcher.name: list(changes) for watcher in self.watchers}
        while self.fleet.queue or any(unread.values()):
            watcher = self.generator.choice(self.watchers)
            if unread[watcher.name] and self.generator.random() < 1 / 2:
                self._read_change(watcher, unread[watcher.name].pop(0))
            elif self.fleet.queue:
                self._deliver_one(lost_share)

    def _read_change(self, watcher, change):
        """Apply a change as if the store had just sent it to a watcher."""
        replica, revision = self._get_replica(watcher), change.revision
        self.feeds[watcher.name]._apply_and_forward(
            replica, revision - 1, revision, [change], None
        )

    def _deliver_one(self, lost_share):
        """Deliver the oldest message of a random pair of hosts, or lose it."""
        queue = self.fleet.queue
        oldest = {}
        for number, (sender, receiver, _) in enumerate(queue):
            oldest.setdefault((sender.name, receiver.name), number)
        number = self.generator.choice(list(oldest.values()))
        sender, receiver, frame = queue[number]
        del queue[number]
        if self.generator.random() >= lost_share:
            _, message = decode_frame(msgpack.unpackb(frame))
            receiver.receive(sender, frame, message)

    def exchange_heartbeats(self):
        """Let all hosts send heartbeats, and deliver these and what follows."""
        self.fleet.clock.advance(HEARTBEAT_INTERVAL_S)
        for host in self.fleet.hosts:
            message = host.peers._make_heartbeat()
            for stream in host.peers.streams.values():
                stream.send(message)
        self.fleet.deliver()

    def list_differing(self):
        """Return the hosts whose objects aren't those of the first watcher."""
        expected = self._list_objects(self.watchers[0])
        return [
            host.name
            for host in self.fleet.hosts
            if self._list_objects(host) != expected
        ]

    def _list_objects(self, host):
        live = self._get_replica(host).list_live()
        return sorted((change.name, change.revision) for change in live)


@given("{count:d} hosts in 6 zones, where {watcher} of one zone reads the store")
def make_replicating_fleet(context, count, watcher):
    context.replicating = ReplicatingFleet(count, watcher == "the first hub")


@when("changes reach the zones and overtake each other in {count:d} rounds")
def change_in_rounds(context, count):
    context.differing = []
    for _ in range(count):
        context.replicating.change_objects()
        context.differing.append(context.replicating.list_differing())


@then("all hosts have the same objects after each round")
def check_same(context):
    assert not any(context.differing), context.differing


@when("a third of the messages with changes is lost in {count:d} rounds")
def plan_lossy_rounds(context, count):
    context.rounds = count


@then("all hosts have the same objects after {count:d} heartbeats in each round")
def check_same_after_heartbeats(context, count):
    replicating = context.replicating
    for number in range(context.rounds):
        replicating.change_objects(LOST_SHARE)
        for _ in range(count):
            replicating.exchange_heartbeats()
        assert not replicating.list_differing(), (number, replicating.list_differing())
