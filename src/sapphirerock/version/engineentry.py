"""Decoded registration of an engine."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """An engine's registration.

    Parameters
    ----------
    name : str
        Id of the engine.
    service : str
        Name of the service that it serves.
    address : str
        Address as ``ip:port``.
    availability_zone : str
        Availability zone that it runs in.
    slots : int
        Number of calls that it runs concurrently.
    is_draining : bool
        Whether it is draining, so that no new calls are sent to it.
    born_ms : int
        Start time as Unix time in milliseconds, or 0 if it registered none.
    version : str
        Version of its software, not of the weights of its models.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool = False
    born_ms: int = 0
    version: str = ""
