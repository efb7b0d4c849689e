"""Prints the results under ``build/bench``, a Markdown table per deployment."""

import json
import math
from pathlib import Path

from sardinewheel_testing.experiments import EXPERIMENTS

RESULTS = Path("build/bench")
DEPLOYMENTS = ("vallejo", "patelvara")
HEADING = (
    "experiment",
    "weighty p50/p99/p99.9 ms",
    "p99 / best baseline",
    "goodput / best baseline",
    "weighty goodput / best baseline",
    "minimum headroom (best baseline)",
    "refused",
    "unknown",
    "over cap",
    "doubled",
    "lost",
    "false not run",
)


def experiment_row(name: str, runs: list[dict]) -> tuple:
    """Returns the table cells of one experiment.

    Args:
        name: Name of the experiment.
        runs: Results of the product, then of the baselines.
    """
    product, *baselines = runs
    outcomes = [kind["outcomes"] for kind in product["kinds"]]
    verdict = product["verdict"]
    return (
        name,
        "/".join(f"{value:.0f}" for value in product["weighty"].values()),
        _ratio(product, baselines, lambda r: r["weighty"]["p99"], min),
        _ratio(product, baselines, lambda r: r["goodput"], max),
        _ratio(product, baselines, lambda r: r["weighty_goodput"], max),
        f"{_headroom(product)} ({max(map(_headroom, baselines))})",
        sum(o.get("refused", 0) for o in outcomes),
        sum(o.get("unknown", 0) for o in outcomes),
        len(verdict["over_cap"]),
        len(verdict["doubled"]),
        len(verdict["lost"]),
        len(verdict["false_not_run"]),
    )


def _headroom(run: dict) -> int:
    return min(run["headroom"].values())


def _ratio(product: dict, baselines: list[dict], metric, choose) -> str:
    values = [metric(b) for b in baselines]
    best = choose([v for v in values if not math.isnan(v)], default=math.nan)
    return f"{metric(product) / best:.2f}"


def markdown_table(rows: list[tuple]) -> str:
    """Formats rows as a Markdown table; the first row is the heading.

    Examples:
        >>> print(markdown_table([("a", "b"), (1, 2)]))
        | a | b |
        |---|---|
        | 1 | 2 |
    """
    lines = ["| " + " | ".join(map(str, cells)) + " |" for cells in rows]
    lines.insert(1, "|" + "---|" * len(rows[0]))
    return "\n".join(lines)


def main() -> None:
    """Prints a table of the available results of each deployment."""
    for deployment in DEPLOYMENTS:
        rows: list[tuple] = [HEADING]
        for experiment in EXPERIMENTS:
            path = RESULTS / f"{deployment}-{experiment.name}.json"
            if path.exists():
                report = json.loads(path.read_text(encoding="utf-8"))
                rows.append(experiment_row(experiment.name, report["runs"]))
        if len(rows) > 1:
            print(f"\n### {deployment}\n\n{markdown_table(rows)}")


if __name__ == "__main__":
    main()
