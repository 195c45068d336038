"""Load patterns: when callers come and what happens to engines meanwhile."""

from dataclasses import dataclass

PATTERNS = {}
ZONES = ("zone-a", "zone-b", "zone-c")
PROMPT_TOKENS = 8200
OUTPUT_TOKENS = 600


@dataclass(slots=True, frozen=True)
class Arrival:
    """One call of a caller.

    Parameters
    ----------
    at_s : float
        When it comes, in seconds.
    prompt_tokens, output_tokens : int
        Its size.
    organisation : str
        Whose it is.
    """

    at_s: float
    prompt_tokens: int = PROMPT_TOKENS
    output_tokens: int = OUTPUT_TOKENS
    organisation: str = "one"


@dataclass(slots=True, frozen=True)
class Trouble:
    """Something that happens to engines.

    Parameters
    ----------
    at_s, for_s : float
        When, and for how long, in seconds.
    zone : str
        Where; empty for everywhere.
    share : float
        Part of the engines there.
    is_silent : bool
        Whether connections just go silent.
    slowness : float
        Times longer that the engines take; 1 for engines that are lost.
    failing_share : float
        Part of their calls that they fail while they say that they are well.
    """

    at_s: float
    for_s: float
    zone: str = ""
    share: float = 1.0
    is_silent: bool = False
    slowness: float = 1.0
    failing_share: float = 0.0


@dataclass(slots=True, frozen=True)
class Pattern:
    """A load pattern.

    Parameters
    ----------
    arrivals : list of Arrival
        In the order of their times.
    troubles : list of Trouble
        In any order.
    engines_per_zone : int
        Engines in each of three zones.
    """

    arrivals: list
    troubles: list
    engines_per_zone: int = 4


def register_pattern(name):
    """Register a function from a random generator to a `Pattern`."""

    def register(function):
        PATTERNS[name] = function
        return function

    return register


def draw_arrivals(random, rate_per_s, start_s, end_s, **fields):
    """Return calls that come independently of each other at a rate."""
    arrivals, at_s = [], start_s
    while True:
        at_s += random.expovariate(rate_per_s)
        if at_s >= end_s:
            return arrivals
        spread = random.uniform(0.7, 1.3)
        size = int(fields.get("prompt_tokens", PROMPT_TOKENS) * spread)
        arrivals.append(Arrival(at_s, **{**fields, "prompt_tokens": size}))


def merge(*lists):
    """Return calls of several lists in the order of their times."""
    return sorted((item for part in lists for item in part), key=lambda call: call.at_s)


@register_pattern("steady")
def make_steady(random):
    """Nothing but the usual load."""
    return Pattern(draw_arrivals(random, 3.1, 0, 30), [])


@register_pattern("zones-lost-in-turn")
def make_zones_lost(random):
    """The engines of one zone after the other crash or go dark, seven seconds apart."""
    troubles = [
        Trouble(4.0 + 7 * turn, 1.2, ZONES[turn % 3], 0.9, is_silent=turn % 2 == 1)
        for turn in range(4)
    ]
    return Pattern(draw_arrivals(random, 3.1, 0, 30), troubles)


@register_pattern("burst")
def make_burst(random):
    """Three times the usual calls for four seconds."""
    usual = draw_arrivals(random, 3.1, 0, 30)
    return Pattern(merge(usual, draw_arrivals(random, 6.2, 8, 12)), [])


@register_pattern("overload")
def make_overload(random):
    """More prompts than the engines can read, for fifteen seconds."""
    usual = draw_arrivals(random, 3.1, 0, 30)
    return Pattern(merge(usual, draw_arrivals(random, 12.0, 5, 20)), [])


@register_pattern("two-zones-lost")
def make_two_zones_lost(random):
    """Two of three zones are lost for eight seconds: memory runs out."""
    troubles = [Trouble(6.0, 8.0, "zone-a"), Trouble(6.5, 8.0, "zone-b")]
    return Pattern(draw_arrivals(random, 3.1, 0, 30), troubles)


@register_pattern("hot-organisation")
def make_hot_organisation(random):
    """One organisation sends ten times what the others do together."""
    usual = draw_arrivals(random, 2.0, 0, 30, organisation="usual")
    hot = draw_arrivals(random, 20.0, 5, 15, organisation="hot")
    return Pattern(merge(usual, hot), [])


@register_pattern("herd-returns")
def make_herd(random):
    """Sixty callers that lost their host are back within half a second."""
    usual = draw_arrivals(random, 3.1, 0, 30)
    return Pattern(merge(usual, draw_arrivals(random, 120.0, 10, 10.5)), [])


@register_pattern("slow-engines")
def make_slow(random):
    """A sixth of the engines is eight times slower for ten seconds."""
    trouble = Trouble(5.0, 10.0, share=1 / 6, slowness=8.0)
    return Pattern(draw_arrivals(random, 3.1, 0, 30), [trouble])


@register_pattern("failing-engines")
def make_failing(random):
    """A quarter of the engines fails most calls at once and says that it is well."""
    trouble = Trouble(5.0, 15.0, share=1 / 4, failing_share=0.8)
    return Pattern(draw_arrivals(random, 3.1, 0, 30), [trouble])


@register_pattern("mixed-sizes")
def make_mixed(random):
    """Large prompts among many small ones, near the engines' limit."""
    small = draw_arrivals(random, 9.0, 0, 25, prompt_tokens=2000)
    large = draw_arrivals(random, 2.0, 0, 25, prompt_tokens=30_000)
    return Pattern(merge(small, large), [])
