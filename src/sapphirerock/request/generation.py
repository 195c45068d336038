"""State of one generation: its tokens, its driver and its readers."""

import asyncio
from dataclasses import dataclass

from sapphirerock.process.journals.store import is_resumable
from sapphirerock.request.completion import EventPosition


@dataclass(slots=True, frozen=True)
class Segment:
    """Tokens and text of one event.

    Parameters
    ----------
    offset : int
        Offset of the segment's first token in the generation.
    """

    offset: int
    tokens: list
    text: str

    @property
    def end(self):
        """Offset after the last token."""
        return self.offset + len(self.tokens)


class Generation:
    """State of one generation on the host whose driver runs it.

    A token passes through three steps: it is received from the engine, stored in a
    journal, and released to readers.

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
        Random id of this driver.
    history : list of [str, int]
        Branch of each driver so far and the offset that it started from.
    known_tokens : sequence of int
        Tokens from the journal. It holds no text, so the engine generates them again.
    text_start : int
        Offset of the first token whose text is needed.

    Attributes
    ----------
    tokens : list of int
        All known tokens, from the journal and from the engine.
    segments : list of Segment
        Tokens with text from ``text_start`` on.
    released_end : int
        Offset after the last token that readers may get.
    journaled_end : int
        Offset after the last token in the journal.
    journaled_source : tuple of (str, str) or None
        Upstream and incarnation that the journal was last told of.
    holder : str
        Host that holds the journal; empty if there is none.
    finish_reason : str
        Why the engine finished; empty until then.
    problem : Problem or None
        Why the generation failed.
    upstream, incarnation : str
        Upstream of the latest attempt, and its incarnation; empty if there is none.
    readers : int
        Callers that are reading.
    last_read_s : float
        Monotonic time at which the last reader left.
    lost_at_s : float or None
        Monotonic time of the first loss since the last token.
    task : asyncio.Task or None
        Task of the driver.
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
        """Offset after the last token whose text has arrived."""
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
        """Append tokens from the engine if they continue the generation.

        Returns
        -------
        bool
            False if they don't: there are none, they don't start at ``text_end``, or
            they differ from the tokens in the journal.
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
        """Record the reason why the engine finished the generation."""
        self.finish_reason = reason
        self._signal_change()

    def fail(self, problem):
        """End the generation with a problem, unless it is already over."""
        if not self.is_over:
            self.problem = problem
            self._signal_change()

    def record_loss(self, now_s):
        """Record the time of a loss; the earliest since the last token counts."""
        if self.lost_at_s is None:
            self.lost_at_s = now_s

    def can_read_after(self, offset):
        """Return whether readers can resume after the token at an offset.

        The text of a segment can't be split, so a segment must start there.
        """
        start = offset + 1
        if start == self.text_start or start >= self._text_end:
            return start <= len(self.tokens) and start >= self.text_start
        return any(segment.offset == start for segment in self.segments)

    def accepts_position(self, position):
        """Return whether a caller can resume at the position of an event.

        It can't if the event belongs to another generation, or has tokens that a later
        driver has replaced.
        """
        return position.generation_id == self.generation_id and is_resumable(
            self.history, position.branch, position.offset
        )

    def make_position(self, offset):
        """Return the event position for the token at an offset."""
        return EventPosition(self.generation_id, offset, self.branch, self.holder)

    def find_segments(self, start):
        """Return the released segments that start at or after an offset."""
        first = len(self.segments)
        while first > 0 and self.segments[first - 1].offset >= start:
            first -= 1
        return [item for item in self.segments[first:] if item.end <= self.released_end]

    async def wait_for_change(self):
        """Wait for released tokens, the end of the generation, or `wake_readers`."""
        await self._changed.wait()

    def wake_readers(self):
        """Wake readers, so that they can send a heartbeat."""
        self._signal_change()

    def _signal_change(self):
        self._changed.set()
        self._changed = asyncio.Event()
