"""What lives as long as an edge's process, as calls see it."""

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class EdgeRuntime:
    """Parts of the process that calls use.

    Parameters
    ----------
    clock : Clock
        Source of time.
    metrics : EdgeMetrics
        Counters of the process.
    tracer : opentelemetry.trace.Tracer
        Makes spans.
    session : aiohttp.ClientSession
        Connections to engines, one for each exchange.
    dialect : EngineDialect
        How engines are spoken to.
    fleet : Fleet
        Chooses engines.
    admission : AdmissionQueue
        Where generations wait for room.
    budget : RepeatBudget
        Bounds repeats.
    crashes : CrashWatch
        Finds out which calls crash engines.
    generator : random.Random
        Spreads what must not come as a wave.
    stream_length : StreamLength
        Typical time of a stream.
    """

    clock: object
    metrics: object
    tracer: object
    session: object
    dialect: object
    fleet: object
    admission: object
    budget: object
    crashes: object
    generator: object
    stream_length: object
