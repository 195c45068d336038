"""A caller's call, as read from its connection."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Prompt:
    """Model and sizes of a call's prompt and answer.

    Parameters
    ----------
    model : str
        Requested model.
    tokens : int
        Tokens of the prompt.
    output_tokens : int
        Largest number of tokens in the answer.
    parts : tuple of (str, int)
        Id and number of tokens of each part of the prompt, in order. The last part
        belongs to this call or its session.
    """

    model: str = ""
    tokens: int = 0
    output_tokens: int = 0
    parts: tuple = ()

    @property
    def memory_tokens(self):
        """Tokens in the engine's KV memory at the end of the answer."""
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
        Sizes of the prompt and the answer.
    """

    attempt_id: str
    caller_timeout_s: float | None
    key: str | None
    last_event_id: int | None
    prompt: Prompt


@dataclass(slots=True, frozen=True)
class RoutedCall:
    """A call that was read whole and matched to a route.

    Parameters
    ----------
    method, target : str
        Method, and path with query, as the caller sent them.
    headers : tuple of (str, str)
        Headers that are passed to the upstream unchanged.
    body : bytes
        The whole body.
    metadata : CallMetadata
        Metadata from the headers.
    route : Route
        Matching route.
    service : str
        Service chosen among those of the route.
    organisation : str or None
        The caller's organisation; None where no key is needed.
    priority : int
        Priority; 0 is the highest.
    deadline_s : float
        Monotonic time at which the caller's timeout ends.
    answer_deadline_s : float
        Monotonic time by which the call is answered: the end of the caller's or of
        the route's timeout, whichever is earlier.
    revision : int
        Revision of the configuration that routed the call.
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
    answer_deadline_s: float
    revision: int
