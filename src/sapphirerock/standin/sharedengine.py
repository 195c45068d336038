"""Stand-in for an engine of the shared platform, for streams and plain calls.

It registers itself in the store, implements the platform's engine protocol, copies the
KV memory of its runs to other engines and injects faults.
"""

import asyncio
import hashlib
import random
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
    decode_copy_request,
    decode_request_headers,
    encode_registration,
    encode_report,
    make_response_headers,
)
from sapphirerock.platform.names import (
    ENGINES_KIND,
    LEAVING,
    MOVE_PATH,
    REPORT_PATH,
    RETRY_AFTER,
)
from sapphirerock.process.clock import SystemClock
from sapphirerock.process.telemetry.metrics import Metrics
from sapphirerock.process.web import BACKLOG
from sapphirerock.standin.faults import FaultState, drop_connection, register_fault

# A stream sends a KV copy to its backup engine at most this often.
KV_COPY_INTERVAL_S = 0.1
# The registration is checked for changes five times in this interval.
# Three heartbeats of 1.2 s.
REGISTRATION_LIFETIME_S = 3.6
REGISTRATION_INTERVAL_S = 0.5
COPY_PATH = "/standin/copies/{run}"
RUNS_PATH = "/standin/runs"
# Number of the latest runs that are listed.
MAX_RUNS = 10_000
# Longer than the timeout of any caller.
HANG_S = 3600.0


@dataclass(slots=True)
class Run:
    """One call that this engine began to execute.

    Parameters
    ----------
    attempt_id : str
        Attempt id that the caller sent.
    method, target : str
        Method, and path with query.
    body_digest : str
        SHA-256 of the body, in hexadecimal.
    headers : dict
        Headers of the request.
    first_event : int
        Number of the first event to generate. 0 for a plain call.
    prefilled : int
        Number of prompt tokens prefilled.
    events : int
        Number of the last event generated.
    ended : str
        Outcome of the run: "whole" for a complete response, "crashed", "left" for any
        other end without a complete response, or the outcome that a response fault
        sets. Empty while it is running.
    began_at : float
        Wall time of the start, in seconds since the epoch.
    version : str
        Software version of the engine.
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
    version: str = ""

    def to_document(self):
        """Return the fields as a JSON object."""
        return {name: getattr(self, name) for name in Run.__slots__}


@dataclass(slots=True, frozen=True)
class EngineTraits:
    """Fixed properties of a simulated engine.

    Parameters
    ----------
    service, zone : str
        Service and availability zone of the engine.
    slots : int
        Maximum number of concurrent calls.
    event_s : float
        Interval between events, in seconds.
    prompt_s : float
        Duration of prefilling a prompt, in seconds.
    work_s : float
        Duration of a plain call, in seconds.
    memory_tokens : int
        Capacity of the KV memory, in tokens.
    poison : str
        Text in a request's target or body that crashes the engine when the call starts,
        or in the list of its prompt's parts when the engine has prefilled the prompt.
    version : str
        Software version that the engine registers first.
    silence_s : float
        Time for which an engine that crashes is silent before it starts anew, in
        seconds; 0 for one that resets its connections.
    """

    service: str
    zone: str
    slots: int = 16
    event_s: float = 0.02
    prompt_s: float = 0.1
    work_s: float = 0.01
    memory_tokens: int = 100_000
    poison: str = ""
    version: str = "v1"
    silence_s: float = 0.0


class SharedEngineStandin(FaultState):
    """Stand-in for one engine of the shared platform.

    Parameters
    ----------
    traits : EngineTraits
        Fixed properties of the engine.

    Attributes
    ----------
    runs : deque of Run
        The latest runs, oldest first.
    kv_copies : dict
        Number of the last event in each KV copy received, by name of the copy.
    pending_response_faults : deque of str
        Names of the response faults of the next calls.
    restart_delay_s : float
        Seconds from a crash to the restart.
    engine_id : str
        Id of the engine in the platform; changes with each incarnation by default.
    started_ms : int
        Wall time of the incarnation's start, in milliseconds since the epoch.
    on_crash : callable or None
        Called without arguments after a crash. Without it a crash only ends the runs
        and resets their connections.
    on_silence : callable or None
        Called without arguments when a silent crash begins.
    skips_registration : bool
        Whether the engine stays out of the store.
    has_endless_reports : bool
        Whether reports are sent without end.
    version, next_version : str
        Software version of this incarnation and of the next ones.
    request_limit : str
        Requests per second that the engine states as its limit; empty for none.
    limited_at_s : float
        Wall time of the first response with a limit; 0 before it.
    arrivals : deque of [float, str]
        Wall time and sender's address of the latest requests, refused ones included.
    refusal_tolerance : str
        Requests that the engine may turn away in a second, as it states them, before
        it crashes; empty if it never does.
    slots : int
        Maximum number of concurrent calls.
    brittle_at_s : float
        Wall time of the first response that states the tolerance; 0 before it.
    falls : list of float
        Wall times of the crashes after too many refusals.
    rest_text : str
        Value of ``Retry-After`` in refusals; empty if the engine asks for no rest.
    refused_share : float
        Share of the calls that are turned away while ``rest_text`` is set.
    rests : list of [float, str]
        Wall time and receiver's address of the refusals that asked for rest.
    contacts : deque of [float, str]
        Wall time and sender's address of the latest requests of any kind.
    says_leaving : bool
        Whether responses state that the engine is leaving.
    left_at_s : dict
        Wall time at which each address first got a response that states it.
    cut_sources : frozenset of str
        Addresses of the hosts that the engine is cut off from.
    cut_manner : str
        What happens to connections of these hosts: ``hang`` or ``reset``.
    cut_until_s : float
        Monotonic time at which the cut ends.
    """

    def __init__(self, traits):
        super().__init__()
        self.traits = traits
        self.runs = deque(maxlen=MAX_RUNS)
        self.kv_copies = {}
        self.pending_response_faults = deque()
        self.restart_delay_s = 1.0
        self.reuses_id = False
        self.version = traits.version
        self.next_version = traits.version
        self.engine_id = ""
        self.on_crash = None
        self.on_silence = None
        self.skips_registration = False
        self.has_crashed = False
        self.has_endless_reports = False
        self.request_limit = ""
        self.limited_at_s = 0.0
        self.arrivals = deque(maxlen=MAX_RUNS)
        self.refusal_tolerance = ""
        self.slots = traits.slots
        self.brittle_at_s = 0.0
        self.falls = []
        self.rest_text = ""
        self.refused_share = 1.0
        self.rests = []
        self.contacts = deque(maxlen=MAX_RUNS)
        self.says_leaving = False
        self.left_at_s = {}
        self.cut_sources = frozenset()
        self.cut_manner = ""
        self.cut_until_s = 0.0
        self._recent_refusals_s = deque()
        self._transports = set()
        self._silent = set()
        self._session = None
        self.start_incarnation()

    def start_incarnation(self):
        """Start a new incarnation without KV copies.

        The engine id changes unless the ``keep-id`` fault is active.
        """
        if not (self.reuses_id and self.engine_id):
            self.engine_id = "i-" + uuid.uuid4().hex[:10]
        self.started_ms = time.time_ns() // 1_000_000
        self.version = self.next_version
        self.kv_copies = {}
        self.is_draining = False
        self.has_crashed = False

    @property
    def running(self):
        """Number of calls that are running."""
        return sum(not run.ended for run in self.runs)

    def crash(self):
        """End all runs, reset their connections and call ``on_crash``."""
        for run in self.runs:
            run.ended = run.ended or "crashed"
        self.reset_connections()
        if self.on_crash is not None:
            self.has_crashed = True
            self.on_crash()

    async def crash_silently(self):
        """Answer nothing for a time, then crash."""
        self.down_until_s = time.monotonic() + self.traits.silence_s
        self.down_manner = "silent"
        self.on_silence()
        await asyncio.sleep(HANG_S)

    def reset_connections(self):
        """Reset the connections of all calls in progress."""
        for transport in list(self._transports):
            transport.abort()

    def make_application(self):
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=16 << 20,
            middlewares=[self._reset_after_crash, self._drop_cut_hosts],
        )
        application.add_routes(
            [
                web.get(REPORT_PATH, self._report),
                web.post(MOVE_PATH, self._copy_run),
                web.put(COPY_PATH, self._receive_kv_copy),
                web.get(RUNS_PATH, self._list_runs),
                web.post("/faults", self.handle_fault),
                web.route("*", "/{path:.*}", self._track_connection),
            ]
        )
        return application

    @web.middleware
    async def _reset_after_crash(self, request, handler):
        """Reset connections that were idle during a crash, and so survived it."""
        if self.has_crashed:
            return drop_connection(request)
        return await handler(request)

    def is_cut_off_from(self, address):
        """Return whether the engine is cut off from a host at an address."""
        return address in self.cut_sources and time.monotonic() < self.cut_until_s

    @web.middleware
    async def _drop_cut_hosts(self, request, handler):
        """Hang or reset connections of hosts that the engine is cut off from."""
        if not request.path.startswith("/standin") and request.path != "/faults":
            self.contacts.append([time.time(), request.remote])
        if self.is_cut_off_from(request.remote):
            if self.cut_manner == "reset":
                return drop_connection(request)
            await asyncio.sleep(HANG_S)
        response = await handler(request)
        if self.is_cut_off_from(request.remote):
            await asyncio.sleep(HANG_S)
        if self.says_leaving and LEAVING in response.headers:
            self.left_at_s.setdefault(request.remote, time.time())
        return response

    def reset_cut_connections(self):
        """Reset the connections of calls from hosts that the engine is cut off from."""
        for transport in list(self._transports):
            if self.is_cut_off_from(transport.get_extra_info("peername", ("",))[0]):
                transport.abort()

    async def _report(self, request):
        await self._hang_if_silenced(request)
        if self.has_endless_reports:
            start = b"HTTP/1.1 200 OK\r\n\r\n"
            await write_endlessly(request.transport, start, FILLER)
        return web.Response(body=encode_report(self.started_ms, self.running))

    async def _list_runs(self, request):
        runs = [run.to_document() for run in self.runs]
        document = {
            "id": self.engine_id,
            "runs": runs,
            "copies": sorted(self.kv_copies),
            "arrivals": list(self.arrivals),
            "limited_at_s": self.limited_at_s,
            "brittle_at_s": self.brittle_at_s,
            "falls": self.falls,
            "rests": self.rests,
            "contacts": list(self.contacts),
            "left_at_s": self.left_at_s,
        }
        return web.json_response(document)

    async def _receive_kv_copy(self, request):
        self.kv_copies[request.match_info["run"]] = int(await request.text())
        return web.Response()

    async def _copy_run(self, request):
        """Copy the KV memory of a run to another engine while the run continues."""
        copy_request = decode_copy_request(await request.read())
        run = self._find_run(copy_request.attempt_id)
        if run is None:
            return web.Response(status=404)
        copy_name = uuid.uuid4().hex[:8]
        if not await self._send_kv_copy(copy_request.target, copy_name, run.events):
            return web.Response(status=503)
        return web.json_response({"handle": copy_name, "created": run.events})

    def _find_run(self, attempt_id):
        return next(
            (
                run
                for run in self.runs
                if run.attempt_id == attempt_id and not run.ended
            ),
            None,
        )

    async def _send_kv_copy(self, address, name, events):
        """Send a KV copy to another engine; return whether it was accepted.

        The number of the last event stands for the content of the KV memory.
        """
        if self._session is None:
            self._session = ClientSession(timeout=ClientTimeout(total=0.5))
        url = f"http://{address}" + COPY_PATH.format(run=name)
        try:
            async with self._session.put(url, data=str(events)) as response:
                return response.status == 200
        except (ClientError, TimeoutError, OSError) as error:
            logger.debug("KV copy could not be sent to another engine: {!r}", error)
            return False

    async def _hang_if_silenced(self, request):
        """Hang if the ``down`` fault is active with the manner ``silent``."""
        if self.is_down and self.down_manner == "silent":
            await asyncio.sleep(HANG_S)

    async def _track_connection(self, request):
        """Handle a call whose connection a crash or a fault can reset."""
        self._transports.add(request.transport)
        try:
            return await self._run_or_refuse(request)
        finally:
            self._transports.discard(request.transport)

    async def _run_or_refuse(self, request):
        """Run the call, or refuse it with an error status."""
        request_head = decode_request_headers(request.headers)
        self.arrivals.append([time.time(), request.remote])
        body = await request.read()
        await self._hang_if_silenced(request)
        if self.is_down:
            return self._make_refusal(request_head, 503)
        if request_head.expected not in (None, self.engine_id):
            return self._make_refusal(request_head, 421)
        if not request_head.attempt_id:
            return self._make_refusal(request_head, 400)
        if self.rest_text and random.random() < self.refused_share:
            self.rests.append([time.time(), request.remote])
            refusal = self._make_refusal(request_head, 503)
            refusal.headers[RETRY_AFTER] = self.rest_text
            return refusal
        if self.running >= self.slots:
            if self._has_refused_too_many():
                self.falls.append(time.time())
                self.crash()
                return web.Response(status=500)
            return self._make_refusal(request_head, 503)
        if (
            request_head.copy_name is not None
            and request_head.copy_name not in self.kv_copies
        ):
            return self._make_refusal(request_head, 503)
        run = Run(
            request_head.attempt_id,
            request.method,
            request.raw_path,
            hashlib.sha256(body).hexdigest(),
            request_head.organisation or "",
            dict(request.headers),
            version=self.version,
        )
        self.runs.append(run)
        poison = self.traits.poison.encode()
        if poison and (poison in body or poison in request.raw_path.encode()):
            if self.traits.silence_s:
                await self.crash_silently()
            self.crash()
            return web.Response(status=500)
        try:
            if request_head.output_events is None:
                return await self._run_plain_call(request, request_head, run, body)
            return await self._run_stream(request, request_head, run)
        finally:
            run.ended = run.ended or "left"

    def _has_refused_too_many(self):
        """Count a refusal for want of room; return whether the engine crashes."""
        if not self.refusal_tolerance:
            return False
        now_s = time.monotonic()
        recent = self._recent_refusals_s
        recent.append(now_s)
        while recent[0] < now_s - 1.0:
            recent.popleft()
        if len(recent) <= int(self.refusal_tolerance):
            return False
        recent.clear()
        return True

    def _make_refusal(self, request_head, status):
        """Return a response that states that the call was not executed."""
        headers = self._make_headers(request_head, was_executed=False)
        return web.Response(status=status, headers=headers)

    def make_sealed_headers(self, request_head):
        """Return the headers of a response to an executed call, with the seal."""
        return self._make_headers(request_head, was_executed=True)

    def _make_headers(self, request_head, was_executed):
        if self.request_limit and not self.limited_at_s:
            self.limited_at_s = time.time()
        if self.refusal_tolerance and not self.brittle_at_s:
            self.brittle_at_s = time.time()
        headers = make_response_headers(
            request_head.attempt_id,
            self.engine_id,
            was_executed,
            self.request_limit,
            self.refusal_tolerance,
        )
        if self.says_leaving:
            headers[LEAVING] = "1"
        return headers

    async def _run_plain_call(self, request, request_head, run, body):
        await asyncio.sleep(self.traits.work_s * self.slowdown)
        if self.pending_response_faults:
            return await RESPONSE_FAULTS[self.pending_response_faults.popleft()](
                self, request, request_head, run
            )
        run.ended = "whole"
        digest = hashlib.sha256(body).hexdigest()
        content = (
            f"{request.method} {request.raw_path} {digest} {request_head.attempt_id}\n"
        )
        return web.Response(
            text=content, headers=self.make_sealed_headers(request_head)
        )

    async def _run_stream(self, request, request_head, run):
        run.first_event = request_head.last_event_id + 1
        if request_head.copy_name is not None:
            self.kv_copies.pop(request_head.copy_name)
        else:
            run.prefilled = request_head.prompt_tokens
            await asyncio.sleep(self.traits.prompt_s * self.slowdown)
        if self.traits.poison and self.traits.poison in request_head.content_key:
            self.crash()
            return web.Response(status=500)
        if self.pending_response_faults:
            return await RESPONSE_FAULTS[self.pending_response_faults.popleft()](
                self, request, request_head, run
            )
        response = web.StreamResponse(headers=self.make_sealed_headers(request_head))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        last_copy_s = 0.0
        for number in range(run.first_event, request_head.output_events + 1):
            await self._hang_if_silenced(request)
            if self.is_cut_off_from(request.remote):
                await asyncio.sleep(HANG_S)
            content = encode_event(request_head.content_key, number)
            run.events = number
            await response.write(content)
            now_s = time.monotonic()
            if request_head.backup and now_s - last_copy_s > KV_COPY_INTERVAL_S:
                last_copy_s = now_s
                await self._send_kv_copy(
                    request_head.backup, request_head.attempt_id, number
                )
            await asyncio.sleep(self.traits.event_s * self.slowdown)
        await response.write_eof()
        run.ended = "whole"
        return response


def encode_event(content_key, number):
    """Return the server-sent event for a content key and an event number."""
    digest = hashlib.sha256(f"{content_key}:{number}".encode()).hexdigest()[:16]
    return f"id: {number}\ndata: {number}.{digest}\n\n".encode()


RESPONSE_FAULTS = {}


def register_response_fault(name):
    """Register a function that sends a faulty response.

    It is called with (standin, request, request_head, run) for each call to which the
    ``spoil`` fault applies this name.
    """

    def register(function):
        RESPONSE_FAULTS[name] = function
        return function

    return register


@register_fault("spoil")
def queue_response_faults(standin, fault):
    """Apply the response fault named in ``manner`` to the next ``amount`` calls."""
    standin.pending_response_faults.extend([fault.manner] * int(fault.amount))


@register_fault("down-for")
def set_restart_delay(standin, fault):
    """Set the delay between a crash and the restart."""
    standin.restart_delay_s = fault.seconds


@register_fault("keep-id")
def reuse_id(standin, fault):
    """Keep the engine id across crashes."""
    standin.reuses_id = True


@register_fault("limit")
def set_request_limit(standin, fault):
    """State ``manner`` as the limit of requests per second; empty for none."""
    standin.request_limit = fault.manner


@register_fault("brittle")
def set_refusal_tolerance(standin, fault):
    """Crash after more than ``manner`` refusals in a second; run ``amount`` calls."""
    standin.refusal_tolerance = fault.manner
    standin.slots = int(fault.amount)


@register_fault("rest")
def ask_for_rest(standin, fault):
    """Refuse a share ``amount`` of the calls with ``Retry-After: manner``."""
    standin.rest_text = fault.manner
    standin.refused_share = fault.amount


@register_fault("say-leaving")
def say_leaving(standin, fault):
    """State in all responses that the engine is leaving."""
    standin.says_leaving = True


@register_fault("cut")
def cut_off_hosts(standin, fault):
    """Cut the engine off from the hosts in ``source`` for ``seconds``.

    The manner is ``hang`` (requests get no answer) or ``reset``.
    """
    standin.cut_sources = frozenset(fault.source.split(","))
    standin.cut_manner = fault.manner
    standin.cut_until_s = time.monotonic() + fault.seconds
    if fault.manner == "reset":
        standin.reset_cut_connections()


@register_fault("next-version")
def set_next_version(standin, fault):
    """Start each later incarnation with the software version in ``manner``."""
    standin.next_version = fault.manner


@register_fault("become")
def become_other_engine(standin, fault):
    """Become an unregistered engine of another service at the same address."""
    standin.runs.clear()
    standin.start_incarnation()
    standin.skips_registration = True


async def write_raw(request, run, data, outcome):
    """Write bytes to the transport, record the outcome and close the connection."""
    transport = request.transport
    transport.write(data)
    run.ended = outcome
    transport.close()
    return web.Response(status=500)


def make_response_head(standin, request_head, status="200 OK", *extra_lines):
    """Return the status line and header fields of a response as bytes."""
    headers = standin.make_sealed_headers(request_head).items()
    header_lines = [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(
        [f"HTTP/1.1 {status}", *header_lines, *extra_lines, "", ""]
    ).encode()


@register_response_fault("truncated")
async def truncate(standin, request, request_head, run):
    """Send fewer bytes than the Content-Length states."""
    head = make_response_head(standin, request_head, "200 OK", "Content-Length: 100")
    return await write_raw(request, run, head + b"too short", "truncated")


@register_response_fault("extra")
async def send_extra_response(standin, request, request_head, run):
    """Send a second response after a complete one."""
    head = make_response_head(standin, request_head, "200 OK", "Content-Length: 5")
    return await write_raw(request, run, head + b"whole" + head + b"other", "whole")


@register_response_fault("unframed")
async def send_unframed(standin, request, request_head, run):
    """Send a complete response whose end is marked by closing the connection."""
    head = make_response_head(standin, request_head, "200 OK", "Connection: close")
    return await write_raw(request, run, head + b"whole", "whole")


async def send_unframed_events(standin, request, request_head, run, count, rest=b""):
    """Send events and further bytes; the end of the connection ends the response."""
    lines = ["Content-Type: text/event-stream", "Connection: close"]
    head = make_response_head(standin, request_head, "200 OK", *lines)
    numbers = range(run.first_event, run.first_event + count)
    run.events = numbers[-1]
    events = [encode_event(request_head.content_key, number) for number in numbers]
    return await write_raw(request, run, head + b"".join(events) + rest, "whole")


@register_response_fault("unframed-stream")
async def send_unframed_stream(standin, request, request_head, run):
    """Send a complete stream whose end is marked by closing the connection."""
    count = request_head.output_events + 1 - run.first_event
    return await send_unframed_events(standin, request, request_head, run, count)


@register_response_fault("torn-stream")
async def tear_stream(standin, request, request_head, run):
    """Close the connection inside the third event; complete a resumed stream."""
    if request_head.last_event_id:
        return await send_unframed_stream(standin, request, request_head, run)
    event = encode_event(request_head.content_key, run.first_event + 2)
    return await send_unframed_events(
        standin, request, request_head, run, 2, event[: len(event) // 2]
    )


@register_response_fault("unframed-reset")
async def reset_unframed(standin, request, request_head, run):
    """Reset the connection in the middle of a response without Content-Length."""
    head = make_response_head(standin, request_head, "200 OK", "Connection: close")
    transport = request.transport
    transport.write(head + b"half")
    # The first half is to reach the caller before the reset.
    await asyncio.sleep(0.05)
    run.ended = "reset"
    # SOL_SOCKET and SO_LINGER with a timeout of 0 s: closing sends a TCP reset.
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    transport.get_extra_info("socket").setsockopt(1, 13, linger)
    transport.abort()
    return web.Response(status=500)


@register_response_fault("noise")
async def send_invalid_http(standin, request, request_head, run):
    """Send bytes that are not an HTTP response."""
    return await write_raw(request, run, b"\x00\x01 no answer\r\n\r\n", "noise")


@register_response_fault("unsealed")
async def send_without_seal(standin, request, request_head, run):
    """Send a response without the engine's seal."""
    run.ended = "unsealed"
    return web.Response(text="whose is this?")


@register_response_fault("other")
async def answer_other_attempt(standin, request, request_head, run):
    """Send a response with the id of another attempt."""
    run.ended = "other"
    headers = make_response_headers("ffffffffffffffff", standin.engine_id, True)
    return web.Response(text="somebody else's", headers=headers)


@register_response_fault("failed")
async def fail_call(standin, request, request_head, run):
    """Send an error response with the engine's seal."""
    run.ended = "failed"
    headers = standin.make_sealed_headers(request_head)
    return web.Response(status=500, text="failed", headers=headers)


@register_response_fault("lost")
async def drop_response(standin, request, request_head, run):
    """Count the call as executed and reset the connection."""
    run.ended = "whole"
    request.transport.abort()
    return web.Response(status=500)


@register_response_fault("hung")
async def hang(standin, request, request_head, run):
    """Send no response within the timeout of any caller."""
    await asyncio.sleep(HANG_S)


class SharedEngineService(Service):
    """Service that runs the HTTP server and the registration of an engine stand-in.

    Parameters
    ----------
    standin : SharedEngineStandin
        The engine to run.
    address, port : str, int
        Address and port to listen on.
    store_url : str
        URL of the platform's store.
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
        standin.on_crash = self._schedule_restart
        standin.on_silence = self._schedule_silent_crash

    async def on_start(self):
        """Connect to the store and start listening."""
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

    def _schedule_silent_crash(self):
        self.add_future(self._end_silence())
        self.add_future(self._lapse(self.standin.engine_id))

    async def _end_silence(self):
        await SystemClock().sleep(self.standin.traits.silence_s)
        self.standin.crash()

    async def _lapse(self, name):
        """Remove a registration as the platform does after the last heartbeat."""
        await SystemClock().sleep(REGISTRATION_LIFETIME_S)
        read = await self._store.read(ENGINES_KIND, name)
        if read.is_ok():
            await self._store.delete(ENGINES_KIND, name, read.ok.revision)

    def _schedule_restart(self):
        self.add_future(self._restart())

    async def _restart(self):
        """Stop listening, and listen as a new incarnation after the restart delay."""
        await self._site.stop()
        await SystemClock().sleep(self.standin.restart_delay_s)
        self.standin.start_incarnation()
        await self._listen()

    @Service.task
    async def _maintain_registration(self):
        """Write the registration of each incarnation, and each change of it."""
        written = None
        while not self.should_stop:
            standin = self.standin
            spec = encode_registration(
                standin.traits,
                standin.version,
                f"{self._address}:{self._port}",
                standin.is_draining,
                standin.started_ms,
            )
            current = (standin.engine_id, orjson.dumps(spec))
            changed = current != written and not standin.skips_registration
            if changed and await self._write_registration(standin.engine_id, spec):
                written = current
            await asyncio.sleep(REGISTRATION_INTERVAL_S / 5)

    async def _write_registration(self, name, spec):
        """Create or replace the registration; return whether it was written."""
        result = await self._store.create(ENGINES_KIND, name, spec)
        if result.is_error() and isinstance(result.error, StoreConflict):
            current = result.error.current
            if current is None:
                return False
            result = await self._store.replace(
                ENGINES_KIND, name, spec, current.revision
            )
        return result.is_ok()

    async def on_stop(self):
        """Stop the HTTP server and close the client session."""
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()


@dataclass(slots=True, frozen=True)
class EndlessBytes:
    """Bytes that are repeated until the caller closes, and what precedes them.

    Parameters
    ----------
    start, filler : bytes
        Bytes that are sent once, and bytes that are repeated.
    header_lines : tuple of str or None
        Lines added to the head of a valid response, which is sent first; None sends no
        head.
    """

    start: bytes
    filler: bytes
    header_lines: tuple | None = None


CHUNKED = "Transfer-Encoding: chunked"
EVENTS = "Content-Type: text/event-stream"
FILLER = b"0123456789abcdef"
ENDLESS_RESPONSES = {
    "header lines": EndlessBytes(b"HTTP/1.1 200 OK\r\n", b"X-Filler: abcdef\r\n"),
    "a header line": EndlessBytes(b"HTTP/1.1 200 OK\r\nX-Filler: ", FILLER),
    "a status line": EndlessBytes(b"HTTP/1.1 200 ", FILLER),
    "informational responses": EndlessBytes(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "a body": EndlessBytes(b"", FILLER, ()),
    "chunks": EndlessBytes(b"", b"10\r\n" + FILLER + b"\r\n", (CHUNKED,)),
    "a chunk line": EndlessBytes(b"10;", FILLER, (CHUNKED, EVENTS)),
    "trailers": EndlessBytes(b"0\r\n", b"X-Filler: abcdef\r\n", (CHUNKED,)),
    "an event": EndlessBytes(b"id: 1\ndata: ", FILLER, (EVENTS,)),
    "an event in chunks": EndlessBytes(
        b"d\r\nid: 1\ndata: ab\r\n",
        b"10\r\n" + FILLER + b"\r\n",
        (CHUNKED, EVENTS),
    ),
    "comments": EndlessBytes(b"", b": wait\n\n", (EVENTS,)),
    "an event again": EndlessBytes(b"", b"id: 1\ndata: abc\n\n", (EVENTS,)),
}
ENDLESS_WRITE_BYTES = 1 << 16


async def write_endlessly(transport, start, filler):
    """Write bytes to a transport until the other end closes the connection."""
    transport.write(start)
    block = filler * (ENDLESS_WRITE_BYTES // len(filler))
    while not transport.is_closing():
        if transport.get_write_buffer_size() < len(block):
            transport.write(block)
        await asyncio.sleep(0.0005)


def register_endless_response(name, endless):
    """Register the response fault that repeats bytes until the caller closes."""

    @register_response_fault(f"endless {name}")
    async def send_endlessly(standin, request, request_head, run):
        start = endless.start
        if endless.header_lines is not None:
            head = make_response_head(
                standin, request_head, "200 OK", *endless.header_lines
            )
            start = head + start
        try:
            await write_endlessly(request.transport, start, endless.filler)
        finally:
            run.ended = "cut off"
        return web.Response(status=500)


for _name, _endless in ENDLESS_RESPONSES.items():
    register_endless_response(_name, _endless)


@register_fault("endless-reports")
def send_reports_endlessly(standin, fault):
    """Answer requests for the report with a body without end."""
    standin.has_endless_reports = True
