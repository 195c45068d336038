"""One exchange with one upstream on behalf of a call."""

import asyncio

from aiohttp import ClientError
from expression import Error, Ok

from sapphirerock.connection.answer import WholeAnswer
from sapphirerock.connection.errors import (
    AttemptInterrupted,
    TimeIsUp,
    UpstreamBroken,
)
from sapphirerock.connection.upstream import OutboundRequest, open_answer, read_body


class UpstreamAttempt:
    """An exchange that is counted as load of its engine while it lasts.

    Use it as a context manager: leaving it closes the connection, which stops the
    engine's work on the call.

    Parameters
    ----------
    runtime : EdgeRuntime
        What lives as long as the process.
    call : RoutedCall
        The caller's call.
    state : EngineState
        Where it goes.
    prompt_tokens, memory_tokens : int
        Load that it puts on the engine.
    backup : EngineState or None
        Engine that keeps a copy of the run's memory.

    Attributes
    ----------
    head : AnswerHead or None
        What the engine says beside its answer's body.
    """

    __slots__ = (
        "state",
        "backup",
        "head",
        "_runtime",
        "_call",
        "_prompt_tokens",
        "_memory_tokens",
        "_response",
        "_guard",
        "_cause",
    )

    def __init__(
        self, runtime, call, state, prompt_tokens=0, memory_tokens=0, backup=None
    ):
        self.state = state
        self.backup = backup
        self.head = None
        self._runtime = runtime
        self._call = call
        self._prompt_tokens = prompt_tokens
        self._memory_tokens = memory_tokens
        self._response = None
        self._guard = None
        self._cause = None

    def __enter__(self):
        state = self.state
        state.attempts.add(self)
        state.heard_at_s = max(state.heard_at_s, self._runtime.clock.monotonic())
        state.own.prompt_tokens += self._prompt_tokens
        state.own.runs += 1
        state.own.memory_tokens += self._memory_tokens
        self._count_copy(1)
        return self

    def __exit__(self, *exception):
        state = self.state
        state.attempts.discard(self)
        self.note_prompt_read()
        state.own.runs -= 1
        state.own.memory_tokens -= self._memory_tokens
        self._count_copy(-1)
        if self._response is not None:
            self._response.close()

    def _count_copy(self, sign):
        """Count the copy of the run's memory as load of the engine that has it."""
        if self.backup is not None:
            self.backup.own.copy_tokens += sign * self._memory_tokens

    def replace_backup(self, backup):
        """Count the copy at another engine from now on."""
        self._count_copy(-1)
        self.backup = backup
        self._count_copy(1)

    def note_prompt_read(self):
        """Count the prompt as read: the engine has begun to answer."""
        self.state.own.prompt_tokens -= self._prompt_tokens
        self._prompt_tokens = 0

    def interrupt(self, cause):
        """End what the attempt waits for, from another task."""
        self._cause = cause
        if self._guard is not None and not self._guard.expired():
            self._guard.reschedule(asyncio.get_running_loop().time())

    async def open(self, continuation=None):
        """Send the call and wait for the head of the answer.

        Parameters
        ----------
        continuation : Continuation or None
            Where a stream goes on from.

        Returns
        -------
        expression.Result of AnswerHead or ConnectionFailure
        """
        call, entry, runtime = self._call, self.state.entry, self._runtime
        headers = runtime.dialect.make_headers(
            call,
            entry,
            call.limit_s - runtime.clock.monotonic(),
            self.backup.entry if self.backup else None,
            continuation,
        )
        request = OutboundRequest(call.method, call.target, headers, call.body)
        opened = await self._bound(
            open_answer(runtime.session, entry.name, entry.address, request)
        )
        if opened.is_error():
            return opened
        self._response = opened.ok
        self._note_heard()
        self.head = runtime.dialect.read_head(opened.ok)
        if not self.head.belongs_to(call.terms.attempt_id):
            return Error(UpstreamBroken(entry.name, "an answer to another call"))
        return Ok(self.head)

    def select_headers(self):
        """Return the headers of the answer that go to the caller."""
        return self._runtime.dialect.select_answer_headers(self._response)

    async def read_chunk(self):
        """Read what comes next of the body; empty at its end.

        Returns
        -------
        expression.Result of bytes or ConnectionFailure
        """
        read = await self._bound(self._read_any())
        if read.is_ok():
            self._note_heard()
        return read

    async def read_all(self):
        """Read the whole answer.

        Returns
        -------
        expression.Result of WholeAnswer or ConnectionFailure
        """
        read = await self._bound(read_body(self.state.name, self._response))
        if read.is_error():
            return read
        self._note_heard()
        return Ok(WholeAnswer(self.head, self.select_headers(), read.ok))

    async def _read_any(self):
        try:
            return Ok(await self._response.content.readany())
        except (ClientError, OSError) as error:
            return Error(UpstreamBroken(self.state.name, repr(error)))

    def _note_heard(self):
        self.state.note_heard(self._runtime.clock.monotonic())

    async def _bound(self, coroutine):
        """Wait for a step until the call's limit or an interruption."""
        if self._cause is not None:
            coroutine.close()
            return Error(AttemptInterrupted(self.state.name, self._cause))
        try:
            async with asyncio.timeout_at(self._call.limit_s) as self._guard:
                return await coroutine
        except TimeoutError:
            if self._cause is not None:
                return Error(AttemptInterrupted(self.state.name, self._cause))
            return Error(TimeIsUp(self.state.name))
        finally:
            self._guard = None
