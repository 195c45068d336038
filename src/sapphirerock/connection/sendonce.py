"""Client middleware for requests that must be sent at most once.

aiohttp retries requests with some methods by itself when the connection ends before
the response. That would execute an order twice, so each order is sent with a
middleware that rejects a second attempt.
"""

from aiohttp import ClientError


class AlreadySent(ClientError):
    """The request has already been sent once."""


class SendOnceMiddleware:
    """Client middleware that lets one request through once.

    aiohttp calls the middlewares again for each of its attempts, so use a new
    instance for each call.
    """

    __slots__ = ("_is_used",)

    def __init__(self):
        self._is_used = False

    async def __call__(self, request, handler):
        """Forward the request; raise `AlreadySent` the second time."""
        if self._is_used:
            raise AlreadySent("the request has been sent before")
        self._is_used = True
        return await handler(request)
