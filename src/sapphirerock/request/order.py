"""Orders: non-idempotent calls, which are sent at most once.

The idempotency key of an order is claimed in the ledger of the platform before the call
is sent, and the response is stored there for retries with the same key.
"""

import base64
import hashlib
import uuid

from expression import Ok
from opentelemetry.trace import SpanKind

from sapphirerock.connection.errors import UpstreamUnreachable
from sapphirerock.connection.plain import PlainResponse, send_plain_request
from sapphirerock.connection.sendonce import send_once
from sapphirerock.process.orders.bucket import (
    CLAIMED,
    DONE,
    RELEASED,
    LedgerEntry,
    make_entry_key,
)
from sapphirerock.process.orders.ledger import MAX_STORED_BODY_BYTES
from sapphirerock.request.problem import (
    IN_PROGRESS,
    KEY_REUSED,
    OUTCOME_UNKNOWN,
    PLATFORM_UNAVAILABLE,
    RAN,
    UNAVAILABLE,
    UNKNOWN,
    Problem,
)

RETRY_AFTER_S = 2
# Age of a claim up to which its call is reported as in progress. After that, its
# outcome is reported as unknown.
MAX_IN_PROGRESS_AGE_S = 30.0
# Longest wait for the outcome of an earlier call of the same key. A caller may have its
# response before the ledger has stored it.
OUTCOME_WAIT_S = 1.0
OUTCOME_POLL_INTERVAL_S = 0.1
MIN_SERVER_ERROR_STATUS = 500


class OrderCall:
    """One attempt at an order.

    Parameters
    ----------
    runtime : Runtime
        Services of the process.
    service : ServiceSettings
        Service that the call goes to.
    organisation : Organisation
        The caller's organisation.
    key : str
        The caller's idempotency key.
    request : PlainRequest
        The call.
    deadline_s : float
        Monotonic time after which the call is no longer sent.
    """

    __slots__ = (
        "_runtime",
        "_service",
        "_request",
        "_deadline_s",
        "_entry",
    )

    def __init__(self, runtime, service, organisation, key, request, deadline_s):
        self._runtime = runtime
        self._service = service
        self._request = request
        self._deadline_s = deadline_s
        self._entry = LedgerEntry(
            make_entry_key(service.name, organisation.name, key),
            uuid.uuid4().hex[:16],
            digest_call(request),
            at_s=runtime.clock.now().timestamp(),
        )

    async def run(self):
        """Claim the key, send the call and store the response in the ledger.

        Returns
        -------
        tuple of (PlainResponse or Problem, str)
            The response, and the outcome reported to the caller.
        """
        claimed = await self._claim()
        if claimed.is_error():
            # The claim may have been stored nevertheless. Only this call can use it, so
            # it is released.
            self._release_claim()
            return self._refuse(PLATFORM_UNAVAILABLE, "no claim could be made")
        existing = claimed.ok
        if existing is not None and existing.claimant != self._entry.claimant:
            return self._return_earlier_result(existing)
        if existing is None:
            return self._refuse(PLATFORM_UNAVAILABLE, "the claim did not stand")
        return await self._send()

    async def _claim(self):
        """Claim the key; wait a while for an earlier call of the key that is under way.

        Returns
        -------
        expression.Result of LedgerEntry or None or ConnectionFailure
            The key's entry in the ledger.
        """
        clock = self._runtime.clock
        wait_until_s = min(self._deadline_s, clock.monotonic() + OUTCOME_WAIT_S)
        while True:
            claimed = await self._runtime.ledger.submit(self._service.name, self._entry)
            if claimed.is_error() or not self._is_call_under_way(claimed.ok):
                return claimed
            if clock.monotonic() + OUTCOME_POLL_INTERVAL_S > wait_until_s:
                return claimed
            await clock.sleep(OUTCOME_POLL_INTERVAL_S)

    def _is_call_under_way(self, existing):
        """Return whether an earlier call of the same content may still be running."""
        if existing is None or existing.claimant == self._entry.claimant:
            return False
        age_s = self._runtime.clock.now().timestamp() - existing.at_s
        return (
            existing.state == CLAIMED
            and existing.body_digest == self._entry.body_digest
            and age_s < MAX_IN_PROGRESS_AGE_S
        )

    def _refuse(self, problem_kind, detail):
        """Return a problem, and the outcome reported to the caller."""
        problem = Problem(problem_kind, detail, RETRY_AFTER_S)
        return problem, problem.kind.outcome

    def _return_earlier_result(self, existing):
        """Return the result of an earlier call with the same key, without sending."""
        if existing.body_digest != self._entry.body_digest:
            return self._refuse(KEY_REUSED, "the key belongs to another call")
        if existing.state == DONE and existing.status:
            body = base64.b64decode(existing.body)
            response = PlainResponse(existing.status, existing.content_type, body)
            return response, choose_outcome(existing.status)
        if self._is_call_under_way(existing):
            return self._refuse(IN_PROGRESS, "an earlier call of the key is under way")
        return self._refuse(OUTCOME_UNKNOWN, "an earlier call of the key may have run")

    async def _send(self):
        """Send the call to the first upstream that can be reached.

        Another upstream is tried only if no byte of the call was sent.
        """
        runtime = self._runtime
        tried = 0
        for state in self._rank_upstreams():
            remaining_s = self._deadline_s - runtime.clock.monotonic()
            if remaining_s <= 0:
                break
            tried += 1
            runtime.upstreams.begin_call(state)
            with runtime.tracer.start_as_current_span("upstream", kind=SpanKind.CLIENT):
                response = await send_plain_request(
                    runtime.single_use_session,
                    state.settings,
                    self._request,
                    remaining_s,
                    runtime.response_memory,
                    (send_once,),
                )
            runtime.upstreams.end_call(state)
            if response.is_ok():
                return self._record(response.ok)
            if not isinstance(response.error, UpstreamUnreachable):
                return self._record_unknown(response.error)
            runtime.upstreams.mark_down(state.name)
        self._release_claim()
        return self._refuse(UNAVAILABLE, f"no byte left; {tried} upstreams tried")

    def _rank_upstreams(self):
        """Return the usable upstreams, the nearest and then the least loaded first."""
        upstreams = self._runtime.upstreams
        states = upstreams.list_usable(self._service)
        return sorted(
            states, key=lambda state: (upstreams.measure_distance(state), state.load)
        )

    def _record(self, response):
        """Store the response for retries with the same key.

        A body that is too long is left out.
        """
        body = response.body if len(response.body) <= MAX_STORED_BODY_BYTES else b""
        self._submit_in_background(
            LedgerEntry(
                self._entry.key,
                self._entry.claimant,
                self._entry.body_digest,
                DONE,
                response.status,
                response.content_type,
                base64.b64encode(body).decode(),
                self._entry.at_s,
            )
        )
        return response, choose_outcome(response.status)

    def _record_unknown(self, failure):
        """Store that the call was sent and its outcome is not known."""
        self._submit_in_background(
            LedgerEntry(
                self._entry.key,
                self._entry.claimant,
                self._entry.body_digest,
                DONE,
                at_s=self._entry.at_s,
            )
        )
        return self._refuse(OUTCOME_UNKNOWN, f"sent, and no answer came: {failure!r}")

    def _release_claim(self):
        """Release the claim in the background, so that the key can be used again."""
        self._submit_in_background(
            LedgerEntry(
                self._entry.key,
                self._entry.claimant,
                self._entry.body_digest,
                RELEASED,
            )
        )

    def _submit_in_background(self, entry):
        self._runtime.tasks.spawn(self._submit_with_retries(entry))

    async def _submit_with_retries(self, entry):
        for retry_delay_s in (0.2, 1.0, 5.0, 15.0, 30.0, 60.0):
            result = await self._runtime.ledger.submit(self._service.name, entry)
            if result.is_ok():
                return Ok(None)
            await self._runtime.clock.sleep(retry_delay_s)
        return result


def choose_outcome(status):
    """Return the outcome for the HTTP status of an upstream's response.

    After a server error, the outcome is unknown.
    """
    return UNKNOWN if status >= MIN_SERVER_ERROR_STATUS else RAN


def digest_call(request):
    """Return a digest of a call's method, path, query and body."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method, request.path, request.query):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()
