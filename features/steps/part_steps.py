"""Steps on prompt parts that crash the engines that begin to write on them."""

import asyncio
import re
import time

from behave import given, then, when
from tools.rawclient import RawConnection
from tools.sharedcaller import make_headers

from features.steps.edge_steps import list_all_runs
from features.steps.poison_steps import HostUnderTest, make_call
from features.steps.spread_steps import RecordingStream
from features.steps.stream_steps import start_model_engines
from sapphirerock.connection.messages import CrashLogPull, SoundParts
from sapphirerock.decisions.crashlog import (
    CrashLog,
    EngineRun,
    make_part_fingerprint,
)
from sapphirerock.decisions.quarantine import EVIDENCE_TTL_S
from sapphirerock.process.clock import ManualClock
from sapphirerock.process.engines.crashwatch import fingerprint_parts
from sapphirerock.process.engines.soundparts import VIEW as SOUND_PARTS_VIEW
from sapphirerock.process.peers.crashlogs import CrashLogExchange
from sapphirerock.process.peers.gossip import CrashSuspectsUpdate, SoundPartsUpdate
from sapphirerock.request.call import Prompt

CRASHING_PART = "dead01d5"
SHARED_PART = "5c1e07a2"
EVENTS = 5
REFUSED_STATUS = 422
# An engine that crashed is back after this time.
RESTART_S = 1.5


@given(
    "a shared platform with {edges:d} edges and {engines:d} model engines in "
    "{zones:d} zones that crash on a prompt part"
)
def start_with_crashing_part(context, edges, engines, zones):
    context.run(
        start_model_engines(context, edges, engines, zones, poison=CRASHING_PART)
    )


def make_prompt_headers(number, *parts):
    """Return the headers of a request whose prompt has parts and an own last one."""
    prefix = ",".join(f"{part}:80" for part in (*parts, f"{number:08x}"))
    return make_headers(
        number,
        0,
        ("Sapphirerock-Token-Usage", f"490,{EVENTS}"),
        ("Sapphirerock-Prompt-Prefix", prefix),
    )


async def send_prompt(edge, number, *parts):
    """Send a request that differs from all others; return the response."""
    headers = make_prompt_headers(number, *parts)
    async with RawConnection(edge) as connection:
        return await connection.request(
            "POST", f"/review/{number}", headers, f"prompt {number}".encode()
        )


@when(
    "{count:d} different requests with the part are sent through the edges in turn, "
    "beside sound ones"
)
def send_beside_sound_ones(context, count):
    async def run():
        edges = list(context.world.cluster.edges.values())
        context.crashing, context.sound = [], []
        for number in range(count):
            edge = edges[number % len(edges)]
            responses = await asyncio.gather(
                send_prompt(edge, 100 + number, SHARED_PART, CRASHING_PART),
                send_prompt(edge, 200 + number, SHARED_PART),
                send_prompt(edge, 300 + number, f"{number:04x}"),
            )
            context.crashing.append(responses[0])
            context.sound += responses[1:]
            await asyncio.sleep(RESTART_S)

    context.run(run())


@then("they crashed at most {count:d} engines, and the last {refused:d} were refused")
def check_part_crashes(context, count, refused):
    runs = context.run(list_all_runs(context))
    ran = {f"{100 + number:016x}": number for number in range(len(context.crashing))}
    crashes = sum(run["attempt_id"] in ran for run in runs)
    statuses = [response.status for response in context.crashing]
    assert crashes <= count, (crashes, statuses)
    assert statuses[-refused:] == [REFUSED_STATUS] * refused, statuses


@then("the sound requests were served, with the same first part or without it")
def check_sound_requests(context):
    results = [(response.status, response.events) for response in context.sound]
    expected = (200, list(range(1, EVENTS + 1)))
    assert results == [expected] * len(results), results


MODEL = "m"
REQUEST = b"the request "
CRASH_INTERVAL_S = 2.0
HISTORY = re.compile(
    r"(?P<count>\d) crashes( of one zone)?(?P<at_once> at once)? ran "
    r"(?P<requests>different requests|another request) with "
    r"(?P<parts>[A-C]( and [A-C])?)"
    r"(, and an engine wrote on (?P<sound>[A-C]))?$"
)


def make_parts(names):
    return {make_part_fingerprint(MODEL, name) for name in names}


@given("a crash log and a request with the prompt parts A and B")
def make_crash_log(context):
    context.clock = ManualClock(1.0)
    context.crash_log = CrashLog(context.clock)


def add_crashes(context, count, parts, at_once=False, repeated=False):
    """Add crashes of engines in one zone, each under a request with the parts."""
    for number in range(count):
        run = EngineRun(f"e{number}", 1, "zone-a")
        request = b"another" if repeated else b"request %d" % number
        context.crash_log.add_crash(run, context.clock.monotonic())
        context.crash_log.add_suspects(run, [request, *make_parts(parts)])
        if not at_once:
            context.clock.advance(CRASH_INTERVAL_S)
    context.clock.advance(CRASH_INTERVAL_S)


@when("{count:d} crashes {history}")
def replay_history(context, count, history):
    found = HISTORY.match(f"{count} crashes {history}")
    add_crashes(
        context,
        count,
        found["parts"].split(" and "),
        at_once=bool(found["at_once"]),
        repeated=found["requests"] == "another request",
    )
    if found["sound"]:
        context.crash_log.add_sound_parts(make_parts(found["sound"]))


@when(
    "an engine wrote on B, and 10 minutes later 3 crashes ran different requests with B"
)
def expire_sound_part(context):
    context.crash_log.add_sound_parts(make_parts("B"))
    context.clock.advance(EVIDENCE_TTL_S)
    add_crashes(context, 3, "B")


@when("another host reports twice, 5 minutes apart, that an engine wrote on B")
def report_sound_part_twice(context):
    context.crash_log.add_sound_parts(make_parts("B"))
    context.clock.advance(EVIDENCE_TTL_S / 2)
    context.crash_log.add_sound_parts(make_parts("B"), EVIDENCE_TTL_S / 2)


@when("6 minutes later 3 crashes ran different requests with B")
def add_late_crashes(context):
    context.clock.advance(0.6 * EVIDENCE_TTL_S)
    add_crashes(context, 3, "B")


@then("the request is {outcome}")
def check_outcome(context, outcome):
    suspects = {REQUEST, *make_parts("AB")}
    is_blocked = any(
        context.crash_log.is_part_blocked(part, suspects) for part in make_parts("AB")
    )
    assert is_blocked == (outcome == "blocked")


@given(
    "a crash log of {count:d} crashes under one part, with {requests:d} requests each "
    "that ran twice"
)
def fill_crash_log(context, count, requests):
    context.clock = ManualClock(1.0)
    context.crash_log = CrashLog(context.clock)
    for number in range(count):
        run = EngineRun(f"e{number}", 1, f"zone-{number % 6}")
        # Each request runs on two engines, which crash one after the other.
        first = number // 2 * requests
        suspects = [b"request %d" % (first + index) for index in range(requests)]
        context.crash_log.add_crash(run, context.clock.monotonic())
        context.crash_log.add_suspects(run, [*suspects, *make_parts("A")])
        context.clock.advance(0.1)
    context.clock.advance(CRASH_INTERVAL_S)


@when("it is asked for the evidence against the part, and for all suspects")
def ask_for_evidence(context):
    started_s = time.process_time()
    (part,) = make_parts("A")
    assert context.crash_log.is_part_blocked(part, {part})
    context.crash_log.list_suspects()
    context.took_s = time.process_time() - started_s


@then("it answers within {bound_s:d} second")
def check_duration(context, bound_s):
    assert context.took_s <= bound_s, context.took_s


@given("a host whose crash log holds a part that another host knows to be sound")
def make_two_hosts(context):
    async def run():
        context.hosts = [HostUnderTest(), HostUnderTest()]
        first, second = context.hosts
        for source, target in ((first, second), (second, first)):
            source.gossip.peers.append(target.gossip)

    context.run(run())
    context.call = make_call()
    context.call.metadata.prompt = Prompt(MODEL, parts=(("A", 80), ("own", 80)))
    context.hosts[0].crash_watch.record_output(context.call)


@when("the hosts exchange crash updates")
def exchange_updates(context):
    async def run():
        update = CrashSuspectsUpdate("e1", 1, "zone-a", 0, list(make_parts("A")))
        context.hosts[1].gossip.broadcast(update)
        await asyncio.sleep(SETTLE_S)
        for host in context.hosts:
            await host.close()

    context.run(run())


@then("both hosts know that the part is sound")
def check_sound(context):
    (part,) = fingerprint_parts(context.call)
    assert all(host.crash_log.is_sound(part) for host in context.hosts)


# 27 announcements of 100 bytes that a host sends on to 23 peers take a tenth of a link
# of 5 Mbit/s for a second.
GOSSIP_DELAY_S = 0.03
# Hosts wait before they announce a part, so that one announcement serves for several.
SETTLE_S = 1.0
# Longer than the delay of an announcement, from a moment at which no host has sent one.
BUSY_S = 0.3
BUSY_AFTER_S = 0.005


@given("{count:d} hosts that know a prompt part to be sound, and one that does not")
def make_host_group(context, count):
    async def run():
        context.hosts = [HostUnderTest(GOSSIP_DELAY_S) for _ in range(count + 1)]
        for host in context.hosts:
            host.gossip.peers += [
                other.gossip for other in context.hosts if other is not host
            ]

    context.run(run())
    context.call = make_call()
    context.call.metadata.prompt = Prompt(MODEL, parts=(("A", 80), ("own", 80)))
    for host in context.hosts[1:]:
        host.crash_watch.record_output(context.call)


@when("{count:d} engines crash under calls of the one host with the part")
def crash_engines_under_part(context, count):
    crash_engines(context, count, busy_s=0.0)


@when(
    "{count:d} engines crash under calls of the one host with the part, and all are "
    "busy"
)
def crash_engines_under_part_of_busy_hosts(context, count):
    crash_engines(context, count, busy_s=BUSY_S)


def crash_engines(context, count, busy_s):
    """Report crashes to all hosts, whose event loop is blocked a little later."""

    async def run():
        if busy_s:
            loop = asyncio.get_running_loop()
            loop.call_later(GOSSIP_DELAY_S + BUSY_AFTER_S, time.sleep, busy_s)
        for number in range(count):
            context.hosts[0].gossip.broadcast(
                CrashSuspectsUpdate(f"e{number}", 1, "zone-a", 0, list(make_parts("A")))
            )
            await asyncio.sleep(0)
        await asyncio.sleep(SETTLE_S)
        for host in context.hosts:
            await host.close()

    context.run(run())


@then(
    "the part was announced at most {bound:d} times, and the one host knows that it is "
    "sound"
)
def check_announcements(context, bound):
    announced = sum(
        isinstance(update, SoundPartsUpdate)
        for host in context.hosts
        for update in host.gossip.sent
    )
    assert 0 < announced <= bound, announced
    (part,) = make_parts("A")
    assert context.hosts[0].crash_log.is_sound(part)


@given("a host whose crash log holds a sound part")
def make_host_with_sound_suspect(context):
    async def run():
        context.host = host = HostUnderTest()
        run = EngineRun("e1", 1, "zone-a")
        host.crash_log.add_crash(run, host.clock.monotonic())
        host.crash_log.add_suspects(run, make_parts("A"))
        host.crash_log.add_sound_parts(make_parts("A"))
        context.exchange = CrashLogExchange(
            host.crash_log, host.peers, host.clock, host.metrics
        )
        context.exchange.on_pull.append(host.sound_parts.send_suspects)
        await host.close()

    context.run(run())


@when("{count:d} peers fetch its crash log")
def fetch_crash_log(context, count):
    async def run():
        context.streams = [
            RecordingStream(f"peer-{number}", "zone-a") for number in range(count)
        ]
        for stream in context.streams:
            stream.known_views = {SOUND_PARTS_VIEW}
            context.host.peers.handlers[CrashLogPull](stream, CrashLogPull())

    context.run(run())


@then("each of them gets the sound part, and the host announces nothing")
def check_direct_sound_parts(context):
    (part,) = make_parts("A")
    for stream in context.streams:
        (message,) = [item for item in stream.sent if isinstance(item, SoundParts)]
        assert [name for name, _ in message.parts] == [part]
    assert context.host.gossip.sent == []
