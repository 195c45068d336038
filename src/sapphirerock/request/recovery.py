"""Recovery policies: how a generation is resumed after its upstream is lost."""

RECOVERY_POLICIES = {}


def register_policy(name):
    """Register an instance of a policy class under its name in the settings."""

    def register(cls):
        cls.name = name
        RECOVERY_POLICIES[name] = cls()
        return cls

    return register


class RecoveryPolicy:
    """Timeouts and preferences for recovery after a loss.

    Attributes
    ----------
    name : str
        Name in the settings.
    streaming_silence_s : float
        Time without data after the first token, in seconds, after which the connection
        is replaced. Engines send a heartbeat every half second while they send no
        tokens.
    waiting_silence_s : float
        The same, before the first token.
    probe_timeout_s : float
        Time that the same engine has to respond to a probe or on a new connection, in
        seconds.
    retries_same_engine : bool
        Whether the stream is resumed on the same engine over a new connection first.
    migrates : bool
        Whether another engine continues the generation after the delivered tokens;
        otherwise the generation fails when its engine is lost.
    """

    __slots__ = ()
    name = ""
    streaming_silence_s = 1.0
    waiting_silence_s = 1.2
    probe_timeout_s = 0.5
    retries_same_engine = True
    migrates = True

    def filter_upstreams(self, states, measure_distance):
        """Return those of the usable upstreams that a call may be sent to.

        Parameters
        ----------
        states : list of UpstreamState
            Usable upstreams.
        measure_distance : callable
            Returns 0 for an upstream in this host's zone, 1 in its region, 2 in others.
        """
        return states


@register_policy("latency")
class LatencyPolicy(RecoveryPolicy):
    """Resumes as soon as possible, on any usable upstream."""

    __slots__ = ()
    streaming_silence_s = 0.55
    waiting_silence_s = 0.8
    probe_timeout_s = 0.15


@register_policy("cost")
class CostPolicy(RecoveryPolicy):
    """Gives the same engine more time, and prefers upstreams in this host's region."""

    __slots__ = ()
    streaming_silence_s = 1.2
    waiting_silence_s = 1.2
    probe_timeout_s = 0.8

    def filter_upstreams(self, states, measure_distance):
        """Return the upstreams in this host's region, or all if it has none."""
        nearby = [state for state in states if measure_distance(state) < 2]
        return nearby or states


@register_policy("naive")
class NaivePolicy(RecoveryPolicy):
    """Never resumes: a generation that has tokens fails with its engine.

    A baseline for the other policies.
    """

    __slots__ = ()
    retries_same_engine = False
    migrates = False
