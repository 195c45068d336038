"""One attempt at a generation: one upstream, over as many connections as it takes."""

import uuid
from array import array

from expression import Error

from sapphirerock.connection.engine import EngineRequest
from sapphirerock.connection.errors import UpstreamBroken, UpstreamRefused
from sapphirerock.connection.eventstream import DoneEvent
from sapphirerock.process.journals.store import TOKEN_TYPE
from sapphirerock.request.loss import Loss, classify_failure

RECOVERY_PRIORITY = 9
OPEN_BOUND_S = 1.0
FRUITLESS_RESUMES = 2
# Time in an upstream's own queue after which another one is looked for.
QUEUE_BOUND_S = 0.5
# Ends that an engine reports without having finished the generation.
ABORTED_REASONS = ("cancelled", "aborted", "error")


class Attempt:
    """A generation on one upstream.

    Parameters
    ----------
    runtime : Runtime
        What lives as long as the process.
    generation : Generation
        Takes the tokens.
    policy : RecoveryPolicy
        Bounds of silence and of probes.
    priority : int
        Priority of a generation without a token; others go first.
    choice : ChoiceRequest
        What is known of the call, to look for a free slot elsewhere.
    state : UpstreamState
        The upstream.
    is_first : bool
        Whether a former driver may have left the generation on the upstream.

    Attributes
    ----------
    received_bytes : int
        Bytes that came from the upstream.
    """

    __slots__ = (
        "received_bytes",
        "_runtime",
        "_generation",
        "_policy",
        "_priority",
        "_choice",
        "_state",
        "_is_first",
        "_stream",
        "_is_moving",
    )

    def __init__(self, runtime, generation, policy, priority, choice, state, is_first):
        self.received_bytes = 0
        self._runtime = runtime
        self._generation = generation
        self._policy = policy
        self._priority = priority
        self._choice = choice
        self._state = state
        self._is_first = is_first
        self._stream = None
        self._is_moving = False

    async def run(self):
        """Take tokens to the end; return the loss, or None."""
        opened = await self._open()
        if opened.is_error():
            return opened.error
        self._stream = opened.ok
        return await self._relay_or_move()

    async def _open(self):
        """Open a stream: resume what the former driver left, or start.

        Returns
        -------
        expression.Result of EventStream or Loss
        """
        generation = self._generation
        if self._is_first and generation.upstream == self._state.name:
            resumed = await self._state.client.resume_stream(
                generation.generation_id,
                generation.text_end,
                self._policy.probe_bound_s,
            )
            if resumed.is_ok():
                return resumed
            if not isinstance(resumed.error, UpstreamRefused):
                return Error(await self._classify(resumed.error))
        opened = await self._state.client.open_stream(
            self._make_request(), OPEN_BOUND_S
        )
        if opened.is_error():
            return Error(self._refuse(opened.error))
        if generation.tokens:
            self._runtime.metrics.prefilled_again.inc(len(generation.tokens))
        generation.upstream = self._state.name
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

    def _refuse(self, failure):
        """Take note that an upstream did not take the generation."""
        upstreams = self._runtime.upstreams
        if isinstance(failure, UpstreamRefused):
            if failure.leaving:
                upstreams.mark_leaving(self._state.name)
            return Loss("refused", self._state.name)
        upstreams.mark_down(self._state.name)
        return Loss("broken", self._state.name)

    async def _relay_or_move(self):
        """Relay, but leave an upstream's queue when another one has a free slot.

        Reports lag, so a call may be sent to an upstream that somebody else has
        just filled. Nothing is lost by leaving before the first token.
        """
        watch = self._runtime.tasks.spawn(self._watch_queue())
        try:
            loss = await self._relay()
        finally:
            watch.cancel()
        if loss is not None and loss.cause == "queued":
            self._runtime.tasks.spawn(
                self._state.client.cancel(self._generation.generation_id)
            )
        return loss

    async def _watch_queue(self):
        """Close the stream once the generation could start elsewhere."""
        while True:
            await self._runtime.clock.sleep(QUEUE_BOUND_S)
            if self._generation.tokens:
                return
            self._choice.excluded.add(self._state.name)
            other = self._runtime.dispatcher.choose(self._choice, needs_slot=True)
            self._choice.excluded.discard(self._state.name)
            if other is not None and self._state.free_slots < other.free_slots:
                self._is_moving = True
                self._stream.close()
                return

    async def _relay(self):
        """Take events until the end; return the loss, or None."""
        fruitless = 0
        while True:
            silence_s = self._policy.waiting_silence_s
            if self._generation.segments:
                silence_s = self._policy.streaming_silence_s
            event = await self._stream.read_event(silence_s)
            if event.is_ok() and self._take_event(event.ok):
                fruitless = 0
                if self._generation.is_over:
                    self._close()
                    return None
                continue
            self._close()
            if self._is_moving:
                return Loss("queued", self._state.name)
            failure = UpstreamBroken(self._state.name, "tokens do not follow")
            if event.is_error():
                failure = event.error
            self._generation.note_loss(self._runtime.clock.monotonic())
            fruitless += 1
            resumed = await self._resume(failure, fruitless)
            if resumed.is_error():
                return resumed.error
            self._stream = resumed.ok

    def _close(self):
        self._stream.close()
        self.received_bytes += self._stream.received_bytes

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

    async def _resume(self, failure, fruitless):
        """Open a new connection to the same upstream.

        Returns
        -------
        expression.Result of EventStream or Loss
        """
        if not self._policy.resumes or fruitless > FRUITLESS_RESUMES:
            return Error(await self._classify(failure))
        generation = self._generation
        resumed = await self._state.client.resume_stream(
            generation.generation_id, generation.text_end, self._policy.probe_bound_s
        )
        if resumed.is_error():
            return Error(await self._classify(resumed.error))
        self._runtime.metrics.recoveries.labels("connection").inc()
        return resumed

    async def _classify(self, failure):
        """Return the loss that a failure amounts to; leave the upstream out."""
        loss = await classify_failure(
            self._state,
            failure,
            self._generation.incarnation,
            self._policy.probe_bound_s,
        )
        if loss.is_absent:
            self._runtime.upstreams.mark_down(self._state.name)
        return loss


def are_tokens(tokens):
    """Return whether an engine's tokens are numbers that a journal can hold."""
    try:
        array(TOKEN_TYPE, tokens)
    except (TypeError, OverflowError):
        return False
    return True
