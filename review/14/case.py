"""Unreadable entries of another writer keep the routers from answering.

Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

from callers import PATH_PREFIX, call
from deployment import ZONES, Deployment
from engines import SERVERS_PATH, Engine
from platformwire import call_store
from store import VALUE_BYTES, dump

RECORD = Path(__file__).with_name("record.txt")
ENGINES = 3
# As often as an engine writes its entry.
HEARTBEAT_S = 1.2
WRITES = 20
ENTRIES = 2
DEADLINE_MS = 3000
TIMEOUT_S = 1.0
CALLS_PER_S = 10.0
# The rule: more than half of those unanswered at the route's time have no answer half
# a second later. Fewer requests than this show nothing.
LATE_S = 0.5
LATE_SHARE = 0.5
MIN_CALLS = 8


def make_odd_entry():
    """Return an entry that can't be read, as large as an object may be.

    Half of a surrogate pair can be written in JSON, and stands for no character.
    """
    entry = {
        "service": "\ud800",
        "address": "127.0.9.9:9",
        "zone": "zone-a",
        "version": "v1",
        "state": "ready",
        "cold_ms": 0,
        "seq": 1000,
        "born": 1,
        "slots": [],
    }
    free_bytes = VALUE_BYTES - len(dump(entry))
    entry["slots"] = [{}] * (free_bytes // len("{},"))
    return entry


class Case:
    """One run of the case.

    Parameters
    ----------
    has_trouble : bool
        Whether another writer writes entries.
    """

    def __init__(self, has_trouble):
        self._has_trouble = has_trouble
        self._began_s = time.monotonic()
        self._lines = []
        self._calls = set()
        # Attempt, time to the end, and status of each call, 0 without an answer.
        self._ended = []
        self._engines = []

    def record(self, kind, fields):
        """Add a line to the record."""
        at_s = round(time.monotonic() - self._began_s, 3)
        self._lines.append(f"{at_s:9.3f} {kind}: {json.dumps(fields)}")

    def write_record(self):
        """Write the record to its file."""
        RECORD.write_text("\n".join(self._lines) + "\n")

    async def run(self):
        """Play the case; return the exit status."""
        async with Deployment(self.record) as deployment:
            # Callers abandon an idempotent request that isn't read for a second.
            await deployment.configure("non_idempotent")
            await self._start_engines(deployment.store)
            await deployment.start_routers()
            await asyncio.sleep(5.0)
            fronts = [router.front for router in deployment.routers]
            calls = asyncio.ensure_future(self._call(fronts))
            await asyncio.sleep(3.0)
            await self._write_entries(deployment.store)
            await asyncio.sleep(3.0)
            calls.cancel()
            await asyncio.wait(self._calls)
            for engine in self._engines:
                engine.close()
        return self._judge()

    async def _start_engines(self, store):
        for number, zone in zip(range(ENGINES), ZONES, strict=True):
            address = f"127.0.3.{10 + number}"
            engine = Engine(self.record, store, "wuno96b", zone, address)
            await engine.start()
            self._engines.append(engine)

    async def _write_entries(self, store):
        """Write the entries, and a change of each with each heartbeat."""
        spec = make_odd_entry()
        for number in range(WRITES):
            spec["seq"] = 1000 + number
            for name in [f"w-{entry}" for entry in range(ENTRIES)]:
                if self._has_trouble:
                    await self._write_entry(store, name, spec, is_new=not number)
            await asyncio.sleep(HEARTBEAT_S)

    async def _write_entry(self, store, name, spec, is_new):
        method, path = "PUT", f"{SERVERS_PATH}/{name}"
        if is_new:
            method, path = "POST", SERVERS_PATH
        document = {"metadata": {"name": name}, "spec": spec}
        status, _ = await call_store(store, method, path, document)
        fields = {"name": name, "bytes": len(dump(spec)), "status": status}
        self.record("another writer's entry", fields)

    async def _call(self, fronts):
        """Send orders at a steady rate."""
        number = 0
        while True:
            number += 1
            path, front = f"{PATH_PREFIX}{number}", fronts[number % len(fronts)]
            self._calls.add(asyncio.ensure_future(self._call_once(front, path)))
            await asyncio.sleep(1 / CALLS_PER_S)

    async def _call_once(self, front, path):
        began_s = time.monotonic()
        attempt, answer = await call(self.record, front, DEADLINE_MS, path, b"y")
        self._ended.append((attempt, time.monotonic() - began_s, answer.status))

    def _judge(self):
        over = [item for item in self._ended if item[1] > TIMEOUT_S]
        late = [item for item in over if item[1] > TIMEOUT_S + LATE_S or not item[2]]
        served = sum(status == 200 for _, _, status in self._ended)
        ran = {run["attempt"] for engine in self._engines for run in engine.runs}
        ran_late = sum(attempt in ran for attempt, _, _ in late)
        fields = {"calls": len(self._ended), "served": served}
        fields |= {"unanswered at timeout_ms": len(over)}
        fields |= {"unanswered half a second later": len(late)}
        fields |= {"of these run by an engine": ran_late}
        self.record("result", fields)
        print(json.dumps(fields))
        if not served:
            return 2
        is_broken = len(over) >= MIN_CALLS and len(late) > LATE_SHARE * len(over)
        return 1 if is_broken else 0


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
