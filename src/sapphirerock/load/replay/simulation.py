"""Plays a load pattern against the decisions."""

from dataclasses import dataclass, field
from random import Random

from sapphirerock.decisions.admission import AdmissionView, Verdict, admit
from sapphirerock.decisions.continuation import Ending, Step, StreamView, choose_step
from sapphirerock.decisions.fairqueue import FairQueue, Ticket
from sapphirerock.decisions.health import leave_out_failing
from sapphirerock.decisions.placement import PLACEMENTS, choose_backup
from sapphirerock.decisions.refusal import choose_retry_after
from sapphirerock.load.replay.engines import (
    EngineModel,
    SimulatedEngine,
    SimulatedRun,
)
from sapphirerock.load.replay.patterns import PATTERNS, ZONES
from sapphirerock.process.clock import ManualClock
from sapphirerock.request.call import Prompt

STEP_S = 0.02
END_S = 60.0
# How old what hosts know of each other's load is, at most.
VIEW_AGE_S = 0.1
# From an engine's loss to the next attempt: a reset is seen at once, silence late.
CRASH_SEEN_S = 0.05
# From a call's start to an answer that says that it failed.
FAILURE_SEEN_S = 0.1
# Engines that a call may fail on.
MAX_ATTEMPTS = 3
SILENCE_SEEN_S = 0.45
# Tokens of a copy that had not arrived, and are read again.
COPY_LAG_TOKENS = 60.0
TARGET_S = 4.5
PAUSE_TARGET_S = 0.7
PATIENCE_S = 25.0
EVENT_TOKENS = 5
RUN_S = 6.0
# From a start to the first event, with some prompts before it.
START_S = 2.0
HOSTS = 8


@dataclass(slots=True, frozen=True)
class ReplayPolicy:
    """What is compared.

    Parameters
    ----------
    placement : str
        Name of a placement policy.
    has_copies : bool
        Whether runs are copied to a second engine.
    has_admission : bool
        Whether calls wait for room or are turned away.
    has_health : bool
        Whether engines that fail more than their fellows are left out.
    """

    placement: str = "least-prompt-tokens"
    has_copies: bool = True
    has_admission: bool = True
    has_health: bool = True

    def __str__(self):
        parts = [self.placement]
        parts += [] if self.has_copies else ["no copies"]
        parts += [] if self.has_admission else ["no admission"]
        parts += [] if self.has_health else ["no health"]
        return ", ".join(parts)


@dataclass(slots=True, eq=False)
class SimulatedStream:
    """One call and what came of it.

    Parameters
    ----------
    arrival : Arrival
        When it came and what it asked for.
    prompt : Prompt
        Its sizes.
    """

    arrival: object
    prompt: Prompt
    engine: object = None
    backup: object = None
    resume_at_s: float | None = None
    first_s: float | None = None
    last_s: float | None = None
    longest_pause_s: float = 0.0
    wasted_tokens: float = 0.0
    losses: int = 0
    failures: int = 0
    ending: Ending = Ending.LOST
    sends: int = 0
    refused_s: float | None = None
    returns: int = 0
    is_done: bool = False
    ticket: object = None
    made_tokens: float = 0.0

    @property
    def is_in_aim(self):
        """Whether it was served within the targets."""
        if not self.is_done or self.first_s is None:
            return False
        waited_s = self.first_s - self.arrival.at_s
        return waited_s <= TARGET_S and self.longest_pause_s <= PAUSE_TARGET_S


@dataclass(slots=True)
class ReplayResult:
    """What came of a pattern under a policy."""

    pattern: str
    policy: ReplayPolicy
    streams: list
    preempted: int
    timeline: list = field(default_factory=list)

    @property
    def goodput(self):
        """Part of the calls that were served within the targets."""
        return sum(stream.is_in_aim for stream in self.streams) / len(self.streams)

    def count_done(self, organisation=None):
        """Return the part of an organisation's calls that were served at all."""
        found = [
            stream.is_done
            for stream in self.streams
            if organisation in (None, stream.arrival.organisation)
        ]
        return sum(found) / max(1, len(found))

    @property
    def refused(self):
        """Part of the calls that were turned away for good."""
        return sum(stream.refused_s is not None for stream in self.streams) / len(
            self.streams
        )

    def find_wait(self, share):
        """Return the wait for the first event that a share of calls stays below."""
        waits = sorted(
            stream.first_s - stream.arrival.at_s
            for stream in self.streams
            if stream.first_s is not None
        )
        return waits[min(len(waits) - 1, int(share * len(waits)))] if waits else 0.0

    @property
    def wasted_tokens(self):
        """Tokens of prompts that were read in vain."""
        return sum(stream.wasted_tokens for stream in self.streams)


class Simulation:
    """One pattern, one policy, one seed.

    Parameters
    ----------
    name : str
        Name of the pattern.
    policy : ReplayPolicy
        What decides.
    seed : int
        Seed of the pattern and of all choices.
    """

    def __init__(self, name, policy, seed):
        self._random = Random(seed)
        self._name = name
        self._policy = policy
        self._clock = ManualClock()
        pattern = PATTERNS[name](self._random)
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
            )
            for arrival in pattern.arrivals
        ]
        self._coming = list(self._streams)
        self._returning = []
        self._moving = []
        self._queue = FairQueue()
        self._waiting = {}
        self._troubles = [(item, self._pick(item)) for item in pattern.troubles]
        self._views = {}
        self._views_s = -1.0

    def _pick(self, trouble):
        """Return the engines that a trouble meets."""
        near = [item for item in self._engines if trouble.zone in ("", item.zone)]
        count = max(1, round(trouble.share * len(near)))
        return self._random.sample(near, count)

    def run(self):
        """Play to the end.

        Returns
        -------
        ReplayResult
        """
        timeline = []
        while self._clock.monotonic() < END_S:
            now_s = self._clock.monotonic()
            self._apply_troubles(now_s)
            self._take_arrivals(now_s)
            self._move_lost(now_s)
            self._pump(now_s)
            for engine in self._engines:
                for run in engine.advance(STEP_S):
                    self._note_tokens(engine, run, now_s)
            self._clock.advance(STEP_S)
            running = sum(len(engine.runs) for engine in self._engines)
            timeline.append((now_s, running, len(self._queue)))
        preempted = sum(engine.preempted for engine in self._engines)
        return ReplayResult(
            self._name, self._policy, self._streams, preempted, timeline
        )

    def _apply_troubles(self, now_s):
        for trouble, engines in self._troubles:
            starts = trouble.at_s <= now_s < trouble.at_s + STEP_S
            ends = now_s >= trouble.at_s + trouble.for_s
            for engine in engines:
                if trouble.failing_share and (starts or ends):
                    engine.failing_share = 0.0 if ends else trouble.failing_share
                elif trouble.failing_share:
                    continue
                elif trouble.slowness > 1.0:
                    engine.slowness = 1.0 if ends else engine.slowness
                    engine.slowness = trouble.slowness if starts else engine.slowness
                elif starts:
                    self._lose(engine, trouble, now_s)
                elif ends and now_s < trouble.at_s + trouble.for_s + STEP_S:
                    engine.is_up, engine.is_known_down = True, False

    def _lose(self, engine, trouble, now_s):
        """Lose an engine with all its runs and copies."""
        engine.is_up = False
        # Peers tell each other of an engine that one of them found dead.
        engine.is_known_down = True
        seen_s = SILENCE_SEEN_S if trouble.is_silent else CRASH_SEEN_S
        for run in engine.runs:
            stream = run.stream
            stream.made_tokens = run.made_tokens
            stream.losses += 1
            stream.ending = Ending.LOST
            stream.resume_at_s = now_s + seen_s
            if stream.backup is None or stream not in stream.backup.copies:
                stream.wasted_tokens += run.memory_tokens
            self._moving.append(stream)
        engine.runs.clear()
        engine.copies.clear()

    def _take_arrivals(self, now_s):
        while self._coming and self._coming[0].arrival.at_s <= now_s:
            self._offer(self._coming.pop(0), now_s)
        due = [stream for at_s, stream in self._returning if at_s <= now_s]
        self._returning = [item for item in self._returning if item[0] > now_s]
        for stream in due:
            self._offer(stream, now_s)

    def _offer(self, stream, now_s):
        """Let a call ask for a start."""
        if not self._policy.has_admission:
            self._start(stream, now_s)
            return
        if not len(self._queue) and self._decide(stream, 0, now_s):
            return
        if stream.refused_s is not None:
            return
        ticket = Ticket(
            stream.arrival.organisation,
            1,
            0,
            stream.prompt.memory_tokens,
            stream.arrival.at_s + PATIENCE_S,
            None,
            stream.arrival.at_s + TARGET_S - START_S,
        )
        self._queue.push(ticket)
        self._waiting[ticket] = stream

    def _pump(self, now_s):
        ahead = 0
        for ticket in self._queue.list_waiting(now_s):
            stream = self._waiting[ticket]
            settled = self._decide(stream, ahead, now_s)
            ahead += stream.prompt.memory_tokens
            if settled or stream.refused_s is not None:
                self._queue.pop_ticket(ticket)
                del self._waiting[ticket]
            if settled:
                return

    def _decide(self, stream, ahead_tokens, now_s):
        """Start a call or turn it away; return whether it started."""
        view = self._choose(stream)
        used = sum(item.memory_tokens for item in self._list_views())
        admission = admit(
            AdmissionView(
                needed_tokens=stream.prompt.memory_tokens,
                free_tokens=view.free_tokens if view else None,
                capacity_tokens=EngineModel().capacity_tokens,
                ahead_tokens=ahead_tokens,
                freed_tokens_per_s=used / RUN_S,
                time_left_s=stream.arrival.at_s + PATIENCE_S - now_s,
                run_s=RUN_S,
                waited_s=now_s - stream.arrival.at_s,
                outage_hold_s=1.0,
            )
        )
        if admission.verdict is Verdict.START:
            self._start(stream, now_s)
            return True
        if admission.verdict is Verdict.REFUSE:
            self._refuse(stream, admission, now_s)
        return False

    def _refuse(self, stream, admission, now_s):
        """Turn a call away; its caller comes back once."""
        wait_s = choose_retry_after(admission.wait_s, self._random)
        if stream.returns == 0 and wait_s < PATIENCE_S / 3:
            stream.returns += 1
            self._returning.append((now_s + wait_s, stream))
        stream.refused_s = now_s

    def _list_views(self):
        """Return what hosts know of the engines, a moment old."""
        now_s = self._clock.monotonic()
        if now_s - self._views_s >= VIEW_AGE_S:
            self._views_s = now_s
            self._views = {item.name: item.make_view(now_s) for item in self._engines}
        return [
            self._views[item.name] for item in self._engines if not item.is_known_down
        ]

    def _choose(self, stream):
        views = self._list_views()
        if self._policy.has_health:
            views = leave_out_failing(views)
        return self._placement.choose(views, stream.prompt)

    def _start(self, stream, now_s):
        """Send a call to an engine that reads its prompt."""
        view = self._choose(stream)
        if view is None:
            stream.resume_at_s = now_s + 0.2
            self._moving.append(stream)
            return
        stream.refused_s = None
        unread = stream.prompt.tokens + stream.made_tokens
        self._run_at(stream, view.name, unread)

    def _run_at(self, stream, name, unread_tokens):
        engine = next(item for item in self._engines if item.name == name)
        stream.engine = engine
        stream.sends += 1
        now_s = self._clock.monotonic()
        has_failed = self._random.random() < engine.failing_share
        engine.health.note(has_failed, now_s)
        if has_failed:
            stream.failures += 1
            stream.ending = Ending.FAILED
            stream.resume_at_s = now_s + FAILURE_SEEN_S
            self._moving.append(stream)
            return
        engine.runs.append(SimulatedRun(stream, unread_tokens, stream.made_tokens))
        # One of several hosts: it knows at once what it did itself.
        if self._random.random() < 1 / HOSTS:
            self._views[name] = engine.make_view(now_s)
        self._back_up(stream, engine)

    def _back_up(self, stream, engine):
        stream.backup = None
        if not self._policy.has_copies:
            return
        views = [item for item in self._list_views() if item.name != engine.name]
        view = choose_backup(views, engine.zone, stream.prompt.memory_tokens)
        if view is not None:
            backup = next(item for item in self._engines if item.name == view.name)
            backup.copies[stream] = stream.prompt.memory_tokens
            stream.backup = backup

    def _move_lost(self, now_s):
        """Go on with streams whose engine was lost."""
        due = [item for item in self._moving if item.resume_at_s <= now_s]
        self._moving = [item for item in self._moving if item.resume_at_s > now_s]
        for stream in due:
            backup = stream.backup
            has_copy = backup is not None and backup.is_up and stream in backup.copies
            choice = choose_step(
                StreamView(
                    ending=stream.ending,
                    has_copy=has_copy and stream.first_s is not None,
                    may_repeat=True,
                    sends=stream.sends,
                    losses=stream.losses,
                    failures=stream.failures,
                    max_attempts=MAX_ATTEMPTS,
                    is_convicted=False,
                )
            )
            if choice.step is Step.CONTINUE_COPY:
                del backup.copies[stream]
                self._run_at(stream, backup.name, COPY_LAG_TOKENS)
            elif choice.step is Step.SEND_AGAIN:
                self._start(stream, now_s)

    def _note_tokens(self, engine, run, now_s):
        """Pass on whole events; end a run that is done."""
        stream = run.stream
        events = int(run.made_tokens / EVENT_TOKENS)
        if events > int(stream.made_tokens / EVENT_TOKENS):
            if stream.last_s is not None:
                pause_s = now_s - stream.last_s
                stream.longest_pause_s = max(stream.longest_pause_s, pause_s)
            stream.first_s = now_s if stream.first_s is None else stream.first_s
            stream.last_s = now_s
            stream.made_tokens = run.made_tokens
        if run.made_tokens >= stream.prompt.output_tokens:
            stream.is_done = True
            engine.runs.remove(run)
            if stream.backup is not None:
                stream.backup.copies.pop(stream, None)


def replay(name, policy, seeds):
    """Play a pattern under a policy with several seeds.

    Returns
    -------
    list of ReplayResult
    """
    return [Simulation(name, policy, seed).run() for seed in seeds]
