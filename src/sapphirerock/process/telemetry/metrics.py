"""Prometheus metrics of a router."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
)

LATENCY_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 0.88, 1.0, 2.0, 3.0, 5.0, 10.0, 30.0)
# 0.069 s is the usual time between two tokens of a generation.
GAP_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.069, 0.1, 0.25, 1.0, 3.0)


class Metrics:
    """All counters, gauges and histograms of a router process."""

    __slots__ = (
        "registry",
        "requests",
        "tokens",
        "tokens_dropped",
        "tokens_unprotected",
        "recoveries",
        "resume_latency",
        "first_token",
        "token_gap",
        "prefilled_again",
        "refusals",
        "orders",
        "hedges",
        "retries_denied",
        "platform_calls",
        "peer_bytes",
        "upstream_bytes",
        "peer_links",
        "settings_horizon",
        "generations",
        "caller_closes",
        "quarantined",
    )

    def __init__(self):
        registry = self.registry = CollectorRegistry()
        ProcessCollector(registry=registry)

        def counter(name, text, *labels):
            return Counter(f"sapphirerock_{name}", text, labels, registry=registry)

        def gauge(name, text, *labels):
            return Gauge(f"sapphirerock_{name}", text, labels, registry=registry)

        def histogram(name, text, buckets):
            return Histogram(
                f"sapphirerock_{name}", text, buckets=buckets, registry=registry
            )

        self.requests = counter("requests", "Answers to callers", "kind", "status")
        self.tokens = counter("tokens", "Tokens released to callers")
        self.tokens_dropped = counter("tokens_dropped", "Late or repeated tokens")
        self.tokens_unprotected = counter(
            "tokens_unprotected", "Tokens released before a journal holder had them"
        )
        self.recoveries = counter("recoveries", "Recoveries of generations", "cause")
        self.resume_latency = histogram(
            "resume_latency_seconds",
            "From a loss to the next token",
            LATENCY_BUCKETS_S,
        )
        self.first_token = histogram(
            "first_token_seconds", "From request to first token", LATENCY_BUCKETS_S
        )
        self.token_gap = histogram(
            "token_gap_seconds", "Time between events of a stream", GAP_BUCKETS_S
        )
        self.prefilled_again = counter(
            "tokens_prefilled_again", "Prefix tokens sent to another engine"
        )
        self.refusals = counter("refusals", "Requests refused", "cause")
        self.orders = counter("orders", "Non-idempotent calls", "outcome")
        self.hedges = counter("hedges", "Second copies of idempotent checks")
        self.retries_denied = counter("retries_denied", "Retries over the budget")
        self.platform_calls = counter("platform_calls", "Platform calls", "kind")
        self.peer_bytes = counter("peer_bytes", "Bytes to peers", "kind", "reach")
        self.upstream_bytes = counter(
            "upstream_bytes", "Bytes of streams from upstreams", "reach"
        )
        self.peer_links = gauge("peer_links", "Open peer streams")
        self.settings_horizon = gauge("settings_horizon", "Settings version in force")
        self.generations = gauge("generations", "Generations under way")
        self.caller_closes = counter(
            "caller_closes", "Connections of callers closed to make room", "cause"
        )
        self.quarantined = gauge("quarantined", "Requests convicted of crashes")
