"""HTTP protocol of the store: paths, queries and bodies, for client and stand-in."""

from dataclasses import dataclass
from functools import partial
from urllib.parse import quote

import orjson
from loguru import logger

from sapphirerock.connection.storeobjects import (
    ObjectEvent,
    ObjectEvents,
    ObjectPage,
    StoredObject,
    qualify_revision,
    strip_era,
)
from sapphirerock.platform.contents import FIELDS, TRIMS, trim_content
from sapphirerock.platform.documents import limit_depth, load_document, load_object
from sapphirerock.platform.names import OBJECTS_PATH, STORE_ERA

MS_PER_S = 1000
STATUS_SUFFIX = "/status"


def make_path(kind, name=None):
    """Return the path of a kind of objects, or of a single object."""
    path = f"{OBJECTS_PATH}/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def make_list_query(after, allows_stale):
    """Return the query that lists the objects of a kind, starting after a name."""
    query = {}
    if after is not None:
        query["after"] = after
    if allows_stale:
        query["allow_stale"] = "1"
    return query


def make_watch_query(revision, wait_s):
    """Return the query that waits for changes after a revision."""
    return {
        "watch": str(strip_era(revision)),
        "wait_ms": str(int(wait_s * MS_PER_S)),
    }


def get_watched_revision(query):
    """Return the revision that a watch's query names, 0 for other queries."""
    return int((query or {}).get("watch", 0))


def make_revision_query(revision):
    """Return the query that makes a deletion conditional on a revision."""
    return {"revision": str(strip_era(revision))}


def encode_object(name, spec, revision=None):
    """Return the body that creates or replaces an object.

    Parameters
    ----------
    revision : int or None
        Revision that the object must still have; None for an unconditional write.
    """
    metadata = {"name": name}
    if revision is not None:
        metadata["revision"] = strip_era(revision)
    return orjson.dumps({"metadata": metadata, "spec": spec})


def make_status_path(kind, name):
    """Return the path of an object's status."""
    return f"{make_path(kind, name)}{STATUS_SUFFIX}"


def encode_status(name, status, revision):
    """Return the body that replaces an object's status at a revision."""
    metadata = {"name": name, "revision": strip_era(revision)}
    return orjson.dumps({"metadata": metadata, "spec": None, "status": status})


@dataclass(slots=True, frozen=True)
class ListQuery:
    """Parameters of a list or a watch.

    Parameters
    ----------
    after : str or None
        Name after which the list starts.
    allows_stale : bool
        Whether the result may be seconds old.
    watched_revision : int or None
        Revision after which to wait for changes; None for a list.
    wait_s : float
        Longest wait for a change, in seconds.
    """

    after: str | None
    allows_stale: bool
    watched_revision: int | None
    wait_s: float


def decode_list_query(query):
    """Decode the query of a list or a watch."""
    return ListQuery(
        query.get("after"),
        query.get("allow_stale") == "1",
        int(query["watch"]) if "watch" in query else None,
        int(query.get("wait_ms", 0)) / MS_PER_S,
    )


def get_required_revision(query):
    """Return the revision that a write is conditional on, or None."""
    return int(query["revision"]) if "revision" in query else None


def decode_request(body):
    """Decode the object of a write; its revision is 0 if the write is unconditional."""
    document = orjson.loads(body)
    metadata = document["metadata"]
    return StoredObject(
        metadata["name"],
        int(metadata.get("revision", 0)),
        document.get("spec"),
        document.get("status"),
    )


def dump_object(item):
    """Return a stored object as the document that the store sends."""
    return {
        "metadata": {
            "name": item.name,
            "revision": item.revision,
            "created": item.revision,
            "finalizers": [],
            "deleting": False,
        },
        "spec": item.spec,
        "status": item.status,
    }


def encode_stored_object(item):
    """Return the body of a response with one object."""
    return orjson.dumps(dump_object(item))


def encode_page(page):
    """Return the body of one page of a list."""
    return orjson.dumps(
        {
            "items": [dump_object(item) for item in page.objects],
            "has_more": page.has_more,
            "at": page.revision,
        }
    )


def encode_events(events):
    """Return the body of a response to a watch."""
    return orjson.dumps(
        {
            "events": [
                {"object": dump_object(event.object), "deleted": event.is_deleted}
                for event in events.events
            ],
            "at": events.revision,
        }
    )


def decode_era(headers):
    """Return the era in an answer of the store; 0 if it states none."""
    text = headers.get(STORE_ERA, "")
    return int(text) if text.isascii() and text.isdigit() else 0


def decode_object(document, era=0, kind=None):
    """Decode an object from a JSON document of the store in an era.

    Of an object of some kinds only what hosts use is kept; see `trim_content`.

    Raises
    ------
    KeyError, TypeError, ValueError, OverflowError
        The document does not describe an object.
    """
    metadata = document["metadata"]
    name, revision = metadata["name"], metadata["revision"]
    if not isinstance(name, str) or type(revision) is not int or revision < 0:
        raise ValueError(f"odd name {name!r:.80} or revision {revision!r:.80}")
    spec, status = document.get("spec"), document.get("status")
    if kind in TRIMS:
        spec, status = trim_content(kind, name, spec), None
    return StoredObject(
        name,
        qualify_revision(era, revision),
        limit_depth(spec),
        limit_depth(status),
    )


def decode_object_body(body, era=0):
    """Decode the body of a response with one object."""
    document = load_object(body)
    if document is None:
        raise ValueError("the body is no object")
    return decode_object(document, era)


def decode_page_body(body, era=0, kind=None):
    """Decode the body of one page of a list; odd objects are left out."""
    decode = partial(_decode_or_log, partial(decode_object, era=era, kind=kind))
    document = load_document(body, "items", decode, FIELDS.get(kind))
    return ObjectPage(
        tuple(item for item in document["items"] if item is not None),
        bool(document["has_more"]),
        # `at` is a revision of the store, not a time.
        qualify_revision(era, int(document["at"])),
    )


def decode_events_body(body, era=0, kind=None):
    """Decode the body of a response to a watch; odd events are left out."""
    decode = partial(_decode_or_log, partial(_decode_event, era=era, kind=kind))
    document = load_document(body, "events", decode, FIELDS.get(kind))
    return ObjectEvents(
        tuple(item for item in document["events"] if item is not None),
        qualify_revision(era, int(document["at"])),
    )


def _decode_event(document, era, kind):
    item = decode_object(document["object"], era, kind)
    return ObjectEvent(item, bool(document["deleted"]))


def _decode_or_log(decode, document):
    """Decode an object or event; log one that is odd and return None."""
    try:
        return decode(document)
    except (KeyError, TypeError, ValueError, OverflowError, AttributeError) as error:
        logger.bind(cause=repr(error)[:200]).warning(
            "malformed object of the store left out"
        )
        return None
