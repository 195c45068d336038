"""Steps on the verdict itself."""

from behave import given, then
from tools.verdict import KnownFault, ScenarioResult, judge

FEATURE, NAME = "features/some.feature", "some scenario"


@given("a result that {status} and {listed} listed as known")
def make_result(context, status, listed):
    faults = [KnownFault(FEATURE, NAME, "seen")] if listed == "is" else []
    other = KnownFault(FEATURE, "another scenario", "seen")
    result = ScenarioResult(FEATURE, NAME, status)
    context.verdict = judge([result], [other, *faults])


@given("no result")
def make_no_result(context):
    context.verdict = judge([], [])


@then("{passed:d} passed and {failed:d} failed, and {note} is printed")
def check_verdict(context, passed, failed, note):
    verdict = context.verdict
    assert (verdict.passed, verdict.failed) == (passed, failed), verdict
    if note == "nothing":
        assert not verdict.notes
    else:
        assert any(note in line for line in verdict.notes), verdict.notes
