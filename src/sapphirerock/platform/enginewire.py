"""Engine side of the platform's protocol, which the stand-in engines use."""

from dataclasses import dataclass

import orjson

from sapphirerock.platform.ingress import parse_number
from sapphirerock.platform.names import (
    ATTEMPT_ID,
    EXPECTED_INSTANCE,
    INSTANCE,
    KV_BACKUP,
    KV_SOURCE,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    ORGANISATION,
    PROMPT_PARTS,
    REFUSAL_TOLERANCE,
    REQUEST_LIMIT,
    RESPONSE_SEAL,
    TOKEN_USAGE,
)


@dataclass(slots=True, frozen=True)
class EngineRequestMetadata:
    """Metadata of a request to an engine, decoded from its headers.

    Parameters
    ----------
    expected : str or None
        Id of the engine that the request is meant for; None if it names none.
    prompt_tokens : int
        Number of tokens of the prompt.
    output_events : int or None
        Number of events to stream; None for a call without streaming.
    last_event_id : int
        Event after which the stream resumes; 0 for a stream from its start.
    backup : str or None
        Address of the engine that keeps a KV copy of the run.
    copy_name : str or None
        Name of the KV copy that the run resumes from.
    content_key : str
        Key that determines the content of the stream.
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


def decode_request_headers(headers):
    """Decode the headers of a request to an engine."""
    tokens, separator, output = headers.get(TOKEN_USAGE, "").partition(",")
    source = headers.get(KV_SOURCE)
    return EngineRequestMetadata(
        attempt_id=headers.get(ATTEMPT_ID, ""),
        expected=headers.get(EXPECTED_INSTANCE),
        organisation=headers.get(ORGANISATION),
        prompt_tokens=parse_number(tokens) or 0,
        output_events=(parse_number(output) or 0) if separator else None,
        last_event_id=parse_number(headers.get(LAST_EVENT_ID)) or 0,
        backup=headers.get(KV_BACKUP),
        copy_name=source.rpartition("/")[2] if source else None,
        content_key=headers.get(PROMPT_PARTS, ""),
    )


@dataclass(slots=True, frozen=True)
class RunCopyRequest:
    """Request to copy the KV memory of a run to another engine.

    Parameters
    ----------
    target : str
        Address of the other engine.
    """

    attempt_id: str
    target: str


def decode_copy_request(body):
    """Decode the body of a request to copy a run."""
    document = orjson.loads(body)
    return RunCopyRequest(document["id"], document["target"])


def make_response_headers(
    attempt_id, engine_id, was_executed, limit="", refusal_tolerance=""
):
    """Return the headers of a response, with a seal if the engine executed the call.

    Parameters
    ----------
    attempt_id : str
        Id of the attempt that the response belongs to.
    engine_id : str
        Id of the engine.
    was_executed : bool
        Whether the engine executed the call.
    limit : str
        Requests per second that the engine accepts; empty for no limit.
    refusal_tolerance : str
        Requests that the engine may turn away in a second before it crashes; empty if
        it never does.
    """
    headers = {ATTEMPT_ID: attempt_id, INSTANCE: engine_id}
    if limit:
        headers[REQUEST_LIMIT] = limit
    if refusal_tolerance:
        headers[REFUSAL_TOLERANCE] = refusal_tolerance
    if was_executed:
        headers[RESPONSE_SEAL] = f"{engine_id}.{attempt_id}"
    else:
        headers[NOT_EXECUTED] = "1"
    return headers


def encode_registration(traits, version, address, is_draining, born_ms):
    """Return the content of an engine's registration in the store.

    Parameters
    ----------
    traits : EngineTraits
        Fixed properties of the engine.
    version : str
        Software version of the engine.
    address : str
        Address as ``ip:port``.
    is_draining : bool
        Whether the engine is draining.
    born_ms : int
        Start time of the engine as Unix time in milliseconds.
    """
    return {
        "service": traits.service,
        "address": address,
        "zone": traits.zone,
        "version": version,
        "slots": traits.slots,
        "state": "draining" if is_draining else "ready",
        "cold_ms": 0,
        "seq": 0,
        "born": born_ms,
    }


def encode_report(born_ms, running):
    """Return the body of an engine's status report.

    Parameters
    ----------
    born_ms : int
        Start time of the engine as Unix time in milliseconds.
    running : int
        Number of calls that the engine runs.
    """
    return orjson.dumps({"born": born_ms, "running": running, "waiting": 0})
