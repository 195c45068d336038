"""Steps on rate limits of organisations."""

import asyncio
import time

from behave import given, then, when
from tools.localcluster import ORGANISATION_KEY, hash_key

ZONES = (("zone-a", "region-a"), ("zone-b", "region-a"))
CHECK_PATH = "/v1/services/stock/check"
TOO_MANY_REQUESTS = 429


@given(
    "two linked zones with {routers:d} routers each and a limit of {limit:d} requests "
    "a second"
)
def start_with_limit(context, routers, limit):
    world = context.world
    hosts = [(f"r{number + 1}", *ZONES[number % 2]) for number in range(2 * routers)]
    services = [(f"s{number + 1}", *zone, {}) for number, zone in enumerate(ZONES)]

    async def run():
        await world.start(hosts, (), services, linked=True)
        path = "team/organisations/main"
        status = await world.cluster.read_status("r1")
        document = {
            "kind": "organisations",
            "organisations": [
                {
                    "name": "weavers",
                    "key_sha256": hash_key(ORGANISATION_KEY),
                    "requests_per_s": limit,
                }
            ],
        }
        version = status["settings"][f"settings/{path}"]
        response_status, response = await world.cluster.put_settings(
            path, document, version
        )
        assert response_status == 200, response
        assert not await world.cluster.wait_in_force(response["version"])

    context.run(run())


@when(
    "callers send {rate:d} requests a second, three quarters of them to r1, for "
    "{seconds:d} seconds"
)
def send_uneven_load(context, rate, seconds):
    hosts = context.world.cluster.list_routers()
    context.run(send_checks(context, rate, seconds, ["r1"] * 9 + hosts[1:]))


@when("callers send {rate:d} requests a second to all hosts for {seconds:d} seconds")
def send_even_load(context, rate, seconds):
    context.rate = rate
    context.run(
        send_checks(context, rate, seconds, context.world.cluster.list_routers())
    )


@when(
    "zone-b is cut off from everything while the callers continue for {seconds:d} "
    "seconds"
)
def send_while_cut(context, seconds):
    cluster = context.world.cluster

    async def run():
        await cluster.switch_platform_links("cut", "zone-b")
        await cluster.switch_zone_links("cut", "zone-a", "zone-b")
        await send_checks(context, context.rate, seconds, cluster.list_routers())

    context.run(run())


async def send_checks(context, rate, seconds, hosts):
    """Send checks, which are idempotent calls, at a constant rate to hosts in turn.

    Sets ``context.results`` to (planned time in s, status, Retry-After, duration in s)
    of each check.
    """
    context.results = []
    started_s = time.monotonic()

    async def send_one(number):
        at_s = number / rate
        await asyncio.sleep(max(0.0, started_s + at_s - time.monotonic()))
        sent_s = time.monotonic()
        status, headers, _ = await context.world.call(
            "GET", CHECK_PATH, host=hosts[number % len(hosts)]
        )
        took_s = time.monotonic() - sent_s
        context.results.append((at_s, status, headers.get("Retry-After"), took_s))

    await asyncio.gather(*(send_one(number) for number in range(rate * seconds)))
    context.duration_s = seconds


def compute_admitted_rate(context, start_s):
    """Return the admitted checks a second from `start_s` to the end of the load."""
    admitted = sum(
        status == 200 and at_s >= start_s for at_s, status, _, _ in context.results
    )
    return admitted / (context.duration_s - start_s)


@then("from second {start:d} on the admitted rate is within 10 percent of {limit:d}")
def check_rate_near_limit(context, start, limit):
    rate = compute_admitted_rate(context, start)
    assert abs(rate - limit) <= 0.1 * limit, rate


@then("from second {start:d} on the admitted rate is no more than {limit:d}")
def check_highest_rate(context, start, limit):
    rate = compute_admitted_rate(context, start)
    assert rate <= limit, rate


@then("all refusals had Retry-After, and half of them came within 0.5 seconds")
def check_refusals(context):
    refused = [item for item in context.results if item[1] == TOO_MANY_REQUESTS]
    assert refused
    assert all(int(retry_after) >= 1 for _, _, retry_after, _ in refused)
    assert sorted(took_s for _, _, _, took_s in refused)[len(refused) // 2] < 0.5
