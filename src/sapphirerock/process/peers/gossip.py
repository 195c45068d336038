"""Gossip updates: messages that hosts forward to each other until all have them.

An update is identified by its origin, the origin's incarnation and a number.
Each host applies an update once and forwards it to all its peers except the sender,
so late, duplicate and reordered messages do no harm.
"""

import itertools
from collections import OrderedDict
from dataclasses import dataclass, fields

from sapphirerock.connection.messages import GossipUpdate

TOPICS = {}
MAX_SEEN_UPDATES = 5_000
ALL_ZONES = ""


def register_topic(name):
    """Register an update type under a topic name."""

    def register(cls):
        TOPICS[name] = cls
        cls.topic = name
        cls.field_names = tuple(field.name for field in fields(cls))
        return cls

    return register


@register_topic("upstream")
@dataclass(slots=True, frozen=True)
class UpstreamUpdate:
    """State of an upstream as its watcher read it, without the load.

    Parameters
    ----------
    sampled_at : float
        Wall time of the report, in seconds since the epoch; the newest update wins.
    """

    upstream: str
    incarnation: str
    leaving: bool
    alive: bool
    models: list
    sampled_at: float


@register_topic("crash")
@dataclass(slots=True, frozen=True)
class CrashUpdate:
    """A request was running on an upstream when the upstream crashed.

    Parameters
    ----------
    fingerprint : bytes
        Digest that identifies the request: its organisation and content.
    upstream, incarnation : str
        The upstream that crashed.
    convicted : bool
        Whether the request was the only suspect on the upstream, and is blocked.
    """

    fingerprint: bytes
    upstream: str
    incarnation: str
    convicted: bool


@register_topic("engine-down")
@dataclass(slots=True, frozen=True)
class EngineDownUpdate:
    """A host found that an engine has crashed, is silent or was replaced.

    Parameters
    ----------
    engine : str
        The engine's id.
    born_ms : int
        Start time in Unix milliseconds; a later start is another engine.
    availability_zone : str
        Zone of the engine.
    cause : str
        "crashed", "silent" or "replaced".
    """

    engine: str
    born_ms: int
    availability_zone: str
    cause: str


@register_topic("crash-suspects")
@dataclass(slots=True, frozen=True)
class CrashSuspectsUpdate:
    """Requests that a host was running on an engine when the engine crashed.

    Parameters
    ----------
    engine : str
        The engine's id.
    born_ms : int
        Start time in Unix milliseconds.
    availability_zone : str
        Zone of the engine.
    age_ms : int
        Time since the crash when the update was sent, in milliseconds.
    suspects : list of bytes
        Fingerprints of the requests.
    """

    engine: str
    born_ms: int
    availability_zone: str
    age_ms: int
    suspects: list


@register_topic("engine-limit")
@dataclass(slots=True, frozen=True)
class EngineLimitUpdate:
    """A host observed that an engine's limit on requests started, changed or ended.

    Parameters
    ----------
    engine : str
        The engine's id.
    born_ms : int
        Start time in Unix milliseconds; a later start has no limit at first.
    limit_per_s : float
        Requests per second from all hosts together; 0 if the limit ended.
    """

    engine: str
    born_ms: int
    limit_per_s: float


@register_topic("engine-statement")
@dataclass(slots=True, frozen=True)
class EngineStatementUpdate:
    """A host observed what an engine states of itself in its responses.

    Parameters
    ----------
    engine : str
        The engine's id.
    born_ms : int
        Start time in Unix milliseconds; a later start has stated nothing.
    name : str
        Name of the statement.
    value : float
        Its value; negative if the engine does not state it any more.
    """

    engine: str
    born_ms: int
    name: str
    value: float


@register_topic("engine-pace")
@dataclass(slots=True, frozen=True)
class EnginePaceUpdate:
    """A host measured the usual pause between the events of an engine's streams.

    Parameters
    ----------
    engine : str
        The engine's id.
    born_ms : int
        Start time in Unix milliseconds; a later start may be on another machine.
    pause_us : int
        The pause, in microseconds.
    """

    engine: str
    born_ms: int
    pause_us: int


@register_topic("rollout-evidence")
@dataclass(slots=True, frozen=True)
class RolloutEvidenceUpdate:
    """Responses of the versions of a service that a host has seen in a rollout.

    Parameters
    ----------
    host : str
        The host.
    service, target : str
        The service, and the version to which its traffic moves.
    age_ms : int
        Time since the order, as the host knows it, in milliseconds.
    rows : list of [str, int, int, int, int]
        For each route, numbers of responses and of bad ones, first of the new version,
        then of the old one, since the host knows the order.
    """

    host: str
    service: str
    target: str
    age_ms: int
    rows: list


@register_topic("sound-prompt-parts")
@dataclass(slots=True, frozen=True)
class SoundPartsUpdate:
    """Prompt parts that are no cause of a crash, because an engine wrote on them.

    Parameters
    ----------
    parts : list of [bytes, int]
        Fingerprint of each part, and time since an engine last wrote on it, in
        milliseconds.
    """

    parts: list


@register_topic("placement-of-suspect")
@dataclass(slots=True, frozen=True)
class SuspectUpdate:
    """A suspect request starts or ends on an upstream."""

    fingerprint: bytes
    upstream: str
    running: bool


@register_topic("demand")
@dataclass(slots=True, frozen=True)
class DemandUpdate:
    """Request rate of an organisation in an availability zone."""

    organisation: str
    availability_zone: str
    demand_per_s: float


class Gossip:
    """Sends, receives and forwards gossip updates.

    Parameters
    ----------
    peers : PeerTable
        Streams that carry the updates.
    """

    __slots__ = ("_peers", "_numbers", "_seen", "_listeners")

    def __init__(self, peers):
        self._peers = peers
        self._numbers = itertools.count(1)
        self._seen = OrderedDict()
        self._listeners = {}
        peers.register_handler(GossipUpdate, self._receive)

    def subscribe(self, update_type, listener):
        """Call a function with each update of a type, including this host's own."""
        self._listeners.setdefault(update_type.topic, []).append(listener)

    def broadcast(self, update, scope=ALL_ZONES):
        """Send an update to all hosts of a scope, and to local subscribers.

        Parameters
        ----------
        update : object
            Instance of a registered update type.
        scope : str
            Availability zone to which the update is limited, or `ALL_ZONES`.
        """
        message = GossipUpdate(
            update.topic,
            scope,
            self._peers.hosts.own_address.host,
            self._peers.incarnation,
            next(self._numbers),
            [getattr(update, name) for name in update.field_names],
        )
        self._mark_seen(message)
        self._forward(message, None)
        self._notify_listeners(message)

    def _receive(self, stream, message):
        if message.topic not in TOPICS or not self._mark_seen(message):
            return
        self._forward(message, stream)
        self._notify_listeners(message)

    def _mark_seen(self, message):
        """Record an update as seen; return False if it was seen before."""
        identity = (message.origin, message.incarnation, message.number)
        if identity in self._seen:
            return False
        self._seen[identity] = True
        if len(self._seen) > MAX_SEEN_UPDATES:
            self._seen.popitem(last=False)
        return True

    def _forward(self, message, sender):
        def accepts(stream):
            if stream is sender or stream.host == message.origin:
                return False
            return message.scope in (ALL_ZONES, stream.hello.availability_zone)

        self._peers.send_all(message, message.topic, accepts)

    def _notify_listeners(self, message):
        update = TOPICS[message.topic](*message.content)
        for listener in self._listeners.get(message.topic, ()):
            listener(update)
