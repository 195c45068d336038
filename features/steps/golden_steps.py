"""Steps that compare sessions with their recordings.

Run with SAPPHIREROCK_WRITE_GOLDEN=1 in the environment to record the sessions again.
"""

import asyncio
import json
import os
from pathlib import Path

from behave import given, then, when

from features.steps.recovery_steps import LOSSES

RECORDINGS = Path(__file__).resolve().parent.parent / "golden"
TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"
COMPARED_HEADERS = ("Content-Type", "Cache-Control", "Sapphirerock-Outcome")
ENGINE_SALT = 7
IDEMPOTENCY_KEY = "recorded"
# After a router is lost, the router that takes over either finds a journal holder in
# time or sends the journal to one later. Which of the two happens depends on the speed
# of the machine, so sessions with a lost router are compared without this span.
TIMING_DEPENDENT_SPAN = "peer JournalBackfill"
ENGINE_OPTIONS = {"salt": ENGINE_SALT, "token_interval": 0.02}
ZONES = (("zone-a", "region-a"), ("zone-b", "region-a"))


@given(
    "two zones with {routers:d} routers each, {engines:d} engines with one salt, and "
    "tracing"
)
def start_traced(context, routers, engines):
    world = context.world
    hosts = [(f"r{number + 1}", *ZONES[number % 2]) for number in range(2 * routers)]
    world.trace_routers = True
    context.run(
        world.start(
            hosts,
            [
                (f"e{number + 1}", *ZONES[number % 2], ENGINE_OPTIONS)
                for number in range(engines)
            ],
        )
    )


@when(
    "a traced generation of {count:d} tokens is read, with this loss after {tokens:d} "
    "tokens: {loss}"
)
def read_traced(context, count, tokens, loss):
    world = context.world

    async def run():
        hosts = world.cluster.list_routers()
        world.begin_generation(
            "a recorded session", count, *hosts, idempotency_key=IDEMPOTENCY_KEY
        )
        world.callers[-1].traceparent = TRACEPARENT
        world.step_data["engine"] = await world.find_busy_engine()
        await world.wait_tokens(tokens)
        if loss != "nothing":
            await LOSSES[loss](world)
        (context.record,) = await world.finish_calls()
        # A span is written when it ends, and the last ones end after the response.
        await asyncio.sleep(0.3)

    context.run(run())


@then("the session matches the recording {name}")
def compare_session(context, name):
    record = context.record
    assert record.is_whole, (record.status, record.problem)
    spans = list_span_pairs(context.world.cluster.folder)
    if len(record.router_urls) > 1:
        spans = {span for span in spans if not span.startswith(TIMING_DEPENDENT_SPAN)}
    session = {
        "connections": [
            {header: headers.get(header) for header in COMPARED_HEADERS}
            for headers in record.headers
        ],
        "generations": len(record.generation_ids),
        "tokens": record.tokens,
        "text": "".join(record.texts),
        "done": {
            "tokens_total": record.tokens_total,
            "finish_reason": record.finish_reason,
        },
        "spans": sorted(spans),
    }
    path = RECORDINGS / f"{name}.json"
    if os.environ.get("SAPPHIREROCK_WRITE_GOLDEN"):
        path.write_text(json.dumps(session, indent=1) + "\n")
    recorded = json.loads(path.read_text())
    assert session == recorded, json.dumps(session)[:2000]


def list_span_pairs(folder):
    """Return the distinct pairs of span name and parent name in the trace."""
    spans = {}
    for path in folder.glob("*.spans"):
        for line in path.read_text().splitlines():
            span = json.loads(line)
            if span["context"]["trace_id"].removeprefix("0x") == TRACE_ID:
                spans[span["context"]["span_id"]] = span
    return {
        f"{span['name']} < {get_parent_name(span, spans)}" for span in spans.values()
    }


def get_parent_name(span, spans):
    """Return the name of a span's parent, "elsewhere" when no router wrote it."""
    parent = spans.get(span["parent_id"])
    return parent["name"] if parent else "elsewhere"
