"""Steps on prompt parts that crash the engines that begin to write on them."""

import asyncio

from behave import given, then, when
from tools.rawclient import RawConnection
from tools.sharedcaller import make_headers

from features.steps.edge_steps import list_all_runs
from features.steps.stream_steps import start_model_engines

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
