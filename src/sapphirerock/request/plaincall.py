"""A call that is answered whole, and retried where its route allows it."""

from enum import Enum

from loguru import logger

from sapphirerock.connection.errors import DeadlineExceeded, UpstreamUnreachable
from sapphirerock.decisions.retryafter import choose_retry_after
from sapphirerock.request.problem import (
    TIMED_OUT,
    UNAVAILABLE,
    UPSTREAM_FAILED,
    Problem,
)
from sapphirerock.request.upstreamattempt import UpstreamAttempt

SERVER_ERROR = 500
# Limit on the sends of one call, including those that no engine ran.
MAX_SENDS = 6


class AttemptOutcome(Enum):
    """Result of sending a call to one engine."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    FAILED = "failed"
    DEADLINE_EXCEEDED = "time is up"


class PlainCall:
    """One call of a route that does not stream.

    Parameters
    ----------
    runtime : EdgeRuntime
        Services of the process.
    call : RoutedCall
        The call.
    responder : Responder
        Sends the answer to the caller.
    """

    __slots__ = (
        "_runtime",
        "_call",
        "_responder",
        "_tried",
        "_answered_with_error",
        "_sends",
        "_failures",
        "_answer",
        "_log",
    )

    def __init__(self, runtime, call, responder):
        self._runtime = runtime
        self._call = call
        self._responder = responder
        self._tried = set()
        # Engines that answered with a server error.
        self._answered_with_error = set()
        self._sends = 0
        self._failures = 0
        self._answer = None
        self._log = logger.bind(request=call.metadata.attempt_id, route=call.route.name)

    async def run(self):
        """Answer the call."""
        service = self._call.service
        self._runtime.retry_budget.add_call(service)
        while True:
            state = self._choose_engine()
            if state is None:
                await self._give_up("no engine left")
                return
            self._tried.add(state.name)
            self._sends += 1
            outcome = await self._send(state)
            self._record_outcome(state, outcome)
            if outcome is AttemptOutcome.ANSWERED:
                self._log_answer(state)
                await self._responder.send_upstream_response(self._answer)
                return
            if outcome is AttemptOutcome.DEADLINE_EXCEEDED:
                self._log.bind(engine=state.name, sends=self._sends).info(
                    "call timed out"
                )
                problem = Problem(TIMED_OUT, "no answer within the route's time")
                await self._responder.send_problem(problem)
                return
            if not self._may_retry(outcome):
                await self._give_up(outcome.value)
                return

    def _log_answer(self, state):
        self._log.bind(
            engine=state.name,
            status=self._answer.head.status,
            sends=self._sends,
            revision=self._call.revision,
        ).info("call answered")

    def _choose_engine(self):
        """Return an untried engine, else one that answered with a server error."""
        fleet, service = self._runtime.fleet, self._call.service
        state = fleet.choose_plain_call_engine(service, self._tried)
        if state is None:
            state = fleet.choose_plain_call_engine(
                service, self._tried - self._answered_with_error
            )
        return state

    def _record_outcome(self, state, outcome):
        runtime = self._runtime
        runtime.metrics.observe_attempt(self._call.route.kind.value, outcome)
        has_served = outcome is AttemptOutcome.ANSWERED
        if has_served:
            has_served = self._answer.head.status < SERVER_ERROR
        runtime.fleet.record_outcome(state, not has_served)

    def _may_retry(self, outcome):
        if outcome is AttemptOutcome.FAILED:
            self._failures += 1
            if not self._call.route.may_retry:
                return False
            if self._failures >= self._call.route.max_attempts:
                return False
        if self._sends >= MAX_SENDS or self._runtime.crash_watch.is_blocked(self._call):
            return False
        return self._runtime.retry_budget.try_spend(self._call.service)

    async def _give_up(self, cause):
        self._log.bind(
            cause=cause,
            ran=self._failures,
            sends=self._sends,
            revision=self._call.revision,
        ).info("call given up")
        if self._answer is not None and self._failures:
            await self._responder.send_upstream_response(self._answer)
        elif self._failures:
            problem = Problem(UPSTREAM_FAILED, "the upstream gave no whole answer")
            await self._responder.send_problem(problem)
        else:
            retry_after_s = choose_retry_after(None, self._runtime.generator)
            problem = Problem(UNAVAILABLE, "no engine took the call", retry_after_s)
            await self._responder.send_problem(problem)

    async def _send(self, state):
        """Send the call to an engine; keep its answer."""
        with UpstreamAttempt(self._runtime, self._call, state) as attempt:
            read = await attempt.open()
            if read.is_ok():
                read = await attempt.read_all()
        if read.is_error():
            return self._classify(state, read.error)
        answer = read.ok
        if answer.head.is_other_engine:
            self._runtime.crash_watch.report_replaced(state)
        if answer.head.was_not_executed:
            self._log.bind(engine=state.name, status=answer.head.status).info(
                "engine did not run call"
            )
            return AttemptOutcome.NOT_RUN
        self._answer = answer
        if answer.head.status >= SERVER_ERROR and self._call.route.may_retry:
            self._answered_with_error.add(state.name)
            self._log.bind(engine=state.name, status=answer.head.status).info(
                "engine answered with server error"
            )
            return AttemptOutcome.FAILED
        return AttemptOutcome.ANSWERED

    def _classify(self, state, failure):
        self._log.bind(engine=state.name, cause=repr(failure)).info("attempt failed")
        if isinstance(failure, DeadlineExceeded):
            return AttemptOutcome.DEADLINE_EXCEEDED
        if isinstance(failure, UpstreamUnreachable):
            self._runtime.fleet.report_unreachable(state, failure)
            return AttemptOutcome.NOT_RUN
        self._runtime.crash_watch.investigate(state, self._call)
        return AttemptOutcome.FAILED
