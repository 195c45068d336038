"""Probes whether the run of an engine that a host called still exists."""

from dataclasses import dataclass
from enum import Enum

from sapphirerock.connection.errors import (
    RelayUnavailable,
    UpstreamSilent,
    UpstreamUnreachable,
)
from sapphirerock.connection.upstream import probe
from sapphirerock.process.clock import MAX_TIMER_DELAY_S


class ProbeOutcome(Enum):
    """What a probe shows about an engine."""

    RUNNING = "running"
    # The port refuses connections, or an engine with another start time answers.
    ENDED = "ended"
    NO_ANSWER = "no answer"
    # A peer reaches the engine, and this host does not.
    PATH_LOST = "path lost"
    # The engine wants no requests of this host now.
    RESTING = "resting"
    # The peer that was to relay the probe is not connected to the engine.
    RELAY_FAILED = "relay failed"
    # This host was too busy to read an answer in time.
    HOST_BUSY = "host busy"


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """Outcome of a probe, and the answer or failure that shows it.

    Parameters
    ----------
    is_answered : bool
        Whether a process at the engine's address sent an answer; for a relay that
        failed, whether the peer did.
    shows_start : bool
        Whether the answer states the start time of the registered engine, or the
        registration has none.
    """

    outcome: ProbeOutcome
    detail: str
    is_answered: bool = False
    shows_start: bool = False

    @property
    def shows_running(self):
        """Whether the run of the engine still exists."""
        return self.outcome in (ProbeOutcome.RUNNING, ProbeOutcome.PATH_LOST)


class EngineProber:
    """Asks engines for their reports, each on a new connection.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections to engines.
    dialect : EngineDialect
        Protocol of the engines.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_session", "_dialect", "_clock")

    def __init__(self, session, dialect, clock):
        self._session = session
        self._dialect = dialect
        self._clock = clock

    async def probe(self, entry, timeout_s):
        """Probe a registered engine.

        Parameters
        ----------
        entry : EngineEntry
            The engine's registration.
        timeout_s : float
            Time for connection and answer, in seconds.

        Returns
        -------
        ProbeResult
        """
        return await self._probe(self._session, entry, timeout_s)

    async def confirm(self, entry, result):
        """Return the result of a probe after other hosts have been asked.

        A refused connection or a missing answer may be due to the path from this host.
        """
        return result

    async def probe_and_confirm(self, entry, timeout_s):
        """Probe a registered engine, and have a failure confirmed by other hosts.

        Returns
        -------
        ProbeResult
        """
        return await self.confirm(entry, await self.probe(entry, timeout_s))

    async def _probe(self, session, entry, timeout_s):
        started_s = self._clock.monotonic()
        reply = await probe(
            session,
            entry.name,
            entry.address,
            self._dialect.report_path,
            timeout_s,
        )
        if reply.is_error():
            failure = reply.error
            if isinstance(failure, RelayUnavailable):
                return ProbeResult(
                    ProbeOutcome.RELAY_FAILED, repr(failure), failure.has_replied
                )
            elapsed_s = self._clock.monotonic() - started_s
            is_late = elapsed_s > timeout_s + MAX_TIMER_DELAY_S
            if isinstance(failure, UpstreamSilent) and is_late:
                detail = f"timed out after {elapsed_s:.3f} s of {timeout_s} s"
                return ProbeResult(ProbeOutcome.HOST_BUSY, detail)
            is_refused = isinstance(failure, UpstreamUnreachable) and failure.refused
            outcome = ProbeOutcome.ENDED if is_refused else ProbeOutcome.NO_ANSWER
            return ProbeResult(outcome, repr(failure))
        born_ms = self._dialect.decode_start_ms(reply.ok)
        is_other_run = bool(entry.born_ms and born_ms and born_ms != entry.born_ms)
        outcome = ProbeOutcome.ENDED if is_other_run else ProbeOutcome.RUNNING
        return ProbeResult(
            outcome,
            f"started at {born_ms} ms",
            is_answered=True,
            shows_start=not entry.born_ms or born_ms == entry.born_ms,
        )
