"""Calls of the operators' command line to routers."""

import asyncio
import uuid
from dataclasses import dataclass

from aiohttp import ClientError, ClientSession, ClientTimeout
from expression import Error, Ok

CALL_TIMEOUT_S = 5.0
POLL_S = 0.2


@dataclass(slots=True, frozen=True)
class ControlFailure(Exception):
    """A router did not do what it was asked.

    Parameters
    ----------
    status : int
        HTTP status; 0 when there was no answer.
    detail : str
        What the router said.
    """

    status: int
    detail: str


@dataclass(slots=True, frozen=True)
class RemoteObject:
    """A settings object as the platform has it; version 0 when there is none."""

    version: int
    document: dict | None
    operator: str = ""


class ControlClient:
    """An operator's calls to one router.

    Parameters
    ----------
    url : str
        Address of the router.
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
        """Read an object.

        Returns
        -------
        expression.Result of RemoteObject or ControlFailure
        """
        answer = await self._call("GET", f"/admin/settings/{path}")
        if answer.is_error():
            if answer.error.status == 404:
                return Ok(RemoteObject(0, None))
            return answer
        document, headers = answer.ok
        operator = headers.get("Sapphirerock-Operator", "")
        return Ok(RemoteObject(int(headers["ETag"]), document, operator))

    async def put(self, path, document, version, change=None):
        """Write an object that still has a version.

        Returns
        -------
        expression.Result of int or ControlFailure
            The new version.
        """
        headers = {"If-Match": str(version), "Change-Id": change or uuid.uuid4().hex}
        answer = await self._call(
            "PUT", f"/admin/settings/{path}", json=document, headers=headers
        )
        return answer.map(lambda found: found[0]["version"])

    async def read_status(self, url=None):
        """Read a router's status.

        Returns
        -------
        expression.Result of dict or ControlFailure
        """
        answer = await self._call("GET", "/admin/status", base=url)
        return answer.map(lambda found: found[0])

    async def wait_in_force(self, version, bound_s):
        """Wait until every live host has a version in force.

        Returns
        -------
        expression.Result of list of str or ControlFailure
            Hosts that do not have it within the bound.
        """
        status = await self.read_status()
        if status.is_error():
            return status
        missing = {self._url, *status.ok["host_urls"]}
        deadline_s = asyncio.get_running_loop().time() + bound_s
        while missing and asyncio.get_running_loop().time() < deadline_s:
            for url in list(missing):
                found = await self.read_status(url)
                if found.is_ok() and found.ok["settings_horizon"] >= version:
                    missing.discard(url)
            if missing:
                await asyncio.sleep(POLL_S)
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
