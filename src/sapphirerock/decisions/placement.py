"""Placement: chooses the engine of a generation and the engine that keeps its KV copy.

The docstring of each policy names the load pattern that it is made for.
"""

import math
from dataclasses import dataclass, replace

from sapphirerock.decisions.rendezvous import weigh_candidate

PLACEMENTS = {}
# Cost of each run on an engine, as the number of prompt tokens queued for prefill that
# would slow down a new run as much.
RUN_COST_TOKENS = 400
# Cost of each token of memory in use, in queued prompt tokens. An engine whose memory
# is full accepts no KV copies and preempts runs.
MEMORY_COST_SHARE = 0.05
# Cost saved by each cached token of a call's prompt, in queued prompt tokens. One that
# is prefilled again delays the call itself and the prompts behind it.
CACHED_TOKEN_GAIN = 2
# Time to generate a token, as the number of prompt tokens that are read meanwhile.
OUTPUT_COST = 5
# Upper limit of the random cost added to each engine, as a share of the prompt tokens
# of the call. Hosts see each other's load with a delay and would otherwise all choose
# the same engine.
COST_JITTER_SHARE = 0.75
# Share of an engine's memory that KV copies must leave free for its own runs.
RUN_RESERVE_SHARE = 0.35
# An engine that takes this many times as long keeps a copy only if no other does.
SLOW_BACKUP = 1.5
# Engines compared by the policy "two-choices", and at least by "rivals".
RANDOM_CHOICES = 2
# Age of what a host knows of the calls that other hosts place: up to two intervals at
# which loads are published, and the way between regions.
VIEW_AGE_S = 0.25
# Runs of this duration give the rate at which all hosts together place calls.
TYPICAL_RUN_S = 4.0
# On average, one engine in this many is an owner of a given prefix: the calls with that
# prefix are directed to it.
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
    """An engine's load as known to one host.

    Parameters
    ----------
    name : str
        Id of the engine.
    availability_zone : str
        Its availability zone.
    slots : int
        Maximum number of calls that the engine runs concurrently.
    prompt_tokens : int
        Prompt tokens queued for prefill.
    runs : int
        Generations on the engine.
    memory_tokens : int
        Memory that they will occupy, in tokens.
    copy_tokens : int
        Memory that KV copies of other engines' runs will occupy, in tokens.
    capacity_tokens : int
        Size of its KV memory, in tokens.
    failure_share : float
        Share of this host's recent calls to the engine that failed.
    turn_wait_s : float or None
        Known time until the engine's limit on requests leaves a turn, in seconds; None
        if it states no limit and is not brittle.
    needs_trial : bool
        Whether this host has not heard for a time whether the limit still holds.
    version : str
        Version of the engine's software.
    is_relayed : bool
        Whether this host reaches the engine only through a peer.
    is_brittle : bool
        Whether the engine crashes when it has to turn many requests away. A call needs
        one of its slots, for which ``turn_wait_s`` holds as for a turn.
    cached_tokens : int
        Prompt tokens of the call that the engine has probably cached.
    slowness : float
        How many times as long as usual the engine takes for its work.
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
    turn_wait_s: float | None = None
    needs_trial: bool = False
    version: str = ""
    is_relayed: bool = False
    is_brittle: bool = False
    cached_tokens: int = 0
    slowness: float = 1.0

    @property
    def is_limited(self):
        """Whether the engine states a limit on requests."""
        return self.turn_wait_s is not None

    @property
    def has_turn(self):
        """Whether the engine is limited, and a turn is free as far as known."""
        return self.is_limited and self.turn_wait_s <= 0

    def has_memory(self, prompt):
        """Return whether the engine has free memory, as far as known."""
        return not self.capacity_tokens or self.free_tokens >= prompt.memory_tokens

    def has_room(self, prompt):
        """Return whether the engine has memory, and at most one prompt queued."""
        return self.has_memory(prompt) and self.prompt_tokens <= prompt.tokens

    @property
    def free_tokens(self):
        """Memory left when all runs and copies have their full size, in tokens.

        Negative if the engine has more runs than fit in its memory.
        """
        return self.capacity_tokens - self.memory_tokens - self.copy_tokens


class PlacementPolicy:
    """Base class of policies, which choose the engine with the lowest cost.

    Parameters
    ----------
    generator : random.Random
        Source of random numbers, which also break ties.
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
        """Return the cost of placing a call on an engine, in a unit of the policy."""
        raise NotImplementedError


@register_placement("round-robin")
class RoundRobin(PlacementPolicy):
    """Baseline: a random engine, whatever its load.

    All costs are equal, and ties are broken at random.
    """

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return the same cost for all engines."""
        return 0


@register_placement("fewest-streams")
class FewestStreams(PlacementPolicy):
    """Made for a steady load of calls of the same size."""

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return the number of runs on the engine."""
        return view.runs


@register_placement("least-prompt-tokens")
class LeastPromptTokens(PlacementPolicy):
    """Made for bursts of long prompts, and for engines that have just restarted."""

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return the cost of the engine's load, plus the tokens that exceed its memory.

        The unit is a prompt token queued for prefill at an engine of the usual pace.
        Tokens of the call's prompt that are cached at the engine reduce the cost. An
        engine that takes longer than usual does so for the call's own work, too.
        """
        shortfall_tokens = max(0, prompt.memory_tokens - view.free_tokens)
        memory_cost = MEMORY_COST_SHARE * (view.memory_tokens + view.copy_tokens)
        queued_cost = view.prompt_tokens + view.runs * RUN_COST_TOKENS
        own_tokens = prompt.tokens + prompt.output_tokens * OUTPUT_COST
        return (
            queued_cost * view.slowness
            + own_tokens * (view.slowness - 1.0)
            + memory_cost
            + shortfall_tokens
            - CACHED_TOKEN_GAIN * view.cached_tokens
        )


@register_placement("two-choices")
class TwoChoices(LeastPromptTokens):
    """Made for many hosts that choose at the same time from slightly stale views."""

    __slots__ = ()

    def choose(self, views, prompt):
        """Return the cheaper of two random engines."""
        if len(views) > RANDOM_CHOICES:
            views = self._random.sample(views, RANDOM_CHOICES)
        return super().choose(views, prompt)


@register_placement("rivals")
class RivalAware(LeastPromptTokens):
    """Made for hundreds of hosts, which would all choose the same engine meanwhile.

    While a host's view is as old as `VIEW_AGE_S`, other hosts place calls from the same
    view. The more they are, the fewer random engines the host compares. In a small
    fleet, where no two calls are placed within that time, it compares all: there the
    cheapest engine is the best choice.
    """

    __slots__ = ()

    def choose(self, views, prompt):
        """Return the cheapest of some random engines, or one that has the prompt."""
        placed = sum(view.runs for view in views) / TYPICAL_RUN_S * VIEW_AGE_S
        size = max(RANDOM_CHOICES, math.ceil(len(views) / max(1.0, placed)))
        if size < len(views):
            cached = [view for view in views if view.cached_tokens]
            views = cached + self._random.sample(views, size)
        return super().choose(views, prompt)


@register_placement("spread-prompt-tokens")
class SpreadPromptTokens(LeastPromptTokens):
    """Made for callers that all reconnect at once after the loss of a zone or host."""

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return the cost plus a random share of the call's prompt tokens."""
        jitter_tokens = self._random.uniform(0.0, COST_JITTER_SHARE * prompt.tokens)
        return super().measure_cost(view, prompt) + jitter_tokens


@register_placement("same-prefix")
class SamePrefix(SpreadPromptTokens):
    """Made for calls with long common prefixes, which engines cache."""

    __slots__ = ()

    def measure_cost(self, view, prompt):
        """Return the cost, reduced by the length of the prefix on its owners.

        The prefix is the prompt without its last part, which is specific to the call.
        """
        cost = super().measure_cost(view, prompt)
        if not prompt.parts or len(prompt.parts) < 2:
            return cost
        prefix_tokens = sum(tokens for _, tokens in prompt.parts[:-1])
        # Depends only on the engine and the prefix, so all hosts find the same owners.
        key = f"{view.name}:{prompt.parts[-2][0]}"
        is_owner = weigh_candidate(view.name, key) % ENGINES_PER_PREFIX_OWNER == 0
        return cost - prefix_tokens if is_owner else cost


def mark_cached_prompt(views, engine, prompt):
    """Return the views, with a call's prompt as cached at an engine with free memory.

    Made for callers that take up their streams together: engines that began them read
    their prompts again within milliseconds, other engines one after the other.

    Parameters
    ----------
    views : list of EngineView
        Usable engines.
    engine : str
        Id of the engine that began the stream; empty if unknown.
    prompt : Prompt
        Token counts of the call.
    """
    return [
        replace(view, cached_tokens=prompt.tokens)
        if view.name == engine and view.has_memory(prompt)
        else view
        for view in views
    ]


def select_by_limit(views, prompt):
    """Return the engines that a generation should go to, by their request limits.

    Made for services of which some or all engines state a limit. Unlimited engines go
    first while one has room, except for a trial now and then of a limited engine, which
    is the only way to learn that its limit has ended.

    Parameters
    ----------
    views : list of EngineView
        Usable engines.
    prompt : Prompt
        Token counts of the call.
    """
    limited = [view for view in views if view.is_limited]
    if not limited:
        return views
    open_views = [view for view in limited if view.has_turn and view.has_room(prompt)]
    on_trial = [view for view in open_views if view.needs_trial]
    if on_trial:
        return on_trial
    unlimited = [view for view in views if not view.is_limited]
    if any(view.has_room(prompt) for view in unlimited):
        return unlimited
    if open_views or unlimited:
        return open_views or unlimited
    soonest_s = min(view.turn_wait_s for view in limited)
    return [view for view in limited if view.turn_wait_s == soonest_s]


def choose_backup_engine(views, availability_zone, needed_tokens):
    """Return the view of the engine that keeps the KV copy of a run, or None.

    Engines of one availability zone fail together, so an engine in another zone is
    preferred. None is returned if the copy would leave too little memory for runs on
    every engine, which does more harm than a second prefill of the prompt.

    Parameters
    ----------
    views : list of EngineView
        Usable engines, without the engine of the run.
    availability_zone : str
        Zone of the run's engine.
    needed_tokens : int
        Memory that the copy will occupy, in tokens.
    """
    fitting = [
        view
        for view in views
        # A stream that resumes on a limited engine would have to wait for a turn.
        if (view.is_brittle or not view.is_limited)
        and view.free_tokens - needed_tokens >= RUN_RESERVE_SHARE * view.capacity_tokens
    ]
    return min(
        fitting,
        key=lambda view: (
            view.availability_zone == availability_zone,
            view.slowness > SLOW_BACKUP,
            view.memory_tokens + view.copy_tokens,
            view.prompt_tokens,
        ),
        default=None,
    )


def choose_plain_call_engine(views, availability_zone):
    """Return the view of the engine for a call without streaming, or None.

    Made for many short calls with a latency target. Prefers a free slot in the given
    zone, then a free slot in another zone, then the given zone, and in each case the
    lowest load relative to the number of slots. An engine with a limit on requests
    goes before others only for a trial; it goes before engines without a free slot if
    it has a turn, and after them otherwise.

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
            *_rank_by_limit(view),
            view.availability_zone != availability_zone,
            view.runs / view.slots,
        ),
        default=None,
    )


def _rank_by_limit(view):
    """Return the sort key of an engine by its free slots and its limit."""
    is_full = view.runs >= view.slots
    if not view.is_limited:
        return (3 if is_full else 1), 0.0
    if not view.has_turn or is_full:
        return 4, view.turn_wait_s
    return (0 if view.needs_trial else 2), 0.0
