"""Sends the response to a caller's request, either at once or as a stream."""

from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict

from sapphirerock.request.problem import Problem


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
        """Send the status and headers of a streamed response."""
        response = StreamResponse(status=status, headers=CIMultiDict(headers))
        response.enable_chunked_encoding()
        await self._start_response(response)

    async def _start_response(self, response):
        if self._close_connection:
            response.force_close()
        self._response = response
        self.status = response.status
        await response.prepare(self._request)

    async def send(self, data):
        """Send a part of the body of a streamed response."""
        await self._response.write(data)

    async def finish(self):
        """End a streamed response that is complete."""
        await self._response.write_eof()

    def abort(self):
        """Close the connection, so that the caller sees an incomplete response."""
        self.is_aborted = True
        transport = self._request.transport
        if transport is not None:
            transport.close()
