"""Splits the bytes of a stream into complete server-sent events.

Client libraries for server-sent events open and reopen the connection themselves and
hide the original bytes. A router has to decide when to reconnect, and forwards events
byte for byte.
"""

import re
from dataclasses import dataclass

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?(\d+)[ ]*\r?$", re.MULTILINE)
# Fields and comments, one a line. A stream may begin with a byte order mark.
FIELDS = re.compile(rb"(?:\xef\xbb\xbf)?(?:(?:[\w-]*:[^\r\n]*|data)?\r?\n)+")
# What a stream may have between its events.
COMMENTS = re.compile(rb"(?:\xef\xbb\xbf)?(?:(?::[^\r\n]*|retry:[ \d]*)?\r?\n)+")
# Far above the size of any event; longer data is not an event stream.
EVENT_LIMIT_BYTES = 32 << 10
LOGGED_BYTES = 80


class EventMalformed(Exception):
    """The received bytes are no events of a stream."""


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """One event with its original bytes.

    Parameters
    ----------
    number : int or None
        Id of the event; None for comments between events.
    content : bytes
        All bytes of the event, including the blank line that ends it.
    """

    number: int | None
    content: bytes


class EventSplitter:
    """Buffers bytes until events are complete."""

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = b""

    @property
    def has_partial_event(self):
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip())

    def feed(self, data):
        """Add bytes and return the events that they complete.

        Raises
        ------
        EventMalformed
            When an event has no number or a line that is no field, such as the text
            of an error, or when the incomplete event exceeds `EVENT_LIMIT_BYTES`.
        """
        data = self._buffer + data if self._buffer else data
        events, start = [], 0
        for end in EVENT_END.finditer(data):
            content = data[start : end.end()]
            start = end.end()
            id_match = EVENT_ID.search(content)
            if not (FIELDS if id_match else COMMENTS).fullmatch(content):
                raise EventMalformed(f"no event: {content[:LOGGED_BYTES]!r}")
            events.append(StreamEvent(int(id_match[1]) if id_match else None, content))
        self._buffer = data[start:]
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise EventMalformed(
                f"{len(self._buffer)} bytes without the end of an event"
            )
        return events
