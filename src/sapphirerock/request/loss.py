"""What the end of an attempt amounts to."""

from dataclasses import dataclass

from sapphirerock.connection.errors import UpstreamSilent, UpstreamUnreachable


@dataclass(slots=True, frozen=True)
class Loss:
    """Why an attempt ended before the generation did.

    Parameters
    ----------
    cause : {"crash", "restart", "silence", "refused", "broken", "reserved",
        "queued"}
        What was seen: the process is gone, or has another incarnation, or
        does not answer, or did not take the work, or only the connection was
        lost; "reserved" means that another suspect runs there, "queued" that
        another upstream has a free slot.
    upstream : str
        Where the attempt ran.
    incarnation : str
        Incarnation that it ran on; empty when nothing ran.
    """

    cause: str
    upstream: str
    incarnation: str = ""

    @property
    def is_crash(self):
        """Whether a process ended under the attempt."""
        return self.cause in ("crash", "restart")

    @property
    def is_absent(self):
        """Whether nothing answers there now."""
        return self.cause in ("crash", "silence")


async def classify_failure(state, failure, incarnation, bound_s):
    """Return the loss that a failure on an upstream amounts to.

    Only a process that is gone, or has another incarnation, has crashed.

    Parameters
    ----------
    state : UpstreamState
        The upstream.
    failure : ConnectionFailure
        What was seen last.
    incarnation : str
        Incarnation that the attempt ran on; empty when unknown.
    bound_s : float
        Time that the upstream has to answer, in seconds.
    """
    if is_refused(failure):
        return Loss("crash", state.name, incarnation)
    if isinstance(failure, UpstreamSilent) and failure.is_new_connection:
        return Loss("silence", state.name, incarnation)
    report = await state.client.read_load(bound_s)
    if report.is_error():
        cause = "crash" if is_refused(report.error) else "silence"
        return Loss(cause, state.name, incarnation)
    if incarnation and report.ok.incarnation != incarnation:
        return Loss("restart", state.name, incarnation)
    return Loss("broken", state.name, incarnation)


def is_refused(failure):
    """Return whether the upstream's host says that nothing listens."""
    return isinstance(failure, UpstreamUnreachable) and failure.refused
