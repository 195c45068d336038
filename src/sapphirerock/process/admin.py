"""The HTTP face towards operators: settings and status."""

import re
import uuid
from dataclasses import dataclass

import orjson
from aiohttp import web
from expression import Error, Ok

from sapphirerock import __version__
from sapphirerock.connection.caller import make_problem_response
from sapphirerock.connection.errors import PlatformConflict
from sapphirerock.process.gateway import BEARER, read_body
from sapphirerock.process.settings import SETTINGS_PREFIX, Envelope, decode_envelope
from sapphirerock.request.problem import (
    CONFLICT,
    FORBIDDEN,
    MALFORMED,
    NOT_FOUND,
    PLATFORM_UNAVAILABLE,
    REFUSED_SETTINGS,
    UNAUTHORISED,
    Problem,
)
from sapphirerock.version.objects import Operator, OperatorList, decode_settings

PATH_PATTERN = re.compile(r"^[a-z0-9][a-z0-9-]*(/[a-z0-9][a-z0-9-]*)*$")
WRITE_TRIES = 4
WRITE_PAUSE_S = 0.25
RETRY_AFTER_S = 2


@dataclass(slots=True, frozen=True)
class SettingsChange:
    """One change that an operator asks for.

    Parameters
    ----------
    path : str
        Path of the object in the platform.
    document : dict or None
        New settings; None to delete.
    expected : int
        Version that the operator saw; 0 for a new object.
    change : str
        Id by which a resent change is known.
    operator : str
        Who asks.
    """

    path: str
    document: dict | None
    expected: int
    change: str
    operator: str


@dataclass(slots=True, frozen=True)
class Accepted:
    """The version that a change was accepted as."""

    version: int
    change: str


class SettingsWriter:
    """Accept changes of settings: check, write, read back after a lost answer.

    Parameters
    ----------
    platform : PlatformClient
        Where settings are kept.
    store : SettingsStore
        Settings in force, for references.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_platform", "_store", "_clock")

    def __init__(self, platform, store, clock):
        self._platform = platform
        self._store = store
        self._clock = clock

    async def read(self, path):
        """Read an object from the platform.

        Returns
        -------
        expression.Result of (StoredValue, Envelope) or Problem
        """
        read = await self._platform.get(path)
        if read.is_error():
            return Error(make_unavailable("the platform did not answer"))
        if not read.ok.version:
            return Ok((read.ok, Envelope({})))
        envelope = decode_envelope(read.ok.value)
        return Ok((read.ok, envelope.default_value(Envelope({}))))

    async def write(self, change):
        """Bring a change into force.

        A change whose answer was lost is found by its id when it is sent again,
        and is not applied twice.

        Returns
        -------
        expression.Result of Accepted or Problem
        """
        refused = self._check(change)
        if refused is not None:
            return Error(refused)
        for _ in range(WRITE_TRIES):
            result = await self._try_write(change)
            if result.is_ok() or result.error.kind is not PLATFORM_UNAVAILABLE:
                return result
            await self._clock.sleep(WRITE_PAUSE_S)
        return result

    def _check(self, change):
        """Return why a document can't be taken, or None."""
        if change.document is None:
            return None
        decoded = decode_settings(change.document)
        if decoded.is_error():
            faults = "; ".join(str(fault) for fault in decoded.error.faults)
            return Problem(REFUSED_SETTINGS, f"{change.path}: {faults}")
        if isinstance(decoded.ok, OperatorList):
            outside = self._find_outside(change, decoded.ok)
            if outside:
                detail = f"{change.path}: subtree {outside!r} is not below the path"
                return Problem(REFUSED_SETTINGS, detail)
        dangling = self._store.snapshot.find_dangling_references(decoded.ok)
        if dangling:
            detail = f"{change.path}: nothing defines {', '.join(dangling)}"
            return Problem(REFUSED_SETTINGS, detail)
        return None

    def _find_outside(self, change, operators):
        """Return a subtree that the path's own subtree does not contain."""
        own = change.path.rsplit("/", 1)[0] + "/"
        for operator in operators.operators:
            if not operator.subtree.startswith(own):
                return operator.subtree
        return None

    async def _try_write(self, change):
        read = await self.read(change.path)
        if read.is_error():
            return read
        stored, envelope = read.ok
        if change.change in envelope.changes:
            return Ok(Accepted(stored.version, change.change))
        if change.document is None and not stored.version:
            return Ok(Accepted(change.expected, change.change))
        if stored.version != change.expected:
            detail = f"{change.path} has version {stored.version}, by "
            detail += f"{envelope.operator or 'nobody'}, not {change.expected}"
            return Error(Problem(CONFLICT, detail))
        return await self._put(change, envelope, stored.version)

    async def _put(self, change, envelope, version):
        if change.document is None:
            written = await self._platform.delete(change.path, version)
        else:
            following = envelope.follow(change.document, change.operator, change.change)
            written = await self._platform.put(change.path, following.encode(), version)
        if written.is_ok():
            return Ok(Accepted(written.ok, change.change))
        if isinstance(written.error, PlatformConflict):
            return Error(Problem(CONFLICT, f"{change.path} was changed meanwhile"))
        return Error(make_unavailable("the change may or may not have been taken"))


class Admin:
    """Handlers of operators' requests.

    Parameters
    ----------
    router : RouterService
        The process.
    writer : SettingsWriter
        Accepts changes.
    root_digest : str
        SHA-256 of the token that may write everything.
    """

    __slots__ = ("_router", "_writer", "_root")

    def __init__(self, router, writer, root_digest):
        self._router = router
        self._writer = writer
        self._root = Operator("root", root_digest, SETTINGS_PREFIX)

    def add_routes(self, application):
        """Add the operators' routes."""
        application.add_routes(
            [
                web.get("/admin/settings/{path:.*}", self.handle_get),
                web.put("/admin/settings/{path:.*}", self.handle_put),
                web.delete("/admin/settings/{path:.*}", self.handle_delete),
                web.get("/admin/status", self.handle_status),
            ]
        )

    async def handle_get(self, request):
        """Return one object as the platform has it."""
        allowed = self._authorise(request, writes=False)
        if allowed.is_error():
            return make_problem_response(allowed.error)
        path = SETTINGS_PREFIX + request.match_info["path"]
        read = await self._writer.read(path)
        if read.is_error():
            return make_problem_response(read.error)
        stored, envelope = read.ok
        if not stored.version:
            return make_problem_response(Problem(NOT_FOUND, f"no object {path}"))
        return web.Response(
            body=orjson.dumps(envelope.document),
            content_type="application/json",
            headers={
                "ETag": str(stored.version),
                "Sapphirerock-Operator": envelope.operator,
            },
        )

    async def handle_put(self, request):
        """Accept new settings."""
        body = await read_body(request)
        if body.is_error():
            return make_problem_response(body.error)
        try:
            document = orjson.loads(body.ok)
        except orjson.JSONDecodeError as error:
            detail = f"the body is not JSON: {error}"
            return make_problem_response(Problem(MALFORMED, detail))
        return await self._change(request, document)

    async def handle_delete(self, request):
        """Accept a deletion."""
        return await self._change(request, None)

    async def _change(self, request, document):
        allowed = self._authorise(request, writes=True)
        if allowed.is_error():
            return make_problem_response(allowed.error)
        expected = request.headers.get("If-Match", "0").strip('"')
        if not expected.isdigit():
            detail = f"If-Match {expected[:40]!r} is no version"
            return make_problem_response(Problem(MALFORMED, detail))
        change = SettingsChange(
            SETTINGS_PREFIX + request.match_info["path"],
            document,
            int(expected),
            request.headers.get("Change-Id") or uuid.uuid4().hex,
            allowed.ok.name,
        )
        written = await self._writer.write(change)
        if written.is_error():
            return make_problem_response(written.error)
        await self._router.spread.fetch()
        return web.json_response(
            {"version": written.ok.version, "change_id": written.ok.change},
            headers={"ETag": str(written.ok.version)},
        )

    def _authorise(self, request, writes):
        """Return the operator, if the path is within reach.

        Returns
        -------
        expression.Result of Operator or Problem
        """
        path = request.match_info.get("path", "")
        if path and not PATH_PATTERN.match(path):
            return Error(Problem(MALFORMED, f"{path[:80]!r} is no path of settings"))
        header = request.headers.get("Authorization", "")
        token = header[len(BEARER) :] if header.startswith(BEARER) else ""
        operator = self._find_operator(token)
        if operator is None:
            return Error(Problem(UNAUTHORISED, "no operator has this token"))
        full = SETTINGS_PREFIX + path
        if writes and not full.startswith(operator.subtree):
            detail = f"{operator.name} writes below {operator.subtree} only"
            return Error(Problem(FORBIDDEN, detail))
        return Ok(operator)

    def _find_operator(self, token):
        snapshot = self._router.runtime.settings.snapshot
        return snapshot.find_operator(token, also=self._root)

    async def handle_status(self, request):
        """Return what is in force and who is known."""
        allowed = self._authorise(request, writes=False)
        if allowed.is_error():
            return make_problem_response(allowed.error)
        return web.Response(
            body=orjson.dumps(self._describe()), content_type="application/json"
        )

    def _describe(self):
        router = self._router
        runtime = router.runtime
        own = router.settings.address
        return {
            "version": __version__,
            "host": own.host,
            "incarnation": router.peers.incarnation,
            "availability_zone": own.availability_zone,
            "leaving": router.gateway.leaving,
            "settings_horizon": runtime.settings.horizon,
            "settings": runtime.settings.list_versions(),
            "settings_refused": runtime.settings.faults,
            "is_watcher": router.spread.is_watcher,
            "peers": sorted(router.peers.streams),
            "hosts": [address.host for address in router.peers.hosts.list_live()],
            "host_urls": [
                f"http://{address.address}:{address.caller_port}"
                for address in router.peers.hosts.list_live()
            ],
            "services": describe_services(runtime.settings.snapshot),
            "routes": describe_routes(runtime.settings.snapshot),
            "generations": len(router.generations.active),
            "journal_records": len(router.journal_store),
            "suspects": len(runtime.quarantine),
            "convicted": len(runtime.quarantine.list_convicted()),
            "upstreams": [
                describe_upstream(runtime.upstreams, state)
                for state in runtime.upstreams.list_all()
            ],
        }


def describe_services(snapshot):
    """Return the names of each service's upstreams."""
    return {
        name: [upstream.name for upstream in service.upstreams]
        for name, service in snapshot.services.items()
    }


def describe_routes(snapshot):
    """Return each model's routes."""
    return {
        model: [
            {"service": route.service, "organisations": list(route.organisations)}
            for route in routes
        ]
        for model, routes in snapshot.routes.items()
    }


def describe_upstream(upstreams, state):
    """Return an upstream's line of the status."""
    return {
        "name": state.name,
        "usable": upstreams.is_usable(state),
        "leaving": state.leaving,
        "incarnation": state.incarnation,
        "running": state.running,
        "queued": state.queued,
        "capacity": state.capacity,
        "in_flight": state.in_flight,
        "models": state.models or [],
    }


def make_unavailable(detail):
    """Return the answer when the platform can't be asked."""
    return Problem(PLATFORM_UNAVAILABLE, detail, RETRY_AFTER_S)
