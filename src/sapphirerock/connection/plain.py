"""Calls to one upstream of a plain service."""

from dataclasses import dataclass

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientTimeout,
    ConnectionTimeoutError,
)
from expression import Error, Ok

from sapphirerock.connection.errors import (
    UpstreamBroken,
    UpstreamSilent,
    UpstreamUnreachable,
)
from sapphirerock.connection.sessions import CONNECT_BOUND_S
from sapphirerock.process.telemetry.tracing import write_context

FORWARDED_HEADERS = ("Content-Type", "Accept", "Idempotency-Key")


@dataclass(slots=True, frozen=True)
class PlainRequest:
    """A caller's call as it goes to an upstream."""

    method: str
    path: str
    query: str
    headers: dict
    body: bytes


@dataclass(slots=True, frozen=True)
class PlainAnswer:
    """An upstream's answer."""

    status: int
    content_type: str
    body: bytes


async def send_plain(session, upstream, request, timeout_s, middlewares=()):
    """Send a call.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections to use.
    upstream : Upstream
        Where it goes.
    request : PlainRequest
        The call.
    timeout_s : float
        Bound of the whole call, in seconds.
    middlewares : tuple of aiohttp client middlewares
        Guards of the call.

    Returns
    -------
    expression.Result of PlainAnswer or ConnectionFailure
        `UpstreamUnreachable` means that no byte of the call was sent; after
        any other failure the call may have run.
    """
    url = f"{upstream.url}/{request.path}"
    if request.query:
        url += f"?{request.query}"
    try:
        async with session.request(
            request.method,
            url,
            data=request.body,
            headers=write_context(dict(request.headers)),
            timeout=ClientTimeout(total=timeout_s, sock_connect=CONNECT_BOUND_S),
            allow_redirects=False,
            middlewares=middlewares,
        ) as response:
            body = await response.read()
            return Ok(PlainAnswer(response.status, response.content_type, body))
    except ConnectionTimeoutError:
        return Error(UpstreamUnreachable(upstream.name, refused=False))
    except ClientConnectorError as error:
        refused = isinstance(error.os_error, ConnectionRefusedError)
        return Error(UpstreamUnreachable(upstream.name, refused))
    except TimeoutError:
        return Error(UpstreamSilent(upstream.name, timeout_s))
    except (ClientError, OSError) as error:
        return Error(UpstreamBroken(upstream.name, repr(error)))


def select_headers(headers):
    """Return the caller's headers that go to the upstream."""
    return {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
