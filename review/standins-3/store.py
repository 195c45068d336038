"""The platform's store for the cases: objects, pages, watches, conditional writes."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from platformwire import encode_head, read_head

OBJECTS_PATH = "/sapphirerock/objects/"
VALUE_BYTES = 1_048_576
PAGE_BYTES = 1 << 20
PAGE_OBJECTS = 500
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


class Store:
    """A store that keeps all changes.

    Attributes
    ----------
    address : str
        Address at which it listens.
    """

    def __init__(self):
        self.address = ""
        self._objects = {}
        self._events = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def close(self):
        """Take no more connections."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head.start.split()
                size = int(head.headers.get("content-length", 0))
                body = await reader.readexactly(size)
                status, content = await self._answer(method, target, body)
                headers = [
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(content))),
                ]
                start = f"HTTP/1.1 {status} {REASONS[status]}"
                writer.write(encode_head(start, headers) + content)
                await writer.drain()
                if head.headers.get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled when the case ends.
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        """Return the status and the content of an answer."""
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix(OBJECTS_PATH).partition("/")
        name, is_status = name.removesuffix("/status"), name.endswith("/status")
        kind, name = unquote(kind), unquote(name)
        if not parts.path.startswith(OBJECTS_PATH):
            return 404, b"{}"
        if method == "GET" and not name:
            if "watch" in query:
                wait_s = int(query.get("wait_ms", 0)) / 1000
                return 200, await self._watch(kind, int(query["watch"]), wait_s)
            return 200, self._list(kind, query.get("after", ""))
        document = json.loads(body) if body else {}
        name = name or document["metadata"]["name"]
        current = self._objects.get((kind, name))
        if method == "POST":
            return self._write(kind, name, current, document, must_exist=False)
        if current is None:
            return 404, b"{}"
        if method == "GET":
            return 200, current["raw"]
        required = int(
            query.get("revision") or document.get("metadata", {}).get("revision") or 0
        )
        if required not in (0, current["metadata"]["revision"]):
            return 409, current["raw"]
        if method == "DELETE":
            del self._objects[kind, name]
            self._note(kind, current, deleted=True)
            return 200, current["raw"]
        if is_status:
            document = {"spec": current["spec"], "status": document.get("status")}
        return self._write(kind, name, current, document)

    def _write(self, kind, name, current, document, must_exist=True):
        if not must_exist and current is not None:
            return 409, current["raw"]
        spec, status = document.get("spec"), document.get("status")
        if len(dump(spec)) > VALUE_BYTES:
            return 400, b"{}"
        if current is not None and (spec, status) == (
            current["spec"],
            current["status"],
        ):
            return 200, current["raw"]
        revision = self._revision + 1
        created = current["metadata"]["created"] if current else revision
        metadata = {"name": name, "revision": revision, "created": created}
        metadata |= {"finalizers": [], "deleting": False}
        item = {"metadata": metadata, "spec": spec, "status": status}
        # Encoded once, so that answers cost this process little.
        item["raw"] = dump(item)
        self._objects[kind, name] = item
        self._note(kind, item, deleted=False)
        return 200, item["raw"]

    def _note(self, kind, item, deleted):
        self._revision += 1
        event = b'{"object":%b,"deleted":%b}' % (item["raw"], dump(deleted))
        self._events.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _list(self, kind, after):
        names = sorted(
            name for known, name in self._objects if known == kind and name > after
        )
        items, size = [], 0
        for name in names:
            item = self._objects[kind, name]["raw"]
            size += len(item)
            if items and (size > PAGE_BYTES or len(items) == PAGE_OBJECTS):
                break
            items.append(item)
        has_more = len(items) < len(names)
        return b'{"items":[%b],"has_more":%b,"at":%d}' % (
            b",".join(items),
            dump(has_more),
            self._revision,
        )

    async def _watch(self, kind, after, wait_s):
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            events = [
                event
                for revision, known, event in self._events
                if known == kind and revision > after
            ]
            changed = self._changed
            if events:
                break
            try:
                async with asyncio.timeout_at(deadline_s):
                    await changed.wait()
            except TimeoutError:
                break
        return b'{"events":[%b],"at":%d}' % (b",".join(events), self._revision)


def dump(document):
    """Return a document as JSON without blanks."""
    return json.dumps(document, separators=(",", ":")).encode()
