"""Steps on the verdict over test results."""

import json
import tempfile
from pathlib import Path

from behave import given, then
from tools.verdict import (
    KnownFault,
    ScenarioResult,
    count_results,
    parse_known_fault,
    read_results,
    run_on_unchanged_sources,
    runs_alone,
)

FEATURE, NAME = "features/some.feature", "some scenario"
MODULE = "src/package/module.py"
BYTECODE = "src/package/__pycache__/module.py"
CHANGES = {
    "nothing changes": lambda root: None,
    "bytecode is written": lambda root: write_source(root, BYTECODE, "1"),
    "a module is edited": lambda root: write_source(root, MODULE, "2"),
    "a module is added": lambda root: write_source(root, "tools/other.py", "1"),
    "a feature is renamed": lambda root: (root / FEATURE).rename(
        root / "features/other.feature"
    ),
}

ERRORS = {
    "one line": {"error_message": "one"},
    "two lines": {"error_message": ["one", "  two"]},
    "9,000 letters": {"error_message": ["x" * 9000, "letters"]},
    "no message": {},
}


def write_source(root, name, text):
    path = root / name
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text)


@given("a result with status {status} that {listed} listed as a known fault")
def count_one_result(context, status, listed):
    faults = [KnownFault(FEATURE, NAME, "seen")] if listed == "is" else []
    other = KnownFault(FEATURE, "another scenario", "seen")
    result = ScenarioResult(FEATURE, NAME, status)
    context.verdict = count_results([result], [other, *faults])


@given("a result with status {status} of a scenario that {frequency}")
def count_intermittent_result(context, status, frequency):
    entry = f"{FEATURE} | {NAME} | no seed | seen | 1 | {frequency}"
    result = ScenarioResult(FEATURE, NAME, status)
    context.verdict = count_results([result], [parse_known_fault(entry)])


@given("an entry of KNOWN-RED.txt that says {field}")
def parse_entry(context, field):
    context.entry = f"{FEATURE} | {NAME} | no seed | seen | 1 | " + field.replace(
        ";", " |"
    )


@then("it is refused")
def check_entry_refused(context):
    try:
        parse_known_fault(context.entry)
    except ValueError:
        return
    raise AssertionError(context.entry)


@given("a run without results")
def count_no_results(context):
    context.verdict = count_results([], [])


@given("a results file with a failed example of an outline that is listed")
def count_outline_example(context):
    scenario = {"type": "scenario", "name": f"{NAME} -- @1.2 ", "status": "failed"}
    fault = KnownFault(FEATURE, f"{NAME} -- @1.2", "seen")
    context.verdict = count_results(read_scenario(scenario), [fault])


def read_scenario(scenario):
    """Return the results read from a file with one scenario."""
    document = [{"location": f"{FEATURE}:1", "elements": [scenario]}]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "results.json")
        path.write_text(json.dumps(document))
        return read_results(path)


@given(
    "a results file with a scenario that {listed} listed, whose step failed with "
    "{error}"
)
def count_scenario_with_error(context, listed, error):
    passed = {"name": "a host", "result": {"status": "passed"}}
    failed = {
        "name": "every call is served",
        "result": {"status": "failed", **ERRORS[error]},
    }
    scenario = {"type": "scenario", "name": NAME, "status": "failed"}
    scenario["steps"] = [passed, failed, {"name": "a step that was not run"}]
    faults = [KnownFault(FEATURE, NAME, "seen")] if listed == "is" else []
    context.verdict = count_results(read_scenario(scenario), faults)


@given("a run with a passed scenario, during which {change}")
def run_beside_change(context, change):
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        for name in (MODULE, FEATURE):
            write_source(root, name, "1")

        def run_all():
            CHANGES[change](root)
            return [ScenarioResult(FEATURE, NAME, "passed")]

        results = run_on_unchanged_sources(run_all, root)
    context.verdict = count_results(results, [])


@then("{passed:d} passed and {failed:d} failed, and {note} is printed")
def check_verdict(context, passed, failed, note):
    verdict = context.verdict
    assert (verdict.passed, verdict.failed) == (passed, failed), verdict
    if note == "nothing":
        assert not verdict.report_lines
    else:
        assert any(note in line for line in verdict.report_lines), verdict.report_lines


@then(
    "{passed:d} passed and {failed:d} failed, and {note} is printed in at most "
    "{characters:d} characters"
)
def check_short_verdict(context, passed, failed, note, characters):
    check_verdict(context, passed, failed, note)
    assert len("\n".join(context.verdict.report_lines)) <= characters


@given("a feature whose first line is {line}")
def write_feature(context, line):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "some.feature")
        path.write_text(f"{line}\nFeature: some feature\n")
        context.runs_alone = runs_alone(path)


@then("it runs {manner}")
def check_manner(context, manner):
    assert context.runs_alone is (manner == "alone"), manner
