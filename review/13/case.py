"""Streams run on more engines than their route's ``max_attempts`` allows.

Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
"""

import asyncio
import json
import os
import random
import sys
import time
from pathlib import Path

from callers import STREAM_PREFIX, call_stream
from deployment import ZONES, Deployment
from engines import Engine

RECORD = Path(__file__).with_name("record.txt")
MAX_ATTEMPTS = 2
# The limits of the pages: 0.6 of the engines lose 0.4 of their answers for 4 s.
ENGINES = 10
LOSING_SHARE = 0.6
LOST_SHARE = 0.4
LOSS_S = 4.0
WINDOWS = 5
CALM_S = 6.0
CALLS_PER_S = 20.0
EVENTS = 30
DEADLINE_MS = 25_000
# The rule allows three requests.
ALLOWED = 3


class Case:
    """One run of the case.

    Parameters
    ----------
    has_trouble : bool
        Whether answers are lost.
    """

    def __init__(self, has_trouble):
        self._has_trouble = has_trouble
        self._random = random.Random(63)
        self._losing = set()
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

    def _loses_answer(self, number):
        return number in self._losing and self._random.random() < LOST_SHARE

    async def run(self):
        """Play the case; return the exit status."""
        with Deployment(self.record) as deployment:
            await deployment.start_store()
            await deployment.configure(MAX_ATTEMPTS)
            await self._start_engines(deployment.store)
            await deployment.start_routers()
            await asyncio.sleep(3.0)
            calls = asyncio.ensure_future(self._call(deployment.fronts))
            for _ in range(WINDOWS):
                await asyncio.sleep(CALM_S)
                if self._has_trouble:
                    numbers = range(ENGINES)
                    chosen = self._random.sample(numbers, int(LOSING_SHARE * ENGINES))
                    self._losing = set(chosen)
                    self.record("answers get lost at", sorted(chosen))
                await asyncio.sleep(LOSS_S)
                self._losing = set()
                self.record("no more answers get lost", {})
            attempts = await calls
            for engine in self._engines:
                engine.close()
        return self._judge(attempts)

    async def _start_engines(self, store):
        zones = list(ZONES)
        for number in range(ENGINES):
            engine = Engine(
                self.record,
                store,
                "huvo11a",
                zones[number % len(zones)],
                f"127.0.2.{10 + number}",
                lambda number=number: self._loses_answer(number),
            )
            await engine.start()
            self._engines.append(engine)

    async def _call(self, fronts):
        """Send streams at a steady rate; return their attempts and answers."""
        end_s = time.monotonic() + WINDOWS * (CALM_S + LOSS_S)
        calls, number = [], 0
        while time.monotonic() < end_s:
            number += 1
            call = call_stream(
                self.record,
                fronts[number % len(fronts)],
                EVENTS,
                Engine.stride,
                DEADLINE_MS,
                f"{STREAM_PREFIX}{number}",
                f"{number:08x}",
            )
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(1 / CALLS_PER_S)
        return await asyncio.gather(*calls)

    def _judge(self, attempts):
        engines_by_attempt = {}
        for engine in self._engines:
            for run in engine.runs:
                engines_by_attempt.setdefault(run["attempt"], set()).add(engine.name)
        beyond = {
            attempt: sorted(names)
            for attempt, names in engines_by_attempt.items()
            if len(names) > MAX_ATTEMPTS
        }
        whole = sum(answer.is_whole for _, answer in attempts)
        for attempt, names in beyond.items():
            self.record("ran on more engines than allowed", {attempt: names})
        fields = {"calls": len(attempts), "whole answers": whole}
        fields |= {"on more than max_attempts engines": len(beyond)}
        self.record("result", fields)
        print(json.dumps(fields))
        if not whole:
            return 2
        return 1 if len(beyond) > ALLOWED else 0


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
