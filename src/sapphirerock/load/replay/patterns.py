"""Load patterns: arrivals of calls, and faults of engines."""

import math
from dataclasses import dataclass, replace

PATTERNS = {}
ZONES = ("zone-a", "zone-b", "zone-c")
# Default mean size of a prompt, and default size of an output.
PROMPT_TOKENS = 8200
OUTPUT_TOKENS = 600


@dataclass(slots=True, frozen=True)
class Arrival:
    """One call of a caller.

    Parameters
    ----------
    at_s : float
        Arrival time in seconds from the start of the replay.
    prompt_tokens, output_tokens : int
        Sizes of the prompt and of the output.
    organisation : str
        Organisation of the caller.
    received_tokens : int
        Output tokens that the caller has received before; 0 for a new stream.
    first_engine : int or None
        Number of the engine that began the stream, which has its prompt cached.
    max_wait_s : float
        Time after which the caller leaves, in seconds.
    """

    at_s: float
    prompt_tokens: int = PROMPT_TOKENS
    output_tokens: int = OUTPUT_TOKENS
    organisation: str = "one"
    received_tokens: int = 0
    first_engine: int | None = None
    max_wait_s: float = math.inf

    @property
    def takes_up_stream(self):
        """Whether the caller goes on with a stream that it has received in part."""
        return self.received_tokens > 0


@dataclass(slots=True, frozen=True)
class EngineFault:
    """A temporary fault of some engines.

    Without a slowdown or a failure probability the engines go down.

    Parameters
    ----------
    at_s, duration_s : float
        Start and duration in seconds.
    zone : str
        Availability zone; empty for all zones.
    affected_share : float
        Fraction of the zone's engines that are affected.
    is_silent : bool
        Whether connections to the engines go silent instead of being reset.
    slowdown : float
        Factor by which the engines' work takes longer; 1 for none.
    failure_probability : float
        Probability that a call fails although the engine reports that it is
        healthy.
    """

    at_s: float
    duration_s: float
    zone: str = ""
    affected_share: float = 1.0
    is_silent: bool = False
    slowdown: float = 1.0
    failure_probability: float = 0.0


@dataclass(slots=True, frozen=True)
class Pattern:
    """A load pattern.

    Parameters
    ----------
    arrivals : list of Arrival
        Arrivals in the order of their times.
    faults : list of EngineFault
        In any order.
    engines_per_zone : int
        Number of engines in each of the three zones.
    hosts : int
        Number of hosts, which place calls independently of each other.
    max_view_age_s : float
        Maximum age of the engines' state as hosts see it, in seconds.
    """

    arrivals: list
    faults: list
    engines_per_zone: int = 4
    hosts: int = 8
    max_view_age_s: float = 0.1


def register_pattern(name):
    """Register a function that makes a `Pattern` from a random generator."""

    def register(function):
        PATTERNS[name] = function
        return function

    return register


def draw_arrivals(random, rate_per_s, start_s, end_s, **fields):
    """Return the arrivals of a Poisson process, with prompt sizes varied by 30%.

    Parameters
    ----------
    random : random.Random
        Source of randomness.
    rate_per_s : float
        Mean number of arrivals per second.
    start_s, end_s : float
        Start and end of the arrivals, in seconds from the start of the replay.
    fields : dict
        Other fields of each `Arrival`. The prompt sizes vary around ``prompt_tokens``.
    """
    arrivals, at_s = [], start_s
    while True:
        at_s += random.expovariate(rate_per_s)
        if at_s >= end_s:
            return arrivals
        size_factor = random.uniform(0.7, 1.3)
        size = int(fields.get("prompt_tokens", PROMPT_TOKENS) * size_factor)
        arrivals.append(Arrival(at_s, **{**fields, "prompt_tokens": size}))


def merge_arrivals(*lists):
    """Return the arrivals of several lists in the order of their times."""
    return sorted((item for part in lists for item in part), key=lambda call: call.at_s)


@register_pattern("steady")
def make_steady(random):
    """Usual load without faults."""
    return Pattern(draw_arrivals(random, 3.1, 0, 30), [])


@register_pattern("zones-lost-in-turn")
def make_zones_lost_in_turn(random):
    """Engines of one zone after another crash or go silent, seven seconds apart."""
    faults = [
        EngineFault(4.0 + 7 * turn, 1.2, ZONES[turn % 3], 0.9, is_silent=turn % 2 == 1)
        for turn in range(4)
    ]
    return Pattern(draw_arrivals(random, 3.1, 0, 30), faults)


@register_pattern("burst")
def make_burst(random):
    """Three times the usual load for four seconds."""
    usual = draw_arrivals(random, 3.1, 0, 30)
    return Pattern(merge_arrivals(usual, draw_arrivals(random, 6.2, 8, 12)), [])


@register_pattern("overload")
def make_overload(random):
    """More prompt tokens than the engines can prefill, for fifteen seconds."""
    usual = draw_arrivals(random, 3.1, 0, 30)
    return Pattern(merge_arrivals(usual, draw_arrivals(random, 12.0, 5, 20)), [])


@register_pattern("two-zones-lost")
def make_two_zones_lost(random):
    """Two of three zones fail for eight seconds, so that KV memory runs out."""
    faults = [EngineFault(6.0, 8.0, "zone-a"), EngineFault(6.5, 8.0, "zone-b")]
    return Pattern(draw_arrivals(random, 3.1, 0, 30), faults)


@register_pattern("hot-organisation")
def make_hot_organisation(random):
    """One organisation sends ten times the calls of all others for ten seconds."""
    usual = draw_arrivals(random, 2.0, 0, 30, organisation="usual")
    hot = draw_arrivals(random, 20.0, 5, 15, organisation="hot")
    return Pattern(merge_arrivals(usual, hot), [])


@register_pattern("herd-returns")
def make_reconnect_surge(random):
    """Sixty callers whose host failed reconnect within half a second."""
    usual = draw_arrivals(random, 3.1, 0, 30)
    return Pattern(merge_arrivals(usual, draw_arrivals(random, 120.0, 10, 10.5)), [])


@register_pattern("slow-engines")
def make_slow_engines(random):
    """A sixth of the engines are eight times slower for ten seconds."""
    fault = EngineFault(5.0, 10.0, affected_share=1 / 6, slowdown=8.0)
    return Pattern(draw_arrivals(random, 3.1, 0, 30), [fault])


@register_pattern("failing-engines")
def make_failing_engines(random):
    """A quarter of the engines fail most calls immediately but report being healthy."""
    fault = EngineFault(5.0, 15.0, affected_share=1 / 4, failure_probability=0.8)
    return Pattern(draw_arrivals(random, 3.1, 0, 30), [fault])


@register_pattern("mixed-sizes")
def make_mixed_sizes(random):
    """A few large prompts among many small ones, near the capacity of the engines."""
    small = draw_arrivals(random, 9.0, 0, 25, prompt_tokens=2000)
    large = draw_arrivals(random, 2.0, 0, 25, prompt_tokens=30_000)
    return Pattern(merge_arrivals(small, large), [])


@register_pattern("take-ups")
def make_take_ups(random):
    """All hosts lose power, and callers notice at the same time, near their deadlines.

    Fourteen callers take up their streams within a fifth of a second beside new ones.
    """
    taken_up = draw_arrivals(random, 70.0, 10, 10.2)
    engines_per_zone = 3
    taken_up = [
        replace(
            arrival,
            received_tokens=random.randint(10, 400),
            first_engine=random.randrange(engines_per_zone * len(ZONES)),
            max_wait_s=random.uniform(0.5, 4.0),
        )
        for arrival in taken_up
    ]
    usual = draw_arrivals(random, 4.0, 0, 30)
    return Pattern(merge_arrivals(usual, taken_up), [], engines_per_zone)


def make_large_fleet(random, hosts, faults):
    """Return the usual load of a fleet whose hosts tell each other late what they sent.

    Three engines for five hosts, with the same load each as in the other patterns.
    """
    engines_per_zone = round(hosts * 0.2)
    rate_per_s = 0.28 * len(ZONES) * engines_per_zone
    arrivals = draw_arrivals(random, rate_per_s, 0, 20)
    return Pattern(arrivals, faults, engines_per_zone, hosts, max_view_age_s=0.25)


@register_pattern("24-hosts")
def make_fleet_of_24(random):
    """Usual load of 24 hosts before 15 engines, without faults."""
    return make_large_fleet(random, 24, [])


@register_pattern("96-hosts")
def make_fleet_of_96(random):
    """Usual load of 96 hosts before 57 engines, without faults."""
    return make_large_fleet(random, 96, [])


@register_pattern("195-hosts")
def make_fleet_of_195(random):
    """Usual load of 195 hosts before 117 engines, without faults."""
    return make_large_fleet(random, 195, [])


def make_uneven_fleet(random, hosts):
    """Return the usual load of a fleet of which a quarter work at half the pace."""
    fault = EngineFault(0.0, 100.0, affected_share=1 / 4, slowdown=2.2)
    return make_large_fleet(random, hosts, [fault])


@register_pattern("24-hosts-uneven-engines")
def make_uneven_fleet_of_24(random):
    """Usual load of 24 hosts before 15 engines that share their machines."""
    return make_uneven_fleet(random, 24)


@register_pattern("82-hosts-uneven-engines")
def make_uneven_fleet_of_82(random):
    """Usual load of 82 hosts before 48 engines that share their machines."""
    return make_uneven_fleet(random, 82)


@register_pattern("195-hosts-uneven-engines")
def make_uneven_fleet_of_195(random):
    """Usual load of 195 hosts before 117 engines that share their machines."""
    return make_uneven_fleet(random, 195)


@register_pattern("195-hosts-zone-lost")
def make_fleet_with_lost_zones(random):
    """Usual load of 195 hosts; zones of engines crash one after another."""
    faults = [EngineFault(4.0 + 6 * turn, 1.2, ZONES[turn], 0.9) for turn in range(3)]
    return make_large_fleet(random, 195, faults)
