"""Run features and print how many scenarios passed and failed.

A scenario listed in KNOWN-RED.txt may fail: it is printed and not counted. A listed
scenario that passes counts as failed, so that the list stays up to date, unless its
entry states in how many of how many runs it failed: then it may pass or fail, and is
printed either way.

A run during which the sources change counts as failed.
"""

import hashlib
import json
import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from tools.localcluster import PORT_SLICE_VARIABLE

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
RESULTS = ROOT / ".test-run" / "results"
# Processes load these files at any time of a run.
SOURCE_PATTERNS = ("src/**/*.py", "features/**/*", "tools/**/*.py")
BYTECODE_FOLDER = "__pycache__"
FIELD_SEPARATOR = "|"
FIELD_COUNTS = (5, 6)
FREQUENCY = re.compile(r"failed (\d+) of (\d+) runs")
# Scenarios mostly wait for timeouts: four concurrent features use half the cores.
CONCURRENT_FEATURES = 4
OMISSION = " ... "
# The last lines of a log may be all that is kept of a run.
MAX_REASON_CHARACTERS = 400
# First line of a feature that runs while no other one does.
ALONE_TAG = "@alone"


@dataclass(slots=True, frozen=True)
class KnownFault:
    """One entry of KNOWN-RED.txt: a scenario that may fail, and what was seen.

    Parameters
    ----------
    feature, scenario : str
        The scenario.
    observation : str
        What was seen when it failed.
    frequency : str
        In how many of how many runs it failed; empty if it fails in each.
    """

    feature: str
    scenario: str
    observation: str
    frequency: str = ""

    def matches(self, scenario):
        """Return whether a scenario result belongs to the listed scenario."""
        return scenario.feature == self.feature and scenario.name == self.scenario


@dataclass(slots=True, frozen=True)
class ScenarioResult:
    """Result of one scenario, with the status that behave reports.

    Parameters
    ----------
    reason : str
        The failed step and its error, in one line; empty if no step failed.
    """

    feature: str
    name: str
    status: str
    reason: str = ""


def read_known_faults():
    """Return the entries of KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text().splitlines()
    return [
        parse_known_fault(line)
        for line in lines
        if line.strip() and not line.startswith("#")
    ]


def parse_known_fault(line):
    """Parse an entry of KNOWN-RED.txt.

    Raises
    ------
    ValueError
        When the entry has another number of fields, or a sixth field that does not
        state that the scenario failed in some of several runs.
    """
    fields = [field.strip() for field in line.split(FIELD_SEPARATOR)]
    if len(fields) not in FIELD_COUNTS:
        raise ValueError(f"{len(fields)} fields in the entry: {line}")
    frequency = fields[5] if len(fields) > 5 else ""
    if frequency:
        found = FREQUENCY.fullmatch(frequency)
        if not found or not 0 < int(found[1]) < int(found[2]):
            raise ValueError(f"not 'failed N of M runs' with N below M: {frequency}")
    return KnownFault(fields[0], fields[1], fields[3], frequency)


def run_feature(slice_offset, path):
    """Run behave on one feature; return the results of its scenarios.

    A feature that can't be read, or whose run fails without a failed scenario, adds
    a failed result.
    """
    results = RESULTS / f"{path.stem}.json"
    results.unlink(missing_ok=True)
    command = [sys.executable, "-m", "behave", "--no-color"]
    command += ["--format", "json", "--outfile", str(results)]
    command += ["--format", "progress3", str(path)]
    # Features that run concurrently use different slices of ports.
    environment = {**os.environ, PORT_SLICE_VARIABLE: str(os.getpid() + slice_offset)}
    run = subprocess.run(
        command,
        cwd=ROOT,
        check=False,
        capture_output=True,
        text=True,
        env=environment,
    )
    scenarios = read_results(results) if results.exists() else []
    all_passed = bool(scenarios) and all(item.status == "passed" for item in scenarios)
    if run.returncode and (all_passed or not scenarios):
        scenarios.append(ScenarioResult(str(path), "the feature's run", "failed"))
    print(run.stdout if not all_passed else summarise(path, scenarios), flush=True)
    if not all_passed:
        print(run.stderr, flush=True)
    return scenarios


def summarise(path, scenarios):
    """Return the summary line of a feature that passed."""
    return f"{path.relative_to(ROOT)}: {len(scenarios)} scenarios passed"


def run_features(names):
    """Run features concurrently, all if none is named.

    Features with `ALONE_TAG` run one at a time after the others. Returns the results
    of the scenarios in the order in which the features were started.
    """
    RESULTS.mkdir(parents=True, exist_ok=True)
    paths = [ROOT / name for name in names]
    paths = paths or sorted((ROOT / "features").glob("*.feature"))
    lone = [path for path in paths if runs_alone(path)]
    concurrent = [path for path in paths if path not in lone]
    with ThreadPoolExecutor(CONCURRENT_FEATURES) as pool:
        runs = list(pool.map(run_feature, range(len(concurrent)), concurrent))
    runs += [run_feature(number, path) for number, path in enumerate(lone)]
    return [result for results in runs for result in results]


def runs_alone(path):
    """Return whether a feature has to run while no other one does."""
    with path.open() as lines:
        return lines.readline().strip() == ALONE_TAG


def run_on_unchanged_sources(run_all, root=ROOT):
    """Run features; add a failed result if the sources change meanwhile.

    Processes that start at different times of such a run load different sources.

    Parameters
    ----------
    run_all : callable
        Runs the features and returns the list of their results.
    root : pathlib.Path
        Folder of the project.
    """
    digest = digest_sources(root)
    results = run_all()
    if digest_sources(root) != digest:
        results.append(
            ScenarioResult("src", "the sources changed during the run", "failed")
        )
    return results


def digest_sources(root):
    """Return a digest of the names and contents of the sources."""
    digest = hashlib.sha256()
    paths = {path for pattern in SOURCE_PATTERNS for path in root.glob(pattern)}
    for path in sorted(paths):
        if path.is_file() and BYTECODE_FOLDER not in path.parts:
            content = hashlib.sha256(path.read_bytes()).hexdigest()
            digest.update(f"{path.relative_to(root)}\0{content}\0".encode())
    return digest.digest()


def read_results(path):
    """Return the results in the JSON file that behave wrote for a feature."""
    try:
        features = json.loads(path.read_text())
    except json.JSONDecodeError:
        return []
    return [
        ScenarioResult(
            feature["location"].rsplit(":", 1)[0],
            # behave ends the names of outline examples with a space.
            scenario["name"].strip(),
            scenario["status"],
            find_reason(scenario.get("steps", ())),
        )
        for feature in features
        for scenario in feature.get("elements", ())
        if scenario["type"] == "scenario"
    ]


def find_reason(steps):
    """Return the first failed step and its error, in one line of limited length."""
    for step in steps:
        result = step.get("result", {})
        if result.get("status") not in (None, "passed"):
            error = result.get("error_message", "")
            lines = [error] if isinstance(error, str) else error
            text = " ".join(f"{step['name']}: {' '.join(lines)}".split())
            return shorten_middle(text, MAX_REASON_CHARACTERS)
    return ""


def shorten_middle(text, max_characters):
    """Return a text without its middle part if it is longer than the limit."""
    if len(text) <= max_characters:
        return text
    half = (max_characters - len(OMISSION)) // 2
    return f"{text[:half]}{OMISSION}{text[-half:]}"


@dataclass(slots=True)
class Verdict:
    """Counts of passed and failed scenarios.

    Parameters
    ----------
    report_lines : list of str
        One line for each failure and each known fault.
    """

    passed: int
    failed: int
    report_lines: list


def count_results(results, faults):
    """Return the counts of passed and failed scenarios.

    A scenario listed as a known fault isn't counted if it fails, and counts as failed
    if it passes; one that is listed as failing in some runs counts as passed. An empty
    list of results counts as one failure.
    """
    verdict = Verdict(0, 0, [])
    for result in results:
        known = next((fault for fault in faults if fault.matches(result)), None)
        has_passed = result.status == "passed"
        if known and not has_passed:
            verdict.report_lines.append(describe_known_fault(known))
            if result.reason:
                verdict.report_lines.append(f"seen now: {result.reason}")
        elif known and known.frequency:
            verdict.report_lines.append(f"passed now, {describe_known_fault(known)}")
            verdict.passed += 1
        elif known:
            verdict.report_lines.append(
                f"listed in KNOWN-RED.txt, but passes: {result.name}"
            )
            verdict.failed += 1
        elif has_passed:
            verdict.passed += 1
        else:
            line = f"failed: {result.feature}: {result.name} ({result.status})"
            verdict.report_lines.append(
                f"{line}: {result.reason}" if result.reason else line
            )
            verdict.failed += 1
    if not results:
        verdict.report_lines.append("no scenario was run")
        verdict.failed += 1
    return verdict


def describe_known_fault(fault):
    """Return the line on a listed scenario."""
    line = f"known fault: {fault.feature}: {fault.scenario}: {fault.observation}"
    return f"{line} ({fault.frequency})" if fault.frequency else line


def main(arguments):
    """Run the named features, or all; print the verdict and return the exit status."""
    results = run_on_unchanged_sources(partial(run_features, arguments))
    verdict = count_results(results, read_known_faults())
    for line in verdict.report_lines:
        print(line)
    print(f"{verdict.passed} passed, {verdict.failed} failed")
    return 1 if verdict.failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
