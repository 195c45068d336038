"""Requests that must leave this host at most once.

aiohttp repeats some methods by itself when a connection ends before the answer.
For an order that would be a second run, so each order carries a guard that lets
it pass to a connection a single time.
"""

from aiohttp import ClientError


class AlreadySent(ClientError):
    """The request has left this host before."""


class SingleUse:
    """A client middleware that lets one request pass once.

    The library asks its middlewares anew for each attempt, so an instance
    belongs to a single call.
    """

    __slots__ = ("_is_used",)

    def __init__(self):
        self._is_used = False

    async def __call__(self, request, handler):
        """Pass the request on, or raise `AlreadySent`."""
        if self._is_used:
            raise AlreadySent("the request has been sent before")
        self._is_used = True
        return await handler(request)
