"""A streamed call: relayed event by event, resumed on another engine after a loss."""

import asyncio
from dataclasses import dataclass

from loguru import logger

from sapphirerock.connection.errors import (
    AttemptInterrupted,
    TimeIsUp,
    UpstreamUnreachable,
)
from sapphirerock.connection.events import EventOversized, EventSplitter
from sapphirerock.decisions.continuation import Ending, Step, StreamView, choose_step
from sapphirerock.decisions.conviction import EXAMINED_LOSSES
from sapphirerock.decisions.refusal import choose_retry_after
from sapphirerock.request.problem import (
    TIMED_OUT,
    UNAVAILABLE,
    UPSTREAM_FAILED,
    Problem,
)
from sapphirerock.request.runcopies import BackupKeeper
from sapphirerock.request.upstreamattempt import UpstreamAttempt

SERVER_ERROR = 500


@dataclass(slots=True, frozen=True)
class Continuation:
    """Where an attempt resumes a stream.

    Parameters
    ----------
    last_event_id : int or None
        Id of the event after which the stream resumes.
    copy : RunCopy or None
        KV copy to resume from; None where the prompt is prefilled again.
    """

    last_event_id: int | None
    copy: object = None


@dataclass(slots=True)
class StreamProgress:
    """What the caller has received so far.

    Parameters
    ----------
    last_id : int or None
        Id of the last event that the caller received.
    events : int
        Events forwarded.
    first_at_s, last_at_s : float or None
        Monotonic times of the first and the last forwarded event.
    longest_pause_s : float
        Longest time between two forwarded events, in seconds.
    """

    last_id: int | None
    events: int = 0
    first_at_s: float | None = None
    last_at_s: float | None = None
    longest_pause_s: float = 0.0

    def record_events(self, count, now_s):
        """Count events that were forwarded at the same time."""
        if self.last_at_s is None:
            self.first_at_s = now_s
        else:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_at_s)
        self.last_at_s = now_s
        self.events += count


class StreamCall:
    """One call of a streaming route.

    Parameters
    ----------
    runtime : EdgeRuntime
        Services of the process.
    call : RoutedCall
        The call.
    responder : Responder
        Sends the events to the caller.
    """

    __slots__ = (
        "_runtime",
        "_call",
        "_responder",
        "_progress",
        "_kv_copy",
        "_tried",
        "_sends",
        "_losses",
        "_failures",
        "_started_s",
        "_log",
    )

    def __init__(self, runtime, call, responder):
        self._runtime = runtime
        self._call = call
        self._responder = responder
        self._progress = StreamProgress(call.terms.last_event_id)
        self._kv_copy = None
        self._tried = set()
        self._sends = 0
        self._losses = 0
        self._failures = 0
        self._started_s = runtime.clock.monotonic()
        self._log = logger.bind(request=call.terms.attempt_id, route=call.route.name)

    async def run(self):
        """Relay the stream to its end."""
        self._runtime.budget.add_call(self._call.service)
        step = Step.SEND_AGAIN
        try:
            while step is not Step.GIVE_UP:
                ending = await self._run_next_attempt(step)
                self._runtime.metrics.observe_attempt(
                    self._call.route.kind.value, ending
                )
                if ending is Ending.COMPLETE:
                    elapsed_s = self._runtime.clock.monotonic() - self._started_s
                    self._runtime.stream_length.note_end(elapsed_s)
                if ending in (Ending.COMPLETE, Ending.PASSED_ON):
                    return
                step = await self._choose_step(ending)
            await self._give_up(ending)
        finally:
            self._log_end()

    def _log_end(self):
        progress, started_s = self._progress, self._started_s
        first_s = None
        if progress.first_at_s is not None:
            first_s = round(progress.first_at_s - started_s, 3)
        self._runtime.metrics.observe_stream(first_s, progress.longest_pause_s)
        self._log.bind(
            events=progress.events,
            last_id=progress.last_id,
            first_s=first_s,
            longest_pause_s=round(progress.longest_pause_s, 3),
            total_s=round(self._runtime.clock.monotonic() - started_s, 3),
            sends=self._sends,
            status=self._responder.status,
        ).info("stream ended")

    async def _run_next_attempt(self, step):
        """Make one attempt and return its ending."""
        fleet, copy = self._runtime.fleet, self._kv_copy
        self._kv_copy = None
        if step is Step.CONTINUE_COPY:
            return await self._run_attempt(
                fleet.engines.get(copy.holder.name), copy, None
            )
        if not self._sends:
            admitted = await self._runtime.admission.admit(self._call)
            if admitted.is_error():
                await self._responder.refuse(admitted.error)
                return Ending.PASSED_ON
            return await self._run_attempt(admitted.ok.state, None, admitted.ok)
        isolate = self._runtime.crashes.choose_isolated if self._losses else None
        placement = fleet.place(self._call, self._tried, isolate)
        if placement is None:
            return Ending.NO_ENGINE
        return await self._run_attempt(placement.state, None, placement)

    async def _run_attempt(self, state, copy, placement):
        backup = self._runtime.fleet.choose_backup(self._call, state)
        self._sends += 1
        prompt = self._call.terms.prompt
        self._log_placement(state, backup, copy, placement)
        attempt = UpstreamAttempt(
            self._runtime,
            self._call,
            state,
            prompt.tokens if copy is None else 0,
            prompt.memory_tokens,
            backup,
        )
        continuation = None
        if self._responder.has_begun or copy is not None:
            continuation = Continuation(self._progress.last_id, copy)
        backup_keeper = BackupKeeper(self._runtime, self._call, attempt)
        with attempt:
            backup_task = (
                asyncio.ensure_future(backup_keeper.maintain()) if backup else None
            )
            try:
                ending = await self._relay(attempt, continuation)
            finally:
                if backup_task is not None:
                    backup_task.cancel()
        has_failed = ending not in (Ending.COMPLETE, Ending.PASSED_ON)
        self._runtime.fleet.note_outcome(state, has_failed)
        if has_failed:
            self._tried.add(state.name)
            if self._responder.has_begun:
                self._kv_copy = backup_keeper.get_usable_copy()
        return ending

    def _log_placement(self, state, backup, copy, placement):
        fields = {
            "engine": state.name,
            "backup": backup.name if backup else None,
            "revision": self._call.revision,
        }
        if copy is not None:
            fields["copy_of"] = copy.source.name
        if self._progress.last_id is not None:
            fields["after"] = self._progress.last_id
        if placement is not None:
            view = placement.view
            fields["candidates"] = placement.candidates
            fields["prompt_tokens"] = view.prompt_tokens
            fields["runs"] = view.runs
            fields["free_tokens"] = view.free_tokens
            fields["failing"] = round(view.failure_share, 2)
            if state.loads_heard_s is not None:
                age_s = self._runtime.clock.monotonic() - state.loads_heard_s
                fields["load_age_s"] = round(age_s, 2)
        self._log.bind(**fields).info("call placed on engine")

    async def _relay(self, attempt, continuation):
        """Send the call and forward its answer; return how the attempt ended."""
        opened = await attempt.open(continuation)
        if opened.is_error():
            return self._classify(attempt, opened.error)
        if not opened.ok.is_success or not opened.ok.is_stream:
            return await self._handle_whole_answer(attempt)
        splitter = EventSplitter()
        while True:
            read = await attempt.read_chunk()
            if read.is_error():
                return self._classify(attempt, read.error)
            if not read.ok:
                return self._classify_end(attempt, splitter)
            try:
                events = splitter.feed(read.ok)
            except EventOversized as error:
                self._log.bind(cause=str(error)).warning("event exceeds size limit")
                return Ending.FAILED
            if events:
                attempt.mark_prompt_read()
                await self._forward_events(attempt, events)

    async def _forward_events(self, attempt, events):
        """Forward events that the caller has not received yet."""
        new_contents = []
        for event in events:
            if event.number is not None:
                last_id = self._progress.last_id
                if last_id is not None and event.number <= last_id:
                    continue
                self._progress.last_id = event.number
            new_contents.append(event.content)
        if not new_contents:
            return
        if not self._responder.has_begun:
            await self._responder.begin_stream(
                attempt.head.status, attempt.select_headers()
            )
        await self._responder.send(b"".join(new_contents))
        self._progress.record_events(len(new_contents), self._runtime.clock.monotonic())

    def _classify_end(self, attempt, splitter):
        """Return the ending of a stream whose connection ended without an error."""
        if splitter.has_rest or not self._responder.has_begun:
            self._log.bind(engine=attempt.state.name).info("stream truncated by engine")
            return Ending.LOST
        return Ending.COMPLETE

    async def _handle_whole_answer(self, attempt):
        """Handle an answer that is not an event stream: an error or a refusal."""
        read = await attempt.read_all()
        if read.is_error():
            return self._classify(attempt, read.error)
        head = read.ok.head
        self._log.bind(
            engine=attempt.state.name, status=head.status, ran=not head.was_not_executed
        ).info("engine answered without event stream")
        if head.is_other_engine:
            self._runtime.crashes.report_replaced(attempt.state)
        if head.was_not_executed:
            return Ending.NOT_RUN
        if self._responder.has_begun:
            return Ending.FAILED
        if head.status >= SERVER_ERROR and self._call.route.may_repeat:
            return Ending.FAILED
        await self._responder.pass_on(read.ok)
        return Ending.PASSED_ON

    def _classify(self, attempt, failure):
        self._log.bind(engine=attempt.state.name, cause=repr(failure)).info(
            "attempt failed"
        )
        if isinstance(failure, TimeIsUp):
            return Ending.TIME_IS_UP
        if isinstance(failure, UpstreamUnreachable):
            self._runtime.fleet.report_unreachable(attempt.state, failure)
            return Ending.NOT_RUN
        if not isinstance(failure, AttemptInterrupted):
            self._runtime.crashes.investigate(attempt.state, self._call)
        return Ending.LOST

    async def _choose_step(self, ending):
        """Return the next step; a retry must also be within the retry budget."""
        self._losses += ending is Ending.LOST
        self._failures += ending is Ending.FAILED
        if ending is Ending.LOST and self._losses >= EXAMINED_LOSSES:
            await self._runtime.crashes.wait_examined(self._call)
        route = self._call.route
        choice = choose_step(
            StreamView(
                ending=ending,
                has_copy=self._kv_copy is not None,
                may_repeat=route.may_repeat,
                sends=self._sends,
                losses=self._losses,
                failures=self._failures,
                max_attempts=route.max_attempts,
                is_convicted=self._runtime.crashes.is_convicted(self._call),
            )
        )
        step, reason = choice.step, choice.reason
        if step is not Step.GIVE_UP and not self._runtime.budget.take(
            self._call.service, continues=ending is Ending.LOST
        ):
            step, reason = Step.GIVE_UP, "retry budget exhausted"
        self._log.bind(ending=ending.value, step=step.value, reason=reason).info(
            "attempt ended"
        )
        return step

    async def _give_up(self, ending):
        if self._responder.has_begun:
            self._responder.abort()
            return
        if ending is Ending.TIME_IS_UP:
            problem = Problem(TIMED_OUT, "no answer within the route's time")
        elif self._losses or self._failures:
            problem = Problem(UPSTREAM_FAILED, "no engine finished the call")
        else:
            retry_after_s = choose_retry_after(None, self._runtime.generator)
            problem = Problem(UNAVAILABLE, "no engine took the call", retry_after_s)
        await self._responder.refuse(problem)
