"""One request's part in crashes: kept apart, recorded, convicted."""

from loguru import logger

from sapphirerock.decisions.quarantine import EVIDENCE_LIFE_S
from sapphirerock.request.problem import CRASHES_ENGINES, Problem

# News of where a suspect runs need a moment to reach the other hosts.
SETTLE_S = 0.1


class Suspicion:
    """What a driver does about crashes of the upstreams that it uses.

    Parameters
    ----------
    runtime : Runtime
        What lives as long as the process.
    fingerprint : bytes
        Names the request in the quarantine.
    """

    __slots__ = ("_runtime", "_fingerprint", "_ran_alone")

    def __init__(self, runtime, fingerprint):
        self._runtime = runtime
        self._fingerprint = fingerprint
        self._ran_alone = False

    @property
    def is_convicted(self):
        """Whether the request is refused."""
        return self._runtime.quarantine.is_convicted(self._fingerprint)

    def announce(self, state, running):
        """Tell the peers where a suspect runs, or that it does no more."""
        if self._runtime.quarantine.is_suspect(self._fingerprint):
            self._runtime.announce_suspect(self._fingerprint, state.name, running)

    async def reserve(self, state):
        """Wait until peers know of a request that must run as the only suspect.

        Returns
        -------
        bool
            Whether no other suspect turned up on the upstream meanwhile.
        """
        self._ran_alone = False
        if not self._runtime.quarantine.needs_exclusion(self._fingerprint):
            return True
        settle_s = SETTLE_S * (1 + self._runtime.random.random())
        await self._runtime.clock.sleep(settle_s)
        self._ran_alone = self._is_alone(state)
        return self._ran_alone

    def _is_alone(self, state):
        return state is not None and not state.suspects - {self._fingerprint}

    def record_crash(self, loss):
        """Record the evidence; return whether it convicts the request."""
        quarantine = self._runtime.quarantine
        state = self._runtime.upstreams.get(loss.upstream)
        alone = self._ran_alone and self._is_alone(state)
        convicted = quarantine.needs_exclusion(self._fingerprint) and alone
        self._runtime.announce_crash(
            self._fingerprint, loss.upstream, loss.incarnation, convicted
        )
        logger.warning(
            "request {} was under way on {} when it crashed; crashes {}, alone {}, "
            "convicted {}",
            self._fingerprint.hex(),
            loss.upstream,
            quarantine.count_crashes(self._fingerprint),
            alone,
            convicted,
        )
        return self.is_convicted


def make_conviction():
    """Return the final answer to a request that crashes engines."""
    return Problem(
        CRASHES_ENGINES,
        "every engine that ran the request alone crashed; it is not tried again",
        int(EVIDENCE_LIFE_S),
    )
