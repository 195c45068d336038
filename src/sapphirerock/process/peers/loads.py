"""Loads of upstreams, forwarded between the hosts of an availability zone.

Loads change all the time, so they are not sent one by one as gossip updates. Each host
keeps the newest sample of each upstream and sends new samples in batches over its
streams within the zone, several times a second. A sample crosses each stream once.
"""

from mode import Service

from sapphirerock.connection.messages import LoadDigest

FORWARD_INTERVAL_S = 0.25


class LoadForwarder(Service):
    """Stores and forwards load samples.

    Parameters
    ----------
    upstreams : UpstreamTable
        Receives each new sample.
    peers : PeerTable
        Streams to other hosts.
    clock : Clock
        Source of time.
    """

    def __init__(self, upstreams, peers, clock, **kwargs):
        super().__init__(**kwargs)
        self._upstreams = upstreams
        self._peers = peers
        self._clock = clock
        self._samples = {}
        self._pending = {}
        peers.register_handler(LoadDigest, self._handle_digest)
        peers.on_connect.append(self._queue_all_samples)

    def record(self, sample, source=""):
        """Apply a sample that is newer and queue it for all hosts but its source.

        Parameters
        ----------
        sample : LoadSample
            Load that an upstream reported.
        source : str
            Host that sent the sample; empty for this host's own poll.
        """
        known = self._samples.get(sample.upstream)
        if known is not None and known.sampled_at >= sample.sampled_at:
            return
        self._samples[sample.upstream] = sample
        self._upstreams.apply_sample(sample)
        for host in self._list_zone_hosts():
            if host != source:
                self._pending.setdefault(host, {})[sample.upstream] = sample

    def _list_zone_hosts(self):
        """Return the hosts of the zone to which this host has a stream."""
        zone = self._peers.hosts.own_address.availability_zone
        return [
            stream.host
            for stream in self._peers.streams.values()
            if stream.hello.availability_zone == zone
        ]

    def _queue_all_samples(self, stream):
        """Queue all samples for a host of the zone that has just connected."""
        if stream.host in self._list_zone_hosts():
            self._pending[stream.host] = dict(self._samples)

    def _handle_digest(self, stream, digest):
        for sample in digest.to_samples():
            self.record(sample, stream.host)

    @Service.task
    async def _forward_pending(self):
        while not self.should_stop:
            await self._clock.sleep(FORWARD_INTERVAL_S)
            for host in list(self._pending):
                samples = self._pending.pop(host)
                stream = self._peers.streams.get(host)
                if stream is not None:
                    digest = LoadDigest.from_samples(samples.values())
                    self._peers.count_bytes(stream, "load", stream.send(digest))
