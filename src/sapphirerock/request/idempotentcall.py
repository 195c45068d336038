"""An idempotent call: retried and hedged within the retry budget."""

import asyncio

from opentelemetry.trace import SpanKind

from sapphirerock.connection.plain import send_plain_request
from sapphirerock.process.engines.dispatcher import UpstreamCriteria
from sapphirerock.request.problem import UNAVAILABLE, UPSTREAM_FAILED, Problem

RETRY_AFTER_S = 1
SERVER_ERROR = 500
MAX_ATTEMPTS = 3


class IdempotentCall:
    """One idempotent call.

    Parameters
    ----------
    runtime : Runtime
        Services of the process.
    service : ServiceSettings
        Service that the call goes to.
    request : PlainRequest
        The call.
    deadline_s : float
        Monotonic time by which the answer is needed.
    """

    __slots__ = ("_runtime", "_choice", "_request", "_deadline_s", "_pending")

    def __init__(self, runtime, service, request, deadline_s):
        self._runtime = runtime
        self._choice = UpstreamCriteria(service, affinity=request.path)
        self._request = request
        self._deadline_s = deadline_s
        self._pending = set()

    async def run(self):
        """Return the first answer without a server error, or the last failure.

        Returns
        -------
        PlainResponse or Problem
        """
        self._runtime.retry_budget.add_call(self._choice.service.name)
        try:
            return await self._race()
        finally:
            for task in self._pending:
                task.cancel()

    async def _race(self):
        last_failure = Problem(UNAVAILABLE, "no upstream can be reached", RETRY_AFTER_S)
        attempts = 0
        if self._start_attempt():
            attempts += 1
        while self._pending:
            done = await self._wait_answer(attempts)
            for task in done:
                answer = task.result()
                if answer.is_ok() and answer.ok.status < SERVER_ERROR:
                    return answer.ok
                last_failure = self._convert_failure(answer)
            if self._may_start_attempt(attempts, done) and self._start_attempt():
                attempts += 1
        return last_failure

    async def _wait_answer(self, attempts):
        """Wait for an answer, or until a hedge is due."""
        remaining_s = max(0.0, self._deadline_s - self._runtime.clock.monotonic())
        hedge_s = self._choice.service.hedge_after_s
        wait_s = remaining_s
        if attempts == 1 and hedge_s is not None:
            wait_s = min(hedge_s, remaining_s)
        done, self._pending = await asyncio.wait(
            self._pending, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        return done

    def _may_start_attempt(self, attempts, done):
        if attempts >= MAX_ATTEMPTS or (self._pending and attempts > 1):
            return False
        if self._runtime.clock.monotonic() >= self._deadline_s:
            return False
        if not self._runtime.retry_budget.try_spend(self._choice.service.name):
            self._runtime.metrics.retries_denied.inc()
            return False
        if not done:
            self._runtime.metrics.hedges.inc()
        return True

    def _start_attempt(self):
        """Start an attempt on an untried upstream; return whether there is one."""
        state = self._runtime.dispatcher.choose(self._choice)
        if state is None:
            return False
        self._choice.excluded.add(state.name)
        self._pending.add(asyncio.ensure_future(self._send(state)))
        return True

    async def _send(self, state):
        runtime = self._runtime
        runtime.upstreams.begin_call(state)
        started_s = runtime.clock.monotonic()
        try:
            with runtime.tracer.start_as_current_span("upstream", kind=SpanKind.CLIENT):
                answer = await send_plain_request(
                    runtime.session,
                    state.settings,
                    self._request,
                    self._deadline_s - started_s,
                )
        finally:
            runtime.upstreams.end_call(state)
        if answer.is_error():
            runtime.upstreams.mark_down(state.name)
        return answer

    def _convert_failure(self, answer):
        if answer.is_ok():
            return answer.ok
        return Problem(UPSTREAM_FAILED, repr(answer.error), RETRY_AFTER_S)
