"""Compares dispatch strategies under the same seeded load and plots them."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
import matplotlib as mpl
from matplotlib import pyplot as plt

from sardinewheel_testing.emulator.dispatch import DISPATCH_STRATEGIES
from sardinewheel_testing.emulator.emulation import Emulation
from sardinewheel_testing.emulator.results import RunResult
from sardinewheel_testing.emulator.scenario import SCENARIOS

PLOT_STEP_S = 1.0
FIGURE_SIZE_INCHES = (10, 5)
HEADER = (
    "| scenario | seed | dispatch | credit ratio | worst kind | worst region "
    "| p50 s | p99 s | refusals | unanswered | duplicate executions |\n"
    "|---|---|---|---|---|---|---|---|---|---|---|"
)

mpl.use("Agg")


@cappa.command(name="emulator")
@dataclass
class Compare:
    """Runs scenarios with several dispatch strategies."""

    scenario: Annotated[
        list[str], cappa.Arg(long=True, help="scenario; repeatable")
    ] = field(default_factory=lambda: list(SCENARIOS))
    dispatch: Annotated[
        list[str], cappa.Arg(long=True, help="dispatch strategy; repeatable")
    ] = field(default_factory=lambda: list(DISPATCH_STRATEGIES))
    seed: Annotated[int, cappa.Arg(long=True)] = 7
    seeds: Annotated[
        int,
        cappa.Arg(long=True, help="number of seeds, counted up from --seed"),
    ] = 1
    folder: Annotated[
        Path | None, cappa.Arg(long=True, help="output folder for plots")
    ] = None

    def __call__(self) -> None:
        """Prints one table row per run and plots each scenario."""
        print(HEADER)
        for name in self.scenario:
            for seed in range(self.seed, self.seed + self.seeds):
                self._compare(name, seed)

    def _compare(self, name: str, seed: int) -> None:
        runs = []
        for dispatch in self.dispatch:
            emulation = Emulation(
                SCENARIOS[name], DISPATCH_STRATEGIES[dispatch], seed=seed
            )
            runs.append(emulation.run())
            print(table_row(name, seed, runs[-1]), flush=True)
        if self.folder is not None:
            self.folder.mkdir(parents=True, exist_ok=True)
            plot_runs(runs, self.folder / f"{name}-{seed}.png", title=name)


def table_row(name: str, seed: int, run: RunResult) -> str:
    """Returns the results of a run as a Markdown table row."""
    p50_s, p99_s = run.latency_percentiles_s()
    cells = (
        name,
        seed,
        run.dispatch,
        f"{run.credit_ratio():.3f}",
        f"{min(run.credit_ratio_by('kind').values()):.3f}",
        f"{min(run.credit_ratio_by('region').values()):.3f}",
        f"{p50_s:.3f}",
        f"{p99_s:.3f}",
        sum(call.refusals for call in run.calls),
        sum(call.response_time_s is None for call in run.calls),
        run.duplicate_executions,
    )
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def plot_runs(runs: list[RunResult], path: Path, *, title: str) -> None:
    """Plots the credit ratio of each run over time."""
    figure, axes = plt.subplots(figsize=FIGURE_SIZE_INCHES)
    for run in runs:
        points = run.credit_ratio_over_time(PLOT_STEP_S)
        axes.plot(*zip(*points, strict=True), label=run.dispatch)
    axes.set_xlabel("time since start of load (s)")
    axes.set_ylabel("credit ratio (earned / possible)")
    axes.set_ylim(0.0, 1.0)
    axes.set_title(title)
    axes.legend()
    figure.savefig(path)
    plt.close(figure)


if __name__ == "__main__":
    cappa.invoke(Compare)
