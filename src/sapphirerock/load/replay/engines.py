"""A model of an engine: batches, prompts read in chunks, memory, preemption."""

from dataclasses import dataclass, field

from sapphirerock.decisions.health import FailureShare
from sapphirerock.decisions.placement import EngineView


@dataclass(slots=True, frozen=True)
class EngineModel:
    """Figures of an engine.

    Parameters
    ----------
    prompt_tokens_per_s : float
        Tokens of prompts read in a second while runs go on beside.
    busy_tokens_per_s, free_tokens_per_s : float
        Tokens that each run makes in a second, while prompts are read and while
        none are.
    capacity_tokens : int
        Tokens that the memory holds.
    slots : int
        Runs at once.
    """

    prompt_tokens_per_s: float = 6400.0
    busy_tokens_per_s: float = 32.0
    free_tokens_per_s: float = 157.0
    capacity_tokens: int = 88_000
    slots: int = 64


@dataclass(slots=True, eq=False)
class SimulatedRun:
    """A run on an engine.

    Parameters
    ----------
    stream : SimulatedStream
        What it works for.
    unread_tokens : float
        Tokens that must be read before the next token is made.
    made_tokens : float
        Tokens of the answer, those before this run included.
    """

    stream: object
    unread_tokens: float
    made_tokens: float

    @property
    def memory_tokens(self):
        """Tokens of memory that it occupies now."""
        prompt = self.stream.prompt.tokens
        return max(0.0, prompt - self.unread_tokens) + self.made_tokens


@dataclass(slots=True, eq=False)
class SimulatedEngine:
    """One engine.

    Parameters
    ----------
    name, zone : str
        Which engine, and where.
    model : EngineModel
        Its figures.
    slowness : float
        Times longer that everything takes.
    failing_share : float
        Part of its calls that it fails at once.
    """

    name: str
    zone: str
    model: EngineModel
    slowness: float = 1.0
    failing_share: float = 0.0
    health: FailureShare = field(default_factory=FailureShare)
    is_up: bool = True
    is_known_down: bool = False
    runs: list = field(default_factory=list)
    copies: dict = field(default_factory=dict)
    preempted: int = 0

    def advance(self, seconds):
        """Work for some time; return the runs that made tokens."""
        if not self.is_up or not self.runs:
            return []
        model = self.model
        seconds /= self.slowness
        active = self.runs[: model.slots]
        reading = next((run for run in active if run.unread_tokens > 0), None)
        rate = model.free_tokens_per_s
        if reading is not None:
            rate = model.busy_tokens_per_s
            read = min(reading.unread_tokens, model.prompt_tokens_per_s * seconds)
            reading.unread_tokens -= read
        making = [run for run in active if run.unread_tokens <= 0]
        for run in making:
            run.made_tokens += rate * seconds
        self._preempt()
        return making

    def _preempt(self):
        """Make room by reading the newest run in again later."""
        copied = sum(self.copies.values())
        while len(self.runs) > 1:
            used = copied + sum(run.memory_tokens for run in self.runs)
            if used <= self.model.capacity_tokens:
                return
            # Copies for others yield first: they are kept only while there is room.
            if self.copies:
                copied -= self.copies.pop(next(iter(self.copies)))
                continue
            newest = self.runs.pop()
            newest.stream.wasted_tokens += newest.memory_tokens
            newest.unread_tokens = newest.stream.prompt.tokens + newest.made_tokens
            self.runs.append(newest)
            self.preempted += 1
            return

    def make_view(self, now_s):
        """Return what a host knows of it."""
        expected = [run.stream.prompt.memory_tokens for run in self.runs]
        unread = sum(run.unread_tokens for run in self.runs)
        return EngineView(
            name=self.name,
            availability_zone=self.zone,
            slots=self.model.slots,
            prompt_tokens=int(unread),
            runs=len(self.runs),
            memory_tokens=int(sum(expected)),
            copy_tokens=int(sum(self.copies.values())),
            capacity_tokens=self.model.capacity_tokens,
            failure_share=self.health.measure(now_s),
        )
