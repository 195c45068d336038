"""The platform stand-in: objects by kind, revisions, conditions, watches, faults."""

import asyncio
import time
from collections import Counter, deque
from dataclasses import dataclass, replace

from aiohttp import web

from sapphirerock.connection.storeobjects import (
    ObjectEvent,
    ObjectEvents,
    ObjectPage,
    StoredObject,
)
from sapphirerock.platform import storewire
from sapphirerock.platform.names import OBJECTS_PATH
from sapphirerock.standin.faults import FaultState, drop_connection

VALUE_LIMIT_BYTES = 1 << 20
PAGE_OBJECTS = 500
WAIT_LIMIT_S = 30.0
CONTROL_PATHS = ("/faults", "/calls")
# Long enough for any caller to have given up.
SILENCE_S = 3600.0


@dataclass(slots=True, frozen=True)
class Change:
    """One change of one object, and when it was made."""

    kind: str
    event: ObjectEvent
    revision: int
    at_s: float


class PlatformStandin(FaultState):
    """The store of a platform.

    Parameters
    ----------
    delay_s : float
        Time that a call takes, in seconds.
    writes_per_s : float or None
        Writes that are let through in a second; all when None.
    history : int
        Changes that watches can go back.
    """

    def __init__(self, delay_s=0.001, writes_per_s=None, history=10_000):
        super().__init__()
        self._write_interval_s = 1 / writes_per_s if writes_per_s else 0.0
        self._next_write_s = 0.0
        self.objects = {}
        self.revision = 1
        self.delay_s = delay_s
        self.calls = Counter()
        self._changed = asyncio.Event()
        self._history = deque(maxlen=history)
        # Revision up to which changes are forgotten.
        self._forgotten = 0

    def make_application(self):
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=2 * VALUE_LIMIT_BYTES, middlewares=[self._meet]
        )
        kind, name = f"{OBJECTS_PATH}/{{kind}}", f"{OBJECTS_PATH}/{{kind}}/{{name:.+}}"
        application.add_routes(
            [
                web.get(kind, self._list_or_watch),
                web.post(kind, self._create),
                web.get(name, self._get),
                web.put(name, self._put),
                web.delete(name, self._delete),
                web.get("/calls", self._calls),
                web.post("/faults", self.handle_fault),
            ]
        )
        return application

    @web.middleware
    async def _meet(self, request, handler):
        """Count a call and let the faults in force meet it."""
        if request.path in CONTROL_PATHS:
            return await handler(request)
        kind = request.method
        if kind == "GET" and "name" not in request.match_info:
            kind = "WATCH" if "watch" in request.query else "LIST"
        self.calls[kind] += 1
        if self.turns_away(request.remote):
            return await self._turn_away(request)
        await asyncio.sleep(self.delay_s * self.slowness)
        if request.method != "GET":
            await self._wait_write()
        return await handler(request)

    async def _turn_away(self, request):
        """Answer as a store that is down, in the way that the fault names."""
        if self.down_manner == "silent":
            await asyncio.sleep(SILENCE_S)
        if self.down_manner == "reset":
            return drop_connection(request)
        return web.Response(status=429 if self.down_manner == "many" else 503)

    async def _wait_write(self):
        """Wait until the next write is let through."""
        now_s = time.monotonic()
        self._next_write_s = max(now_s, self._next_write_s + self._write_interval_s)
        await asyncio.sleep(self._next_write_s - now_s)

    async def _calls(self, request):
        return web.json_response(dict(self.calls))

    def forget_history(self):
        """Drop all changes so far."""
        self._forgotten = self.revision
        self._history.clear()

    def lapse(self, kind):
        """Drop all objects of a kind, as when their writers were not heard."""
        for item in list(self.objects.get(kind, {}).values()):
            del self.objects[kind][item.name]
            self._record(kind, ObjectEvent(item, is_deleted=True))

    def _view(self, kind, allows_stale=False):
        """Return the objects of a kind and the revision that they were read at.

        Reads that allow it are stale where that fault is on, or all reads.
        """
        objects = self.objects.get(kind, {})
        if self.stale_s <= 0 or not (allows_stale or self.all_stale):
            return objects, self.revision
        limit_s = time.monotonic() - self.stale_s
        past, revision = {}, 1
        for change in self._history:
            if change.at_s > limit_s:
                break
            revision = change.revision
            if change.kind == kind:
                name = change.event.object.name
                if change.event.is_deleted:
                    past.pop(name, None)
                else:
                    past[name] = change.event.object
        return past, revision

    async def _get(self, request):
        view, _ = self._view(request.match_info["kind"])
        item = view.get(request.match_info["name"])
        return answer_object(item) if item else web.Response(status=404)

    async def _create(self, request):
        kind = request.match_info["kind"]
        item = storewire.decode_request(await request.read())
        current = self.objects.get(kind, {}).get(item.name)
        if current is not None:
            return answer_object(current, 409)
        return self._store(request, kind, item)

    async def _put(self, request):
        kind, name = request.match_info["kind"], request.match_info["name"]
        body = await request.read()
        if len(body) > VALUE_LIMIT_BYTES:
            raise web.HTTPRequestEntityTooLarge(VALUE_LIMIT_BYTES, len(body))
        item = storewire.decode_request(body)
        current = self.objects.get(kind, {}).get(name)
        if current is None:
            return web.Response(status=404)
        if item.revision and item.revision != current.revision:
            return answer_object(current, 409)
        if item.spec == current.spec:
            return answer_object(current)
        return self._store(request, kind, item)

    async def _delete(self, request):
        kind, name = request.match_info["kind"], request.match_info["name"]
        current = self.objects.get(kind, {}).get(name)
        if current is None:
            return web.Response(status=404)
        revision = storewire.get_condition(request.query)
        if revision is not None and revision != current.revision:
            return answer_object(current, 409)
        del self.objects[kind][name]
        self._record(kind, ObjectEvent(current, is_deleted=True))
        if self.take_lost_answer():
            return drop_connection(request)
        return answer_object(current)

    def _store(self, request, kind, item):
        stored = replace(item, revision=self.revision + 1)
        self.objects.setdefault(kind, {})[item.name] = stored
        self._record(kind, ObjectEvent(stored, is_deleted=False))
        if self.take_lost_answer():
            return drop_connection(request)
        return answer_object(stored)

    def put_object(self, kind, name, spec):
        """Write an object, as another program of the platform would."""
        item = StoredObject(name, self.revision + 1, spec)
        self.objects.setdefault(kind, {})[name] = item
        self._record(kind, ObjectEvent(item, is_deleted=False))

    def _record(self, kind, event):
        self.revision += 1
        if len(self._history) == self._history.maxlen:
            self._forgotten = self._history[0].revision
        self._history.append(Change(kind, event, self.revision, time.monotonic()))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _list_or_watch(self, request):
        kind = request.match_info["kind"]
        query = storewire.read_list_query(request.query)
        if query.watched is None:
            return self._list(kind, query)
        return await self._watch(request, kind, query)

    def _list(self, kind, query):
        view, revision = self._view(kind, query.allows_stale)
        names = sorted(name for name in view if name > (query.after or ""))
        items = tuple(view[name] for name in names[:PAGE_OBJECTS])
        page = ObjectPage(items, len(names) > PAGE_OBJECTS, revision)
        return web.Response(body=storewire.encode_page(page))

    async def _watch(self, request, kind, query):
        deadline_s = time.monotonic() + min(query.wait_s, WAIT_LIMIT_S)
        while True:
            if query.watched < self._forgotten:
                return web.Response(status=410)
            changed = self._changed
            found = [
                change.event
                for change in self._history
                if change.kind == kind and change.revision > query.watched
            ]
            if found or time.monotonic() >= deadline_s:
                break
            try:
                async with asyncio.timeout(deadline_s - time.monotonic()):
                    await changed.wait()
            except TimeoutError:
                pass
            if self.turns_away(request.remote):
                return await self._turn_away(request)
        events = ObjectEvents(tuple(found), self.revision)
        return web.Response(body=storewire.encode_events(events))


def answer_object(item, status=200):
    """Return an object as an answer."""
    return web.Response(status=status, body=storewire.encode_stored(item))
