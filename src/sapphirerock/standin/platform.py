"""Stand-in for the platform's store.

Stores objects by kind and supports revisions, conditional writes, watches and fault
injection.
"""

import asyncio
import time
from collections import Counter, deque
from dataclasses import dataclass, replace

import orjson
from aiohttp import web

from sapphirerock.connection.storeobjects import (
    ObjectEvent,
    ObjectEvents,
    ObjectPage,
    StoredObject,
)
from sapphirerock.platform import storewire
from sapphirerock.platform.names import OBJECTS_PATH, STORE_ERA
from sapphirerock.standin.faults import FaultState, drop_connection, register_fault

VALUE_LIMIT_BYTES = 1 << 20
MAX_PAGE_OBJECTS = 500
MAX_WATCH_WAIT_S = 30.0
CONTROL_PATHS = ("/faults", "/calls")
# Longer than the timeout of any caller.
HANG_S = 3600.0


@dataclass(slots=True, frozen=True)
class Change:
    """One change of one object, with its revision and its monotonic time."""

    kind: str
    event: ObjectEvent
    revision: int
    at_s: float


class PlatformStandin(FaultState):
    """Stand-in for the platform's store.

    Parameters
    ----------
    delay_s : float
        Duration of a call, in seconds.
    writes_per_s : float or None
        Maximum rate of writes. None means no limit.
    history_size : int
        Number of past changes kept for watches.

    Attributes
    ----------
    objects : dict
        Stored objects by name, by kind.
    revision : int
        Revision of the latest change.
    era : int
        Number of times that the store came back from an older copy.
    calls : Counter
        Number of calls by HTTP method; "LIST" and "WATCH" are counted apart from "GET".
    """

    def __init__(self, delay_s=0.001, writes_per_s=None, history_size=10_000):
        super().__init__()
        self._write_interval_s = 1 / writes_per_s if writes_per_s else 0.0
        self._next_write_s = 0.0
        self.objects = {}
        self.revision = 1
        self.era = 0
        self.delay_s = delay_s
        self.calls = Counter()
        self._changed = asyncio.Event()
        self._history = deque(maxlen=history_size)
        # Changes up to this revision are no longer in the history.
        self._compacted_revision = 0

    def make_application(self):
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=2 * VALUE_LIMIT_BYTES, middlewares=[self._apply_faults]
        )
        kind_path, object_path = (
            f"{OBJECTS_PATH}/{{kind}}",
            f"{OBJECTS_PATH}/{{kind}}/{{name:.+}}",
        )
        application.add_routes(
            [
                web.get(kind_path, self._list_or_watch),
                web.post(kind_path, self._create),
                web.get(object_path, self._get),
                web.put(object_path, self._replace_object),
                web.delete(object_path, self._delete),
                web.get("/calls", self._report_call_counts),
                web.post("/faults", self.handle_fault),
            ]
        )
        return application

    @web.middleware
    async def _apply_faults(self, request, handler):
        """Count a call and apply the active faults to it."""
        if request.path in CONTROL_PATHS:
            return await handler(request)
        operation = request.method
        if operation == "GET" and "name" not in request.match_info:
            operation = "WATCH" if "watch" in request.query else "LIST"
        self.calls[operation] += 1
        if self.rejects_address(request.remote):
            return await self._reject_call(request)
        await asyncio.sleep(self.delay_s * self.slowdown)
        if request.method != "GET":
            await self._throttle_write()
        response = await handler(request)
        response.headers[STORE_ERA] = str(self.era)
        return response

    async def _reject_call(self, request):
        """Fail a call as ``manner`` of the ``down`` fault demands."""
        if self.down_manner == "silent":
            await asyncio.sleep(HANG_S)
        if self.down_manner == "reset":
            return drop_connection(request)
        return web.Response(status=429 if self.down_manner == "many" else 503)

    async def _throttle_write(self):
        """Delay a write to keep within the maximum rate of writes."""
        now_s = time.monotonic()
        self._next_write_s = max(now_s, self._next_write_s + self._write_interval_s)
        await asyncio.sleep(self._next_write_s - now_s)

    async def _report_call_counts(self, request):
        return web.json_response(dict(self.calls))

    def compact_history(self):
        """Drop the history, so that watches from older revisions fail."""
        self._compacted_revision = self.revision
        self._history.clear()

    def restore_copy(self, age_s):
        """Go back to the state of some seconds ago and begin a new era."""
        cutoff_s = time.monotonic() - age_s
        kept = [change for change in self._history if change.at_s <= cutoff_s]
        self.objects, self.revision = {}, 1
        for change in kept:
            item = change.event.object
            if change.event.is_deleted:
                self.objects[change.kind].pop(item.name, None)
            else:
                self.objects.setdefault(change.kind, {})[item.name] = item
            self.revision = change.revision
        self._history = deque(kept, maxlen=self._history.maxlen)
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def expire_kind(self, kind):
        """Delete all objects of a kind, as if their writers no longer renewed them."""
        for item in list(self.objects.get(kind, {}).values()):
            del self.objects[kind][item.name]
            self._append_change(kind, ObjectEvent(item, is_deleted=True))

    def _read_objects(self, kind, allows_stale=False):
        """Return the objects of a kind by name, and the revision of that state.

        While the ``stale`` fault is active, reads that allow stale data, or all
        reads, return an older state.
        """
        objects = self.objects.get(kind, {})
        if self.staleness_s <= 0 or not (allows_stale or self.all_reads_stale):
            return objects, self.revision
        cutoff_s = time.monotonic() - self.staleness_s
        snapshot, revision = {}, 1
        for change in self._history:
            if change.at_s > cutoff_s:
                break
            revision = change.revision
            if change.kind == kind:
                name = change.event.object.name
                if change.event.is_deleted:
                    snapshot.pop(name, None)
                else:
                    snapshot[name] = change.event.object
        return snapshot, revision

    async def _get(self, request):
        objects_by_name, _ = self._read_objects(request.match_info["kind"])
        item = objects_by_name.get(request.match_info["name"])
        return make_object_response(item) if item else web.Response(status=404)

    async def _create(self, request):
        kind = request.match_info["kind"]
        item = storewire.decode_request(await request.read())
        current = self.objects.get(kind, {}).get(item.name)
        if current is not None:
            return make_object_response(current, 409)
        return self._store_and_respond(request, kind, item)

    async def _replace_object(self, request):
        kind, name = request.match_info["kind"], request.match_info["name"]
        is_status = name.endswith(storewire.STATUS_SUFFIX)
        name = name.removesuffix(storewire.STATUS_SUFFIX)
        body = await request.read()
        if len(body) > VALUE_LIMIT_BYTES:
            raise web.HTTPRequestEntityTooLarge(VALUE_LIMIT_BYTES, len(body))
        item = storewire.decode_request(body)
        current = self.objects.get(kind, {}).get(name)
        if current is None:
            return web.Response(status=404)
        if item.revision and item.revision != current.revision:
            return make_object_response(current, 409)
        if is_status:
            item = replace(current, status=item.status)
        else:
            item = replace(current, spec=item.spec)
        if item == current:
            return make_object_response(current)
        return self._store_and_respond(request, kind, item)

    async def _delete(self, request):
        kind, name = request.match_info["kind"], request.match_info["name"]
        current = self.objects.get(kind, {}).get(name)
        if current is None:
            return web.Response(status=404)
        revision = storewire.get_required_revision(request.query)
        if revision is not None and revision != current.revision:
            return make_object_response(current, 409)
        del self.objects[kind][name]
        self._append_change(kind, ObjectEvent(current, is_deleted=True))
        if self.consume_response_drop():
            return drop_connection(request)
        return make_object_response(current)

    def _store_and_respond(self, request, kind, item):
        stored = replace(item, revision=self.revision + 1)
        self.objects.setdefault(kind, {})[item.name] = stored
        self._append_change(kind, ObjectEvent(stored, is_deleted=False))
        if self.consume_response_drop():
            return drop_connection(request)
        return make_object_response(stored)

    def put_object(self, kind, name, spec):
        """Write an object without a condition, as another client of the store would."""
        item = StoredObject(name, self.revision + 1, spec)
        self.objects.setdefault(kind, {})[name] = item
        self._append_change(kind, ObjectEvent(item, is_deleted=False))

    def _append_change(self, kind, event):
        self.revision += 1
        if len(self._history) == self._history.maxlen:
            self._compacted_revision = self._history[0].revision
        self._history.append(Change(kind, event, self.revision, time.monotonic()))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _list_or_watch(self, request):
        kind = request.match_info["kind"]
        query = storewire.decode_list_query(request.query)
        if query.watched_revision is None:
            return self._list(kind, query)
        return await self._watch(request, kind, query)

    def _list(self, kind, query):
        objects_by_name, revision = self._read_objects(kind, query.allows_stale)
        names = sorted(name for name in objects_by_name if name > (query.after or ""))
        items = tuple(objects_by_name[name] for name in names[:MAX_PAGE_OBJECTS])
        page = ObjectPage(items, len(names) > MAX_PAGE_OBJECTS, revision)
        return web.Response(body=storewire.encode_page(page))

    async def _watch(self, request, kind, query):
        deadline_s = time.monotonic() + min(query.wait_s, MAX_WATCH_WAIT_S)
        while True:
            is_unknown = query.watched_revision > self.revision
            if is_unknown or query.watched_revision < self._compacted_revision:
                return web.Response(status=410)
            changed = self._changed
            matching_events = [
                change.event
                for change in self._history
                if change.kind == kind and change.revision > query.watched_revision
            ]
            if matching_events or time.monotonic() >= deadline_s:
                break
            try:
                async with asyncio.timeout(deadline_s - time.monotonic()):
                    await changed.wait()
            except TimeoutError:
                pass
            if self.rejects_address(request.remote):
                return await self._reject_call(request)
        events = ObjectEvents(tuple(matching_events), self.revision)
        return web.Response(body=storewire.encode_events(events))


@register_fault("raw-object")
def put_raw_object(standin, fault):
    """Write the object ``source`` (kind/name) with the JSON text in ``manner``."""
    kind, _, name = fault.source.partition("/")
    standin.put_object(kind, name, orjson.Fragment(fault.manner))


def make_object_response(item, status=200):
    """Return a response whose body is the object."""
    return web.Response(status=status, body=storewire.encode_stored_object(item))
