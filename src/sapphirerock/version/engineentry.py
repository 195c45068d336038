"""What an engine registered of itself, at one version."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """An engine's registration.

    Parameters
    ----------
    name : str
        The engine's id.
    service : str
        What it serves.
    address : str
        Its ``ip:port``.
    availability_zone : str
        Where it is.
    slots : int
        Calls that it works on at once.
    is_leaving : bool
        Whether it is to get no new work.
    models : tuple of str
        Models that it holds.
    born_ms : int
        Unix millisecond of its start; 0 where it does not say.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_leaving: bool = False
    models: tuple = ()
    born_ms: int = 0
