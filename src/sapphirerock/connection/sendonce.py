"""Client middleware that sends each request at most once.

aiohttp sends requests with some methods again by itself when the connection ends before
the response. An upstream may then run a call twice, and the failure of the second
connection hides that the call was sent on the first.
"""

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientOSError,
    ServerDisconnectedError,
)


class ConnectionBroken(ClientError):
    """The connection ended after it was established, and before the response."""


async def send_once(request, handler):
    """Forward a request; raise `ConnectionBroken` where aiohttp would send it again."""
    try:
        return await handler(request)
    except ClientConnectorError:
        raise
    except (ClientOSError, ServerDisconnectedError) as error:
        raise ConnectionBroken(repr(error)) from error
