"""Load balancers, which choose the upstream of a call."""

import itertools
from abc import ABC, abstractmethod

from sapphirerock.decisions.rendezvous import rank_candidates

BALANCERS = {}
# Seconds added to the estimated wait of an upstream in this host's availability zone,
# in its region, and in another region. A more distant upstream must have an estimated
# wait that is shorter by the difference.
DISTANCE_COST_S = (0.0, 0.05, 0.5)
# Seconds subtracted from the estimated wait of an upstream that is likely to have the
# prefix in its cache.
AFFINITY_BONUS_S = 0.05
# Upstreams to which the calls with a common prefix are directed.
AFFINITY_CANDIDATES = 2


def register_balancer(name):
    """Register a balancer class under its name in the settings."""

    def register(cls):
        BALANCERS[name] = cls
        return cls

    return register


class Balancer(ABC):
    """Base class: chooses among usable upstreams.

    Parameters
    ----------
    upstreams : UpstreamTable
        Provides the distance class of an upstream.
    random : random.Random
        Source of random numbers.
    """

    __slots__ = ("_upstreams", "_random")

    def __init__(self, upstreams, random):
        self._upstreams = upstreams
        self._random = random

    @abstractmethod
    def choose(self, states, affinity):
        """Return the upstream to send a call to.

        Parameters
        ----------
        states : list of UpstreamState
            Usable upstreams, at least one.
        affinity : str
            Key that is equal for calls with a common prefix.
        """


@register_balancer("least-wait")
class LeastWait(Balancer):
    """Least estimated wait among a few candidates, with prefix affinity.

    The candidates are two random upstreams ("power of two choices") and the upstreams
    that own the prefix by rendezvous hashing. Nearer upstreams are preferred.
    """

    __slots__ = ()

    def choose(self, states, affinity):
        """Return the candidate with the lowest estimated cost."""
        nearest = self._filter_nearest(states)
        names = [state.name for state in nearest]
        owners = set(rank_candidates(names, affinity)[:AFFINITY_CANDIDATES])
        candidates = [state for state in nearest if state.name in owners]
        candidates += self._random.sample(nearest, min(2, len(nearest)))
        return min(candidates, key=lambda state: self._estimate_cost(state, owners))

    def _filter_nearest(self, states):
        """Return all upstreams at the shortest distance that has a free slot.

        If no upstream has a free slot, all upstreams are returned.
        """
        by_distance = {}
        for state in states:
            distance = self._upstreams.measure_distance(state)
            by_distance.setdefault(distance, []).append(state)
        for distance in sorted(by_distance):
            if any(state.free_slots > 0 for state in by_distance[distance]):
                return by_distance[distance]
        return states

    def _estimate_cost(self, state, owners):
        distance = self._upstreams.measure_distance(state)
        cost_s = state.wait_s + DISTANCE_COST_S[distance]
        if state.name in owners:
            cost_s -= AFFINITY_BONUS_S
        return cost_s, state.load / max(1, state.capacity)


@register_balancer("least-in-flight")
class LeastInFlight(Balancer):
    """The upstream with the fewest calls in flight from this host."""

    __slots__ = ()

    def choose(self, states, affinity):
        """Return the upstream with the fewest calls; ties are broken at random."""
        return min(states, key=lambda state: (state.in_flight, self._random.random()))


@register_balancer("round-robin")
class RoundRobin(Balancer):
    """Each upstream in turn, regardless of load and distance."""

    __slots__ = ("_call_numbers",)

    def __init__(self, upstreams, random):
        super().__init__(upstreams, random)
        self._call_numbers = itertools.count()

    def choose(self, states, affinity):
        """Return the next upstream in turn."""
        return states[next(self._call_numbers) % len(states)]
