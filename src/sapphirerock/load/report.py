"""What an experiment found, as numbers and as a table."""

import math
from dataclasses import asdict, dataclass, field


@dataclass(slots=True)
class Distribution:
    """Some values: how many, their middle and their upper end."""

    count: int
    p50: float
    p95: float
    p99: float
    most: float


def summarise(values):
    """Return the distribution of some values, None for none."""
    ordered = sorted(values)
    if not ordered:
        return None

    def pick(share):
        position = math.ceil(share * len(ordered)) - 1
        return round(ordered[max(0, position)], 4)

    return Distribution(
        len(ordered), pick(0.5), pick(0.95), pick(0.99), round(ordered[-1], 4)
    )


@dataclass(slots=True)
class Report:
    """Results of one experiment.

    Parameters
    ----------
    whole, broken, refused : int
        Generations that came whole, that were not, that were refused.
    first_token_s, resume_latency_s, gap_s : Distribution or None
        Seconds.
    tokens_delivered : int
        Tokens that callers got.
    tokens_decoded, tokens_prefilled : int
        Work of the engines.
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
    """Return a report document as readable lines."""
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
