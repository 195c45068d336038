"""Plain calls: buffered responses, and retries if the route allows them.

A call that may run again is sent to another engine beside one that is silent.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum

from loguru import logger

from sapphirerock.connection.errors import (
    DeadlineExceeded,
    RelayUnavailable,
    UpstreamUnreachable,
)
from sapphirerock.decisions.quarantine import EVIDENCE_TTL_S
from sapphirerock.decisions.retryafter import choose_retry_after
from sapphirerock.decisions.silence import choose_silence_wait
from sapphirerock.decisions.turns import choose_max_wait
from sapphirerock.request.attemptrace import AttemptRace
from sapphirerock.request.problem import (
    CRASHED_ENGINES,
    TIMED_OUT,
    UNAVAILABLE,
    UPSTREAM_FAILED,
    Problem,
    make_shutdown_problem,
)
from sapphirerock.request.turntaker import TurnTaker
from sapphirerock.request.upstreamattempt import UpstreamAttempt

MIN_SERVER_ERROR_STATUS = 500
# Limit on the attempts at one call, including those that the engine did not execute.
MAX_SENDS = 6
# Interval at which a call looks whether a silent engine has answered.
SILENT_ENGINE_CHECK_S = 0.05
# Interval at which a call on a silent engine looks for another one, if there was none.
SILENT_ENGINE_RETRY_S = 0.25


class PlainCallOutcome(Enum):
    """How an attempt at a plain call ended."""

    # The engine sent a response that goes to the caller.
    ANSWERED = "answered"
    # The engine did not execute the call.
    NOT_RUN = "not run"
    # The engine or the connection failed, or a server error may be retried.
    FAILED = "failed"
    DEADLINE_EXCEEDED = "time is up"
    NO_ENGINE = "no engine left"
    SHUTTING_DOWN = "this host is shutting down"


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt at a plain call ended.

    Parameters
    ----------
    outcome : PlainCallOutcome
        Kind of the end.
    state : EngineState or None
        The engine; None if there was none.
    response : BufferedResponse or None
        The engine's response, if it ran the call and gave one.
    """

    outcome: PlainCallOutcome
    state: object = None
    response: object = None


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
        "_race",
        "_running",
        "_tried_engines",
        "_engines_with_server_error",
        "_sends",
        "_failures",
        "_response",
        "_holds",
        "_turns",
        "_started_s",
        "_log",
    )

    def __init__(self, runtime, call, responder):
        self._runtime = runtime
        self._call = call
        self._responder = responder
        self._race = AttemptRace()
        self._running = set()
        self._tried_engines = set()
        self._engines_with_server_error = set()
        self._sends = 0
        self._failures = 0
        self._response = None
        # Memory of the responses, one of which is sent to the caller.
        self._holds = []
        self._turns = None
        self._started_s = runtime.clock.monotonic()
        self._log = logger.bind(request=call.metadata.attempt_id, route=call.route.name)

    async def run(self):
        """Send the call to engines until one responds; forward the response."""
        self._runtime.retry_budget.add_call(self._call.service)
        self._race.start(self._attempt())
        try:
            await self._run_attempts()
        finally:
            self._race.cancel()
            for hold in self._holds:
                hold.release()

    async def _run_attempts(self):
        """Start another attempt whenever one fails or its engine falls silent."""
        while True:
            result = await self._race.wait()
            if result is None:
                if not self._is_progressing():
                    self._race.start(self._attempt_beside())
                continue
            outcome, state = result.outcome, result.state
            if outcome is PlainCallOutcome.ANSWERED:
                self._log_response(state, result.response)
                self._race.cancel()
                await self._responder.send_upstream_response(result.response)
                return
            if outcome is PlainCallOutcome.DEADLINE_EXCEEDED:
                self._log.bind(engine=state.name, sends=self._sends).info(
                    "call timed out"
                )
                problem = Problem(TIMED_OUT, "no answer within the route's time")
                await self._responder.send_problem(problem)
                return
            self._response = result.response or self._response
            if self._is_progressing():
                continue
            if self._may_retry(outcome):
                self._race.start(self._attempt())
            elif self._race.task_count:
                self._race.start(self._attempt_later())
            else:
                await self._give_up(outcome.value)
                return

    def _is_progressing(self):
        """Return whether an attempt on an engine that isn't silent runs or starts."""
        if self._race.task_count > len(self._running):
            return True
        return any(not attempt.is_silent for attempt in self._running)

    def _count_engines(self):
        """Return the number of engines that failed the call or may be running it."""
        return self._failures + sum(attempt.may_be_running for attempt in self._running)

    async def _attempt_beside(self):
        """Send the call to another engine, too, if it may be; return the result."""
        engines = self._count_engines()
        # A request that has lost engines may have silenced this one, too.
        is_suspect = self._runtime.crash_watch.must_wait(self._call)
        may_send = (
            not is_suspect
            and engines < self._call.route.max_attempts
            and self._may_send_again()
        )
        self._log.bind(engines=engines, may_send=may_send).info("attempt silent")
        if not may_send:
            return AttemptResult(PlainCallOutcome.NO_ENGINE)
        sends = self._sends
        try:
            return await self._attempt()
        finally:
            if self._sends == sends:
                self._runtime.retry_budget.give_back(self._call.service)

    async def _attempt_later(self):
        """Look for another engine again, if the engine of an attempt is still silent.

        Returns
        -------
        AttemptResult
        """
        while True:
            await self._runtime.clock.sleep(SILENT_ENGINE_RETRY_S)
            if all(attempt.is_silent for attempt in self._running):
                return await self._attempt_beside()

    async def _attempt(self):
        """Choose an engine, send it the call, and return the result."""
        turns = self._turns = TurnTaker(self._runtime, self._call)
        try:
            state = await self._choose_engine(turns)
            if state is None:
                return AttemptResult(PlainCallOutcome.NO_ENGINE)
            if self._must_leave_to_other_host():
                return AttemptResult(PlainCallOutcome.SHUTTING_DOWN)
            self._tried_engines.add(state.name)
            self._sends += 1
            result = await self._send(state, turns)
            is_silent = self._runtime.fleet.engines.is_marked_silent(state)
            if result.outcome is PlainCallOutcome.NOT_RUN and is_silent:
                # The engine may take the call once it answers.
                self._tried_engines.discard(state.name)
        finally:
            turns.release()
        self._record_result(result)
        return result

    def _must_leave_to_other_host(self):
        """Return whether the shutdown could cut off the call, which has not run."""
        call = self._call
        return not self._count_engines() and not self._runtime.shutdown.can_take(
            call.route, call.response_deadline_s
        )

    def _log_response(self, state, response):
        self._log.bind(
            engine=state.name,
            status=response.head.status,
            sends=self._sends,
            revision=self._call.revision,
        ).info("call answered")

    async def _choose_engine(self, turns):
        """Return an engine, with a turn if it is limited; None if there is none."""
        while True:
            state = self._choose_candidate(
                turns.engines_without_turn | turns.engines_without_answer
            )
            if state is None:
                if await self._wait_for_engine(turns):
                    continue
                return None
            crash_watch = self._runtime.crash_watch
            if self._running and not await crash_watch.check_answers(state):
                turns.engines_without_answer.add(state.name)
            elif await turns.take(state, self._choose_max_wait()):
                return state

    async def _wait_for_engine(self, turns):
        """Wait until an untried engine may be usable; return False if none will be.

        Engines ask for rest when they turn calls away, and may be silent for a moment.
        """
        excluded = self._tried_engines | turns.engines_without_turn
        engines, clock = self._runtime.fleet.engines, self._runtime.clock
        rest_s = engines.measure_service_rest_s(self._call.service, excluded)
        if rest_s and rest_s <= self._choose_max_wait():
            await clock.sleep(rest_s)
            return True
        if not engines.await_silent_engine(self._call.service, excluded):
            return False
        now_s = clock.monotonic()
        remaining_s = self._call.response_deadline_s - self._started_s
        if now_s - self._started_s > choose_silence_wait(remaining_s):
            return False
        await clock.sleep(SILENT_ENGINE_CHECK_S)
        turns.engines_without_answer.clear()
        return True

    def _choose_candidate(self, excluded):
        """Return an untried engine, else one that responded with a server error."""
        fleet, service = self._runtime.fleet, self._call.service
        if self._running:
            excluded = excluded.union(fleet.engines.list_suspects(service))
        state = fleet.choose_plain_call_engine(
            self._call, self._tried_engines | excluded
        )
        if state is None:
            tried = self._tried_engines - self._engines_with_server_error
            state = fleet.choose_plain_call_engine(self._call, tried | excluded)
        return state

    def _choose_max_wait(self):
        """Return how long the call may wait for a turn at a limited engine."""
        call = self._call
        if self._runtime.fleet.has_unlimited_engine(call.service, self._tried_engines):
            return 0.0
        remaining_s = call.response_deadline_s - self._runtime.clock.monotonic()
        return choose_max_wait(remaining_s, call.priority)

    def _record_result(self, result):
        """Count the attempt in the metrics and in the failure share of the engine."""
        runtime = self._runtime
        runtime.metrics.observe_attempt(self._call.route.kind.value, result.outcome)
        self._failures += result.outcome is PlainCallOutcome.FAILED
        has_served = result.outcome is PlainCallOutcome.ANSWERED
        if has_served:
            has_served = result.response.head.status < MIN_SERVER_ERROR_STATUS
        runtime.fleet.record_outcome(result.state, not has_served)

    def _may_retry(self, outcome):
        """Return whether the call may be sent again; if so, count the retry."""
        if outcome in (PlainCallOutcome.NO_ENGINE, PlainCallOutcome.SHUTTING_DOWN):
            return False
        if outcome is PlainCallOutcome.FAILED:
            if not self._call.route.may_retry:
                return False
            if self._count_engines() >= self._call.route.max_attempts:
                return False
        return self._may_send_again()

    def _may_send_again(self):
        """Return whether limits on all sends allow another; if so, count the retry."""
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
        elif self._must_leave_to_other_host():
            await self._responder.send_problem(make_shutdown_problem())
        elif self._turns.engines_without_turn:
            await self._responder.send_problem(self._turns.make_problem())
        else:
            engines = self._runtime.fleet.engines
            rest_s = engines.measure_service_rest_s(self._call.service) or None
            retry_after_s = choose_retry_after(rest_s, self._runtime.generator)
            problem = Problem(UNAVAILABLE, "no engine took the call", retry_after_s)
            await self._responder.send_problem(problem)

    async def _send(self, state, turns):
        """Send the call to an engine and return the result."""
        attempt = UpstreamAttempt(
            self._runtime,
            self._call,
            state,
            slot=turns.pop_slot(),
            on_silence=(
                self._race.report_silence if self._call.route.may_retry else None
            ),
        )
        self._holds.append(attempt.hold)
        with attempt:
            self._running.add(attempt)
            try:
                read = await attempt.open()
                if read.is_ok():
                    read = await attempt.read_all()
            finally:
                self._running.discard(attempt)
        if read.is_error():
            return AttemptResult(await self._handle_failure(state, read.error), state)
        response = read.ok
        if response.head.is_other_engine:
            self._runtime.crash_watch.report_replaced(state)
        if response.head.was_not_executed:
            self._log.bind(engine=state.name, status=response.head.status).info(
                "engine did not execute call"
            )
            return AttemptResult(PlainCallOutcome.NOT_RUN, state)
        attempt.record_response(response.head.status >= MIN_SERVER_ERROR_STATUS)
        if (
            response.head.status >= MIN_SERVER_ERROR_STATUS
            and self._call.route.may_retry
        ):
            self._engines_with_server_error.add(state.name)
            self._log.bind(engine=state.name, status=response.head.status).info(
                "engine responded with server error"
            )
            return AttemptResult(PlainCallOutcome.FAILED, state, response)
        return AttemptResult(PlainCallOutcome.ANSWERED, state, response)

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
