"""Backups of streams: KV copies on other engines, which can resume the stream.

The engine itself sends the KV memory of a stream to the first backup. If this backup is
lost, the host requests a copy to another engine, and refreshes it while the attempt
lasts.
"""

from loguru import logger

from sapphirerock.connection.response import KvCopy
from sapphirerock.connection.upstream import send_request
from sapphirerock.request.turntaker import TurnTaker

# Limits the delay until the loss of a backup is noticed: two zones can fail within
# seconds of each other.
CHECK_INTERVAL_S = 0.25
# Refresh interval as a share of the time for which engines keep a copy, below a half.
REFRESH_FRACTION = 0.4
# A copy waits for other copies on the links of both engines. One that takes longer than
# this is of no use.
COPY_TIMEOUT_S = 1.5


class BackupKeeper:
    """Maintains the KV copy of one attempt.

    Parameters
    ----------
    runtime : EdgeRuntime
        Services of the process.
    call : RoutedCall
        The call.
    attempt : UpstreamAttempt
        The attempt; it adds the copy to the load of the backup engine.
    """

    __slots__ = ("_runtime", "_call", "_attempt", "_kv_copy", "_holder", "_log")

    def __init__(self, runtime, call, attempt):
        self._runtime = runtime
        self._call = call
        self._attempt = attempt
        self._holder = attempt.backup
        self._kv_copy = None
        if attempt.backup is not None:
            self._kv_copy = KvCopy(attempt.backup.entry, attempt.state.entry)
        self._log = logger.bind(request=call.metadata.attempt_id)

    def get_usable_copy(self):
        """Return the KV copy if its holder is usable, or None."""
        if self._kv_copy is not None and self._runtime.fleet.is_usable(self._holder):
            return self._kv_copy
        return None

    def get_backup_name(self):
        """Return the engine that any host can resume the stream from; may be empty.

        A copy made on request has a name that only this host knows.
        """
        copy = self._kv_copy
        if copy is None or copy.handle or not self._call.route.may_retry:
            return ""
        return copy.holder.name

    def drop_copy(self, copy):
        """Keep a KV copy no longer that is being used, which can be done once.

        While the attempt lasts another one is made.
        """
        if self._kv_copy is copy:
            self._kv_copy = None

    def _has_live_copy(self):
        """Return whether the holder of the KV copy is up, though it may rest."""
        return self._kv_copy is not None and self._runtime.fleet.is_alive(self._holder)

    async def maintain(self):
        """Replace the KV copy whenever its holder is lost, until cancelled."""
        while True:
            await self._runtime.clock.sleep(CHECK_INTERVAL_S)
            if self._attempt.head is None or self._has_live_copy():
                continue
            if not self._runtime.fleet.is_usable(self._attempt.state):
                # A draining engine finishes its runs; an engine that is down has none.
                continue
            await self._maintain_copy()

    async def _maintain_copy(self):
        """Copy the KV memory to another engine; refresh it while that engine is usable.

        Returns when there is no such engine or a copy has failed.
        """
        fleet = self._runtime.fleet
        holder = fleet.choose_backup_engine(self._call, self._attempt.state)
        if holder is None:
            return
        backup_ttl_s = fleet.get_backup_ttl_s(self._call.service)
        self._attempt.replace_backup(holder)
        while fleet.is_alive(holder) and fleet.is_usable(self._attempt.state):
            copy = await self._request_copy(holder)
            if copy is None:
                return
            self._kv_copy, self._holder = copy, holder
            await self._runtime.clock.sleep(REFRESH_FRACTION * backup_ttl_s)

    async def _request_copy(self, holder):
        """Make the engine send its KV memory to a holder; return the copy, or None.

        A limited engine is asked only if there is a turn at once.
        """
        runtime, source = self._runtime, self._attempt.state.entry
        turns = TurnTaker(runtime, self._call)
        if not await turns.take_turn(self._attempt.state, 0.0):
            return None
        request = runtime.dialect.make_copy_request(
            self._call.metadata.attempt_id, holder.entry
        )
        path = runtime.paths.list_paths(self._attempt.state)[:1]
        if not path:
            return None
        response = await send_request(
            path[0].session, source.name, source.address, request, COPY_TIMEOUT_S
        )
        if response.is_error():
            self._log.bind(engine=source.name, cause=repr(response.error)).info(
                "kv copy request failed"
            )
            return None
        status, body = response.ok
        copy = None
        if status == 200:
            copy = runtime.dialect.decode_copy(source, holder.entry, body)
        self._log.bind(
            engine=source.name, holder=holder.name, status=status, made=copy is not None
        ).info("kv copy request answered")
        return copy
