"""The platform's object API: versions, conditional updates, watches, hosts."""

from dataclasses import dataclass

import orjson
from aiohttp import ClientError, ClientTimeout
from expression import Error, Ok
from opentelemetry.trace import NoOpTracer, SpanKind

from sapphirerock.connection.errors import PlatformConflict, PlatformUnavailable
from sapphirerock.connection.singleuse import SingleUse

CALL_TIMEOUT_S = 1.0
WATCH_MARGIN_S = 2.0
STATUS_CONFLICT = 412
STATUS_NOT_FOUND = 404


@dataclass(slots=True, frozen=True)
class StoredValue:
    """An object as read; version 0 stands for one that does not exist."""

    version: int
    value: bytes


@dataclass(slots=True, frozen=True)
class Change:
    """One change from a watch."""

    path: str
    version: int
    deleted: bool
    value: str


@dataclass(slots=True, frozen=True)
class ChangeList:
    """Changes after a version and the version that they reach."""

    changes: tuple
    horizon: int


@dataclass(slots=True, frozen=True)
class HostEntry:
    """One line of the platform's list of live and leaving hosts."""

    host: str
    availability_zone: str
    region: str
    address: str
    caller_port: int
    peer_port: int
    role: str = "router"
    leaving: bool = False


@dataclass(slots=True, frozen=True)
class HostList:
    """The platform's list of hosts; a higher version is newer."""

    version: int
    entries: tuple


class PlatformClient:
    """Calls to the platform, counted by kind.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections to use.
    url : str
        Base address.
    metrics : Metrics
        Where calls are counted.
    tracer : opentelemetry.trace.Tracer
        Makes a span for each call.
    timeout_s : float
        Bound of one call, in seconds.
    """

    __slots__ = ("_session", "_url", "_metrics", "_tracer", "_timeout")

    def __init__(self, session, url, metrics, tracer=None, timeout_s=CALL_TIMEOUT_S):
        self._session = session
        self._url = url
        self._metrics = metrics
        self._tracer = tracer or NoOpTracer()
        self._timeout = ClientTimeout(total=timeout_s)

    async def get(self, path):
        """Read an object.

        Returns
        -------
        expression.Result of StoredValue or PlatformUnavailable
        """
        return await self._call("read", "GET", f"/objects/{path}", self._read_value)

    async def put(self, path, value, version):
        """Write an object if it still has a version; 0 creates it.

        Returns
        -------
        expression.Result of int or ConnectionFailure
            The new version, `PlatformConflict`, or `PlatformUnavailable` when
            the write may have taken effect.
        """
        return await self._write("PUT", path, value, version)

    async def delete(self, path, version):
        """Delete an object if it still has a version."""
        return await self._write("DELETE", path, None, version)

    async def watch(self, prefix, after, wait_s):
        """Wait for changes below a prefix after a version.

        Returns
        -------
        expression.Result of ChangeList or PlatformUnavailable
        """
        query = {"prefix": prefix, "after": str(after)}
        timeout = self._timeout
        if wait_s:
            query["wait"] = str(wait_s)
            timeout = ClientTimeout(total=wait_s + WATCH_MARGIN_S)
        return await self._call(
            "watch" if wait_s else "list",
            "GET",
            "/objects",
            read_changes,
            params=query,
            timeout=timeout,
        )

    async def list_hosts(self):
        """Read the live list.

        Returns
        -------
        expression.Result of HostList or PlatformUnavailable
        """
        return await self._call("hosts", "GET", "/hosts", read_hosts)

    async def _write(self, method, path, value, version):
        headers = {"If-Match": str(version)} if version else {"If-None-Match": "*"}

        async def read_version(response):
            if response.status == STATUS_CONFLICT:
                return Error(PlatformConflict(path))
            if response.status >= 400:
                return Error(PlatformUnavailable(f"status {response.status}"))
            return Ok(int(response.headers["ETag"]))

        return await self._call(
            "write",
            method,
            f"/objects/{path}",
            read_version,
            data=value,
            headers=headers,
            # A repeated write would meet the version that it made itself.
            middlewares=(SingleUse(),),
        )

    async def _read_value(self, response):
        if response.status == STATUS_NOT_FOUND:
            return Ok(StoredValue(0, b""))
        if response.status >= 400:
            return Error(PlatformUnavailable(f"status {response.status}"))
        return Ok(StoredValue(int(response.headers["ETag"]), await response.read()))

    async def _call(self, kind, method, path, read, timeout=None, **options):
        self._metrics.platform_calls.labels(kind).inc()
        with self._tracer.start_as_current_span(
            f"platform {kind}", kind=SpanKind.CLIENT
        ):
            try:
                async with self._session.request(
                    method,
                    self._url + path,
                    timeout=timeout or self._timeout,
                    **options,
                ) as response:
                    return await read(response)
            except (TimeoutError, ClientError, OSError) as error:
                return Error(PlatformUnavailable(repr(error)))
            except (ValueError, KeyError) as error:
                return Error(PlatformUnavailable(f"malformed answer: {error!r}"))


async def read_changes(response):
    """Decode the answer to a list or watch call."""
    if response.status >= 400:
        return Error(PlatformUnavailable(f"status {response.status}"))
    document = orjson.loads(await response.read())
    changes = tuple(Change(**item) for item in document["changes"])
    return Ok(ChangeList(changes, document["horizon"]))


async def read_hosts(response):
    """Decode the live list."""
    if response.status >= 400:
        return Error(PlatformUnavailable(f"status {response.status}"))
    document = orjson.loads(await response.read())
    entries = tuple(HostEntry(**item) for item in document["hosts"])
    return Ok(HostList(document["version"], entries))
