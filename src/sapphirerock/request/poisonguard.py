"""Isolation and blocking of poison requests, which are suspected to crash engines."""

from loguru import logger

from sapphirerock.decisions.quarantine import EVIDENCE_TTL_S
from sapphirerock.request.problem import CRASHES_ENGINES, Problem

# Time within which gossip updates on running suspects reach the other hosts.
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

    __slots__ = ("_runtime", "_fingerprint", "_ran_as_only_suspect")

    def __init__(self, runtime, fingerprint):
        self._runtime = runtime
        self._fingerprint = fingerprint
        self._ran_as_only_suspect = False

    @property
    def is_blocked(self):
        """Whether the request must not run any more."""
        return self._runtime.quarantine.is_blocked(self._fingerprint)

    def announce(self, state, running):
        """Tell peers that the request, if suspect, starts or stops on an upstream."""
        if self._runtime.quarantine.is_suspect(self._fingerprint):
            self._runtime.announce_suspect(self._fingerprint, state.name, running)

    async def reserve(self, state):
        """Reserve an upstream for a request that must be its only suspect.

        Waits between one and two times ``ANNOUNCEMENT_SETTLE_S``, at random, so that
        peers have received the announcement. Returns at once for any other request.

        Returns
        -------
        bool
            Whether the request may run: no other suspect was announced meanwhile.
        """
        self._ran_as_only_suspect = False
        if not self._runtime.quarantine.must_run_alone(self._fingerprint):
            return True
        settle_s = ANNOUNCEMENT_SETTLE_S * (1 + self._runtime.random.random())
        await self._runtime.clock.sleep(settle_s)
        self._ran_as_only_suspect = self._is_only_suspect(state)
        return self._ran_as_only_suspect

    def _is_only_suspect(self, state):
        return state is not None and not state.suspects - {self._fingerprint}

    def record_crash(self, loss):
        """Announce a crash as evidence; return whether the request is blocked.

        The crash blocks the request if it ran as the only suspect on the upstream.
        """
        quarantine = self._runtime.quarantine
        state = self._runtime.upstreams.get(loss.upstream)
        was_only_suspect = self._ran_as_only_suspect and self._is_only_suspect(state)
        blocked = quarantine.must_run_alone(self._fingerprint) and was_only_suspect
        self._runtime.announce_crash(
            self._fingerprint, loss.upstream, loss.incarnation, blocked
        )
        logger.warning(
            "request {} was running on upstream {} when it crashed: crashes {}, "
            "only suspect {}, blocked {}",
            self._fingerprint.hex(),
            loss.upstream,
            quarantine.count_crashes(self._fingerprint),
            was_only_suspect,
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
