"""Which engine a generation runs on, and which one keeps a copy of its memory.

Each policy answers a load pattern; its docstring names it.
"""

from dataclasses import dataclass

PLACEMENTS = {}
# Tokens of memory that count like one token of a prompt yet to be read: both
# delay a new run, but memory only once it is full.
MEMORY_WEIGHT = 0.05
RUN_WEIGHT_TOKENS = 400


def register_placement(name):
    """Register a policy class under a name."""

    def register(cls):
        cls.name = name
        PLACEMENTS[name] = cls
        return cls

    return register


@dataclass(slots=True, frozen=True)
class EngineView:
    """What is known of an engine's load.

    Parameters
    ----------
    name, availability_zone : str
        Which engine, and where.
    slots : int
        Calls that it works on at once.
    prompt_tokens : int
        Tokens of prompts that it has yet to read.
    runs : int
        Generations that it works on.
    memory_tokens, copy_tokens : int
        Tokens that its runs and the copies for others will occupy.
    capacity_tokens : int
        Tokens that its memory holds.
    """

    name: str
    availability_zone: str
    slots: int
    prompt_tokens: int
    runs: int
    memory_tokens: int
    copy_tokens: int
    capacity_tokens: int

    @property
    def free_tokens(self):
        """Tokens that are neither occupied nor promised."""
        return self.capacity_tokens - self.memory_tokens - self.copy_tokens


class PlacementPolicy:
    """Base class: ranks engines by a cost.

    Parameters
    ----------
    generator : random.Random
        Breaks ties.
    """

    __slots__ = ("_random",)
    name = ""

    def __init__(self, generator):
        self._random = generator

    def choose(self, views, prompt):
        """Return the view of the engine to run on, or None without any."""
        return min(
            views,
            key=lambda view: (self.measure_cost(view, prompt), self._random.random()),
            default=None,
        )

    def measure_cost(self, view, prompt):
        """Return what placing a prompt on an engine costs; the least wins."""
        raise NotImplementedError


@register_placement("round-robin")
class RoundRobin(PlacementPolicy):
    """All engines alike, whatever their load: the baseline."""

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return the same for all."""
        return 0


@register_placement("fewest-streams")
class FewestStreams(PlacementPolicy):
    """Steady load of calls of one size."""

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return the number of runs."""
        return view.runs


@register_placement("least-prompt-tokens")
class LeastPromptTokens(PlacementPolicy):
    """Bursts of long prompts, and engines that have just come back empty."""

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return the tokens that delay a new run, weighed by how much."""
        lacking = max(0, prompt.memory_tokens - view.free_tokens)
        memory = MEMORY_WEIGHT * (view.memory_tokens + view.copy_tokens)
        return view.prompt_tokens + memory + view.runs * RUN_WEIGHT_TOKENS + lacking


def choose_backup(views, availability_zone):
    """Return the view of the engine that keeps a copy of a run's memory, or None.

    Engines of one availability zone fail together, so another zone comes first.

    Parameters
    ----------
    views : list of EngineView
        Engines that can be used, the run's own left out.
    availability_zone : str
        Zone of the run's engine.
    """
    return min(
        views,
        key=lambda view: (
            view.availability_zone == availability_zone,
            view.memory_tokens + view.copy_tokens,
            view.prompt_tokens,
        ),
        default=None,
    )


def choose_plain(views, availability_zone):
    """Return the view of the engine for a call that is answered whole, or None.

    Answers the load pattern of many short calls with a latency target: a free slot
    in the caller's zone, then one elsewhere, then the shortest queue.

    Parameters
    ----------
    views : list of EngineView
        Engines that can be used.
    availability_zone : str
        Zone that the call came in at.
    """
    return min(
        views,
        key=lambda view: (
            view.runs >= view.slots,
            view.availability_zone != availability_zone,
            view.runs / view.slots,
        ),
        default=None,
    )
