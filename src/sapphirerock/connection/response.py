"""Decoded responses of engines: head, load, complete body and KV copy."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class EngineLoad:
    """Load that an engine reports in a response header.

    Parameters
    ----------
    running, waiting : int
        Number of runs that the engine works on, and of runs in its queue.
    slots : int
        Number of runs that it can work on at once.
    pace : float or None
        How many times as long as usual work takes on the engine's machine at this
        moment; None if it does not say.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """Status and decoded headers of an upstream's response.

    Parameters
    ----------
    status : int
        HTTP status.
    attempt_id : str or None
        Id of the attempt that the response belongs to; None if it names none.
    is_sealed : bool
        Whether the response has the seal header, which an engine adds to the
        response of each call that it has executed.
    is_stream : bool
        Whether the body consists of server-sent events.
    is_encoded : bool
        Whether the response has a content encoding, so that its body is not the
        engine's own bytes.
    was_not_executed : bool
        Whether the engine states that it did not execute the call.
    is_other_engine : bool
        Whether the response comes from another engine, which has the address now.
    load : EngineLoad or None
        Load of the engine; None when missing or malformed.
    limit_per_s : float or None
        Requests per second that the engine accepts from all hosts together; None if it
        states no limit.
    invalid_limit : str or None
        Text of a limit that could not be decoded.
    rest_s : float or None
        Time for which an engine that turned a request away wants no more of them from
        the sender, in seconds; None if it asks for none.
    invalid_rest : str or None
        Text of a time that could not be decoded.
    leaving : float or None
        1 if the engine states that it is about to end, else None.
    refusal_tolerance : float or None
        Requests that the engine may turn away in a second before it crashes; None if it
        states no such number.
    has_framing : bool
        Whether the body has a length or chunks. Otherwise the end of the connection
        ends it.
    """

    status: int
    attempt_id: str | None
    is_sealed: bool
    is_stream: bool
    is_encoded: bool
    was_not_executed: bool
    is_other_engine: bool
    load: EngineLoad | None
    limit_per_s: float | None = None
    invalid_limit: str | None = None
    rest_s: float | None = None
    invalid_rest: str | None = None
    leaving: float | None = None
    refusal_tolerance: float | None = None
    has_framing: bool = True

    @property
    def is_success(self):
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    def matches_attempt(self, attempt_id):
        """Return whether this can be the response to an attempt.

        A 2xx response must have the engine's seal. A statement that the call was not
        executed must name the attempt, since a call that has run may be sent again
        because of it.
        """
        if self.attempt_id is None and self.was_not_executed:
            return False
        if self.attempt_id is not None and self.attempt_id != attempt_id:
            return False
        if self.is_encoded:
            return False
        return self.is_sealed or not self.is_success


@dataclass(slots=True, frozen=True)
class BufferedResponse:
    """An upstream's response with its complete body.

    Parameters
    ----------
    head : ResponseHead
        Status and decoded headers.
    headers : tuple of (str, str)
        Headers to send to the caller.
    body : bytes
        The complete body.
    """

    head: ResponseHead
    headers: tuple
    body: bytes


@dataclass(slots=True, frozen=True)
class KvCopy:
    """A copy of a run's KV memory on another engine.

    Parameters
    ----------
    holder : EngineEntry
        Engine that has the copy.
    source : EngineEntry
        Engine that the run was copied from.
    handle : str
        Id that the source gave the copy; empty for a backup, which the source keeps
        up to date without further requests.
    attempt_id : str
        Attempt id of the run that a backup was made of; empty if it is the call's own.
    """

    holder: object
    source: object
    handle: str = ""
    attempt_id: str = ""
