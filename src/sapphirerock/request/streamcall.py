"""Streamed calls: events are relayed, and a lost stream resumes on another engine.

A stream whose engine is silent resumes on another engine beside the first attempt,
which goes on if the silent engine is the first to send a new event.
"""

import asyncio
from contextlib import contextmanager
from dataclasses import dataclass, replace

from loguru import logger

from sapphirerock.connection.errors import (
    AttemptInterrupted,
    DeadlineExceeded,
    RelayUnavailable,
    UpstreamUnreachable,
)
from sapphirerock.connection.eventsplitter import EventMalformed, EventSplitter
from sapphirerock.connection.response import KvCopy
from sapphirerock.decisions.continuation import (
    RecoveryStep,
    StreamOutcome,
    StreamView,
    choose_recovery_step,
)
from sapphirerock.decisions.enginepace import MIN_PAUSES, PauseSample
from sapphirerock.decisions.poisonrequests import SUSPECT_LOSSES
from sapphirerock.decisions.quarantine import EVIDENCE_TTL_S
from sapphirerock.decisions.retryafter import choose_retry_after
from sapphirerock.decisions.silence import choose_silence_wait
from sapphirerock.decisions.streamprogress import ProgressCheck
from sapphirerock.decisions.streamversions import (
    KvBackup,
    StreamOrigin,
    choose_copy,
    is_copied_request,
)
from sapphirerock.decisions.turns import RESUMPTION_MAX_WAIT_S, choose_max_wait
from sapphirerock.process.engines.prober import ProbeOutcome
from sapphirerock.process.engines.table import EngineLoadCell
from sapphirerock.process.peers.streamorigins import digest_content
from sapphirerock.request.attemptrace import AttemptRace
from sapphirerock.request.backupkeeper import BackupKeeper
from sapphirerock.request.problem import (
    CRASHED_ENGINES,
    CRASHES_ENGINES,
    GENERATION_LOST,
    TIMED_OUT,
    UNAVAILABLE,
    UPSTREAM_FAILED,
    Problem,
    make_shutdown_problem,
)
from sapphirerock.request.turntaker import TurnTaker
from sapphirerock.request.upstreamattempt import UpstreamAttempt

MIN_SERVER_ERROR_STATUS = 500
# A stream that goes on asks the engines of its version again after this time, if all
# of them are full.
FULL_ENGINE_RETRY_S = 0.5
# Interval at which a stream with a silent engine looks for another one, if there was
# none before.
SILENT_ENGINE_RETRY_S = 0.5
# Interval at which a call without an engine looks whether a silent one has answered.
SILENT_ENGINE_CHECK_S = 0.05
# Several round trips between regions.
START_CHECK_TIMEOUT_S = 0.3
# An engine that does not answer, or whose report can't be read, is asked again.
MAX_START_CHECKS = 2


@dataclass(slots=True, frozen=True)
class ResumePoint:
    """The point at which an attempt resumes a stream, and the KV copy that it uses.

    Parameters
    ----------
    last_event_id : int or None
        Id of the event after which the stream resumes.
    kv_copy : KvCopy or None
        KV copy to resume from; None if the prompt is prefilled again.
    """

    last_event_id: int | None
    kv_copy: object = None


@dataclass(slots=True)
class StreamProgress:
    """What the caller has received so far.

    Parameters
    ----------
    last_id : int or None
        Id of the last event that the caller received.
    events : int
        Number of forwarded events.
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
        """Count events that were forwarded together at ``now_s``."""
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
        "_race",
        "_running",
        "_recovery",
        "_is_recovery_delayed",
        "_outrun_engines",
        "_tried_engines",
        "_sends",
        "_losses",
        "_failures",
        "_full_engines",
        "_copy_holders",
        "_origin",
        "_first_attempt",
        "_has_recorded",
        "_started_s",
        "_log",
    )

    def __init__(self, runtime, call, responder):
        self._runtime = runtime
        self._call = call
        self._responder = responder
        self._progress = StreamProgress(call.metadata.last_event_id)
        self._kv_copy = None
        self._race = AttemptRace()
        # The backup keeper of each attempt that is running.
        self._running = {}
        # Task that looks for another engine; None once it runs an attempt.
        self._recovery = None
        self._is_recovery_delayed = False
        # Engines whose attempts were cancelled since another one went on first.
        self._outrun_engines = set()
        self._tried_engines = set()
        self._sends = 0
        self._losses = 0
        self._failures = 0
        self._full_engines = set()
        # Engines that got a copy of a run of this call, under its attempt id.
        self._copy_holders = set()
        self._origin = call.origin
        self._first_attempt = None
        self._has_recorded = False
        self._started_s = runtime.clock.monotonic()
        self._log = logger.bind(request=call.metadata.attempt_id, route=call.route.name)

    async def run(self):
        """Relay the stream to the caller, over several attempts if engines are lost."""
        self._runtime.retry_budget.add_call(self._call.service)
        self._prefer_prompt_engine()
        copy = self._find_recorded_copy()
        step = RecoveryStep.RESUME_FROM_COPY
        if copy is None:
            step = RecoveryStep.RETRY_ON_OTHER_ENGINE
        self._race.start(self._run_next_attempt(step, copy))
        try:
            await self._run_attempts()
        finally:
            self._race.cancel()
            self._log_stream_end()

    async def _run_attempts(self):
        """Start another attempt whenever one fails or its engine falls silent."""
        failure = None
        while True:
            outcome = await self._race.wait()
            if self._recovery is not None and self._recovery.done():
                self._recovery = None
            if outcome is None:
                if self._may_start_recovery():
                    self._start_recovery(self._recover(StreamOutcome.SILENT))
                continue
            if outcome is StreamOutcome.GIVEN_UP:
                if not self._race.task_count:
                    await self._give_up(failure)
                    return
                if self._may_start_recovery():
                    self._start_recovery(self._recover_later())
                continue
            failure = outcome
            self._record_outcome(outcome)
            if outcome in (StreamOutcome.COMPLETE, StreamOutcome.RELAYED):
                return
            if outcome is StreamOutcome.DEADLINE_EXCEEDED:
                self._race.cancel()
                await self._give_up(outcome)
                return
            if self._may_start_recovery():
                self._start_recovery(self._recover(outcome))

    def _record_outcome(self, outcome):
        """Count how an attempt ended."""
        self._runtime.metrics.observe_attempt(self._call.route.kind.value, outcome)
        self._losses += outcome is StreamOutcome.LOST
        self._failures += outcome is StreamOutcome.FAILED
        if outcome is StreamOutcome.COMPLETE:
            self._responder.complete_stream()
            elapsed_s = self._runtime.clock.monotonic() - self._started_s
            self._runtime.stream_durations.record_stream(elapsed_s)

    def _may_start_recovery(self):
        """Return whether to look for another engine now.

        One is looked for while the engines of all attempts are silent. A search that is
        under way goes on, unless it is delayed or there is a KV copy to resume from.
        """
        if not self._race.task_count:
            return True
        if any(not attempt.is_silent for attempt in self._running):
            return False
        is_searching = self._recovery is not None and not self._is_recovery_delayed
        return not is_searching or self._kv_copy is not None

    def _start_recovery(self, coroutine):
        """Run a search for another engine in place of the one before."""
        if self._recovery is not None:
            self._race.drop(self._recovery)
        self._is_recovery_delayed = False
        self._recovery = self._race.start(coroutine)

    async def _recover(self, outcome):
        """Choose the step after an outcome, and take it; return the new outcome."""
        copy, self._kv_copy = self._kv_copy, None
        if outcome is StreamOutcome.SILENT and self._responder.has_begun:
            copy = self._find_copy_of_silent_attempt()
        step = await self._choose_step(outcome, copy)
        if step is RecoveryStep.GIVE_UP:
            return StreamOutcome.GIVEN_UP
        sends = self._sends
        try:
            return await self._run_next_attempt(step, copy)
        finally:
            if self._sends == sends:
                self._runtime.retry_budget.give_back(self._call.service)

    async def _recover_later(self):
        """Look for another engine again, if the engine of an attempt is still silent.

        Returns
        -------
        StreamOutcome
        """
        self._is_recovery_delayed = True
        await self._runtime.clock.sleep(SILENT_ENGINE_RETRY_S)
        self._is_recovery_delayed = False
        if any(not attempt.is_silent for attempt in self._running):
            return StreamOutcome.GIVEN_UP
        return await self._recover(StreamOutcome.SILENT)

    def _find_copy_of_silent_attempt(self):
        """Return a usable KV copy of an attempt whose engine is silent, or None."""
        for attempt, backup_keeper in self._running.items():
            copy = backup_keeper.get_usable_copy() if attempt.is_silent else None
            if copy is not None:
                return copy
        return None

    def _find_recorded_copy(self):
        """Return the KV copy of a stream that its caller takes up, or None.

        The host that ran the stream recorded it; it can be used once.
        """
        call, fleet = self._call, self._runtime.fleet
        if call.origin is None or not call.metadata.last_event_id:
            return None
        choice = choose_copy(call.origin, digest_content(call))
        backup = choice.backup
        holder = fleet.engines.get(backup.engine) if backup else None
        is_usable = fleet.is_usable(holder)
        self._log.bind(
            resumes=call.metadata.resumed_attempt_id,
            run=backup.attempt_id if backup else None,
            holder=backup.engine if backup else None,
            is_usable=is_usable,
            reason=choice.reason,
        ).info("kv copy of stream looked up")
        if not is_usable:
            return None
        return KvCopy(holder.entry, None, attempt_id=backup.attempt_id)

    def _prefer_prompt_engine(self):
        """Prefer an engine that has cached the prompt, if the stream has no record.

        Its caller names no attempt, or one that is not recorded.
        """
        origin = self._origin
        if origin is None or origin.engine:
            return
        engine = self._runtime.stream_origins.find_prompt_engine(
            digest_content(self._call), origin.service, origin.version
        )
        self._origin = replace(origin, engine=engine)

    def _log_stream_end(self):
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

    async def _run_next_attempt(self, step, copy=None):
        """Choose an engine for the next attempt, run it and return its outcome.

        The first attempt waits for admission.
        """
        turns = TurnTaker(self._runtime, self._call)
        try:
            return await self._place_and_run(step, turns, copy)
        finally:
            turns.release()

    async def _place_and_run(self, step, turns, copy):
        if step is RecoveryStep.RESUME_FROM_COPY:
            holder = self._runtime.fleet.engines.get(copy.holder.name)
            if (
                holder is not None
                and holder.entry.version == self._origin.version
                and await self._check_answers(holder)
                and await turns.take(holder, RESUMPTION_MAX_WAIT_S)
            ):
                return await self._run_attempt(turns, holder, copy, None)
        if self._origin is not None:
            placement = await self._place_resumption(turns)
            if placement is None:
                return StreamOutcome.NO_ENGINE
            return await self._run_attempt(turns, placement.state, None, placement)
        placement = None
        if not self._sends:
            admitted = await self._runtime.admission.admit(self._call)
            if admitted.is_error():
                await self._responder.send_problem(admitted.error)
                return StreamOutcome.RELAYED
            if self._runtime.crash_watch.is_blocked(self._call):
                return StreamOutcome.NOT_RUN
            placement = admitted.ok
        placement = await self._take_turn(turns, placement)
        if self._must_leave_to_other_host():
            await self._responder.send_problem(make_shutdown_problem())
            return StreamOutcome.RELAYED
        while placement is None and self._may_wait_for_silent_engine():
            await self._runtime.clock.sleep(SILENT_ENGINE_CHECK_S)
            placement = await self._take_turn(turns, None)
        if placement is not None:
            return await self._run_attempt(turns, placement.state, None, placement)
        if self._sends or not turns.engines_without_turn:
            return StreamOutcome.NO_ENGINE
        await self._responder.send_problem(turns.make_problem())
        return StreamOutcome.RELAYED

    def _must_leave_to_other_host(self):
        """Return whether the shutdown could cut off the call, which has not run."""
        if self._losses or self._failures or self._running:
            return False
        call = self._call
        return not self._runtime.shutdown.can_take(call.route, call.response_deadline_s)

    def _may_wait_for_silent_engine(self):
        """Return whether an engine may answer soon that gets no work for its silence.

        A call that runs on a silent engine already does not wait for others.
        """
        call, engines = self._call, self._runtime.fleet.engines
        if self._running or not engines.await_silent_engine(
            call.service, self._tried_engines
        ):
            return False
        remaining_s = call.response_deadline_s - self._started_s
        waited_s = self._runtime.clock.monotonic() - self._started_s
        return waited_s <= choose_silence_wait(remaining_s)

    async def _place_resumption(self, turns):
        """Wait for an engine of the version that began the stream.

        Returns
        -------
        Placement or None
            None if no engine of the version is left, or in time.
        """
        service, version = self._call.service, self._origin.version
        clock = self._runtime.clock
        while True:
            placement = await self._take_turn(turns, None)
            if placement is not None:
                with self._reserve_prefill(placement):
                    has_registered_start = await self._has_registered_start(
                        placement.state
                    )
                if has_registered_start:
                    return placement
                turns.release()
                self._tried_engines.add(placement.state.name)
                continue
            lost_engines = self._tried_engines - self._full_engines
            is_left = self._runtime.fleet.has_version(service, version, lost_engines)
            retry_s = clock.monotonic() + FULL_ENGINE_RETRY_S
            if not is_left or retry_s > self._call.response_deadline_s:
                self._log.bind(
                    engine_version=version,
                    versions=sorted(self._runtime.fleet.engines.list_versions(service)),
                    is_left=is_left,
                ).warning("no engine of the stream's version")
                return None
            await clock.sleep(FULL_ENGINE_RETRY_S)
            self._tried_engines -= self._full_engines
            turns.engines_without_turn.clear()
            turns.engines_without_answer.clear()

    @contextmanager
    def _reserve_prefill(self, placement):
        """Count the call at an engine, as seen by other calls, before it is sent."""
        prompt, load = self._call.metadata.prompt, placement.state.local_load
        reserved = EngineLoadCell(
            prompt.tokens - placement.view.cached_tokens, 1, prompt.memory_tokens
        )
        load.add(reserved)
        try:
            yield
        finally:
            load.subtract(reserved)

    async def _has_registered_start(self, state):
        """Return whether an engine is still the process that it registered.

        Another one under its id may have another software version. This is not checked
        for a stream that began here, at a service whose engines are known to have one
        version.
        """
        versions = self._runtime.fleet.engines.list_versions(self._call.service)
        if (
            self._call.origin is None
            and len(versions) < 2
            and self._runtime.version_history.knows_all()
        ):
            return True
        for _ in range(MAX_START_CHECKS):
            result = await self._probe_start(state)
            if result.shows_running and result.shows_start:
                return True
            if result.outcome is ProbeOutcome.ENDED:
                break
        self._log.bind(
            engine=state.name, outcome=result.outcome.value, detail=result.detail
        ).info("stream not resumed on engine")
        return False

    async def _probe_start(self, state):
        prober = self._runtime.paths
        result = await prober.probe_and_confirm(state.entry, START_CHECK_TIMEOUT_S)
        while result.outcome is ProbeOutcome.HOST_BUSY:
            result = await prober.probe_and_confirm(state.entry, START_CHECK_TIMEOUT_S)
        return result

    async def _take_turn(self, turns, placement):
        """Return a placement whose engine has a turn or no limit; None if none has.

        Parameters
        ----------
        turns : TurnTaker
            Takes the turns of this attempt.
        placement : Placement or None
            The first choice; None to choose one.
        """
        isolate = (
            self._runtime.crash_watch.choose_isolated_engine if self._losses else None
        )
        while True:
            if placement is None:
                excluded = self._list_excluded().union(
                    turns.engines_without_turn, turns.engines_without_answer
                )
                placement = self._runtime.fleet.place(
                    self._call, excluded, isolate, self._origin
                )
            if placement is None:
                return None
            state = placement.state
            if not await self._check_answers(state):
                turns.engines_without_answer.add(state.name)
            elif await turns.take(state, self._choose_max_wait()):
                return placement
            placement = None

    async def _check_answers(self, state):
        """Return whether an engine answers, if an attempt on a silent one goes on.

        Engines may fall silent together. Without the check, all calls of silent
        engines would move to those of which it is not known yet.
        """
        return not self._running or await self._runtime.crash_watch.check_answers(state)

    def _list_excluded(self):
        """Return the names of engines that the next attempt is not placed on."""
        excluded = self._tried_engines.union(
            attempt.state.name for attempt in self._running
        )
        if self._running:
            engines = self._runtime.fleet.engines
            excluded.update(engines.list_suspects(self._call.service))
        return excluded

    def _choose_max_wait(self):
        """Return how long the stream may wait for a turn at a limited engine."""
        call, fleet = self._call, self._runtime.fleet
        version = self._origin.version if self._origin else None
        if fleet.has_unlimited_engine(call.service, self._tried_engines, version):
            return 0.0
        if self._origin is not None:
            return RESUMPTION_MAX_WAIT_S
        waited_s = self._runtime.clock.monotonic() - self._started_s
        return choose_max_wait(call.route.target_latency_s - waited_s, call.priority)

    async def _run_attempt(self, turns, state, copy, placement):
        """Run an attempt on an engine, keep a KV copy of it, and return its outcome."""
        backup = self._choose_backup(state)
        self._sends += 1
        prompt = self._call.metadata.prompt
        prefill_tokens = 0
        if copy is None:
            prefill_tokens = prompt.tokens - placement.view.cached_tokens
        self._log_placement(state, backup, copy, placement)
        attempt = UpstreamAttempt(
            self._runtime,
            self._call,
            state,
            prefill_tokens,
            prompt.memory_tokens,
            backup,
            turns.pop_slot(),
            self._race.report_silence if self._call.route.may_retry else None,
        )
        continuation = None
        if self._responder.has_begun or copy is not None:
            continuation = ResumePoint(self._progress.last_id, copy)
        backup_keeper = BackupKeeper(self._runtime, self._call, attempt)
        if copy is not None:
            for keeper in self._running.values():
                keeper.drop_copy(copy)
        if asyncio.current_task() is self._recovery:
            self._recovery = None
        with attempt:
            self._running[attempt] = backup_keeper
            backup_task = (
                asyncio.ensure_future(backup_keeper.maintain()) if backup else None
            )
            try:
                outcome = await self._relay(attempt, continuation)
            except asyncio.CancelledError:
                self._outrun_engines.add(state.name)
                raise
            finally:
                attempt.hold.release()
                del self._running[attempt]
                if backup_task is not None:
                    backup_task.cancel()
        has_failed = outcome not in (StreamOutcome.COMPLETE, StreamOutcome.RELAYED)
        self._runtime.fleet.record_outcome(state, has_failed)
        if has_failed:
            engines = self._runtime.fleet.engines
            is_unreached = outcome is StreamOutcome.NOT_RUN
            if not is_unreached or not engines.is_marked_silent(state):
                self._tried_engines.add(state.name)
            if outcome is StreamOutcome.NOT_RUN and attempt.head is not None:
                self._full_engines.add(state.name)
            if self._responder.has_begun:
                self._kv_copy = backup_keeper.get_usable_copy()
        return outcome

    def _choose_backup(self, state):
        """Return the engine for the KV copy of a run on an engine, or None.

        Engines name copies by the attempt id, which all runs of the call share. An
        engine that got the copy of an earlier run may still keep it, or get more of it
        from an engine that was silent, so it is not chosen again.
        """
        backup = self._runtime.fleet.choose_backup_engine(
            self._call, state, self._copy_holders
        )
        if backup is not None:
            self._copy_holders.add(backup.name)
        return backup

    def _log_placement(self, state, backup, copy, placement):
        fields = {
            "engine": state.name,
            "engine_version": state.entry.version,
            "backup": backup.name if backup else None,
            "revision": self._call.revision,
        }
        if copy is not None:
            fields["copy_of"] = (
                self._origin.engine if copy.source is None else copy.source.name
            )
        if self._progress.last_id is not None:
            fields["after"] = self._progress.last_id
        if placement is not None:
            view = placement.view
            fields["candidates"] = placement.candidates
            fields["prompt_tokens"] = view.prompt_tokens
            fields["cached_tokens"] = view.cached_tokens
            fields["runs"] = view.runs
            fields["free_tokens"] = view.free_tokens
            fields["failing"] = round(view.failure_share, 2)
            if state.loads_updated_s is not None:
                age_s = self._runtime.clock.monotonic() - state.loads_updated_s
                fields["load_age_s"] = round(age_s, 2)
        self._log.bind(**fields).info("call placed on engine")

    async def _relay(self, attempt, continuation):
        """Send the call and forward the response; return how the attempt ended."""
        opened = await attempt.open(continuation)
        if opened.is_error():
            return self._handle_failure(attempt, opened.error)
        if not opened.ok.is_success or not opened.ok.is_stream:
            return await self._handle_buffered_response(attempt)
        splitter, progress_check = EventSplitter(), ProgressCheck()
        pauses = PauseSample()
        while True:
            read = await attempt.read_chunk()
            if read.is_error():
                return self._handle_failure(attempt, read.error)
            if not read.ok:
                return self._classify_stream_end(attempt, splitter)
            try:
                events = splitter.feed(read.ok)
            except EventMalformed as error:
                self._log.bind(cause=str(error)).warning("malformed event in stream")
                return StreamOutcome.FAILED
            if progress_check.is_exceeded(read.ok, events, self._progress.last_id):
                self._log.bind(
                    engine=attempt.state.name, wasted=progress_check.wasted_bytes
                ).warning("stream without progress ended")
                return StreamOutcome.FAILED
            if events:
                if attempt.record_output() and continuation is None:
                    attempt.record_response(has_failed=False)
                attempt.mark_prefilled()
                self._measure_pace(attempt, pauses, len(events))
                await self._forward_events(attempt, events)

    def _measure_pace(self, attempt, pauses, count):
        """Add events to the pauses of an attempt; record these when they suffice."""
        if pauses.is_complete:
            return
        pauses.add_events(count, self._runtime.clock.monotonic())
        if pauses.count == MIN_PAUSES or pauses.is_complete:
            self._runtime.engine_paces.record_stream(
                attempt.state, attempt.head, pauses
            )

    async def _forward_events(self, attempt, events):
        """Forward events that the caller has not received yet.

        The first event decides which of several attempts goes on. Comments don't.
        """
        new_contents, has_event = [], False
        for event in events:
            if event.number is not None:
                last_id = self._progress.last_id
                if last_id is not None and event.number <= last_id:
                    continue
                self._progress.last_id = event.number
                has_event = True
            new_contents.append(event.content)
        if not new_contents or (not has_event and self._race.task_count > 1):
            return
        if has_event:
            self._win_race(attempt)
        self._record_origin(attempt)
        if not self._responder.has_begun:
            await self._responder.begin_stream(
                attempt.head.status, attempt.select_headers()
            )
        await self._responder.send(b"".join(new_contents))
        self._progress.record_events(len(new_contents), self._runtime.clock.monotonic())

    def _win_race(self, attempt):
        """End the other attempts, since this one is the first to go on."""
        others = self._race.win() if self._race.task_count > 1 else 0
        self._recovery = None
        if others:
            self._log.bind(engine=attempt.state.name, others=others).info(
                "other attempts cancelled"
            )

    def _record_origin(self, attempt):
        """Record the software version of the engine that begins the stream.

        The engine may have been started again under its id after it was chosen. Its
        registration shows this a little later, while the attempt still runs.
        """
        is_first = self._origin is None or attempt is self._first_attempt
        engines = self._runtime.fleet.engines
        state = engines.get(attempt.state.name) or attempt.state
        version = state.entry.version if is_first else self._origin.version
        backup_keeper = self._running.get(attempt)
        holder = backup_keeper.get_backup_name() if backup_keeper else ""
        if self._is_recorded(version, state.name, holder):
            return
        if is_first:
            self._first_attempt = attempt
        attempt_id = self._call.metadata.attempt_id
        content = digest_content(self._call)
        backup = KvBackup(holder, attempt_id, content) if holder else None
        self._origin = StreamOrigin(self._call.service, version, state.name, backup)
        ttl_s = self._call.deadline_s - self._runtime.clock.monotonic()
        resumed_attempt_id = None
        if self._call.origin and is_copied_request(self._call.origin, content):
            resumed_attempt_id = self._call.metadata.resumed_attempt_id
        self._has_recorded = True
        self._runtime.stream_origins.record(
            attempt_id, self._origin, ttl_s, resumed_attempt_id
        )

    def _is_recorded(self, version, engine, holder):
        """Return whether what other hosts know of the stream is up to date.

        A stream that was taken up is known by the attempt that its caller names, but
        for its KV copy.
        """
        origin = self._origin
        if origin is None or origin.version != version:
            return False
        if self._call.metadata.resumed_attempt_id and not self._has_recorded:
            return False
        known = origin.kv_backup.engine if origin.kv_backup else ""
        return known == holder and (origin.engine == engine or not holder)

    def _classify_stream_end(self, attempt, splitter):
        """Return the outcome of a stream whose connection ended without an error."""
        is_truncated = (
            splitter.has_partial_event
            or not self._responder.has_begun
            or self._has_stopped_after_head(attempt)
        )
        if is_truncated:
            self._log.bind(engine=attempt.state.name).info("stream truncated by engine")
            self._runtime.crash_watch.investigate(attempt.state, self._call)
            return StreamOutcome.LOST
        self._win_race(attempt)
        return StreamOutcome.COMPLETE

    def _has_stopped_after_head(self, attempt):
        """Return whether an engine that was to go on closed after the head.

        This ends a response without framing, also if events are still missing.
        """
        if attempt.has_output or attempt.head.has_framing:
            return False
        event_tokens = self._runtime.fleet.get_event_tokens(self._call.service)
        received_tokens = (self._progress.last_id or 0) * event_tokens
        max_tokens = self._call.metadata.prompt.output_tokens
        return not max_tokens or received_tokens < max_tokens

    async def _handle_buffered_response(self, attempt):
        """Handle a response that is no event stream: an error or a refusal."""
        read = await attempt.read_all()
        if read.is_error():
            return self._handle_failure(attempt, read.error)
        head = read.ok.head
        self._log.bind(
            engine=attempt.state.name, status=head.status, ran=not head.was_not_executed
        ).info("engine response is no event stream")
        if head.is_other_engine:
            self._runtime.crash_watch.report_replaced(attempt.state)
        if head.was_not_executed:
            return StreamOutcome.NOT_RUN
        attempt.record_response(head.status >= MIN_SERVER_ERROR_STATUS)
        if self._responder.has_begun:
            return StreamOutcome.FAILED
        if head.status >= MIN_SERVER_ERROR_STATUS and self._call.route.may_retry:
            return StreamOutcome.FAILED
        self._win_race(attempt)
        await self._responder.send_upstream_response(read.ok)
        return StreamOutcome.RELAYED

    def _handle_failure(self, attempt, failure):
        """Log a failure, report it for the engine, and return the outcome."""
        self._log.bind(engine=attempt.state.name, cause=repr(failure)).info(
            "attempt failed"
        )
        if isinstance(failure, DeadlineExceeded):
            return StreamOutcome.DEADLINE_EXCEEDED
        if isinstance(failure, RelayUnavailable):
            # No peer relays now, which shows nothing about the engine.
            return StreamOutcome.NOT_RUN
        if isinstance(failure, UpstreamUnreachable):
            self._runtime.fleet.report_unreachable(attempt.state, failure)
            return StreamOutcome.NOT_RUN
        if not isinstance(failure, AttemptInterrupted):
            self._runtime.crash_watch.investigate(attempt.state, self._call)
        return StreamOutcome.LOST

    async def _choose_step(self, outcome, copy):
        """Return the next step: give up, or one that the retry budget allows."""
        is_engine_gone = outcome in (StreamOutcome.LOST, StreamOutcome.SILENT)
        if is_engine_gone and (
            self._losses >= SUSPECT_LOSSES
            or self._runtime.crash_watch.must_wait(self._call)
        ):
            await self._runtime.crash_watch.wait_for_investigations(self._call)
        route = self._call.route
        choice = choose_recovery_step(
            StreamView(
                outcome=outcome,
                has_copy=copy is not None,
                may_retry=route.may_retry,
                sends=self._sends,
                losses=self._losses,
                failures=self._failures,
                max_attempts=route.max_attempts,
                is_blocked=self._runtime.crash_watch.is_blocked(self._call),
                other_engines=self._count_other_engines(),
            )
        )
        step, reason = choice.step, choice.reason
        if (
            step is not RecoveryStep.GIVE_UP
            and not self._runtime.retry_budget.try_spend(
                self._call.service, is_resumption=is_engine_gone
            )
        ):
            step, reason = RecoveryStep.GIVE_UP, "retry budget exhausted"
        self._log.bind(ending=outcome.value, step=step.value, reason=reason).info(
            "attempt silent" if outcome is StreamOutcome.SILENT else "attempt ended"
        )
        return step

    def _count_other_engines(self):
        """Return the number of engines that run the call, or were outrun and live.

        Those that have been silent for long don't count.
        """
        engines = self._runtime.fleet.engines
        states = [engines.get(name) for name in self._outrun_engines]
        outrun = {
            state.name
            for state in states
            if state is not None
            and (engines.is_alive(state) or engines.may_be_sound(state))
        }
        running = {
            attempt.state.name for attempt in self._running if attempt.may_be_running
        }
        return len(outrun | running)

    async def _give_up(self, outcome):
        """Send a problem, or abort the response if it has begun."""
        if self._responder.has_begun:
            self._responder.abort()
            return
        if outcome is StreamOutcome.NO_ENGINE and self._origin is not None:
            detail = "no engine of the version that began the stream is left"
            await self._responder.send_problem(Problem(GENERATION_LOST, detail))
            return
        if self._runtime.crash_watch.is_blocked(self._call):
            kind = CRASHED_ENGINES if self._losses else CRASHES_ENGINES
            detail = "engines crashed each time that they ran it"
            problem = Problem(kind, detail, EVIDENCE_TTL_S)
        elif outcome is StreamOutcome.DEADLINE_EXCEEDED:
            problem = Problem(TIMED_OUT, "no answer within the route's time")
        elif self._losses or self._failures:
            problem = Problem(UPSTREAM_FAILED, "no engine finished the call")
        else:
            engines = self._runtime.fleet.engines
            rest_s = engines.measure_service_rest_s(self._call.service) or None
            retry_after_s = choose_retry_after(rest_s, self._runtime.generator)
            problem = Problem(UNAVAILABLE, "no engine took the call", retry_after_s)
        await self._responder.send_problem(problem)
