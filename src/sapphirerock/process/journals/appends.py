"""Appends that wait for a journal holder, and backfills of new holders."""

from array import array
from dataclasses import dataclass

from sapphirerock.connection.messages import JournalBackfill
from sapphirerock.process.journals.store import TOKEN_TYPE


@dataclass(slots=True, frozen=True)
class PendingAppend:
    """Tokens of one generation to be appended to the holder's journal.

    Parameters
    ----------
    generation : Generation
        Generation that the tokens belong to.
    offset, end : int
        Offset of the first token, and the offset after the last one.
    upstream, incarnation : str
        The engine that runs the generation; empty if it has not changed.
    finish_reason : str
        Empty while the generation runs.
    """

    generation: object
    offset: int
    end: int
    upstream: str
    incarnation: str
    finish_reason: str

    def to_entry(self):
        """Return the append as an entry of `JournalAppend`."""
        tokens = self.generation.tokens[self.offset : self.end]
        return [
            self.generation.generation_id,
            self.generation.branch,
            self.offset,
            array(TOKEN_TYPE, tokens).tobytes(),
            self.upstream,
            self.incarnation,
            self.finish_reason,
        ]


class HolderQueue:
    """Queue of appends to one holder."""

    __slots__ = ("host", "pending", "is_sending")

    def __init__(self, host):
        self.host = host
        self.pending = []
        self.is_sending = False

    def pop_all(self):
        """Empty the queue and return the appends that were in it."""
        batch, self.pending = self.pending, []
        return batch


def make_backfill(generation, end):
    """Return a message with all tokens before `end`, for a new holder."""
    return JournalBackfill(
        generation.organisation.name,
        generation.key,
        generation.request.digest,
        generation.generation_id,
        [list(item) for item in generation.history],
        array(TOKEN_TYPE, generation.tokens[:end]).tobytes(),
        generation.upstream,
        generation.incarnation,
        generation.finish_reason,
    )
