"""Routing configuration of the shared platform: one immutable version."""

from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """Kind of a route's calls, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(slots=True, frozen=True)
class ServiceShare:
    """A service and the weight of its share of a route's calls."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Services and policies for calls that match a host and a path prefix.

    Parameters
    ----------
    name : str
        Name, unique within a version.
    host : str
        Value of the ``Host`` header.
    path_prefix : str
        Prefix of the path, with a slash at both ends.
    kind : RouteKind
        Kind of the calls; decides whether they may be retried.
    shares : tuple of ServiceShare
        Services and their weights; at least one.
    timeout_s : float
        Time limit for a call, in seconds.
    target_latency_s : float
        Latency up to which a response counts as on time, in seconds.
    target_gap_s : float
        Pause between events up to which a stream counts as on time, in seconds.
    max_attempts : int
        Maximum number of engines that a call may be sent to.
    priority : int
        Priority of the route; 0 is the highest.
    is_public : bool
        Whether calls need no API key.
    has_prompt : bool
        Whether calls carry a prompt for a model engine.
    is_resumable : bool
        Whether a stream may be resumed on another engine.
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
    def is_streaming(self):
        """Whether responses are streams of events."""
        return self.kind is RouteKind.STREAMING

    @property
    def may_retry(self):
        """Whether a call may run more than once."""
        if self.is_streaming:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(slots=True, frozen=True)
class EngineProperties:
    """Properties that all model engines of a service share.

    Parameters
    ----------
    slots : int
        Number of generations that an engine runs concurrently.
    memory_tokens : int
        Capacity of an engine's KV memory, in tokens.
    event_tokens : int
        Number of tokens in one event of a stream.
    supports_backups : bool
        Whether the KV memory of a running generation can be backed up on another
        engine as it grows.
    supports_moves : bool
        Whether the KV memory of a run can be copied to another engine on request,
        so that the run can move there.
    backup_ttl_s : float
        Time that an engine keeps a KV copy after its last part arrived, in seconds.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1
    supports_backups: bool = False
    supports_moves: bool = False
    backup_ttl_s: float = 0.0


@dataclass(slots=True, frozen=True)
class ServiceProperties:
    """A service that routes send calls to.

    Parameters
    ----------
    connection_limit : int
        Maximum number of connections to one engine, from all clients together.
    engine : EngineProperties or None
        Properties of the model engines; None for a service without them.
    """

    name: str
    connection_limit: int = 100
    engine: EngineProperties | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of a request's header section and body, in bytes.
    header_timeout_s : float
        Maximum time to receive the header section, in seconds.
    idle_timeout_s : float
        Maximum time that a connection may be idle between requests, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True, frozen=True)
class CallerIdentity:
    """Organisation that an API key belongs to, and the priority of its calls.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    priority : int or None
        Priority that overrides the route's; None to use the route's.
    """

    organisation: str
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class RoutingVersion:
    """The operator's configuration at one version.

    Parameters
    ----------
    number : int
        Version number that the operator assigned.
    revision : int
        Revision in the store, which increases with each change.
    routes : tuple of Route
        All routes.
    services : dict of str to ServiceProperties
        Services by name.
    limits : CallerLimits
        Limits on callers' requests.
    callers : dict of str to CallerIdentity
        Organisations and priorities by API key.
    needs_keys : bool
        Whether calls to routes that are not public need an API key.
    """

    number: int
    revision: int
    routes: tuple
    services: dict
    limits: CallerLimits
    callers: dict
    needs_keys: bool
    _routes_by_host: dict = field(default_factory=dict, repr=False)
    _ranks_by_service: dict = field(default_factory=dict, repr=False)

    def __post_init__(self):
        for route in self.routes:
            prefixes = self._routes_by_host.setdefault(route.host, {})
            prefixes.setdefault(route.path_prefix, route)
        own = {caller.priority for caller in self.callers.values()}
        for route in self.routes:
            if not route.is_streaming:
                continue
            uses_route = route.is_public or not self.needs_keys or None in own
            priorities = own - {None} | ({route.priority} if uses_route else set())
            for share in route.shares:
                known = self._ranks_by_service.get(share.service, ())
                ranks = tuple(sorted(priorities.union(known)))
                self._ranks_by_service[share.service] = ranks

    def list_ranks(self, service):
        """Return the priorities that streams of a service can have, in order."""
        return self._ranks_by_service.get(service, ())

    def find_route(self, host, path):
        """Return the route with the longest prefix of a path, or None.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header; case is ignored.
        path : str
            Path without the query.
        """
        prefixes = self._routes_by_host.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
