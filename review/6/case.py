"""Two callers send the same prompt; the host of one of them is killed."""

import asyncio
import sys
from pathlib import Path

from testbed.caller import StreamCaller, list_runs, make_prompt
from testbed.cluster import ZONES, make_configuration, make_route, run_case

EVENTS = 120
PROMPT = make_prompt(EVENTS)
BODY = b"the same pattern archive, sent from two windows of one session"
SECOND_START_S = 0.3
KILL_AFTER_S = 2.0


async def play(cluster, has_trouble):
    """Play the case; see `run_case`."""
    await cluster.start_store()
    route = make_route("review", "streaming", "hilo-modelo")
    await cluster.put_configuration(
        make_configuration(1, [route], models=["hilo-modelo"])
    )
    for zone in ZONES:
        for number in (1, 2):
            name = f"model-{zone}-{number}"
            await cluster.start_engine(name, "hilo-modelo", zone, event_ms=50)
    cluster.start_hosts()
    await cluster.wait_until_ready()
    first, second = (
        StreamCaller(cluster, name, "/review/1", PROMPT, BODY) for name in ("A", "B")
    )
    tasks = [asyncio.ensure_future(first.run(["front-1", "front-3", "front-3"]))]
    await asyncio.sleep(SECOND_START_S)
    tasks.append(asyncio.ensure_future(second.run(["front-2", "front-3"])))
    await asyncio.sleep(KILL_AFTER_S)
    if has_trouble:
        cluster.kill("front-1")
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    return judge(cluster, {"A": first, "B": second})


def judge(cluster, callers):
    """Return how the rule was broken, and a summary."""
    owners = {
        attempt: name for name, caller in callers.items() for attempt in caller.attempts
    }
    faults = []
    for line in cluster.list_runs():
        if line["kind"] != "run" or not line["kv_from"]:
            continue
        source = line["kv_from"].rpartition("/")[2]
        if owners[source] != owners[line["attempt"]]:
            faults.append(
                f"MIXED: attempt {line['attempt']} of caller {owners[line['attempt']]} "
                f"went on from the memory of attempt {source} of caller "
                f"{owners[source]}"
            )
    runs = {name: list_runs(caller.events) for name, caller in callers.items()}
    shared = set(runs["A"]) & set(runs["B"])
    if shared:
        faults.append(f"callers A and B both got tokens of run {sorted(shared)}")
    whole = {name: caller.is_whole for name, caller in callers.items()}
    return faults, f"answers whole: {whole}; made by runs: {runs}"


if __name__ == "__main__":
    run_case(play, Path(sys.argv[1]))
