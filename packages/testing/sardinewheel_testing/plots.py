"""Plots of headroom and latency over time."""

from pathlib import Path

import matplotlib as mpl
from matplotlib import pyplot as plt

from sardinewheel_testing.bench_report import RunStatistics

SIZE_INCHES = (10, 7)
DOTS_PER_INCH = 110

mpl.use("Agg")


def draw(runs: list[RunStatistics], *, title: str, folder: Path) -> Path:
    """Plots the runs of one experiment to a PNG file and returns its path."""
    figure, (upper, lower) = plt.subplots(
        2, 1, sharex=True, figsize=SIZE_INCHES
    )
    for run, color in zip(runs, mpl.color_sequences["tab10"], strict=False):
        for number, series in enumerate(run.headroom_over_time):
            label = run.steering if number == 0 else None
            _line(upper, series.points, color=color, label=label)
        _line(lower, run.latency_over_time.points, color=color)
    upper.axhline(0.0, color="black", linewidth=0.8)
    upper.set_ylabel("headroom of each region, weight units")
    upper.legend()
    lower.set_ylabel("p99 of calls done, ms")
    lower.set_yscale("log")
    lower.set_xlabel("seconds of load")
    figure.suptitle(title)
    path = folder / f"{title.replace(', ', '-')}.png"
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)
    return path


def _line(axes, points, **options) -> None:
    if points:
        axes.plot(*zip(*points, strict=True), linewidth=1.0, **options)
