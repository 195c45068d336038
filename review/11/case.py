"""Entries of another writer take the routers over their memory, one life after another.

Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
"""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

from callers import PATH_PREFIX, call
from deployment import LIMITS, ZONES, Deployment
from engines import SERVERS_PATH, Engine
from platformwire import call_store
from store import VALUE_BYTES, dump

RECORD = Path(__file__).with_name("record.txt")
ENGINES = 3
ENTRIES = 6
ENTRY_GAP_S = 1.0
OBSERVED_S = 45.0
# The platform starts a process again after a short delay.
RESTART_S = 1.0
MEMORY_CHECK_S = 0.02
MEMORY_KB = LIMITS["memory_mb"] * 1024
DEADLINE_MS = 3000
CALLS_PER_S = 5.0
# The rule: three ends on a tenth of the machines, two at least.
ENDS = 3
MACHINES = 2


def make_odd_entry():
    """Return an entry with a field of another type, as large as an object may be."""
    entry = {
        "service": "wuno96b",
        "address": "127.0.9.9:9",
        "zone": "zone-a",
        "version": "v1",
        "state": "ready",
        "cold_ms": 0,
        "seq": 0,
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
        self._ends = {}
        self._peaks_kb = {}
        self._answers = []

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
            await deployment.configure()
            engines = await self._start_engines(deployment.store)
            await deployment.start_routers()
            await asyncio.sleep(3.0)
            fronts = [router.front for router in deployment.routers]
            tasks = [
                asyncio.ensure_future(self._keep_running(router))
                for router in deployment.routers
            ]
            tasks.append(asyncio.ensure_future(self._call(fronts)))
            await asyncio.sleep(3.0)
            if self._has_trouble:
                await self._write_entries(deployment.store)
            await asyncio.sleep(OBSERVED_S)
            for task in tasks:
                task.cancel()
            for engine in engines:
                engine.close()
        return self._judge()

    async def _start_engines(self, store):
        engines = []
        for number, zone in zip(range(ENGINES), ZONES, strict=True):
            address = f"127.0.3.{10 + number}"
            engine = Engine(self.record, store, "wuno96b", zone, address)
            await engine.start()
            engines.append(engine)
        return engines

    async def _write_entries(self, store):
        spec = make_odd_entry()
        for number in range(ENTRIES):
            document = {"metadata": {"name": f"w-{number}"}, "spec": spec}
            status, _ = await call_store(store, "POST", SERVERS_PATH, document)
            fields = {"name": f"w-{number}", "bytes": len(dump(spec)), "status": status}
            self.record("another writer's entry", fields)
            await asyncio.sleep(ENTRY_GAP_S)

    async def _keep_running(self, router):
        """Kill a router over its memory, and start it again, as the platform does."""
        self._ends[router.name] = 0
        self._peaks_kb[router.name] = 0
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            memory_kb = router.measure_memory_kb()
            self._peaks_kb[router.name] = max(self._peaks_kb[router.name], memory_kb)
            is_over = memory_kb > MEMORY_KB
            if not is_over and router.process.poll() is None:
                continue
            router.process.kill()
            router.process.wait()
            self._ends[router.name] += 1
            cause = "over its memory" if is_over else "by itself"
            fields = {"machine": router.name, "cause": cause, "memory_kb": memory_kb}
            self.record("process ended", fields)
            await asyncio.sleep(RESTART_S)
            router.start()
            self.record("process started again", {"machine": router.name})

    async def _call(self, fronts):
        """Send lookups at a steady rate."""
        calls, number = set(), 0
        while True:
            number += 1
            path, front = f"{PATH_PREFIX}{number}", fronts[number % len(fronts)]
            work = call(self.record, front, DEADLINE_MS, path, b"y")
            task = asyncio.ensure_future(work)
            task.add_done_callback(self._note_answer)
            calls.add(task)
            await asyncio.sleep(1 / CALLS_PER_S)

    def _note_answer(self, task):
        if not task.cancelled():
            self._answers.append(task.result()[1].status)

    def _judge(self):
        machines = sum(ends >= ENDS for ends in self._ends.values())
        served = sum(status == 200 for status in self._answers)
        fields = {"ends by machine": self._ends, "calls": len(self._answers)}
        fields |= {"served": served, "peaks in kB": self._peaks_kb}
        self.record("result", fields)
        print(json.dumps(fields))
        if not served:
            return 2
        return 1 if machines >= MACHINES else 0


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
