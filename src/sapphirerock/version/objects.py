"""Decoded settings objects: operators, organisations, services, routes, placements."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from expression import Error, Ok

from sapphirerock.version.faults import SettingsError, SettingsFault
from sapphirerock.version.organisations import Organisation
from sapphirerock.version.schema import SCHEMAS

CLASSES_BY_KIND = {}
DEFAULT_START_DEADLINE_S = 30.0
DEFAULT_CALL_TIMEOUT_S = 10.0


def register_kind(kind):
    """Return a decorator that registers the class of a kind of settings object."""

    def register(cls):
        CLASSES_BY_KIND[kind] = cls
        return cls

    return register


class SettingsObject(ABC):
    """A decoded settings object of one kind."""

    __slots__ = ()

    @classmethod
    @abstractmethod
    def from_document(cls, document):
        """Return the object that a valid JSON document describes."""


@dataclass(slots=True, frozen=True)
class Operator:
    """An operator who may write settings below one path.

    Parameters
    ----------
    name : str
        Name of the operator.
    token_sha256 : str
        SHA-256 of the operator's token, in hexadecimal.
    subtree : str
        Prefix of the paths that the operator may write.
    """

    name: str
    token_sha256: str
    subtree: str


@dataclass(slots=True, frozen=True)
class Upstream:
    """A model engine or an instance of a plain service.

    Parameters
    ----------
    url : str
        Base URL, without a slash at its end.
    """

    name: str
    url: str
    availability_zone: str
    region: str


@dataclass(slots=True, frozen=True)
class ModelRoute:
    """Route from a model to the service that runs it.

    Parameters
    ----------
    model : str
        Model that the calls name.
    service : str
        Name of the service.
    organisations : tuple of str
        Organisations that may use the route; empty for all.
    priority : int
        Lowest priority of its generations; higher numbers are served first.
    """

    model: str
    service: str
    organisations: tuple = ()
    priority: int = 0

    def admits(self, organisation):
        """Return whether an organisation may use the route."""
        return not self.organisations or organisation in self.organisations


@dataclass(slots=True, frozen=True)
class UpstreamPlacement:
    """Placement that the settings declare for one engine.

    Parameters
    ----------
    upstream : str
        Name of the engine.
    checks_fencing : bool
        Whether the engine rejects orders of a former placer by their fencing number.
    models : tuple of str
        Names of the models that the engine should have loaded.
    role : {"mixed", "prefill", "decode"}
        Role of the engine.
    order_delay_bound_s : float
        Longest delay of an order on its way to the engine, in seconds.
    """

    upstream: str
    checks_fencing: bool
    models: tuple
    role: str = "mixed"
    order_delay_bound_s: float = 1.0


@register_kind("operators")
@dataclass(slots=True, frozen=True)
class OperatorList(SettingsObject):
    """Operators of one settings object."""

    operators: tuple

    @classmethod
    def from_document(cls, document):
        """Decode the list."""
        return cls(tuple(Operator(**item) for item in document["operators"]))


@register_kind("organisations")
@dataclass(slots=True, frozen=True)
class OrganisationList(SettingsObject):
    """Organisations of one settings object, called a group elsewhere."""

    organisations: tuple

    @classmethod
    def from_document(cls, document):
        """Decode the group."""
        return cls(tuple(Organisation(**item) for item in document["organisations"]))


@register_kind("service")
@dataclass(slots=True, frozen=True)
class ServiceSettings(SettingsObject):
    """A service, its upstreams and its policies.

    Parameters
    ----------
    name : str
        Name that routes and callers use.
    type : {"generation", "plain"}
        Whether the upstreams are model engines or instances of a plain service.
    upstreams : tuple of Upstream
        Its upstreams.
    recovery : str
        Name of the policy that recovers generations of failed engines.
    balancer : str
        Name of the load balancing policy.
    start_deadline_s : float
        Default time limit for the first token, in seconds, if the caller sets none.
    call_timeout_s : float
        Default time limit for a plain call, in seconds, if the caller sets none.
    hedge_after_s : float or None
        Delay before a slow idempotent call is also sent to a second upstream, in
        seconds; None to never do so.
    order_paths : tuple of str
        Path prefixes of the calls that must run at most once.
    """

    name: str
    type: str
    upstreams: tuple
    recovery: str = "latency"
    balancer: str = "least-wait"
    start_deadline_s: float = DEFAULT_START_DEADLINE_S
    call_timeout_s: float = DEFAULT_CALL_TIMEOUT_S
    hedge_after_s: float | None = None
    order_paths: tuple = ()

    @classmethod
    def from_document(cls, document):
        """Decode the service."""
        values = {key: value for key, value in document.items() if key != "kind"}
        values["upstreams"] = tuple(Upstream(**item) for item in values["upstreams"])
        values["order_paths"] = tuple(values.get("order_paths", ()))
        return cls(**values)

    def is_order(self, path):
        """Return whether calls to a path must run at most once."""
        return any(path.startswith(prefix) for prefix in self.order_paths)


@register_kind("routing")
@dataclass(slots=True, frozen=True)
class RoutingSettings(SettingsObject):
    """A team's routes."""

    routes: tuple

    @classmethod
    def from_document(cls, document):
        """Decode the routes."""
        routes = []
        for item in document["routes"]:
            organisations = tuple(item.get("organisations", ()))
            routes.append(ModelRoute(**{**item, "organisations": organisations}))
        return cls(tuple(routes))


@register_kind("placement")
@dataclass(slots=True, frozen=True)
class PlacementSettings(SettingsObject):
    """The placement declared for a team's engines.

    Parameters
    ----------
    upstreams : tuple of UpstreamPlacement
        Placement of each engine.
    loads_per_minute : float
        Maximum number of orders to load a model, per minute.
    """

    upstreams: tuple
    loads_per_minute: float = 60.0

    @classmethod
    def from_document(cls, document):
        """Decode the placement."""
        placed = []
        for item in document["upstreams"]:
            placed.append(
                UpstreamPlacement(**{**item, "models": tuple(item["models"])})
            )
        return cls(tuple(placed), document.get("loads_per_minute", 60.0))


@dataclass(slots=True, frozen=True)
class VersionedSettings:
    """One settings object with its path and version."""

    path: str
    version: int
    settings: SettingsObject = field(compare=False)


def decode_settings(document):
    """Validate a document against the schema of its kind and decode it.

    Returns
    -------
    expression.Result of SettingsObject or SettingsError
    """
    kind = document.get("kind") if isinstance(document, dict) else None
    if kind not in CLASSES_BY_KIND:
        expected = "one of " + ", ".join(sorted(CLASSES_BY_KIND))
        return Error(SettingsError([SettingsFault("$.kind", repr(kind), expected)]))
    faults = SCHEMAS[kind].find_faults(document)
    if faults:
        return Error(SettingsError(faults))
    return Ok(CLASSES_BY_KIND[kind].from_document(document))
