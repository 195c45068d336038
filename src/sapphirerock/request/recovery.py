"""Recovery policies: how a generation is resumed after a loss."""

POLICIES = {}


def register_policy(name):
    """Register a policy class under the name that settings use."""

    def register(cls):
        cls.name = name
        POLICIES[name] = cls()
        return cls

    return register


class RecoveryPolicy:
    """Timeouts and preferences for recovery after a loss.

    Attributes
    ----------
    name : str
        Name in the registry.
    streaming_silence_s : float
        Silence on a connection, in seconds, after which a new one is tried while
        tokens flow. Engines send a heartbeat every half second while none flow.
    waiting_silence_s : float
        The same before the first token.
    probe_timeout_s : float
        Time that a new connection to the same engine may take, in seconds.
    retries_same_engine : bool
        Whether the same engine is tried again over a new connection.
    migrates : bool
        Whether delivered tokens are kept and another engine resumes after them;
        otherwise the generation is lost.
    """

    __slots__ = ()
    name = ""
    streaming_silence_s = 1.0
    waiting_silence_s = 1.2
    probe_timeout_s = 0.5
    retries_same_engine = True
    migrates = True

    def select_states(self, states, measure_distance):
        """Return those of the usable upstreams that may take a call."""
        return states


@register_policy("latency")
class LatencyPolicy(RecoveryPolicy):
    """Resume as soon as possible, on any upstream that has room."""

    __slots__ = ()
    streaming_silence_s = 0.55
    waiting_silence_s = 0.8
    probe_timeout_s = 0.15


@register_policy("cost")
class CostPolicy(RecoveryPolicy):
    """Give the same engine more time and stay in the region."""

    __slots__ = ()
    streaming_silence_s = 1.2
    waiting_silence_s = 1.2
    probe_timeout_s = 0.8

    def select_states(self, states, measure_distance):
        """Return the upstreams in the own region, or all if there are none."""
        nearby = [state for state in states if measure_distance(state) < 2]
        return nearby or states


@register_policy("naive")
class NaivePolicy(RecoveryPolicy):
    """Start again without any tokens: the baseline for the other policies."""

    __slots__ = ()
    retries_same_engine = False
    migrates = False
