"""Steps on attempts that run beside one on a silent engine."""

import asyncio
import time
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when

from features.steps.edge_steps import start_cluster
from features.steps.enginecut_steps import send_one
from features.steps.poison_steps import HostUnderTest, make_call
from features.steps.silence_steps import EVENT_S, PLAIN_TIMEOUT_MS, STREAM_EVENTS
from sapphirerock.connection.eventsplitter import StreamEvent
from sapphirerock.connection.response import KvCopy
from sapphirerock.connection.responsememory import ResponseMemory
from sapphirerock.decisions.continuation import RecoveryStep, StreamOutcome
from sapphirerock.decisions.retrybudget import RetryBudget, RetryLimits
from sapphirerock.decisions.streamversions import StreamOrigin
from sapphirerock.process.engines.crashwatch import SILENT
from sapphirerock.process.engines.prober import ProbeOutcome, ProbeResult
from sapphirerock.request.backupkeeper import BackupKeeper
from sapphirerock.request.call import CallMetadata, Prompt
from sapphirerock.request.plaincall import AttemptResult, PlainCall, PlainCallOutcome
from sapphirerock.request.streamcall import StreamCall
from sapphirerock.request.upstreamattempt import UpstreamAttempt
from sapphirerock.version.routing import RouteKind

DEADLINE_S = 4.0
EVENTS = 20
SILENT_PROBE = ProbeResult(ProbeOutcome.NO_ANSWER, "silent")


class IdleAttempt:
    """Attempt on an engine that sends nothing by itself."""

    def __init__(self, state):
        self.state = state


class IdleResponder:
    """Stands for the connection of a caller.

    Parameters
    ----------
    has_begun : bool
        Whether the response has begun.
    """

    status = 0

    def __init__(self, has_begun):
        self.has_begun = has_begun
        self.answered_s = None
        self.problem = None

    async def begin_stream(self, status, headers):
        """Begin the response."""
        self.has_begun = True

    async def send(self, data):
        """Ignore the events."""

    async def send_upstream_response(self, response):
        """Record when the response arrives."""
        self.answered_s = time.monotonic()

    async def send_problem(self, problem):
        """Record the problem."""
        self.problem = problem

    def complete_stream(self):
        """End the response."""

    def abort(self):
        """Cut the response off."""


class EmptyFleet:
    """A fleet in which no engine can take a call."""

    def __init__(self, engines):
        self.engines = engines

    def place(self, call, excluded, isolate=None, version=None):
        """Return no placement."""

    def is_alive(self, state):
        """Return whether an engine may get new work."""
        return state is not None and self.engines.is_alive(state)

    def is_usable(self, state):
        """Return whether an engine may get new work."""
        return state is not None and self.engines.is_usable(state)

    def has_version(self, service, version, excluded):
        """Return whether an engine is left that is not excluded."""
        return any(state.name not in excluded for state in self.engines.list_all())

    def record_outcome(self, state, has_failed):
        """Ignore the outcome."""


def make_runtime(host, limits=None):
    """Return what calls use of a process."""
    limits = limits or RetryLimits(0.8, 150.0, 10.0)
    return SimpleNamespace(
        clock=host.clock,
        metrics=host.metrics,
        crash_watch=host.crash_watch,
        retry_budget=RetryBudget(limits, lambda: 1, host.clock),
        fleet=EmptyFleet(host.engines),
        response_memory=ResponseMemory(1 << 23),
        stream_durations=SimpleNamespace(record_stream=lambda elapsed_s: None),
        stream_origins=SimpleNamespace(record=lambda *origin: None),
        engine_paces=SimpleNamespace(record_stream=lambda *sample: None),
        rollouts=None,
        version_history=SimpleNamespace(knows_all=lambda: False),
    )


def make_routed_call(host, kind):
    route = SimpleNamespace(
        name="review", kind=kind, may_retry=True, max_attempts=3, target_latency_s=4.5
    )
    call = SimpleNamespace(**vars(make_call()))
    call.metadata = CallMetadata(call.metadata.attempt_id, None, None, None, Prompt())
    vars(call).update(
        route=route,
        service="model",
        revision=1,
        origin=None,
        priority=0,
        response_deadline_s=host.clock.monotonic() + DEADLINE_S,
        deadline_s=host.clock.monotonic() + DEADLINE_S,
    )
    return call


class ScriptedStream(StreamCall):
    """A stream whose first attempts follow a script.

    Attributes
    ----------
    script : list of callable
        Each takes the stream, and returns the outcome of an attempt.
    steps : list of tuple
        Time, step and KV copy of each attempt.
    """

    def __init__(self, runtime, call, responder, script):
        super().__init__(runtime, call, responder)
        self.script = script
        self.steps = []
        self._sends = 1

    async def _run_next_attempt(self, step, copy=None):
        self.steps.append((time.monotonic(), step, copy))
        if self.script:
            return await self.script.pop(0)(self)
        return await super()._run_next_attempt(step, copy)


def stay_silent(state, seconds, outcome, copy=None):
    """Return the script of an attempt on an engine that is silent and ends."""

    async def run(stream):
        attempt = UpstreamAttempt(
            stream._runtime,
            stream._call,
            state,
            on_silence=stream._race.report_silence,
        )
        keeper = SimpleNamespace(
            get_usable_copy=lambda: None, drop_copy=lambda copy: None
        )
        with attempt:
            stream._running[attempt] = keeper
            stream._runtime.crash_watch.mark_silent(state)
            await asyncio.sleep(seconds)
            del stream._running[attempt]
        stream._kv_copy = copy
        return outcome

    return run


async def wait_for_room(stream):
    """Wait longer than the test for a place on another engine."""
    await asyncio.sleep(DEADLINE_S)
    return StreamOutcome.NO_ENGINE


async def complete(stream):
    """End as a whole stream."""
    return StreamOutcome.COMPLETE


@given("a host with an attempt of a call on an engine that falls silent")
def start_silent_attempt(context):
    async def run():
        context.host = HostUnderTest()
        context.state = context.host.add_unresponsive_engine("e1")
        context.reports = []
        context.attempt = UpstreamAttempt(
            make_runtime(context.host),
            make_call(),
            context.state,
            on_silence=lambda: context.reports.append(time.monotonic()),
        )
        context.attempt.__enter__()

    context.run(run())


@when("the engine answers a probe, and falls silent again")
def answer_and_stop(context):
    async def run():
        context.host.crash_watch.mark_silent(context.state)
        assert context.attempt.is_silent
        context.state.record_received(context.host.clock.monotonic())
        context.is_silent_after_answer = context.attempt.is_silent
        context.host.crash_watch.mark_silent(context.state)
        await context.host.close()

    context.run(run())


@then(
    "the attempt counts as silent only while the engine is, and the call hears of it "
    "twice"
)
def check_reports(context):
    assert not context.is_silent_after_answer
    assert len(context.reports) == 2, len(context.reports)


@when("the engine sends data while peers are asked in vain")
def answer_while_asked(context):
    async def run():
        host = context.host

        async def confirm(entry, result):
            await asyncio.sleep(0.2)
            host.state_mark = host.engines.is_marked_silent(context.state)
            return result

        host.crash_watch._prober = SimpleNamespace(confirm=confirm)
        applied = asyncio.ensure_future(
            host.crash_watch.apply_failed_probe(context.state, SILENT_PROBE)
        )
        await asyncio.sleep(0.1)
        context.state.record_received(host.clock.monotonic())
        await applied
        assert not host.state_mark
        await host.close()

    context.run(run())


@then("it is not marked silent, and peers hear of no silence")
def check_unmarked(context):
    host = context.host
    assert not host.engines.is_marked_silent(context.state)
    assert not [item for item in host.gossip.sent if item.cause == SILENT]


@given("a stream on a silent engine, where there is no other one")
def start_lone_stream(context):
    async def run():
        host = context.host = HostUnderTest()
        state = host.add_unresponsive_engine("e1")
        # Three retries.
        runtime = make_runtime(host, RetryLimits(0.0, 3.5, 10.0))
        context.budget = runtime.retry_budget
        context.make_stream = lambda seconds: ScriptedStream(
            runtime,
            make_routed_call(host, RouteKind.STREAMING),
            IdleResponder(has_begun=False),
            [stay_silent(state, seconds, StreamOutcome.COMPLETE)],
        )

    context.run(run())


@when("its engine goes on after {seconds:g} s")
def run_lone_stream(context, seconds):
    async def run():
        await context.make_stream(seconds).run()
        await context.host.close()

    context.run(run())


@then("the retry budget is as it was before")
def check_budget(context):
    retries = sum(
        context.budget.try_spend("model", is_resumption=True) for _ in range(3)
    )
    assert retries == 3, f"{retries} of 3 retries left, none was sent"


@given("a stream on a silent engine, while it waits for room on another one")
def start_stream_beside_wait(context):
    context.limits = RetryLimits(0.8, 150.0, 10.0)
    context.script = [wait_for_room, complete]


@given("a stream on a silent engine, while it has no retry left for {seconds:g} s")
def start_stream_without_budget(context, seconds):
    # One retry in each window.
    context.limits = RetryLimits(0.0, 0.0, seconds)
    context.script = [complete]


@when("its engine is lost after {seconds:g} s, with a KV copy on another one")
def lose_engine(context, seconds):
    async def run():
        host = HostUnderTest()
        state, holder = host.add_unresponsive_engine("e1"), host.add_engine("e2")
        context.copy = KvCopy(holder.entry, state.entry)
        script = [
            stay_silent(state, seconds, StreamOutcome.LOST, context.copy),
            *context.script,
        ]
        runtime = make_runtime(host, context.limits)
        call = make_routed_call(host, RouteKind.STREAMING)
        stream = ScriptedStream(runtime, call, IdleResponder(has_begun=True), script)
        runtime.retry_budget.try_spend("model")
        context.lost_s = time.monotonic() + seconds
        try:
            async with asyncio.timeout(seconds + 1.5):
                await stream.run()
        except TimeoutError:
            pass
        context.steps = stream.steps
        await host.close()

    context.run(run())


@then("the stream goes on from the copy within {bound:g} s")
def check_resumption(context, bound):
    used = [
        at_s - context.lost_s
        for at_s, step, copy in context.steps
        if step is RecoveryStep.RESUME_FROM_COPY and copy is context.copy
    ]
    assert used and used[0] <= bound, [
        (round(at_s - context.lost_s, 2), step.value, copy is not None)
        for at_s, step, copy in context.steps
    ]


class LonelyStream(StreamCall):
    """A stream that finds no engine of its version."""

    async def _place_resumption(self, turns):
        return None


@given("a stream on a silent engine with a KV copy on an engine that does not answer")
def start_stream_with_copy(context):
    async def run():
        host = context.host = HostUnderTest()
        state = host.add_unresponsive_engine("e1")
        holder = host.add_unresponsive_engine("e2")
        call = make_routed_call(host, RouteKind.STREAMING)
        call.origin = StreamOrigin("model", holder.entry.version)
        runtime = make_runtime(host)
        stream = context.stream = LonelyStream(
            runtime, call, IdleResponder(has_begun=True)
        )
        attempt = UpstreamAttempt(
            runtime,
            call,
            state,
            backup=holder,
            on_silence=stream._race.report_silence,
        )
        attempt.__enter__()
        context.keeper = BackupKeeper(runtime, call, attempt)
        stream._running[attempt] = context.keeper
        host.crash_watch.mark_silent(state)

    context.run(run())


@when("it looks for another engine")
def look_for_engine(context):
    async def run():
        outcome = await context.stream._recover(StreamOutcome.SILENT)
        assert outcome is StreamOutcome.NO_ENGINE, outcome
        # The holder answers.
        context.host.engines.lift_down(context.host.engines.get("e2"))
        await context.host.close()

    context.run(run())


@then("the copy can still be used")
def check_copy_kept(context):
    assert context.keeper.get_usable_copy() is not None


class TakenUpStream(StreamCall):
    """A stream that is placed on an engine until it is excluded.

    Attributes
    ----------
    answers : list of ProbeResult
        What the engine replies when it is asked for its start.
    """

    state = None
    answers = ()

    async def _take_turn(self, turns, placement):
        if self.state.name in self._tried_engines:
            return None
        view = SimpleNamespace(cached_tokens=0)
        return SimpleNamespace(state=self.state, view=view)

    async def _probe_start(self, state):
        return self.answers.pop(0)


@given("a stream that is taken up while engines of two versions are registered")
def start_taken_up_stream(context):
    async def run():
        host = context.host = HostUnderTest()
        call = make_routed_call(host, RouteKind.STREAMING)
        call.origin = StreamOrigin("model", "")
        stream = TakenUpStream(make_runtime(host), call, IdleResponder(has_begun=False))
        stream.state = host.add_engine("e1")
        running = ProbeResult(ProbeOutcome.RUNNING, "answered", True, True)
        stream.answers = [SILENT_PROBE, running, running]
        context.stream = stream

    context.run(run())


@when("its engine answers the second question for its start")
def place_taken_up_stream(context):
    async def run():
        turns = SimpleNamespace(
            release=lambda: None,
            engines_without_turn=set(),
            engines_without_answer=set(),
        )
        context.placement = await context.stream._place_resumption(turns)
        await context.host.close()

    context.run(run())


@then("the stream is placed on its engine")
def check_placed(context):
    assert context.placement is not None


@given("a stream with attempts on two engines")
def start_two_attempts(context):
    async def run():
        host = context.host = HostUnderTest()
        call = make_routed_call(host, RouteKind.STREAMING)
        context.stream = StreamCall(
            make_runtime(host), call, IdleResponder(has_begun=True)
        )
        context.attempt = IdleAttempt(host.add_engine("e2"))

    context.run(run())


@when("one of them sends a comment and no event")
def send_comment(context):
    async def run():
        stream = context.stream
        stream._race.start(asyncio.sleep(DEADLINE_S))
        await stream._forward_events(
            context.attempt, [StreamEvent(None, b": queued\n\n")]
        )
        context.task_count = stream._race.task_count
        stream._race.cancel()
        await context.host.close()

    context.run(run())


@then("the other attempt goes on")
def check_other_goes_on(context):
    assert context.task_count == 1


@given("a stream that was outrun on a silent engine, and runs on another one")
def start_outrun_stream(context):
    async def run():
        host = context.host = HostUnderTest()
        call = make_routed_call(host, RouteKind.STREAMING)
        stream = context.stream = StreamCall(
            make_runtime(host), call, IdleResponder(has_begun=True)
        )
        host.crash_watch.mark_silent(host.add_engine("e1"))
        stream._outrun_engines.add("e1")
        attempt = UpstreamAttempt(stream._runtime, call, host.add_engine("e2"))
        stream._running[attempt] = None

    context.run(run())


@when("it chooses its next step")
def count_engines(context):
    context.engines = context.stream._count_other_engines()
    context.run(context.host.close())


@then("both engines count")
def check_engine_count(context):
    assert context.engines == 2, context.engines


class ScriptedPlainCall(PlainCall):
    """A plain call whose first attempt stays on a silent engine until the deadline."""

    state = None
    other = None
    attempts = 0

    async def _attempt(self):
        self.attempts += 1
        self._sends += 1
        if self.attempts > 1:
            response = SimpleNamespace(head=SimpleNamespace(status=200))
            return AttemptResult(PlainCallOutcome.ANSWERED, self.other, response)
        attempt = UpstreamAttempt(
            self._runtime, self._call, self.state, on_silence=self._race.report_silence
        )
        with attempt:
            self._running.add(attempt)
            self._runtime.crash_watch.mark_silent(self.state)
            await asyncio.sleep(DEADLINE_S)
            self._running.discard(attempt)
        return AttemptResult(PlainCallOutcome.DEADLINE_EXCEEDED, self.state)


@given(
    "a plain call on an engine that is silent for good, with no retry left for "
    "{seconds:g} s"
)
def start_plain_call(context, seconds):
    async def run():
        host = context.host = HostUnderTest()
        runtime = make_runtime(host, RetryLimits(0.0, 0.0, seconds))
        context.responder = IdleResponder(has_begun=False)
        call = make_routed_call(host, RouteKind.IDEMPOTENT)
        context.plain_call = ScriptedPlainCall(runtime, call, context.responder)
        context.plain_call.state = host.add_unresponsive_engine("e1")
        context.plain_call.other = host.add_engine("e2")
        runtime.retry_budget.try_spend("model")

    context.run(run())


@when("it is run")
def run_plain_call(context):
    async def run():
        context.started_s = time.monotonic()
        await context.plain_call.run()
        await context.host.close()

    context.run(run())


@then("another engine answers it within {bound:g} s")
def check_plain_answer(context, bound):
    responder = context.responder
    assert responder.answered_s is not None, responder.problem
    assert responder.answered_s - context.started_s <= bound


@when(
    "each edge gets a lookup while all engines stand still, and all but one go on "
    "after {seconds:g} s"
)
def send_lookups(context, seconds):
    async def run():
        cluster = context.world.cluster
        names = [name for name in cluster.urls if name.startswith("shop")]
        context.results, context.started_s = [], time.monotonic()
        for name in names:
            cluster.processes[name].pause()
        calls = [
            asyncio.ensure_future(
                send_one(
                    context, edge, number, "stock", STREAM_EVENTS, PLAIN_TIMEOUT_MS
                )
            )
            for number, edge in enumerate(cluster.edges.values(), 1)
        ]
        await asyncio.sleep(seconds)
        for name in names[1:]:
            cluster.processes[name].resume()
        await asyncio.gather(*calls)
        cluster.processes[names[0]].resume()

    context.run(run())


@then("each lookup is answered")
def check_lookups(context):
    results = [
        (item.edge, item.status, round(item.took_s, 2)) for item in context.results
    ]
    assert all(item.is_served for item in context.results), results


@given(
    "a shared platform with {edges:d} edges and {engines:d} engines of each service "
    "that read a prompt for {seconds:g} s"
)
def start_reading_cluster(context, edges, engines, seconds):
    async def run():
        await start_cluster(
            context, edges, engines, zones=3, slots=48, event=EVENT_S, prompt=seconds
        )
        await asyncio.sleep(1.0)

    context.run(run())


@when(
    "{count:d} streams are sent, and all engines stand still from {start_s:g} s on for "
    "{seconds:g} s"
)
def send_reading_streams(context, count, start_s, seconds):
    async def run():
        cluster = context.world.cluster
        edges = list(cluster.edges.values())
        names = [name for name in cluster.urls if name.startswith("model")]
        context.results, context.started_s = [], time.monotonic()
        streams = [
            asyncio.ensure_future(
                send_one(context, edges[number % len(edges)], number, "stream", EVENTS)
            )
            for number in range(1, count + 1)
        ]
        await asyncio.sleep(start_s)
        for name in names:
            cluster.processes[name].pause()
        await asyncio.sleep(seconds)
        for name in names:
            cluster.processes[name].resume()
        await asyncio.gather(*streams)
        runs = await cluster.list_runs()
        context.run_counts = Counter(
            run["attempt_id"] for items in runs.values() for run in items
        )

    context.run(run())


@then("every stream arrives whole, from one engine")
def check_single_runs(context):
    assert all(item.is_served for item in context.results)
    assert set(context.run_counts.values()) == {1}, Counter(context.run_counts.values())


@given("a stream on an engine that is silent for good, which one engine may run")
def start_single_attempt_stream(context):
    async def run():
        host = context.host = HostUnderTest()
        call = make_routed_call(host, RouteKind.STREAMING)
        call.route.max_attempts = 1
        context.stream = ScriptedStream(
            make_runtime(host),
            call,
            IdleResponder(has_begun=True),
            [
                stay_silent(
                    host.add_unresponsive_engine("e1"),
                    DEADLINE_S,
                    StreamOutcome.DEADLINE_EXCEEDED,
                ),
                complete,
            ],
        )

    context.run(run())


@when("the stream on the silent engine is run")
def run_single_attempt_stream(context):
    async def run():
        context.started_s = time.monotonic()
        await context.stream.run()
        await context.host.close()

    context.run(run())


@then("it goes on at another engine within {bound:g} s")
def check_second_attempt(context, bound):
    times_s = [at_s - context.started_s for at_s, _, _ in context.stream.steps]
    assert len(times_s) == 2 and times_s[1] <= bound, times_s
