"""Dialect of the platform's engines: request and response headers and bodies."""

import math

import orjson

from sapphirerock.connection.dialects import EngineDialect, register_dialect
from sapphirerock.connection.response import EngineLoad, KvCopy, ResponseHead
from sapphirerock.connection.upstream import OutboundRequest
from sapphirerock.platform.ingress import parse_number, select_response_headers
from sapphirerock.platform.names import (
    ATTEMPT_ID,
    DEADLINE,
    ENGINE_LOAD,
    EXPECTED_INSTANCE,
    KV_BACKUP,
    KV_SOURCE,
    LAST_EVENT_ID,
    LEAVING,
    MOVE_PATH,
    NOT_EXECUTED,
    ORGANISATION,
    REFUSAL_TOLERANCE,
    REPORT_PATH,
    REQUEST_LIMIT,
    RESPONSE_SEAL,
    RETRY_AFTER,
    URGENCY,
)

MS_PER_S = 1000.0
STATUS_MISDIRECTED_REQUEST = 421
EVENT_STREAM = "text/event-stream"
# Turns at a smaller limit are further apart than any caller waits.
MIN_LIMIT_PER_S = 0.01
MAX_LIMIT_PER_S = 1e6
MAX_TOLERANCE = 1e6
# Figures of an engine's load, and the last one's value on a machine as usual.
LOAD_LENGTHS = (3, 4)
USUAL_PACE = 100.0
# Statuses with which an engine turns a request away and may ask for rest.
REFUSAL_STATUSES = (429, 503)
# Rest after a Retry-After that is no number, such as a date.
DEFAULT_REST_S = 1.0
# Without a bound, one wrong response would take an engine out of use for good.
MAX_REST_S = 600.0


@register_dialect("platform")
class PlatformDialect(EngineDialect):
    """Engines of the shared platform."""

    __slots__ = ()
    report_path = REPORT_PATH

    def make_headers(
        self,
        call,
        engine,
        remaining_s,
        backup=None,
        continuation=None,
        urgency=None,
    ):
        """Return the headers of a request to an engine."""
        headers = list(call.headers)
        headers.append((DEADLINE, str(max(1, int(remaining_s * MS_PER_S)))))
        headers.append((EXPECTED_INSTANCE, engine.name))
        if call.organisation is not None:
            headers.append((ORGANISATION, call.organisation))
        if backup is not None:
            headers.append((KV_BACKUP, backup.address))
        if urgency is not None:
            headers.append((URGENCY, str(urgency)))
        if continuation is None:
            return headers
        headers = [item for item in headers if item[0].lower() != LAST_EVENT_ID.lower()]
        if continuation.last_event_id is not None:
            headers.append((LAST_EVENT_ID, str(continuation.last_event_id)))
        copy = continuation.kv_copy
        if copy is not None:
            # A backup is identified by its holder and the run's attempt id, a requested
            # copy by the engine that made it and the handle that this engine chose.
            name = copy.handle or copy.attempt_id or call.metadata.attempt_id
            source = copy.source.address if copy.handle else copy.holder.address
            headers.append((KV_SOURCE, f"{source}/{name}"))
        return headers

    def decode_response_head(self, response):
        """Decode the head of a response."""
        headers = response.headers
        limit_texts = headers.getall(REQUEST_LIMIT, ())
        limits = [_decode_limit(text) for text in limit_texts]
        rest_texts = ()
        if response.status in REFUSAL_STATUSES:
            rest_texts = headers.getall(RETRY_AFTER, ())
        rests_s = [_decode_rest(text) for text in rest_texts]
        return ResponseHead(
            status=response.status,
            attempt_id=headers.get(ATTEMPT_ID),
            is_sealed=RESPONSE_SEAL in headers,
            is_stream=response.content_type == EVENT_STREAM,
            is_encoded="Content-Encoding" in headers,
            was_not_executed=(
                NOT_EXECUTED in headers or response.status == STATUS_MISDIRECTED_REQUEST
            ),
            is_other_engine=response.status == STATUS_MISDIRECTED_REQUEST,
            load=_decode_load(headers.get(ENGINE_LOAD)),
            limit_per_s=min((limit for limit in limits if limit), default=None),
            invalid_limit=", ".join(limit_texts) if None in limits else None,
            rest_s=max(
                (DEFAULT_REST_S if rest_s is None else rest_s for rest_s in rests_s),
                default=None,
            ),
            invalid_rest=", ".join(rest_texts) if None in rests_s else None,
            leaving=1.0 if _is_leaving(headers.getall(LEAVING, ())) else None,
            refusal_tolerance=_decode_tolerance(headers.getall(REFUSAL_TOLERANCE, ())),
            has_framing="Content-Length" in headers or "Transfer-Encoding" in headers,
        )

    def select_response_headers(self, response):
        """Return the response headers that are passed on to the caller."""
        return select_response_headers(response.headers)

    def make_copy_request(self, attempt_id, target):
        """Return the request to copy the KV memory of a run, which continues."""
        body = orjson.dumps({"id": attempt_id, "target": target.address})
        headers = [("Content-Type", "application/json")]
        return OutboundRequest("POST", MOVE_PATH, headers, body)

    def decode_copy(self, source, target, body):
        """Decode the response to a copy request; None if it is malformed."""
        try:
            handle = orjson.loads(body)["handle"]
        except (ValueError, TypeError, KeyError):
            return None
        return KvCopy(holder=target, source=source, handle=str(handle))

    def decode_start_ms(self, body):
        """Return the engine's start time from its report, in ms; None if malformed."""
        try:
            return int(orjson.loads(body).get("born", 0))
        except (ValueError, TypeError, AttributeError):
            return None


def _decode_limit(text):
    """Decode a limit in requests per second; None if it is no positive number."""
    try:
        limit_per_s = float(text)
    except ValueError:
        return None
    if not math.isfinite(limit_per_s) or limit_per_s <= 0:
        return None
    return min(MAX_LIMIT_PER_S, max(MIN_LIMIT_PER_S, limit_per_s))


def _is_leaving(texts):
    """Return whether a header says that the engine leaves: any value but ``0`` does."""
    return any(text.strip() not in ("", "0") for text in texts)


def _decode_rest(text):
    """Decode a time in seconds, at most `MAX_REST_S`; None if it is no number."""
    try:
        rest_s = float(text)
    except ValueError:
        return None
    if math.isnan(rest_s):
        return None
    return min(MAX_REST_S, max(0.0, rest_s))


def _decode_tolerance(texts):
    """Decode the refusals a second that an engine bears; None if none is stated.

    A text that is no number counts as zero, the most cautious reading.
    """
    if not texts:
        return None
    numbers = []
    for text in texts:
        try:
            numbers.append(float(text))
        except ValueError:
            numbers.append(0.0)
    finite = [number for number in numbers if math.isfinite(number)]
    return min(MAX_TOLERANCE, max(0.0, min(finite, default=0.0)))


def _decode_load(text):
    """Decode ``running,waiting,slots`` and, if stated, the pace in hundredths.

    Returns
    -------
    EngineLoad or None
        None if the header is missing or malformed.
    """
    numbers = [parse_number(part) for part in (text or "").split(",")]
    if len(numbers) not in LOAD_LENGTHS or None in numbers:
        return None
    *load, pace = numbers if len(numbers) == max(LOAD_LENGTHS) else [*numbers, None]
    return EngineLoad(*load, pace=None if pace is None else pace / USUAL_PACE)
