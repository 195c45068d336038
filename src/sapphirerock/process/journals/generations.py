"""The generations that this host drives."""

import asyncio
import secrets
from array import array

from expression import Error, Ok
from mode import Service

from sapphirerock.process.journals.client import make_superseded_problem
from sapphirerock.process.journals.store import (
    TOKEN_TYPE,
    JournalRecord,
    is_resumable,
    unpack_tokens,
)
from sapphirerock.request.driver import GenerationDriver
from sapphirerock.request.generation import Generation
from sapphirerock.request.problem import GENERATION_LOST, KEY_REUSED, Problem

# Also the interval of heartbeats to callers, whose readers the sweep wakes.
SWEEP_INTERVAL_S = 1.0
FINISHED_RETENTION_S = 60.0
UNREAD_TIMEOUT_S = 30.0
# Requests for one key are serialised by a lock. With this many locks, different keys
# rarely share one.
LOCK_STRIPES = 1024
GENERATION_ID_BYTES = 8
BRANCH_BYTES = 4


class AttachRequest:
    """A caller's request to read a generation, new or already running.

    Parameters
    ----------
    organisation : Organisation
        Organisation of the caller.
    key : str
        Idempotency key.
    completion : CompletionRequest
        The completion to generate.
    position : EventPosition or None
        Position after which the caller wants to read on; None for a new reader.
    route : ModelRoute
        Route of the model.
    service : ServiceSettings
        Service of the route.
    deadline_s : float
        Monotonic time by which the first token is due.
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
        """Offset of the last token that the caller has, -1 for none."""
        return self.position.offset if self.position else -1


class GenerationTable(Service):
    """Generations by organisation and idempotency key.

    Parameters
    ----------
    runtime : Runtime
        Objects that all requests of the process share.
    """

    def __init__(self, runtime, **kwargs):
        super().__init__(**kwargs)
        self._runtime = runtime
        self._by_key = {}
        self._locks = tuple(asyncio.Lock() for _ in range(LOCK_STRIPES))

    @property
    def active(self):
        """Generations that are running or have readers."""
        return [
            generation
            for generation in self._by_key.values()
            if generation.readers
            or not (generation.is_fully_released or generation.problem)
        ]

    def __len__(self):
        return len(self._by_key)

    def find(self, organisation, key):
        """Return the generation of a key that this host drives, or None."""
        generation = self._by_key.get((organisation, key))
        return None if generation is None or generation.problem else generation

    async def attach(self, request):
        """Return the generation that a caller requests.

        It may already run here, be taken over from another host, or be new.

        Returns
        -------
        expression.Result of Generation or Problem
        """
        identity = (request.organisation.name, request.key)
        async with self._locks[hash(identity) % LOCK_STRIPES]:
            return await self._attach_locked(request)

    async def _attach_locked(self, request):
        current = self.find(request.organisation.name, request.key)
        if current is None:
            return await self._open_generation(request)
        if current.request.digest != request.completion.digest:
            return Error(make_key_reused_problem())
        position = request.position
        if position is not None and not current.accepts_position(position):
            return Error(make_lost_problem(position))
        if current.can_read_after(request.offset):
            return Ok(current)
        return Ok(self._regenerate_text(current, request))

    async def _open_generation(self, request):
        generation_id = secrets.token_hex(GENERATION_ID_BYTES)
        branch = make_branch()
        opened = await self._runtime.journal.open(
            request.organisation.name,
            request.key,
            request.completion.digest,
            generation_id,
            branch,
            request.position.holder if request.position else "",
        )
        if opened.record is not None:
            return self._take_over(request, opened, branch)
        if request.position is not None:
            return Error(make_lost_problem(request.position))
        generation = Generation(
            generation_id,
            request.organisation,
            request.key,
            request.completion,
            branch,
            [[branch, 0]],
        )
        self._start_driver(generation, request, opened.holder)
        return Ok(generation)

    def _take_over(self, request, opened, branch):
        """Continue a generation that another host drove."""
        record = opened.record
        if record.body_digest != request.completion.digest:
            return Error(make_key_reused_problem())
        position = request.position
        if position is not None:
            is_same = position.generation_id == record.generation_id
            if not is_same or not is_resumable(
                record.history, position.branch, position.offset
            ):
                return Error(make_lost_problem(position))
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
        self._start_driver(generation, request, opened.holder)
        return Ok(generation)

    def _regenerate_text(self, current, request):
        """Start another driver to produce the text of known tokens again.

        Used when the kept text can't be read on after the caller's position.
        """
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
        self._start_driver(generation, request, "")
        return generation

    def _start_driver(self, generation, request, holder):
        generation.holder = holder
        generation.last_read_s = self._runtime.clock.monotonic()
        self._by_key[(generation.organisation.name, generation.key)] = generation
        if not holder and not generation.finish_reason:
            self._runtime.journal.add_unassigned(generation)
        driver = GenerationDriver(
            self._runtime,
            generation,
            request.route,
            request.service,
            request.deadline_s,
        )
        generation.task = self._runtime.tasks.spawn(driver.run())

    def supersede(self, generation):
        """Stop driving a generation that another driver continues."""
        generation.fail(make_superseded_problem())
        if generation.task is not None:
            generation.task.cancel()

    def hand_over(self, organisation, key):
        """Stop driving a generation and return its record, or None if there is none.

        A finished generation is kept, since it has nothing left to drive.
        """
        generation = self.find(organisation, key)
        if generation is None:
            return None
        record = make_record(generation)
        if not generation.finish_reason:
            self.supersede(generation)
        return record

    def find_record(self, organisation, key):
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
        """Wake a generation's readers for a heartbeat, or remove it if expired."""
        if generation.readers:
            generation.wake_readers()
            return
        unread_s = now_s - generation.last_read_s
        if generation.problem is not None or (
            generation.is_fully_released and unread_s > FINISHED_RETENTION_S
        ):
            del self._by_key[identity]
        elif not generation.is_over and unread_s > UNREAD_TIMEOUT_S:
            generation.task.cancel()
            self._runtime.journal.close(generation)
            del self._by_key[identity]
        if generation.problem is not None and not generation.task.done():
            generation.task.cancel()


def make_branch():
    """Return a new random name for a driver."""
    return secrets.token_hex(BRANCH_BYTES)


def make_record(generation):
    """Return a generation's record as a journal holder would keep it."""
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


def make_lost_problem(position):
    """Return the problem of a caller whose position can't be resumed."""
    return Problem(
        GENERATION_LOST,
        f"nothing is known that goes on after token {position.offset}",
        0,
    )


def make_key_reused_problem():
    """Return the problem of a key that was used with another body."""
    return Problem(KEY_REUSED, "the idempotency key belongs to another body")
