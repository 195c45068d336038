"""Steps on large entries in the store, written by others."""

import asyncio
import json
import time

from behave import then, when
from tools.rawclient import RawConnection
from tools.sharedcaller import make_headers

from features.steps.callercrowd_steps import EDGE, ORDER, watch_files
from features.steps.oddentry_steps import REGISTRATION, make_object
from sapphirerock.platform.names import ENGINES_KIND
from sapphirerock.platform.storewire import decode_events_body, decode_page_body

# The platform's limit on an order's time, and what it allows beyond.
ORDER_TIMEOUT_MS = 1000
ORDER_INTERVAL_S = 0.05
HEARTBEAT_S = 1.2
SETTLING_S = 1.0
LOG_TIMEOUT_S = 5.0
FIRST_ORDER = 30_000
SURROGATE = '"\\ud800"'


def fill_spec(size, field, beginning, unit, end, **others):
    """Return the JSON text of a registration of `size` bytes at most.

    Parameters
    ----------
    field : str
        Name of the field that is filled.
    beginning, unit, end : str
        Text of the field's value; `unit` is repeated.
    """
    names = {name: value for name, value in REGISTRATION.items() if name != field}
    rest = json.dumps({**names, **others})[1:]
    spec = f'{{"{field}": {beginning}%s{end}, {rest}'
    return spec.replace("%s", unit * ((size - len(spec)) // len(unit)))


def nest(size, opening, closing, inside=""):
    """Return the JSON text of a registration with a field nested as deep as it goes."""
    levels = (size - 300 - len(inside)) // (len(opening) + len(closing))
    value = opening * levels + (inside or "0") + closing * levels
    return fill_spec(size, "slots", value, " ", "")


CONTENTS = {
    "a long text and an unpaired surrogate": lambda size: fill_spec(
        size, "service", '"\\ud800', "v", '"'
    ),
    "escapes after an unpaired surrogate": lambda size: fill_spec(
        size, "service", '"\\ud800', "\\u0041", '"'
    ),
    "numbers after an unpaired surrogate": lambda size: fill_spec(
        size, "service", f"[{SURROGATE}", ",0", "]"
    ),
    "arrays within each other": lambda size: nest(size, "[", "]"),
    "objects within each other": lambda size: nest(size, '{"":', "}"),
    "a comb of arrays": lambda size: nest(size, "[[],", "]"),
    "deep arrays with many strings": lambda size: fill_spec(
        size, "slots", "[" * 1500, '"",', "0" + "]" * 1500
    ),
    "a list of empty objects as slots": lambda size: fill_spec(
        size, "slots", "[", "{},", "{}]"
    ),
    "arrays of a few levels as slots": lambda size: fill_spec(
        size, "slots", "[", "[" * 18 + "]" * 18 + ",", "0]"
    ),
    "a list of empty objects nobody reads": lambda size: fill_spec(
        size, "note", "[", "{},", "{}]"
    ),
    "many models": lambda size: fill_spec(
        size, "models", "[", '{"name": "model"}, ', '{"name": "last"}]'
    ),
    "many members": lambda size: fill_spec(size, "note", "[", '{"a":0},', '{"a":0}]'),
}


async def write_entry(context, number, spec):
    """Write an entry of another writer for an address where nothing listens."""
    address = f'"127.0.9.{number + 1}:9"'
    spec = spec.replace(json.dumps(REGISTRATION["address"]), address)
    await context.world.cluster.inject(
        "platform", "raw-object", manner=spec, source=f"{ENGINES_KIND}/w-{number}"
    )


async def send_order(context, number):
    """Send an order; return its status and the seconds until its response."""
    began_s = time.monotonic()
    headers = make_headers(number, 0, timeout_ms=3 * ORDER_TIMEOUT_MS)
    async with RawConnection(context.world.cluster.edges[EDGE]) as connection:
        connection.send("POST", ORDER, headers, b"wool")
        response = await connection.read_response(3 * ORDER_TIMEOUT_MS / 1000)
    return response.status, time.monotonic() - began_s


async def send_orders(context):
    """Send orders at a steady rate, whether or not others are answered."""
    context.orders = []
    while True:
        number = FIRST_ORDER + len(context.orders)
        context.orders.append(asyncio.ensure_future(send_order(context, number)))
        await asyncio.sleep(ORDER_INTERVAL_S)


@when(
    "{count:d} entries of {size:d} bytes are written among the engines, and change "
    "{changes:d} times: {content}"
)
def write_changing_entries(context, count, size, changes, content):
    # Of other services than the orders', so that they get none.
    spec = CONTENTS[content](size).replace('"shop"', '"away"')
    assert len(spec) <= size

    async def run():
        watch = asyncio.ensure_future(watch_files(context))
        orders = asyncio.ensure_future(send_orders(context))
        for _ in range(1 + changes):
            for number in range(count):
                await write_entry(context, number, spec)
            await asyncio.sleep(HEARTBEAT_S)
        await asyncio.sleep(SETTLING_S)
        for task in (orders, watch):
            task.cancel()
        await asyncio.wait((orders, watch))
        context.answers = await asyncio.gather(*context.orders, return_exceptions=True)

    context.run(run())


@when("{count:d} entries of {size:d} bytes are written among the engines at once")
def write_entries_at_once(context, count, size):
    spec = CONTENTS["a list of empty objects as slots"](size)

    async def run():
        await asyncio.gather(
            *(write_entry(context, number, spec) for number in range(count))
        )

    context.run(run())


@then("every order is served, at most {bound:f} s after it was sent")
def check_orders_served(context, bound):
    assert context.answers
    failed = [
        answer
        for answer in context.answers
        if isinstance(answer, BaseException) or answer[0] != 200 or answer[1] > bound
    ]
    assert not failed, (len(failed), len(context.answers), failed[:5])
    print(f"slowest {max(taken_s for _, taken_s in context.answers):.3f} s")


@when(
    "a list and a watch have an entry of {size:d} bytes between two others: {content}"
)
def read_large_entry(context, size, content):
    spec = CONTENTS[content](size)
    assert len(spec) <= size
    sound = json.dumps(REGISTRATION)
    objects = [
        make_object(name, revision, text)
        for revision, (name, text) in enumerate(
            (("a", sound), ("odd", spec), ("z", sound)), 2
        )
    ]
    events = [f'{{"object": {item}, "deleted": false}}' for item in objects]
    bodies = {
        decode_page_body: f'{{"items": [{",".join(objects)}], "has_more": false,',
        decode_events_body: f'{{"events": [{",".join(events)}],',
    }
    context.taken_s, context.names = [], []
    for decode, body in bodies.items():
        body = f'{body} "at": 9}}'.encode()
        began_s = time.process_time()
        decoded = decode(body, kind=ENGINES_KIND)
        context.taken_s.append(time.process_time() - began_s)
        context.names.append(list_contents(decoded))


def list_contents(decoded):
    """Return the contents of the objects of a page, or of the events of a watch."""
    if hasattr(decoded, "objects"):
        return {item.name: item.spec for item in decoded.objects}
    return {event.object.name: event.object.spec for event in decoded.events}


@then("each of them is read within {bound:f} s of processor time")
def check_reading_time(context, bound):
    print([round(taken_s, 3) for taken_s in context.taken_s])
    assert max(context.taken_s) < bound, context.taken_s


@then("the two others are decoded")
def check_others_decoded(context):
    for contents in context.names:
        assert contents.keys() == {"a", "odd", "z"}, list(contents)
        for name in ("a", "z"):
            assert contents[name]["address"] == REGISTRATION["address"], contents


@then('the edge logs "{event}"')
def check_logged(context, event):
    cluster = context.world.cluster

    async def run():
        async with asyncio.timeout(LOG_TIMEOUT_S):
            while not any(
                event in entry.get("event", entry.get("message", ""))
                for entry in cluster.read_log_entries(EDGE)
            ):
                await asyncio.sleep(0.1)

    context.run(run())
