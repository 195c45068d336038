"""Rumours: what every host is to hear, passed from peer to peer.

A rumour is identified by its origin, the origin's incarnation and a number.
Each host takes a rumour once and passes it on to all its peers but the one it
came from, so late, doubled and crossed messages do no harm.
"""

import itertools
from collections import OrderedDict
from dataclasses import dataclass, fields

from sapphirerock.connection.messages import Rumour

TOPICS = {}
REMEMBERED = 5_000
EVERYWHERE = ""


def register_topic(name):
    """Register a type under the name of a topic."""

    def register(cls):
        TOPICS[name] = cls
        cls.topic = name
        cls.names = tuple(field.name for field in fields(cls))
        return cls

    return register


@register_topic("upstream")
@dataclass(slots=True, frozen=True)
class UpstreamUpdate:
    """What a watcher saw of an upstream, but for its load.

    Parameters
    ----------
    sampled_at : float
        Wall time of the report, in seconds since the epoch; newer updates win.
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
    """A request was under way on an upstream that crashed.

    Parameters
    ----------
    fingerprint : bytes
        Digest of the organisation and the request's body.
    upstream, incarnation : str
        What crashed.
    convicted : bool
        Whether the request was the only suspect there.
    """

    fingerprint: bytes
    upstream: str
    incarnation: str
    convicted: bool


@register_topic("engine-down")
@dataclass(slots=True, frozen=True)
class EngineDownUpdate:
    """A host found an engine crashed or silent.

    Parameters
    ----------
    engine : str
        The engine's id.
    born_ms : int
        Unix millisecond of its start: a later start is another engine.
    availability_zone : str
        Where it was.
    cause : str
        How it was found.
    """

    engine: str
    born_ms: int
    availability_zone: str
    cause: str


@register_topic("placement-of-suspect")
@dataclass(slots=True, frozen=True)
class SuspectUpdate:
    """A suspect starts or ends on an upstream."""

    fingerprint: bytes
    upstream: str
    running: bool


@register_topic("demand")
@dataclass(slots=True, frozen=True)
class DemandUpdate:
    """What an availability zone asks of an organisation's limit."""

    organisation: str
    availability_zone: str
    demand_per_s: float


class Gossip:
    """Rumours of this host and of others.

    Parameters
    ----------
    peers : PeerTable
        Streams to pass rumours over.
    """

    __slots__ = ("_peers", "_numbers", "_seen", "_listeners")

    def __init__(self, peers):
        self._peers = peers
        self._numbers = itertools.count(1)
        self._seen = OrderedDict()
        self._listeners = {}
        peers.register_handler(Rumour, self._take)

    def subscribe(self, update_type, listener):
        """Call a function with each update of a type, own ones included."""
        self._listeners.setdefault(update_type.topic, []).append(listener)

    def spread(self, update, scope=EVERYWHERE):
        """Tell all hosts of a scope."""
        rumour = Rumour(
            update.topic,
            scope,
            self._peers.hosts.own.host,
            self._peers.incarnation,
            next(self._numbers),
            [getattr(update, name) for name in update.names],
        )
        self._remember(rumour)
        self._pass_on(rumour, None)
        self._notify_listeners(rumour)

    def _take(self, stream, rumour):
        if rumour.topic not in TOPICS or not self._remember(rumour):
            return
        self._pass_on(rumour, stream)
        self._notify_listeners(rumour)

    def _remember(self, rumour):
        identity = (rumour.origin, rumour.incarnation, rumour.number)
        if identity in self._seen:
            return False
        self._seen[identity] = True
        if len(self._seen) > REMEMBERED:
            self._seen.popitem(last=False)
        return True

    def _pass_on(self, rumour, source):
        def accepts(stream):
            if stream is source or stream.host == rumour.origin:
                return False
            return rumour.scope in (EVERYWHERE, stream.hello.availability_zone)

        self._peers.send_all(rumour, rumour.topic, accepts)

    def _notify_listeners(self, rumour):
        update = TOPICS[rumour.topic](*rumour.content)
        for listener in self._listeners.get(rumour.topic, ()):
            listener(update)
