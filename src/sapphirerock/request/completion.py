"""Decoding and validation of completion requests, and of the event ids of streams."""

import hashlib
from dataclasses import dataclass

import orjson
from expression import Error, Ok

from sapphirerock.request.problem import MALFORMED, Problem
from sapphirerock.version.faults import Schema

MAX_PROMPT_CHARS = 4 << 20
MAX_OUTPUT_TOKENS = 1 << 17
# An event id is "generation:offset:branch@holder".
ID_SEPARATOR = ":"
HINT_SEPARATOR = "@"

SCHEMA = Schema(
    {
        "type": "object",
        "properties": {
            "model": {"type": "string", "minLength": 1},
            "prompt": {"type": "string", "maxLength": MAX_PROMPT_CHARS},
            "max_tokens": {
                "type": "integer",
                "minimum": 1,
                "maximum": MAX_OUTPUT_TOKENS,
            },
            "stream": {"type": "boolean"},
            "priority": {"type": "integer", "minimum": 0, "maximum": 9},
            "seed": {"type": "integer"},
        },
        "required": ["model", "prompt", "max_tokens"],
    }
)


@dataclass(slots=True, frozen=True)
class CompletionRequest:
    """The body of ``POST /v1/completions``.

    Parameters
    ----------
    max_tokens : int
        Maximum number of output tokens.
    stream : bool
        Whether the tokens are sent as server-sent events.
    priority : int
        From 0 to 9; higher priorities are served first.
    seed : int or None
        Seed of the random sampling of tokens.
    digest : bytes
        Digest of the fields that determine the output.
    """

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    priority: int
    seed: int | None
    digest: bytes


@dataclass(slots=True, frozen=True)
class EventPosition:
    """Position in a generation, encoded as the id of a server-sent event.

    Parameters
    ----------
    generation_id : str
        Id of the generation.
    offset : int
        Offset of the last token in the event.
    branch : str
        Branch of the driver that sent the event.
    holder : str
        Host that holds the journal of the generation; empty if there is none.
    """

    generation_id: str
    offset: int
    branch: str = ""
    holder: str = ""

    def encode(self):
        """Return the position as an event id."""
        hint = f"{self.branch}{HINT_SEPARATOR}{self.holder}"
        return ID_SEPARATOR.join((self.generation_id, str(self.offset), hint))


def parse_position(text):
    """Decode a ``Last-Event-ID`` header.

    Returns
    -------
    expression.Result of EventPosition or Problem
    """
    parts = text.split(ID_SEPARATOR, 2)
    if len(parts) < 2 or not parts[1].lstrip("-").isdigit():
        return Error(Problem(MALFORMED, f"Last-Event-ID {text[:80]!r} is no event id"))
    branch, _, holder = parts[2].partition(HINT_SEPARATOR) if parts[2:] else ("",) * 3
    return Ok(EventPosition(parts[0], int(parts[1]), branch, holder))


def parse_completion(content):
    """Validate and decode the body of a completion request.

    Returns
    -------
    expression.Result of CompletionRequest or Problem
    """
    try:
        document = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        return Error(Problem(MALFORMED, f"the body is not JSON: {error}"))
    faults = SCHEMA.find_faults(document)
    if faults:
        return Error(Problem(MALFORMED, "; ".join(str(fault) for fault in faults)))
    return Ok(
        CompletionRequest(
            document["model"],
            document["prompt"],
            document["max_tokens"],
            document.get("stream", False),
            document.get("priority", 0),
            document.get("seed"),
            digest_completion(document),
        )
    )


def digest_completion(document):
    """Return a digest of the fields that determine the output.

    Requests with the same idempotency key must have the same digest.
    """
    fields = [document.get(name) for name in ("model", "prompt", "max_tokens", "seed")]
    return hashlib.blake2b(orjson.dumps(fields), digest_size=16).digest()
