"""Classification of failed attempts."""

from dataclasses import dataclass

from sapphirerock.connection.errors import UpstreamSilent, UpstreamUnreachable


@dataclass(slots=True, frozen=True)
class Loss:
    """Why an attempt ended before the generation did.

    Parameters
    ----------
    cause : {"crash", "restart", "silence", "refused", "broken", "reserved",
        "queued"}
        "crash": the process is gone. "restart": it has another incarnation.
        "silence": it does not answer. "refused": it did not accept the work.
        "broken": only the connection was lost. "reserved": another suspect
        request runs there. "queued": another upstream has a free slot.
    upstream : str
        Upstream of the attempt.
    incarnation : str
        Incarnation that it ran on; empty when it did not run.
    """

    cause: str
    upstream: str
    incarnation: str = ""

    @property
    def is_crash(self):
        """Whether the engine's process ended during the attempt."""
        return self.cause in ("crash", "restart")

    @property
    def is_unreachable(self):
        """Whether the upstream does not answer."""
        return self.cause in ("crash", "silence")


async def classify_failure(state, failure, incarnation, probe_timeout_s):
    """Return the loss that a failure on an upstream means.

    Only a process that is gone or has another incarnation counts as crashed.

    Parameters
    ----------
    state : UpstreamState
        The upstream.
    failure : ConnectionFailure
        The last failure of the attempt.
    incarnation : str
        Incarnation that the attempt ran on; empty when unknown.
    probe_timeout_s : float
        Time that the upstream has to answer a probe, in seconds.
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
