"""Client of the platform's store: lists, watches and conditional writes."""

from functools import partial

from aiohttp import ClientConnectorError, ClientError, ClientTimeout
from expression import Error, Ok
from loguru import logger
from opentelemetry.trace import NoOpTracer, SpanKind

from sapphirerock.connection.sendonce import send_once
from sapphirerock.connection.storeobjects import (
    AnswerTooLarge,
    HistoryGone,
    ObjectMissing,
    ObjectPage,
    StoreConflict,
    StoreUnavailable,
    get_era,
)
from sapphirerock.platform import storewire

# The store responds within milliseconds, or a few hundred milliseconds when slow.
CALL_TIMEOUT_S = 1.0
# Added to the requested wait of a watch for its timeout. The store responds at the end
# of the wait even without changes, unless it hangs.
WATCH_MARGIN_S = 0.5
# A larger answer to a watch is left for a list, which comes in pages.
MAX_WATCH_BYTES = 4 << 20
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_GONE = 410
# Statuses of requests that the store rejects before it executes them.
NOT_EXECUTED_STATUSES = (429, 503)


class StoreClient:
    """Client of the store.

    The revisions that it takes and returns are qualified by the era of the store.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session that opens a new connection for each call, because the other end
        may have dropped an idle one unnoticed.
    url : str
        Base URL of the store.
    metrics : Metrics
        Counts calls by operation.
    tracer : opentelemetry.trace.Tracer or None
        Records a span for each call; None for no spans.
    timeout_s : float
        Timeout of all calls except watches, in seconds.

    Attributes
    ----------
    on_restore : list of callable
        Called without arguments when the store came back from an older copy, so that
        what was written lately may be gone.
    """

    __slots__ = (
        "url",
        "on_restore",
        "_session",
        "_metrics",
        "_tracer",
        "_timeout_s",
        "_era",
    )

    def __init__(self, session, url, metrics, tracer=None, timeout_s=CALL_TIMEOUT_S):
        self._session = session
        self.url = url
        self._metrics = metrics
        self._tracer = tracer or NoOpTracer()
        self._timeout_s = timeout_s
        self.on_restore = []
        self._era = None

    async def list_page(self, kind, after=None, allows_stale=False):
        """Read a page of a kind's objects.

        Parameters
        ----------
        after : str or None
            Name after which the page begins; None for the first page.
        allows_stale : bool
            Whether the data may be seconds old; such calls cost the store less.

        Returns
        -------
        expression.Result of ObjectPage or StoreFailure
        """
        query = storewire.make_list_query(after, allows_stale)
        decode = partial(storewire.decode_page_body, kind=kind)
        return await self._call("list", "GET", storewire.make_path(kind), decode, query)

    async def list_all(self, kind):
        """Read all objects of a kind.

        Returns
        -------
        expression.Result of ObjectPage or StoreFailure
            Its revision is that of the first page. The objects may already include
            some of the later changes.
        """
        objects, after, revision = [], None, None
        while True:
            listed = await self.list_page(kind, after)
            if listed.is_error():
                return listed
            page = listed.ok
            objects.extend(page.objects)
            revision = page.revision if revision is None else revision
            if get_era(page.revision) != get_era(revision):
                return Error(StoreUnavailable("the store was restored meanwhile"))
            if not page.has_more or not page.objects:
                return Ok(ObjectPage(tuple(objects), False, revision))
            after = page.objects[-1].name

    async def watch(self, kind, revision, wait_s):
        """Wait for changes of a kind's objects after a revision.

        Parameters
        ----------
        kind : str
            Kind of the objects.
        revision : int
            Revision after which changes are returned.
        wait_s : float
            Longest time that the store waits for a change, in seconds.

        Returns
        -------
        expression.Result of ObjectEvents or StoreFailure
            No events when nothing changed; `HistoryGone` when the store no longer has
            the changes after the revision, or they exceed `MAX_WATCH_BYTES`, so that a
            list is needed.
        """
        if self._is_of_other_era(revision):
            return Error(HistoryGone(revision))
        watched = await self._call(
            "watch",
            "GET",
            storewire.make_path(kind),
            partial(storewire.decode_events_body, kind=kind),
            storewire.make_watch_query(revision, wait_s),
            timeout_s=wait_s + WATCH_MARGIN_S,
            limit_bytes=MAX_WATCH_BYTES,
        )
        if watched.is_error() and isinstance(watched.error, AnswerTooLarge):
            logger.bind(kind=kind, after=revision, limit=MAX_WATCH_BYTES).info(
                "changes too large for a watch, listed instead"
            )
            return Error(HistoryGone(revision))
        if self._is_of_other_era(revision):
            return Error(HistoryGone(revision))
        return watched

    def _is_of_other_era(self, revision):
        """Return whether a revision is not one of the store's current era."""
        return self._era is not None and get_era(revision) != self._era

    async def read(self, kind, name):
        """Read one object.

        Returns
        -------
        expression.Result of StoredObject or StoreFailure
        """
        path = storewire.make_path(kind, name)
        return await self._call("read", "GET", path, storewire.decode_object_body)

    async def create(self, kind, name, spec):
        """Create an object that must not exist yet.

        Returns
        -------
        expression.Result of StoredObject or StoreFailure
        """
        body = storewire.encode_object(name, spec)
        return await self._write("POST", storewire.make_path(kind), body)

    async def replace(self, kind, name, spec, revision):
        """Replace an object that must still have the given revision.

        Returns
        -------
        expression.Result of StoredObject or StoreFailure
        """
        if self._is_of_other_era(revision):
            return Error(StoreConflict(None))
        body = storewire.encode_object(name, spec, revision)
        return await self._write("PUT", storewire.make_path(kind, name), body)

    async def replace_status(self, kind, name, status, revision):
        """Replace the status of an object that must still have the given revision.

        Returns
        -------
        expression.Result of StoredObject or StoreFailure
        """
        if self._is_of_other_era(revision):
            return Error(StoreConflict(None))
        path = storewire.make_status_path(kind, name)
        body = storewire.encode_status(name, status, revision)
        return await self._write("PUT", path, body)

    async def delete(self, kind, name, revision):
        """Delete an object that must still have the given revision.

        Returns
        -------
        expression.Result of None or StoreFailure
        """
        if self._is_of_other_era(revision):
            return Error(StoreConflict(None))
        path = storewire.make_path(kind, name)
        query = storewire.make_revision_query(revision)
        return await self._write(
            "DELETE", path, None, query, decode=lambda body, era: None
        )

    async def _write(
        self, method, path, body, query=None, decode=storewire.decode_object_body
    ):
        return await self._call(
            "write",
            method,
            path,
            decode,
            query,
            data=body,
            headers={"Content-Type": "application/json"},
            # A retried write would conflict with the revision that it made itself.
            middlewares=(send_once,),
        )

    async def _call(
        self,
        operation,
        method,
        path,
        decode,
        query=None,
        timeout_s=None,
        limit_bytes=None,
        **options,
    ):
        self._metrics.platform_calls.labels(operation).inc()
        timeout = ClientTimeout(total=timeout_s or self._timeout_s)
        with self._tracer.start_as_current_span(
            f"store {operation}", kind=SpanKind.CLIENT
        ):
            try:
                async with self._session.request(
                    method,
                    self.url + path,
                    params=query,
                    timeout=timeout,
                    **options,
                ) as response:
                    body = await read_body(response, limit_bytes)
                    if body is None:
                        return Error(AnswerTooLarge(limit_bytes))
                    era = storewire.decode_era(response.headers)
                    if not self.observe_era(era):
                        return Error(StoreUnavailable("answer of an earlier era"))
                    return decode_response(
                        path, query, response.status, body, decode, era
                    )
            except ClientConnectorError as error:
                return Error(StoreUnavailable(repr(error), may_have_run=False))
            except (TimeoutError, ClientError, OSError) as error:
                return Error(StoreUnavailable(repr(error)))

    def observe_era(self, era):
        """Note an era of the store that an answer or a peer has shown.

        Returns
        -------
        bool
            False if the store has left this era.
        """
        previous = self._era
        if previous is not None and era < previous:
            return False
        self._era = era
        if previous is not None and era > previous:
            logger.bind(era=era, previous=previous).warning("store restored from copy")
            for notify in self.on_restore:
                notify()
        return True


async def read_body(response, limit_bytes):
    """Read a response's body; return None if it exceeds a limit.

    Parameters
    ----------
    limit_bytes : int or None
        The limit; None for no limit.
    """
    if limit_bytes is None:
        return await response.read()
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > limit_bytes:
            # The rest is not read.
            response.close()
            return None
    return bytes(body)


def decode_response(path, query, status, body, decode, era=0):
    """Decode a response of the store.

    Parameters
    ----------
    path : str
        Path of the request.
    query : dict or None
        Query of the request.
    status : int
        HTTP status.
    body : bytes
        Body of the response.
    decode : callable
        Decodes the body of a successful response, of which it gets the era as well.
    era : int
        Era of the store in which it responded.

    Returns
    -------
    expression.Result of the decoded body or StoreFailure
    """
    name = path.rpartition("/")[2]
    try:
        if status == STATUS_NOT_FOUND:
            return Error(ObjectMissing(name))
        if status == STATUS_GONE:
            return Error(HistoryGone(storewire.get_watched_revision(query)))
        if status == STATUS_CONFLICT:
            return Error(
                StoreConflict(storewire.decode_object_body(body, era) if body else None)
            )
        if status >= 400:
            may_have_run = status not in NOT_EXECUTED_STATUSES
            return Error(
                StoreUnavailable(f"status {status}", may_have_run=may_have_run)
            )
        return Ok(decode(body, era))
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
        return Error(StoreUnavailable(f"malformed answer: {error!r}"))
