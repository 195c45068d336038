"""Plain calls: buffered responses, and retries if the route allows them."""

import asyncio
from enum import Enum

from loguru import logger

from sapphirerock.connection.errors import (
    DeadlineExceeded,
    RelayUnavailable,
    UpstreamUnreachable,
)
from sapphirerock.decisions.quarantine import EVIDENCE_TTL_S
from sapphirerock.decisions.retryafter import choose_retry_after
from sapphirerock.decisions.turns import choose_max_wait
from sapphirerock.request.problem import (
    CRASHED_ENGINES,
    TIMED_OUT,
    UNAVAILABLE,
    UPSTREAM_FAILED,
    Problem,
)
from sapphirerock.request.turntaker import TurnTaker
from sapphirerock.request.upstreamattempt import UpstreamAttempt

MIN_SERVER_ERROR_STATUS = 500
# Limit on the attempts at one call, including those that the engine did not execute.
MAX_SENDS = 6


class PlainCallOutcome(Enum):
    """How an attempt at a plain call ended."""

    # The engine sent a response that goes to the caller.
    ANSWERED = "answered"
    # The engine did not execute the call.
    NOT_RUN = "not run"
    # The engine or the connection failed, or a server error may be retried.
    FAILED = "failed"
    DEADLINE_EXCEEDED = "time is up"


class PlainCall:
    """One call of a route without streaming.

    Parameters
    ----------
    runtime : EdgeRuntime
        Services of the process.
    call : RoutedCall
        The call.
    responder : Responder
        Sends the response to the caller.
    """

    __slots__ = (
        "_runtime",
        "_call",
        "_responder",
        "_tried_engines",
        "_engines_with_server_error",
        "_sends",
        "_failures",
        "_response",
        "_turns",
        "_log",
    )

    def __init__(self, runtime, call, responder):
        self._runtime = runtime
        self._call = call
        self._responder = responder
        self._tried_engines = set()
        self._engines_with_server_error = set()
        self._sends = 0
        self._failures = 0
        self._response = None
        self._turns = None
        self._log = logger.bind(request=call.metadata.attempt_id, route=call.route.name)

    async def run(self):
        """Send the call to engines until one responds; forward the response."""
        try:
            await self._run()
        finally:
            if self._turns is not None:
                self._turns.release()

    async def _run(self):
        service = self._call.service
        self._runtime.retry_budget.add_call(service)
        while True:
            state = await self._choose_engine()
            if state is None:
                await self._give_up("no engine left")
                return
            self._tried_engines.add(state.name)
            self._sends += 1
            outcome = await self._send(state)
            self._record_outcome(state, outcome)
            if outcome is PlainCallOutcome.ANSWERED:
                self._log_response(state)
                await self._responder.send_upstream_response(self._response)
                return
            if outcome is PlainCallOutcome.DEADLINE_EXCEEDED:
                self._log.bind(engine=state.name, sends=self._sends).info(
                    "call timed out"
                )
                problem = Problem(TIMED_OUT, "no answer within the route's time")
                await self._responder.send_problem(problem)
                return
            if not self._may_retry(outcome):
                await self._give_up(outcome.value)
                return

    def _log_response(self, state):
        self._log.bind(
            engine=state.name,
            status=self._response.head.status,
            sends=self._sends,
            revision=self._call.revision,
        ).info("call answered")

    async def _choose_engine(self):
        """Return an engine, with a turn if it is limited; None if there is none."""
        self._turns = TurnTaker(self._runtime, self._call)
        while True:
            state = self._choose_candidate(self._turns.engines_without_turn)
            if state is None and await self._wait_for_rest():
                continue
            if state is None or await self._turns.take(state, self._choose_max_wait()):
                return state

    async def _wait_for_rest(self):
        """Wait until an untried engine has rested; return whether there is one in time.

        Engines ask for rest when they turn calls away.
        """
        excluded = self._tried_engines | self._turns.engines_without_turn
        engines = self._runtime.fleet.engines
        rest_s = engines.measure_service_rest_s(self._call.service, excluded)
        if not rest_s or rest_s > self._choose_max_wait():
            return False
        await self._runtime.clock.sleep(rest_s)
        return True

    def _choose_candidate(self, excluded):
        """Return an untried engine, else one that responded with a server error."""
        fleet, service = self._runtime.fleet, self._call.service
        state = fleet.choose_plain_call_engine(service, self._tried_engines | excluded)
        if state is None:
            tried = self._tried_engines - self._engines_with_server_error
            state = fleet.choose_plain_call_engine(service, tried | excluded)
        return state

    def _choose_max_wait(self):
        """Return how long the call may wait for a turn at a limited engine."""
        call = self._call
        if self._runtime.fleet.has_unlimited_engine(call.service, self._tried_engines):
            return 0.0
        remaining_s = call.response_deadline_s - self._runtime.clock.monotonic()
        return choose_max_wait(remaining_s, call.priority)

    def _record_outcome(self, state, outcome):
        """Count the attempt in the metrics and in the failure share of the engine."""
        runtime = self._runtime
        runtime.metrics.observe_attempt(self._call.route.kind.value, outcome)
        has_served = outcome is PlainCallOutcome.ANSWERED
        if has_served:
            has_served = self._response.head.status < MIN_SERVER_ERROR_STATUS
        runtime.fleet.record_outcome(state, not has_served)

    def _may_retry(self, outcome):
        """Return whether the call may be sent again; if so, count the retry."""
        if outcome is PlainCallOutcome.FAILED:
            self._failures += 1
            if not self._call.route.may_retry:
                return False
            if self._failures >= self._call.route.max_attempts:
                return False
        if self._sends >= MAX_SENDS or self._runtime.crash_watch.is_blocked(self._call):
            return False
        if self._runtime.clock.monotonic() >= self._call.response_deadline_s:
            return False
        return self._runtime.retry_budget.try_spend(self._call.service)

    async def _give_up(self, cause):
        """Send the last response of an engine to the caller, or else a problem."""
        self._log.bind(
            cause=cause,
            ran=self._failures,
            sends=self._sends,
            revision=self._call.revision,
        ).info("call failed")
        if self._response is not None and self._failures:
            await self._responder.send_upstream_response(self._response)
        elif self._failures and self._runtime.crash_watch.is_blocked(self._call):
            detail = "engines crashed each time that they ran it"
            problem = Problem(CRASHED_ENGINES, detail, EVIDENCE_TTL_S)
            await self._responder.send_problem(problem)
        elif self._failures:
            problem = Problem(UPSTREAM_FAILED, "the upstream gave no whole answer")
            await self._responder.send_problem(problem)
        elif self._turns.engines_without_turn:
            await self._responder.send_problem(self._turns.make_problem())
        else:
            engines = self._runtime.fleet.engines
            rest_s = engines.measure_service_rest_s(self._call.service) or None
            retry_after_s = choose_retry_after(rest_s, self._runtime.generator)
            problem = Problem(UNAVAILABLE, "no engine took the call", retry_after_s)
            await self._responder.send_problem(problem)

    async def _send(self, state):
        """Send the call to an engine, keep its response, and return the outcome."""
        slot = self._turns.pop_slot()
        with UpstreamAttempt(self._runtime, self._call, state, slot=slot) as attempt:
            read = await attempt.open()
            if read.is_ok():
                read = await attempt.read_all()
        if read.is_error():
            return await self._handle_failure(state, read.error)
        response = read.ok
        if response.head.is_other_engine:
            self._runtime.crash_watch.report_replaced(state)
        if response.head.was_not_executed:
            self._log.bind(engine=state.name, status=response.head.status).info(
                "engine did not execute call"
            )
            return PlainCallOutcome.NOT_RUN
        self._response = response
        if (
            response.head.status >= MIN_SERVER_ERROR_STATUS
            and self._call.route.may_retry
        ):
            self._engines_with_server_error.add(state.name)
            self._log.bind(engine=state.name, status=response.head.status).info(
                "engine responded with server error"
            )
            return PlainCallOutcome.FAILED
        return PlainCallOutcome.ANSWERED

    async def _handle_failure(self, state, failure):
        """Log a failure, report it for the engine, and return the outcome."""
        self._log.bind(engine=state.name, cause=repr(failure)).info("attempt failed")
        if isinstance(failure, DeadlineExceeded):
            return PlainCallOutcome.DEADLINE_EXCEEDED
        if isinstance(failure, RelayUnavailable):
            # No peer relays now, which shows nothing about the engine.
            return PlainCallOutcome.NOT_RUN
        if isinstance(failure, UpstreamUnreachable):
            self._runtime.fleet.report_unreachable(state, failure)
            return PlainCallOutcome.NOT_RUN
        self._runtime.crash_watch.investigate(state, self._call)
        await self._wait_for_investigations()
        return PlainCallOutcome.FAILED

    async def _wait_for_investigations(self):
        """Wait for the causes of this request's losses, at most until the deadline."""
        crash_watch = self._runtime.crash_watch
        if not self._call.route.may_retry or not crash_watch.must_wait(self._call):
            return
        try:
            async with asyncio.timeout_at(self._call.response_deadline_s):
                await crash_watch.wait_for_investigations(self._call)
        except TimeoutError:
            self._log.info("deadline passed during crash investigation")
