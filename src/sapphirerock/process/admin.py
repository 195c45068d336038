"""HTTP API for operators: settings and status."""

import re
import uuid

import orjson
from aiohttp import web
from expression import Error, Ok

from sapphirerock import __version__
from sapphirerock.connection.callerresponses import make_problem_response
from sapphirerock.platform.names import SETTINGS_KIND
from sapphirerock.process.gateway import BEARER_PREFIX, read_body
from sapphirerock.process.settings.store import SETTINGS_PREFIX
from sapphirerock.process.settings.writer import SettingsChange
from sapphirerock.request.problem import (
    FORBIDDEN,
    MALFORMED,
    NOT_FOUND,
    UNAUTHORISED,
    Problem,
)
from sapphirerock.version.objects import Operator

SETTINGS_PATH_PATTERN = re.compile(r"^[a-z0-9][a-z0-9-]*(/[a-z0-9][a-z0-9-]*)*$")


class Admin:
    """HTTP handlers of the operators' API.

    Parameters
    ----------
    router : RouterService
        Router whose settings and status are served.
    writer : SettingsWriter
        Checks and writes changes of settings.
    root_digest : str
        SHA-256 digest, in hex, of the root operator's token. The root operator may
        write all settings.
    """

    __slots__ = ("_router", "_writer", "_root_operator")

    def __init__(self, router, writer, root_digest):
        self._router = router
        self._writer = writer
        self._root_operator = Operator("root", root_digest, SETTINGS_PREFIX)

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
        """Return the stored document of a settings object."""
        authorised = self._authorise(request, writes=False)
        if authorised.is_error():
            return make_problem_response(authorised.error)
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
        """Create or replace a settings object."""
        body = await read_body(
            request, self._router.settings.max_body_bytes, self._router.runtime.random
        )
        if body.is_error():
            return make_problem_response(body.error)
        try:
            document = orjson.loads(body.ok)
        except orjson.JSONDecodeError as error:
            detail = f"the body is not JSON: {error}"
            return make_problem_response(Problem(MALFORMED, detail))
        return await self._write_change(request, document)

    async def handle_delete(self, request):
        """Delete a settings object."""
        return await self._write_change(request, None)

    async def _write_change(self, request, document):
        """Write a document, or delete the object if the document is None.

        ``If-Match`` holds the version that the operator has seen; it is 0 without the
        header. ``Change-Id`` lets an operator send the same change again.
        """
        authorised = self._authorise(request, writes=True)
        if authorised.is_error():
            return make_problem_response(authorised.error)
        expected = request.headers.get("If-Match", "0").strip('"')
        if not expected.isdigit():
            detail = f"If-Match {expected[:40]!r} is no version"
            return make_problem_response(Problem(MALFORMED, detail))
        change = SettingsChange(
            SETTINGS_PREFIX + request.match_info["path"],
            document,
            int(expected),
            request.headers.get("Change-Id") or uuid.uuid4().hex,
            authorised.ok.name,
        )
        written = await self._writer.write(change)
        if written.is_error():
            return make_problem_response(written.error)
        await self._router.feed.fetch(SETTINGS_KIND)
        return web.json_response(
            {"version": written.ok.version, "change_id": written.ok.change_id},
            headers={"ETag": str(written.ok.version)},
        )

    def _authorise(self, request, writes):
        """Return the operator with the request's token, if it may access the path.

        Returns
        -------
        expression.Result of Operator or Problem
        """
        path = request.match_info.get("path", "")
        if path and not SETTINGS_PATH_PATTERN.match(path):
            return Error(Problem(MALFORMED, f"{path[:80]!r} is no path of settings"))
        header = request.headers.get("Authorization", "")
        token = header[len(BEARER_PREFIX) :] if header.startswith(BEARER_PREFIX) else ""
        operator = self._find_operator(token)
        if operator is None:
            return Error(Problem(UNAUTHORISED, "no operator has this token"))
        full_path = SETTINGS_PREFIX + path
        if writes and not full_path.startswith(operator.subtree):
            detail = f"{operator.name} writes below {operator.subtree} only"
            return Error(Problem(FORBIDDEN, detail))
        return Ok(operator)

    def _find_operator(self, token):
        snapshot = self._router.runtime.settings.snapshot
        return snapshot.find_operator(token, extra_operator=self._root_operator)

    async def handle_status(self, request):
        """Return the settings in force, the known hosts and the upstreams' load."""
        authorised = self._authorise(request, writes=False)
        if authorised.is_error():
            return make_problem_response(authorised.error)
        return web.Response(
            body=orjson.dumps(self._describe_status()), content_type="application/json"
        )

    def _describe_status(self):
        router = self._router
        runtime = router.runtime
        own_address = router.settings.address
        return {
            "version": __version__,
            "host": own_address.host,
            "incarnation": router.peers.incarnation,
            "availability_zone": own_address.availability_zone,
            "leaving": router.gateway.is_shutting_down,
            "settings_horizon": runtime.settings.horizon,
            "settings": runtime.settings.list_versions(),
            "settings_refused": runtime.settings.faults,
            "is_watcher": router.feed.is_watcher,
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
            "convicted": len(runtime.quarantine.list_blocked()),
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
    """Return an upstream's entry in the status."""
    return {
        "name": state.name,
        "usable": upstreams.is_usable(state),
        "leaving": state.is_draining,
        "incarnation": state.incarnation,
        "running": state.running,
        "queued": state.queued,
        "capacity": state.capacity,
        "in_flight": state.in_flight,
        "models": state.models or [],
    }
