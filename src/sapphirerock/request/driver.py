"""Drive one generation: attempts on engines until every token is there."""

from expression import Error, Ok
from opentelemetry.trace import SpanKind

from sapphirerock.decisions.quarantine import make_fingerprint
from sapphirerock.process.engines.dispatcher import ChoiceRequest
from sapphirerock.request.attempt import Attempt
from sapphirerock.request.loss import Loss
from sapphirerock.request.problem import (
    GENERATION_LOST,
    OVERLOADED,
    SUPERSEDED,
    UNAVAILABLE,
    Problem,
)
from sapphirerock.request.recovery import POLICIES
from sapphirerock.request.suspicion import Suspicion, make_conviction

AFFINITY_CHARS = 256
RECOVERY_BOUND_S = 60.0
RECOVERY_PAUSE_S = 0.02
LATE_RETRY_AFTER_S = 1
CANCEL_TRIES = 20
CANCEL_PAUSE_S = 0.5


class GenerationDriver:
    """One driver of one generation.

    Parameters
    ----------
    runtime : Runtime
        What lives as long as the process.
    generation : Generation
        What is driven.
    route : Route
        How the caller's model is served.
    service : ServiceSettings
        The service, from the request's snapshot.
    deadline_s : float
        Monotonic time by which the first token is wanted.
    """

    __slots__ = (
        "_runtime",
        "_generation",
        "_service",
        "_policy",
        "_priority",
        "_deadline_s",
        "_choice",
        "_state",
        "_suspicion",
        "_stalled_at",
        "_stalled_since_s",
    )

    def __init__(self, runtime, generation, route, service, deadline_s):
        self._runtime = runtime
        self._generation = generation
        self._service = service
        self._policy = POLICIES[service.recovery]
        self._priority = max(generation.request.priority, route.priority)
        self._deadline_s = deadline_s
        self._state = None
        self._stalled_at = -1
        self._stalled_since_s = 0.0
        request = generation.request
        self._choice = ChoiceRequest(
            service,
            request.model,
            request.prompt[:AFFINITY_CHARS],
            make_fingerprint(generation.organisation.name, request.digest),
        )
        self._suspicion = Suspicion(runtime, self._choice.fingerprint)

    async def run(self):
        """Drive until the generation is over."""
        generation = self._generation
        deadline = self._runtime.tasks.spawn(self._enforce_deadline())
        try:
            with self._runtime.tracer.start_as_current_span("generation"):
                attempt = await self._start()
                while attempt.is_ok():
                    loss = await self._attempt(attempt.ok)
                    if loss is None:
                        return
                    attempt = await self._recover(loss)
                generation.fail(attempt.error)
        finally:
            deadline.cancel()
            if self._is_abandoned():
                self._cancel_upstream()
            # Whatever ended the driver, callers get a final answer.
            generation.fail(Problem(UNAVAILABLE, "the attempt ended", 1))

    async def _enforce_deadline(self):
        """Give the generation up if it has no token by its deadline."""
        generation = self._generation
        remaining_s = self._deadline_s - self._runtime.clock.monotonic()
        await self._runtime.clock.sleep(max(0.0, remaining_s))
        if not generation.tokens and not generation.is_over:
            generation.fail(make_late())
            generation.task.cancel()

    def _is_abandoned(self):
        """Return whether no driver, here or elsewhere, wants the engine's work."""
        problem = self._generation.problem
        if problem is not None:
            return problem.kind is not SUPERSEDED
        return not self._generation.finish_reason

    def _cancel_upstream(self):
        if self._state is not None:
            cancel = self._state.client.cancel(self._generation.generation_id)
            self._runtime.tasks.spawn(cancel)

    async def _cancel_lost(self, state):
        """Cancel on an upstream that does not answer now, once it does again.

        Not if the generation has gone back there meanwhile.
        """
        for _ in range(CANCEL_TRIES):
            await self._runtime.clock.sleep(CANCEL_PAUSE_S)
            if self._generation.upstream == state.name:
                return
            if await state.client.cancel(self._generation.generation_id):
                return

    async def _start(self):
        """Return the first upstream: that of the former driver, if there was one."""
        if self._suspicion.is_convicted:
            return Error(make_conviction())
        former = self._runtime.upstreams.get(self._generation.upstream)
        if former is not None and self._policy.resumes:
            self._runtime.upstreams.begin_call(former)
            return Ok(former)
        if self._generation.tokens:
            return await self._choose_successor()
        return await self._admit()

    async def _admit(self):
        generation = self._generation
        return await self._runtime.dispatcher.admit(
            self._choice,
            generation.organisation,
            self._priority,
            generation.request.max_tokens,
            self._deadline_s,
        )

    async def _attempt(self, state):
        """Run the generation on an upstream; return the loss, or None at the end."""
        runtime = self._runtime
        started_s = runtime.clock.monotonic()
        attempt = Attempt(
            runtime,
            self._generation,
            self._policy,
            self._priority,
            self._choice,
            state,
            is_first=self._state is None,
        )
        self._state = state
        ran_s = None
        self._suspicion.announce(state, running=True)
        try:
            if not await self._suspicion.reserve(state):
                return Loss("reserved", state.name)
            with runtime.tracer.start_as_current_span("engine", kind=SpanKind.CLIENT):
                loss = await attempt.run()
            if loss is None:
                ran_s = runtime.clock.monotonic() - started_s
            return loss
        finally:
            self._suspicion.announce(state, running=False)
            runtime.upstreams.end_call(state, ran_s)
            runtime.count_upstream_bytes(state, attempt.received_bytes)

    async def _recover(self, loss):
        """Return the next upstream after a loss.

        Returns
        -------
        expression.Result of UpstreamState or Problem
        """
        generation = self._generation
        generation.note_loss(self._runtime.clock.monotonic())
        if await self._is_stalled():
            return Error(Problem(UNAVAILABLE, "no upstream can go on", 5))
        self._runtime.metrics.recoveries.labels(loss.cause).inc()
        self._choice.excluded.add(loss.upstream)
        if loss.cause == "silence":
            self._runtime.tasks.spawn(self._cancel_lost(self._state))
        if loss.is_crash and self._suspicion.record_crash(loss):
            return Error(make_conviction())
        if not generation.tokens:
            return await self._start_again()
        if not self._policy.continues:
            detail = f"{loss.upstream} was lost after {len(generation.tokens)} tokens"
            return Error(Problem(GENERATION_LOST, detail, 0))
        return await self._choose_successor()

    async def _is_stalled(self):
        """Return whether attempts have brought no token for too long.

        Attempts that bring none are spaced, so that refusals do not spin.
        """
        now_s = self._runtime.clock.monotonic()
        if self._generation.text_end > self._stalled_at:
            self._stalled_at = self._generation.text_end
            self._stalled_since_s = now_s
            return False
        await self._runtime.clock.sleep(RECOVERY_PAUSE_S)
        return now_s - self._stalled_since_s > RECOVERY_BOUND_S

    async def _start_again(self):
        """Return an upstream for a generation that has no token yet."""
        if self._runtime.clock.monotonic() > self._deadline_s:
            return Error(make_late())
        admitted = await self._admit()
        if admitted.is_ok() or len(self._choice.excluded) <= 1:
            return admitted
        self._choice.excluded.clear()
        return await self._admit()

    async def _choose_successor(self):
        """Return an upstream that goes on after the delivered tokens."""
        runtime = self._runtime
        give_up_s = runtime.clock.monotonic() + RECOVERY_BOUND_S
        while runtime.clock.monotonic() < give_up_s:
            state = runtime.dispatcher.choose(self._choice)
            if state is not None:
                runtime.upstreams.begin_call(state)
                return Ok(state)
            self._choice.excluded.clear()
            await runtime.clock.sleep(RECOVERY_PAUSE_S)
        return Error(Problem(UNAVAILABLE, "no upstream can go on", 5))


def make_late():
    """Return the final answer to a request without a token at its deadline."""
    return Problem(OVERLOADED, "no first token in time", LATE_RETRY_AFTER_S)
