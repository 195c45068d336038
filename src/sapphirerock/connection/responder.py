"""Sends the response to a caller's request, either at once or as a stream."""

import socket
import struct

from aiohttp import HttpVersion11
from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict

from sapphirerock.request.problem import Problem

# SO_LINGER on, with 0 s: closing resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)


class Responder:
    """Sends one response to a caller.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        The caller's request.
    close_connection : bool
        Whether to close the connection after the response.

    Attributes
    ----------
    status : int
        HTTP status sent; 0 before the response has begun.
    problem : Problem or None
        Problem that was sent to the caller.
    is_aborted : bool
        Whether the response was cut off.
    """

    __slots__ = (
        "status",
        "problem",
        "is_aborted",
        "_request",
        "_close_connection",
        "_response",
    )

    def __init__(self, request, close_connection=False):
        self.status = 0
        self.problem = None
        self.is_aborted = False
        self._request = request
        self._close_connection = close_connection
        self._response = None

    @property
    def has_begun(self):
        """Whether the response has begun."""
        return self._response is not None

    @property
    def response(self):
        """The aiohttp response for the handler to return; None before it begins."""
        return self._response

    def close_after_response(self):
        """Close the connection after the response."""
        self._close_connection = True

    async def send_upstream_response(self, upstream_response):
        """Send a `BufferedResponse` of an upstream."""
        response = Response(
            status=upstream_response.head.status,
            headers=CIMultiDict(upstream_response.headers),
            body=upstream_response.body,
        )
        await self._start_response(response)

    async def send_problem(self, problem: Problem):
        """Send a problem document."""
        self.problem = problem
        response = Response(
            status=problem.status, headers=problem.make_headers(), body=problem.encode()
        )
        await self._start_response(response)

    async def begin_stream(self, status, headers):
        """Send the status and headers of a streamed response.

        A caller of HTTP/1.0 reads no chunks: the end of the connection ends the
        response, and a reset shows that it is incomplete, also if the process ends.
        """
        response = StreamResponse(status=status, headers=CIMultiDict(headers))
        if self._reads_chunks:
            response.enable_chunked_encoding()
        else:
            self._set_linger(RESET_ON_CLOSE)
        await self._start_response(response)

    @property
    def _reads_chunks(self):
        return self._request.version >= HttpVersion11

    def _set_linger(self, value):
        transport = self._request.transport
        if transport is not None:
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, value
            )

    async def _start_response(self, response):
        if self._close_connection:
            response.force_close()
        self._response = response
        self.status = response.status
        await response.prepare(self._request)

    async def send(self, data):
        """Send a part of the body of a streamed response."""
        await self._response.write(data)

    def complete_stream(self):
        """Let the server end a streamed response, which is whole."""
        if not self._reads_chunks:
            self._set_linger(CLOSE_IN_ORDER)

    def abort(self):
        """Close the connection, so that the caller sees an incomplete response."""
        self.is_aborted = True
        transport = self._request.transport
        if transport is None:
            return
        if self._reads_chunks:
            transport.close()
        else:
            transport.abort()
