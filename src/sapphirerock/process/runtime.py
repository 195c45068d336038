"""What lives as long as the process, as requests see it."""

from dataclasses import dataclass, field
from random import Random

from sapphirerock.process.peers.gossip import CrashUpdate, SuspectUpdate
from sapphirerock.process.tasks import BackgroundTasks

# By the distance of an upstream.
REACHES = ("zone", "region", "between-regions")


@dataclass(slots=True, eq=False)
class Runtime:
    """Parts of the process that requests use.

    Parameters
    ----------
    clock : Clock
        Source of time.
    metrics : Metrics
        Counters of the process.
    tracer : opentelemetry.trace.Tracer
        Makes spans.
    session : aiohttp.ClientSession
        Connections to upstreams.
    single_use_session : aiohttp.ClientSession
        Connections that carry one request each.
    settings : SettingsStore
        Settings in force.
    upstreams : UpstreamTable
        Upstreams and their load.
    quarantine : Quarantine
        Requests that were part of crashes.
    gossip : Gossip
        News to and from peers.
    dispatcher : Dispatcher
        Admission and choice.
    journal : JournalClient
        Write-ahead of tokens.
    ledger : Ledger
        Claims of orders.
    budget : RepeatBudget
        Bounds retries and hedges of checks.
    """

    clock: object
    metrics: object
    tracer: object
    session: object
    single_use_session: object
    settings: object
    upstreams: object
    quarantine: object
    gossip: object
    dispatcher: object
    journal: object
    ledger: object
    budget: object
    random: Random = field(default_factory=Random)
    tasks: BackgroundTasks = field(default_factory=BackgroundTasks)

    def count_upstream_bytes(self, state, size):
        """Count bytes from an upstream by how far they came."""
        reach = REACHES[self.upstreams.measure_distance(state)]
        self.metrics.upstream_bytes.labels(reach).inc(size)

    def announce_crash(self, fingerprint, upstream, incarnation, convicted):
        """Record a crash here and tell all hosts."""
        self.gossip.spread(CrashUpdate(fingerprint, upstream, incarnation, convicted))
        self.metrics.quarantined.set(len(self.quarantine.list_convicted()))

    def announce_suspect(self, fingerprint, upstream, running):
        """Record where a suspect runs and tell all hosts."""
        self.gossip.spread(SuspectUpdate(fingerprint, upstream, running))

    def apply_suspect(self, update):
        """Take over where a suspect runs."""
        state = self.upstreams.get(update.upstream)
        if state is None:
            return
        if update.running:
            state.suspects.add(update.fingerprint)
        else:
            state.suspects.discard(update.fingerprint)
