"""Calls to the platform's store: lists, watches and conditional writes."""

from aiohttp import ClientConnectorError, ClientError, ClientTimeout
from expression import Error, Ok
from opentelemetry.trace import NoOpTracer, SpanKind

from sapphirerock.connection.singleuse import SingleUse
from sapphirerock.connection.storeobjects import (
    HistoryGone,
    ObjectMissing,
    ObjectPage,
    StoreConflict,
    StoreUnavailable,
)
from sapphirerock.platform import storewire

# The store answers in milliseconds; a slow one takes some hundred.
CALL_TIMEOUT_S = 1.0
# A watch without changes is answered at the end of its wait, or never.
WATCH_MARGIN_S = 0.5
STATUS_MISSING = 404
STATUS_CONFLICT = 409
STATUS_GONE = 410
NOTHING_DONE_STATUSES = (429, 503)


class StoreClient:
    """Calls to the store, counted by kind.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections to use, each for one call: one that was kept may be silent.
    url : str
        Address of the store.
    metrics : Metrics
        Where calls are counted.
    tracer : opentelemetry.trace.Tracer or None
        Makes a span for each call.
    timeout_s : float
        Bound of a call that does not wait, in seconds.
    """

    __slots__ = ("_session", "url", "_metrics", "_tracer", "_timeout_s")

    def __init__(self, session, url, metrics, tracer=None, timeout_s=CALL_TIMEOUT_S):
        self._session = session
        self.url = url
        self._metrics = metrics
        self._tracer = tracer or NoOpTracer()
        self._timeout_s = timeout_s

    async def list_page(self, kind, after=None, allows_stale=False):
        """Read a part of a kind's objects.

        Parameters
        ----------
        after : str or None
            Name that the part begins after.
        allows_stale : bool
            Whether an answer may be seconds old; such calls cost less.

        Returns
        -------
        expression.Result of ObjectPage or StoreFailure
        """
        query = storewire.make_list_query(after, allows_stale)
        return await self._call(
            "list", "GET", storewire.make_path(kind), storewire.read_page, query
        )

    async def list_all(self, kind):
        """Read all objects of a kind.

        Returns
        -------
        expression.Result of ObjectPage or StoreFailure
            Its revision is that of the first part: changes after it may or may
            not be contained.
        """
        objects, after, revision = [], None, None
        while True:
            read = await self.list_page(kind, after)
            if read.is_error():
                return read
            page = read.ok
            objects.extend(page.objects)
            revision = page.revision if revision is None else revision
            if not page.has_more or not page.objects:
                return Ok(ObjectPage(tuple(objects), False, revision))
            after = page.objects[-1].name

    async def watch(self, kind, revision, wait_s):
        """Wait for changes of a kind's objects after a revision.

        Returns
        -------
        expression.Result of ObjectEvents or StoreFailure
        """
        return await self._call(
            "watch",
            "GET",
            storewire.make_path(kind),
            storewire.read_events,
            storewire.make_watch_query(revision, wait_s),
            timeout_s=wait_s + WATCH_MARGIN_S,
        )

    async def read(self, kind, name):
        """Read one object.

        Returns
        -------
        expression.Result of StoredObject or StoreFailure
        """
        path = storewire.make_path(kind, name)
        return await self._call("read", "GET", path, storewire.read_object)

    async def create(self, kind, name, spec):
        """Create an object that must not exist.

        Returns
        -------
        expression.Result of StoredObject or StoreFailure
        """
        body = storewire.encode_object(name, spec)
        return await self._write("POST", storewire.make_path(kind), body)

    async def replace(self, kind, name, spec, revision):
        """Replace an object that must still have a revision.

        Returns
        -------
        expression.Result of StoredObject or StoreFailure
        """
        body = storewire.encode_object(name, spec, revision)
        return await self._write("PUT", storewire.make_path(kind, name), body)

    async def delete(self, kind, name, revision):
        """Delete an object that must still have a revision.

        Returns
        -------
        expression.Result of None or StoreFailure
        """
        path = storewire.make_path(kind, name)
        query = storewire.make_condition_query(revision)
        return await self._write("DELETE", path, None, query, read=lambda body: None)

    async def _write(self, method, path, body, query=None, read=storewire.read_object):
        return await self._call(
            "write",
            method,
            path,
            read,
            query,
            data=body,
            headers={"Content-Type": "application/json"},
            # A repeated write would meet the revision that it made itself.
            middlewares=(SingleUse(),),
        )

    async def _call(
        self, kind, method, path, read, query=None, timeout_s=None, **options
    ):
        self._metrics.platform_calls.labels(kind).inc()
        timeout = ClientTimeout(total=timeout_s or self._timeout_s)
        with self._tracer.start_as_current_span(f"store {kind}", kind=SpanKind.CLIENT):
            try:
                async with self._session.request(
                    method,
                    self.url + path,
                    params=query,
                    timeout=timeout,
                    **options,
                ) as response:
                    return classify_answer(
                        path, query, response.status, await response.read(), read
                    )
            except ClientConnectorError as error:
                return Error(StoreUnavailable(repr(error), may_have_run=False))
            except (TimeoutError, ClientError, OSError) as error:
                return Error(StoreUnavailable(repr(error)))


def classify_answer(path, query, status, body, read):
    """Return what an answer of the store says.

    Returns
    -------
    expression.Result of what `read` returns, or StoreFailure
    """
    name = path.rpartition("/")[2]
    try:
        if status == STATUS_MISSING:
            return Error(ObjectMissing(name))
        if status == STATUS_GONE:
            return Error(HistoryGone(storewire.get_watched_revision(query)))
        if status == STATUS_CONFLICT:
            return Error(StoreConflict(storewire.read_object(body) if body else None))
        if status >= 400:
            done = status not in NOTHING_DONE_STATUSES
            return Error(StoreUnavailable(f"status {status}", may_have_run=done))
        return Ok(read(body))
    except (ValueError, KeyError, TypeError) as error:
        return Error(StoreUnavailable(f"malformed answer: {error!r}"))
