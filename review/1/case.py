"""Routers that start beside the stale entries of restarted engines serve nothing."""

import asyncio
import itertools
import json
import random
import sys
import time
from collections import Counter
from pathlib import Path

from harness import (
    HAS_TROUBLE,
    HOST,
    ROOT,
    CaseError,
    exchange,
    make_configuration,
    make_route,
    run_case,
)

ENGINES = 3
ROUTERS = 1
ZONE = "zone-0"
CALLS_PER_S = 20.0
DEADLINE_MS = 3000
# The standard days: the engines of a zone end for 1.2 s, all processes for 0.97 s.
ENGINES_DOWN_S = 1.2
ROUTERS_DOWN_S = 0.97
# Time between the two, each of which may come at any moment.
OFFSET_S = 0.3
# All machines start within 0.3 s of each other.
START_GAP_S = 0.15
# Three heartbeats of 1,200 ms, the last of which came half a heartbeat before the end.
EXPIRY_S = 3.0
BEFORE_S = 6.0
RECOVER_S = 12.0
AFTER_S = 10.0
KEY = "n2ctnfzs989anu6wsjnb"
# RECOVER: less than a quarter is served, though a quarter or more was before.
SERVED_SHARE = 0.25
# Ids of the first and the second start of each engine. They are arbitrary; of two
# random ones, the later is the lower in one case of two.
FIRST_IDS = ("i-d40c91e72b", "i-e7215fa803", "i-f1b36a90cc")
SECOND_IDS = ("i-2c7a10be49", "i-5f08d3176a", "i-83e9b4c051")


class Calls:
    """Lookups that the platform's balancer spreads over the routers that are ready."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._numbers = itertools.count(1)
        self.sent = []

    async def _send(self, attempt, router):
        headers = [
            ("Host", HOST),
            ("Sapphirerock-Attempt-Id", attempt),
            ("Sapphirerock-Deadline-Ms", DEADLINE_MS),
            ("Authorization", f"Token {KEY}"),
        ]
        record = [time.monotonic(), 0, attempt]
        self.sent.append(record)
        address = self._deployment.routers[router]["front"]
        response = await exchange(
            address, "GET", f"/stock/{attempt}", headers, timeout_s=DEADLINE_MS / 1000
        )
        record[1] = response.status if response.is_complete else 0

    async def run(self):
        """Send calls until cancelled."""
        tasks = set()
        while True:
            attempt = f"{next(self._numbers):016x}"
            router = random.choice(list(self._deployment.routers))
            tasks.add(asyncio.ensure_future(self._send(attempt, router)))
            await asyncio.sleep(1 / CALLS_PER_S)

    def count(self, since_s, until_s):
        """Return the answers to the calls sent in a span of time, by status."""
        return Counter(
            status for sent_s, status, _ in self.sent if since_s <= sent_s < until_s
        )


def start_engine(deployment, number, name):
    """Start an engine under an id, at the address that it had."""
    process = f"shop-{number}"
    if process not in deployment.engines:
        address = deployment.make_address(number + 1)
        address = f"{address}:{deployment.find_port(address)}"
        deployment.engines[process] = address
    program = str(ROOT / "review/engine.py")
    address = deployment.engines[process]
    arguments = [address, deployment.store, "shop", ZONE, name]
    deployment.spawn(process, [sys.executable, program, *arguments])


async def end_all(deployment, configuration):
    """End the engines of the zone, then all routers; both come back."""
    for number in range(ENGINES):
        deployment.log(f"shop-{number} ({FIRST_IDS[number]}) ends")
        if HAS_TROUBLE:
            deployment.kill(f"shop-{number}")
    ended_s = time.monotonic()
    await asyncio.sleep(OFFSET_S)
    await deployment.put_configuration(configuration)
    deployment.log("configuration 2 acknowledged, then all routers are killed")
    if HAS_TROUBLE:
        for name in deployment.routers:
            deployment.kill(name)
    await asyncio.sleep(ENGINES_DOWN_S - OFFSET_S)
    for number in range(ENGINES):
        deployment.log(f"shop-{number} is back as {SECOND_IDS[number]}")
        if HAS_TROUBLE:
            start_engine(deployment, number, SECOND_IDS[number])
    await asyncio.sleep(OFFSET_S + ROUTERS_DOWN_S - ENGINES_DOWN_S)
    deployment.log("the routers are started again")
    if HAS_TROUBLE:
        for name in deployment.routers:
            deployment.start_router(name)
            await asyncio.sleep(START_GAP_S)
        await deployment.wait_ready()
    back_s = time.monotonic()
    await asyncio.sleep(ended_s + EXPIRY_S - time.monotonic())
    deployment.log("the entries of the engines that ended expire")
    if HAS_TROUBLE:
        for name in FIRST_IDS:
            path = f"/sapphirerock/objects/servers/{name}"
            if (await exchange(deployment.store, "DELETE", path)).status != 200:
                raise CaseError(f"no entry of {name} to expire")
    return back_s


async def play(deployment):
    """End all engines and routers at once; return whether RECOVER broke."""
    await deployment.start_store()
    route = make_route(
        "stock",
        "/stock/",
        "idempotent",
        "shop",
        timeout_ms=1500,
        target_latency_ms=350,
        priority=2,
        max_attempts=2,
    )
    tenants = {"hule930": [KEY]}
    await deployment.put_configuration(make_configuration([route], tenants))
    for number in range(ENGINES):
        start_engine(deployment, number, FIRST_IDS[number])
    for number in range(ROUTERS):
        deployment.plan_router(f"front-{number}", f"zone-{number}", f"region-{number}")
    for name in deployment.routers:
        deployment.start_router(name)
    await deployment.wait_ready()

    async def are_registered():
        return len(await deployment.list_servers()) == ENGINES

    await deployment.wait_for(are_registered, "the engines")
    await asyncio.sleep(1.5)
    calls = Calls(deployment)
    sending = asyncio.ensure_future(calls.run())
    began_s = time.monotonic()
    await asyncio.sleep(BEFORE_S)
    fault_s = time.monotonic()
    back_s = await end_all(deployment, make_configuration([route], tenants, version=2))
    await asyncio.sleep(max(0.0, back_s + RECOVER_S + AFTER_S - time.monotonic()))
    until_s = time.monotonic() - DEADLINE_MS / 1000
    sending.cancel()
    await asyncio.wait((sending,))
    before = calls.count(began_s, fault_s)
    after = calls.count(back_s + RECOVER_S, until_s)
    deployment.log(f"answers before the fault: {dict(before)}")
    between = calls.count(fault_s, back_s + RECOVER_S)
    deployment.log(
        f"answers until {RECOVER_S} s after the routers were back: {between}"
    )
    deployment.log(f"answers later: {dict(after)}")
    await report(deployment)
    share = after[200] / max(1, after.total())
    was_served = before[200] / max(1, before.total()) >= SERVED_SHARE
    deployment.log(
        f"share served later: {share:.3f}; it must be {SERVED_SHARE} or more"
    )
    return was_served and share < SERVED_SHARE


async def report(deployment):
    """Add what the store lists and what the engines ran, which are all sound."""
    for entry, spec in await deployment.list_servers():
        deployment.log(f"entry {entry}: {spec['state']} at {spec['address']}")
    for name, address in deployment.engines.items():
        runs = json.loads((await exchange(address, "GET", "/runs")).body)
        deployment.log(f"{name} is up and ran {len(runs)} requests since its start")
    for name in deployment.routers:
        for line in deployment.search_log(name, "request refused|call failed")[-1:]:
            deployment.log(f"{name} log: {line}")


if __name__ == "__main__":
    run_case(str(Path(__file__).parent), play)
