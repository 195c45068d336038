"""Problem details (RFC 9457): error responses to requests that could not be served."""

from dataclasses import dataclass

import orjson

from sapphirerock.connection.ingress import BodyFailure
from sapphirerock.decisions.retryafter import choose_retry_after

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:sapphirerock:problem:"
# Outcomes: whether the upstream executed the call.
NOT_RUN = "not-run"
RAN = "ran"
UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class ProblemKind:
    """A kind of problem.

    Parameters
    ----------
    name : str
        Last part of the problem's type URI.
    status : int
        HTTP status.
    title : str
        Short description, the same for all problems of the kind.
    outcome : str
        Whether the upstream executed the call.
    """

    name: str
    status: int
    title: str
    outcome: str = NOT_RUN


@dataclass(slots=True, frozen=True)
class Problem(Exception):
    """An error that is sent to the caller as the final response to a request.

    Parameters
    ----------
    kind : ProblemKind
        Kind of problem.
    detail : str
        Explanation specific to this request.
    retry_after_s : float or None
        Delay before a retry, in seconds; None if the response suggests no retry.
    """

    kind: ProblemKind
    detail: str
    retry_after_s: float | None = None

    @property
    def status(self):
        """HTTP status."""
        return self.kind.status

    def encode(self):
        """Return the JSON document as bytes."""
        document = {
            "type": TYPE_PREFIX + self.kind.name,
            "title": self.kind.title,
            "status": self.kind.status,
            "detail": self.detail,
            "outcome": self.kind.outcome,
        }
        if self.retry_after_s is not None:
            document["retry_after"] = self.retry_after_s
        return orjson.dumps(document)

    def make_headers(self):
        """Return the headers of the response."""
        headers = {
            "Content-Type": CONTENT_TYPE,
            "Sapphirerock-Outcome": self.kind.outcome,
        }
        if self.retry_after_s is not None:
            headers["Retry-After"] = str(self.retry_after_s)
        return headers


MALFORMED = ProblemKind("malformed-request", 400, "The request is malformed")
KEY_REQUIRED = ProblemKind("idempotency-key-required", 400, "A key is required")
UNAUTHORISED = ProblemKind("unknown-key", 401, "The key is not known")
FORBIDDEN = ProblemKind("forbidden", 403, "Not within the operator's subtree")
NOT_FOUND = ProblemKind("not-found", 404, "There is no such model or service")
CONFLICT = ProblemKind("version-conflict", 409, "Another change came first")
IN_PROGRESS = ProblemKind(
    "order-in-progress", 409, "The order is under way", outcome=UNKNOWN
)
OUTCOME_UNKNOWN = ProblemKind(
    "order-outcome-unknown", 409, "The order may have run", outcome=UNKNOWN
)
BODY_TIMED_OUT = ProblemKind("body-timed-out", 408, "The body did not end in time")
TOO_LARGE = ProblemKind("body-too-large", 413, "The body is too large")
HEADER_TOO_LARGE = ProblemKind("header-too-large", 431, "A header is too large")
KEY_REUSED = ProblemKind("key-reused", 422, "The key belongs to another request")
REFUSED_SETTINGS = ProblemKind("refused-settings", 422, "The settings are refused")
CRASHES_ENGINES = ProblemKind(
    "request-crashes-engines", 422, "The request crashed the engines that ran it"
)
# The same problem for a request that ran before it was blocked.
CRASHED_ENGINES = ProblemKind(
    CRASHES_ENGINES.name, CRASHES_ENGINES.status, CRASHES_ENGINES.title, outcome=RAN
)
RATE_LIMITED = ProblemKind("rate-limited", 429, "Over the organisation's rate")
OVERLOADED = ProblemKind("overloaded", 429, "No capacity before the deadline")
GENERATION_LOST = ProblemKind(
    "generation-lost", 503, "The generation cannot be continued", outcome=UNKNOWN
)
SUPERSEDED = ProblemKind(
    "superseded", 503, "The generation goes on over another connection", outcome=UNKNOWN
)
UNAVAILABLE = ProblemKind("unavailable", 503, "No upstream can be reached")
PLATFORM_UNAVAILABLE = ProblemKind(
    "platform-unavailable", 503, "The platform does not answer"
)
SHUTTING_DOWN = ProblemKind("leaving", 503, "This host takes no new work")
# Other hosts accept the call at once. The delay keeps callers from retrying all at the
# same time.
SHUTDOWN_RETRY_AFTER_S = 0.1
HOST_FULL = ProblemKind("host-full", 503, "This host has no room for the request")
NO_CONFIGURATION = ProblemKind(
    "no-configuration", 503, "This host knows no configuration yet"
)
TIMED_OUT = ProblemKind("timed-out", 504, "The call took too long", outcome=UNKNOWN)
UPSTREAM_FAILED = ProblemKind(
    "upstream-failed", 502, "The upstream gave no answer", outcome=UNKNOWN
)


# What was received of the request is not kept, and the rest of it not read.
CLOSING_PROBLEMS = frozenset((BODY_TIMED_OUT, HOST_FULL))
BODY_PROBLEMS = {
    BodyFailure.TOO_LARGE: TOO_LARGE,
    BodyFailure.TIMED_OUT: BODY_TIMED_OUT,
    BodyFailure.NO_ROOM: HOST_FULL,
}


def make_body_problem(failure, generator):
    """Return the problem of a request that was not received, or has no room.

    Parameters
    ----------
    failure : BodyFailure
        Why its body was not read.
    generator : random.Random
        Spreads the times at which refused callers retry.
    """
    retry_after_s = None
    if failure is BodyFailure.NO_ROOM:
        retry_after_s = choose_retry_after(None, generator)
    return Problem(BODY_PROBLEMS[failure], failure.value, retry_after_s)


def make_shutdown_problem():
    """Return the refusal of a call that this host's shutdown could cut off."""
    detail = "another host takes the call"
    return Problem(SHUTTING_DOWN, detail, SHUTDOWN_RETRY_AFTER_S)
