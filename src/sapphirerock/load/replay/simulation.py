"""Simulation of a load pattern that calls the decision modules of the router."""

from dataclasses import dataclass, field
from random import Random

from sapphirerock.decisions.admission import AdmissionView, Verdict, decide_admission
from sapphirerock.decisions.continuation import (
    RecoveryStep,
    StreamOutcome,
    StreamView,
    choose_recovery_step,
)
from sapphirerock.decisions.fairqueue import FairQueue, Ticket
from sapphirerock.decisions.health import exclude_outliers
from sapphirerock.decisions.placement import (
    PLACEMENTS,
    choose_backup_engine,
    mark_cached_prompt,
)
from sapphirerock.decisions.retryafter import choose_retry_after
from sapphirerock.load.replay.engines import (
    EngineModel,
    SimulatedEngine,
    SimulatedRun,
)
from sapphirerock.load.replay.patterns import PATTERNS, ZONES
from sapphirerock.process.clock import ManualClock
from sapphirerock.request.call import Prompt

TIME_STEP_S = 0.02
REPLAY_DURATION_S = 60.0
# From the loss of an engine to the next attempt. A crash resets connections and is
# detected at once; silence is detected only later, see SILENCE_DETECTION_S.
CRASH_DETECTION_S = 0.05
# From the start of a call to its failure response.
FAILURE_RESPONSE_S = 0.1
# Maximum number of engines on which a call may fail.
MAX_ATTEMPTS = 3
# From the silence of an engine to the next attempt.
SILENCE_DETECTION_S = 0.45
# Tokens that a KV copy lacks and that are prefilled again on resumption.
COPY_LAG_TOKENS = 60.0
# Tokens of a cached prompt that are prefilled again.
CACHE_LAG_TOKENS = 60.0
# Longest wait for the first event, and longest pause between two events, of a call that
# is served in time.
FIRST_EVENT_TARGET_S = 4.5
PAUSE_TARGET_S = 0.7
# From the arrival of a call until its caller gives up the wait for the start.
CALLER_TIMEOUT_S = 25.0
TOKENS_PER_EVENT = 5
# Estimated duration of a run, from which admission estimates when memory is freed.
TYPICAL_RUN_S = 6.0
# From a start to the first event, with some prompts to prefill before it.
TYPICAL_FIRST_EVENT_S = 2.0


@dataclass(slots=True, frozen=True)
class ReplayPolicy:
    """Decision policies of a replay.

    Parameters
    ----------
    placement : str
        Name of the placement policy.
    uses_kv_copies : bool
        Whether the KV memory of runs is copied to a second engine.
    uses_admission : bool
        Whether calls wait for capacity or are refused, instead of starting at once.
    excludes_outliers : bool
        Whether engines that fail more calls than their peers get no new runs.
    prefers_first_engine : bool
        Whether a stream that is taken up prefers the engine that began it.
    uses_pace : bool
        Whether hosts know how fast each engine works.
    """

    placement: str = "least-prompt-tokens"
    uses_kv_copies: bool = True
    uses_admission: bool = True
    excludes_outliers: bool = True
    prefers_first_engine: bool = True
    uses_pace: bool = True

    def __str__(self):
        parts = [self.placement]
        parts += [] if self.uses_kv_copies else ["no copies"]
        parts += [] if self.uses_admission else ["no admission"]
        parts += [] if self.excludes_outliers else ["no health"]
        parts += [] if self.prefers_first_engine else ["no first engine"]
        parts += [] if self.uses_pace else ["no pace"]
        return ", ".join(parts)


@dataclass(slots=True, eq=False)
class SimulatedStream:
    """One call and its progress.

    Parameters
    ----------
    arrival : Arrival
        Arrival of the call.
    prompt : Prompt
        Sizes of the prompt and of the output.
    engine : SimulatedEngine or None
        Engine of the latest attempt.
    backup : SimulatedEngine or None
        Engine that keeps the KV copy.
    retry_at_s : float or None
        Time of the next attempt after a loss or failure.
    first_event_s, last_event_s : float or None
        Times of the first and of the latest event.
    longest_pause_s : float
        Longest time between two successive events.
    wasted_tokens : float
        Tokens whose KV memory was lost.
    losses, failures : int
        Numbers of runs that ended because the engine went down, and of attempts that
        the engine answered with an error.
    last_outcome : StreamOutcome
        Outcome of the latest attempt that did not end normally.
    sends : int
        Number of attempts that were sent to an engine.
    refused_s : float or None
        Time of the latest refusal; None again once the call starts.
    caller_retries : int
        Number of times that the caller retried after a refusal.
    is_done : bool
        Whether all output tokens were generated.
    generated_tokens : float
        Output tokens up to the latest event or the latest loss of an engine.
    """

    arrival: object
    prompt: Prompt
    engine: object = None
    backup: object = None
    retry_at_s: float | None = None
    first_event_s: float | None = None
    last_event_s: float | None = None
    longest_pause_s: float = 0.0
    wasted_tokens: float = 0.0
    losses: int = 0
    failures: int = 0
    last_outcome: StreamOutcome = StreamOutcome.LOST
    sends: int = 0
    refused_s: float | None = None
    caller_retries: int = 0
    is_done: bool = False
    ticket: object = None
    generated_tokens: float = 0.0

    @property
    def meets_targets(self):
        """Whether the call was served within the targets for wait and pauses."""
        if not self.is_done or self.first_event_s is None:
            return False
        waited_s = self.first_event_s - self.arrival.at_s
        return (
            waited_s <= FIRST_EVENT_TARGET_S and self.longest_pause_s <= PAUSE_TARGET_S
        )


@dataclass(slots=True)
class ReplayResult:
    """Result of one replay of a pattern under a policy.

    Parameters
    ----------
    pattern : str
        Name of the pattern.
    streams : list of SimulatedStream
        All calls, in the order of their arrival.
    preemptions : int
        Number of preempted runs.
    timeline : list of (float, int, int)
        Time, running and queued calls at each time step.
    """

    pattern: str
    policy: ReplayPolicy
    streams: list
    preemptions: int
    timeline: list = field(default_factory=list)

    @property
    def in_time_share(self):
        """Fraction of the calls that were served within the targets."""
        return sum(stream.meets_targets for stream in self.streams) / len(self.streams)

    def compute_served_share(self, organisation=None):
        """Return the fraction of calls served at all, of one organisation or of all."""
        served = [
            stream.is_done
            for stream in self.streams
            if organisation in (None, stream.arrival.organisation)
        ]
        return sum(served) / max(1, len(served))

    def compute_begun_share(self, takes_up_stream):
        """Return the fraction of new streams or of take-ups that brought an event."""
        begun = [
            stream.first_event_s is not None
            for stream in self.streams
            if stream.arrival.takes_up_stream == takes_up_stream
        ]
        return sum(begun) / max(1, len(begun))

    @property
    def refused_share(self):
        """Fraction of the calls that were refused and not started later."""
        return sum(stream.refused_s is not None for stream in self.streams) / len(
            self.streams
        )

    def compute_wait_quantile(self, fraction):
        """Return a quantile of the wait for the first event, in seconds.

        Parameters
        ----------
        fraction : float
            Fraction of the calls that waited no longer, from 0 to 1.
        """
        waits = sorted(
            stream.first_event_s - stream.arrival.at_s
            for stream in self.streams
            if stream.first_event_s is not None
        )
        return waits[min(len(waits) - 1, int(fraction * len(waits)))] if waits else 0.0

    @property
    def wasted_tokens(self):
        """Number of tokens whose KV memory was lost."""
        return sum(stream.wasted_tokens for stream in self.streams)


class Simulation:
    """Simulation of one pattern under one policy with one seed.

    Parameters
    ----------
    pattern_name : str
        Name of the pattern.
    policy : ReplayPolicy
        Decision policies.
    seed : int
        Seed of the pattern and of all random choices.
    """

    def __init__(self, pattern_name, policy, seed):
        self._random = Random(seed)
        self._pattern_name = pattern_name
        self._policy = policy
        self._clock = ManualClock()
        self._pattern = pattern = PATTERNS[pattern_name](self._random)
        model = EngineModel()
        self._engines = [
            SimulatedEngine(f"{zone}-{number}", zone, model)
            for zone in ZONES
            for number in range(pattern.engines_per_zone)
        ]
        self._placement = PLACEMENTS[policy.placement](self._random)
        self._streams = [
            SimulatedStream(
                arrival,
                Prompt("m", arrival.prompt_tokens, arrival.output_tokens),
                generated_tokens=float(arrival.received_tokens),
            )
            for arrival in pattern.arrivals
        ]
        self._pending_arrivals = list(self._streams)
        self._scheduled_retries = []
        self._awaiting_recovery = []
        self._queue = FairQueue()
        self._queued_streams = {}
        self._faults = [(item, self._sample_engines(item)) for item in pattern.faults]
        self._views = {}
        self._views_taken_s = -1.0

    def _sample_engines(self, fault):
        """Return a random sample of the engines that a fault can affect."""
        candidates = [item for item in self._engines if fault.zone in ("", item.zone)]
        count = max(1, round(fault.affected_share * len(candidates)))
        return self._random.sample(candidates, count)

    def run(self):
        """Run the simulation to its end.

        Returns
        -------
        ReplayResult
        """
        timeline = []
        while self._clock.monotonic() < REPLAY_DURATION_S:
            now_s = self._clock.monotonic()
            self._apply_faults(now_s)
            self._process_arrivals(now_s)
            self._remove_left(now_s)
            self._recover_streams(now_s)
            self._process_queue(now_s)
            for engine in self._engines:
                for run in engine.advance(TIME_STEP_S):
                    self._record_tokens(engine, run, now_s)
            self._clock.advance(TIME_STEP_S)
            running = sum(len(engine.runs) for engine in self._engines)
            timeline.append((now_s, running, len(self._queue)))
        preemptions = sum(engine.preemptions for engine in self._engines)
        return ReplayResult(
            self._pattern_name, self._policy, self._streams, preemptions, timeline
        )

    def _apply_faults(self, now_s):
        """Start and end the faults that are due."""
        for fault, engines in self._faults:
            starts = fault.at_s <= now_s < fault.at_s + TIME_STEP_S
            ends = now_s >= fault.at_s + fault.duration_s
            for engine in engines:
                if fault.failure_probability and (starts or ends):
                    engine.failure_probability = (
                        0.0 if ends else fault.failure_probability
                    )
                elif fault.failure_probability:
                    continue
                elif fault.slowdown > 1.0:
                    engine.slowdown = 1.0 if ends else engine.slowdown
                    engine.slowdown = fault.slowdown if starts else engine.slowdown
                elif starts:
                    self._fail_engine(engine, fault, now_s)
                elif ends and now_s < fault.at_s + fault.duration_s + TIME_STEP_S:
                    engine.is_up, engine.is_known_down = True, False

    def _fail_engine(self, engine, fault, now_s):
        """Take an engine down; its runs and KV copies are lost."""
        engine.is_up = False
        # All hosts know at once: the first to detect it sends a gossip update.
        engine.is_known_down = True
        detection_s = SILENCE_DETECTION_S if fault.is_silent else CRASH_DETECTION_S
        for run in engine.runs:
            stream = run.stream
            stream.generated_tokens = run.generated_tokens
            stream.losses += 1
            stream.last_outcome = StreamOutcome.LOST
            stream.retry_at_s = now_s + detection_s
            if stream.backup is None or stream not in stream.backup.kv_copies:
                stream.wasted_tokens += run.memory_tokens
            self._awaiting_recovery.append(stream)
        engine.runs.clear()
        engine.kv_copies.clear()

    def _process_arrivals(self, now_s):
        """Submit new calls and retries of callers that are due."""
        while (
            self._pending_arrivals and self._pending_arrivals[0].arrival.at_s <= now_s
        ):
            self._submit(self._pending_arrivals.pop(0), now_s)
        due = [stream for at_s, stream in self._scheduled_retries if at_s <= now_s]
        self._scheduled_retries = [
            item for item in self._scheduled_retries if item[0] > now_s
        ]
        for stream in due:
            self._submit(stream, now_s)

    def _remove_left(self, now_s):
        """End the runs and retries of callers that have left."""

        def has_left(stream):
            return now_s > stream.arrival.at_s + stream.arrival.max_wait_s

        for engine in self._engines:
            engine.runs = [run for run in engine.runs if not has_left(run.stream)]
        self._awaiting_recovery = [
            stream for stream in self._awaiting_recovery if not has_left(stream)
        ]

    def _submit(self, stream, now_s):
        """Start, queue or refuse a call; a stream that is taken up starts at once."""
        if not self._policy.uses_admission or stream.arrival.takes_up_stream:
            self._start_run(stream, now_s)
            return
        if not len(self._queue) and self._try_admit(stream, 0, now_s):
            return
        if stream.refused_s is not None:
            return
        ticket = Ticket(
            stream.arrival.organisation,
            1,
            0,
            stream.prompt.memory_tokens,
            stream.arrival.at_s + CALLER_TIMEOUT_S,
            None,
            stream.arrival.at_s + FIRST_EVENT_TARGET_S - TYPICAL_FIRST_EVENT_S,
        )
        self._queue.push(ticket)
        self._queued_streams[ticket] = stream

    def _process_queue(self, now_s):
        """Start at most one queued call, and remove refused calls from the queue."""
        queued_ahead_tokens = 0
        for ticket in self._queue.list_waiting(now_s):
            stream = self._queued_streams[ticket]
            was_started = self._try_admit(stream, queued_ahead_tokens, now_s)
            queued_ahead_tokens += stream.prompt.memory_tokens
            if was_started or stream.refused_s is not None:
                self._queue.pop_ticket(ticket)
                del self._queued_streams[ticket]
            if was_started:
                return

    def _try_admit(self, stream, queued_ahead_tokens, now_s):
        """Start or refuse a call, or let it wait; return whether it started."""
        view = self._choose_engine(stream)
        used_tokens = sum(item.memory_tokens for item in self._list_views())
        admission = decide_admission(
            AdmissionView(
                needed_tokens=stream.prompt.memory_tokens,
                free_tokens=view.free_tokens if view else None,
                capacity_tokens=EngineModel().capacity_tokens,
                queued_ahead_tokens=queued_ahead_tokens,
                freed_tokens_per_s=used_tokens / TYPICAL_RUN_S,
                remaining_s=stream.arrival.at_s + CALLER_TIMEOUT_S - now_s,
                run_s=TYPICAL_RUN_S,
                waited_s=now_s - stream.arrival.at_s,
                max_outage_wait_s=1.0,
            )
        )
        if admission.verdict is Verdict.START:
            self._start_run(stream, now_s)
            return True
        if admission.verdict is Verdict.REFUSE:
            self._refuse(stream, admission, now_s)
        return False

    def _refuse(self, stream, admission, now_s):
        """Refuse a call; its caller retries once if the wait is short."""
        wait_s = choose_retry_after(admission.wait_s, self._random)
        if stream.caller_retries == 0 and wait_s < CALLER_TIMEOUT_S / 3:
            stream.caller_retries += 1
            self._scheduled_retries.append((now_s + wait_s, stream))
        stream.refused_s = now_s

    def _list_views(self):
        """Return views of engines not known to be down; they may be slightly old."""
        now_s = self._clock.monotonic()
        if now_s - self._views_taken_s >= self._pattern.max_view_age_s:
            self._views_taken_s = now_s
            self._views = {
                item.name: item.make_view(now_s, self._policy.uses_pace)
                for item in self._engines
            }
        return [
            self._views[item.name] for item in self._engines if not item.is_known_down
        ]

    def _choose_engine(self, stream):
        """Return the view of the engine chosen for a stream, or None."""
        views = self._list_views()
        if self._policy.excludes_outliers:
            views = exclude_outliers(views)
        first_engine = self._find_first_engine(stream)
        if first_engine is not None and self._policy.prefers_first_engine:
            views = mark_cached_prompt(views, first_engine, stream.prompt)
        return self._placement.choose(views, stream.prompt)

    def _find_first_engine(self, stream):
        """Return the name of the engine that began a stream, or None."""
        number = stream.arrival.first_engine
        return None if number is None else self._engines[number].name

    def _start_run(self, stream, now_s):
        """Send a call to an engine, which prefills the prompt and the output so far."""
        view = self._choose_engine(stream)
        if view is None:
            # No engine is available; try again after 0.2 s.
            stream.retry_at_s = now_s + 0.2
            self._awaiting_recovery.append(stream)
            return
        stream.refused_s = None
        pending_prefill_tokens = stream.prompt.tokens + stream.generated_tokens
        if view.name == self._find_first_engine(stream):
            pending_prefill_tokens = CACHE_LAG_TOKENS
        self._run_on_engine(stream, view.name, pending_prefill_tokens)

    def _run_on_engine(self, stream, engine_name, pending_prefill_tokens):
        """Send a call to an engine; the call may fail at once."""
        engine = next(item for item in self._engines if item.name == engine_name)
        stream.engine = engine
        stream.sends += 1
        now_s = self._clock.monotonic()
        has_failed = self._random.random() < engine.failure_probability
        engine.health.record_call(has_failed, now_s)
        if has_failed:
            stream.failures += 1
            stream.last_outcome = StreamOutcome.FAILED
            stream.retry_at_s = now_s + FAILURE_RESPONSE_S
            self._awaiting_recovery.append(stream)
            return
        engine.runs.append(
            SimulatedRun(stream, pending_prefill_tokens, stream.generated_tokens)
        )
        # The simulated hosts share one set of views. Only the host that placed the run
        # sees it at once, hence an update with the probability of one host.
        if self._random.random() < 1 / self._pattern.hosts:
            self._views[engine_name] = engine.make_view(now_s, self._policy.uses_pace)
        self._place_backup(stream, engine)

    def _place_backup(self, stream, engine):
        """Choose another engine for the KV copy of a stream, if one has room."""
        stream.backup = None
        if not self._policy.uses_kv_copies:
            return
        views = [item for item in self._list_views() if item.name != engine.name]
        view = choose_backup_engine(views, engine.zone, stream.prompt.memory_tokens)
        if view is not None:
            backup = next(item for item in self._engines if item.name == view.name)
            backup.kv_copies[stream] = stream.prompt.memory_tokens
            stream.backup = backup

    def _recover_streams(self, now_s):
        """Resume, retry or end the streams whose next attempt is due."""
        due = [item for item in self._awaiting_recovery if item.retry_at_s <= now_s]
        self._awaiting_recovery = [
            item for item in self._awaiting_recovery if item.retry_at_s > now_s
        ]
        for stream in due:
            backup = stream.backup
            has_copy = (
                backup is not None and backup.is_up and stream in backup.kv_copies
            )
            choice = choose_recovery_step(
                StreamView(
                    outcome=stream.last_outcome,
                    has_copy=has_copy and stream.first_event_s is not None,
                    may_retry=True,
                    sends=stream.sends,
                    losses=stream.losses,
                    failures=stream.failures,
                    max_attempts=MAX_ATTEMPTS,
                    is_blocked=False,
                )
            )
            if choice.step is RecoveryStep.RESUME_FROM_COPY:
                del backup.kv_copies[stream]
                self._run_on_engine(stream, backup.name, COPY_LAG_TOKENS)
            elif choice.step is RecoveryStep.RETRY_ON_OTHER_ENGINE:
                self._start_run(stream, now_s)

    def _record_tokens(self, engine, run, now_s):
        """Relay complete events of a run; end a run that generated all its tokens."""
        stream = run.stream
        events = int(run.generated_tokens / TOKENS_PER_EVENT)
        if events > int(stream.generated_tokens / TOKENS_PER_EVENT):
            if stream.last_event_s is not None:
                pause_s = now_s - stream.last_event_s
                stream.longest_pause_s = max(stream.longest_pause_s, pause_s)
            stream.first_event_s = (
                now_s if stream.first_event_s is None else stream.first_event_s
            )
            stream.last_event_s = now_s
            stream.generated_tokens = run.generated_tokens
        if run.generated_tokens >= stream.prompt.output_tokens:
            stream.is_done = True
            engine.runs.remove(run)
            if stream.backup is not None:
                stream.backup.kv_copies.pop(stream, None)


def replay(pattern_name, policy, seeds):
    """Simulate a pattern under a policy with several seeds.

    Returns
    -------
    list of ReplayResult
    """
    return [Simulation(pattern_name, policy, seed).run() for seed in seeds]
