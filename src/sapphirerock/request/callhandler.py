"""HTTP handler for the requests of callers, which it serves or refuses."""

import asyncio
from enum import Enum

from expression import Error, Ok
from loguru import logger
from opentelemetry.trace import SpanKind

from sapphirerock.connection.ingress import (
    BodyFailure,
    has_large_header,
    read_request_body,
)
from sapphirerock.connection.responder import Responder
from sapphirerock.decisions.quarantine import EVIDENCE_TTL_S
from sapphirerock.decisions.streamversions import StreamOrigin, choose_origin
from sapphirerock.platform.ingress import decode_call_metadata, select_request_headers
from sapphirerock.process.engines.crashwatch import fingerprint_call
from sapphirerock.process.telemetry.tracing import extract_trace_context
from sapphirerock.request.call import RoutedCall
from sapphirerock.request.plaincall import PlainCall
from sapphirerock.request.problem import (
    CLOSING_PROBLEMS,
    CRASHES_ENGINES,
    GENERATION_LOST,
    HEADER_TOO_LARGE,
    NO_CONFIGURATION,
    NOT_FOUND,
    UNAUTHORISED,
    Problem,
    make_body_problem,
    make_shutdown_problem,
)
from sapphirerock.request.streamcall import StreamCall

# A host that starts gets a configuration within this time if the store or a peer is
# reachable.
START_RETRY_AFTER_S = 1.0
# Time that a caller allows for a response if it states none.
DEFAULT_TIMEOUT_S = 1.0
# Another host may know where the stream began.
TAKE_UP_RETRY_AFTER_S = 0.5
# A host that has just started loads the records of streams within this time.
ORIGINS_WAIT_S = 0.5


class EarlyEnd(Enum):
    """Why a whole request got no complete response."""

    NONE = "none"
    CALLER_LEFT = "caller left"
    # No engine finished a stream that had begun.
    GIVEN_UP = "given up"
    # The connection was cut off at the end of the shutdown.
    SHUTDOWN = "shutdown"
    # The handler failed.
    ERROR = "error"


class CallHandler:
    """Serves the requests of callers.

    Parameters
    ----------
    runtime : EdgeRuntime
        Services of the process.
    routing : RoutingStore
        Holds the current configuration.

    Attributes
    ----------
    active_calls : int
        Requests in progress.
    """

    __slots__ = (
        "active_calls",
        "_runtime",
        "_routing",
    )

    def __init__(self, runtime, routing):
        self.active_calls = 0
        self._runtime = runtime
        self._routing = routing

    async def handle(self, request):
        """Serve one request and return its response; called by the HTTP server.

        Each request is counted in the metrics, also if its caller disconnects.
        """
        runtime = self._runtime
        responder = Responder(request, close_connection=runtime.shutdown.has_begun)
        arrived_s = runtime.clock.monotonic()
        route_kind = "none"
        call = None
        cause = EarlyEnd.NONE
        self.active_calls += 1
        try:
            with runtime.tracer.start_as_current_span(
                "caller",
                context=extract_trace_context(request.headers),
                kind=SpanKind.SERVER,
            ):
                received = await self._read_call(request, arrived_s)
                if received.is_error():
                    if received.error.kind in CLOSING_PROBLEMS:
                        responder.close_after_response()
                    await responder.send_problem(received.error)
                else:
                    call = received.ok
                    route_kind = call.route.kind.value
                    await self._serve_call(call, responder)
            if responder.is_aborted:
                cause = EarlyEnd.GIVEN_UP
        except (asyncio.CancelledError, ConnectionError):
            cause = EarlyEnd.CALLER_LEFT
            if runtime.shutdown.has_ended:
                cause = EarlyEnd.SHUTDOWN
            raise
        except Exception:
            cause = EarlyEnd.ERROR
            raise
        finally:
            if call is not None and cause is not EarlyEnd.NONE:
                self._record_early_end(call, responder, cause, arrived_s)
            self.active_calls -= 1
            elapsed_s = runtime.clock.monotonic() - arrived_s
            runtime.metrics.observe_call(route_kind, responder, elapsed_s)
        return responder.response

    def _record_early_end(self, call, responder, cause, arrived_s):
        """Log and count a whole request that got no complete response."""
        self._runtime.metrics.early_ends.labels(cause.value).inc()
        elapsed_s = self._runtime.clock.monotonic() - arrived_s
        logger.bind(
            request=call.metadata.attempt_id,
            route=call.route.name,
            cause=cause.value,
            status=responder.status,
            after_s=round(elapsed_s, 3),
            revision=call.revision,
            newest_revision=self._routing.current.revision,
        ).info("response ended early")

    async def _read_call(self, request, arrived_s):
        """Match a request to a route and read its body.

        The request waits until a host that starts has its data. It is refused if there
        is no configuration or route, if it could be cut
        off by the shutdown, if its key is unknown or if a header or its body is too
        large.

        Returns
        -------
        expression.Result of RoutedCall or Problem
        """
        metadata = decode_call_metadata(request.headers)
        await self._runtime.start_data.wait(
            DEFAULT_TIMEOUT_S
            if metadata.caller_timeout_s is None
            else metadata.caller_timeout_s
        )
        version = self._routing.current
        if version is None:
            return Error(Problem(NO_CONFIGURATION, "starting", START_RETRY_AFTER_S))
        path = request.raw_path.partition("?")[0]
        route = version.find_route(request.headers.get("Host", ""), path)
        if has_large_header(request, version.limits.header_bytes):
            problem = Problem(HEADER_TOO_LARGE, "header too large")
            return self._refuse(metadata, version, problem)
        if route is None:
            return self._refuse(metadata, version, Problem(NOT_FOUND, "no route"))
        caller_timeout_s = (
            route.timeout_s
            if metadata.caller_timeout_s is None
            else metadata.caller_timeout_s
        )
        response_deadline_s = arrived_s + min(caller_timeout_s, route.timeout_s)
        shutdown = self._runtime.shutdown
        if not shutdown.can_take(route, response_deadline_s):
            return self._refuse(metadata, version, make_shutdown_problem())
        caller = version.callers.get(metadata.key)
        if version.needs_keys and not route.is_public and caller is None:
            return self._refuse(metadata, version, Problem(UNAUTHORISED, "unknown key"))
        body = await read_request_body(
            request, version.limits.body_bytes, response_deadline_s
        )
        if body.is_error():
            problem = make_body_problem(body.error, self._runtime.generator)
            return self._refuse(metadata, version, problem)
        # The shutdown may have begun, or be near its end, once the body has arrived.
        if not shutdown.can_take(route, response_deadline_s):
            return self._refuse(metadata, version, make_shutdown_problem())
        if route.is_streaming and not request.protocol.begin_stream():
            problem = make_body_problem(BodyFailure.NO_ROOM, self._runtime.generator)
            return self._refuse(metadata, version, problem)
        priority = caller.priority if caller else None
        origin = None
        if route.is_streaming and metadata.takes_up_stream:
            if metadata.resumed_attempt_id:
                await self._runtime.stored_origins.wait_until_loaded(ORIGINS_WAIT_S)
            choice = await self._choose_origin(route, metadata)
            if choice.origin is None:
                problem = Problem(GENERATION_LOST, choice.reason, TAKE_UP_RETRY_AFTER_S)
                return self._refuse(metadata, version, problem)
            origin = choice.origin
        service = origin.service if origin else self._choose_service(route)
        return Ok(
            RoutedCall(
                method=request.method,
                target=request.raw_path,
                headers=select_request_headers(request.headers, version.needs_keys),
                body=body.ok,
                metadata=metadata,
                route=route,
                service=service,
                organisation=caller.organisation if caller else None,
                priority=route.priority if priority is None else priority,
                deadline_s=arrived_s + caller_timeout_s,
                response_deadline_s=response_deadline_s,
                revision=version.revision,
                origin=origin,
                ranks=version.list_ranks(service),
                rollout_draw=self._runtime.generator.random(),
            )
        )

    async def _choose_origin(self, route, metadata):
        """Return the choice of the origin of a stream that its caller takes up."""
        runtime = self._runtime
        recorded = self._find_record(metadata)
        candidates = self._list_candidates(route)
        are_all_known = False
        if recorded is None and len(candidates) == 1:
            are_all_known = await runtime.version_history.confirm_all()
            # A record or a version may have arrived meanwhile.
            recorded = self._find_record(metadata)
            candidates = self._list_candidates(route)
        choice = choose_origin(recorded, candidates, are_all_known)
        logger.bind(
            request=metadata.attempt_id,
            resumes=metadata.resumed_attempt_id,
            after=metadata.last_event_id,
            engine_version=choice.origin.version if choice.origin else None,
            versions=sorted({origin.version for origin in candidates}),
            are_all_known=are_all_known,
            reason=choice.reason,
        ).info("stream taken up" if choice.origin else "stream take-up refused")
        return choice

    def _find_record(self, metadata):
        """Return the recorded origin of the stream that a caller takes up, or None."""
        if not metadata.resumed_attempt_id:
            return None
        return self._runtime.stream_origins.find(metadata.resumed_attempt_id)

    def _list_candidates(self, route):
        """Return where a stream of a route can have begun, as far as known."""
        return {
            StreamOrigin(share.service, version)
            for share in route.shares
            for version in self._runtime.fleet.engines.list_versions(share.service)
        }

    def _refuse(self, metadata, version, problem):
        """Log a refusal and return the problem as an error result."""
        logger.bind(
            request=metadata.attempt_id,
            status=problem.status,
            problem=problem.kind.name,
            detail=problem.detail,
            retry_after_s=problem.retry_after_s,
            revision=version.revision,
        ).info("request refused")
        return Error(problem)

    def _choose_service(self, route):
        """Return the name of a service of the route, chosen at random by weight."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        return self._runtime.generator.choices(shares, weights)[0].service

    async def _serve_call(self, call, responder):
        """Run a call, unless it is blocked as a poison request."""
        if self._runtime.crash_watch.is_blocked(call):
            logger.bind(
                request=call.metadata.attempt_id,
                fingerprint=fingerprint_call(call).hex(),
            ).warning("poison request refused")
            detail = "engines crashed each time that they ran it"
            problem = Problem(CRASHES_ENGINES, detail, EVIDENCE_TTL_S)
            await responder.send_problem(problem)
            return
        call_type = StreamCall if call.route.is_streaming else PlainCall
        await call_type(self._runtime, call, responder).run()
