"""Simulated engines: batching, chunked prefill, KV memory and preemption."""

from dataclasses import dataclass, field

from sapphirerock.decisions.health import FailureShare
from sapphirerock.decisions.placement import EngineView


@dataclass(slots=True, frozen=True)
class EngineModel:
    """Performance parameters of an engine.

    Parameters
    ----------
    prefill_tokens_per_s : float
        Prefill rate of the engine while other runs decode.
    mixed_decode_tokens_per_s, decode_tokens_per_s : float
        Decode rate of each run, with and without a concurrent prefill.
    capacity_tokens : int
        Capacity of the KV memory, in tokens.
    slots : int
        Maximum number of concurrent runs.
    """

    prefill_tokens_per_s: float = 6400.0
    mixed_decode_tokens_per_s: float = 32.0
    decode_tokens_per_s: float = 157.0
    capacity_tokens: int = 88_000
    slots: int = 64


@dataclass(slots=True, eq=False)
class SimulatedRun:
    """One run of a stream on an engine.

    Parameters
    ----------
    stream : SimulatedStream
        Stream that the run serves.
    pending_prefill_tokens : float
        Tokens to prefill before the next token can be decoded.
    generated_tokens : float
        Output tokens of the stream, including those of earlier runs.
    """

    stream: object
    pending_prefill_tokens: float
    generated_tokens: float

    @property
    def memory_tokens(self):
        """KV memory that the run occupies, in tokens."""
        prompt = self.stream.prompt.tokens
        return max(0.0, prompt - self.pending_prefill_tokens) + self.generated_tokens


@dataclass(slots=True, eq=False)
class SimulatedEngine:
    """One simulated engine.

    Parameters
    ----------
    name, zone : str
        Name and availability zone.
    model : EngineModel
        Performance parameters.
    slowdown : float
        Factor by which all work takes longer.
    failure_probability : float
        Probability that a call fails at once.
    health : FailureShare
        Share of the recent calls that failed.
    is_up : bool
        Whether the engine works.
    is_known_down : bool
        Whether the hosts know that the engine is down.
    runs : list of SimulatedRun
        Runs in the order of their start.
    kv_copies : dict
        Size in tokens of the KV copy kept for each stream, oldest first.
    preemptions : int
        Number of preempted runs.
    """

    name: str
    zone: str
    model: EngineModel
    slowdown: float = 1.0
    failure_probability: float = 0.0
    health: FailureShare = field(default_factory=FailureShare)
    is_up: bool = True
    is_known_down: bool = False
    runs: list = field(default_factory=list)
    kv_copies: dict = field(default_factory=dict)
    preemptions: int = 0

    def advance(self, seconds):
        """Simulate some seconds of work; return the runs that decoded tokens."""
        if not self.is_up or not self.runs:
            return []
        model = self.model
        seconds /= self.slowdown
        active = self.runs[: model.slots]
        prefilling = next(
            (run for run in active if run.pending_prefill_tokens > 0), None
        )
        decode_tokens_per_s = model.decode_tokens_per_s
        if prefilling is not None:
            decode_tokens_per_s = model.mixed_decode_tokens_per_s
            prefilled_tokens = min(
                prefilling.pending_prefill_tokens, model.prefill_tokens_per_s * seconds
            )
            prefilling.pending_prefill_tokens -= prefilled_tokens
        decoding = [run for run in active if run.pending_prefill_tokens <= 0]
        for run in decoding:
            run.generated_tokens += decode_tokens_per_s * seconds
        self._preempt()
        return decoding

    def _preempt(self):
        """Free memory by dropping KV copies, then by preempting the newest run.

        A preempted run prefills its prompt and its output again.
        """
        copied_tokens = sum(self.kv_copies.values())
        while len(self.runs) > 1:
            used_tokens = copied_tokens + sum(run.memory_tokens for run in self.runs)
            if used_tokens <= self.model.capacity_tokens:
                return
            # KV copies are dropped first: they may only use memory that no run needs.
            if self.kv_copies:
                copied_tokens -= self.kv_copies.pop(next(iter(self.kv_copies)))
                continue
            newest = self.runs.pop()
            newest.stream.wasted_tokens += newest.memory_tokens
            newest.pending_prefill_tokens = (
                newest.stream.prompt.tokens + newest.generated_tokens
            )
            self.runs.append(newest)
            self.preemptions += 1
            return

    def make_view(self, now_s, shows_pace=True):
        """Return the state of the engine as hosts see it, with or without its pace."""
        expected_memory_tokens = [run.stream.prompt.memory_tokens for run in self.runs]
        pending_prefill_tokens = sum(run.pending_prefill_tokens for run in self.runs)
        return EngineView(
            name=self.name,
            availability_zone=self.zone,
            slots=self.model.slots,
            prompt_tokens=int(pending_prefill_tokens),
            runs=len(self.runs),
            memory_tokens=int(sum(expected_memory_tokens)),
            copy_tokens=int(sum(self.kv_copies.values())),
            capacity_tokens=self.model.capacity_tokens,
            failure_share=self.health.measure(now_s),
            slowness=self.slowdown if shows_pace else 1.0,
        )
