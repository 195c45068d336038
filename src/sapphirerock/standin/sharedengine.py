"""The stand-in of an engine of the shared platform, for streams and plain calls.

It registers itself in the store, answers in the platform's dialect, copies the memory
of its runs to other engines, and fails in all the ways that faults name.
"""

import asyncio
import hashlib
import time
import uuid
from collections import deque
from dataclasses import dataclass, field

import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout, web
from loguru import logger
from mode import Service

from sapphirerock.connection.store import StoreClient
from sapphirerock.connection.storeobjects import StoreConflict
from sapphirerock.platform.enginewire import (
    encode_registration,
    encode_report,
    make_answer_headers,
    read_move,
    read_request,
)
from sapphirerock.platform.names import ENGINES_KIND, MOVE_PATH, REPORT_PATH
from sapphirerock.process.clock import SystemClock
from sapphirerock.process.telemetry.metrics import Metrics
from sapphirerock.process.web import BACKLOG
from sapphirerock.standin.faults import FaultState, drop_connection, register_fault

COPY_INTERVAL_S = 0.1
BEAT_S = 0.5
COPY_PATH = "/standin/copies/{run}"
RUNS_PATH = "/standin/runs"
RUNS_REMEMBERED = 10_000
# Long enough for any caller to have given up.
HANG_S = 3600.0


@dataclass(slots=True)
class Run:
    """One call that this engine began to work on.

    Parameters
    ----------
    attempt_id : str
        The caller's id of it.
    first_event : int
        Number of the first event that it makes; 0 for a plain call.
    prefilled : int
        Tokens of the prompt that were read.
    events : int
        Number of the last event made.
    ended : str
        How it ended; empty while it is under way.
    """

    attempt_id: str
    method: str
    target: str
    body_digest: str
    organisation: str
    headers: dict
    first_event: int = 0
    prefilled: int = 0
    events: int = 0
    ended: str = ""
    began_at: float = field(default_factory=time.time)

    def to_document(self):
        """Return the run as JSON values."""
        return {name: getattr(self, name) for name in Run.__slots__}


@dataclass(slots=True, frozen=True)
class EngineTraits:
    """What kind of engine is stood in for.

    Parameters
    ----------
    service, zone : str
        What it serves, and where.
    slots : int
        Calls that it works on at once.
    event_s : float
        Time between events, in seconds.
    prompt_s : float
        Time that a prompt takes to be read, in seconds.
    work_s : float
        Time that a plain call takes, in seconds.
    memory_tokens : int
        Tokens that its memory holds.
    poison : str
        Text in a body that crashes the engine when the call begins to run.
    """

    service: str
    zone: str
    slots: int = 16
    event_s: float = 0.02
    prompt_s: float = 0.1
    work_s: float = 0.01
    memory_tokens: int = 100_000
    poison: str = ""


class SharedEngineStandin(FaultState):
    """One engine of the shared platform.

    Parameters
    ----------
    traits : EngineTraits
        What it is like.
    """

    def __init__(self, traits):
        super().__init__()
        self.traits = traits
        self.runs = deque(maxlen=RUNS_REMEMBERED)
        self.copies = {}
        self.spoiled = deque()
        self.down_for_s = 1.0
        self.keeps_id = False
        self.engine_id = ""
        self.on_crash = None
        self.is_hidden = False
        self.has_crashed = False
        self._transports = set()
        self._silent = set()
        self._session = None
        self.start_life()

    def start_life(self):
        """Become a new incarnation that knows nothing."""
        if not (self.keeps_id and self.engine_id):
            self.engine_id = "i-" + uuid.uuid4().hex[:10]
        self.born_ms = time.time_ns() // 1_000_000
        self.copies = {}
        self.leaving = False
        self.has_crashed = False

    @property
    def running(self):
        """Number of calls under way."""
        return sum(not run.ended for run in self.runs)

    def crash(self):
        """Lose all work and connections, and come back after a while."""
        for run in self.runs:
            run.ended = run.ended or "crashed"
        self.reset_connections()
        if self.on_crash is not None:
            self.has_crashed = True
            self.on_crash()

    def reset_connections(self):
        """Reset the connections of all calls under way."""
        for transport in list(self._transports):
            transport.abort()

    def make_application(self):
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=16 << 20, middlewares=[self._reset_after_crash]
        )
        application.add_routes(
            [
                web.get(REPORT_PATH, self._report),
                web.post(MOVE_PATH, self._move),
                web.put(COPY_PATH, self._take_copy),
                web.get(RUNS_PATH, self._list_runs),
                web.post("/faults", self.handle_fault),
                web.route("*", "/{path:.*}", self._serve),
            ]
        )
        return application

    @web.middleware
    async def _reset_after_crash(self, request, handler):
        """Reset connections that outlived a crash because they were idle then."""
        if self.has_crashed:
            return drop_connection(request)
        return await handler(request)

    async def _report(self, request):
        await self._meet_silence(request)
        return web.Response(body=encode_report(self.born_ms, self.running))

    async def _list_runs(self, request):
        runs = [run.to_document() for run in self.runs]
        document = {"id": self.engine_id, "runs": runs, "copies": sorted(self.copies)}
        return web.json_response(document)

    async def _take_copy(self, request):
        self.copies[request.match_info["run"]] = int(await request.text())
        return web.Response()

    async def _move(self, request):
        """Copy a run to another engine while it goes on."""
        move = read_move(await request.read())
        run = self._find_run(move.attempt_id)
        if run is None:
            return web.Response(status=404)
        handle = uuid.uuid4().hex[:8]
        if not await self._send_copy(move.target, handle, run.events):
            return web.Response(status=503)
        return web.json_response({"handle": handle, "created": run.events})

    def _find_run(self, attempt_id):
        return next(
            (r for r in self.runs if r.attempt_id == attempt_id and not r.ended), None
        )

    async def _send_copy(self, address, name, events):
        if self._session is None:
            self._session = ClientSession(timeout=ClientTimeout(total=0.5))
        url = f"http://{address}" + COPY_PATH.format(run=name)
        try:
            async with self._session.put(url, data=str(events)) as answer:
                return answer.status == 200
        except (ClientError, TimeoutError, OSError) as error:
            logger.debug("copy not taken: {!r}", error)
            return False

    async def _meet_silence(self, request):
        """Say nothing more on connections that a fault silenced."""
        if self.is_down and self.down_manner == "silent":
            await asyncio.sleep(HANG_S)

    async def _serve(self, request):
        self._transports.add(request.transport)
        try:
            return await self._answer(request)
        finally:
            self._transports.discard(request.transport)

    async def _answer(self, request):
        """Refuse the call or run it."""
        terms = read_request(request.headers)
        body = await request.read()
        await self._meet_silence(request)
        if self.is_down:
            return self._refuse(terms, 503)
        if terms.expected not in (None, self.engine_id):
            return self._refuse(terms, 421)
        if not terms.attempt_id:
            return self._refuse(terms, 400)
        if self.running >= self.traits.slots:
            return self._refuse(terms, 503)
        if terms.copy_name is not None and terms.copy_name not in self.copies:
            return self._refuse(terms, 503)
        run = Run(
            terms.attempt_id,
            request.method,
            request.raw_path,
            hashlib.sha256(body).hexdigest(),
            terms.organisation or "",
            dict(request.headers),
        )
        self.runs.append(run)
        if self.traits.poison and self.traits.poison.encode() in body:
            self.crash()
            return web.Response(status=500)
        try:
            if terms.output_events is None:
                return await self._answer_plain(request, terms, run, body)
            return await self._stream(request, terms, run)
        finally:
            run.ended = run.ended or "left"

    def _refuse(self, terms, status):
        headers = make_answer_headers(terms.attempt_id, self.engine_id, False)
        return web.Response(status=status, headers=headers)

    def _make_headers(self, terms):
        return make_answer_headers(terms.attempt_id, self.engine_id, True)

    async def _answer_plain(self, request, terms, run, body):
        await asyncio.sleep(self.traits.work_s * self.slowness)
        if self.spoiled:
            return await SPOILERS[self.spoiled.popleft()](self, request, terms, run)
        run.ended = "whole"
        digest = hashlib.sha256(body).hexdigest()
        content = f"{request.method} {request.raw_path} {digest} {terms.attempt_id}\n"
        return web.Response(text=content, headers=self._make_headers(terms))

    async def _stream(self, request, terms, run):
        run.first_event = terms.last_event_id + 1
        if terms.copy_name is not None:
            self.copies.pop(terms.copy_name)
        else:
            run.prefilled = terms.prompt_tokens
            await asyncio.sleep(self.traits.prompt_s * self.slowness)
        if self.spoiled:
            return await SPOILERS[self.spoiled.popleft()](self, request, terms, run)
        response = web.StreamResponse(headers=self._make_headers(terms))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        copied_s = 0.0
        for number in range(run.first_event, terms.output_events + 1):
            await self._meet_silence(request)
            content = make_event(terms.content_key, number)
            run.events = number
            await response.write(content)
            now_s = time.monotonic()
            if terms.backup and now_s - copied_s > COPY_INTERVAL_S:
                copied_s = now_s
                await self._send_copy(terms.backup, terms.attempt_id, number)
            await asyncio.sleep(self.traits.event_s * self.slowness)
        await response.write_eof()
        run.ended = "whole"
        return response


def make_event(key, number):
    """Return an event that depends on the call and its number alone."""
    digest = hashlib.sha256(f"{key}:{number}".encode()).hexdigest()[:16]
    return f"id: {number}\ndata: {number}.{digest}\n\n".encode()


SPOILERS = {}


def register_spoiler(name):
    """Register a way to spoil an answer."""

    def register(function):
        SPOILERS[name] = function
        return function

    return register


@register_fault("spoil")
def spoil_answers(standin, order):
    """Spoil the next answers in the manner that is named."""
    standin.spoiled.extend([order.manner] * int(order.amount))


@register_fault("down-for")
def set_down_time(standin, order):
    """Set how long the engine is away after a crash."""
    standin.down_for_s = order.seconds


@register_fault("keep-id")
def keep_id(standin, order):
    """Come back from crashes under the same id."""
    standin.keeps_id = True


@register_fault("become")
def become_other(standin, order):
    """Be another engine at the same address, of another service, unregistered."""
    standin.runs.clear()
    standin.start_life()
    standin.is_hidden = True


async def write_raw(request, run, data, ended):
    """Write bytes past the library and close the connection."""
    transport = request.transport
    transport.write(data)
    run.ended = ended
    transport.close()
    return web.Response(status=500)


def make_head(standin, terms, status="200 OK", *lines):
    """Return the head of an answer as bytes."""
    headers = standin._make_headers(terms).items()
    fields = [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([f"HTTP/1.1 {status}", *fields, *lines, "", ""]).encode()


@register_spoiler("truncated")
async def truncate(standin, request, terms, run):
    """Promise more bytes than come."""
    head = make_head(standin, terms, "200 OK", "Content-Length: 100")
    return await write_raw(request, run, head + b"too short", "truncated")


@register_spoiler("extra")
async def send_extra(standin, request, terms, run):
    """Send another answer after a whole one."""
    head = make_head(standin, terms, "200 OK", "Content-Length: 5")
    return await write_raw(request, run, head + b"whole" + head + b"other", "whole")


@register_spoiler("unframed")
async def send_unframed(standin, request, terms, run):
    """Let a whole answer end with its connection."""
    head = make_head(standin, terms, "200 OK", "Connection: close")
    return await write_raw(request, run, head + b"whole", "whole")


@register_spoiler("unframed-reset")
async def reset_unframed(standin, request, terms, run):
    """Reset the connection of an answer without a length."""
    head = make_head(standin, terms, "200 OK", "Connection: close")
    transport = request.transport
    transport.write(head + b"half")
    await asyncio.sleep(0.05)
    run.ended = "reset"
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    transport.get_extra_info("socket").setsockopt(1, 13, linger)
    transport.abort()
    return web.Response(status=500)


@register_spoiler("noise")
async def send_noise(standin, request, terms, run):
    """Send bytes that are no answer."""
    return await write_raw(request, run, b"\x00\x01 no answer\r\n\r\n", "noise")


@register_spoiler("unsealed")
async def send_unsealed(standin, request, terms, run):
    """Answer without the engine's seal."""
    run.ended = "unsealed"
    return web.Response(text="whose is this?")


@register_spoiler("other")
async def answer_other(standin, request, terms, run):
    """Answer another attempt."""
    run.ended = "other"
    headers = make_answer_headers("ffffffffffffffff", standin.engine_id, True)
    return web.Response(text="somebody else's", headers=headers)


@register_spoiler("failed")
async def fail(standin, request, terms, run):
    """Answer with a failure of the engine's own."""
    run.ended = "failed"
    headers = standin._make_headers(terms)
    return web.Response(status=500, text="failed", headers=headers)


@register_spoiler("lost")
async def lose_answer(standin, request, terms, run):
    """Run the call and reset the connection."""
    run.ended = "whole"
    request.transport.abort()
    return web.Response(status=500)


@register_spoiler("hung")
async def hang(standin, request, terms, run):
    """Never answer."""
    await asyncio.sleep(HANG_S)


class SharedEngineService(Service):
    """An engine with its port and its registration.

    Parameters
    ----------
    standin : SharedEngineStandin
        What answers.
    address, port : str, int
        Where it listens.
    store_url : str
        The platform's store.
    """

    def __init__(self, standin, address, port, store_url, **kwargs):
        super().__init__(**kwargs)
        self.standin = standin
        self._address = address
        self._port = port
        self._store_url = store_url
        self._runner = None
        self._site = None
        self._store = None
        self._session = None
        standin.on_crash = self._note_crash

    async def on_start(self):
        """Open the port."""
        self._session = ClientSession()
        self._store = StoreClient(self._session, self._store_url, Metrics())
        self._runner = web.AppRunner(
            self.standin.make_application(), access_log=None, handler_cancellation=True
        )
        await self._runner.setup()
        await self._listen()

    async def _listen(self):
        self._site = web.TCPSite(
            self._runner, self._address, self._port, backlog=BACKLOG, reuse_address=True
        )
        await self._site.start()

    def _note_crash(self):
        self.add_future(self._restart())

    async def _restart(self):
        """Close the port as a process that died, and come back as another."""
        await self._site.stop()
        await SystemClock().sleep(self.standin.down_for_s)
        self.standin.start_life()
        await self._listen()

    @Service.task
    async def _register(self):
        """Write the registration of each life, and its changes."""
        written = None
        while not self.should_stop:
            standin = self.standin
            spec = encode_registration(
                standin.traits,
                f"{self._address}:{self._port}",
                standin.leaving,
                standin.born_ms,
            )
            current = (standin.engine_id, orjson.dumps(spec))
            changed = current != written and not standin.is_hidden
            if changed and await self._write(standin.engine_id, spec):
                written = current
            await asyncio.sleep(BEAT_S / 5)

    async def _write(self, name, spec):
        created = await self._store.create(ENGINES_KIND, name, spec)
        if created.is_error() and isinstance(created.error, StoreConflict):
            current = created.error.current
            if current is None:
                return False
            created = await self._store.replace(
                ENGINES_KIND, name, spec, current.revision
            )
        return created.is_ok()

    async def on_stop(self):
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()
