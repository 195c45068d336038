"""The platform stand-in: versions, conditional updates, watches, the live list."""

import asyncio
import time
from collections import Counter

import orjson
from aiohttp import web

from sapphirerock.standin.faults import FaultState, drop_connection

VALUE_LIMIT_BYTES = 1 << 20
WAIT_LIMIT_S = 30.0


class StoredObject:
    """One version of one object; a deletion keeps its version."""

    __slots__ = ("value", "version", "deleted")

    def __init__(self, value, version, deleted=False):
        self.value = value
        self.version = version
        self.deleted = deleted


class PlatformStandin(FaultState):
    """The object API and the list of hosts.

    Parameters
    ----------
    hosts : list of dict
        Entries of the live list as JSON objects.
    delay_s : float
        Time that a call takes, in seconds.
    list_lag_s : float
        How far the list lags, in seconds.
    writes_per_s : float or None
        Writes that are let through in a second; all when None.
    """

    def __init__(self, hosts=(), delay_s=0.001, list_lag_s=0.0, writes_per_s=None):
        super().__init__()
        self._write_interval_s = 1 / writes_per_s if writes_per_s else 0.0
        self._next_write_s = 0.0
        self.objects = {}
        self.version = 0
        self.delay_s = delay_s
        self.list_lag_s = list_lag_s
        self.calls = Counter()
        self._changed = asyncio.Event()
        self._history = []
        self._hosts_log = [(0.0, list(hosts))]

    def make_application(self):
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=2 * VALUE_LIMIT_BYTES, middlewares=[self._count]
        )
        application.add_routes(
            [
                web.get("/objects", self._list),
                web.get("/objects/{path:.*}", self._get),
                web.put("/objects/{path:.*}", self._put),
                web.delete("/objects/{path:.*}", self._delete),
                web.get("/hosts", self._hosts),
                web.put("/hosts", self._set_hosts),
                web.get("/calls", self._calls),
                web.post("/faults", self.handle_fault),
            ]
        )
        return application

    @web.middleware
    async def _count(self, request, handler):
        if request.path in ("/faults", "/calls"):
            return await handler(request)
        kind = request.method if request.path != "/hosts" else "HOSTS"
        if request.path == "/objects":
            kind = "WATCH" if "wait" in request.query else "LIST"
        self.calls[kind] += 1
        if self.is_down:
            return web.Response(status=503)
        await asyncio.sleep(self.delay_s * self.slowness)
        if request.method in ("PUT", "DELETE"):
            await self._wait_write()
        return await handler(request)

    async def _wait_write(self):
        """Wait until the next write is let through."""
        now_s = time.monotonic()
        self._next_write_s = max(now_s, self._next_write_s + self._write_interval_s)
        await asyncio.sleep(self._next_write_s - now_s)

    async def _calls(self, request):
        return web.json_response(dict(self.calls))

    def _view(self, path):
        """Return the object as reads see it, stale where that fault is on."""
        if self.stale_s <= 0:
            return self.objects.get(path)
        limit_s = time.monotonic() - self.stale_s
        seen = [item for at, key, item in self._history if key == path and at < limit_s]
        return seen[-1] if seen else None

    async def _get(self, request):
        item = self._view(request.match_info["path"])
        if item is None or item.deleted:
            raise web.HTTPNotFound
        return web.Response(body=item.value, headers={"ETag": str(item.version)})

    async def _put(self, request):
        body = await request.read()
        if len(body) > VALUE_LIMIT_BYTES:
            raise web.HTTPRequestEntityTooLarge(VALUE_LIMIT_BYTES, len(body))
        return self._write(request, body, deleted=False)

    async def _delete(self, request):
        return self._write(request, b"", deleted=True)

    def _write(self, request, body, deleted):
        path = request.match_info["path"]
        current = self.objects.get(path)
        standing = current is not None and not current.deleted
        match = request.headers.get("If-Match")
        if match is not None and (not standing or str(current.version) != match):
            raise web.HTTPPreconditionFailed
        if request.headers.get("If-None-Match") == "*" and standing:
            raise web.HTTPPreconditionFailed
        self.version += 1
        item = StoredObject(body, self.version, deleted)
        self.objects[path] = item
        self._history.append((time.monotonic(), path, item))
        self._changed.set()
        self._changed = asyncio.Event()
        if self.take_lost_answer():
            return drop_connection(request)
        return web.Response(status=200, headers={"ETag": str(self.version)})

    async def _list(self, request):
        prefix = request.query.get("prefix", "")
        after = int(request.query.get("after", "0"))
        wait_s = min(float(request.query.get("wait", "0")), WAIT_LIMIT_S)
        deadline_s = time.monotonic() + wait_s
        while True:
            changed = self._changed
            found = self._find_changes(prefix, after)
            if found or time.monotonic() >= deadline_s or self.is_down:
                break
            try:
                async with asyncio.timeout(deadline_s - time.monotonic()):
                    await changed.wait()
            except TimeoutError:
                pass
        if self.is_down:
            return web.Response(status=503)
        horizon = max([after] + [change["version"] for change in found])
        return web.Response(
            body=orjson.dumps({"changes": found, "horizon": horizon}),
            content_type="application/json",
        )

    def _find_changes(self, prefix, after):
        changes = []
        for path in [path for path in self.objects if path.startswith(prefix)]:
            item = self._view(path)
            if item is not None and item.version > after:
                changes.append(
                    {
                        "path": path,
                        "version": item.version,
                        "deleted": item.deleted,
                        "value": item.value.decode(),
                    }
                )
        return sorted(changes, key=lambda change: change["version"])

    async def _hosts(self, request):
        limit_s = time.monotonic() - self.list_lag_s
        visible = [hosts for at_s, hosts in self._hosts_log if at_s <= limit_s]
        return web.json_response({"hosts": visible[-1], "version": len(visible)})

    async def _set_hosts(self, request):
        self._hosts_log.append((time.monotonic(), await request.json()))
        return web.json_response({"version": len(self._hosts_log)})
