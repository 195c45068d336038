"""Recovery policies: how a generation goes on after a loss."""

POLICIES = {}


def register_policy(name):
    """Register a policy class under the name that settings use."""

    def register(cls):
        cls.name = name
        POLICIES[name] = cls()
        return cls

    return register


class RecoveryPolicy:
    """Bounds and preferences of one way to recover.

    Attributes
    ----------
    name : str
        Name in the registry.
    streaming_silence_s : float
        Silence on a connection after which a new one is tried, while tokens
        flow. Engines send heartbeats every half second when they do not.
    waiting_silence_s : float
        The same before the first token.
    probe_bound_s : float
        Time that a new connection to the same engine may take.
    resumes : bool
        Whether the same engine is tried over a new connection.
    continues : bool
        Whether delivered tokens are kept and another engine goes on after
        them; otherwise the generation is lost.
    """

    __slots__ = ()
    name = ""
    streaming_silence_s = 1.0
    waiting_silence_s = 1.2
    probe_bound_s = 0.5
    resumes = True
    continues = True

    def select_states(self, states, measure_distance):
        """Return the upstreams that may take a call, of those usable."""
        return states


@register_policy("latency")
class LatencyPolicy(RecoveryPolicy):
    """Go on as soon as possible, wherever there is room."""

    __slots__ = ()
    streaming_silence_s = 0.55
    waiting_silence_s = 0.8
    probe_bound_s = 0.15


@register_policy("cost")
class CostPolicy(RecoveryPolicy):
    """Give the same engine more time and stay in the region."""

    __slots__ = ()
    streaming_silence_s = 1.2
    waiting_silence_s = 1.2
    probe_bound_s = 0.8

    def select_states(self, states, measure_distance):
        """Return upstreams of the own region as long as there is one."""
        near = [state for state in states if measure_distance(state) < 2]
        return near or states


@register_policy("naive")
class NaivePolicy(RecoveryPolicy):
    """Start again from nothing: the baseline that others are compared with."""

    __slots__ = ()
    resumes = False
    continues = False
