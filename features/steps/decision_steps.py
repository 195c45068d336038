"""Steps on decisions, which are pure functions, and on replays of load."""

from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from behave import given, then, when
from click.testing import CliRunner

from sapphirerock.decisions.admission import AdmissionView, decide_admission
from sapphirerock.decisions.continuation import (
    StreamOutcome,
    StreamView,
    choose_recovery_step,
)
from sapphirerock.decisions.health import FailureShare, exclude_outliers
from sapphirerock.decisions.leaving import ShutdownView, StreamDurations
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
from sapphirerock.process.peers.hosts import HostTable
from sapphirerock.process.settings.hostsettings import HostAddress
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
    """Register the input values that the text of a case in a table stands for."""

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


@then("with {policy} the share of calls served in time is at least {gain:f} higher")
def check_in_time_share(context, policy, gain):
    found = mean(result.in_time_share for result in context.results)
    before = mean(result.in_time_share for result in context.baseline)
    assert found >= before + gain, (found, before)


@then(
    "with {policy} streams taken up go on at least {ratio:f} times as often as new "
    "ones begin"
)
def check_take_ups(context, policy, ratio):
    for result in context.results:
        taken_up = result.compute_begun_share(takes_up_stream=True)
        new = result.compute_begun_share(takes_up_stream=False)
        assert taken_up >= ratio * new, (taken_up, new)


@then("95 in 100 calls wait at most {bound:g} s for their first event")
def check_first_events(context, bound):
    waits_s = [result.compute_wait_quantile(0.95) for result in context.results]
    assert max(waits_s) <= bound, waits_s


@then("new streams begin at least as often as with {baseline}")
def check_new_streams(context, baseline):
    found = mean(result.compute_begun_share(False) for result in context.results)
    before = mean(result.compute_begun_share(False) for result in context.baseline)
    assert found >= before, (found, before)


@then("{policy} wastes at most {ratio:f} times as many prefilled tokens as {baseline}")
def check_wasted_tokens(context, policy, ratio, baseline):
    found = mean(result.wasted_tokens for result in context.results)
    before = mean(result.wasted_tokens for result in context.baseline)
    assert found <= ratio * before, (found, before)


@then("at least {share:f} of the calls of {organisation} are served")
def check_served_share(context, share, organisation):
    found = mean(
        result.compute_served_share(organisation) for result in context.results
    )
    assert found >= share, found


@then(
    "calls of {size:d} tokens or more are served at least {ratio:f} times as "
    "often as all calls"
)
def check_large_prompts(context, size, ratio):
    streams = [item for result in context.results for item in result.streams]
    large = [item.is_done for item in streams if item.prompt.tokens >= size]
    assert mean(large) >= ratio * mean(item.is_done for item in streams), mean(large)


@when("the replay command compares policies under {pattern} and draws a plot")
def run_replay_command(context, pattern):
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.plot = Path(folder.name) / "replay.svg"
    arguments = [pattern, "--seeds", "2", "--plot", str(context.plot)]
    for policy in ("least-prompt-tokens", "no copies"):
        arguments += ["--policy", policy]
    context.command_result = CliRunner().invoke(load_command, ["replay", *arguments])


@then("it prints a row for each policy, and the plot shows both")
def check_replay_command(context):
    assert context.command_result.exit_code == 0, context.command_result.output
    rows = context.command_result.output.strip().splitlines()
    assert [row.split(" | ")[1] for row in rows[2:]] == [
        "least-prompt-tokens",
        "no copies",
    ], rows
    plot_text = context.plot.read_text()
    assert "<svg" in plot_text and "no copies" in plot_text


@when("the replay command is run with {argument}")
def run_replay_with_invalid_argument(context, argument):
    context.command_result = CliRunner().invoke(
        load_command, ["replay", *argument.split()]
    )


@then('it fails and says "{text}"')
def check_replay_error(context, text):
    assert context.command_result.exit_code != 0
    assert text in context.command_result.output, context.command_result.output


@then("both replays are the same")
def check_same_replays(context):
    def list_stream_results(results):
        return [
            [(item.first_event_s, item.is_done, item.sends) for item in result.streams]
            for result in results
        ]

    assert list_stream_results(context.results) == list_stream_results(context.baseline)


STREAM_FIELDS = {
    "has_copy": False,
    "may_retry": True,
    "sends": 1,
    "losses": 1,
    "failures": 0,
    "max_attempts": 5,
    "is_blocked": False,
}
register_case("with a KV copy")({"has_copy": True})
register_case("without a KV copy")({})
register_case("of a call that must run at most once")({"may_retry": False})
register_case("after the maximum number of failures")({"failures": 5})
register_case("after six lost engines")({"losses": 6})
register_case("after ten attempts")({"sends": 10})
register_case("of a blocked call")({"is_blocked": True})
register_case("on as many engines as may run it")({"other_engines": 5})
register_case("on one engine less than may run it")({"other_engines": 4})
register_case("after two failures, on three engines")(
    {"failures": 2, "other_engines": 3}
)


@given("a stream whose attempt ended with the outcome {outcome}, {case}")
def make_stream(context, outcome, case):
    view = StreamView(
        outcome=StreamOutcome(outcome), **{**STREAM_FIELDS, **CASES[case]}
    )
    context.recovery = choose_recovery_step(view)


@then("the next step is to {step}")
def check_recovery_step(context, step):
    assert context.recovery.step.value == step, context.recovery


CRASH = Crash("e1", "zone-a", 10.0, {b"call"})
register_case("and no other crash")([])
register_case("and one in the same zone 0.2 s before")(
    [("other", "zone-a", 9.8, set())]
)
register_case("and one in the same zone 0.2 s after")(
    [("other", "zone-a", 10.2, set())]
)
register_case("and one in the same zone 2 s before")([("other", "zone-a", 8.0, set())])
register_case("and one in another zone at the same time")(
    [("other", "zone-b", 10.0, set())]
)
register_case("and one in the same zone 0.2 s before, running the same call")(
    [("other", "zone-a", 9.8, {b"call"})]
)
register_case("and one that two hosts observed, one of them with the same call")(
    [("other", "zone-a", 10.1, {b"call"}), ("other", "zone-a", 10.1, {b"another"})]
)


@given("a crash of an engine that runs a call, {case}")
def make_crash(context, case):
    others = [Crash(*fields) for fields in CASES[case]]
    context.is_evidence = can_be_caused_by(CRASH, b"call", [CRASH, *others])


@then("the crash is evidence")
def check_evidence(context):
    assert context.is_evidence


@then("the crash is not evidence")
def check_no_evidence(context):
    assert not context.is_evidence


GENERATION_FIELDS = {
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
register_case("with 30000 tokens free and others queued ahead")(
    {"queued_ahead_tokens": 60_000}
)
register_case("with 2000 tokens free and 5 seconds left")(
    {"free_tokens": 2000, "remaining_s": 5.0}
)
register_case("larger than any engine")({"needed_tokens": 100_000})
register_case("without any engine")({"free_tokens": None})
register_case("without any engine for longer than the maximum wait")(
    {"free_tokens": None, "waited_s": 1.5}
)


@given("a generation of {size:d} tokens, {case}")
def make_generation(context, size, case):
    context.admission = decide_admission(
        AdmissionView(**{**GENERATION_FIELDS, **CASES[case]})
    )


@then("the admission verdict is {verdict:w}")
def check_verdict(context, verdict):
    assert context.admission.verdict.value == verdict, context.admission


@given(
    "a service with a retry budget of {ratio:f} per call and {slack:d} more "
    "in {window:d} s"
)
def make_retry_limits(context, ratio, slack, window):
    context.retry_limits = RetryLimits(ratio, slack, window)


@when("{calls:d} calls reach one of {hosts:d} hosts in 10 s")
def add_calls(context, calls, hosts):
    clock = ManualClock(100.0)
    context.budget = RetryBudget(context.retry_limits, lambda: hosts, clock)
    for _ in range(calls):
        context.budget.add_call("s")
        clock.advance(10.0 / (calls + 1))


@then("it may make {retries:d} retries, and {resumptions:d} more to resume streams")
def check_retries(context, retries, resumptions):
    allowed_retries = 0
    while context.budget.try_spend("s"):
        allowed_retries += 1
    assert allowed_retries == retries, allowed_retries
    allowed_resumptions = 0
    while context.budget.try_spend("s", is_resumption=True):
        allowed_resumptions += 1
    assert allowed_resumptions == resumptions, allowed_resumptions


@then("{hosts:d} hosts with {calls:d} calls each never exceed the retry budget")
def check_shared_retry_budget(context, hosts, calls):
    limits, random = context.retry_limits, Random(1)
    clock = ManualClock(100.0)
    budgets = [RetryBudget(limits, lambda: hosts, clock) for _ in range(hosts)]
    call_times, retry_times = [], []
    for _ in range(hosts * calls * 3):
        budget = random.choice(budgets)
        budget.add_call("s")
        call_times.append(clock.monotonic())
        for _ in range(3):
            if budget.try_spend("s", is_resumption=random.random() < 0.5):
                retry_times.append(clock.monotonic())
        clock.advance(10.0 / (hosts * calls))
    for end_s in retry_times:
        since_s = end_s - limits.window_s
        calls_in_window = sum(since_s < at_s <= end_s for at_s in call_times)
        retries_in_window = sum(since_s < at_s <= end_s for at_s in retry_times)
        assert retries_in_window <= limits.ratio * calls_in_window + limits.slack


@when("{count:d} callers are refused with a retry time of about {wait:d} s")
def refuse_callers(context, count, wait):
    random = Random(1)
    context.retry_times_s = [
        choose_retry_after(float(wait), random) for _ in range(count)
    ]


@then(
    "their retry times are spread over at least {spread:f} s, "
    "and none is below {least:d} s"
)
def check_retry_time_spread(context, spread, least):
    assert max(context.retry_times_s) - min(context.retry_times_s) >= spread, (
        context.retry_times_s
    )
    assert min(context.retry_times_s) >= least


@given("a host that cuts calls off {allowed:f} s after its shutdown began")
def make_shutting_down_host(context, allowed):
    context.allowed_s = allowed


@then(
    "after {elapsed:f} s it accepts a stream of {stream_s:d} s: {stream:w}, "
    "a call of {call_s:f} s: {call:w}"
)
def check_accepted_calls(context, elapsed, stream_s, stream, call_s, call):
    view = ShutdownView(elapsed, context.allowed_s)
    assert view.can_finish(stream_s) == (stream == "yes")
    assert view.can_finish(call_s) == (call == "yes")


@given("routes of a host for / and /a/ and /a/b/ and of another host for /a/")
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


@then("the path {path} of that host matches the route {prefix}")
def check_route(context, path, prefix):
    found = context.version.find_route("H.example", path)
    assert found.name == f"h.example{prefix}", found
    assert context.version.find_route("nobody.example", path) is None


def make_engine_views(count, generator, **fields):
    """Return views of some engines with random loads."""
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


@given(
    "{suspects:d} suspect requests that lost the same two engines, "
    "and {engines:d} other engines"
)
def make_suspects(context, suspects, engines):
    context.suspects = [f"call-{number}".encode() for number in range(suspects)]
    context.engine_count = engines


@when(
    "{hosts:d} hosts choose an engine for each suspect request "
    "from their own views of the load"
)
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


@then("no two suspect requests share an engine, and all hosts choose the same engines")
def check_isolated_engines(context):
    names = [[view.name for view in chosen] for chosen in context.chosen]
    assert all(len(set(chosen)) == len(chosen) for chosen in names), names
    assert all(chosen == names[0] for chosen in names), names


@then("the chosen engine has the fewest runs")
def check_fewest_runs(context):
    ((chosen,),) = context.chosen
    assert chosen.runs == min(view.runs for view in context.views[0])


@given("engines with these failures out of their latest calls: {failures}")
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


@then("these engines are excluded: {excluded}")
def check_excluded(context, excluded):
    kept = exclude_outliers([view for _, view in context.views])
    found = [
        number
        for number, view in context.views
        if not any(view is other for other in kept)
    ]
    assert found == (excluded.split() if excluded != "none" else []), found


@when("streams end after {durations} seconds, {times:d} times each")
def record_streams(context, durations, times):
    context.stream_durations = StreamDurations()
    for _ in range(times):
        for seconds in durations.split():
            context.stream_durations.record_stream(float(seconds))


@then("a long stream is estimated to take {least:g} to {most:g} seconds")
def check_long_duration(context, least, most):
    assert least <= context.stream_durations.long_s <= most, (
        context.stream_durations.long_s
    )


def make_host_table(number, count, clock):
    """Return the table of one of several hosts, which knows all others."""
    addresses = [
        HostAddress(f"h{other}", "zone-a", "region-a", f"127.0.0.{other}", 1, 2)
        for other in range(count)
    ]
    table = HostTable(addresses[number], (), clock)
    for address in addresses:
        if address.host != addresses[number].host:
            table.update_from_registration(address)
    return table


@given(
    "{count:d} hosts that share a retry budget of {ratio:g} per call and {slack:g} "
    "more in {window:g} s"
)
def make_sharing_hosts(context, count, ratio, slack, window):
    context.retry_limits = RetryLimits(ratio, slack, window)
    context.clock = ManualClock(100.0)
    context.tables = [
        make_host_table(number, count, context.clock) for number in range(count)
    ]


def cut_off(tables, numbers):
    """Cut some hosts off from all others."""
    for number, table in enumerate(tables):
        for other in range(len(tables)):
            if other != number and (number in numbers or other in numbers):
                table.mark_dead(f"h{other}")


LOSSES = {
    "nothing happens": (),
    "each host is cut off from all": range(9),
    "two hosts are cut off from the rest": range(2),
    # The first connections fail, since the others are starting as well.
    "all hosts were killed and restarted": range(9),
}


@when("{loss}, and each host retries as often as it may")
def retry_after_loss(context, loss):
    cut_off(context.tables, LOSSES[loss])
    context.retries = 0
    for table in context.tables:
        budget = RetryBudget(
            context.retry_limits, table.count_possibly_running, context.clock
        )
        while budget.try_spend("s", is_resumption=True):
            context.retries += 1


@then("all hosts together made at most {bound:d} retries")
def check_joint_retries(context, bound):
    assert 0 < context.retries <= bound, context.retries


@when("a host has been unreachable for {seconds:g} seconds")
def lose_host_for_good(context, seconds):
    cut_off(context.tables, [8])
    context.clock.advance(seconds)


@then("the others divide the retry budget by {count:d}")
def check_divisor(context, count):
    assert context.tables[0].count_possibly_running() == count
