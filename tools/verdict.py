"""Run all features and give one verdict, known faults set apart.

A scenario listed in KNOWN-RED.txt may fail; it is printed and passed over. A
listed scenario that passes is a failure, so that the list stays true.
"""

import json
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
RESULTS = ROOT / ".test-run" / "results.json"
FIELD_SEPARATOR = "|"


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


def run_features(arguments):
    """Run behave; return the results of all scenarios."""
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.unlink(missing_ok=True)
    command = [sys.executable, "-m", "behave", "--format", "progress3"]
    command += ["--format", "json", "--outfile", str(RESULTS)]
    subprocess.run([*command, *arguments], cwd=ROOT, check=False)
    if not RESULTS.exists():
        return []
    features = json.loads(RESULTS.read_text())
    return [
        ScenarioResult(
            feature["location"].rsplit(":", 1)[0], scenario["name"], scenario["status"]
        )
        for feature in features
        for scenario in feature.get("elements", ())
        if scenario["type"] == "scenario"
    ]


def main(arguments):
    """Print the verdict; return the exit status."""
    results = run_features(arguments)
    faults = read_known_faults()
    passed = failed = 0
    for result in results:
        known = next((fault for fault in faults if fault.covers(result)), None)
        good = result.status == "passed"
        if known and not good:
            print(f"known fault: {result.feature}: {result.name}: {known.seen}")
        elif known:
            print(f"listed in KNOWN-RED.txt, but passes: {result.name}")
            failed += 1
        elif good:
            passed += 1
        else:
            print(f"failed: {result.feature}: {result.name} ({result.status})")
            failed += 1
    if not results:
        print("no scenario was run")
        failed = 1
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
