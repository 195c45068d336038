"""Attempts at a generation: each on one upstream, over one or more connections."""

import uuid
from array import array

from expression import Error

from sapphirerock.connection.engine import EngineRequest
from sapphirerock.connection.errors import UpstreamBroken, UpstreamRefused
from sapphirerock.connection.eventstream import DoneEvent
from sapphirerock.process.journals.store import TOKEN_TYPE
from sapphirerock.request.loss import Loss, classify_failure

# Highest priority of the API, for generations that have tokens.
RECOVERY_PRIORITY = 9
# Time that an upstream has to accept a generation.
OPEN_TIMEOUT_S = 1.0
# Resumes in a row without a valid event, after which the attempt ends.
MAX_FRUITLESS_RESUMES = 2
# Interval at which a generation that waits in an upstream's queue looks for a free slot
# on another upstream, the first time after one interval.
QUEUE_CHECK_INTERVAL_S = 0.5
# Finish reasons of an engine that stopped before the end of the generation.
ABORTED_REASONS = ("cancelled", "aborted", "error")


class GenerationAttempt:
    """One attempt at a generation on one upstream.

    Parameters
    ----------
    runtime : Runtime
        Services of the process.
    generation : Generation
        Receives the tokens.
    policy : RecoveryPolicy
        Timeouts for silence and for probes.
    priority : int
        Priority of a generation without tokens. With tokens, it has
        ``RECOVERY_PRIORITY``.
    criteria : UpstreamCriteria
        Criteria by which another upstream with a free slot is chosen.
    state : UpstreamState
        The upstream.
    is_first : bool
        Whether this is the driver's first attempt. The upstream may then still run
        the generation for a previous driver.

    Attributes
    ----------
    received_bytes : int
        Bytes received from the upstream.
    """

    __slots__ = (
        "received_bytes",
        "_runtime",
        "_generation",
        "_policy",
        "_priority",
        "_criteria",
        "_state",
        "_is_first",
        "_stream",
        "_is_leaving_queue",
    )

    def __init__(
        self, runtime, generation, policy, priority, criteria, state, is_first
    ):
        self.received_bytes = 0
        self._runtime = runtime
        self._generation = generation
        self._policy = policy
        self._priority = priority
        self._criteria = criteria
        self._state = state
        self._is_first = is_first
        self._stream = None
        self._is_leaving_queue = False

    async def run(self):
        """Relay tokens until the generation is over; return the loss, or None."""
        opened = await self._open()
        if opened.is_error():
            return opened.error
        self._stream = opened.ok
        return await self._relay_or_leave_queue()

    async def _open(self):
        """Resume the stream of a previous driver, or start a new one on the upstream.

        A new one is also started if the upstream refuses to resume the previous one.

        Returns
        -------
        expression.Result of EventStream or Loss
        """
        generation = self._generation
        if self._is_first and generation.upstream == self._state.name:
            resumed = await self._state.client.resume_stream(
                generation.generation_id,
                generation.text_end,
                self._policy.probe_timeout_s,
            )
            if resumed.is_ok():
                return resumed
            if not isinstance(resumed.error, UpstreamRefused):
                return Error(await self._classify(resumed.error))
        opened = await self._state.client.open_stream(
            self._make_request(), OPEN_TIMEOUT_S
        )
        if opened.is_error():
            return Error(self._handle_open_failure(opened.error))
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

    def _handle_open_failure(self, failure):
        """Mark an upstream that did not accept the generation; return the loss."""
        upstreams = self._runtime.upstreams
        if isinstance(failure, UpstreamRefused):
            if failure.is_draining:
                upstreams.mark_draining(self._state.name)
            return Loss("refused", self._state.name)
        upstreams.mark_down(self._state.name)
        return Loss("broken", self._state.name)

    async def _relay_or_leave_queue(self):
        """Relay tokens, but leave the queue if another upstream has a free slot.

        Load reports are delayed, so calls of another host may just have filled the
        upstream. Leaving its queue before the first token loses no work.
        """
        queue_watch = self._runtime.tasks.spawn(self._watch_queue())
        try:
            loss = await self._relay()
        finally:
            queue_watch.cancel()
        if loss is not None and loss.cause == "queued":
            self._runtime.tasks.spawn(
                self._state.client.cancel(self._generation.generation_id)
            )
        return loss

    async def _watch_queue(self):
        """Close the stream if the generation could start sooner on another upstream.

        Checks every ``QUEUE_CHECK_INTERVAL_S`` until the first token.
        """
        while True:
            await self._runtime.clock.sleep(QUEUE_CHECK_INTERVAL_S)
            if self._generation.tokens:
                return
            self._criteria.excluded.add(self._state.name)
            other = self._runtime.dispatcher.choose(self._criteria, needs_slot=True)
            self._criteria.excluded.discard(self._state.name)
            if other is not None and self._state.free_slots < other.free_slots:
                self._is_leaving_queue = True
                self._stream.close()
                return

    async def _relay(self):
        """Apply events until the generation is over; return the loss, or None.

        Resumes the stream over new connections to the same upstream as long as it can.
        """
        fruitless_resumes = 0
        while True:
            silence_s = self._policy.waiting_silence_s
            if self._generation.segments:
                silence_s = self._policy.streaming_silence_s
            event = await self._stream.read_event(silence_s)
            if event.is_ok() and self._apply_event(event.ok):
                fruitless_resumes = 0
                if self._generation.is_over:
                    self._close()
                    return None
                continue
            self._close()
            if self._is_leaving_queue:
                return Loss("queued", self._state.name)
            failure = UpstreamBroken(
                self._state.name, "event does not continue the generation"
            )
            if event.is_error():
                failure = event.error
            self._generation.record_loss(self._runtime.clock.monotonic())
            fruitless_resumes += 1
            resumed = await self._resume(failure, fruitless_resumes)
            if resumed.is_error():
                return resumed.error
            self._stream = resumed.ok

    def _close(self):
        self._stream.close()
        self.received_bytes += self._stream.received_bytes

    def _apply_event(self, event):
        """Apply an event; return whether it is a valid continuation.

        Tokens that were applied before are dropped and count as valid.
        """
        generation = self._generation
        if isinstance(event, DoneEvent):
            if event.tokens_total != generation.text_end:
                return False
            if event.finish_reason in ABORTED_REASONS:
                return False
            self._finish(event.finish_reason)
            return True
        if not are_valid_tokens(event.tokens):
            return False
        if not generation.accept(event.offset, event.tokens, event.text):
            self._runtime.metrics.tokens_dropped.inc(len(event.tokens))
            return event.offset + len(event.tokens) <= generation.text_end
        self._journal_or_release(event)
        return True

    def _journal_or_release(self, event):
        """Journal new tokens; release tokens that are in the journal already."""
        generation = self._generation
        metrics = self._runtime.metrics
        if generation.lost_at_s is not None:
            now_s = self._runtime.clock.monotonic()
            metrics.resume_latency.observe(now_s - generation.lost_at_s)
            generation.lost_at_s = None
        if generation.text_end <= generation.journaled_end:
            generation.release(generation.text_end)
        else:
            self._runtime.journal.append(generation, event.offset)

    def _finish(self, reason):
        """Journal the end, or release all tokens if the end is journaled already."""
        generation = self._generation
        if not generation.finish_reason:
            generation.finish(reason)
            self._runtime.journal.append(generation, len(generation.tokens))
        else:
            generation.release(len(generation.tokens))

    async def _resume(self, failure, fruitless_resumes):
        """Resume the stream over a new connection to the same upstream.

        Returns
        -------
        expression.Result of EventStream or Loss
        """
        if (
            not self._policy.retries_same_engine
            or fruitless_resumes > MAX_FRUITLESS_RESUMES
        ):
            return Error(await self._classify(failure))
        generation = self._generation
        resumed = await self._state.client.resume_stream(
            generation.generation_id, generation.text_end, self._policy.probe_timeout_s
        )
        if resumed.is_error():
            return Error(await self._classify(resumed.error))
        self._runtime.metrics.recoveries.labels("connection").inc()
        return resumed

    async def _classify(self, failure):
        """Return the loss caused by a failure; mark an unreachable upstream as down."""
        loss = await classify_failure(
            self._state,
            failure,
            self._generation.incarnation,
            self._policy.probe_timeout_s,
        )
        if loss.is_unreachable:
            self._runtime.upstreams.mark_down(self._state.name)
        return loss


def are_valid_tokens(tokens):
    """Return whether an engine's tokens are integers that a journal can hold."""
    try:
        array(TOKEN_TYPE, tokens)
    except (TypeError, OverflowError):
        return False
    return True
