"""HTTP API for callers."""

import asyncio
import uuid

from aiohttp import web
from expression import Error, Ok
from opentelemetry.trace import SpanKind

from sapphirerock.connection.callerresponses import (
    GenerationReader,
    collect_generation,
    make_problem_response,
    stream_generation,
)
from sapphirerock.connection.ingress import read_request_body
from sapphirerock.connection.plain import PlainRequest, select_forwarded_headers
from sapphirerock.process.journals.generations import AttachRequest
from sapphirerock.process.telemetry.tracing import extract_trace_context
from sapphirerock.request.completion import parse_completion, parse_position
from sapphirerock.request.idempotentcall import IdempotentCall
from sapphirerock.request.order import OrderCall, choose_outcome
from sapphirerock.request.problem import (
    CLOSING_PROBLEMS,
    KEY_REQUIRED,
    MALFORMED,
    NOT_FOUND,
    RATE_LIMITED,
    SHUTTING_DOWN,
    UNAUTHORISED,
    Problem,
    make_body_problem,
)

# Time in which a body must arrive, long enough for slow links.
BODY_TIMEOUT_S = 60.0
IDEMPOTENCY_KEY_LIMIT_CHARS = 256
BEARER_PREFIX = "Bearer "
MAX_REQUEST_TIMEOUT_S = 3600.0


class Gateway:
    """HTTP handlers of the callers' API.

    Parameters
    ----------
    runtime : Runtime
        Objects that all requests of the process share.
    generations : GenerationTable
        Generations that this host runs for callers.
    limits : LimitTable
        Rate limits of organisations.
    body_limit_bytes : int
        Largest body of a request, in bytes.

    Attributes
    ----------
    is_shutting_down : bool
        Whether new requests are refused.
    active_calls : int
        Requests that are being answered.
    """

    __slots__ = (
        "is_shutting_down",
        "active_calls",
        "_runtime",
        "_generations",
        "_limits",
        "_body_limit_bytes",
    )

    def __init__(self, runtime, generations, limits, body_limit_bytes):
        self.is_shutting_down = False
        self.active_calls = 0
        self._runtime = runtime
        self._generations = generations
        self._limits = limits
        self._body_limit_bytes = body_limit_bytes

    def add_routes(self, application):
        """Add the callers' routes."""
        application.add_routes(
            [
                web.post("/v1/completions", self.handle_completion),
                web.route("*", "/v1/services/{service}/{path:.*}", self.handle_call),
            ]
        )

    async def handle_completion(self, request):
        """Answer ``POST /v1/completions``."""
        return await self._handle(request, "completion", self._answer_completion)

    async def handle_call(self, request):
        """Answer a call to a plain service."""
        return await self._handle(request, "call", self._answer_call)

    async def _handle(self, request, kind, handler):
        """Answer a request within a span and count the answer."""
        self.active_calls += 1
        try:
            with self._runtime.tracer.start_as_current_span(
                f"caller {kind}",
                context=extract_trace_context(request.headers),
                kind=SpanKind.SERVER,
            ):
                response = await self._admit_and_answer(request, handler)
            self._runtime.metrics.requests.labels(kind, str(response.status)).inc()
            return response
        finally:
            self.active_calls -= 1

    async def _admit_and_answer(self, request, handler):
        if self.is_shutting_down:
            return make_problem_response(Problem(SHUTTING_DOWN, "use another host", 0))
        snapshot = self._runtime.settings.snapshot
        organisation = self._authenticate(request, snapshot)
        if organisation.is_error():
            return make_problem_response(organisation.error)
        body = await read_body(request, self._body_limit_bytes, self._runtime.random)
        if body.is_error():
            response = make_problem_response(body.error)
            if body.error.kind in CLOSING_PROBLEMS:
                response.force_close()
            return response
        return await handler(request, snapshot, organisation.ok, body.ok)

    def _authenticate(self, request, snapshot):
        """Return the organisation with the request's key, unless it is rate limited.

        Returns
        -------
        expression.Result of Organisation or Problem
        """
        header = request.headers.get("Authorization", "")
        organisation = None
        if header.startswith(BEARER_PREFIX):
            organisation = snapshot.organisations.find_by_key(
                header[len(BEARER_PREFIX) :]
            )
        if organisation is None:
            return Error(Problem(UNAUTHORISED, "no organisation has this key"))
        retry_after_s = self._limits.admit(organisation)
        if retry_after_s is not None:
            detail = f"{organisation.name} is over its rate"
            return Error(Problem(RATE_LIMITED, detail, retry_after_s))
        return Ok(organisation)

    async def _answer_completion(self, request, snapshot, organisation, body):
        attach = self._parse_attach_request(request, snapshot, organisation, body)
        if attach.is_error():
            return make_problem_response(attach.error)
        attached = await self._generations.attach(attach.ok)
        if attached.is_error():
            return make_problem_response(attached.error)
        return await self._send_generation(request, attach.ok, attached.ok)

    async def _send_generation(self, request, attach, generation):
        runtime = self._runtime
        started_s = runtime.clock.monotonic()
        start = attach.offset + 1
        reader = GenerationReader(generation, start, runtime.clock, runtime.metrics)
        with reader:
            if not attach.completion.stream:
                return await collect_generation(generation, reader)
            await reader.wait_for_first_token()
            runtime.metrics.first_token.observe(runtime.clock.monotonic() - started_s)
            if generation.problem is not None and generation.released_end <= start:
                return make_problem_response(generation.problem)
            return await stream_generation(request, generation, reader)

    def _parse_attach_request(self, request, snapshot, organisation, body):
        """Decode a completion request into the generation and position to read from.

        Returns
        -------
        expression.Result of AttachRequest or Problem
        """
        completion = parse_completion(body)
        if completion.is_error():
            return completion
        route = snapshot.find_route(completion.ok.model, organisation.name)
        if route is None:
            return Error(Problem(NOT_FOUND, f"no model {completion.ok.model!r}"))
        service = snapshot.services[route.service]
        position = None
        if "Last-Event-ID" in request.headers:
            parsed = parse_position(request.headers["Last-Event-ID"])
            if parsed.is_error():
                return parsed
            position = parsed.ok
        timeout = parse_timeout(request, service.start_deadline_s)
        key = parse_idempotency_key(request)
        if timeout.is_error() or key.is_error():
            return timeout if timeout.is_error() else key
        return Ok(
            AttachRequest(
                organisation,
                key.ok or uuid.uuid4().hex,
                completion.ok,
                position,
                route,
                service,
                self._runtime.clock.monotonic() + timeout.ok,
            )
        )

    async def _answer_call(self, request, snapshot, organisation, body):
        name = request.match_info["service"]
        service = snapshot.services.get(name)
        if service is None or service.type != "plain":
            return make_problem_response(Problem(NOT_FOUND, f"no service {name!r}"))
        timeout = parse_timeout(request, service.call_timeout_s)
        key = parse_idempotency_key(request)
        if timeout.is_error() or key.is_error():
            return make_problem_response(
                timeout.error if timeout.is_error() else key.error
            )
        call = PlainRequest(
            request.method,
            request.match_info["path"],
            request.query_string,
            select_forwarded_headers(request.headers),
            body,
        )
        deadline_s = self._runtime.clock.monotonic() + timeout.ok
        if service.is_order(call.path):
            return await self._answer_order(
                service, organisation, key.ok, call, deadline_s
            )
        answer = await IdempotentCall(self._runtime, service, call, deadline_s).run()
        return make_call_response(answer)

    async def _answer_order(self, service, organisation, key, call, deadline_s):
        if not key:
            detail = f"{service.name} takes orders only with an Idempotency-Key"
            return make_problem_response(Problem(KEY_REQUIRED, detail))
        order = OrderCall(self._runtime, service, organisation, key, call, deadline_s)
        answer, outcome = await order.run()
        self._runtime.metrics.orders.labels(outcome).inc()
        return make_call_response(answer)


def make_call_response(answer):
    """Convert a plain service's answer or a problem into an HTTP response."""
    if isinstance(answer, Problem):
        return make_problem_response(answer)
    return web.Response(
        status=answer.status,
        body=answer.body,
        content_type=answer.content_type,
        headers={"Sapphirerock-Outcome": choose_outcome(answer.status)},
    )


async def read_body(request, limit_bytes, generator):
    """Read a request's body.

    Parameters
    ----------
    limit_bytes : int
        Largest size of a body, in bytes.
    generator : random.Random
        Spreads the times at which refused callers retry.

    Returns
    -------
    expression.Result of bytes or Problem
    """
    deadline_s = asyncio.get_running_loop().time() + BODY_TIMEOUT_S
    body = await read_request_body(request, limit_bytes, deadline_s)
    if body.is_ok():
        return body
    return Error(make_body_problem(body.error, generator))


def parse_timeout(request, default_s):
    """Decode ``Request-Timeout``; `default_s` applies without the header.

    Returns
    -------
    expression.Result of float or Problem
        Timeout in seconds.
    """
    text = request.headers.get("Request-Timeout")
    if text is None:
        return Ok(default_s)
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= MAX_REQUEST_TIMEOUT_S:
        detail = f"Request-Timeout {text[:40]!r} is no number of seconds up to "
        return Error(Problem(MALFORMED, f"{detail}{MAX_REQUEST_TIMEOUT_S:.0f}"))
    return Ok(seconds)


def parse_idempotency_key(request):
    """Decode ``Idempotency-Key``; the key is empty without the header.

    Returns
    -------
    expression.Result of str or Problem
    """
    key = request.headers.get("Idempotency-Key", "")
    if len(key) > IDEMPOTENCY_KEY_LIMIT_CHARS:
        detail = f"an Idempotency-Key may have {IDEMPOTENCY_KEY_LIMIT_CHARS} characters"
        return Error(Problem(MALFORMED, detail))
    return Ok(key)
