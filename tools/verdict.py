"""Run all features and give one verdict, known faults set apart.

A scenario listed in KNOWN-RED.txt may fail; it is printed and passed over. A
listed scenario that passes is a failure, so that the list stays true.
"""

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tools.localcluster import PORT_SLICE_VARIABLE

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
RESULTS = ROOT / ".test-run" / "results"
FIELD_SEPARATOR = "|"
# Most scenarios wait on timeouts; four at a time leave the cores half idle.
SIDE_BY_SIDE = 4


@dataclass(slots=True, frozen=True)
class KnownFault:
    """One line of KNOWN-RED.txt."""

    feature: str
    scenario: str
    seen: str

    def covers(self, scenario):
        """Return whether a scenario is the listed one."""
        return scenario.feature == self.feature and scenario.name == self.scenario


@dataclass(slots=True, frozen=True)
class ScenarioResult:
    """One scenario as behave ran it."""

    feature: str
    name: str
    status: str


def read_known_faults():
    """Return the entries of KNOWN-RED.txt."""
    faults = []
    for line in KNOWN_RED.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            fields = [field.strip() for field in line.split(FIELD_SEPARATOR)]
            faults.append(KnownFault(fields[0], fields[1], fields[3]))
    return faults


def run_feature(number, path):
    """Run behave on one feature; return the results of its scenarios.

    A feature that can't be read, or whose run ends early, counts as failed.
    """
    results = RESULTS / f"{path.stem}.json"
    results.unlink(missing_ok=True)
    command = [sys.executable, "-m", "behave", "--no-color"]
    command += ["--format", "json", "--outfile", str(results)]
    command += ["--format", "progress3", str(path)]
    # Features side by side take ports of different slices.
    environment = {**os.environ, PORT_SLICE_VARIABLE: str(os.getpid() + number)}
    run = subprocess.run(
        command,
        cwd=ROOT,
        check=False,
        capture_output=True,
        text=True,
        env=environment,
    )
    scenarios = read_results(results) if results.exists() else []
    good = bool(scenarios) and all(item.status == "passed" for item in scenarios)
    if run.returncode and (good or not scenarios):
        scenarios.append(ScenarioResult(str(path), "the feature's run", "failed"))
    print(run.stdout if not good else summarise(path, scenarios), flush=True)
    if not good:
        print(run.stderr, flush=True)
    return scenarios


def summarise(path, scenarios):
    """Return one line on a feature that passed."""
    return f"{path.relative_to(ROOT)}: {len(scenarios)} scenarios passed"


def run_features(names):
    """Run features side by side; return the results of all scenarios."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    paths = [ROOT / name for name in names]
    paths = paths or sorted((ROOT / "features").glob("*.feature"))
    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        runs = pool.map(run_feature, range(len(paths)), paths)
        return [result for found in runs for result in found]


def read_results(path):
    """Return the results that behave wrote of a feature."""
    try:
        features = json.loads(path.read_text())
    except json.JSONDecodeError:
        return []
    return [
        ScenarioResult(
            feature["location"].rsplit(":", 1)[0], scenario["name"], scenario["status"]
        )
        for feature in features
        for scenario in feature.get("elements", ())
        if scenario["type"] == "scenario"
    ]


@dataclass(slots=True)
class Verdict:
    """What all results come to.

    Parameters
    ----------
    notes : list of str
        One line for each failure and each known fault.
    """

    passed: int
    failed: int
    notes: list


def judge(results, faults):
    """Return the verdict on some results.

    A listed scenario that fails counts neither way; one that passes counts as
    failed.
    """
    verdict = Verdict(0, 0, [])
    for result in results:
        known = next((fault for fault in faults if fault.covers(result)), None)
        good = result.status == "passed"
        if known and not good:
            verdict.notes.append(
                f"known fault: {result.feature}: {result.name}: {known.seen}"
            )
        elif known:
            verdict.notes.append(f"listed in KNOWN-RED.txt, but passes: {result.name}")
            verdict.failed += 1
        elif good:
            verdict.passed += 1
        else:
            verdict.notes.append(
                f"failed: {result.feature}: {result.name} ({result.status})"
            )
            verdict.failed += 1
    if not results:
        verdict.notes.append("no scenario was run")
        verdict.failed += 1
    return verdict


def main(arguments):
    """Print the verdict; return the exit status."""
    verdict = judge(run_features(arguments), read_known_faults())
    for note in verdict.notes:
        print(note)
    print(f"{verdict.passed} passed, {verdict.failed} failed")
    return 1 if verdict.failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
