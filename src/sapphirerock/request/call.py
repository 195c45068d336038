"""A caller's call, as read from its connection."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Prompt:
    """What a call says of its prompt and its answer.

    Parameters
    ----------
    model : str
        Model that is to answer.
    tokens : int
        Tokens of the prompt.
    output_tokens : int
        Most tokens of the answer.
    parts : tuple of (str, int)
        Id and tokens of the prompt's parts in their order; the last belongs to
        this call or its session.
    """

    model: str = ""
    tokens: int = 0
    output_tokens: int = 0
    parts: tuple = ()

    @property
    def memory_tokens(self):
        """Tokens that an engine's memory holds at the end of the answer."""
        return self.tokens + self.output_tokens


@dataclass(slots=True, frozen=True)
class CallTerms:
    """What a call's head says of how it is to be treated.

    Parameters
    ----------
    attempt_id : str
        The caller's id of this attempt.
    patience_s : float or None
        Time that the caller waits, in seconds; None where it does not say.
    key : str or None
        The caller's key.
    last_event_id : int or None
        Event of a stream that the caller has; the stream goes on after it.
    prompt : Prompt
        Sizes of the prompt and the answer.
    """

    attempt_id: str
    patience_s: float | None
    key: str | None
    last_event_id: int | None
    prompt: Prompt


@dataclass(slots=True, frozen=True)
class RoutedCall:
    """A whole call with all that is known of where it goes.

    Parameters
    ----------
    method, target : str
        Method, and path with query, as the caller sent them.
    headers : tuple of (str, str)
        Headers that go to the upstream as they came.
    body : bytes
        The whole body.
    terms : CallTerms
        What the head says.
    route : Route
        Where it goes.
    service : str
        The service chosen of the route's.
    organisation : str or None
        Whose call it is; None where no key is needed.
    priority : int
        Rank, 0 the highest.
    deadline_s : float
        Monotonic time until which the caller waits.
    limit_s : float
        Monotonic time at which it is answered at the latest.
    revision : int
        Revision of the configuration that it was routed by.
    """

    method: str
    target: str
    headers: tuple
    body: bytes
    terms: CallTerms
    route: object
    service: str
    organisation: str | None
    priority: int
    deadline_s: float
    limit_s: float
    revision: int
