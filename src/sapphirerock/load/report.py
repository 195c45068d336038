"""Results of an experiment as a JSON object and as text."""

import math
from dataclasses import asdict, dataclass, field


@dataclass(slots=True)
class Distribution:
    """Count, percentiles and maximum of a set of values.

    Parameters
    ----------
    p50, p95, p99 : float
        Percentiles, by the nearest-rank method.
    most : float
        Maximum.
    """

    count: int
    p50: float
    p95: float
    p99: float
    most: float


def summarise(values):
    """Return the distribution of values; None if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return None

    def find_quantile(fraction):
        position = math.ceil(fraction * len(ordered)) - 1
        return round(ordered[max(0, position)], 4)

    return Distribution(
        len(ordered),
        find_quantile(0.5),
        find_quantile(0.95),
        find_quantile(0.99),
        round(ordered[-1], 4),
    )


@dataclass(slots=True)
class Report:
    """Results of one experiment.

    Parameters
    ----------
    whole, broken, refused : int
        Numbers of generations that were complete, incomplete, and refused.
    refused_in_s : Distribution or None
        Seconds from the start of a call to its refusal.
    first_token_s, resume_latency_s, gap_s : Distribution or None
        Seconds to the first token, from a fault to the next new token, and between
        successive events.
    goodput_tokens_per_s : list of int
        Tokens received by callers in each second.
    tokens_delivered : int
        Tokens of complete generations.
    tokens_decoded, tokens_prefilled : int
        Tokens that the engines decoded and prefilled.
    router_metrics : dict
        Increase of each router metric during the experiment.
    """

    name: str
    seed: int
    whole: int = 0
    broken: int = 0
    refused: int = 0
    refused_in_s: Distribution | None = None
    first_token_s: Distribution | None = None
    resume_latency_s: Distribution | None = None
    gap_s: Distribution | None = None
    goodput_tokens_per_s: list = field(default_factory=list)
    tokens_delivered: int = 0
    tokens_decoded: int = 0
    tokens_prefilled: int = 0
    router_metrics: dict = field(default_factory=dict)

    def to_document(self):
        """Return the report as a JSON object."""
        return asdict(self)


def format_report(report):
    """Return a report, given as a JSON object, as text."""
    lines = [f"{report['name']}, seed {report['seed']}"]
    for name, value in report.items():
        if isinstance(value, dict) and "p50" in value:
            lines.append(
                f"  {name:<22} n {value['count']:>5}  p50 {value['p50']:.3f}  "
                f"p95 {value['p95']:.3f}  p99 {value['p99']:.3f}  "
                f"most {value['most']:.3f}"
            )
        elif isinstance(value, dict):
            lines += [f"  {key:<40} {number:g}" for key, number in value.items()]
        elif name not in ("name", "seed"):
            lines.append(f"  {name:<22} {value}")
    return "\n".join(lines)
