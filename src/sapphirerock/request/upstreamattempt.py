"""Attempts at plain and streamed calls, each on one engine."""

import asyncio

from aiohttp import ClientError
from expression import Error, Ok
from loguru import logger

from sapphirerock.connection.errors import (
    AttemptInterrupted,
    DeadlineExceeded,
    RelayUnavailable,
    UpstreamBroken,
    UpstreamUnreachable,
)
from sapphirerock.connection.response import BufferedResponse
from sapphirerock.connection.upstream import OutboundRequest, open_response, read_body
from sapphirerock.decisions.silence import MAX_SILENCE_WAIT_S, choose_silence_wait
from sapphirerock.decisions.urgency import choose_urgency
from sapphirerock.process.engines.paths import MAX_SILENT_RELAYS

# An engine that writes on a call for this time has survived it.
SURVIVAL_S = 1.0


class UpstreamAttempt:
    """An attempt at a call on one engine.

    Used as a context manager: on entry, the attempt is added to the load of the engine.
    On exit, it is subtracted and the connection is closed, which makes the engine stop
    work on the call. An attempt that ends without an answer, for whatever reason, is
    reported to the crash watch.

    Parameters
    ----------
    runtime : EdgeRuntime
        Services of the process.
    call : RoutedCall
        The caller's call.
    state : EngineState
        The engine.
    prompt_tokens, memory_tokens : int
        Prompt tokens to prefill, and KV memory in tokens, that the attempt adds to the
        load of the engine.
    backup : EngineState or None
        Engine that holds a copy of the KV memory.
    slot : SlotLease or None
        Slot of a brittle engine, released when the attempt ends.
    on_silence : callable or None
        Called without arguments when the engine falls silent; None if the call can't
        be sent to another engine.

    Attributes
    ----------
    head : ResponseHead or None
        Head of the response; None until it has arrived.
    has_output : bool
        Whether an event of the response has arrived.
    relay : str or None
        Name of the peer that relays the connection; None for a direct connection.
    hold : ResponseHold
        Memory of a large response. The caller releases it when the response has been
        sent on.
    """

    __slots__ = (
        "call",
        "state",
        "hold",
        "backup",
        "head",
        "has_output",
        "relay",
        "_silent_since_s",
        "_is_relay_silent",
        "_runtime",
        "_slot",
        "_on_silence",
        "_prompt_tokens",
        "_memory_tokens",
        "_response",
        "_timeout",
        "_interrupt_cause",
        "_opened_s",
        "_was_sent",
        "_is_answered",
        "_survival_due_s",
    )

    def __init__(
        self,
        runtime,
        call,
        state,
        prompt_tokens=0,
        memory_tokens=0,
        backup=None,
        slot=None,
        on_silence=None,
    ):
        self.state = state
        self.backup = backup
        self.head = None
        self.has_output = False
        self.relay = None
        self.hold = runtime.response_memory.open_hold(state.name)
        self._silent_since_s = None
        self._is_relay_silent = False
        self._runtime = runtime
        self.call = call
        self._slot = slot
        self._on_silence = on_silence
        self._prompt_tokens = prompt_tokens
        self._memory_tokens = memory_tokens
        self._response = None
        self._timeout = None
        self._interrupt_cause = None
        self._opened_s = runtime.clock.monotonic()
        self._was_sent = False
        self._is_answered = False
        # Time from which output shows that the engine has survived the call.
        self._survival_due_s = None

    def __enter__(self):
        state = self.state
        if not state.attempts:
            # Later attempts don't restart the time for which the engine was silent.
            state.last_received_s = max(
                state.last_received_s, self._runtime.clock.monotonic()
            )
        state.attempts.add(self)
        state.local_load.prompt_tokens += self._prompt_tokens
        state.local_load.runs += 1
        state.local_load.memory_tokens += self._memory_tokens
        self._count_kv_copy(1)
        return self

    def __exit__(self, *exception):
        state = self.state
        state.attempts.discard(self)
        self.mark_prefilled()
        state.local_load.runs -= 1
        state.local_load.memory_tokens -= self._memory_tokens
        self._count_kv_copy(-1)
        if self._response is not None:
            self._response.close()
        if self._slot is not None:
            self._slot.release()
        if self._was_sent and not self._is_answered:
            self._runtime.crash_watch.record_unanswered(
                state, self.call, self._opened_s
            )

    def _count_kv_copy(self, sign):
        """Add the KV copy to the backup's load if ``sign`` is 1; subtract it if -1."""
        if self.backup is not None:
            self.backup.local_load.copy_tokens += sign * self._memory_tokens

    def replace_backup(self, backup):
        """Use another backup engine, and move the load of the KV copy to it."""
        self._count_kv_copy(-1)
        self.backup = backup
        self._count_kv_copy(1)

    def mark_prefilled(self):
        """Subtract the prompt from the load: it is prefilled, or the attempt ended.

        Further calls have no effect.
        """
        self.state.local_load.prompt_tokens -= self._prompt_tokens
        self._prompt_tokens = 0

    def record_response(self, has_failed):
        """Count the response for the rollout of its service, if there is one."""
        rollouts = self._runtime.rollouts
        if rollouts is not None:
            time_s = self._runtime.clock.monotonic() - self._opened_s
            rollouts.record_response(self.call, self.state, has_failed, time_s)

    def record_output(self):
        """Record that events of the response have arrived.

        Returns
        -------
        bool
            Whether they are the first ones.
        """
        now_s, crash_watch = self._runtime.clock.monotonic(), self._runtime.crash_watch
        is_first = not self.has_output
        if is_first:
            self.has_output = self._is_answered = True
            self._survival_due_s = now_s + SURVIVAL_S
            crash_watch.record_output(self.call)
        elif self._survival_due_s is not None and now_s >= self._survival_due_s:
            self._survival_due_s = None
            crash_watch.record_survival(self.call)
        return is_first

    def interrupt(self, cause):
        """Make the current or next wait fail with ``AttemptInterrupted``.

        Called from another task.
        """
        self._interrupt_cause = cause
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    @property
    def is_silent(self):
        """Whether the engine, or the relay, is silent since it was reported to be."""
        if self._silent_since_s is None:
            return False
        return self._is_relay_silent or self.state.heard_s < self._silent_since_s

    @property
    def may_be_running(self):
        """Whether the engine may be sound: it has not been silent for long."""
        if not self.is_silent:
            return True
        silent_s = self._runtime.clock.monotonic() - self._silent_since_s
        return silent_s <= MAX_SILENCE_WAIT_S

    def report_silence(self, is_relay=False):
        """Tell the call that the engine, or the relay, is silent; once in a silence.

        The attempt goes on. Called from another task.
        """
        if self._on_silence is not None and not self.is_silent:
            self._silent_since_s = self._runtime.clock.monotonic()
            self._is_relay_silent = is_relay
            self._on_silence()

    async def open(self, continuation=None):
        """Send the call and wait for the head of the response.

        Parameters
        ----------
        continuation : ResumePoint or None
            Where a stream resumes; None for a new call.

        Returns
        -------
        expression.Result of ResponseHead or ConnectionFailure
            After `UpstreamUnreachable` and `RelayUnavailable` nothing was sent.
        """
        call, entry, runtime = self.call, self.state.entry, self._runtime
        runtime.crash_watch.log_send(self.state, call)
        sent_s = runtime.clock.monotonic()
        wait_s = choose_silence_wait(call.response_deadline_s - sent_s)
        opened, may_relay_later = await self._open_on_any_path(continuation)
        while may_relay_later and runtime.clock.monotonic() - sent_s <= wait_s:
            opened, may_relay_later = await self._open_on_any_path(continuation)
        if opened.is_error():
            return opened
        self._response = opened.ok
        self._record_contact()
        self.head = runtime.dialect.decode_response_head(opened.ok)
        if not self.head.matches_attempt(call.metadata.attempt_id):
            return Error(
                UpstreamBroken(entry.name, "the answer belongs to another call")
            )
        runtime.engine_rests.record_response(self.state, self.head, self.relay)
        runtime.engine_statements.record_response(self.state, self.head, sent_s)
        runtime.engine_limits.record_response(self.state, self.head, sent_s)
        if self._slot is not None and self.head.was_not_executed:
            self._slot.was_refused = not self.head.is_other_engine
        return Ok(self.head)

    async def _open_on_any_path(self, continuation):
        """Send the call on the first path that connects; see `open`.

        Returns
        -------
        (expression.Result of ResponseHead or ConnectionFailure, bool)
            With whether no peer relayed the connection, and one that is silent may
            relay it later.
        """
        name = self.state.entry.name
        opened = Error(RelayUnavailable(name, "no peer to relay", True))
        unanswered, may_relay_later = 0, False
        for path in self._runtime.paths.list_paths(self.state):
            opened = await self._open_on_path(path, continuation)
            if not is_relay_failure(opened):
                return opened, False
            may_relay_later |= opened.error.is_silent
            unanswered += not opened.error.has_replied
            if unanswered >= MAX_SILENT_RELAYS:
                break
        return opened, may_relay_later

    async def _open_on_path(self, path, continuation):
        """Send the call on one path; see `open`.

        Returns
        -------
        expression.Result of ResponseHead or ConnectionFailure
            `RelayUnavailable` if the peer relayed no connection.
        """
        call, entry, runtime = self.call, self.state.entry, self._runtime
        headers = runtime.dialect.make_headers(
            call,
            entry,
            call.response_deadline_s - runtime.clock.monotonic(),
            self.backup.entry if self.backup else None,
            continuation,
            choose_urgency(call.priority, call.ranks, continuation is not None),
        )
        request = OutboundRequest(call.method, call.target, headers, call.body)
        self.relay = path.relay
        self._was_sent = True
        opened = await self._wait_until_deadline(
            open_response(path.session, entry.name, entry.address, request)
        )
        failure = opened.error if opened.is_error() else None
        self._was_sent = not isinstance(failure, RelayUnavailable | UpstreamUnreachable)
        if path.relay is not None:
            is_available = not isinstance(failure, RelayUnavailable)
            if not is_available:
                self.relay = None
            has_replied = is_available or failure.has_replied
            runtime.paths.report_relay(path, is_available, has_replied)
            logger.bind(
                request=call.metadata.attempt_id,
                engine=entry.name,
                relay=path.relay,
                failure=None if failure is None else repr(failure),
            ).info("call sent through peer")
        return opened

    def select_headers(self):
        """Return the response headers that are forwarded to the caller."""
        return self._runtime.dialect.select_response_headers(self._response)

    async def read_chunk(self):
        """Read the next chunk of the body, which is empty at the end of the body.

        Returns
        -------
        expression.Result of bytes or ConnectionFailure
        """
        read = await self._wait_until_deadline(self._read_available())
        if read.is_ok():
            self._record_contact()
        return read

    async def read_all(self):
        """Read the rest of the response into memory.

        The head alone states that the engine did not execute the call; the body of such
        a response is not read, so that it may be cut off.

        Returns
        -------
        expression.Result of BufferedResponse or ConnectionFailure
        """
        if self.head.was_not_executed:
            self._is_answered = True
            return Ok(BufferedResponse(self.head, self.select_headers(), b""))
        read = await self._wait_until_deadline(
            read_body(self.state.name, self._response, hold=self.hold)
        )
        if read.is_error():
            return read
        self._record_contact()
        self._is_answered = True
        self._runtime.crash_watch.record_survival(self.call)
        return Ok(BufferedResponse(self.head, self.select_headers(), read.ok))

    async def _read_available(self):
        try:
            return Ok(await self._response.content.readany())
        except (ClientError, OSError) as error:
            return Error(UpstreamBroken(self.state.name, repr(error)))

    def _record_contact(self):
        self._silent_since_s = None
        self.state.record_received(self._runtime.clock.monotonic())

    async def _wait_until_deadline(self, coroutine):
        """Await a coroutine until the call's deadline or an interruption.

        Returns
        -------
        expression.Result
            Result of the coroutine, ``DeadlineExceeded`` or ``AttemptInterrupted``.
        """
        if self._interrupt_cause is not None:
            coroutine.close()
            return Error(AttemptInterrupted(self.state.name, self._interrupt_cause))
        try:
            async with asyncio.timeout_at(
                self.call.response_deadline_s
            ) as self._timeout:
                return await coroutine
        except TimeoutError:
            if self._interrupt_cause is not None:
                return Error(AttemptInterrupted(self.state.name, self._interrupt_cause))
            return Error(DeadlineExceeded(self.state.name))
        finally:
            self._timeout = None


def is_relay_failure(opened):
    """Return whether a peer relayed no connection, so that another may be asked."""
    return opened.is_error() and isinstance(opened.error, RelayUnavailable)
