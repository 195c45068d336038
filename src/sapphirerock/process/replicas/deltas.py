"""Changes of objects as messages to peers: what is sent, to whom and when."""

import asyncio

import orjson

from sapphirerock.connection.messages import ObjectDelta
from sapphirerock.connection.packing import pack_message
from sapphirerock.process.replicas.replica import ReplicaChange

# A link of 5 Mbit/s carries a message of this size within a second.
DELTA_LIMIT_BYTES = 512 << 10


class DeltaSender:
    """Sends changes to the peers that may lack them, at once or in batches.

    Parameters
    ----------
    peers : PeerTable
        Streams to peers.
    """

    __slots__ = ("_peers", "_batches")

    def __init__(self, peers):
        self._peers = peers
        # Changes to send on with the next batch, by kind and the stream that they came
        # from.
        self._batches = {}

    def forward(self, replica, horizon, changes, source):
        """Send changes on to the peers that may lack them.

        Parameters
        ----------
        replica : Replica
            Replica that the changes were applied to.
        horizon : int
            Revision of the store up to which the changes are complete.
        changes : list of ReplicaChange
            The changes.
        source : PeerStream or None
            The peer that they came from; None for the store.
        """
        packed = [pack_change(change) for change in changes]
        delta = ObjectDelta(replica.kind, replica.newest, horizon, packed, None)
        self.send_delta(delta, self._list_receivers(source))

    def add_to_batch(self, replica, changes, source, batch_s):
        """Gather changes; the first ones of a batch set the time at which it is sent.

        When all hosts start, each of them is a change that each host forwards.
        """
        batches = self._batches.setdefault(replica.kind, {})
        if not batches:
            asyncio.get_running_loop().call_later(batch_s, self._send_batch, replica)
        batches.setdefault(source, []).extend(changes)

    def _send_batch(self, replica):
        batches = self._batches.pop(replica.kind, {})
        for source, changes in batches.items():
            self.forward(replica, replica.horizon, changes, source)

    def _list_receivers(self, source):
        """Return the streams on which a change is sent on.

        A hub of this host's zone that had a change has sent it to the hosts of the zone
        itself. Other hosts are connected to the hubs only. A host that a hub does not
        reach pulls the change after the next heartbeat.
        """
        zone = self._peers.hosts.own_address.availability_zone
        is_from_zone_hub = (
            source is not None
            and source.hello.availability_zone == zone
            and self._peers.is_hub(source.host)
        )
        return [
            stream
            for stream in self._peers.streams.values()
            if stream is not source
            and not (is_from_zone_hub and stream.hello.availability_zone == zone)
        ]

    def send_delta(self, delta, streams):
        """Send a delta, compressed if it is large and the peer reads that."""
        packed = pack_message(delta)
        plain_streams = list(streams)
        if packed is not None:
            plain_streams = [item for item in streams if not item.accepts_packed]
            packed_streams = [item for item in streams if item.accepts_packed]
            self._peers.send_to(packed_streams, packed, "objects")
        self._peers.send_to(plain_streams, delta, "objects")


def pack_change(change):
    """Return a change as an entry of `ObjectDelta`."""
    return [change.name, change.revision, change.spec]


def split_changes(changes):
    """Return entries of `ObjectDelta` in parts of bounded size, at least one part."""
    parts, size = [[]], 0
    for change in changes:
        packed = pack_change(change)
        size += len(orjson.dumps(packed))
        if size > DELTA_LIMIT_BYTES and parts[-1]:
            parts.append([])
            size = 0
        parts[-1].append(packed)
    return parts


def collapse_events(read):
    """Return the last change of each object in the events of a watch.

    A deletion gets the revision that the watch reached, because the revision in the
    deleted object is that of an earlier state.
    """
    last = {}
    for event in read.events:
        last[event.object.name] = event
    return [
        ReplicaChange(event.object.name, read.revision, None)
        if event.is_deleted
        else ReplicaChange(
            event.object.name, event.object.revision, event.object.content
        )
        for event in last.values()
    ]
