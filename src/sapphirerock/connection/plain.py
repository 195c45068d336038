"""HTTP calls to plain services, which are those without model engines."""

from dataclasses import dataclass

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientTimeout,
    ConnectionTimeoutError,
)
from expression import Error

from sapphirerock.connection.errors import (
    UpstreamBroken,
    UpstreamSilent,
    UpstreamUnreachable,
)
from sapphirerock.connection.sessions import CONNECT_TIMEOUT_S
from sapphirerock.connection.upstream import read_body
from sapphirerock.process.telemetry.tracing import inject_trace_context

FORWARDED_HEADERS = ("Content-Type", "Accept", "Idempotency-Key")


@dataclass(slots=True, frozen=True)
class PlainRequest:
    """A call as it is sent to an upstream.

    Parameters
    ----------
    path : str
        Path without a leading slash.
    query : str
        Query string without the question mark; may be empty.
    headers : dict of str to str
        Headers to send, besides those that aiohttp sets.
    """

    method: str
    path: str
    query: str
    headers: dict
    body: bytes


@dataclass(slots=True, frozen=True)
class PlainResponse:
    """An upstream's complete response."""

    status: int
    content_type: str
    body: bytes


async def send_plain_request(
    session, upstream, request, timeout_s, memory, middlewares=()
):
    """Send a call and read the complete response.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session to send with.
    upstream : Upstream
        Upstream to call.
    request : PlainRequest
        The call.
    timeout_s : float
        Timeout of the call and its response together, in seconds.
    memory : ResponseMemory
        Memory that a large response needs while it is read.
    middlewares : tuple of aiohttp client middlewares
        Middlewares for this call only, such as `send_once`.

    Returns
    -------
    expression.Result of PlainResponse or ConnectionFailure
        `UpstreamUnreachable` means that no byte of the call was sent; after
        any other failure the call may have run.
    """
    url = f"{upstream.url}/{request.path}"
    if request.query:
        url += f"?{request.query}"
    hold = memory.open_hold(upstream.name)
    try:
        async with session.request(
            request.method,
            url,
            data=request.body,
            headers=inject_trace_context(dict(request.headers)),
            timeout=ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S),
            allow_redirects=False,
            middlewares=middlewares,
        ) as response:
            read = await read_body(upstream.name, response, hold=hold)
            return read.map(
                lambda body: PlainResponse(response.status, response.content_type, body)
            )
    except ConnectionTimeoutError:
        return Error(UpstreamUnreachable(upstream.name, refused=False))
    except ClientConnectorError as error:
        refused = isinstance(error.os_error, ConnectionRefusedError)
        return Error(UpstreamUnreachable(upstream.name, refused))
    except TimeoutError:
        return Error(UpstreamSilent(upstream.name, timeout_s))
    except (ClientError, OSError) as error:
        return Error(UpstreamBroken(upstream.name, repr(error)))
    finally:
        hold.release()


def select_forwarded_headers(headers):
    """Return the caller's headers that are forwarded to the upstream."""
    return {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
