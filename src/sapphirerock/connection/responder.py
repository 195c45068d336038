"""Answers to a caller on its connection, whole or as a stream."""

from aiohttp import web
from multidict import CIMultiDict

from sapphirerock.request.problem import Problem


class Responder:
    """Sends one answer.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        The caller's request.
    closes : bool
        Whether the connection is to end with the answer.

    Attributes
    ----------
    status : int
        Status that was sent; 0 before.
    problem : Problem or None
        What the caller was refused with.
    """

    __slots__ = ("status", "problem", "_request", "_closes", "_response")

    def __init__(self, request, closes=False):
        self.status = 0
        self.problem = None
        self._request = request
        self._closes = closes
        self._response = None

    @property
    def has_begun(self):
        """Whether the answer's head was sent."""
        return self._response is not None

    @property
    def response(self):
        """The answer as the library wants it back."""
        return self._response

    async def pass_on(self, answer):
        """Send an upstream's whole answer."""
        response = web.Response(
            status=answer.head.status,
            headers=CIMultiDict(answer.headers),
            body=answer.body,
        )
        await self._begin(response)

    async def refuse(self, problem: Problem):
        """Send an answer of the router's own."""
        self.problem = problem
        response = web.Response(
            status=problem.status, headers=problem.make_headers(), body=problem.encode()
        )
        await self._begin(response)

    async def begin_stream(self, status, headers):
        """Send the head of a streamed answer."""
        response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        response.enable_chunked_encoding()
        await self._begin(response)

    async def _begin(self, response):
        if self._closes:
            response.force_close()
        self._response = response
        self.status = response.status
        await response.prepare(self._request)

    async def send(self, data):
        """Send a part of a streamed answer."""
        await self._response.write(data)

    async def finish(self):
        """End a streamed answer as complete."""
        await self._response.write_eof()

    def abort(self):
        """End a streamed answer so that it does not look complete."""
        transport = self._request.transport
        if transport is not None:
            transport.close()
