"""Calls that ended without an answer, which may have crashed their engines silently.

Handles a request that silences the engines that run it and comes again: each call ends
at its deadline, or is given up by its caller, long before it shows that the engine has
ended. Such a call is a suspect of the crash unless the engine was heard after it.
"""

from dataclasses import dataclass

from sapphirerock.decisions.poisonrequests import MAX_RESTART_S

MAX_CALLS_PER_RUN = 200
MAX_RUNS = 1_000


@dataclass(slots=True, frozen=True)
class UnansweredCall:
    """A call that ended without an answer of its engine.

    Parameters
    ----------
    suspects : tuple of bytes
        Fingerprints of the call and of its prompt parts.
    began_s, ended_s : float
        Monotonic times between which it was at the engine, in seconds.
    """

    suspects: tuple
    began_s: float
    ended_s: float


class UnansweredCalls:
    """The unanswered calls of this host by the run of the engine."""

    __slots__ = ("_calls",)

    def __init__(self):
        self._calls = {}

    def is_empty(self, now_s):
        """Return whether no call ended lately."""
        self._drop_old(now_s)
        return not self._calls

    def add(self, run, call):
        """Add a call that ended now.

        Calls beyond `MAX_CALLS_PER_RUN` are left out: the first ones are those that the
        engine can have crashed under.
        """
        self._drop_old(call.ended_s)
        calls = self._calls.setdefault(run, [])
        if len(calls) < MAX_CALLS_PER_RUN:
            calls.append(call)

    def _drop_old(self, now_s):
        oldest_s = now_s - MAX_RESTART_S
        for run, calls in list(self._calls.items()):
            if calls[-1].ended_s < oldest_s or len(self._calls) > MAX_RUNS:
                del self._calls[run]

    def select(self, run, heard_s, now_s):
        """Return the calls that the engine may have crashed under.

        Parameters
        ----------
        run : EngineRun
            The run of the engine.
        heard_s : float
            Monotonic time at which this host last heard from it, in seconds.
        now_s : float
            Monotonic time at which its end shows, in seconds.
        """
        from_s = max(heard_s, now_s - MAX_RESTART_S)
        return [call for call in self._calls.get(run, ()) if call.ended_s >= from_s]

    def drop(self, run):
        """Drop the calls of a run whose fate is known."""
        self._calls.pop(run, None)


def estimate_silence_start(calls, heard_s):
    """Return the earliest time at which an engine can have crashed under calls."""
    return max(heard_s, min(call.began_s for call in calls))
