"""Streams to other entry hosts: dialled, accepted, kept alive, bounded."""

import asyncio

from expression import Error, Ok
from loguru import logger
from mode import Service
from opentelemetry.trace import NoOpTracer, SpanKind

from sapphirerock.connection.errors import PeerUnavailable
from sapphirerock.connection.messages import Heartbeat, Hello, Refusal
from sapphirerock.connection.peer import open_peer_stream
from sapphirerock.decisions.rendezvous import rank_candidates
from sapphirerock.process.settings.hostsettings import HostAddress
from sapphirerock.process.tasks import BackgroundTasks

HEARTBEAT_S = 0.5
SILENCE_BOUND_S = 2.0
DIAL_BOUND_S = 0.5
# One may be lost without an update getting lost with it.
HUBS_PER_ZONE = 2
IDLE_CLOSE_S = 30.0


class PeerTable(Service):
    """All streams to peers of this process.

    Parameters
    ----------
    hosts : HostTable
        Known hosts.
    key : str
        Secret that peers share.
    incarnation : int
        Number of this process; higher for a later one on the same host.
    clock : Clock
        Source of time.
    metrics : Metrics
        Where bytes are counted.
    listen_port : int or None
        Port to listen on where it is not the one that peers dial.
    tracer : opentelemetry.trace.Tracer or None
        Makes a span for each question to a peer.
    """

    def __init__(
        self,
        hosts,
        key,
        incarnation,
        clock,
        metrics,
        listen_port=None,
        tracer=None,
        **kwargs,
    ):
        super().__init__(**kwargs)
        self._tracer = tracer or NoOpTracer()
        self._listen_port = listen_port
        self.hosts = hosts
        self.incarnation = incarnation
        self.leaving = False
        self.streams = {}
        # Among them those that a newer one to the same host has replaced.
        self._open = set()
        self.zone_hubs = []
        self._hubs = {}
        self._all_hubs = frozenset()
        self.describe_views = list
        self.on_heartbeat = []
        self.on_connect = []
        self._key = key.encode()
        self._clock = clock
        self._metrics = metrics
        self._handlers = {Heartbeat: self._take_heartbeat}
        self._dials = {}
        self._server = None
        self._stream_tasks = BackgroundTasks()

    def register_handler(self, message_type, handler):
        """Send messages of a type to a function.

        The function takes the stream and the message. What it returns, or what
        the coroutine that it returns ends with, is the reply.
        """
        self._handlers[message_type] = handler

    async def on_start(self):
        """Accept peers."""
        own = self.hosts.own
        self._server = await asyncio.start_server(
            self._accept, own.address, self._listen_port or own.peer_port
        )

    async def on_stop(self):
        """Close every stream."""
        # A port that could not be opened is the cause to be seen, not this.
        if self._server is not None:
            self._server.close()
        for stream in list(self.streams.values()):
            stream.close()
        self._stream_tasks.cancel()

    def announce_leaving(self):
        """Tell every peer that this host takes no new work."""
        self.leaving = True
        self.beat_all()

    def beat_all(self):
        """Tell every peer at once what a heartbeat would."""
        message = self._make_heartbeat()
        for stream in list(self._open):
            self._beat(stream, message)

    async def reach(self, host):
        """Return the stream to a host, dialled if there is none.

        Returns
        -------
        expression.Result of PeerStream or PeerUnavailable
        """
        stream = self.streams.get(host)
        if stream is not None and stream.is_open:
            stream.last_used_s = self._clock.monotonic()
            return Ok(stream)
        address = self.hosts.find(host)
        if address is None:
            return Error(PeerUnavailable(host, "unknown host"))
        if host not in self._dials:
            self._dials[host] = self._stream_tasks.spawn(self._dial(address))
        return await asyncio.shield(self._dials[host])

    async def ask(self, host, message, timeout_s):
        """Ask a host, over a stream dialled if need be.

        Returns
        -------
        expression.Result of Message or PeerUnavailable
        """
        name = f"peer {type(message).__name__}"
        with self._tracer.start_as_current_span(name, kind=SpanKind.CLIENT):
            reached = await self.reach(host)
            if reached.is_error():
                return reached
            return await reached.ok.ask(message, timeout_s)

    def send_all(self, message, kind, accepts=None):
        """Send a message to every peer that passes a test."""
        for stream in list(self.streams.values()):
            if accepts is None or accepts(stream):
                self.count_bytes(stream, kind, stream.send(message))

    def count_bytes(self, stream, kind, size):
        """Count bytes to a peer by kind and by how far they go."""
        own = self.hosts.own
        reach = "region"
        if stream.hello.region != own.region:
            reach = "between-regions"
        elif stream.hello.availability_zone == own.availability_zone:
            reach = "zone"
        self._metrics.peer_bytes.labels(kind, reach).inc(size)

    async def dial_seed(self, endpoint):
        """Connect to whichever host listens at an address.

        Returns
        -------
        expression.Result of PeerStream or PeerUnavailable
        """
        try:
            opened = await self._connect(endpoint.address, endpoint.port)
        except (TimeoutError, OSError) as error:
            return Error(PeerUnavailable(str(endpoint), repr(error)))
        if opened.is_error():
            return Error(PeerUnavailable(str(endpoint), opened.error.reason))
        stream = opened.ok
        stream.is_dialled = True
        self._adopt(stream)
        return Ok(stream)

    async def _connect(self, address, port):
        async with asyncio.timeout(DIAL_BOUND_S):
            reader, writer = await asyncio.open_connection(
                address, port, local_addr=(self.hosts.own.address, 0)
            )
        return await self._shake_hands(reader, writer)

    async def _dial(self, address):
        host = address.host
        try:
            opened = await self._connect(address.address, address.peer_port)
        except (TimeoutError, OSError) as error:
            self.hosts.mark_dead(host)
            return Error(PeerUnavailable(host, repr(error)))
        finally:
            self._dials.pop(host, None)
        if opened.is_error():
            self.hosts.mark_dead(host)
            return Error(PeerUnavailable(host, opened.error.reason))
        stream = opened.ok
        if stream.host != host:
            stream.close()
            return Error(PeerUnavailable(host, "another host answers"))
        stream.is_dialled = True
        self._adopt(stream)
        return Ok(stream)

    async def _accept(self, reader, writer):
        opened = await self._shake_hands(reader, writer)
        if opened.is_error():
            logger.warning("peer refused: {}", opened.error.reason)
        else:
            self._adopt(opened.ok)

    async def _shake_hands(self, reader, writer):
        own = self.hosts.own
        hello = Hello(
            own.host,
            own.availability_zone,
            own.region,
            own.address,
            own.caller_port,
            own.peer_port,
            self.incarnation,
            b"",
        )
        return await open_peer_stream(reader, writer, hello, self._key, self._receive)

    def _adopt(self, stream):
        hello = stream.hello
        self.hosts.learn(
            HostAddress(
                hello.host,
                hello.availability_zone,
                hello.region,
                hello.address,
                hello.caller_port,
                hello.peer_port,
            )
        )
        self.hosts.mark_alive(hello.host)
        stream.last_heard_s = stream.last_used_s = self._clock.monotonic()
        # Both ends may dial at once; the stream made last serves for sending,
        # and the other is read until it goes silent.
        self.streams[hello.host] = stream
        self._stream_tasks.spawn(self._serve(stream))
        self._metrics.peer_links.set(len(self.streams))
        for notify in self.on_connect:
            notify(stream)

    async def _serve(self, stream):
        self._open.add(stream)
        self._beat(stream, self._make_heartbeat())
        try:
            await stream.run(self._clock)
        finally:
            self._open.discard(stream)
            stream.close()
            if self.streams.get(stream.host) is stream:
                del self.streams[stream.host]
                self._metrics.peer_links.set(len(self.streams))

    @Service.task
    async def _keep_alive(self):
        while not self.should_stop:
            await self._clock.sleep(HEARTBEAT_S)
            self.beat_all()
            for stream in list(self._open):
                self._close_useless(stream)

    def _close_useless(self, stream):
        """Close a stream that is silent, or that nobody needs any more."""
        now_s = self._clock.monotonic()
        if now_s - stream.last_heard_s > SILENCE_BOUND_S:
            self.hosts.mark_dead(stream.host)
            stream.close()
        if stream.on_demand and now_s - stream.last_used_s > IDLE_CLOSE_S:
            stream.close()

    def _make_heartbeat(self):
        return Heartbeat(self.leaving, self.describe_views())

    def _beat(self, stream, message):
        self.count_bytes(stream, "heartbeat", stream.send(message))

    def _take_heartbeat(self, stream, message):
        if message.leaving:
            self.hosts.mark_leaving(stream.host)
        for notify in self.on_heartbeat:
            notify(stream, message)

    def _receive(self, stream, correlation, message):
        handler = self._handlers.get(type(message))
        if handler is None:
            if correlation:
                stream.send(Refusal("unknown request"), -correlation)
            return
        answer = handler(stream, message)
        if asyncio.iscoroutine(answer):
            self._stream_tasks.spawn(self._answer_later(stream, correlation, answer))
        elif correlation and answer is not None:
            stream.send(answer, -correlation)

    async def _answer_later(self, stream, correlation, answer):
        message = await answer
        if correlation and message is not None:
            stream.send(message, -correlation)

    @Service.task
    async def _keep_neighbours(self):
        while not self.should_stop:
            neighbours = self.choose_neighbours()
            for host in neighbours:
                if host not in self.streams:
                    self.add_future(self.reach(host))
            for host, stream in self.streams.items():
                # What was dialled for a ring that has changed may close when idle.
                stream.on_demand = stream.is_dialled and host not in neighbours
            await self._clock.sleep(HEARTBEAT_S)

    def choose_neighbours(self):
        """Return the hosts that this one keeps streams to.

        Each host reaches the hubs of its availability zone, and each hub those of
        the other zones, so that updates cross any number of hosts in three steps.
        """
        own = self.hosts.own
        zones = {own.availability_zone: [own.host]}
        for address in self.hosts.list_live():
            zones.setdefault(address.availability_zone, []).append(address.host)
        self._hubs = {
            zone: rank_candidates(names, "hub")[:HUBS_PER_ZONE]
            for zone, names in zones.items()
        }
        self._all_hubs = frozenset().union(*self._hubs.values())
        self.zone_hubs = self._hubs[own.availability_zone]
        neighbours = set(self.zone_hubs)
        if own.host in self.zone_hubs:
            for hubs in self._hubs.values():
                neighbours.update(hubs)
        return sorted(neighbours - {own.host})

    def is_hub(self, host):
        """Return whether a host passes updates on for its zone."""
        return host in self._all_hubs

    def is_first_hub(self, host):
        """Return whether a host is the first hub of its zone."""
        return any(hubs[:1] == [host] for hubs in self._hubs.values())
