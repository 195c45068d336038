"""Steps that decode the data formats of the platform."""

from pathlib import Path

import orjson
from behave import then, when
from multidict import CIMultiDict

from sapphirerock.connection.eventsplitter import EventMalformed, EventSplitter
from sapphirerock.platform.configuration import decode_configuration
from sapphirerock.platform.ingress import decode_call_metadata
from sapphirerock.platform.registrations import decode_registration
from sapphirerock.platform.settingsfile import decode_profile
from sapphirerock.platform.storewire import decode_events_body, decode_page_body

GOLDEN_FOLDER = Path(__file__).resolve().parent.parent / "golden" / "platform"
DECODERS = {
    "settings": lambda document: decode_profile(orjson.dumps(document)),
    "configuration": lambda document: decode_configuration(document, 42),
    "registration": lambda document: decode_registration("i-7f3a91c2", document),
}


def read_golden(name):
    """Return a decoded golden file of the platform's data formats."""
    return orjson.loads((GOLDEN_FOLDER / f"{name}.json").read_bytes())


def find_field(value, path):
    """Return the field at a dotted path of attributes, keys and indices."""
    for part in path.split("."):
        if isinstance(value, dict):
            value = value[part]
        elif isinstance(value, tuple | list):
            value = value[int(part)]
        else:
            value = getattr(value, part)
    return value


def set_field(document, path, value):
    """Set the field at a dotted path of keys and indices."""
    *parents, last = path.split(".")
    for part in parents:
        document = document[int(part) if isinstance(document, list) else part]
    document[last] = value


@when("the golden page is decoded")
def decode_page(context):
    context.decoded = decode_page_body((GOLDEN_FOLDER / "page.json").read_bytes())


@when("the golden events are decoded")
def decode_events(context):
    context.decoded = decode_events_body((GOLDEN_FOLDER / "events.json").read_bytes())


@when("the golden {name:w} is decoded with {path} set to {value}")
def decode_modified(context, name, path, value):
    document = read_golden(name)
    set_field(document, path, orjson.loads(value))
    context.decoding_result = DECODERS[name](document)


@when("the golden settings are decoded without listen.control")
def decode_without_control_address(context):
    document = read_golden("settings")
    del document["listen"]["control"]
    context.decoded = DECODERS["settings"](document).ok


@when("the golden settings are decoded")
def decode_settings(context):
    context.decoded = DECODERS["settings"](read_golden("settings")).ok


@when("the golden {name:w} is decoded")
def decode_golden(context, name):
    context.decoded = DECODERS[name](read_golden(name)).ok


@when("these request headers are decoded")
def decode_request_headers(context):
    headers = CIMultiDict((row["name"], row["value"]) for row in context.table)
    context.decoded = decode_call_metadata(headers)


@then("the decoded fields are")
def check_fields(context):
    for row in context.table:
        found = str(find_field(context.decoded, row["field"]))
        assert found == row["value"], (row["field"], found)


@then("decoding fails")
def check_decoding_fails(context):
    assert context.decoding_result.is_error(), context.decoding_result


@when("the bytes {text} are split in pieces of {size:d}")
def split_events(context, text, size):
    data = text.replace("\\n", "\n").replace("\\r", "\r").encode()
    splitter = EventSplitter()
    context.events, context.failure = [], None
    try:
        for start in range(0, len(data), size):
            context.events += splitter.feed(data[start : start + size])
    except EventMalformed as error:
        context.failure = error
    context.has_partial_event = splitter.has_partial_event


@then("they are refused as malformed, after {count:d} events")
def check_malformed(context, count):
    assert context.failure is not None
    assert len(context.events) == count, context.events


@then("the events are {events} and a partial event remains: {partial:w}")
def check_events(context, events, partial):
    assert context.failure is None, context.failure
    found = [
        "-" if item.number is None else str(item.number) for item in context.events
    ]
    assert ",".join(found) == events, found
    assert context.has_partial_event == (partial == "yes")
