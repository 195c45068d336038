"""Choice of the engine that runs a generation and of the engine that backs it up.

The docstring of each policy names the load pattern that it is made for.
"""

from dataclasses import dataclass

from sapphirerock.decisions.rendezvous import weigh_candidate

PLACEMENTS = {}
# Cost of each run on an engine, as the number of prompt tokens queued for prefill that
# would slow down a new run as much.
RUN_COST_TOKENS = 400
# Share of the memory in use that counts like queued prompt tokens: an engine with full
# memory takes no KV copies and preempts runs.
MEMORY_COST_SHARE = 0.05
# Random extra cost of an engine, at most this share of the call's own prompt. Hosts see
# each other's load with a delay and would otherwise all choose the same engine.
COST_JITTER_SHARE = 0.75
# Share of an engine's memory that KV copies must leave free for its own runs.
RUN_RESERVE_SHARE = 0.35
RANDOM_CHOICES = 2
# One engine in this many is an owner of a given prefix.
ENGINES_PER_PREFIX_OWNER = 8


def register_placement(name):
    """Register a policy class under the name that selects it."""

    def register(cls):
        cls.name = name
        PLACEMENTS[name] = cls
        return cls

    return register


@dataclass(slots=True, frozen=True)
class EngineView:
    """An engine's load as one host sees it.

    Parameters
    ----------
    name, availability_zone : str
        Id of the engine, and its zone.
    slots : int
        Calls that the engine runs concurrently.
    prompt_tokens : int
        Prompt tokens queued for prefill.
    runs : int
        Generations on the engine.
    memory_tokens, copy_tokens : int
        Memory that its runs and its KV copies of other engines' runs will occupy.
    capacity_tokens : int
        Size of its KV memory.
    failure_share : float
        Share of this host's recent calls to the engine that failed.
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
        """Memory that is neither in use nor reserved."""
        return self.capacity_tokens - self.memory_tokens - self.copy_tokens


class PlacementPolicy:
    """Base class: ranks engines by a cost.

    Parameters
    ----------
    generator : random.Random
        Source of randomness, also breaks ties.
    """

    __slots__ = ("_random",)
    name = ""

    def __init__(self, generator):
        self._random = generator

    def choose(self, views, prompt):
        """Return the view of the engine to run on, or None if there is no engine.

        Parameters
        ----------
        views : list of EngineView
            Usable engines.
        prompt : Prompt
            Token counts of the call.
        """
        return min(
            views,
            key=lambda view: (self.measure_cost(view, prompt), self._random.random()),
            default=None,
        )

    def measure_cost(self, view, prompt):
        """Return the cost of placing a prompt on an engine; the lowest cost wins."""
        raise NotImplementedError


@register_placement("round-robin")
class RoundRobin(PlacementPolicy):
    """Baseline: all engines alike, whatever their load.

    The choice is random, since all costs are equal.
    """

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return the same cost for all engines."""
        return 0


@register_placement("fewest-streams")
class FewestStreams(PlacementPolicy):
    """For a steady load of calls of one size."""

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return the number of runs on the engine."""
        return view.runs


@register_placement("least-prompt-tokens")
class LeastPromptTokens(PlacementPolicy):
    """For bursts of long prompts, and for engines that have just restarted empty."""

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return the tokens that delay a run plus those that exceed the free memory."""
        shortfall_tokens = max(0, prompt.memory_tokens - view.free_tokens)
        memory_cost = MEMORY_COST_SHARE * (view.memory_tokens + view.copy_tokens)
        return (
            view.prompt_tokens
            + view.runs * RUN_COST_TOKENS
            + memory_cost
            + shortfall_tokens
        )


@register_placement("two-choices")
class TwoChoices(LeastPromptTokens):
    """For many hosts that choose at the same time from slightly stale views."""

    __slots__ = ()

    def choose(self, views, prompt):
        """Return the cheaper of two random engines."""
        if len(views) > RANDOM_CHOICES:
            views = self._random.sample(views, RANDOM_CHOICES)
        return super().choose(views, prompt)


@register_placement("spread-prompt-tokens")
class SpreadPromptTokens(LeastPromptTokens):
    """For a reconnect surge on many hosts, after the loss of a zone or a host."""

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return the cost plus a random share of the call's own prompt tokens."""
        jitter_tokens = self._random.uniform(0.0, COST_JITTER_SHARE * prompt.tokens)
        return super().measure_cost(view, prompt) + jitter_tokens


@register_placement("same-prefix")
class SamePrefix(SpreadPromptTokens):
    """For calls with long common prefixes, which engines cache."""

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return the cost, less the cached prefix tokens on an owner of the prefix."""
        cost = super().measure_cost(view, prompt)
        if not prompt.parts or len(prompt.parts) < 2:
            return cost
        shared = sum(tokens for _, tokens in prompt.parts[:-1])
        # Owners are a function of engine and prefix, so all hosts agree on them.
        key = f"{view.name}:{prompt.parts[-2][0]}"
        is_owner = weigh_candidate(view.name, key) % ENGINES_PER_PREFIX_OWNER == 0
        return cost - shared if is_owner else cost


def choose_backup_engine(views, availability_zone, needed_tokens):
    """Return the view of the engine that keeps the KV copy of a run, or None.

    Engines of one availability zone fail together, so another zone is preferred. No
    engine is chosen where the copy would leave too little memory for runs: that does
    more harm than a second prefill of the prompt.

    Parameters
    ----------
    views : list of EngineView
        Usable engines without the run's own.
    availability_zone : str
        Zone of the run's engine.
    needed_tokens : int
        Memory that the copy will occupy.
    """
    fitting = [
        view
        for view in views
        if view.free_tokens - needed_tokens >= RUN_RESERVE_SHARE * view.capacity_tokens
    ]
    return min(
        fitting,
        key=lambda view: (
            view.availability_zone == availability_zone,
            view.memory_tokens + view.copy_tokens,
            view.prompt_tokens,
        ),
        default=None,
    )


def choose_plain_call_engine(views, availability_zone):
    """Return the view of the engine for a call without streaming, or None.

    Made for many short calls with a latency target. It prefers a free slot in the
    caller's zone, then a free slot in another zone, then the shortest queue relative
    to the slots.

    Parameters
    ----------
    views : list of EngineView
        Usable engines.
    availability_zone : str
        Zone in which the call arrived.
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
