"""Steps that compare whole sessions with recorded ones.

With SAPPHIREROCK_WRITE_GOLDEN=1 in the environment the sessions are recorded.
"""

import asyncio
import json
import os
from pathlib import Path

from behave import given, then, when

from features.steps.recovery_steps import LOSSES

GOLDEN = Path(__file__).resolve().parent.parent / "golden"
TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"
HEADERS = ("Content-Type", "Cache-Control", "Sapphirerock-Outcome")
SALT = 7
KEY = "recorded"
# Whether the host that takes over finds a holder within its bound, or gives the
# journal to one later, depends on the machine; only a lost router brings this about.
UNSTEADY_SPAN = "peer JournalBackfill"
ENGINE = {"salt": SALT, "token_interval": 0.02}
PLACES = (("zone-a", "region-a"), ("zone-b", "region-a"))


@given(
    "two zones with {routers:d} routers each, {engines:d} engines that choose alike, "
    "and traces"
)
def start_traced(context, routers, engines):
    world = context.world
    hosts = [(f"r{number + 1}", *PLACES[number % 2]) for number in range(2 * routers)]
    world.trace_routers = True
    context.run(
        world.start(
            hosts,
            [
                (f"e{number + 1}", *PLACES[number % 2], ENGINE)
                for number in range(engines)
            ],
        )
    )


@when(
    "a traced generation of {count:d} tokens is read and after {tokens:d} tokens there "
    "is {loss}"
)
def read_traced(context, count, tokens, loss):
    world = context.world

    async def run():
        hosts = world.cluster.list_routers()
        world.begin_generation("a recorded session", count, *hosts, key=KEY)
        world.callers[-1].traceparent = TRACEPARENT
        world.notes["engine"] = await world.find_busy_engine()
        await world.wait_tokens(tokens)
        if loss != "nothing":
            await LOSSES[loss](world)
        (context.record,) = await world.finish_calls()
        # Spans are written as they end; the last ones end after the answer.
        await asyncio.sleep(0.3)

    context.run(run())


@then("the session is as recorded in {name}")
def compare_session(context, name):
    record = context.record
    assert record.is_whole, (record.status, record.problem)
    spans = read_spans(context.world.cluster.folder)
    if len(record.router_urls) > 1:
        spans = {span for span in spans if not span.startswith(UNSTEADY_SPAN)}
    session = {
        "connections": [
            {header: headers.get(header) for header in HEADERS}
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
    path = GOLDEN / f"{name}.json"
    if os.environ.get("SAPPHIREROCK_WRITE_GOLDEN"):
        path.write_text(json.dumps(session, indent=1) + "\n")
    recorded = json.loads(path.read_text())
    assert session == recorded, json.dumps(session)[:2000]


def read_spans(folder):
    """Return each kind of span of the trace once, with the kind of its parent."""
    spans = {}
    for path in folder.glob("*.spans"):
        for line in path.read_text().splitlines():
            span = json.loads(line)
            if span["context"]["trace_id"].removeprefix("0x") == TRACE_ID:
                spans[span["context"]["span_id"]] = span
    return {f"{span['name']} < {name_parent(span, spans)}" for span in spans.values()}


def name_parent(span, spans):
    """Return the name of a span's parent, the caller's own for the first."""
    parent = spans.get(span["parent_id"])
    return parent["name"] if parent else "elsewhere"
