"""What the platform tells a router's process about its host."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An IP number and a TCP port."""

    address: str
    port: int

    def __str__(self):
        return f"{self.address}:{self.port}"


def parse_endpoint(text):
    """Return the endpoint that a text of the form ``ip:port`` names."""
    address, separator, port = text.rpartition(":")
    if not separator or not address:
        raise ValueError(f"{text!r} is no ip:port")
    return Endpoint(address, int(port))


@dataclass(slots=True, frozen=True)
class ServiceBounds:
    """Bounds that the platform's operators promise their users.

    Parameters
    ----------
    grace_s : float
        Time from SIGTERM to SIGKILL, in seconds.
    drain_s : float
        Time within which an engine that leaves gets no more work, in seconds.
    contact_s : float
        Time after a disturbance from which on bounds hold, in seconds.
    retry_ratio, retry_slack : float
        In each window a service may get `retry_ratio` times its requests, and
        `retry_slack` more, as repeats, over all hosts.
    retry_window_s : float
        Length of that window, in seconds.
    """

    grace_s: float = 8.0
    drain_s: float = 3.0
    contact_s: float = 4.0
    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_s: float = 10.0


@dataclass(slots=True, frozen=True)
class StoreAccess:
    """The platform's store and what it grants all hosts together."""

    endpoint: Endpoint
    writes_per_s: float
    reads_per_s: float
    history_s: float
    value_bytes: int


@dataclass(slots=True, frozen=True)
class HostProfile:
    """A router's host.

    Parameters
    ----------
    host : str
        Name of the host.
    availability_zone, region : str
        Where it is.
    address : str
        Its IP number.
    callers, readiness, peers : Endpoint
        Where it listens for callers, for the platform's readiness checks and
        for other routers.
    seeds : tuple of Endpoint
        Where a few other routers may listen.
    store : StoreAccess
        The platform's store.
    bounds : ServiceBounds
        What must hold.
    regions : dict of str to str
        Region of each availability zone.
    """

    host: str
    availability_zone: str
    region: str
    address: str
    callers: Endpoint
    readiness: Endpoint
    peers: Endpoint
    seeds: tuple
    store: StoreAccess
    bounds: ServiceBounds
    regions: dict
