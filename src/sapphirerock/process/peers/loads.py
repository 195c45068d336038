"""Loads of upstreams, passed from host to host within an availability zone.

Loads change all the time, so they are not flooded one by one. Each host keeps
the newest sample of each upstream and passes what is new over its streams within
the zone, several times a second. A sample crosses each of these streams once.
"""

from mode import Service

from sapphirerock.connection.messages import LoadDigest

PASS_INTERVAL_S = 0.25


class LoadSpread(Service):
    """Samples that go from host to host.

    Parameters
    ----------
    upstreams : UpstreamTable
        Takes samples over.
    peers : PeerTable
        Streams of the zone.
    clock : Clock
        Source of time.
    """

    def __init__(self, upstreams, peers, clock, **kwargs):
        super().__init__(**kwargs)
        self._upstreams = upstreams
        self._peers = peers
        self._clock = clock
        self._samples = {}
        self._waiting = {}
        peers.register_handler(LoadDigest, self._take)
        peers.on_connect.append(self._greet)

    def record(self, sample, source=""):
        """Take a sample, if it is newer, and pass it on to all but its source.

        Parameters
        ----------
        sample : LoadSample
            What an upstream reported.
        source : str
            Host that it came from; empty for this host's own poll.
        """
        known = self._samples.get(sample.upstream)
        if known is not None and known.sampled_at >= sample.sampled_at:
            return
        self._samples[sample.upstream] = sample
        self._upstreams.apply_sample(sample)
        for host in self._list_neighbours():
            if host != source:
                self._waiting.setdefault(host, {})[sample.upstream] = sample

    def _list_neighbours(self):
        """Return the hosts of the zone that this one has streams to."""
        zone = self._peers.hosts.own.availability_zone
        return [
            stream.host
            for stream in self._peers.streams.values()
            if stream.hello.availability_zone == zone
        ]

    def _greet(self, stream):
        """Give a new neighbour everything."""
        if stream.host in self._list_neighbours():
            self._waiting[stream.host] = dict(self._samples)

    def _take(self, stream, digest):
        for sample in digest.to_samples():
            self.record(sample, stream.host)

    @Service.task
    async def _pass_on(self):
        while not self.should_stop:
            await self._clock.sleep(PASS_INTERVAL_S)
            for host in list(self._waiting):
                samples = self._waiting.pop(host)
                stream = self._peers.streams.get(host)
                if stream is not None:
                    digest = LoadDigest.from_samples(samples.values())
                    self._peers.count_bytes(stream, "load", stream.send(digest))
