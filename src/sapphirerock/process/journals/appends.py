"""Tokens on their way to a journal holder."""

from array import array
from dataclasses import dataclass

from sapphirerock.connection.messages import JournalBackfill
from sapphirerock.process.journals.store import TOKEN_TYPE


@dataclass(slots=True, frozen=True)
class PendingAppend:
    """Tokens of one generation that the holder is to have."""

    generation: object
    offset: int
    end: int
    upstream: str
    incarnation: str
    finish_reason: str

    def to_entry(self):
        """Return the entry of `JournalAppend`."""
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
    """Appends that wait for one holder."""

    __slots__ = ("host", "pending", "is_sending")

    def __init__(self, host):
        self.host = host
        self.pending = []
        self.is_sending = False

    def take_batch(self):
        """Return all that waits and empty the queue."""
        batch, self.pending = self.pending, []
        return batch


def make_backfill(generation, end):
    """Return a generation whole, as a new holder needs it."""
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
