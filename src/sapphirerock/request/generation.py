"""State of one generation: its tokens, its driver and its readers."""

import asyncio
from dataclasses import dataclass

from sapphirerock.process.journals.store import is_resumable
from sapphirerock.request.completion import EventPosition


@dataclass(slots=True, frozen=True)
class Segment:
    """Tokens and text of one event."""

    offset: int
    tokens: list
    text: str

    @property
    def end(self):
        """Offset after the last token."""
        return self.offset + len(self.tokens)


class Generation:
    """The state of one generation on the host that drives it.

    Parameters
    ----------
    generation_id : str
        Id that all drivers of the generation share.
    organisation : Organisation
        The caller's organisation.
    key : str
        The caller's idempotency key.
    request : CompletionRequest
        The caller's request.
    branch : str
        Branch of this driver.
    history : list of [str, int]
        Branch of each driver and the offset that it started from.
    known_tokens : sequence of int
        Tokens from the journal, whose text is still missing.
    text_start : int
        Offset of the first token whose text is needed.
    """

    __slots__ = (
        "generation_id",
        "organisation",
        "key",
        "request",
        "branch",
        "history",
        "tokens",
        "text_start",
        "segments",
        "released_end",
        "journaled_end",
        "journaled_source",
        "holder",
        "finish_reason",
        "problem",
        "upstream",
        "incarnation",
        "readers",
        "last_read_s",
        "lost_at_s",
        "task",
        "_text_end",
        "_changed",
    )

    def __init__(
        self,
        generation_id,
        organisation,
        key,
        request,
        branch,
        history,
        known_tokens=(),
        text_start=0,
    ):
        self.generation_id = generation_id
        self.organisation = organisation
        self.key = key
        self.request = request
        self.branch = branch
        self.history = history
        self.tokens = list(known_tokens)
        self.text_start = text_start
        self.segments = []
        self.released_end = text_start
        self.journaled_end = len(self.tokens)
        self.journaled_source = None
        self.holder = ""
        self.finish_reason = ""
        self.problem = None
        self.upstream = ""
        self.incarnation = ""
        self.readers = 0
        self.last_read_s = 0.0
        self.lost_at_s = None
        self.task = None
        self._text_end = text_start
        self._changed = asyncio.Event()

    @property
    def text_end(self):
        """Offset of the next token whose text is needed."""
        return self._text_end

    @property
    def is_over(self):
        """Whether no more tokens will arrive."""
        return bool(self.finish_reason) or self.problem is not None

    @property
    def is_fully_released(self):
        """Whether the engine finished and every token was released."""
        return bool(self.finish_reason) and self.released_end >= len(self.tokens)

    def accept(self, offset, tokens, text):
        """Append the next tokens from the engine.

        Returns
        -------
        bool
            False when they do not continue the generation: there are none, their
            offset is not the next one, or they differ from the journal's tokens.
        """
        if offset != self._text_end or not tokens:
            return False
        known = self.tokens[offset : offset + len(tokens)]
        if known != tokens[: len(known)]:
            return False
        self.tokens.extend(tokens[len(known) :])
        self.segments.append(Segment(offset, tokens, text))
        self._text_end = offset + len(tokens)
        return True

    def release(self, end):
        """Make all tokens before an offset available to readers."""
        if end > self.released_end:
            self.released_end = end
            self._signal_change()

    def finish(self, reason):
        """Record that the engine finished, and why."""
        self.finish_reason = reason
        self._signal_change()

    def fail(self, problem):
        """End the generation with a problem, unless it is over."""
        if not self.is_over:
            self.problem = problem
            self._signal_change()

    def record_loss(self, now_s):
        """Record the time of a loss; the earliest since the last token counts."""
        if self.lost_at_s is None:
            self.lost_at_s = now_s

    def can_read_after(self, offset):
        """Return whether readers can resume exactly after an offset."""
        start = offset + 1
        if start == self.text_start or start >= self._text_end:
            return start <= len(self.tokens) and start >= self.text_start
        return any(segment.offset == start for segment in self.segments)

    def accepts_position(self, position):
        """Return whether the position of an event belongs to the current answer."""
        return position.generation_id == self.generation_id and is_resumable(
            self.history, position.branch, position.offset
        )

    def make_position(self, offset):
        """Return the position of the token at an offset."""
        return EventPosition(self.generation_id, offset, self.branch, self.holder)

    def find_segments(self, start):
        """Return the released segments that start at or after an offset."""
        low = len(self.segments)
        while low > 0 and self.segments[low - 1].offset >= start:
            low -= 1
        return [item for item in self.segments[low:] if item.end <= self.released_end]

    async def wait_change(self):
        """Wait until tokens are released, the generation ends or readers are woken."""
        await self._changed.wait()

    def wake_readers(self):
        """Wake readers, so that they can send a heartbeat."""
        self._signal_change()

    def _signal_change(self):
        self._changed.set()
        self._changed = asyncio.Event()
