"""Headers of callers' requests and of the responses to them."""

from sapphirerock.platform.names import (
    ATTEMPT_ID,
    AUTHORIZATION,
    DEADLINE,
    ENGINE_ONLY_HEADERS,
    KEY_SCHEME,
    LAST_EVENT_ID,
    MODEL,
    PROMPT_PARTS,
    RESUMED_ATTEMPT_ID,
    SYSTEM_HEADERS,
    TOKEN_USAGE,
)
from sapphirerock.request.call import CallMetadata, Prompt

MS_PER_S = 1000.0
# Hop-by-hop headers (RFC 9110, section 7.6.1), and Content-Length and Expect, which
# each hop also sets for itself.
CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
ANSWER_ID = ATTEMPT_ID


def decode_call_metadata(headers):
    """Decode the headers that control how a call is handled.

    Parameters
    ----------
    headers : mapping of str to str
        Request headers with case-insensitive names.

    Returns
    -------
    CallMetadata
        Malformed headers are treated as absent.
    """
    authorization = headers.get(AUTHORIZATION, "")
    key = None
    if authorization[: len(KEY_SCHEME)].lower() == KEY_SCHEME.lower():
        key = authorization[len(KEY_SCHEME) :].strip()
    timeout_ms = parse_number(headers.get(DEADLINE))
    return CallMetadata(
        attempt_id=headers.get(ATTEMPT_ID, ""),
        caller_timeout_s=None if timeout_ms is None else timeout_ms / MS_PER_S,
        key=key,
        last_event_id=parse_number(headers.get(LAST_EVENT_ID)),
        prompt=_decode_prompt(headers),
        resumed_attempt_id=headers.get(RESUMED_ATTEMPT_ID),
    )


def _decode_prompt(headers):
    tokens, _, output_tokens = headers.get(TOKEN_USAGE, "").partition(",")
    parts = []
    for entry in headers.get(PROMPT_PARTS, "").split(","):
        name, separator, size = entry.strip().rpartition(":")
        if separator:
            parts.append((name, parse_number(size) or 0))
    return Prompt(
        model=headers.get(MODEL, ""),
        tokens=parse_number(tokens) or 0,
        output_tokens=parse_number(output_tokens) or 0,
        parts=tuple(parts),
    )


def parse_number(text):
    """Parse a non-negative decimal integer; None if the text is anything else."""
    text = (text or "").strip()
    return int(text) if text.isascii() and text.isdigit() else None


def select_request_headers(headers, hides_authorization):
    """Return the request headers that are forwarded to an upstream unchanged.

    Parameters
    ----------
    headers : CIMultiDictProxy
        Headers of the request.
    hides_authorization : bool
        Whether ``Authorization`` carries a key that upstreams must not see.

    Returns
    -------
    tuple of (str, str)
        Names and values in their original order.
    """
    dropped = set(CONNECTION_HEADERS | SYSTEM_HEADERS)
    dropped.update(_list_connection_options(headers))
    if hides_authorization:
        dropped.add(AUTHORIZATION.lower())
    return _drop_headers(headers, dropped)


def select_response_headers(headers):
    """Return the headers of an upstream's response that go to the caller."""
    dropped = set(CONNECTION_HEADERS | ENGINE_ONLY_HEADERS)
    dropped.update(_list_connection_options(headers))
    return _drop_headers(headers, dropped)


def _drop_headers(headers, dropped):
    return tuple(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )


def _list_connection_options(headers):
    """Return the header names in ``Connection``, which are hop-by-hop headers too."""
    values = headers.getall("Connection", ())
    return {name.strip().lower() for value in values for name in value.split(",")}
