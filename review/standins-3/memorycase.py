"""Play of the cases in which entries of another writer use up the routers' memory.

A router over its memory is killed and started again, as the platform does. The exit
status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
"""

import asyncio
import json
import os
import sys
import time

from callers import PATH_PREFIX, call
from deployment import LIMITS, ZONES, Deployment
from engines import SERVERS_PATH, Engine
from platformwire import call_store
from store import dump

ENGINES = 3
ENTRY_GAP_S = 1.0
OBSERVED_S = 45.0
# The platform starts a process again after a short delay.
RESTART_S = 1.0
MEMORY_CHECK_S = 0.005
MEMORY_KB = LIMITS["memory_mb"] * 1024
DEADLINE_MS = 3000
CALLS_PER_S = 5.0
# The rule: three ends on a tenth of the machines, two at least.
ENDS = 3
MACHINES = 2


class MemoryCase:
    """One run of a case.

    Parameters
    ----------
    spec : dict
        Content of the entries of another writer.
    entries : int
        Number of these entries.
    """

    def __init__(self, spec, entries):
        self._spec = spec
        self._entries = entries
        self._began_s = time.monotonic()
        self._lines = []
        self._ends = {}
        self._peaks_kb = {}
        self._answers = []

    def record(self, kind, fields):
        """Add a line to the record."""
        at_s = round(time.monotonic() - self._began_s, 3)
        self._lines.append(f"{at_s:9.3f} {kind}: {json.dumps(fields)}")

    def write_record(self, path):
        """Write the record to a file."""
        path.write_text("\n".join(self._lines) + "\n")

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
        size = len(dump(self._spec))
        for number in range(self._entries):
            document = {"metadata": {"name": f"w-{number}"}, "spec": self._spec}
            status, _ = await call_store(store, "POST", SERVERS_PATH, document)
            fields = {"name": f"w-{number}", "bytes": size, "status": status}
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


def play(record_file, spec, entries):
    """Run a case, without the entries if ``TROUBLE`` is 0, and exit with its status.

    Parameters
    ----------
    record_file : pathlib.Path
        Gets the record.
    spec : dict
        Content of the entries of another writer.
    entries : int
        Number of these entries.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    case = MemoryCase(spec, entries if has_trouble else 0)
    try:
        status = asyncio.run(case.run())
    except Exception as error:
        case.record("could not run", repr(error))
        print(repr(error), file=sys.stderr)
        status = 2
    case.write_record(record_file)
    sys.exit(status)
