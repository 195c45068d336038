"""Isolation and blocking of a request that is suspected to crash engines."""

from loguru import logger

from sapphirerock.decisions.quarantine import EVIDENCE_TTL_S
from sapphirerock.request.problem import CRASHES_ENGINES, Problem

# Time for gossip updates on running suspects to reach the other hosts.
ANNOUNCEMENT_SETTLE_S = 0.1


class PoisonGuard:
    """Isolates a suspect request and records the crashes of its upstreams.

    Parameters
    ----------
    runtime : Runtime
        Services of the process.
    fingerprint : bytes
        Identifies the request in the quarantine.
    """

    __slots__ = ("_runtime", "_fingerprint", "_ran_alone")

    def __init__(self, runtime, fingerprint):
        self._runtime = runtime
        self._fingerprint = fingerprint
        self._ran_alone = False

    @property
    def is_blocked(self):
        """Whether the request is blocked."""
        return self._runtime.quarantine.is_blocked(self._fingerprint)

    def announce(self, state, running):
        """Announce to peers that a suspect request starts or stops on an upstream."""
        if self._runtime.quarantine.is_suspect(self._fingerprint):
            self._runtime.announce_suspect(self._fingerprint, state.name, running)

    async def reserve(self, state):
        """Wait until peers know of a request that must be an upstream's only suspect.

        Returns
        -------
        bool
            Whether no other suspect was announced on the upstream meanwhile.
        """
        self._ran_alone = False
        if not self._runtime.quarantine.must_run_alone(self._fingerprint):
            return True
        settle_s = ANNOUNCEMENT_SETTLE_S * (1 + self._runtime.random.random())
        await self._runtime.clock.sleep(settle_s)
        self._ran_alone = self._is_only_suspect(state)
        return self._ran_alone

    def _is_only_suspect(self, state):
        return state is not None and not state.suspects - {self._fingerprint}

    def record_crash(self, loss):
        """Announce a crash as evidence; return whether the request is blocked."""
        quarantine = self._runtime.quarantine
        state = self._runtime.upstreams.get(loss.upstream)
        alone = self._ran_alone and self._is_only_suspect(state)
        blocked = quarantine.must_run_alone(self._fingerprint) and alone
        self._runtime.announce_crash(
            self._fingerprint, loss.upstream, loss.incarnation, blocked
        )
        logger.warning(
            "request {} ran on {} when the upstream crashed: crashes {}, "
            "alone {}, blocked {}",
            self._fingerprint.hex(),
            loss.upstream,
            quarantine.count_crashes(self._fingerprint),
            alone,
            blocked,
        )
        return self.is_blocked


def make_blocked_problem():
    """Return the problem of a blocked request."""
    return Problem(
        CRASHES_ENGINES,
        "every engine that ran the request alone crashed; it is not tried again",
        int(EVIDENCE_TTL_S),
    )
