"""Response faults that break off a response, or put an error into a stream."""

import asyncio
import socket
from dataclasses import dataclass

from aiohttp import web

from sapphirerock.standin.sharedengine import (
    CHUNKED,
    EVENTS,
    encode_event,
    make_response_head,
    register_response_fault,
)

ERROR_TEXT = b"upstream request failed"
ERROR_HEAD = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 23\r\n\r\n"
)
UNFRAMED = "Connection: close"
PLAIN_TEXT = "Content-Type: text/plain"
# The bytes before a reset are to be read before it.
RESET_DELAY_S = 0.05


@dataclass(slots=True, frozen=True)
class BrokenResponse:
    """A response that ends early or contains an error.

    Parameters
    ----------
    status : str
        Status line without the protocol.
    header_lines : tuple of str
        Lines added to the head of a response that the engine has sealed.
    events : int
        Number of events at the start of the body.
    text : bytes
        Bytes after the events.
    head_share : float
        Share of the head that is sent; nothing follows if it is below 1.
    is_reset : bool
        Whether the connection is reset instead of closed.
    """

    status: str = "200 OK"
    header_lines: tuple = ()
    events: int = 0
    text: bytes = b""
    head_share: float = 1.0
    is_reset: bool = False

    def encode(self, standin, request_head, run):
        """Return the bytes to send."""
        head = make_response_head(
            standin, request_head, self.status, *self.header_lines
        )
        if self.head_share < 1.0:
            return head[: int(len(head) * self.head_share)]
        if self.events:
            run.events = run.first_event + self.events - 1
        events = b"".join(
            encode_event(request_head.content_key, run.first_event + number)
            for number in range(self.events)
        )
        body = events + self.text
        if CHUNKED in self.header_lines:
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return head + body


BROKEN_RESPONSES = {
    "half a head": BrokenResponse(head_share=0.5),
    "half a head, reset": BrokenResponse(head_share=0.5, is_reset=True),
    "a head without its last byte": BrokenResponse(head_share=0.999),
    "most of a head": BrokenResponse("200 OK", (EVENTS, CHUNKED), head_share=0.9),
    "a short body": BrokenResponse(
        header_lines=(PLAIN_TEXT, "Content-Length: 99"), text=ERROR_TEXT
    ),
    "a short body, reset": BrokenResponse(
        header_lines=(PLAIN_TEXT, UNFRAMED), text=ERROR_TEXT, is_reset=True
    ),
    "no body": BrokenResponse(header_lines=(PLAIN_TEXT, "Content-Length: 99")),
    "no events": BrokenResponse(header_lines=(EVENTS, UNFRAMED)),
    "no events, reset": BrokenResponse(header_lines=(EVENTS, UNFRAMED), is_reset=True),
    "status 500 with events": BrokenResponse(
        "500 Internal Server Error",
        (EVENTS, CHUNKED),
        text=b"event: error\ndata: " + ERROR_TEXT + b"\n\n",
    ),
    "status 500 with numbered events": BrokenResponse(
        "500 Internal Server Error", (EVENTS, CHUNKED), 30
    ),
    "status 200 with plain text": BrokenResponse(
        "200 OK", (PLAIN_TEXT, CHUNKED), text=ERROR_TEXT + b"\n\n"
    ),
    "an error event": BrokenResponse(
        header_lines=(EVENTS, CHUNKED),
        text=b"event: error\ndata: " + ERROR_TEXT + b"\n\n",
    ),
    "events and an error event": BrokenResponse(
        "200 OK",
        (EVENTS, CHUNKED),
        3,
        b'data: {"error":"' + ERROR_TEXT + b'"}\n\n',
    ),
    "events and a line of text": BrokenResponse(
        "200 OK", (EVENTS, UNFRAMED), 3, ERROR_TEXT + b"\n"
    ),
    "events and text": BrokenResponse(
        "200 OK", (EVENTS, UNFRAMED), 3, ERROR_TEXT + b"\n\n"
    ),
    "events and a second head": BrokenResponse(
        "200 OK", (EVENTS, UNFRAMED), 3, ERROR_HEAD + ERROR_TEXT
    ),
    "events and a second head in a chunk": BrokenResponse(
        "200 OK", (EVENTS, CHUNKED), 3, ERROR_HEAD + ERROR_TEXT
    ),
    "a second head": BrokenResponse(
        "200 OK", (EVENTS, UNFRAMED), 0, ERROR_HEAD + ERROR_TEXT
    ),
    "text before an event": BrokenResponse(
        "200 OK", (EVENTS, UNFRAMED), 0, ERROR_TEXT + b"\nid: 999\ndata: x\n\n"
    ),
}


# Numbers that are no status of a response, and one of a protocol that no host asks for.
ODD_STATUSES = ("000", "099", "101", "600", "999")
for _status in ODD_STATUSES:
    _status_line = f"{_status} Status"
    BROKEN_RESPONSES[f"status {_status}"] = BrokenResponse(
        _status_line,
        (PLAIN_TEXT, f"Content-Length: {len(ERROR_TEXT)}"),
        text=ERROR_TEXT,
    )
    BROKEN_RESPONSES[f"status {_status} with events"] = BrokenResponse(
        _status_line, (EVENTS, CHUNKED), 30
    )


async def send_broken_response(broken, standin, request, request_head, run):
    """Send a broken response and end the connection."""
    transport = request.transport
    transport.write(broken.encode(standin, request_head, run))
    run.ended = "broken"
    if broken.is_reset:
        await asyncio.sleep(RESET_DELAY_S)
        linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, linger
        )
        transport.abort()
    transport.close()


def register_broken_response(name, broken):
    """Register the response fault that sends a broken response."""

    @register_response_fault(name)
    async def respond(standin, request, request_head, run):
        await send_broken_response(broken, standin, request, request_head, run)
        # The connection has ended, so aiohttp sends nothing of this.
        return web.Response(status=500)


for _name, _broken in BROKEN_RESPONSES.items():
    register_broken_response(_name, _broken)
