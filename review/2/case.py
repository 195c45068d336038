"""Routers miss that engines drain, and go on sending them requests."""

import asyncio
import itertools
import json
import sys
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

from sapphirerock.decisions.duties import HUB_DUTY, rank_for_duty

ZONES = ("zone-0", "zone-1")
ROUTERS = {"zone-0": 6, "zone-1": 2}
ENGINES_PER_ZONE = 8
CALLS_PER_S = 70.0
CALL_S = 0.25
# The store turns two machines of eight away: 0.25, for 9 s.
DOWN_S = 9.0
WINDOWS = 5
# Four engines of sixteen leave: 0.25.
LEAVING = 4
LEAVE_AFTER_S = 4.0
LEAVE_GAP_S = 0.015
# An engine that drains serves for drain_ms and some seconds more.
DRAIN_S = 4.0
BOUNDS = {"drain_ms": 4000, "contact_ms": 5000, "config_apply_ms": 4000}
SERVES_S = 8.0
DEADLINE_MS = 3000
KEY = "n2ctnfzs989anu6wsjnb"


class Fleet:
    """Engines, of which some leave and others come."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._numbers = itertools.count(1)
        self.current = {zone: [] for zone in ZONES}
        self.left = []

    def start(self, zone):
        """Start one engine in a zone."""
        number = next(self._numbers)
        name = f"shop-{number}"
        deployment = self._deployment
        address = deployment.make_address(number % 90 + 1)
        address = f"{address}:{deployment.find_port(address)}"
        deployment.engines[name] = address
        program = str(ROOT / "review/engine.py")
        arguments = [sys.executable, program, address, deployment.store, "shop", zone]
        deployment.spawn(name, arguments)
        self.current[zone].append(name)

    async def order(self, name, **fields):
        """Give an engine an order."""
        body = json.dumps(fields).encode()
        address = self._deployment.engines[name]
        answer = await exchange(address, "POST", "/control", body=body)
        if answer.status != 200:
            raise CaseError(f"{name} took no order: {answer.status}")

    async def leave(self, name):
        """Let an engine drain, serve on for a time and end."""
        await self.order(name, drain=True)
        await asyncio.sleep(SERVES_S)
        address = self._deployment.engines[name]
        answer = await exchange(address, "GET", "/arrivals")
        self.left.append((name, json.loads(answer.body)))
        await self._deployment.expire_registration(name)
        self._deployment.kill(name)


async def send_calls(deployment, answers):
    """Send lookups to the routers in turn until cancelled."""
    tasks = set()
    routers = itertools.cycle(deployment.routers)
    for number in itertools.count(1):
        attempt = f"{number:016x}"
        headers = [
            ("Host", HOST),
            ("Sapphirerock-Attempt-Id", attempt),
            ("Sapphirerock-Deadline-Ms", DEADLINE_MS),
            ("Authorization", f"Token {KEY}"),
        ]

        async def send(address, attempt=attempt, headers=headers):
            response = await exchange(address, "GET", f"/stock/{attempt}", headers)
            answers[response.status if response.is_complete else "cut off"] += 1

        address = deployment.routers[next(routers)]["front"]
        tasks.add(asyncio.ensure_future(send(address)))
        await asyncio.sleep(1 / CALLS_PER_S)


async def play(deployment):
    """Let engines leave while the store turns routers away; return if DRAIN broke."""
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
    await deployment.put_configuration(make_configuration([route], {"hule930": [KEY]}))
    fleet = Fleet(deployment)
    for zone in ZONES:
        for _ in range(ENGINES_PER_ZONE):
            fleet.start(zone)
        for number in range(ROUTERS[zone]):
            deployment.plan_router(f"front-{zone}-{number}", zone, "region-0")
    for name in deployment.routers:
        deployment.start_router(name, **BOUNDS)
    await deployment.wait_ready()

    async def are_registered():
        return len(await deployment.list_servers()) == len(ZONES) * ENGINES_PER_ZONE

    await deployment.wait_for(are_registered, "the engines")
    await asyncio.sleep(3.0)
    for names in fleet.current.values():
        for name in names:
            await fleet.order(name, call_s=CALL_S)
    # The machines that read the store for this zone and pass changes on come first.
    own = [
        name for name, item in deployment.routers.items() if item["zone"] == ZONES[0]
    ]
    turned_away = rank_for_duty(own, HUB_DUTY, {})[:2]
    deployment.log(f"{turned_away} are turned away, again and again, if at all")
    answers = Counter()
    sending = asyncio.ensure_future(send_calls(deployment, answers))
    leaving = []
    for _ in range(WINDOWS):
        await turn_away(deployment, turned_away)
        await asyncio.sleep(LEAVE_AFTER_S)
        names = fleet.current[ZONES[0]][:LEAVING]
        fleet.current[ZONES[0]] = fleet.current[ZONES[0]][LEAVING:]
        deployment.log(f"{names} drain")
        for name in names:
            leaving.append(asyncio.ensure_future(fleet.leave(name)))
            await asyncio.sleep(LEAVE_GAP_S)
        await asyncio.sleep(DOWN_S - LEAVE_AFTER_S)
        for _ in range(LEAVING):
            fleet.start(ZONES[0])
        await asyncio.sleep(1.5)
        for name in fleet.current[ZONES[0]][-LEAVING:]:
            await fleet.order(name, call_s=CALL_S)
    await asyncio.gather(*leaving)
    sending.cancel()
    await asyncio.wait((sending,))
    return judge(deployment, fleet, turned_away, answers)


async def turn_away(deployment, names):
    """Make the store answer two machines with 503 for a time."""
    source = ",".join(deployment.routers[name]["ip"] for name in names)
    fault = {"kind": "down", "manner": "busy", "seconds": DOWN_S, "source": source}
    headers = [("Content-Type", "application/json")]
    body = json.dumps(fault).encode()
    deployment.log(f"the store turns {names} away for {DOWN_S} s")
    if HAS_TROUBLE:
        answer = await exchange(deployment.store, "POST", "/faults", headers, body)
        if answer.status != 200:
            raise CaseError(f"the store can't be told: {answer.status}")


def judge(deployment, fleet, turned_away, answers):
    """Return whether machines in touch sent requests to engines that drained."""
    senders = {item["ip"]: name for name, item in deployment.routers.items()}
    late = 0
    for name, document in fleet.left:
        drained_at_s = document["drained_at_s"]
        if drained_at_s is None:
            raise CaseError(f"{name} could not report that it drains")
        after = [
            (at_s - drained_at_s, senders[sender])
            for _, at_s, sender in document["arrivals"]
            if at_s > drained_at_s + DRAIN_S and senders[sender] not in turned_away
        ]
        late += len(after)
        count = Counter(sender for _, sender in after)
        last = max((at_s for at_s, _ in after), default=0.0)
        deployment.log(
            f"{name}: {len(document['arrivals'])} requests, {len(after)} later than "
            f"{DRAIN_S} s after its draining was acknowledged, the last after "
            f"{last:.1f} s, from {dict(count)}"
        )
    deployment.log(f"answers: {dict(answers)}")
    deployment.log(f"{late} requests reached draining engines too late; none may")
    return late > 0


if __name__ == "__main__":
    run_case(str(Path(__file__).parent), play)
