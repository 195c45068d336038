"""Prometheus metrics of an edge."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
)

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1.0, 1.5, 2.5, 4.5, 10.0, 25.0)


class EdgeMetrics:
    """All counters, gauges and histograms of an edge process."""

    __slots__ = (
        "registry",
        "calls",
        "call_seconds",
        "first_event_seconds",
        "pause_seconds",
        "attempts",
        "refusals",
        "early_ends",
        "platform_calls",
        "peer_bytes",
        "peer_links",
        "engines",
        "configuration_revision",
        "quarantined",
        "crash_evidence",
        "suspect_sends",
        "relayed_connections",
        "relayed_attempts",
        "relayed_engines",
        "response_memory",
        "caller_memory",
        "caller_connections",
        "caller_closes",
        "rollout_responses",
    )

    def __init__(self):
        registry = self.registry = CollectorRegistry()
        ProcessCollector(registry=registry)

        def counter(name, text, *labels):
            return Counter(f"sapphirerock_{name}", text, labels, registry=registry)

        def gauge(name, text):
            return Gauge(f"sapphirerock_{name}", text, registry=registry)

        def histogram(name, text, *labels):
            return Histogram(
                f"sapphirerock_{name}",
                text,
                labels,
                buckets=LATENCY_BUCKETS_S,
                registry=registry,
            )

        self.calls = counter("calls", "Answers to callers", "kind", "status")
        self.call_seconds = histogram("call_seconds", "Time of whole calls", "kind")
        self.first_event_seconds = histogram(
            "first_event_seconds", "From a stream's request to its first event"
        )
        self.pause_seconds = histogram(
            "pause_seconds", "Longest pause between events of a stream"
        )
        self.attempts = counter("attempts", "Attempts at engines", "kind", "ending")
        self.refusals = counter("refusals", "Calls turned away", "problem")
        self.early_ends = counter(
            "early_ends", "Whole requests without a complete response", "cause"
        )
        self.platform_calls = counter("platform_calls", "Calls to the store", "kind")
        self.peer_bytes = counter("peer_bytes", "Bytes to peers", "kind", "reach")
        self.peer_links = gauge("peer_links", "Open peer streams")
        self.engines = gauge("engines", "Registered engines")
        self.configuration_revision = gauge(
            "configuration_revision", "Revision of the configuration in force"
        )
        self.quarantined = gauge("quarantined", "Requests with evidence of crashes")
        self.crash_evidence = counter(
            "crash_evidence", "Crashes of engines recorded against requests"
        )
        self.suspect_sends = counter(
            "suspect_sends", "Attempts at requests with evidence of crashes"
        )

        self.relayed_connections = counter(
            "relayed_connections", "Connections to engines relayed for peers", "outcome"
        )
        self.relayed_attempts = counter(
            "relayed_attempts", "Connections to engines through peers", "outcome"
        )
        self.relayed_engines = gauge(
            "relayed_engines", "Engines that are reached only through peers"
        )
        self.response_memory = gauge(
            "response_memory_bytes", "Memory reserved for large responses"
        )
        self.caller_memory = gauge(
            "caller_memory_bytes", "Memory that callers' connections are charged for"
        )
        self.caller_connections = gauge(
            "caller_connections", "Open connections of callers"
        )
        self.caller_closes = counter(
            "caller_closes", "Connections of callers closed to make room", "cause"
        )
        self.rollout_responses = counter(
            "rollout_responses",
            "Responses of engines during rollouts",
            "version",
            "result",
        )

    def observe_call(self, kind, responder, seconds):
        """Record an answer; status 0 means that the caller disconnected before it."""
        self.calls.labels(kind, str(responder.status)).inc()
        self.call_seconds.labels(kind).observe(seconds)
        if responder.problem is not None:
            self.refusals.labels(responder.problem.kind.name).inc()

    def observe_attempt(self, kind, ending):
        """Count an attempt at an engine by how it ended."""
        self.attempts.labels(kind, ending.value).inc()

    def observe_stream(self, first_s, longest_pause_s):
        """Record a stream's times in seconds; `first_s` is None without any event."""
        if first_s is not None:
            self.first_event_seconds.observe(first_s)
            self.pause_seconds.observe(longest_pause_s)
