"""Dependencies that all requests of a router share."""

from dataclasses import dataclass, field
from random import Random

from sapphirerock.process.peers.gossip import CrashUpdate, SuspectUpdate
from sapphirerock.process.tasks import BackgroundTasks

# Labels of the metric `upstream_bytes`, indexed by the upstream's distance.
DISTANCE_LABELS = ("zone", "region", "between-regions")


@dataclass(slots=True, eq=False)
class Runtime:
    """Objects of a router process that all its requests share.

    Parameters
    ----------
    clock : Clock
        Source of time.
    metrics : Metrics
        Counters of the process.
    tracer : opentelemetry.trace.Tracer
        Makes spans.
    session : aiohttp.ClientSession
        HTTP session for upstreams; connections are reused.
    single_use_session : aiohttp.ClientSession
        HTTP session for upstreams; each connection carries one request.
    settings : SettingsStore
        Settings in force.
    upstreams : UpstreamTable
        Known upstreams and their load.
    quarantine : Quarantine
        Evidence against requests that ran on upstreams that crashed.
    gossip : Gossip
        Gossip updates to and from peers.
    dispatcher : Dispatcher
        Admits requests and chooses upstreams.
    journal : JournalClient
        Write-ahead journal of tokens.
    ledger : Ledger
        Claims of orders (non-idempotent calls).
    retry_budget : RetryBudget
        This host's share of the retry budget for retries and hedges of checks
        (idempotent calls).
    response_memory : ResponseMemory
        Memory for large responses of upstreams.
    random : random.Random
        Source of jitter.
    tasks : BackgroundTasks
        Background tasks of requests.
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
    retry_budget: object
    response_memory: object
    random: Random = field(default_factory=Random)
    tasks: BackgroundTasks = field(default_factory=BackgroundTasks)

    def count_upstream_bytes(self, state, size):
        """Count bytes received from an upstream by its distance."""
        label = DISTANCE_LABELS[self.upstreams.measure_distance(state)]
        self.metrics.upstream_bytes.labels(label).inc(size)

    def announce_crash(self, fingerprint, upstream, incarnation, blocked):
        """Record a crash as evidence against a request, on this and all other hosts."""
        self.gossip.broadcast(CrashUpdate(fingerprint, upstream, incarnation, blocked))
        self.metrics.quarantined.set(len(self.quarantine.list_blocked()))

    def announce_suspect(self, fingerprint, upstream, running):
        """Record on all hosts whether a suspect request runs on an upstream."""
        self.gossip.broadcast(SuspectUpdate(fingerprint, upstream, running))

    def apply_suspect_update(self, update):
        """Apply an update about whether a suspect request runs on an upstream."""
        state = self.upstreams.get(update.upstream)
        if state is None:
            return
        if update.running:
            state.suspects.add(update.fingerprint)
        else:
            state.suspects.discard(update.fingerprint)
