"""Keeps a copy of a stream's run at an engine that can go on with it.

The engine sends its run's memory to a backup by itself. When the backup is lost, the
run is copied to another engine, again and again while it lasts.
"""

from loguru import logger

from sapphirerock.connection.answer import RunCopy
from sapphirerock.connection.upstream import exchange

# How soon the loss of a backup is noticed; zones fail seconds apart.
CHECK_INTERVAL_S = 0.25
# Within half of the time that engines keep a copy.
REFRESH_SHARE = 0.4
# A copy crosses both links behind others; one that takes longer is of no use.
COPY_BOUND_S = 1.5


class RunCopies:
    """The copy of one attempt's run.

    Parameters
    ----------
    runtime : EdgeRuntime
        What lives as long as the process.
    call : RoutedCall
        The call.
    attempt : UpstreamAttempt
        The attempt; it counts the copy as load.
    """

    __slots__ = ("_runtime", "_call", "_attempt", "_copy", "_holder", "_log")

    def __init__(self, runtime, call, attempt):
        self._runtime = runtime
        self._call = call
        self._attempt = attempt
        self._holder = attempt.backup
        self._copy = None
        if attempt.backup is not None:
            self._copy = RunCopy(attempt.backup.entry, attempt.state.entry)
        self._log = logger.bind(request=call.terms.attempt_id)

    def get_usable(self):
        """Return the copy if its holder can go on with the run, or None."""
        if self._copy is not None and self._runtime.fleet.is_usable(self._holder):
            return self._copy
        return None

    async def keep(self):
        """Replace the copy whenever its holder is lost, until cancelled."""
        while True:
            await self._runtime.clock.sleep(CHECK_INTERVAL_S)
            if self._attempt.head is None or self.get_usable() is not None:
                continue
            if not self._runtime.fleet.is_usable(self._attempt.state):
                # An engine that leaves serves its runs; one that is down has none.
                continue
            await self._copy_while_held()

    async def _copy_while_held(self):
        """Copy the run to another engine and keep that copy up to date."""
        fleet = self._runtime.fleet
        holder = fleet.choose_backup(self._call, self._attempt.state)
        if holder is None:
            return
        life_s = fleet.get_copy_life_s(self._call.service)
        self._attempt.replace_backup(holder)
        while fleet.is_usable(holder):
            copy = await self._make_copy(holder)
            if copy is None:
                return
            self._copy, self._holder = copy, holder
            await self._runtime.clock.sleep(REFRESH_SHARE * life_s)

    async def _make_copy(self, holder):
        runtime, source = self._runtime, self._attempt.state.entry
        request = runtime.dialect.make_copy_request(
            self._call.terms.attempt_id, holder.entry
        )
        answer = await exchange(
            runtime.session, source.name, source.address, request, COPY_BOUND_S
        )
        if answer.is_error():
            self._log.bind(engine=source.name, cause=repr(answer.error)).info("no copy")
            return None
        status, body = answer.ok
        copy = None
        if status == 200:
            copy = runtime.dialect.read_copy(source, holder.entry, body)
        self._log.bind(
            engine=source.name, holder=holder.name, status=status, made=copy is not None
        ).info("run copied")
        return copy
