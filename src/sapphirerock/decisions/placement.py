"""Which engine a generation runs on, and which one keeps a copy of its memory.

Each policy answers a load pattern; its docstring names it.
"""

from dataclasses import dataclass

from sapphirerock.decisions.rendezvous import weigh_candidate

PLACEMENTS = {}
# What a run costs a new one, in tokens of a prompt that must be read before: both
# slow it down.
RUN_COST_TOKENS = 400
# Part of the memory in use that counts like a prompt: an engine that is full takes no
# copies and preempts.
MEMORY_COST_SHARE = 0.05
# Engines whose costs differ by less than this part of the call's own prompt count as
# equal: what hosts know of each other is a moment old, and all would choose the same.
SPREAD_SHARE = 0.75
# Part of an engine's memory that copies for others leave to its runs.
COPY_RESERVE_SHARE = 0.35
RANDOM_CHOICES = 2
# One engine in this many owns a prefix.
OWNERS_OF_ALL = 8


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
    failure_share : float
        Part of this host's latest calls there that failed.
    """

    name: str
    availability_zone: str
    slots: int
    prompt_tokens: int
    runs: int
    memory_tokens: int
    copy_tokens: int
    capacity_tokens: int
    failure_share: float = 0.0

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
        """Return the view of the engine to run on, or None without any.

        Parameters
        ----------
        views : list of EngineView
            Engines that can be used.
        prompt : Prompt
            Sizes of the call.
        """
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
        """Return the tokens that delay a run, and those that it finds no room for."""
        lacking = max(0, prompt.memory_tokens - view.free_tokens)
        used = MEMORY_COST_SHARE * (view.memory_tokens + view.copy_tokens)
        return view.prompt_tokens + view.runs * RUN_COST_TOKENS + used + lacking


@register_placement("two-choices")
class TwoChoices(LeastPromptTokens):
    """Many hosts that choose at once by views that are a moment old."""

    __slots__ = ()

    def choose(self, views, prompt):
        """Return the better of two random engines."""
        if len(views) > RANDOM_CHOICES:
            views = self._random.sample(views, RANDOM_CHOICES)
        return super().choose(views, prompt)


@register_placement("spread-prompt-tokens")
class SpreadPromptTokens(LeastPromptTokens):
    """A herd of calls on many hosts, after a zone or a host was lost."""

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return a cost that is blurred by a part of the call's own prompt."""
        spread = self._random.uniform(0.0, SPREAD_SHARE * prompt.tokens)
        return super().measure_cost(view, prompt) + spread


@register_placement("same-prefix")
class SamePrefix(SpreadPromptTokens):
    """Calls that share long prompts, which engines keep in memory."""

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return the cost without what the owner of the prefix need not read."""
        cost = super().measure_cost(view, prompt)
        if not prompt.parts or len(prompt.parts) < 2:
            return cost
        shared = sum(tokens for _, tokens in prompt.parts[:-1])
        # Owners differ by prefix, not by host, so that hosts agree without words.
        key = f"{view.name}:{prompt.parts[-2][0]}"
        is_owner = weigh_candidate(view.name, key) % OWNERS_OF_ALL == 0
        return cost - shared if is_owner else cost


def choose_backup(views, availability_zone, needed_tokens):
    """Return the view of the engine that keeps a copy of a run's memory, or None.

    Engines of one availability zone fail together, so another zone comes first. A
    copy that leaves no room for runs does more harm than a prompt read again.

    Parameters
    ----------
    views : list of EngineView
        Engines that can be used, the run's own left out.
    availability_zone : str
        Zone of the run's engine.
    needed_tokens : int
        Tokens that the copy will occupy.
    """
    roomy = [
        view
        for view in views
        if view.free_tokens - needed_tokens >= COPY_RESERVE_SHARE * view.capacity_tokens
    ]
    return min(
        roomy,
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
