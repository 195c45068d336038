"""Drive one generation: attempts on engines until every token is there."""

import uuid
from array import array

from expression import Error, Ok
from opentelemetry.trace import SpanKind

from sapphirerock.connection.engine import EngineRequest
from sapphirerock.connection.errors import (
    UpstreamBroken,
    UpstreamRefused,
)
from sapphirerock.connection.eventstream import DoneEvent
from sapphirerock.process.dispatcher import ChoiceRequest
from sapphirerock.process.journal import TOKEN_TYPE
from sapphirerock.process.quarantine import make_fingerprint
from sapphirerock.request.loss import Loss, classify_failure
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
RECOVERY_PRIORITY = 9
OPEN_BOUND_S = 1.0
FRUITLESS_RESUMES = 2
LATE_RETRY_AFTER_S = 1
# Time in an upstream's own queue after which another one is looked for.
QUEUE_BOUND_S = 0.5
CANCEL_TRIES = 20
CANCEL_PAUSE_S = 0.5
# Ends that an engine reports without having finished the generation.
ABORTED_REASONS = ("cancelled", "aborted", "error")


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
        "_attempts",
        "_state",
        "_suspicion",
        "_received_bytes",
        "_is_moving",
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
        self._attempts = 0
        self._state = None
        self._received_bytes = 0
        self._is_moving = False
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
        self._state = state
        self._attempts += 1
        ran_s = None
        self._suspicion.announce(state, running=True)
        try:
            if not await self._suspicion.reserve(state):
                return Loss("reserved", state.name)
            with runtime.tracer.start_as_current_span("engine", kind=SpanKind.CLIENT):
                opened = await self._open(state)
                if opened.is_error():
                    return opened.error
                loss = await self._relay_or_move(state, opened.ok)
            if loss is None:
                ran_s = runtime.clock.monotonic() - started_s
            return loss
        finally:
            self._suspicion.announce(state, running=False)
            runtime.upstreams.end_call(state, ran_s)
            runtime.count_upstream_bytes(state, self._received_bytes)
            self._received_bytes = 0

    async def _open(self, state):
        """Open a stream: resume what the former driver left, or start.

        Returns
        -------
        expression.Result of EventStream or Loss
        """
        generation = self._generation
        if self._attempts == 1 and generation.upstream == state.name:
            resumed = await state.client.resume_stream(
                generation.generation_id,
                generation.text_end,
                self._policy.probe_bound_s,
            )
            if resumed.is_ok():
                return resumed
            if not isinstance(resumed.error, UpstreamRefused):
                return Error(await self._classify(state, resumed.error))
        opened = await state.client.open_stream(self._make_request(), OPEN_BOUND_S)
        if opened.is_error():
            return Error(self._refuse(state, opened.error))
        if generation.tokens:
            self._runtime.metrics.prefilled_again.inc(len(generation.tokens))
        generation.upstream = state.name
        generation.incarnation = opened.ok.incarnation
        return opened

    def _make_request(self):
        generation = self._generation
        request = generation.request
        max_tokens = request.max_tokens
        if generation.finish_reason:
            max_tokens = len(generation.tokens)
        priority = RECOVERY_PRIORITY if generation.tokens else self._priority
        return EngineRequest(
            uuid.uuid4().hex,
            generation.generation_id,
            request.model,
            request.prompt,
            max_tokens,
            priority,
            request.seed,
            generation.tokens,
            generation.text_end,
        )

    def _refuse(self, state, failure):
        """Take note that an upstream did not take the generation."""
        upstreams = self._runtime.upstreams
        if isinstance(failure, UpstreamRefused):
            if failure.leaving:
                upstreams.mark_leaving(state.name)
            return Loss("refused", state.name)
        upstreams.mark_down(state.name)
        return Loss("broken", state.name)

    async def _relay_or_move(self, state, stream):
        """Relay, but leave an upstream's queue when another one has a free slot.

        Reports lag, so a call may be sent to an upstream that somebody else has
        just filled. Nothing is lost by leaving before the first token.
        """
        watch = self._runtime.tasks.spawn(self._watch_queue(state, stream))
        try:
            loss = await self._relay(state, stream)
        finally:
            watch.cancel()
        if loss is not None and self._is_moving:
            self._is_moving = False
            self._runtime.tasks.spawn(
                state.client.cancel(self._generation.generation_id)
            )
            return Loss("queued", state.name)
        return loss

    async def _watch_queue(self, state, stream):
        """Close the stream once the generation could start elsewhere."""
        while True:
            await self._runtime.clock.sleep(QUEUE_BOUND_S)
            if self._generation.tokens:
                return
            self._choice.excluded.add(state.name)
            other = self._runtime.dispatcher.choose(self._choice, needs_slot=True)
            self._choice.excluded.discard(state.name)
            if other is not None and state.free_slots < other.free_slots:
                self._is_moving = True
                stream.close()
                return

    async def _relay(self, state, stream):
        """Take events until the end; return the loss, or None."""
        fruitless = 0
        while True:
            silence_s = self._policy.waiting_silence_s
            if self._generation.segments:
                silence_s = self._policy.streaming_silence_s
            event = await stream.read_event(silence_s)
            if event.is_ok() and self._take_event(event.ok):
                fruitless = 0
                if self._generation.is_over:
                    self._close(stream)
                    return None
                continue
            self._close(stream)
            if self._is_moving:
                return Loss("queued", state.name)
            failure = UpstreamBroken(state.name, "tokens do not follow")
            if event.is_error():
                failure = event.error
            self._note_loss()
            fruitless += 1
            resumed = await self._resume(state, failure, fruitless)
            if resumed.is_error():
                return resumed.error
            stream = resumed.ok

    def _close(self, stream):
        stream.close()
        self._received_bytes += stream.received_bytes

    def _note_loss(self):
        if self._generation.lost_at_s is None:
            self._generation.lost_at_s = self._runtime.clock.monotonic()

    def _take_event(self, event):
        """Take an event; return whether it follows what came before."""
        generation = self._generation
        if isinstance(event, DoneEvent):
            if event.tokens_total != generation.text_end:
                return False
            if event.finish_reason in ABORTED_REASONS:
                return False
            self._finish(event.finish_reason)
            return True
        if not are_tokens(event.tokens):
            return False
        if not generation.accept(event.offset, event.tokens, event.text):
            self._runtime.metrics.tokens_dropped.inc(len(event.tokens))
            return event.offset + len(event.tokens) <= generation.text_end
        self._write_ahead(event)
        return True

    def _write_ahead(self, event):
        generation = self._generation
        metrics = self._runtime.metrics
        if generation.lost_at_s is not None:
            now_s = self._runtime.clock.monotonic()
            metrics.resume_latency.observe(now_s - generation.lost_at_s)
            generation.lost_at_s = None
        if generation.text_end <= generation.journaled:
            generation.release(generation.text_end)
        else:
            self._runtime.journal.append(generation, event.offset)

    def _finish(self, reason):
        generation = self._generation
        if not generation.finish_reason:
            generation.finish(reason)
            self._runtime.journal.append(generation, len(generation.tokens))
        else:
            generation.release(len(generation.tokens))

    async def _resume(self, state, failure, fruitless):
        """Open a new connection to the same upstream.

        Returns
        -------
        expression.Result of EventStream or Loss
        """
        if not self._policy.resumes or fruitless > FRUITLESS_RESUMES:
            return Error(await self._classify(state, failure))
        generation = self._generation
        resumed = await state.client.resume_stream(
            generation.generation_id, generation.text_end, self._policy.probe_bound_s
        )
        if resumed.is_error():
            return Error(await self._classify(state, resumed.error))
        self._runtime.metrics.recoveries.labels("connection").inc()
        return resumed

    async def _classify(self, state, failure):
        """Return the loss that a failure amounts to; leave the upstream out."""
        loss = await classify_failure(
            state, failure, self._generation.incarnation, self._policy.probe_bound_s
        )
        if loss.is_absent:
            self._runtime.upstreams.mark_down(state.name)
        return loss

    async def _recover(self, loss):
        """Return the next upstream after a loss.

        Returns
        -------
        expression.Result of UpstreamState or Problem
        """
        generation = self._generation
        self._note_loss()
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


def are_tokens(tokens):
    """Return whether an engine's tokens are numbers that a journal can hold."""
    try:
        array(TOKEN_TYPE, tokens)
    except (TypeError, OverflowError):
        return False
    return True


def make_late():
    """Return the final answer to a request without a token at its deadline."""
    return Problem(OVERLOADED, "no first token in time", LATE_RETRY_AFTER_S)
