"""Exchange of crash logs between hosts.

Gossip updates reach the hosts that are connected when an update is sent. Hosts that
start later, or whose streams were down, get what they lack from their peers: each
heartbeat carries a digest of the sender's log, and a host whose log differs pulls the
whole log and merges it into its own.
"""

from loguru import logger
from mode import Service

from sapphirerock.connection.messages import CrashLogContent, CrashLogPull
from sapphirerock.decisions.crashlog import CrashLogRecords

# Name of the crash log among the views of a heartbeat.
CRASH_LOG_VIEW = "crash-log"
# Two heartbeats. A gossip update on its way makes logs differ for a moment.
MIN_PULL_INTERVAL_S = 1.0
PRUNE_INTERVAL_S = 10.0


class CrashLogExchange(Service):
    """Keeps this host's crash log equal to those of its peers, and prunes it.

    Parameters
    ----------
    crash_log : CrashLog
        This host's log.
    peers : PeerTable
        Streams to peers.
    clock : Clock
        Source of time.
    metrics : EdgeMetrics
        Counts merged observations.

    Attributes
    ----------
    on_pull : list of callable
        Called with the stream of a peer after this host's log was sent to it.
    """

    def __init__(self, crash_log, peers, clock, metrics, **kwargs):
        super().__init__(**kwargs)
        self._crash_log = crash_log
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._pulled_at_s = {}
        self.on_pull = []
        peers.register_handler(CrashLogPull, self._answer_pull)
        peers.register_handler(CrashLogContent, self._merge)
        peers.on_heartbeat.append(self._compare_digests)
        peers.view_sources.append(self.describe_views)

    def describe_views(self):
        """Return the view of the log for a heartbeat; none for an empty log."""
        if self._crash_log.is_empty:
            return []
        digest, size = self._crash_log.describe()
        return [[CRASH_LOG_VIEW, digest, size, 0, ""]]

    def _compare_digests(self, stream, heartbeat):
        """Pull the log of a peer that differs from this host's."""
        for kind, digest, size, *_ in heartbeat.views:
            if kind != CRASH_LOG_VIEW or (digest, size) == self._crash_log.describe():
                continue
            now_s = self._clock.monotonic()
            pulled_at_s = self._pulled_at_s.get(stream)
            if pulled_at_s is None or now_s - pulled_at_s >= MIN_PULL_INTERVAL_S:
                self._pulled_at_s[stream] = now_s
                self._send(stream, CrashLogPull())

    def _send(self, stream, message):
        self._peers.count_bytes(stream, "crash-log", stream.send(message))

    def _answer_pull(self, stream, message):
        records = self._crash_log.list_records()
        self._send(stream, CrashLogContent(records.crashes, records.blocked))
        for notify in self.on_pull:
            notify(stream)

    def _merge(self, stream, message):
        records = CrashLogRecords(message.crashes, message.blocked)
        added = self._crash_log.merge(records)
        if added:
            self._metrics.crash_evidence.inc(added)
            logger.bind(
                peer=stream.host, added=added, blocked=len(records.blocked)
            ).info("crash log merged")

    @Service.task
    async def _prune(self):
        while not self.should_stop:
            await self._clock.sleep(PRUNE_INTERVAL_S)
            self._crash_log.prune()
            self._pulled_at_s = {
                stream: at_s
                for stream, at_s in self._pulled_at_s.items()
                if stream.is_open
            }
