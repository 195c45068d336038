"""All generations that this host drives."""

import asyncio
import secrets
from array import array

from expression import Error, Ok
from mode import Service

from sapphirerock.process.journals.client import make_superseded
from sapphirerock.process.journals.store import (
    TOKEN_TYPE,
    JournalRecord,
    is_resumable,
    unpack_tokens,
)
from sapphirerock.request.driver import GenerationDriver
from sapphirerock.request.generation import Generation
from sapphirerock.request.problem import GENERATION_LOST, KEY_REUSED, Problem

# Also the interval of heartbeats to callers.
SWEEP_INTERVAL_S = 1.0
FINISHED_LIFE_S = 60.0
UNREAD_LIFE_S = 30.0
# Requests of one key wait for each other; others rarely share a lock.
LOCK_STRIPES = 1024
GENERATION_ID_BYTES = 8
BRANCH_BYTES = 4


class AttachRequest:
    """A caller's connection that wants a generation.

    Parameters
    ----------
    organisation : Organisation
        Whose it is.
    key : str
        Idempotency key.
    completion : CompletionRequest
        What is asked for.
    position : EventPosition or None
        Where the caller stopped reading.
    route : Route
        How the model is served.
    service : ServiceSettings
        Service of the route.
    deadline_s : float
        Monotonic time by which the first token is wanted.
    """

    __slots__ = (
        "organisation",
        "key",
        "completion",
        "position",
        "route",
        "service",
        "deadline_s",
    )

    def __init__(
        self, organisation, key, completion, position, route, service, deadline_s
    ):
        self.organisation = organisation
        self.key = key
        self.completion = completion
        self.position = position
        self.route = route
        self.service = service
        self.deadline_s = deadline_s

    @property
    def offset(self):
        """Offset of the last token that the caller has; -1 for none."""
        return self.position.offset if self.position else -1


class GenerationTable(Service):
    """Generations by organisation and key.

    Parameters
    ----------
    runtime : Runtime
        What lives as long as the process.
    """

    def __init__(self, runtime, **kwargs):
        super().__init__(**kwargs)
        self._runtime = runtime
        self._by_key = {}
        self._locks = tuple(asyncio.Lock() for _ in range(LOCK_STRIPES))

    @property
    def active(self):
        """Generations that are under way or still read."""
        return [
            generation
            for generation in self._by_key.values()
            if generation.readers or not (generation.is_finished or generation.problem)
        ]

    def __len__(self):
        return len(self._by_key)

    def find(self, organisation, key):
        """Return the generation of a key that this host drives, or None."""
        generation = self._by_key.get((organisation, key))
        return None if generation is None or generation.problem else generation

    async def attach(self, request):
        """Return the generation that a caller asks for.

        It may be under way here, be taken over from another host, or be new.

        Returns
        -------
        expression.Result of Generation or Problem
        """
        identity = (request.organisation.name, request.key)
        async with self._locks[hash(identity) % LOCK_STRIPES]:
            return await self._attach_alone(request)

    async def _attach_alone(self, request):
        current = self.find(request.organisation.name, request.key)
        if current is None:
            return await self._open(request)
        if current.request.digest != request.completion.digest:
            return Error(make_key_reused())
        position = request.position
        if position is not None and not current.accepts_position(position):
            return Error(make_lost(position))
        if current.can_read_after(request.offset):
            return Ok(current)
        return Ok(self._rewind(current, request))

    async def _open(self, request):
        generation_id = secrets.token_hex(GENERATION_ID_BYTES)
        branch = make_branch()
        opening = await self._runtime.journal.open(
            request.organisation.name,
            request.key,
            request.completion.digest,
            generation_id,
            branch,
            request.position.holder if request.position else "",
        )
        if opening.record is not None:
            return self._take_over(request, opening, branch)
        if request.position is not None:
            return Error(make_lost(request.position))
        generation = Generation(
            generation_id,
            request.organisation,
            request.key,
            request.completion,
            branch,
            [[branch, 0]],
        )
        self._start(generation, request, opening.holder)
        return Ok(generation)

    def _take_over(self, request, opening, branch):
        """Go on with a generation that another host drove."""
        record = opening.record
        if record.body_digest != request.completion.digest:
            return Error(make_key_reused())
        position = request.position
        if position is not None:
            known = position.generation_id == record.generation_id
            if not known or not is_resumable(
                record.history, position.branch, position.offset
            ):
                return Error(make_lost(position))
        generation = Generation(
            record.generation_id,
            request.organisation,
            request.key,
            request.completion,
            branch,
            [list(item) for item in record.history],
            unpack_tokens(record.tokens),
            request.offset + 1,
        )
        if record.finish_reason:
            generation.branch = record.history[-1][0]
            generation.finish_reason = record.finish_reason
        generation.upstream = record.upstream
        generation.incarnation = record.incarnation
        self._start(generation, request, opening.holder)
        return Ok(generation)

    def _rewind(self, current, request):
        """Drive a generation anew to get the text of tokens already known."""
        branch = make_branch()
        generation = Generation(
            current.generation_id,
            current.organisation,
            current.key,
            current.request,
            branch,
            [*current.history, [branch, len(current.tokens)]],
            current.tokens,
            request.offset + 1,
        )
        generation.finish_reason = current.finish_reason
        generation.upstream = current.upstream
        generation.incarnation = current.incarnation
        self.supersede(current)
        self._start(generation, request, "")
        return generation

    def _start(self, generation, request, holder):
        generation.holder = holder
        generation.last_read_s = self._runtime.clock.monotonic()
        self._by_key[(generation.organisation.name, generation.key)] = generation
        if not holder and not generation.finish_reason:
            self._runtime.journal.watch_homeless(generation)
        driver = GenerationDriver(
            self._runtime,
            generation,
            request.route,
            request.service,
            request.deadline_s,
        )
        generation.task = self._runtime.tasks.spawn(driver.run())

    def supersede(self, generation):
        """Stop driving a generation that goes on elsewhere."""
        generation.fail(make_superseded())
        if generation.task is not None:
            generation.task.cancel()

    def hand_over(self, organisation, key):
        """Stop driving a generation and return its record, or None."""
        generation = self.find(organisation, key)
        if generation is None:
            return None
        record = make_record(generation)
        if not generation.finish_reason:
            self.supersede(generation)
        return record

    def describe(self, organisation, key):
        """Return the record of a generation that this host drives, or None."""
        generation = self.find(organisation, key)
        return None if generation is None else make_record(generation)

    @Service.task
    async def _sweep(self):
        while not self.should_stop:
            await self._runtime.clock.sleep(SWEEP_INTERVAL_S)
            now_s = self._runtime.clock.monotonic()
            for identity, generation in list(self._by_key.items()):
                self._sweep_one(identity, generation, now_s)
            self._runtime.metrics.generations.set(len(self.active))
            self._runtime.quarantine.prune()

    def _sweep_one(self, identity, generation, now_s):
        if generation.readers:
            generation.poke()
            return
        unread_s = now_s - generation.last_read_s
        if generation.problem is not None or (
            generation.is_finished and unread_s > FINISHED_LIFE_S
        ):
            del self._by_key[identity]
        elif not generation.is_over and unread_s > UNREAD_LIFE_S:
            generation.task.cancel()
            self._runtime.journal.close(generation)
            del self._by_key[identity]
        if generation.problem is not None and not generation.task.done():
            generation.task.cancel()


def make_branch():
    """Return a new name for a driver."""
    return secrets.token_hex(BRANCH_BYTES)


def make_record(generation):
    """Return what a journal holder would keep of a generation."""
    return JournalRecord(
        generation.organisation.name,
        generation.key,
        generation.request.digest,
        generation.generation_id,
        [list(item) for item in generation.history],
        array(TOKEN_TYPE, generation.tokens),
        generation.upstream,
        generation.incarnation,
        generation.finish_reason,
    )


def make_lost(position):
    """Return the answer when a caller's tokens are not known any more."""
    return Problem(
        GENERATION_LOST,
        f"nothing is known that goes on after token {position.offset}",
        0,
    )


def make_key_reused():
    """Return the answer when one key names two requests."""
    return Problem(KEY_REUSED, "the idempotency key belongs to another body")
