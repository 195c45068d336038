"""Driver of a generation: runs attempts on upstreams until every token has arrived."""

from expression import Error, Ok
from opentelemetry.trace import SpanKind

from sapphirerock.decisions.quarantine import make_fingerprint
from sapphirerock.process.engines.dispatcher import UpstreamCriteria
from sapphirerock.request.attempt import GenerationAttempt
from sapphirerock.request.loss import Loss
from sapphirerock.request.poisonguard import PoisonGuard, make_blocked_problem
from sapphirerock.request.problem import (
    GENERATION_LOST,
    OVERLOADED,
    SUPERSEDED,
    UNAVAILABLE,
    Problem,
)
from sapphirerock.request.recovery import RECOVERY_POLICIES

# Length of the prompt prefix that directs calls to the same upstreams.
AFFINITY_PREFIX_CHARS = 256
# Time without a new token after which a generation fails.
RECOVERY_TIMEOUT_S = 60.0
# Delay before the next attempt or choice of an upstream during a recovery.
RECOVERY_RETRY_INTERVAL_S = 0.02
DEADLINE_RETRY_AFTER_S = 1
MAX_CANCEL_ATTEMPTS = 20
CANCEL_RETRY_INTERVAL_S = 0.5


class GenerationDriver:
    """Runs one generation on one upstream after another until it is over.

    Parameters
    ----------
    runtime : Runtime
        Services of the process.
    generation : Generation
        The generation to run.
    route : ModelRoute
        Route of the caller's model.
    service : ServiceSettings
        The service, from the configuration snapshot of the request.
    deadline_s : float
        Monotonic time by which the first token is needed.
    """

    __slots__ = (
        "_runtime",
        "_generation",
        "_service",
        "_policy",
        "_priority",
        "_deadline_s",
        "_criteria",
        "_state",
        "_poison_guard",
        "_stalled_at_offset",
        "_stalled_since_s",
    )

    def __init__(self, runtime, generation, route, service, deadline_s):
        self._runtime = runtime
        self._generation = generation
        self._service = service
        self._policy = RECOVERY_POLICIES[service.recovery]
        self._priority = max(generation.request.priority, route.priority)
        self._deadline_s = deadline_s
        self._state = None
        self._stalled_at_offset = -1
        self._stalled_since_s = 0.0
        request = generation.request
        self._criteria = UpstreamCriteria(
            service,
            request.model,
            request.prompt[:AFFINITY_PREFIX_CHARS],
            make_fingerprint(generation.organisation.name, request.digest),
        )
        self._poison_guard = PoisonGuard(runtime, self._criteria.fingerprint)

    async def run(self):
        """Run attempts until the generation is finished or has failed."""
        generation = self._generation
        deadline_task = self._runtime.tasks.spawn(self._enforce_deadline())
        try:
            with self._runtime.tracer.start_as_current_span("generation"):
                chosen = await self._choose_first_upstream()
                while chosen.is_ok():
                    loss = await self._run_attempt(chosen.ok)
                    if loss is None:
                        return
                    chosen = await self._recover(loss)
                generation.fail(chosen.error)
        finally:
            deadline_task.cancel()
            if self._is_abandoned():
                self._cancel_upstream()
            # Whatever ended the driver, callers must not wait forever.
            generation.fail(Problem(UNAVAILABLE, "the attempt ended", 1))

    async def _enforce_deadline(self):
        """Fail the generation if it has no token by its deadline."""
        generation = self._generation
        remaining_s = self._deadline_s - self._runtime.clock.monotonic()
        await self._runtime.clock.sleep(max(0.0, remaining_s))
        if not generation.tokens and not generation.is_over:
            generation.fail(make_deadline_problem())
            generation.task.cancel()

    def _is_abandoned(self):
        """Return whether neither this nor another driver needs the engine's work."""
        problem = self._generation.problem
        if problem is not None:
            return problem.kind is not SUPERSEDED
        return not self._generation.finish_reason

    def _cancel_upstream(self):
        if self._state is not None:
            cancel = self._state.client.cancel(self._generation.generation_id)
            self._runtime.tasks.spawn(cancel)

    async def _cancel_after_silence(self, state):
        """Cancel the generation on a silent upstream, retrying until it answers.

        Stops when the generation runs on that upstream again.
        """
        for _ in range(MAX_CANCEL_ATTEMPTS):
            await self._runtime.clock.sleep(CANCEL_RETRY_INTERVAL_S)
            if self._generation.upstream == state.name:
                return
            if await state.client.cancel(self._generation.generation_id):
                return

    async def _choose_first_upstream(self):
        """Return the upstream of the first attempt, or the problem.

        It is the upstream of the previous driver if there was one; a generation without
        tokens waits for admission.
        """
        if self._poison_guard.is_blocked:
            return Error(make_blocked_problem())
        previous = self._runtime.upstreams.get(self._generation.upstream)
        if previous is not None and self._policy.retries_same_engine:
            self._runtime.upstreams.begin_call(previous)
            return Ok(previous)
        if self._generation.tokens:
            return await self._choose_next_upstream()
        return await self._admit()

    async def _admit(self):
        generation = self._generation
        return await self._runtime.dispatcher.admit(
            self._criteria,
            generation.organisation,
            self._priority,
            generation.request.max_tokens,
            self._deadline_s,
        )

    async def _run_attempt(self, state):
        """Run the generation on an upstream; return the loss, or None if it is over."""
        runtime = self._runtime
        started_s = runtime.clock.monotonic()
        attempt = GenerationAttempt(
            runtime,
            self._generation,
            self._policy,
            self._priority,
            self._criteria,
            state,
            is_first=self._state is None,
        )
        self._state = state
        duration_s = None
        self._poison_guard.announce(state, running=True)
        try:
            if not await self._poison_guard.reserve(state):
                return Loss("reserved", state.name)
            with runtime.tracer.start_as_current_span("engine", kind=SpanKind.CLIENT):
                loss = await attempt.run()
            if loss is None:
                duration_s = runtime.clock.monotonic() - started_s
            return loss
        finally:
            self._poison_guard.announce(state, running=False)
            runtime.upstreams.end_call(state, duration_s)
            runtime.count_upstream_bytes(state, attempt.received_bytes)

    async def _recover(self, loss):
        """Handle a loss; return the upstream of the next attempt.

        Returns
        -------
        expression.Result of UpstreamState or Problem
        """
        generation = self._generation
        generation.record_loss(self._runtime.clock.monotonic())
        if await self._is_stalled():
            return Error(Problem(UNAVAILABLE, "no upstream can go on", 5))
        self._runtime.metrics.recoveries.labels(loss.cause).inc()
        self._criteria.excluded.add(loss.upstream)
        if loss.cause == "silence":
            self._runtime.tasks.spawn(self._cancel_after_silence(self._state))
        if loss.is_crash and self._poison_guard.record_crash(loss):
            return Error(make_blocked_problem())
        if not generation.tokens:
            return await self._readmit()
        if not self._policy.migrates:
            detail = f"{loss.upstream} was lost after {len(generation.tokens)} tokens"
            return Error(Problem(GENERATION_LOST, detail, 0))
        return await self._choose_next_upstream()

    async def _is_stalled(self):
        """Return whether there has been no new token for ``RECOVERY_TIMEOUT_S``.

        Sleeps after an attempt without a new token, to prevent a busy loop on refusals.
        """
        now_s = self._runtime.clock.monotonic()
        if self._generation.text_end > self._stalled_at_offset:
            self._stalled_at_offset = self._generation.text_end
            self._stalled_since_s = now_s
            return False
        await self._runtime.clock.sleep(RECOVERY_RETRY_INTERVAL_S)
        return now_s - self._stalled_since_s > RECOVERY_TIMEOUT_S

    async def _readmit(self):
        """Wait for another admission of a generation that has no token yet.

        If it is refused and several upstreams are excluded, all are allowed again.
        """
        if self._runtime.clock.monotonic() > self._deadline_s:
            return Error(make_deadline_problem())
        admitted = await self._admit()
        if admitted.is_ok() or len(self._criteria.excluded) <= 1:
            return admitted
        self._criteria.excluded.clear()
        return await self._admit()

    async def _choose_next_upstream(self):
        """Return an upstream that continues a generation that has tokens.

        Waits up to ``RECOVERY_TIMEOUT_S`` for one, without the admission queue.
        """
        runtime = self._runtime
        give_up_at_s = runtime.clock.monotonic() + RECOVERY_TIMEOUT_S
        while runtime.clock.monotonic() < give_up_at_s:
            state = runtime.dispatcher.choose(self._criteria)
            if state is not None:
                runtime.upstreams.begin_call(state)
                return Ok(state)
            self._criteria.excluded.clear()
            await runtime.clock.sleep(RECOVERY_RETRY_INTERVAL_S)
        return Error(Problem(UNAVAILABLE, "no upstream can go on", 5))


def make_deadline_problem():
    """Return the problem of a request that has no token at its deadline."""
    return Problem(OVERLOADED, "no first token in time", DEADLINE_RETRY_AFTER_S)
