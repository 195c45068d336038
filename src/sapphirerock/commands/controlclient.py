"""Client of the routers' admin API, for the operators' command line."""

import asyncio
import uuid
from dataclasses import dataclass

from aiohttp import ClientError, ClientSession, ClientTimeout
from expression import Error, Ok

CALL_TIMEOUT_S = 5.0
STATUS_POLL_INTERVAL_S = 0.2


@dataclass(slots=True, frozen=True)
class ControlFailure(Exception):
    """A failed call to a router.

    Parameters
    ----------
    status : int
        HTTP status, or 0 if there was no response.
    detail : str
        Body of the response, or the connection error.
    """

    status: int
    detail: str


@dataclass(slots=True, frozen=True)
class RemoteObject:
    """A stored settings object; version 0 means that it does not exist.

    Parameters
    ----------
    operator : str
        Name of the operator who wrote it.
    """

    version: int
    document: dict | None
    operator: str = ""


class ControlClient:
    """A client of one router's admin API.

    Parameters
    ----------
    url : str
        URL of the router.
    token : str
        The operator's token.
    """

    __slots__ = ("_url", "_token", "_session")

    def __init__(self, url, token):
        self._url = url.rstrip("/")
        self._token = token
        self._session = None

    async def __aenter__(self):
        self._session = ClientSession(
            headers={"Authorization": f"Bearer {self._token}"},
            timeout=ClientTimeout(total=CALL_TIMEOUT_S),
        )
        return self

    async def __aexit__(self, *exception):
        await self._session.close()

    async def get(self, path):
        """Read a settings object.

        Returns
        -------
        expression.Result of RemoteObject or ControlFailure
        """
        result = await self._call("GET", f"/admin/settings/{path}")
        if result.is_error():
            if result.error.status == 404:
                return Ok(RemoteObject(0, None))
            return result
        document, headers = result.ok
        operator = headers.get("Sapphirerock-Operator", "")
        return Ok(RemoteObject(int(headers["ETag"]), document, operator))

    async def put(self, path, document, version, change_id=None):
        """Write a settings object if its stored version is still the given one.

        A call with the `change_id` of an earlier one is a retry of the same change.

        Returns
        -------
        expression.Result of int or ControlFailure
            The new version.
        """
        headers = {"If-Match": str(version), "Change-Id": change_id or uuid.uuid4().hex}
        result = await self._call(
            "PUT", f"/admin/settings/{path}", json=document, headers=headers
        )
        return result.map(lambda reply: reply[0]["version"])

    async def read_status(self, url=None):
        """Read the status of this router, or of the one at a URL.

        Returns
        -------
        expression.Result of dict or ControlFailure
        """
        result = await self._call("GET", "/admin/status", base=url)
        return result.map(lambda reply: reply[0])

    async def wait_in_force(self, version, timeout_s):
        """Wait until a version is in force on every live host, or until the timeout.

        Returns
        -------
        expression.Result of list of str or ControlFailure
            URLs of the hosts where it is not in force at the timeout.
        """
        status = await self.read_status()
        if status.is_error():
            return status
        missing = {self._url, *status.ok["host_urls"]}
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while missing and asyncio.get_running_loop().time() < deadline_s:
            for url in list(missing):
                polled = await self.read_status(url)
                if polled.is_ok() and polled.ok["settings_horizon"] >= version:
                    missing.discard(url)
            if missing:
                await asyncio.sleep(STATUS_POLL_INTERVAL_S)
        return Ok(sorted(missing))

    async def _call(self, method, path, base=None, **options):
        try:
            async with self._session.request(
                method, (base or self._url) + path, **options
            ) as response:
                if response.status >= 400:
                    return Error(ControlFailure(response.status, await response.text()))
                return Ok((await response.json(), response.headers))
        except (ClientError, TimeoutError, OSError) as error:
            return Error(ControlFailure(0, repr(error)))
