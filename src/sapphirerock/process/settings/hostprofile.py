"""The profile of a router's host, as the platform passes it to the process."""

from dataclasses import dataclass

from sapphirerock.decisions.duties import HostCapacity


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An IP address and a TCP port."""

    address: str
    port: int

    def __str__(self):
        return f"{self.address}:{self.port}"


def parse_endpoint(text):
    """Return the endpoint in a text of the form ``ip:port``.

    Raises
    ------
    ValueError
        If the address or a decimal port is missing.
    """
    address, separator, port = text.rpartition(":")
    if not separator or not address:
        raise ValueError(f"{text!r} is not of the form ip:port")
    return Endpoint(address, int(port))


@dataclass(slots=True, frozen=True)
class ServiceBounds:
    """Bounds that the platform's operators guarantee to their users.

    Parameters
    ----------
    grace_s : float
        Time from SIGTERM to SIGKILL, in seconds.
    drain_s : float
        Time within which a draining engine must stop getting work, in seconds.
    recovery_bound_s : float
        Time after a failure within which the bounds must hold again, in seconds.
    retry_ratio, retry_slack : float
        Retry budget over all hosts: in each window a service may get at most
        `retry_ratio` times its requests plus `retry_slack` as retries.
    retry_window_s : float
        Length of the retry budget's window, in seconds.
    exposed_share : float or None
        Share of a service's calls that a bad version may get during a rollout; None if
        operators order no rollouts.
    """

    grace_s: float = 8.0
    drain_s: float = 3.0
    recovery_bound_s: float = 4.0
    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    exposed_share: float | None = None


@dataclass(slots=True, frozen=True)
class StoreAccess:
    """The platform's store and its limits, which all hosts share.

    Parameters
    ----------
    endpoint : Endpoint
        Address and port of the store.
    writes_per_s, reads_per_s : float
        Calls that the store accepts per second.
    history_s : float
        Time for which the store keeps past changes, in seconds.
    value_bytes : int
        Largest size of a value.
    """

    endpoint: Endpoint
    writes_per_s: float
    reads_per_s: float
    history_s: float
    value_bytes: int


@dataclass(slots=True, frozen=True)
class HostProfile:
    """Profile of a router's host, as read from the platform's settings file.

    Parameters
    ----------
    host : str
        Name of the host.
    availability_zone, region : str
        Location of the host.
    address : str
        IP address of the host.
    caller_endpoint, readiness_endpoint, peer_endpoint : Endpoint
        Endpoints on which the router listens for callers, for the platform's
        readiness checks and for other routers.
    seeds : tuple of Endpoint
        Peer endpoints of a few other routers, which may be down.
    store : StoreAccess
        The platform's store.
    bounds : ServiceBounds
        Bounds that the router must keep to.
    regions : dict of str to str
        Region of each availability zone.
    capacity : HostCapacity or None
        What the process may use of the host; None if the platform does not tell.
    max_files : int or None
        Descriptors that the process may open; None if the platform does not tell.
    """

    host: str
    availability_zone: str
    region: str
    address: str
    caller_endpoint: Endpoint
    readiness_endpoint: Endpoint
    peer_endpoint: Endpoint
    seeds: tuple
    store: StoreAccess
    bounds: ServiceBounds
    regions: dict
    capacity: HostCapacity | None = None
    max_files: int | None = None
