"""Data of a call, as read from the caller's connection."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Prompt:
    """Model of a call, and sizes of its prompt and output.

    Parameters
    ----------
    model : str
        Requested model.
    tokens : int
        Number of tokens in the prompt.
    output_tokens : int
        Maximum number of tokens in the output.
    parts : tuple of (str, int)
        Id and number of tokens of each part of the prompt, in order. The last part is
        specific to this call or its session; the parts before it are the prefix that
        calls have in common.
    """

    model: str = ""
    tokens: int = 0
    output_tokens: int = 0
    parts: tuple = ()

    @property
    def memory_tokens(self):
        """KV memory that the call occupies at the end of its output, in tokens."""
        return self.tokens + self.output_tokens


@dataclass(slots=True, frozen=True)
class CallMetadata:
    """Metadata of a call, read from its headers.

    Parameters
    ----------
    attempt_id : str
        Id that the caller gave this attempt.
    caller_timeout_s : float or None
        The caller's timeout, in seconds; None where it gives none.
    key : str or None
        The caller's API key.
    last_event_id : int or None
        Id of the last event that the caller received; the stream resumes after it.
    prompt : Prompt
        Model and sizes of the prompt and the output.
    resumed_attempt_id : str or None
        Id of the attempt that brought the first event of the stream which the caller
        takes up.
    """

    attempt_id: str
    caller_timeout_s: float | None
    key: str | None
    last_event_id: int | None
    prompt: Prompt
    resumed_attempt_id: str | None = None

    @property
    def takes_up_stream(self):
        """Whether the caller has events of the stream from an earlier attempt."""
        return bool(self.last_event_id or self.resumed_attempt_id)


@dataclass(slots=True, frozen=True)
class RoutedCall:
    """A call with its whole body and its route.

    Parameters
    ----------
    method, target : str
        HTTP method, and path with query, as sent by the caller.
    headers : tuple of (str, str)
        Headers that are forwarded to the upstream unchanged.
    body : bytes
        The whole body.
    metadata : CallMetadata
        Metadata from the headers.
    route : Route
        Matching route.
    service : str
        Name of the service that was chosen among those of the route.
    organisation : str or None
        The caller's organisation; None if the call needs no API key.
    priority : int
        Priority; 0 is the highest, and larger numbers are lower.
    deadline_s : float
        Monotonic time at which the caller's timeout ends.
    response_deadline_s : float
        Monotonic time by which the response must be complete: the end of the caller's
        or of the route's timeout, whichever is earlier.
    revision : int
        Revision of the configuration by which the call was routed.
    origin : StreamOrigin or None
        Service and software version that began the stream which the caller takes up;
        None for a new call.
    ranks : tuple of int
        Priorities that streams of the service can have, in order.
    rollout_draw : float
        Random number from 0 to 1. During a rollout, calls with a number below the
        share of the new version go to it.
    """

    method: str
    target: str
    headers: tuple
    body: bytes
    metadata: CallMetadata
    route: object
    service: str
    organisation: str | None
    priority: int
    deadline_s: float
    response_deadline_s: float
    revision: int
    origin: object = None
    ranks: tuple = ()
    rollout_draw: float = 1.0
