"""Streams to other entry hosts: connection, heartbeats, message dispatch, hubs."""

import asyncio

from expression import Error, Ok
from loguru import logger
from mode import Service
from opentelemetry.trace import NoOpTracer, SpanKind

from sapphirerock.connection.errors import PeerUnavailable
from sapphirerock.connection.messages import (
    Heartbeat,
    Hello,
    Refusal,
    RelayOpen,
    encode_frame,
)
from sapphirerock.connection.peer import (
    HANDSHAKE_TIMEOUT_S,
    make_unpacker,
    open_peer_stream,
    read_first_message,
)
from sapphirerock.decisions.duties import HUB_DUTY, rank_for_duty
from sapphirerock.process.settings.hostsettings import HostAddress
from sapphirerock.process.tasks import BackgroundTasks

HEARTBEAT_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
# With two hubs, the failure of one loses no update.
HUBS_PER_ZONE = 2
# A stream costs both ends a heartbeat each half second, a new one as much as four.
IDLE_TIMEOUT_S = 5.0
# A host that has just started gets records from its peers on their first streams.
FIRST_CONNECT_INTERVAL_S = 0.1


class PeerTable(Service):
    """All streams of this process to its peers.

    Parameters
    ----------
    hosts : HostTable
        Known hosts.
    key : str
        Secret that peers share.
    incarnation : int
        Number of this process; a later process on the same host has a higher one.
    clock : Clock
        Source of time.
    metrics : Metrics
        Counts bytes and streams.
    listen_port : int or None
        Port to listen on if it differs from the port that peers connect to.
    tracer : opentelemetry.trace.Tracer or None
        Records a span for each request to a peer.
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
        self.is_shutting_down = False
        self.streams = {}
        # Includes streams that a newer stream to the same host has replaced.
        self._open_streams = set()
        self.zone_hubs = []
        self._hubs = {}
        self._all_hubs = frozenset()
        # Functions that return views of this host's state to send with heartbeats.
        self.view_sources = []
        self.on_heartbeat = []
        self._on_support = {}
        self.on_connect = []
        # Coroutine function (reader, writer, RelayOpen) that relays connections to
        # engines; None if this host relays none.
        self.relay = None
        self._key = key.encode()
        self._clock = clock
        self._metrics = metrics
        # Counters of `peer_bytes` by their labels.
        self._byte_counters = {}
        self._handlers = {Heartbeat: self._handle_heartbeat}
        self._dials = {}
        self._server = None
        self._stream_tasks = BackgroundTasks()

    def register_handler(self, message_type, handler):
        """Register the handler of a message type.

        The handler is called with the stream and the message. Its return value is the
        reply. It may return a coroutine, whose result is the reply.
        """
        self._handlers[message_type] = handler

    def announce_support(self, view, notify):
        """Announce with each heartbeat that this host reads a kind of messages.

        Hosts of an earlier version close a stream on which they read an unknown
        message.

        Parameters
        ----------
        view : str
            Name of the view that announces it.
        notify : callable
            Called with each stream on which the peer has announced the same.
        """
        self.view_sources.append(lambda: [[view, 0, 0, 0, ""]])
        self._on_support[view] = notify

    def may_read(self, host, view):
        """Return whether a host may read the messages that a view announces.

        A host without a stream, or without a heartbeat on it so far, may.
        """
        stream = self.streams.get(host)
        return stream is None or not stream.known_views or view in stream.known_views

    async def on_start(self):
        """Listen for connections from peers."""
        own_address = self.hosts.own_address
        self._server = await asyncio.start_server(
            self._accept,
            own_address.address,
            self._listen_port or own_address.peer_port,
        )

    async def on_stop(self):
        """Close every stream."""
        # None if the port could not be opened; an error here would hide that cause.
        if self._server is not None:
            self._server.close()
        for stream in list(self.streams.values()):
            stream.close()
        self._stream_tasks.cancel()

    def announce_shutdown(self):
        """Notify every peer that this host is shutting down and takes no new work."""
        self.is_shutting_down = True
        self.send_heartbeats()

    def send_heartbeats(self):
        """Send a heartbeat to every peer at once, without waiting for the interval."""
        self.send_to(list(self._open_streams), self._make_heartbeat(), "heartbeat")

    async def get_stream(self, host):
        """Return the stream to a host; connect if there is none.

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
        """Send a request to a host and return its reply; connect if there is no stream.

        Returns
        -------
        expression.Result of Message or PeerUnavailable
        """
        name = f"peer {type(message).__name__}"
        with self._tracer.start_as_current_span(name, kind=SpanKind.CLIENT):
            reached = await self.get_stream(host)
            if reached.is_error():
                return reached
            return await reached.ok.ask(message, timeout_s)

    def send_all(self, message, kind, accepts=None):
        """Send a message to every peer whose stream `accepts` returns true for.

        Parameters
        ----------
        message : Message
            The message.
        kind : str
            Label under which the bytes are counted.
        accepts : callable or None
            Takes a stream; None sends to all peers.
        """
        streams = [
            stream
            for stream in self.streams.values()
            if accepts is None or accepts(stream)
        ]
        self.send_to(streams, message, kind)

    def send_to(self, streams, message, kind):
        """Send a message on several streams; it is encoded once.

        Parameters
        ----------
        streams : list of PeerStream
            The streams.
        message : Message
            The message.
        kind : str
            Label under which the bytes are counted.
        """
        if not streams:
            return
        frame = encode_frame(0, message)
        for stream in streams:
            self.count_bytes(stream, kind, stream.send_frame(frame))

    def count_bytes(self, stream, kind, size):
        """Count bytes sent to a peer by message kind and network distance."""
        own_address = self.hosts.own_address
        distance = "region"
        if stream.hello.region != own_address.region:
            distance = "between-regions"
        elif stream.hello.availability_zone == own_address.availability_zone:
            distance = "zone"
        counter = self._byte_counters.get((kind, distance))
        if counter is None:
            counter = self._metrics.peer_bytes.labels(kind, distance)
            self._byte_counters[kind, distance] = counter
        counter.inc(size)

    async def dial_seed(self, endpoint):
        """Connect to a host of unknown name at an address.

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
        self._register_stream(stream)
        return Ok(stream)

    async def _connect(self, address, port, timeout_s=HANDSHAKE_TIMEOUT_S):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                address, port, local_addr=(self.hosts.own_address.address, 0)
            )
        return await self._shake_hands(reader, writer, timeout_s=timeout_s)

    async def _dial(self, address):
        host = address.host
        try:
            # As long as a peer with a stream may be silent.
            opened = await self._connect(
                address.address, address.peer_port, SILENCE_TIMEOUT_S
            )
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
        self._register_stream(stream)
        return Ok(stream)

    async def _accept(self, reader, writer):
        """Serve an inbound connection: a peer stream, or one relayed to an engine."""
        unpacker = make_unpacker()
        expected = (Hello,) if self.relay is None else (Hello, RelayOpen)
        opened = await read_first_message(reader, unpacker, expected)
        if opened.is_ok() and isinstance(opened.ok, RelayOpen):
            await self.relay(reader, writer, opened.ok)
            return
        if opened.is_ok():
            opened = await self._shake_hands(reader, writer, unpacker, opened.ok)
        else:
            writer.close()
        if opened.is_error():
            logger.warning("inbound peer handshake failed: {}", opened.error.reason)
        else:
            self._register_stream(opened.ok)

    async def _shake_hands(
        self, reader, writer, unpacker=None, hello=None, timeout_s=HANDSHAKE_TIMEOUT_S
    ):
        own_address = self.hosts.own_address
        own_hello = Hello(
            own_address.host,
            own_address.availability_zone,
            own_address.region,
            own_address.address,
            own_address.caller_port,
            own_address.peer_port,
            self.incarnation,
            b"",
        )
        return await open_peer_stream(
            reader,
            writer,
            own_hello,
            self._key,
            self._dispatch_message,
            unpacker,
            hello,
            timeout_s,
        )

    def _register_stream(self, stream):
        hello = stream.hello
        self.hosts.update_from_handshake(
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
        stream.last_received_s = stream.last_used_s = self._clock.monotonic()
        # Both ends may connect at the same time. The newest stream is used for sending,
        # and the other is read until it goes silent.
        self.streams[hello.host] = stream
        self._stream_tasks.spawn(self._run_stream(stream))
        self._metrics.peer_links.set(len(self.streams))
        for notify in self.on_connect:
            notify(stream)

    async def _run_stream(self, stream):
        self._open_streams.add(stream)
        self.send_to([stream], self._make_heartbeat(), "heartbeat")
        try:
            await stream.run(self._clock)
        finally:
            self._open_streams.discard(stream)
            stream.close()
            if self.streams.get(stream.host) is stream:
                del self.streams[stream.host]
                self._metrics.peer_links.set(len(self.streams))

    @Service.task
    async def _send_heartbeats_periodically(self):
        while not self.should_stop:
            await self._clock.sleep(HEARTBEAT_INTERVAL_S)
            self.send_heartbeats()
            for stream in list(self._open_streams):
                self._close_if_stale(stream)

    def _close_if_stale(self, stream):
        """Close a stream that is silent, or that is idle and may close when idle."""
        now_s = self._clock.monotonic()
        if now_s - stream.last_received_s > SILENCE_TIMEOUT_S:
            self.hosts.mark_dead(stream.host)
            stream.close()
        if stream.closes_when_idle and now_s - stream.last_used_s > IDLE_TIMEOUT_S:
            stream.close()

    def _make_heartbeat(self):
        views = [view for describe in self.view_sources for view in describe()]
        return Heartbeat(self.is_shutting_down, views)

    def _handle_heartbeat(self, stream, message):
        # It may have been silent for a moment.
        self.hosts.mark_alive(stream.host)
        if message.leaving:
            self.hosts.mark_shutting_down(stream.host)
        new_views = {view[0] for view in message.views} - stream.known_views
        stream.known_views |= new_views
        for notify in self.on_heartbeat:
            notify(stream, message)
        for view in new_views & self._on_support.keys():
            self._on_support[view](stream)

    def _dispatch_message(self, stream, correlation, message):
        handler = self._handlers.get(type(message))
        if handler is None:
            if correlation:
                stream.send(Refusal("unknown request"), -correlation)
            return
        reply = handler(stream, message)
        if asyncio.iscoroutine(reply):
            self._stream_tasks.spawn(
                self._send_reply_when_ready(stream, correlation, reply)
            )
        elif correlation and reply is not None:
            stream.send(reply, -correlation)

    async def _send_reply_when_ready(self, stream, correlation, reply):
        message = await reply
        if correlation and message is not None:
            stream.send(message, -correlation)

    @Service.task
    async def _connect_to_neighbours(self):
        while not self.should_stop:
            neighbours = self.choose_neighbours()
            for host in neighbours:
                if host not in self.streams:
                    self.add_future(self.get_stream(host))
            for host, stream in self.streams.items():
                # A stream that this host opened to a former neighbour closes when idle.
                stream.closes_when_idle = stream.is_dialled and host not in neighbours
            await self._clock.sleep(
                HEARTBEAT_INTERVAL_S if self.streams else FIRST_CONNECT_INTERVAL_S
            )

    def choose_neighbours(self):
        """Choose the hubs of each zone; return the hosts to keep streams to.

        Each host connects to the hubs of its availability zone, and each hub to the
        hubs of the other zones, so an update reaches any number of hosts in three
        hops.
        """
        own_address = self.hosts.own_address
        zones = {own_address.availability_zone: [own_address.host]}
        for address in self.hosts.list_live():
            zones.setdefault(address.availability_zone, []).append(address.host)
        classes = self.hosts.list_capacity_classes()
        self._hubs = {
            zone: rank_for_duty(names, HUB_DUTY, classes)[:HUBS_PER_ZONE]
            for zone, names in zones.items()
        }
        self._all_hubs = frozenset().union(*self._hubs.values())
        self.zone_hubs = self._hubs[own_address.availability_zone]
        neighbours = set(self.zone_hubs)
        if own_address.host in self.zone_hubs:
            for hubs in self._hubs.values():
                neighbours.update(hubs)
        return sorted(neighbours - {own_address.host})

    def is_hub(self, host):
        """Return whether a host is a hub, which forwards updates for its zone."""
        return host in self._all_hubs

    def is_first_hub(self, host):
        """Return whether a host is the first hub of its zone."""
        return any(hubs[:1] == [host] for hubs in self._hubs.values())
