"""OpenTelemetry tracing: a span for each hop, and the exporters of spans.

The packages that record and export spans are imported only by processes that do so,
since a start must not take long.
"""

from opentelemetry import propagate, trace

EXPORTERS = {}


def register_exporter(name):
    """Register a function that makes a span processor for a target.

    The target is a file for the exporter ``file`` and a URL for ``otlp``.
    """

    def register(function):
        EXPORTERS[name] = function
        return function

    return register


@register_exporter("console")
def export_to_console(target):
    """Write spans to standard output."""
    from opentelemetry.sdk.trace.export import ConsoleSpanExporter, SimpleSpanProcessor

    return SimpleSpanProcessor(ConsoleSpanExporter())


@register_exporter("file")
def export_to_file(target):
    """Append spans to a file, one JSON object a line."""
    from opentelemetry.sdk.trace.export import ConsoleSpanExporter, SimpleSpanProcessor

    stream = open(target, "a", encoding="utf-8")  # noqa: SIM115
    return SimpleSpanProcessor(ConsoleSpanExporter(out=stream, formatter=format_span))


@register_exporter("otlp")
def export_over_otlp(target):
    """Send spans to a collector over HTTP."""
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
    from opentelemetry.sdk.trace.export import BatchSpanProcessor

    return BatchSpanProcessor(OTLPSpanExporter(endpoint=target))


def format_span(span):
    """Return a span as one line of JSON."""
    return span.to_json(indent=None) + "\n"


def make_tracer(settings, host):
    """Return the tracer of a process.

    Parameters
    ----------
    settings : TracingSettings
        The exporter and its target.
    host : str
        Name of the host, a resource attribute of each span.
    """
    if settings.exporter == "none":
        return trace.NoOpTracer()
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import TracerProvider

    resource = Resource.create({"service.name": "sapphirerock", "host.name": host})
    provider = TracerProvider(resource=resource)
    provider.add_span_processor(EXPORTERS[settings.exporter](settings.target))
    return provider.get_tracer("sapphirerock")


def extract_trace_context(headers):
    """Return the trace context of the ``traceparent`` header."""
    return propagate.extract({key.lower(): value for key, value in headers.items()})


def inject_trace_context(headers):
    """Add the current span's ``traceparent`` to `headers` and return them."""
    propagate.inject(headers)
    return headers
