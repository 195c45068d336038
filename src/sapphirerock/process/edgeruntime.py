"""Dependencies that all calls of an edge share."""

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class EdgeRuntime:
    """Objects of an edge process that all its calls share.

    Parameters
    ----------
    clock : Clock
        Source of time.
    metrics : EdgeMetrics
        Metrics of the process.
    tracer : opentelemetry.trace.Tracer
        Makes spans.
    paths : EnginePaths
        HTTP sessions for engines, with a new connection for each exchange, and probes.
    dialect : EngineDialect
        Encodes requests to engines and decodes their answers.
    fleet : Fleet
        Chooses an engine for each call.
    engine_limits : EngineLimitTable
        Limits of engines on requests, and turns at limited engines.
    engine_slots : EngineSlotTable
        Slots at brittle engines.
    engine_rests : EngineRestTable
        Rests that engines ask for.
    engine_statements : EngineStatementTable
        What engines state of themselves in responses.
    engine_paces : EnginePaceTable
        Paces of engines.
    rollouts : RolloutTable or None
        Rollouts of services; None if operators order none.
    start_data : StartData
        Data that this host loads when it starts.
    stream_origins : StreamOriginTable
        Where streams of all hosts began.
    stored_origins : StoredOrigins
        Records of streams in the store.
    version_history : VersionHistory
        Versions that engines had, and whether these are all.
    admission : AdmissionQueue
        Queues of generations that wait for engine capacity.
    retry_budget : RetryBudget
        This host's share of the retry budget, by service.
    crash_watch : CrashWatch
        Investigates engine crashes and blocks poison requests.
    generator : random.Random
        Random source of jitter in retry delays and of weighted choices.
    response_memory : ResponseMemory
        Memory for large responses of engines.
    stream_durations : StreamDurations
        Typical duration of a stream, learned from finished streams.
    shutdown : Shutdown
        The shutdown of this process, which ends the calls in progress.
    """

    clock: object
    metrics: object
    tracer: object
    paths: object
    dialect: object
    fleet: object
    engine_limits: object
    engine_slots: object
    engine_rests: object
    engine_statements: object
    engine_paces: object
    rollouts: object
    start_data: object
    stream_origins: object
    stored_origins: object
    version_history: object
    admission: object
    retry_budget: object
    crash_watch: object
    generator: object
    response_memory: object
    stream_durations: object
    shutdown: object
