"""Steps on decisions that neither read nor write."""

from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from behave import given, then, when
from click.testing import CliRunner

from sapphirerock.decisions.admission import AdmissionView, admit
from sapphirerock.decisions.continuation import (
    StreamOutcome,
    StreamView,
    choose_recovery_step,
)
from sapphirerock.decisions.health import FailureShare, exclude_outliers
from sapphirerock.decisions.hostshutdown import ShutdownView, StreamDurations
from sapphirerock.decisions.placement import EngineView
from sapphirerock.decisions.poisonrequests import (
    Crash,
    can_be_caused_by,
    choose_isolated_engine,
)
from sapphirerock.decisions.retryafter import choose_retry_after
from sapphirerock.decisions.retrybudget import RetryBudget, RetryLimits
from sapphirerock.load.cli import main as load_command
from sapphirerock.load.replay.policies import POLICIES
from sapphirerock.load.replay.simulation import replay
from sapphirerock.process.clock import ManualClock
from sapphirerock.version.routing import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingVersion,
    ServiceShare,
)

SEEDS = range(6)
CASES = {}


def register_case(text):
    """Register fields that a table names in words."""

    def register(fields):
        CASES[text] = fields

    return register


def mean(values):
    values = list(values)
    return sum(values) / len(values)


@when("the load pattern {pattern} is replayed with {policy} and with {baseline}")
def replay_both(context, pattern, policy, baseline):
    context.results = replay(pattern, POLICIES[policy], SEEDS)
    context.baseline = replay(pattern, POLICIES[baseline], SEEDS)


@when("the load pattern {pattern} is replayed twice with {policy}")
def replay_twice(context, pattern, policy):
    context.results = replay(pattern, POLICIES[policy], SEEDS)
    context.baseline = replay(pattern, POLICIES[policy], SEEDS)


@when("the load pattern {pattern} is replayed once with {policy}")
def replay_once(context, pattern, policy):
    context.results = replay(pattern, POLICIES[policy], SEEDS)


@then("{policy} serves at least {gain:f} more of the calls in time")
def check_goodput(context, policy, gain):
    found = mean(result.in_time_share for result in context.results)
    before = mean(result.in_time_share for result in context.baseline)
    assert found >= before + gain, (found, before)


@then("{policy} reads at most {part:f} of the tokens in vain that {baseline} does")
def check_waste(context, policy, part, baseline):
    found = mean(result.wasted_tokens for result in context.results)
    before = mean(result.wasted_tokens for result in context.baseline)
    assert found <= part * before, (found, before)


@then("at least {part:f} of the calls of {organisation} are served")
def check_fair(context, part, organisation):
    found = mean(
        result.compute_served_share(organisation) for result in context.results
    )
    assert found >= part, found


@then("calls of {size:d} tokens and more are served {part:f} times as often as all")
def check_sizes(context, size, part):
    streams = [item for result in context.results for item in result.streams]
    large = [item.is_done for item in streams if item.prompt.tokens >= size]
    assert mean(large) >= part * mean(item.is_done for item in streams), mean(large)


@when("the replay command compares policies under {pattern} and draws a plot")
def run_replay_command(context, pattern):
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.plot = Path(folder.name) / "replay.svg"
    arguments = [pattern, "--seeds", "2", "--plot", str(context.plot)]
    for policy in ("least-prompt-tokens", "no copies"):
        arguments += ["--policy", policy]
    context.shown = CliRunner().invoke(load_command, ["replay", *arguments])


@then("it prints a row for each policy, and the plot shows both")
def check_replay_command(context):
    assert context.shown.exit_code == 0, context.shown.output
    rows = context.shown.output.strip().splitlines()
    assert [row.split(" | ")[1] for row in rows[2:]] == [
        "least-prompt-tokens",
        "no copies",
    ], rows
    drawn = context.plot.read_text()
    assert "<svg" in drawn and "no copies" in drawn


@when("the replay command is run with {argument}")
def run_replay_badly(context, argument):
    context.shown = CliRunner().invoke(load_command, ["replay", *argument.split()])


@then('it fails and says "{text}"')
def check_replay_error(context, text):
    assert context.shown.exit_code != 0
    assert text in context.shown.output, context.shown.output


@then("both replays are the same")
def check_same(context):
    def describe(results):
        return [
            [(item.first_event_s, item.is_done, item.sends) for item in result.streams]
            for result in results
        ]

    assert describe(context.results) == describe(context.baseline)


STREAM = {
    "has_copy": False,
    "may_retry": True,
    "sends": 1,
    "losses": 1,
    "failures": 0,
    "max_attempts": 5,
    "is_blocked": False,
}
register_case("with a copy")({"has_copy": True})
register_case("without a copy")({})
register_case("of a call that may run once only")({"may_retry": False})
register_case("after as many failures as are allowed")({"failures": 5})
register_case("after six losses")({"losses": 6})
register_case("after ten sends")({"sends": 10})
register_case("of a call that crashes engines")({"is_blocked": True})


@given("a stream whose attempt ended as {ending}, {case}")
def make_stream(context, ending, case):
    view = StreamView(outcome=StreamOutcome(ending), **{**STREAM, **CASES[case]})
    context.choice = choose_recovery_step(view)


@then("the next step is to {step}")
def check_step(context, step):
    assert context.choice.step.value == step, context.choice


CRASH = Crash("e1", "zone-a", 10.0, {b"call"})
register_case("and nothing else")([])
register_case("and one of the same zone 0.2 s before")(
    [("other", "zone-a", 9.8, set())]
)
register_case("and one of the same zone 0.2 s after")(
    [("other", "zone-a", 10.2, set())]
)
register_case("and one of the same zone 2 s before")([("other", "zone-a", 8.0, set())])
register_case("and one of another zone at the same time")(
    [("other", "zone-b", 10.0, set())]
)
register_case("and one of the same zone 0.2 s before under the same call")(
    [("other", "zone-a", 9.8, {b"call"})]
)
register_case("and one that two hosts saw, under the same call on one of them")(
    [("other", "zone-a", 10.1, {b"call"}), ("other", "zone-a", 10.1, {b"another"})]
)


@given("a crash of an engine under a call, {case}")
def make_crash(context, case):
    others = [Crash(*fields) for fields in CASES[case]]
    context.counts = can_be_caused_by(CRASH, b"call", [CRASH, *others])


@then("it is evidence")
def check_evidence(context):
    assert context.counts


@then("it is no evidence")
def check_no_evidence(context):
    assert not context.counts


GENERATION = {
    "needed_tokens": 9000,
    "free_tokens": 30_000,
    "capacity_tokens": 88_000,
    "queued_ahead_tokens": 0,
    "freed_tokens_per_s": 5000.0,
    "remaining_s": 20.0,
    "run_s": 6.0,
    "waited_s": 0.0,
    "max_outage_wait_s": 1.0,
}
register_case("with 30000 tokens free")({})
register_case("with 9000 tokens free")({"free_tokens": 9000})
register_case("with 2000 tokens free")({"free_tokens": 2000})
register_case("with 30000 tokens free and others before it")(
    {"queued_ahead_tokens": 60_000}
)
register_case("with 2000 tokens free and 5 seconds left")(
    {"free_tokens": 2000, "remaining_s": 5.0}
)
register_case("larger than any engine")({"needed_tokens": 100_000})
register_case("without any engine")({"free_tokens": None})
register_case("without any engine for longer than it may wait")(
    {"free_tokens": None, "waited_s": 1.5}
)


@given("a generation of {size:d} tokens, {case}")
def make_generation(context, size, case):
    context.admission = admit(AdmissionView(**{**GENERATION, **CASES[case]}))


@then("it is to {verdict:w}")
def check_verdict(context, verdict):
    assert context.admission.verdict.value == verdict, context.admission


@given(
    "a service whose calls may be repeated {ratio:f} times and {slack:d} more "
    "in {window:d} s"
)
def make_terms(context, ratio, slack, window):
    context.terms = RetryLimits(ratio, slack, window)


@when("{calls:d} calls come to one of {hosts:d} hosts in 10 s")
def count_calls(context, calls, hosts):
    clock = ManualClock(100.0)
    context.budget = RetryBudget(context.terms, lambda: hosts, clock)
    for _ in range(calls):
        context.budget.add_call("s")
        clock.advance(10.0 / (calls + 1))


@then("it repeats {repeats:d} of them at most, and {continued:d} more continue runs")
def check_repeats(context, repeats, continued):
    taken = 0
    while context.budget.try_spend("s"):
        taken += 1
    assert taken == repeats, taken
    more = 0
    while context.budget.try_spend("s", is_resumption=True):
        more += 1
    assert more == continued, more


@then("{hosts:d} hosts with {calls:d} calls each never repeat more than it allows")
def check_all_hosts(context, hosts, calls):
    terms, random = context.terms, Random(1)
    clock = ManualClock(100.0)
    budgets = [RetryBudget(terms, lambda: hosts, clock) for _ in range(hosts)]
    called, repeated = [], []
    for _ in range(hosts * calls * 3):
        budget = random.choice(budgets)
        budget.add_call("s")
        called.append(clock.monotonic())
        for _ in range(3):
            if budget.try_spend("s", is_resumption=random.random() < 0.5):
                repeated.append(clock.monotonic())
        clock.advance(10.0 / (hosts * calls))
    for end_s in repeated:
        since_s = end_s - terms.window_s
        calls_there = sum(since_s < at_s <= end_s for at_s in called)
        repeats_there = sum(since_s < at_s <= end_s for at_s in repeated)
        assert repeats_there <= terms.ratio * calls_there + terms.slack


@when("{count:d} callers are told to come back in about {wait:d} s")
def refuse_many(context, count, wait):
    random = Random(1)
    context.times = [choose_retry_after(float(wait), random) for _ in range(count)]


@then(
    "their times are spread over at least {spread:f} s, and none is below {least:d} s"
)
def check_spread(context, spread, least):
    assert max(context.times) - min(context.times) >= spread, context.times
    assert min(context.times) >= least


@given("a host that cuts calls off {allowed:f} s after it is told to stop")
def make_leaving(context, allowed):
    context.allowed_s = allowed


@then(
    "after {elapsed:f} s it takes a stream of {stream_s:d} s {stream:w}, "
    "a call of {call_s:f} s {call:w}"
)
def check_leaving(context, elapsed, stream_s, stream, call_s, call):
    view = ShutdownView(elapsed, context.allowed_s)
    assert view.can_finish(stream_s) == (stream == "yes")
    assert view.can_finish(call_s) == (call == "yes")


@given("routes of a host to / and /a/ and /a/b/ and of another to /a/")
def make_routes(context):
    shares = (ServiceShare("s", 1.0),)
    routes = tuple(
        Route(f"{host}{prefix}", host, prefix, RouteKind.IDEMPOTENT, shares)
        for host, prefix in (
            ("h.example", "/"),
            ("h.example", "/a/"),
            ("h.example", "/a/b/"),
            ("other.example", "/a/"),
        )
    )
    context.version = RoutingVersion(1, 1, routes, {}, CallerLimits(), {}, False)


@then("the path {path} of that host takes the route {prefix}")
def check_prefix(context, path, prefix):
    found = context.version.find_route("H.example", path)
    assert found.name == f"h.example{prefix}", found
    assert context.version.find_route("nobody.example", path) is None


def make_engine_views(count, generator, **fields):
    """Return views of some engines, with loads as one host sees them."""
    return [
        EngineView(
            name=f"engine-{number}",
            availability_zone="zone",
            slots=64,
            prompt_tokens=generator.randrange(9000),
            runs=generator.randrange(9),
            memory_tokens=0,
            copy_tokens=0,
            capacity_tokens=88_000,
            **fields,
        )
        for number in range(count)
    ]


@given("{suspects:d} calls that lost the same two engines, and {engines:d} others")
def make_suspects(context, suspects, engines):
    context.suspects = [f"call-{number}".encode() for number in range(suspects)]
    context.engine_count = engines


@when("{hosts:d} hosts choose for each of them, with their own views of the load")
def choose_for_suspects(context, hosts):
    context.views = [
        make_engine_views(context.engine_count, Random(seed)) for seed in range(hosts)
    ]
    context.chosen = [
        [
            choose_isolated_engine(views, call, context.suspects)
            for call in context.suspects
        ]
        for views in context.views
    ]


@then("no two calls share an engine, and all hosts choose alike")
def check_apart(context):
    names = [[view.name for view in chosen] for chosen in context.chosen]
    assert all(len(set(chosen)) == len(chosen) for chosen in names), names
    assert all(chosen == names[0] for chosen in names), names


@then("the engine has the fewest runs")
def check_fewest_runs(context):
    ((chosen,),) = context.chosen
    assert chosen.runs == min(view.runs for view in context.views[0])


@given("engines whose latest calls failed like this: {failures}")
def make_failing_engines(context, failures):
    now_s = 100.0
    context.views = []
    for number, text in enumerate(failures.split(), 1):
        counts, _, age_s = text.partition("@")
        failed, calls = map(int, counts.split("/"))
        health = FailureShare()
        for call in range(calls):
            health.record_call(call < failed, now_s - float(age_s or 0))
        (view,) = make_engine_views(1, Random(1), failure_share=health.measure(now_s))
        context.views.append((str(number), view))


@then("these are left out: {left_out}")
def check_left_out(context, left_out):
    kept = exclude_outliers([view for _, view in context.views])
    found = [
        number
        for number, view in context.views
        if not any(view is other for other in kept)
    ]
    assert found == (left_out.split() if left_out != "none" else []), found


@when("streams end after {lengths} seconds, {times:d} times over")
def end_streams(context, lengths, times):
    context.length = StreamDurations()
    for _ in range(times):
        for seconds in lengths.split():
            context.length.record_stream(float(seconds))


@then("a long stream takes {least:g} to {most:g} seconds")
def check_long_stream(context, least, most):
    assert least <= context.length.long_s <= most, context.length.long_s
