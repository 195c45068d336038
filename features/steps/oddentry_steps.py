"""Steps on odd entries in the store, written by others."""

import asyncio
import json

from aiohttp import ClientError
from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st
from tools.rawclient import RawConnection
from tools.sharedcaller import make_headers

from sapphirerock.connection.store import decode_response
from sapphirerock.platform.configuration import decode_configuration
from sapphirerock.platform.contents import trim_content
from sapphirerock.platform.documents import LIST_SHAPES
from sapphirerock.platform.jsonparts import locate_parts
from sapphirerock.platform.names import ENGINES_KIND
from sapphirerock.platform.registrations import decode_registration
from sapphirerock.platform.storewire import decode_events_body, decode_page_body
from sapphirerock.process.peers.membership import decode_host

REGISTRATION = {
    "service": "shop",
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "born": 1,
    "seq": 0,
    "cold_ms": 0,
}
ODD_SPECS = {
    "nested 2,000 deep": '{"service": %s}' % ("[" * 2000 + "]" * 2000),
    "nested 900 deep": '{"service": %s}' % ("[" * 900 + "]" * 900),
    "with the number 1e400": '{"slots": 1e400}',
    "with a lone surrogate": '{"service": "\\ud800"}',
    "with port 99999": json.dumps({**REGISTRATION, "address": "127.0.0.1:99999"}),
    "with an address with blanks": json.dumps(
        {**REGISTRATION, "address": "127.0.0.1 :9"}
    ),
}
ODD_OBJECTS = {
    "with odd metadata": '{"metadata": {"name": "odd", "revision": 1e400}, "spec": {}}',
    "without metadata": '{"spec": {}}',
    "with a numeric name": '{"metadata": {"name": 7, "revision": 3}, "spec": {}}',
    "with a text as revision": '{"metadata": {"name": "odd", "revision": "x"}}',
    "that is a number": "7",
}
CALLS_AFTER = 20


def make_object(name, revision, spec):
    """Return the JSON text of an object with the text of its content."""
    metadata = json.dumps({"name": name, "revision": revision})
    return f'{{"metadata": {metadata}, "spec": {spec}, "status": null}}'


@given("an entry {oddity} among the engines")
def put_odd_entry(context, oddity):
    async def run():
        await context.world.cluster.inject(
            "platform", "raw-object", manner=ODD_SPECS[oddity], source="servers/i-odd"
        )
        await asyncio.sleep(0.5)

    context.run(run())


@when("another engine registers, and the first one is lost")
def replace_engine(context):
    cluster = context.world.cluster
    cluster.add_shared_engine("shop-9", "shop", "zone-a")

    async def run():
        await cluster.read_engine("shop-9")
        await asyncio.sleep(0.5)
        cluster.processes["shop-0"].kill()

    context.run(run())


async def call_stock(context, number):
    """Send one lookup; return its status."""
    edge = context.world.cluster.edges["edge-0"]
    async with RawConnection(edge) as connection:
        headers = make_headers(number, timeout_ms=1000)
        response = await connection.request("GET", f"/stock/{number}", headers)
    return response.status


@then("calls reach the new engine within {bound:d} seconds")
def check_new_engine_used(context, bound):
    async def run():
        async with asyncio.timeout(bound):
            number = 0
            while True:
                number += 1
                await call_stock(context, number)
                try:
                    runs = await context.world.cluster.read_engine_once("shop-9")
                except (ClientError, OSError):
                    runs = {"runs": ()}
                if runs["runs"]:
                    return
                await asyncio.sleep(0.05)

    context.run(run())


@then("all calls after that are served, and the host logs the odd entry once")
def check_calls_served(context):
    async def run():
        await asyncio.sleep(0.3)
        return [await call_stock(context, 1000 + n) for n in range(CALLS_AFTER)]

    statuses = context.run(run())
    assert set(statuses) == {200}, statuses
    entries = context.world.cluster.read_log_entries("edge-0")
    odd = [entry for entry in entries if entry.get("entry") == "i-odd"]
    assert len(odd) == 1, odd
    errors = [entry for entry in entries if entry["level"] in ("ERROR", "CRITICAL")]
    assert not errors, errors[:3]


@when("a {place} of the store has an object {oddity} between two others")
def decode_beside_odd(context, place, oddity):
    if oddity == "that is deleted and odd":
        odd = make_object("odd", 3, ODD_SPECS["with the number 1e400"])
    elif oddity in ODD_OBJECTS:
        odd = ODD_OBJECTS[oddity]
    else:
        odd = make_object("odd", 3, ODD_SPECS[oddity])
    spec = '{"text": "a [\\"quoted\\" {brace", "list": [1, [2]]}'
    objects = [make_object("a", 2, spec), odd, make_object("z", 4, spec)]
    if place == "list":
        body = f'{{"items": [{", ".join(objects)}], "has_more": false, "at": 9}}'
        page = decode_page_body(body.encode())
        context.decoded = {item.name: item.spec for item in page.objects}
    else:
        deleted = json.dumps(oddity == "that is deleted and odd")
        events = [f'{{"object": {item}, "deleted": {deleted}}}' for item in objects]
        body = f'{{"events": [{", ".join(events)}], "at": 9}}'
        page = decode_events_body(body.encode())
        context.decoded = {
            event.object.name: None if event.is_deleted else event.object.spec
            for event in page.events
        }
    assert page.revision == 9


@then("the two others are decoded, and the odd one {result}")
def check_decoded_beside(context, result):
    decoded = dict(context.decoded)
    if result == "is left out":
        assert "odd" not in decoded, decoded
    elif result == "has no content":
        assert decoded.pop("odd") == {}, decoded
    else:
        assert decoded == {"a": None, "odd": None, "z": None}, decoded
        return
    spec = {"text": 'a ["quoted" {brace', "list": [1, [2]]}
    assert decoded == {"a": spec, "z": spec}, decoded


@when("an engine registers with {field} {value}")
def register_with_field(context, field, value):
    spec = {**REGISTRATION, field: json.loads(value)}
    context.result = decode_registration("i-1", spec)


@then("the registration is {result}")
def check_registration(context, result):
    assert context.result.is_ok() is (result == "decoded"), context.result


SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=8),
    st.sampled_from(["ready", "draining", "127.0.0.1:9", "streaming", "a"]),
)
FIELDS = st.sampled_from(
    [
        *REGISTRATION,
        *("metadata", "name", "revision", "spec", "items", "events", "object", "at"),
        *("deleted", "has_more", "routes", "services", "limits", "tenants", "models"),
        *("availability_zone", "region", "caller_port", "peer_port", "host", "kind"),
        *("path_prefix", "split", "weight", "engine", "kv_tokens", "api_keys"),
    ]
)
DOCUMENTS = st.recursive(
    SCALARS,
    lambda children: st.one_of(
        st.lists(children, max_size=4), st.dictionaries(FIELDS, children, max_size=8)
    ),
    max_leaves=30,
)


@when(
    "random documents are decoded as lists, events, registrations, hosts and "
    "configurations"
)
def decode_random(context):
    context.count = 0
    names = [name for name in REGISTRATION if name != "service"]
    fields = st.dictionaries(st.sampled_from(names), SCALARS, max_size=3)

    @settings(max_examples=300, deadline=None, database=None, derandomize=True)
    @given_examples(document=DOCUMENTS, changes=fields)
    def decode(document, changes):
        body = json.dumps(document).encode()
        for decoder in (decode_page_body, decode_events_body):
            assert decode_response("/a", None, 200, body, decoder) is not None
        decode_registration("i-1", document)
        decode_registration("i-1", {**REGISTRATION, **changes})
        decode_configuration(document, 3)
        try:
            decode_host("a", document)
        except (KeyError, TypeError, ValueError, OverflowError):
            pass
        wrapped = {"metadata": {"name": "a", "revision": 2}, "spec": document}
        body = json.dumps({"items": [wrapped], "has_more": False, "at": 3}).encode()
        page = decode_page_body(body)
        assert [item.name for item in page.objects] == ["a"], page
        context.count += 1

    decode()


@then("each is decoded or refused")
def check_random(context):
    assert context.count >= 300


STRINGS = st.text(alphabet='[]{}",:\\ a\u00e9', max_size=12)
VALUES = st.recursive(
    st.one_of(SCALARS, STRINGS),
    lambda children: st.one_of(
        st.lists(children, max_size=4), st.dictionaries(STRINGS, children, max_size=4)
    ),
    max_leaves=20,
)


@when("random objects are written as a list, in any form and nested up to 300 deep")
def locate_random(context):
    context.count = 0

    @settings(max_examples=300, deadline=None, database=None, derandomize=True)
    @given_examples(
        contents=st.lists(st.tuples(VALUES, st.integers(0, 300)), max_size=5),
        indent=st.sampled_from([None, 0, 2]),
        is_ascii=st.booleans(),
    )
    def locate(contents, indent, is_ascii):
        texts = []
        for number, (value, depth) in enumerate(contents):
            value = json.dumps(value, indent=indent, ensure_ascii=is_ascii)
            texts.append(
                make_object(f"i-{number}", 1, "[" * depth + value + "]" * depth)
            )
        body = f' {{"at": 3, "items" : [ {" , ".join(texts)} ], "has_more": false}} '
        body = body.encode()
        parts = locate_parts(body, LIST_SHAPES["items"]).parts
        assert parts.keys() == {"at", "items", "has_more"}, parts
        located = [part.get_text(body).decode() for part in parts["items"].parts]
        assert located == texts, (located, texts)
        for part in parts["items"].parts:
            assert part.parts.keys() == {"metadata", "spec", "status"}, part
        context.count += 1

    locate()


@then("each is located as it was written")
def check_located(context):
    assert context.count >= 300


REGISTRATIONS = {
    "as it is": REGISTRATION,
    "with 1,000 more members": {**REGISTRATION, **{str(i): [] for i in range(1000)}},
    "with 1,000 models": {**REGISTRATION, "models": [{"name": "m"}] * 1000},
    "draining": {**REGISTRATION, "state": "draining"},
    "without a start time": {
        name: value for name, value in REGISTRATION.items() if name != "born"
    },
    "with a list as slots": {**REGISTRATION, "slots": [{}] * 1000},
    "that is a list": [REGISTRATION],
    "without content": {},
}


@when("a peer sends a registration {registration}")
def trim_from_peer(context, registration):
    context.whole = REGISTRATIONS[registration]
    context.trimmed = trim_content(ENGINES_KIND, "i-1", context.whole)
    again = trim_content(ENGINES_KIND, "i-1", context.trimmed)
    assert again == context.trimmed, again


@then("hosts keep at most {fields:d} fields and {size} bytes of it")
def check_kept(context, fields, size):
    assert len(context.trimmed) <= fields, context.trimmed
    assert len(json.dumps(context.trimmed)) <= int(size.replace(",", ""))


@then("a host that does not trim registrations decodes it {result}")
def check_decoded_alike(context, result):
    whole = decode_registration("i-1", context.whole)
    trimmed = decode_registration("i-1", context.trimmed)
    assert trimmed.is_ok() is (result == "alike"), trimmed
    assert whole.is_ok() is trimmed.is_ok(), whole
    if result == "alike":
        assert trimmed.ok == whole.ok, (whole.ok, trimmed.ok)
