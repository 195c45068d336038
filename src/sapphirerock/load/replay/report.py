"""Results of replays as a table and as a plot."""

from dataclasses import dataclass

COLUMNS = (
    "pattern",
    "policy",
    "in time",
    "served",
    "refused",
    "wait p50 s",
    "wait p95 s",
    "tokens in vain",
)


@dataclass(slots=True, frozen=True)
class ReplaySummary:
    """Means of one pattern under one policy over all seeds.

    Parameters
    ----------
    pattern, policy : str
        Names of the pattern and of the policy.
    in_time, served, refused : float
        Fractions of the calls that were served within the targets, served at all,
        and refused.
    wait_p50_s, wait_p95_s : float
        Median and 95th percentile of the wait for the first event, in seconds.
    wasted_tokens : float
        Tokens in KV memory that was lost, per replay.
    """

    pattern: str
    policy: str
    in_time: float
    served: float
    refused: float
    wait_p50_s: float
    wait_p95_s: float
    wasted_tokens: float

    def format_cells(self):
        """Return the cells of the summary's row, in the order of `COLUMNS`."""
        return (
            self.pattern,
            self.policy,
            f"{self.in_time:.3f}",
            f"{self.served:.3f}",
            f"{self.refused:.3f}",
            f"{self.wait_p50_s:.2f}",
            f"{self.wait_p95_s:.2f}",
            f"{self.wasted_tokens:.0f}",
        )


def summarise_replays(pattern, policy, results):
    """Return the means of the replays of one pattern under one policy.

    Parameters
    ----------
    pattern, policy : str
        Names of the pattern and of the policy.
    results : list of ReplayResult
        One result for each seed.

    Returns
    -------
    ReplaySummary
    """

    def mean(values):
        values = list(values)
        return sum(values) / len(values)

    return ReplaySummary(
        pattern=pattern,
        policy=policy,
        in_time=mean(result.in_time_share for result in results),
        served=mean(result.compute_served_share() for result in results),
        refused=mean(result.refused_share for result in results),
        wait_p50_s=mean(result.compute_wait_quantile(0.5) for result in results),
        wait_p95_s=mean(result.compute_wait_quantile(0.95) for result in results),
        wasted_tokens=mean(result.wasted_tokens for result in results),
    )


def format_table(summaries):
    """Return summaries as a Markdown table."""
    rows = [COLUMNS, ("---",) * len(COLUMNS)]
    rows += [summary.format_cells() for summary in summaries]
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)


def draw_plot(summaries, path):
    """Write a bar chart of calls served in time and refused, by policy.

    Parameters
    ----------
    summaries : list of ReplaySummary
        Summaries to show, as one group of bars for each pattern.
    path : str
        SVG file to write.

    Raises
    ------
    ImportError
        If the plotting library is not installed.
    """
    from pygal import Bar

    patterns = list(dict.fromkeys(item.pattern for item in summaries))
    chart = Bar(
        title="Calls served in time, by load pattern and policy",
        y_title="part of the calls",
        range=(0, 1),
        x_label_rotation=20,
    )
    chart.x_labels = patterns
    for policy in dict.fromkeys(item.policy for item in summaries):
        summaries_by_pattern = {
            item.pattern: item for item in summaries if item.policy == policy
        }
        bars = []
        for pattern in patterns:
            item = summaries_by_pattern.get(pattern)
            label = f"refused {item.refused:.3f}, p95 {item.wait_p95_s:.2f} s"
            bars.append({"value": round(item.in_time, 3), "label": label})
        chart.add(policy, bars)
    chart.render_to_file(path)
