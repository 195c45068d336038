"""The engines' side of their protocol, for stand-ins of engines."""

from dataclasses import dataclass

import orjson

from sapphirerock.platform.ingress import parse_number
from sapphirerock.platform.names import (
    ATTEMPT_ID,
    BACKUP,
    CONTINUE_FROM,
    EXPECTED_INSTANCE,
    INSTANCE,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    ORGANISATION,
    PROMPT_PARTS,
    SEAL,
    TOKEN_USAGE,
)


@dataclass(slots=True, frozen=True)
class EngineRequestTerms:
    """What a request's head asks of an engine.

    Parameters
    ----------
    expected : str or None
        The engine that it is meant for.
    prompt_tokens : int
        Tokens of the prompt.
    output_events : int or None
        Events of the answer; None for a call that is answered whole.
    last_event_id : int
        Event after which a stream goes on; 0 for a whole one.
    backup : str or None
        Address of the engine that keeps a copy.
    copy_name : str or None
        Name of the copy that the run goes on from.
    content_key : str
        What the content of a stream depends on.
    """

    attempt_id: str
    expected: str | None
    organisation: str | None
    prompt_tokens: int
    output_events: int | None
    last_event_id: int
    backup: str | None
    copy_name: str | None
    content_key: str


def read_request(headers):
    """Decode a request's head."""
    tokens, separator, output = headers.get(TOKEN_USAGE, "").partition(",")
    source = headers.get(CONTINUE_FROM)
    return EngineRequestTerms(
        attempt_id=headers.get(ATTEMPT_ID, ""),
        expected=headers.get(EXPECTED_INSTANCE),
        organisation=headers.get(ORGANISATION),
        prompt_tokens=parse_number(tokens) or 0,
        output_events=(parse_number(output) or 0) if separator else None,
        last_event_id=parse_number(headers.get(LAST_EVENT_ID)) or 0,
        backup=headers.get(BACKUP),
        copy_name=source.rpartition("/")[2] if source else None,
        content_key=headers.get(PROMPT_PARTS, ""),
    )


@dataclass(slots=True, frozen=True)
class MoveRequest:
    """Which run is to be copied where."""

    attempt_id: str
    target: str


def read_move(body):
    """Decode a request to copy a run."""
    document = orjson.loads(body)
    return MoveRequest(document["id"], document["target"])


def make_answer_headers(attempt_id, engine_id, has_run):
    """Return the head of an answer."""
    headers = {ATTEMPT_ID: attempt_id, INSTANCE: engine_id}
    if has_run:
        headers[SEAL] = f"{engine_id}.{attempt_id}"
    else:
        headers[NOT_EXECUTED] = "1"
    return headers


def encode_registration(traits, address, is_leaving, born_ms):
    """Return the content of an engine's entry in the store."""
    return {
        "service": traits.service,
        "address": address,
        "zone": traits.zone,
        "version": "v1",
        "slots": traits.slots,
        "state": "draining" if is_leaving else "ready",
        "cold_ms": 0,
        "seq": 0,
        "born": born_ms,
    }


def encode_report(born_ms, running):
    """Return the body of an engine's report of itself."""
    return orjson.dumps({"born": born_ms, "running": running, "waiting": 0})
