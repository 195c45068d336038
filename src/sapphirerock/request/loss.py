"""Losses: why an attempt at a generation ended early, and how to tell."""

from dataclasses import dataclass

from sapphirerock.connection.errors import UpstreamSilent, UpstreamUnreachable


@dataclass(slots=True, frozen=True)
class Loss:
    """Why an attempt ended before the generation did.

    Parameters
    ----------
    cause : {"crash", "restart", "silence", "refused", "broken", "reserved",
        "queued"}
        "crash": the process of the upstream has ended. "restart": the process has
        another incarnation. "silence": it does not respond. "refused": it did not
        accept the generation. "broken": the connection broke, the process still
        runs. "reserved": another suspect request runs on the upstream. "queued":
        another upstream has a free slot.
    upstream : str
        Upstream of the attempt.
    incarnation : str
        Incarnation that the generation ran on; empty if it did not run.
    """

    cause: str
    upstream: str
    incarnation: str = ""

    @property
    def is_crash(self):
        """Whether the upstream's process ended during the attempt."""
        return self.cause in ("crash", "restart")

    @property
    def is_unreachable(self):
        """Whether the upstream does not respond."""
        return self.cause in ("crash", "silence")


async def classify_failure(state, failure, incarnation, probe_timeout_s):
    """Return the loss that a connection failure indicates, probing the upstream.

    Only a process that has ended or has another incarnation counts as crashed.

    Parameters
    ----------
    state : UpstreamState
        The upstream.
    failure : ConnectionFailure
        The last failure of the attempt.
    incarnation : str
        Incarnation that the attempt ran on; empty if unknown.
    probe_timeout_s : float
        Time that the upstream has to respond to a probe, in seconds.
    """
    if is_connection_refused(failure):
        return Loss("crash", state.name, incarnation)
    if isinstance(failure, UpstreamSilent) and failure.is_new_connection:
        return Loss("silence", state.name, incarnation)
    report = await state.client.read_load(probe_timeout_s)
    if report.is_error():
        cause = "crash" if is_connection_refused(report.error) else "silence"
        return Loss(cause, state.name, incarnation)
    if incarnation and report.ok.incarnation != incarnation:
        return Loss("restart", state.name, incarnation)
    return Loss("broken", state.name, incarnation)


def is_connection_refused(failure):
    """Return whether the connection was refused: no process listens there."""
    return isinstance(failure, UpstreamUnreachable) and failure.refused
