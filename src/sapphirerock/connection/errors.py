"""What can go wrong on a connection, as values of `expression.Result`."""

from dataclasses import dataclass


class ConnectionFailure(Exception):
    """Base class of all failures on connections."""


@dataclass(slots=True, frozen=True)
class PlatformConflict(ConnectionFailure):
    """The object had another version than the update named."""

    path: str


@dataclass(slots=True, frozen=True)
class PlatformUnavailable(ConnectionFailure):
    """The platform did not answer; a write may or may not have taken effect."""

    reason: str


@dataclass(slots=True, frozen=True)
class UpstreamUnreachable(ConnectionFailure):
    """No connection was made, so nothing was sent.

    Parameters
    ----------
    refused : bool
        Whether the host itself answered that nothing listens.
    """

    upstream: str
    refused: bool


@dataclass(slots=True, frozen=True)
class UpstreamRefused(ConnectionFailure):
    """The upstream answered with an error status and did nothing."""

    upstream: str
    status: int
    leaving: bool = False


@dataclass(slots=True, frozen=True)
class UpstreamSilent(ConnectionFailure):
    """Nothing came within the bound.

    Parameters
    ----------
    is_new_connection : bool
        Whether the connection was made just for this call.
    """

    upstream: str
    bound_s: float
    is_new_connection: bool = False


@dataclass(slots=True, frozen=True)
class UpstreamBroken(ConnectionFailure):
    """The connection ended or carried what it must not."""

    upstream: str
    reason: str


@dataclass(slots=True, frozen=True)
class PeerUnavailable(ConnectionFailure):
    """A peer is not reachable or did not answer in time."""

    host: str
    reason: str


@dataclass(slots=True, frozen=True)
class PeerRejected(ConnectionFailure):
    """The other end of a peer stream did not prove who it is."""

    reason: str


@dataclass(slots=True, frozen=True)
class AttemptInterrupted(ConnectionFailure):
    """The attempt was given up, for a reason that lies outside of it."""

    upstream: str
    cause: str


@dataclass(slots=True, frozen=True)
class TimeIsUp(ConnectionFailure):
    """The call's time ended before the upstream answered."""

    upstream: str
