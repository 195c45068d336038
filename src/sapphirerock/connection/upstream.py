"""HTTP exchanges with upstreams, each on its own connection.

With one exchange per connection, late or extra bytes of one call can't reach another
call, and a call whose connection could not be established has certainly not run.
"""

import time
from dataclasses import dataclass

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
from expression import Error, Ok
from multidict import CIMultiDict
from yarl import URL

from sapphirerock.connection.errors import (
    RelayError,
    RelayUnavailable,
    UpstreamBroken,
    UpstreamSilent,
    UpstreamUnreachable,
)
from sapphirerock.connection.sendonce import send_once
from sapphirerock.connection.sessions import StrictResponseProtocol, use_protocol
from sapphirerock.decisions.responsememory import (
    FREE_RESPONSE_BYTES,
    choose_reservation,
)
from sapphirerock.process.clock import MAX_TIMER_DELAY_S

# Longer than the slowest round trip between regions, and than a retransmission within
# a zone.
CONNECT_TIMEOUT_S = 0.25
SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
# An event is a few hundred bytes long, a plain response a few thousand. No connection
# keeps the others waiting for longer than it takes to parse this much.
READ_BUFFER_BYTES = 1 << 12
HEAD_LIMIT_BYTES = 1 << 15
# A buffered response of an upstream is at most as large as a caller's request may be
# on the deployments known. `ResponseMemory` limits how many of them a host holds.
RESPONSE_LIMIT_BYTES = 4 << 20
# A report lists the runs of an engine, at about 60 bytes each.
REPORT_LIMIT_BYTES = 64 << 10
# Bytes that may arrive without adding to a body: heads, chunk lines, trailers. Chunks
# of small events may add as much as the events themselves.
OVERHEAD_LIMIT_BYTES = 64 << 10


class UpstreamProtocol(StrictResponseProtocol):
    """Client protocol that is safe for upstreams that fail.

    Closing does not wait for unsent bytes, which the upstream may never read.
    A connection that receives many bytes that belong to no body is aborted. Bytes are
    read in small blocks, so that fast upstreams don't hold up others.
    """

    def __init__(self, loop):
        super().__init__(loop)
        self._received_bytes = 0

    def connection_made(self, transport):
        """Limit the size of the blocks that are read."""
        super().connection_made(transport)
        limit_read_size(transport, READ_BUFFER_BYTES)

    def data_received(self, data):
        """Parse received bytes; fail if too many of them belong to no body."""
        super().data_received(data)
        self._received_bytes += len(data)
        body_bytes = self._payload.total_bytes if self._payload is not None else 0
        if self._received_bytes > OVERHEAD_LIMIT_BYTES + 2 * body_bytes:
            error = ClientPayloadError(
                f"{self._received_bytes} bytes received, {body_bytes} of them a body"
            )
            if self._payload is not None:
                self._payload.set_exception(error)
            self.set_exception(error)
            self.abort()

    def close(self):
        """Close the connection, without waiting for unsent bytes."""
        transport = self.transport
        if transport is not None and transport.get_write_buffer_size():
            self.abort()
        else:
            super().close()


def limit_read_size(transport, size):
    """Limit the bytes that a transport reads at once, which are 256 KiB otherwise."""
    # asyncio has no public way to set it.
    transport.max_size = size


def make_upstream_session(address):
    """Return an HTTP client session for exchanges with upstreams.

    Parameters
    ----------
    address : str
        Local IP address of outgoing connections.
    """
    connector = TCPConnector(limit=0, local_addr=(address, 0), force_close=True)
    use_protocol(connector, UpstreamProtocol)
    return make_exchange_session(connector)


def make_exchange_session(connector):
    """Return an HTTP client session for exchanges with upstreams over a connector."""
    return ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        middlewares=(send_once,),
        auto_decompress=False,
        skip_auto_headers=SKIPPED_AUTO_HEADERS,
        read_bufsize=READ_BUFFER_BYTES,
        max_line_size=HEAD_LIMIT_BYTES,
        max_field_size=HEAD_LIMIT_BYTES,
        timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
    )


@dataclass(slots=True, frozen=True)
class OutboundRequest:
    """A request as it is sent to an upstream.

    Parameters
    ----------
    target : str
        Path and query, percent-encoded; sent unchanged.
    headers : list of (str, str)
        All headers except ``Content-Length`` and hop-by-hop headers.
    """

    method: str
    target: str
    headers: list
    body: bytes


async def open_response(session, upstream, address, request):
    """Send a request and wait for the head of its response.

    Parameters
    ----------
    session : aiohttp.ClientSession
        From `make_upstream_session`.
    upstream : str
        Name of the upstream, for errors.
    address : str
        Address of the upstream, as ``ip:port``.
    request : OutboundRequest
        The request.

    Returns
    -------
    expression.Result of aiohttp.ClientResponse or ConnectionFailure
        `UpstreamUnreachable` means that nothing was sent; after any other failure
        the call may have run.
    """
    started_s = time.monotonic()
    try:
        try:
            return Ok(await send_to(session, address, request))
        except ConnectionTimeoutError:
            elapsed_s = time.monotonic() - started_s
            if elapsed_s <= CONNECT_TIMEOUT_S + MAX_TIMER_DELAY_S:
                raise
            # The event loop was busy, so the connection may have been made in time.
            return Ok(await send_to(session, address, request))
    except ConnectionTimeoutError:
        return Error(UpstreamUnreachable(upstream, refused=False))
    except ClientConnectorError as error:
        return Error(classify_connect_error(upstream, error))
    except (ClientError, OSError) as error:
        return Error(UpstreamBroken(upstream, repr(error)))


async def send_to(session, address, request):
    """Send a request to an address; return the response when its head has arrived."""
    return await session.request(
        request.method,
        URL(f"http://{address}{request.target}", encoded=True),
        headers=CIMultiDict(request.headers),
        data=request.body or None,
        allow_redirects=False,
    )


def classify_connect_error(upstream, error):
    """Return the failure for a connection that could not be established."""
    cause = error.os_error
    if isinstance(cause, RelayError):
        return RelayUnavailable(
            upstream, str(cause), cause.has_replied, cause.is_silent
        )
    return UpstreamUnreachable(upstream, isinstance(cause, ConnectionRefusedError))


async def read_body(upstream, response, limit_bytes=RESPONSE_LIMIT_BYTES, hold=None):
    """Read the complete body of a response.

    Parameters
    ----------
    upstream : str
        Name of the upstream, for errors.
    response : aiohttp.ClientResponse
        The response.
    limit_bytes : int
        Largest allowed length.
    hold : ResponseHold or None
        Gets the memory for a large body, for which the upstream has to wait; released
        here only if the body can't be read. None if none is needed.

    Returns
    -------
    expression.Result of bytes or ConnectionFailure
        `UpstreamBroken` for a body that exceeds the limit.

    Raises
    ------
    TimeoutError
        When a timeout that the request was made with expires.
    """
    read = None
    try:
        read = await read_parts(response, limit_bytes, hold)
    except TimeoutError:
        # A subclass of OSError; the timeout belongs to the caller of this function.
        raise
    except (ClientError, OSError) as error:
        return Error(UpstreamBroken(upstream, repr(error)))
    finally:
        if read is None and hold is not None:
            hold.release()
    if read is None:
        response.close()
        reason = f"the body exceeds {limit_bytes} bytes"
        return Error(UpstreamBroken(upstream, reason))
    return Ok(read)


async def read_parts(response, limit_bytes, hold):
    """Return the body of a response, or None if it is too long; see `read_body`."""
    parts, size = [], 0
    stated_bytes = response.content_length
    if stated_bytes is not None and stated_bytes > limit_bytes:
        return None
    async for part in response.content.iter_any():
        size += len(part)
        if size > limit_bytes:
            return None
        parts.append(part)
        if size >= FREE_RESPONSE_BYTES and hold is not None:
            await hold.reserve(choose_reservation(stated_bytes, limit_bytes))
    return b"".join(parts)


async def send_request(session, upstream, address, request, timeout_s):
    """Send a request that the router makes on its own, and read the whole response.

    The body may have `REPORT_LIMIT_BYTES`.

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
            timeout=ClientTimeout(total=timeout_s),
            # These requests may be sent again: a reset of one connection does not show
            # that the upstream is silent.
            middlewares=(),
        ) as response:
            read = await read_body(upstream, response, REPORT_LIMIT_BYTES)
            return read.map(lambda body: (response.status, body))
    except ClientConnectorError as error:
        return Error(classify_connect_error(upstream, error))
    except TimeoutError:
        return Error(UpstreamSilent(upstream, timeout_s, is_new_connection=True))
    except (ClientError, OSError) as error:
        return Error(UpstreamBroken(upstream, repr(error)))


async def probe(session, upstream, address, target, timeout_s):
    """Send a GET request to an upstream on a new connection.

    Returns
    -------
    expression.Result of bytes or ConnectionFailure
        The body. Any status counts, since a response shows that the upstream is alive.
    """
    request = OutboundRequest("GET", target, [], b"")
    exchanged = await send_request(session, upstream, address, request, timeout_s)
    return exchanged.map(lambda status_and_body: status_and_body[1])
