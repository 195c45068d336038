"""One immutable version of the operator's routes, as a request uses it."""

from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """What a route's calls are, and so what may be done with them."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(slots=True, frozen=True)
class ServiceShare:
    """A service that a route sends to, and its part of the route's calls."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Where calls of a host and path prefix go.

    Parameters
    ----------
    name : str
        Unique within a version.
    host : str
        Value of the ``Host`` header.
    path_prefix : str
        Beginning of the path, with a slash at both ends.
    kind : RouteKind
        Decides what may be repeated.
    shares : tuple of ServiceShare
        Services and their weights; at least one.
    timeout_s : float
        Longest time that a call is kept waiting, in seconds.
    target_latency_s : float
        Time within which an answer has its full value, in seconds.
    target_gap_s : float
        Longest pause between events for which a stream is on time, in seconds.
    max_attempts : int
        Most engines that one call may be sent to.
    priority : int
        Rank of the route, 0 the highest.
    is_public : bool
        Whether calls need no key.
    has_prompt : bool
        Whether calls carry a prompt for a model engine.
    is_resumable : bool
        Whether another engine may go on with a stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple
    timeout_s: float = 30.0
    target_latency_s: float = 1.0
    target_gap_s: float = 1.0
    max_attempts: int = 1
    priority: int = 0
    is_public: bool = False
    has_prompt: bool = False
    is_resumable: bool = False

    @property
    def may_repeat(self):
        """Whether a call may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(slots=True, frozen=True)
class EngineTerms:
    """What the model engines of a service have in common.

    Parameters
    ----------
    slots : int
        Generations that run at once.
    memory_tokens : int
        Tokens that an engine's memory holds.
    event_tokens : int
        Tokens that an event of a stream stands for.
    has_backups : bool
        Whether a run's memory can be copied to another engine as it grows.
    has_moves : bool
        Whether a run's memory can be moved to another engine.
    copy_life_s : float
        Time that a copy is kept after its last part, in seconds.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1
    has_backups: bool = False
    has_moves: bool = False
    copy_life_s: float = 0.0


@dataclass(slots=True, frozen=True)
class ServiceTerms:
    """A service that routes send to.

    Parameters
    ----------
    connection_limit : int
        Connections that an engine accepts from all callers together.
    engine : EngineTerms or None
        Set for services of model engines.
    """

    name: str
    connection_limit: int = 100
    engine: EngineTerms | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bounds of what callers may send, and how slowly.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Most bytes of a request's head and body.
    header_timeout_s : float
        Longest time that a head may take, in seconds.
    idle_timeout_s : float
        Longest time that a connection may stay without a request, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True, frozen=True)
class Caller:
    """An organisation as calls name it by their key.

    Parameters
    ----------
    priority : int or None
        Rank of its calls; goes before the route's.
    """

    organisation: str
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class RoutingVersion:
    """Everything that the operator's configuration says at one version.

    Parameters
    ----------
    number : int
        The operator's number of this version.
    revision : int
        The store's revision of it; grows with each change.
    routes : tuple of Route
        All routes.
    services : dict of str to ServiceTerms
        Services by name.
    limits : CallerLimits
        What callers may send.
    callers : dict of str to Caller
        Callers by key.
    needs_keys : bool
        Whether calls of routes that are not public need a key.
    """

    number: int
    revision: int
    routes: tuple
    services: dict
    limits: CallerLimits
    callers: dict
    needs_keys: bool
    _by_host: dict = field(default_factory=dict, repr=False)

    def __post_init__(self):
        for route in self.routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes.setdefault(route.path_prefix, route)

    def find_route(self, host, path):
        """Return the route with the longest prefix that begins a path, or None.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header, without regard to case.
        path : str
            Path without its query.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
