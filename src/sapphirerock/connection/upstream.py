"""HTTP exchanges with upstreams, one connection each.

A connection that carries a single exchange can't hand one call's late or extra
bytes to another, and a call on it that was never connected has surely not run.
"""

from dataclasses import dataclass
from functools import partial

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientPayloadError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
    TCPConnector,
)
from aiohttp.client_proto import ResponseHandler
from expression import Error, Ok
from multidict import CIMultiDict
from yarl import URL

from sapphirerock.connection.errors import (
    UpstreamBroken,
    UpstreamSilent,
    UpstreamUnreachable,
)

# Above the longest way between regions and back, and a resent packet in a zone.
CONNECT_BOUND_S = 0.25
LIBRARY_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
# A stream's event has some hundred bytes; a plain answer some thousand.
READ_BUFFER_BYTES = 1 << 16
HEAD_LIMIT_BYTES = 1 << 15


class UpstreamProtocol(ResponseHandler):
    """The library's client protocol, for upstreams that fail.

    An answer without a length ends with its connection. The library takes a reset
    for such an end too; here a reset means that the answer is not whole. Closing
    does not wait for bytes that nobody takes any more.
    """

    def connection_lost(self, exc):
        """Fail the answer under way when the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"reset: {exc!r}"))
        super().connection_lost(exc)

    def close(self):
        """Close the connection, without waiting for unsent bytes."""
        transport = self.transport
        if transport is not None and transport.get_write_buffer_size():
            self.abort()
        else:
            super().close()


def make_upstream_session(address):
    """Return a session for exchanges with upstreams.

    Parameters
    ----------
    address : str
        IP number that calls are made from.
    """
    connector = TCPConnector(limit=0, local_addr=(address, 0), force_close=True)
    # The library has no public way to name the protocol class.
    connector._factory = partial(UpstreamProtocol, loop=connector._loop)
    return ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=LIBRARY_HEADERS,
        read_bufsize=READ_BUFFER_BYTES,
        max_line_size=HEAD_LIMIT_BYTES,
        max_field_size=HEAD_LIMIT_BYTES,
        timeout=ClientTimeout(total=None, sock_connect=CONNECT_BOUND_S),
    )


@dataclass(slots=True, frozen=True)
class OutboundRequest:
    """A request as it goes to an upstream.

    Parameters
    ----------
    target : str
        Path and query, sent as they are.
    headers : list of (str, str)
        Whole head but for length and connection.
    """

    method: str
    target: str
    headers: list
    body: bytes


async def open_answer(session, upstream, address, request):
    """Send a request and wait for the head of its answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        From `make_upstream_session`.
    upstream : str
        Name of the upstream, for errors.
    address : str
        Its ``ip:port``.

    Returns
    -------
    expression.Result of aiohttp.ClientResponse or ConnectionFailure
        `UpstreamUnreachable` means that nothing was sent; after any other failure
        the call may have run.
    """
    try:
        return Ok(
            await session.request(
                request.method,
                URL(f"http://{address}{request.target}", encoded=True),
                headers=CIMultiDict(request.headers),
                data=request.body or None,
                allow_redirects=False,
            )
        )
    except ConnectionTimeoutError:
        return Error(UpstreamUnreachable(upstream, refused=False))
    except ClientConnectorError as error:
        refused = isinstance(error.os_error, ConnectionRefusedError)
        return Error(UpstreamUnreachable(upstream, refused))
    except (ClientError, OSError) as error:
        return Error(UpstreamBroken(upstream, repr(error)))


async def read_body(upstream, response):
    """Read the whole body of an answer.

    Returns
    -------
    expression.Result of bytes or ConnectionFailure
    """
    try:
        return Ok(await response.read())
    except (ClientError, OSError) as error:
        return Error(UpstreamBroken(upstream, repr(error)))


async def exchange(session, upstream, address, request, bound_s):
    """Send a small request of the router's own and read the whole answer.

    Returns
    -------
    expression.Result of (int, bytes) or ConnectionFailure
        Status and body.
    """
    try:
        async with session.request(
            request.method,
            URL(f"http://{address}{request.target}", encoded=True),
            headers=CIMultiDict(request.headers),
            data=request.body or None,
            timeout=ClientTimeout(total=bound_s),
        ) as response:
            return Ok((response.status, await response.read()))
    except ClientConnectorError as error:
        refused = isinstance(error.os_error, ConnectionRefusedError)
        return Error(UpstreamUnreachable(upstream, refused))
    except TimeoutError:
        return Error(UpstreamSilent(upstream, bound_s, is_new_connection=True))
    except (ClientError, OSError) as error:
        return Error(UpstreamBroken(upstream, repr(error)))


async def probe(session, upstream, address, target, bound_s):
    """Ask an upstream for a page on a new connection.

    Returns
    -------
    expression.Result of bytes or ConnectionFailure
        The body, whatever the status.
    """
    request = OutboundRequest("GET", target, [], b"")
    answer = await exchange(session, upstream, address, request, bound_s)
    return answer.map(lambda found: found[1])
