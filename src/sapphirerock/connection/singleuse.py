"""Requests that must leave this host at most once.

aiohttp repeats some methods by itself when a connection ends before the answer.
For an order that would be a second run, so each order carries a guard that lets
it pass to a connection a single time.
"""

from aiohttp import ClientError

SENT_HEADER = "Sapphirerock-Attempt"


class AlreadySent(ClientError):
    """The request has left this host before."""


async def send_once(request, handler):
    """Pass a request on, unless it has been passed on before.

    A client middleware of aiohttp; the request's headers are its own copy, so
    the mark travels with the request through the library's retries.
    """
    if SENT_HEADER in request.headers:
        raise AlreadySent("the request has been sent before")
    request.headers[SENT_HEADER] = "1"
    return await handler(request)
