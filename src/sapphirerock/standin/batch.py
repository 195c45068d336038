"""Decoding by the engine stand-in: batching, priorities and a bounded prefix cache."""

import asyncio
import itertools
import time
from collections import OrderedDict
from heapq import heappop, heappush

import xxhash

from sapphirerock.standin.chain import TokenChain

# A finished job is removed once nobody has read it for this long.
FINISHED_JOB_TTL_S = 60.0
# An unfinished job is cancelled once nobody has read it for this long.
UNREAD_JOB_TIMEOUT_S = 10.0


class EnginePerformance:
    """Speeds and capacities of a simulated engine.

    Parameters
    ----------
    capacity : int
        Maximum number of generations in one batch.
    token_interval_s : float
        Duration of one decoding step, in seconds.
    prefill_tokens_per_s : float
        Tokens of prompt and prefix prefilled per second.
    cache_entries : int
        Maximum number of prompts in the prefix cache.
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
    """One generation on the stand-in.

    Parameters
    ----------
    generation_id, prompt : str
        Id and prompt of the generation.
    prefix : list of int
        Output tokens that are already known. Decoding continues after them.
    max_tokens : int
        Number of output tokens at which the job finishes, prefix included.
    priority : int
        Jobs with a higher priority start first.
    salt : int
        Salt of the generated tokens, see `TokenChain`.

    Attributes
    ----------
    tokens : list of int
        All output tokens, prefix included.
    ready_at_s : float
        Monotonic time at which prefill ends and decoding begins.
    finish_reason : str or None
        "length" or "cancelled"; None until the job has finished.
    changed : asyncio.Event
        Set at the next change, and then replaced by a new event.
    readers : int
        Number of streams that read the job.
    last_read_s : float
        Monotonic time at which a stream last ended, or at which the job was created.
    """

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
        """Wake every stream that reads this job."""
        self.changed.set()
        self.changed = asyncio.Event()

    def decode_token(self):
        """Decode one token; finish the job if it then has ``max_tokens``."""
        if len(self.tokens) < self.max_tokens:
            self.tokens.append(self.chain.make_token())
        if len(self.tokens) >= self.max_tokens:
            self.finish_reason = "length"
        self.wake_readers()

    def cancel(self):
        """Set the finish reason to "cancelled" unless the job has finished."""
        if self.finish_reason is None:
            self.finish_reason = "cancelled"
            self.wake_readers()


class PrefixCache:
    """LRU cache of prompts with an incomplete log of changes.

    Every seventh event is missing from the log, which leaves a gap in the sequence
    numbers.

    Parameters
    ----------
    max_entries : int
        Maximum number of prompts.

    Attributes
    ----------
    events : list of (int, str, str, float)
        Sequence number, kind ("cached" or "evicted"), prompt digest and monotonic time
        of each of the latest 1000 events.
    hits : int
        Number of lookups that found the prompt.
    """

    __slots__ = ("_entries", "_max_entries", "events", "hits", "_sequence")

    def __init__(self, max_entries):
        self._entries = OrderedDict()
        self._max_entries = max_entries
        self._sequence = itertools.count(1)
        self.events = []
        self.hits = 0

    def touch(self, prompt):
        """Add the prompt as the most recent entry and return whether it was cached."""
        digest = xxhash.xxh64_hexdigest(prompt.encode())
        is_cached = digest in self._entries
        self.hits += is_cached
        self._entries[digest] = True
        self._entries.move_to_end(digest)
        if len(self._entries) > self._max_entries:
            self._append_event("evicted", self._entries.popitem(last=False)[0])
        if not is_cached:
            self._append_event("cached", digest)
        return is_cached

    def _append_event(self, kind, digest):
        """Append an event to the log, except for every seventh."""
        sequence = next(self._sequence)
        if sequence % 7:
            self.events.append((sequence, kind, digest, time.monotonic()))
            del self.events[:-1000]


class Batch:
    """The queued, running and finished jobs of one engine.

    Parameters
    ----------
    performance : EnginePerformance
        Speeds and capacities of the engine.
    salt : int
        Salt of the generated tokens, see `TokenChain`.
    faults : FaultState
        Source of the slowdown and of the occupied slots.

    Attributes
    ----------
    jobs : dict
        Jobs by generation id, finished ones included.
    running : list of EngineJob
        Jobs that occupy a slot.
    prefilled_tokens, decoded_tokens : int
        Numbers of tokens since the start of the process.
    submitted : int
        Number of jobs added since the start of the process.
    """

    __slots__ = (
        "performance",
        "salt",
        "jobs",
        "running",
        "_queue",
        "_arrival_numbers",
        "cache",
        "prefilled_tokens",
        "decoded_tokens",
        "submitted",
        "_faults",
    )

    def __init__(self, performance, salt, faults):
        self.performance = performance
        self.salt = salt
        self.jobs = {}
        self.running = []
        self._queue = []
        self._arrival_numbers = itertools.count()
        self.cache = PrefixCache(performance.cache_entries)
        self.prefilled_tokens = 0
        self.decoded_tokens = 0
        self.submitted = 0
        self._faults = faults

    @property
    def queued_count(self):
        """Number of jobs waiting for a slot."""
        return len(self._queue)

    def add(self, job):
        """Queue a job after those of higher or equal priority.

        A job with the same generation id is cancelled.
        """
        self.submitted += 1
        previous = self.jobs.get(job.generation_id)
        if previous is not None:
            previous.cancel()
        self.jobs[job.generation_id] = job
        heappush(self._queue, (-job.priority, next(self._arrival_numbers), job))

    def clear(self):
        """Cancel and remove all jobs and empty the cache, as a restart would."""
        for job in self.jobs.values():
            job.cancel()
        self.jobs.clear()
        self.running.clear()
        self._queue.clear()
        self.cache = PrefixCache(self.performance.cache_entries)

    async def run(self, clock):
        """Run decoding steps until cancelled."""
        while True:
            interval_s = self.performance.token_interval_s * self._faults.slowdown
            await clock.sleep(interval_s)
            self._admit_queued()
            self._decode_step()
            self._remove_expired_jobs()

    def _admit_queued(self):
        free_slots = (
            self.performance.capacity - self._faults.occupied_slots - len(self.running)
        )
        while self._queue and free_slots > 0:
            job = heappop(self._queue)[2]
            if job.finish_reason is None:
                self._prefill(job)
                self.running.append(job)
                free_slots -= 1

    def _prefill(self, job):
        """Count the tokens to prefill and set the time at which prefill ends."""
        token_count = len(job.tokens)
        if not self.cache.touch(job.prompt):
            # A token stands for about four characters of the prompt.
            token_count += max(1, len(job.prompt) // 4)
        self.prefilled_tokens += token_count
        prefill_s = token_count / self.performance.prefill_tokens_per_s
        job.ready_at_s = time.monotonic() + prefill_s * self._faults.slowdown

    def _decode_step(self):
        now_s = time.monotonic()
        for job in self.running:
            if job.finish_reason is None and job.ready_at_s <= now_s:
                job.decode_token()
                self.decoded_tokens += 1
        self.running = [job for job in self.running if job.finish_reason is None]

    def _remove_expired_jobs(self):
        """Cancel unread jobs and remove finished ones that nobody reads."""
        now_s = time.monotonic()
        for job in list(self.jobs.values()):
            idle_s = 0.0 if job.readers else now_s - job.last_read_s
            if job.finish_reason is None and idle_s > UNREAD_JOB_TIMEOUT_S:
                job.cancel()
            if job.finish_reason is not None and idle_s > FINISHED_JOB_TTL_S:
                del self.jobs[job.generation_id]
