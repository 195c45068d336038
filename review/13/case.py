"""A plain request that crashes its engines is sent to engines without end.

The engines fall silent in the crash. Exits with 1 if the rule was broken, 0 if it
held, and 2 if the case couldn't run.
"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

from callers import PATH_PREFIX, call
from deployment import BOUNDS, ZONES, Deployment
from engines import Engine

RECORD = Path(__file__).with_name("record.txt")
ENGINES = 6
POISON_PATH = f"{PATH_PREFIX}reads-forever"
DEADLINE_MS = 3000
# The request comes again, at the next router.
REPEAT_S = 6.0
REPEATS = 8
CALLS_PER_S = 5.0
# The rule allows three retries later than `contact_ms` after the third crash.
ALLOWED = 3


class Case:
    """One run of the case.

    Parameters
    ----------
    has_trouble : bool
        Whether the request crashes the engines that run it.
    """

    def __init__(self, has_trouble):
        self._has_trouble = has_trouble
        self._engines = []
        self._began_s = time.monotonic()
        self._lines = []

    def record(self, kind, fields):
        """Add a line to the record."""
        at_s = round(time.monotonic() - self._began_s, 3)
        self._lines.append(f"{at_s:9.3f} {kind}: {json.dumps(fields)}")

    def write_record(self):
        """Write the record to its file."""
        RECORD.write_text("\n".join(self._lines) + "\n")

    def _crashes(self, target):
        return self._has_trouble and target == POISON_PATH

    async def run(self):
        """Play the case; return the exit status."""
        async with Deployment(self.record) as deployment:
            await deployment.configure()
            await self._start_engines(deployment.store)
            await deployment.start_routers()
            await asyncio.sleep(3.0)
            fronts = [router.front for router in deployment.routers]
            others = asyncio.ensure_future(self._call_others(fronts))
            for number in range(REPEATS):
                front = fronts[number % len(fronts)]
                await call(self.record, front, DEADLINE_MS, POISON_PATH, b"x")
                await asyncio.sleep(REPEAT_S)
            others.cancel()
            for engine in self._engines:
                engine.close()
        return self._judge()

    async def _start_engines(self, store):
        zones = list(ZONES)
        for number in range(ENGINES):
            engine = Engine(
                self.record,
                store,
                "wuno96b",
                zones[number % len(zones)],
                f"127.0.3.{10 + number}",
                crashes=self._crashes,
            )
            await engine.start()
            self._engines.append(engine)

    async def _call_others(self, fronts):
        """Send sound requests at a steady rate."""
        calls, number = set(), 0
        while True:
            number += 1
            path = f"{PATH_PREFIX}{number}"
            front = fronts[number % len(fronts)]
            work = call(self.record, front, DEADLINE_MS, path, b"y")
            calls.add(asyncio.ensure_future(work))
            await asyncio.sleep(1 / CALLS_PER_S)

    def _judge(self):
        crashes_s = sorted(
            at_s for item in self._engines for at_s in item.crash_times_s
        )
        runs = [run for engine in self._engines for run in engine.runs]
        whole = sum(run["ended"] == "whole" for run in runs)
        late = 0
        if len(crashes_s) >= 3:
            from_s = crashes_s[2] + BOUNDS["contact_ms"] / 1000
            poison = [run for run in runs if run["target"] == POISON_PATH]
            late = sum(run["began_s"] > from_s for run in poison)
        fields = {"crashes": len(crashes_s), "late arrivals of the request": late}
        fields |= {"whole runs of other requests": whole}
        self.record("result", fields)
        print(json.dumps(fields))
        if not whole:
            return 2
        return 1 if late > ALLOWED else 0


def main():
    """Run the case and exit with its status."""
    case = Case(os.environ.get("TROUBLE", "1") != "0")
    try:
        status = asyncio.run(case.run())
    except Exception as error:
        case.record("could not run", repr(error))
        print(repr(error), file=sys.stderr)
        status = 2
    case.write_record()
    sys.exit(status)


if __name__ == "__main__":
    main()
