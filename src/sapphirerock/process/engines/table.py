"""Engines as they registered, with what this host knows of each."""

from dataclasses import dataclass, field

from loguru import logger

from sapphirerock.decisions.health import FailureShare

# An engine that was found down is tried again after this long; the time doubles
# with each failure in a row.
DOWN_FOR_S = 1.5
MAX_DOWN_FOR_S = 12.0


@dataclass(slots=True)
class EngineLoadCell:
    """What one host, or several together, have under way on an engine.

    Parameters
    ----------
    prompt_tokens : int
        Tokens of prompts without a first event yet.
    runs : int
        Calls under way.
    memory_tokens, copy_tokens : int
        Tokens that the runs and the copies for others will occupy.
    """

    prompt_tokens: int = 0
    runs: int = 0
    memory_tokens: int = 0
    copy_tokens: int = 0

    @property
    def is_loaded(self):
        """Whether anything is under way."""
        return bool(self.runs or self.copy_tokens)

    def to_numbers(self):
        """Return the fields in their order."""
        return [self.prompt_tokens, self.runs, self.memory_tokens, self.copy_tokens]

    def add(self, other):
        """Add another cell's numbers."""
        self.prompt_tokens += other.prompt_tokens
        self.runs += other.runs
        self.memory_tokens += other.memory_tokens
        self.copy_tokens += other.copy_tokens

    def subtract(self, other):
        """Take another cell's numbers off, down to zero."""
        self.prompt_tokens = max(0, self.prompt_tokens - other.prompt_tokens)
        self.runs = max(0, self.runs - other.runs)
        self.memory_tokens = max(0, self.memory_tokens - other.memory_tokens)
        self.copy_tokens = max(0, self.copy_tokens - other.copy_tokens)


@dataclass(slots=True, eq=False)
class EngineState:
    """An engine and this host's view of it.

    Parameters
    ----------
    entry : EngineEntry
        Its registration.
    own : EngineLoadCell
        What this host has under way there.
    others : EngineLoadCell
        What other hosts say they have.
    loads_heard_s : float or None
        Monotonic time at which another host last said so.
    attempts : set of EngineAttempt
        This host's attempts there.
    heard_at_s : float
        Monotonic time of the last bytes from it.
    down_until_s : float
        Monotonic time until which it gets no work, because it failed.
    failures : int
        Times in a row that it was found down.
    health : FailureShare
        How many of this host's calls there fail.
    is_gone : bool
        Whether its registration has ended, or another engine has its address.
    is_probed : bool
        Whether it is being asked whether it is still there.
    """

    entry: object
    own: EngineLoadCell = field(default_factory=EngineLoadCell)
    others: EngineLoadCell = field(default_factory=EngineLoadCell)
    loads_heard_s: float | None = None
    attempts: set = field(default_factory=set)
    heard_at_s: float = 0.0
    down_until_s: float = 0.0
    failures: int = 0
    health: FailureShare = field(default_factory=FailureShare)
    is_gone: bool = False
    is_probed: bool = False

    @property
    def name(self):
        """The engine's id."""
        return self.entry.name

    def note_heard(self, now_s):
        """Take note of bytes from the engine."""
        self.heard_at_s = now_s
        self.failures = 0


class EngineTable:
    """All registered engines.

    Parameters
    ----------
    decode : callable
        From a name and a registration's content to a Result of EngineEntry.
    clock : Clock
        Source of time.
    metrics : EdgeMetrics
        Counts engines.
    """

    __slots__ = ("_decode", "_clock", "_metrics", "_states")

    def __init__(self, decode, clock, metrics):
        self._decode = decode
        self._clock = clock
        self._metrics = metrics
        self._states = {}

    def apply_changes(self, changes):
        """Take over registrations from the store."""
        for change in changes:
            if change.is_deletion:
                self._remove(change.name)
                continue
            decoded = self._decode(change.name, change.spec)
            if decoded.is_error():
                logger.bind(entry=change.name, cause=str(decoded.error)).warning(
                    "registration ignored"
                )
                self._remove(change.name)
            else:
                self._put(decoded.ok)
        self._metrics.engines.set(len(self._states))

    def _put(self, entry):
        known = self._states.get(entry.name)
        if known is not None and is_same_start(known.entry, entry):
            known.entry = entry
            return
        self._remove(entry.name)
        for state in self._states.values():
            # An address has one engine; an entry that is older has not lapsed yet.
            if state.entry.address == entry.address:
                state.is_gone = True
        self._states[entry.name] = EngineState(entry)

    def _remove(self, name):
        known = self._states.pop(name, None)
        if known is not None:
            known.is_gone = True

    def get(self, name):
        """Return the state of an engine, or None."""
        return self._states.get(name)

    def list_all(self):
        """Return the states of all engines."""
        return list(self._states.values())

    def list_usable(self, service):
        """Return the states of a service's engines that may get new work."""
        return [
            state
            for state in self._states.values()
            if state.entry.service == service and self.is_usable(state)
        ]

    def is_usable(self, state):
        """Return whether an engine may get new work."""
        if state.is_gone or state.entry.is_leaving:
            return False
        return state.down_until_s <= self._clock.monotonic()

    def mark_replaced(self, state):
        """Take out an engine for good: another one answers at its address."""
        if not state.is_gone:
            logger.bind(engine=state.name, address=state.entry.address).warning(
                "engine replaced"
            )
            state.is_gone = True

    def mark_down(self, state, cause):
        """Give an engine no work for a while."""
        now_s = self._clock.monotonic()
        if state.down_until_s > now_s:
            return
        down_for_s = min(MAX_DOWN_FOR_S, DOWN_FOR_S * 2**state.failures)
        state.failures += 1
        state.down_until_s = now_s + down_for_s
        logger.bind(
            engine=state.name,
            cause=cause,
            attempts=len(state.attempts),
            down_for_s=down_for_s,
        ).warning("engine down")


def is_same_start(old, new):
    """Return whether two registrations are of one life of an engine."""
    return (old.service, old.address, old.born_ms) == (
        new.service,
        new.address,
        new.born_ms,
    )
