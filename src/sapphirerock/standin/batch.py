"""The engine stand-in's model: batches, priorities, a limited prefix cache."""

import asyncio
import itertools
import time
from collections import OrderedDict
from heapq import heappop, heappush

import xxhash

from sapphirerock.standin.chain import TokenChain

RECORD_LIFE_S = 60.0
UNREAD_LIFE_S = 10.0


class EngineModel:
    """Speeds and sizes of an engine.

    Parameters
    ----------
    capacity : int
        Generations in one batch.
    token_interval_s : float
        Time of one decoding step.
    prefill_tokens_per_s : float
        Tokens of prompt and prefix taken in a second.
    cache_entries : int
        Prompts that the prefix cache remembers.
    """

    __slots__ = (
        "capacity",
        "token_interval_s",
        "prefill_tokens_per_s",
        "cache_entries",
    )

    def __init__(
        self,
        capacity=16,
        token_interval_s=0.02,
        prefill_tokens_per_s=20000.0,
        cache_entries=64,
    ):
        self.capacity = capacity
        self.token_interval_s = token_interval_s
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.cache_entries = cache_entries


class EngineJob:
    """One generation on the stand-in."""

    __slots__ = (
        "generation_id",
        "prompt",
        "tokens",
        "max_tokens",
        "priority",
        "ready_at_s",
        "finish_reason",
        "changed",
        "chain",
        "last_read_s",
        "readers",
    )

    def __init__(self, generation_id, prompt, prefix, max_tokens, priority, salt):
        self.generation_id = generation_id
        self.prompt = prompt
        self.tokens = list(prefix)
        self.max_tokens = max_tokens
        self.priority = priority
        self.ready_at_s = 0.0
        self.finish_reason = None
        self.changed = asyncio.Event()
        self.last_read_s = time.monotonic()
        self.readers = 0
        self.chain = TokenChain(prompt, salt)
        for token in prefix:
            self.chain.accept_token(token)

    def wake_readers(self):
        """Let every stream of this job look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def step(self):
        """Decode one token."""
        if len(self.tokens) < self.max_tokens:
            self.tokens.append(self.chain.make_token())
        if len(self.tokens) >= self.max_tokens:
            self.finish_reason = "length"
        self.wake_readers()

    def cancel(self):
        """End without finishing."""
        if self.finish_reason is None:
            self.finish_reason = "cancelled"
            self.wake_readers()


class PrefixCache:
    """The last prompts seen, with late events that have gaps."""

    __slots__ = ("_entries", "_limit", "events", "hits", "_sequence")

    def __init__(self, limit):
        self._entries = OrderedDict()
        self._limit = limit
        self._sequence = itertools.count(1)
        self.events = []
        self.hits = 0

    def touch(self, prompt):
        """Return whether the prompt is cached, and remember it."""
        digest = xxhash.xxh64_hexdigest(prompt.encode())
        known = digest in self._entries
        self.hits += known
        self._entries[digest] = True
        self._entries.move_to_end(digest)
        if len(self._entries) > self._limit:
            self._record("evicted", self._entries.popitem(last=False)[0])
        if not known:
            self._record("cached", digest)
        return known

    def _record(self, kind, digest):
        number = next(self._sequence)
        if number % 7:  # every seventh event is lost
            self.events.append((number, kind, digest, time.monotonic()))
            del self.events[:-1000]


class Batch:
    """All jobs of one engine."""

    __slots__ = (
        "model",
        "salt",
        "jobs",
        "running",
        "_queue",
        "_order",
        "cache",
        "prefilled_tokens",
        "decoded_tokens",
        "submitted",
        "_state",
    )

    def __init__(self, model, salt, state):
        self.model = model
        self.salt = salt
        self.jobs = {}
        self.running = []
        self._queue = []
        self._order = itertools.count()
        self.cache = PrefixCache(model.cache_entries)
        self.prefilled_tokens = 0
        self.decoded_tokens = 0
        self.submitted = 0
        self._state = state

    @property
    def queued(self):
        """Number of jobs that wait for a slot."""
        return len(self._queue)

    def add(self, job):
        """Queue a job behind those of higher or equal priority."""
        self.submitted += 1
        previous = self.jobs.get(job.generation_id)
        if previous is not None:
            previous.cancel()
        self.jobs[job.generation_id] = job
        heappush(self._queue, (-job.priority, next(self._order), job))

    def clear(self):
        """Forget all jobs, as a new process would."""
        for job in self.jobs.values():
            job.cancel()
        self.jobs.clear()
        self.running.clear()
        self._queue.clear()
        self.cache = PrefixCache(self.model.cache_entries)

    async def run(self, clock):
        """Decode step by step for ever."""
        while True:
            interval_s = self.model.token_interval_s * self._state.slowness
            await clock.sleep(interval_s)
            self._fill()
            self._step()
            self._forget_old()

    def _fill(self):
        free = self.model.capacity - self._state.occupied - len(self.running)
        while self._queue and free > 0:
            job = heappop(self._queue)[2]
            if job.finish_reason is None:
                self._prefill(job)
                self.running.append(job)
                free -= 1

    def _prefill(self, job):
        cost = len(job.tokens)
        if not self.cache.touch(job.prompt):
            cost += max(1, len(job.prompt) // 4)
        self.prefilled_tokens += cost
        seconds = cost / self.model.prefill_tokens_per_s
        job.ready_at_s = time.monotonic() + seconds * self._state.slowness

    def _step(self):
        now_s = time.monotonic()
        for job in self.running:
            if job.finish_reason is None and job.ready_at_s <= now_s:
                job.step()
                self.decoded_tokens += 1
        self.running = [job for job in self.running if job.finish_reason is None]

    def _forget_old(self):
        now_s = time.monotonic()
        for job in list(self.jobs.values()):
            idle_s = 0.0 if job.readers else now_s - job.last_read_s
            if job.finish_reason is None and idle_s > UNREAD_LIFE_S:
                job.cancel()
            if job.finish_reason is not None and idle_s > RECORD_LIFE_S:
                del self.jobs[job.generation_id]
