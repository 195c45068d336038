"""Idempotent calls, which are retried and hedged within the retry budget.

A hedge is a second attempt on another upstream while the first has no response yet.
"""

import asyncio

from opentelemetry.trace import SpanKind

from sapphirerock.connection.plain import send_plain_request
from sapphirerock.process.engines.dispatcher import UpstreamCriteria
from sapphirerock.request.problem import UNAVAILABLE, UPSTREAM_FAILED, Problem

RETRY_AFTER_S = 1
MIN_SERVER_ERROR_STATUS = 500
# Including the first attempt and the hedge.
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
        Monotonic time by which the response is needed.
    """

    __slots__ = ("_runtime", "_criteria", "_request", "_deadline_s", "_pending")

    def __init__(self, runtime, service, request, deadline_s):
        self._runtime = runtime
        self._criteria = UpstreamCriteria(service, affinity=request.path)
        self._request = request
        self._deadline_s = deadline_s
        self._pending = set()

    async def run(self):
        """Return the first response without a server error, or the last failure.

        The last failure may be a response with a server error.

        Returns
        -------
        PlainResponse or Problem
        """
        self._runtime.retry_budget.add_call(self._criteria.service.name)
        try:
            return await self._run_attempts()
        finally:
            for task in self._pending:
                task.cancel()

    async def _run_attempts(self):
        """Start attempts, one or two at a time, until one succeeds or none is left."""
        last_failure = Problem(UNAVAILABLE, "no upstream can be reached", RETRY_AFTER_S)
        attempts = 0
        if self._start_attempt():
            attempts += 1
        while self._pending:
            done = await self._wait_for_response(attempts)
            for task in done:
                response = task.result()
                if response.is_ok() and response.ok.status < MIN_SERVER_ERROR_STATUS:
                    return response.ok
                last_failure = self._convert_failure(response)
            if self._may_start_attempt(attempts, done) and self._start_attempt():
                attempts += 1
        return last_failure

    async def _wait_for_response(self, attempts):
        """Wait for a response, until a hedge is due, or until the deadline.

        Returns
        -------
        set of asyncio.Task
            Attempts that have ended; empty if a hedge is due or at the deadline.
        """
        remaining_s = max(0.0, self._deadline_s - self._runtime.clock.monotonic())
        hedge_s = self._criteria.service.hedge_after_s
        wait_s = remaining_s
        if attempts == 1 and hedge_s is not None:
            wait_s = min(hedge_s, remaining_s)
        done, self._pending = await asyncio.wait(
            self._pending, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        return done

    def _may_start_attempt(self, attempts, done):
        """Return whether another attempt may start; if so, count it as a retry.

        It is a hedge if no attempt has ended since the last one.
        """
        if attempts >= MAX_ATTEMPTS or (self._pending and attempts > 1):
            return False
        if self._runtime.clock.monotonic() >= self._deadline_s:
            return False
        if not self._runtime.retry_budget.try_spend(self._criteria.service.name):
            self._runtime.metrics.retries_denied.inc()
            return False
        if not done:
            self._runtime.metrics.hedges.inc()
        return True

    def _start_attempt(self):
        """Start an attempt on an untried upstream; return whether there is one."""
        state = self._runtime.dispatcher.choose(self._criteria)
        if state is None:
            return False
        self._criteria.excluded.add(state.name)
        self._pending.add(asyncio.ensure_future(self._send(state)))
        return True

    async def _send(self, state):
        runtime = self._runtime
        runtime.upstreams.begin_call(state)
        started_s = runtime.clock.monotonic()
        try:
            with runtime.tracer.start_as_current_span("upstream", kind=SpanKind.CLIENT):
                response = await send_plain_request(
                    runtime.session,
                    state.settings,
                    self._request,
                    self._deadline_s - started_s,
                    runtime.response_memory,
                )
        finally:
            runtime.upstreams.end_call(state)
        if response.is_error():
            runtime.upstreams.mark_down(state.name)
        return response

    def _convert_failure(self, response):
        """Return the server error response, or a problem for a connection failure."""
        if response.is_ok():
            return response.ok
        return Problem(UPSTREAM_FAILED, repr(response.error), RETRY_AFTER_S)
