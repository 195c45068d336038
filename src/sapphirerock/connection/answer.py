"""What an upstream's answer says beside its body."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class EngineLoad:
    """Load as an engine tells it with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(slots=True, frozen=True)
class AnswerHead:
    """The head of an upstream's answer.

    Parameters
    ----------
    status : int
        HTTP status.
    attempt_id : str or None
        Attempt that it says it belongs to.
    is_sealed : bool
        Whether it bears the engine's seal.
    is_stream : bool
        Whether its body is a stream of events.
    is_encoded : bool
        Whether the body is not the engine's own bytes.
    was_not_executed : bool
        Whether the engine says that the call has not run.
    is_other_engine : bool
        Whether the engine at the address is not the one that was called.
    load : EngineLoad or None
        The engine's load.
    """

    status: int
    attempt_id: str | None
    is_sealed: bool
    is_stream: bool
    is_encoded: bool
    was_not_executed: bool
    is_other_engine: bool
    load: EngineLoad | None

    @property
    def is_success(self):
        """Whether the status says that the call was served."""
        return 200 <= self.status < 300

    def belongs_to(self, attempt_id):
        """Return whether it can be the answer to an attempt.

        A success counts only with the engine's seal.
        """
        if self.attempt_id is not None and self.attempt_id != attempt_id:
            return False
        if self.is_encoded:
            return False
        return self.is_sealed or not self.is_success


@dataclass(slots=True, frozen=True)
class WholeAnswer:
    """An upstream's answer, read to its end.

    Parameters
    ----------
    head : AnswerHead
        What the upstream says beside the body.
    headers : tuple of (str, str)
        Headers that go to the caller.
    body : bytes
        The whole body.
    """

    head: AnswerHead
    headers: tuple
    body: bytes


@dataclass(slots=True, frozen=True)
class RunCopy:
    """A copy of a run's memory.

    Parameters
    ----------
    holder : EngineEntry
        Engine that has the copy.
    source : EngineEntry
        Engine that the run was on.
    handle : str
        The source's name of the copy; empty for a backup that it keeps up to date
        by itself.
    """

    holder: object
    source: object
    handle: str = ""
