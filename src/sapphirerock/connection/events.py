"""Splits the bytes of a stream into whole server-sent events.

Client libraries for server-sent events own their connection, reconnect by
themselves and hide how events were written; a router decides on reconnects and
passes events on as they came.
"""

import re
from dataclasses import dataclass

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?(\d+)[ ]*\r?$", re.MULTILINE)
# No event comes near it; what does is no stream of events.
EVENT_LIMIT_BYTES = 1 << 20


class EventOversized(Exception):
    """Bytes without an end of an event."""


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """One event as it came.

    Parameters
    ----------
    number : int or None
        Its id; None for an event without one.
    content : bytes
        All its bytes, its end included.
    """

    number: int | None
    content: bytes


class EventSplitter:
    """Collects bytes until events are whole."""

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = b""

    @property
    def has_rest(self):
        """Whether an event has begun and not ended."""
        return bool(self._rest.strip())

    def feed(self, data):
        """Take bytes and return the events that they complete.

        Raises
        ------
        EventOversized
            No event ended for too long.
        """
        data = self._rest + data if self._rest else data
        events, start = [], 0
        for end in EVENT_END.finditer(data):
            content = data[start : end.end()]
            start = end.end()
            found = EVENT_ID.search(content)
            events.append(StreamEvent(int(found[1]) if found else None, content))
        self._rest = data[start:]
        if len(self._rest) > EVENT_LIMIT_BYTES:
            raise EventOversized(f"{len(self._rest)} bytes without an end")
        return events
