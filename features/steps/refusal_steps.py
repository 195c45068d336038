"""Steps on crashes of engines that were caused by refusals."""

import asyncio

from behave import when

from features.steps.poison_steps import (
    BORN_MS,
    SETTLE_S,
    PendingAttempt,
    register_in,
    report_crash,
)
from sapphirerock.decisions.crashlog import REFUSALS_MARK, CrashLogRecords
from sapphirerock.process.engines.crashwatch import fingerprint_call
from sapphirerock.process.peers.gossip import CrashSuspectsUpdate

ENGINE = "e1"
ZONE = "zone-a"
TOLERANCE = 4.0
EVENTS = {}


def lose_call(host, call):
    """Lose a call whose engine refuses new connections."""
    host.crash_watch.investigate(host.engines.get(ENGINE), call)


def record_refusals(host, count, born_ms=BORN_MS):
    for _ in range(count):
        host.crash_watch.record_refusal(ENGINE, born_ms)


def report_refusals(host):
    """Deliver the report of another host that refusals caused the crash."""
    host.gossip.deliver(CrashSuspectsUpdate(ENGINE, BORN_MS, ZONE, 0, [REFUSALS_MARK]))


@register_in(EVENTS, "the call is lost")
async def lose(host, call):
    lose_call(host, call)


@register_in(EVENTS, "2 refusals are followed by the loss of the call")
async def refuse_and_lose(host, call):
    record_refusals(host, 2)
    lose_call(host, call)


@register_in(EVENTS, "the loss of the call is followed by 2 refusals")
async def lose_and_refuse(host, call):
    lose_call(host, call)
    await asyncio.sleep(0.2)
    record_refusals(host, 2)


@register_in(EVENTS, "1 refusal is followed by the loss of the call")
async def refuse_once(host, call):
    record_refusals(host, 1)
    lose_call(host, call)


@register_in(EVENTS, "4 refusals are followed 3 seconds later by the loss of the call")
async def refuse_long_before(host, call):
    record_refusals(host, 4)
    await asyncio.sleep(3.0)
    lose_call(host, call)


@register_in(
    EVENTS, "2 refusals of an earlier start are followed by the loss of the call"
)
async def refuse_before_start(host, call):
    record_refusals(host, 2, BORN_MS - 1)
    lose_call(host, call)


@register_in(EVENTS, "another host reports refusals before the loss of the call")
async def report_and_lose(host, call):
    report_refusals(host)
    lose_call(host, call)


@register_in(EVENTS, "another host reports refusals after the loss of the call")
async def lose_and_report(host, call):
    lose_call(host, call)
    await asyncio.sleep(0.2)
    report_refusals(host)


@register_in(
    EVENTS, "another host's log with refusals is merged after the loss of the call"
)
async def lose_and_merge(host, call):
    PendingAttempt(host.engines.get(ENGINE), call)
    report_crash(host, host.engines.get(ENGINE))
    assert host.crash_log.count_crashes(fingerprint_call(call)) == 1
    crash = [ENGINE, BORN_MS, ZONE, 0, [REFUSALS_MARK]]
    host.crash_log.merge(CrashLogRecords([crash], []))


@when("{events} on an engine that tolerates 4 refusals")
def make_events(context, events):
    async def run():
        host = context.host
        host.add_engine(ENGINE).refusal_tolerance = TOLERANCE
        await EVENTS[events](host, context.call)
        await asyncio.sleep(SETTLE_S)
        await host.close()

    context.run(run())
