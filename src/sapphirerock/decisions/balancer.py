"""Balancers: which of several upstreams takes a call."""

import itertools
from abc import ABC, abstractmethod

from sapphirerock.decisions.rendezvous import rank_candidates

BALANCERS = {}
# Waiting this long nearby is as good as going to a farther upstream.
DISTANCE_COST_S = (0.0, 0.05, 0.5)
# An upstream that has the prefix in its cache may be busier by this much.
AFFINITY_BONUS_S = 0.05
AFFINITY_CANDIDATES = 2


def register_balancer(name):
    """Register a balancer class under the name that settings use."""

    def register(cls):
        BALANCERS[name] = cls
        return cls

    return register


class Balancer(ABC):
    """Choice among usable upstreams.

    Parameters
    ----------
    upstreams : UpstreamTable
        Where distances come from.
    random : random.Random
        Source of random numbers.
    """

    __slots__ = ("_upstreams", "_random")

    def __init__(self, upstreams, random):
        self._upstreams = upstreams
        self._random = random

    @abstractmethod
    def choose(self, states, affinity):
        """Return one of some upstreams.

        Parameters
        ----------
        states : list of UpstreamState
            At least one.
        affinity : str
            Text that calls with a common prefix share.
        """


@register_balancer("least-wait")
class LeastWait(Balancer):
    """Two random choices over the estimated wait, with prefix affinity.

    The candidates are the two upstreams that own the prefix and two random
    ones; nearer ones are preferred by the cost of the distance.
    """

    __slots__ = ()

    def choose(self, states, affinity):
        """Return the candidate with the least estimated cost."""
        near = self._list_nearest(states)
        names = [state.name for state in near]
        owners = set(rank_candidates(names, affinity)[:AFFINITY_CANDIDATES])
        candidates = [state for state in near if state.name in owners]
        candidates += self._random.sample(near, min(2, len(near)))
        return min(candidates, key=lambda state: self._estimate(state, owners))

    def _list_nearest(self, states):
        """Return upstreams of the nearest distance that has a free slot."""
        by_distance = {}
        for state in states:
            distance = self._upstreams.measure_distance(state)
            by_distance.setdefault(distance, []).append(state)
        for distance in sorted(by_distance):
            if any(state.free_slots > 0 for state in by_distance[distance]):
                return by_distance[distance]
        return states

    def _estimate(self, state, owners):
        distance = self._upstreams.measure_distance(state)
        cost_s = state.wait_s + DISTANCE_COST_S[distance]
        if state.name in owners:
            cost_s -= AFFINITY_BONUS_S
        return cost_s, state.load / max(1, state.capacity)


@register_balancer("least-in-flight")
class LeastInFlight(Balancer):
    """The upstream with the fewest calls of this host."""

    __slots__ = ()

    def choose(self, states, affinity):
        """Return the least used; chance decides among equals."""
        return min(states, key=lambda state: (state.in_flight, self._random.random()))


@register_balancer("round-robin")
class RoundRobin(Balancer):
    """One upstream after the other."""

    __slots__ = ("_turns",)

    def __init__(self, upstreams, random):
        super().__init__(upstreams, random)
        self._turns = itertools.count()

    def choose(self, states, affinity):
        """Return the next in turn."""
        return states[next(self._turns) % len(states)]
