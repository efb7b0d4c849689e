"""Compares ways to place requests on one seeded load, and draws them."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
import matplotlib as mpl
from matplotlib import pyplot as plt

from sardinewheel_testing.emulator.dispatch import DISPATCHES
from sardinewheel_testing.emulator.emulation import Emulation
from sardinewheel_testing.emulator.figures import Figures
from sardinewheel_testing.emulator.scenario import SCENARIOS

STEP_S = 1.0
SIZE_INCHES = (10, 5)
HEADER = (
    "| scenario | seed | dispatch | worth | worst kind | worst region "
    "| p50 s | p99 s | refusals | unanswered | doubled |\n"
    "|---|---|---|---|---|---|---|---|---|---|---|"
)

mpl.use("Agg")


@cappa.command(name="emulator")
@dataclass
class Compare:
    """Runs scenarios with several ways to place requests."""

    scenario: Annotated[
        list[str], cappa.Arg(long=True, help="scenario; repeatable")
    ] = field(default_factory=lambda: list(SCENARIOS))
    dispatch: Annotated[
        list[str], cappa.Arg(long=True, help="way to place; repeatable")
    ] = field(default_factory=lambda: list(DISPATCHES))
    seed: Annotated[int, cappa.Arg(long=True)] = 7
    seeds: Annotated[int, cappa.Arg(long=True, help="how many")] = 1
    folder: Annotated[
        Path | None, cappa.Arg(long=True, help="where plots go")
    ] = None

    def __call__(self) -> None:
        """Prints a row a run, and draws each scenario."""
        print(HEADER)
        for name in self.scenario:
            for seed in range(self.seed, self.seed + self.seeds):
                self._compare(name, seed)

    def _compare(self, name: str, seed: int) -> None:
        runs = []
        for dispatch in self.dispatch:
            emulation = Emulation(
                SCENARIOS[name], DISPATCHES[dispatch], seed=seed
            )
            runs.append(emulation.run())
            print(row(name, seed, runs[-1]), flush=True)
        if self.folder is not None:
            self.folder.mkdir(parents=True, exist_ok=True)
            draw(runs, self.folder / f"{name}-{seed}.png", title=name)


def row(name: str, seed: int, run: Figures) -> str:
    """Returns a table row with the figures of a run."""
    p50_s, p99_s = run.latency_s()
    cells = (
        name,
        seed,
        run.dispatch,
        f"{run.worth():.3f}",
        f"{min(run.worth_by('kind').values()):.3f}",
        f"{min(run.worth_by('region').values()):.3f}",
        f"{p50_s:.3f}",
        f"{p99_s:.3f}",
        sum(call.refusals for call in run.calls),
        sum(call.took_s is None for call in run.calls),
        run.doubled,
    )
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def draw(runs: list[Figures], path: Path, *, title: str) -> None:
    """Draws the worth of runs over time."""
    figure, axes = plt.subplots(figsize=SIZE_INCHES)
    for run in runs:
        points = run.over_time(STEP_S)
        axes.plot(*zip(*points, strict=True), label=run.dispatch)
    axes.set_xlabel("seconds of load")
    axes.set_ylabel("credit earned / owed")
    axes.set_ylim(0.0, 1.0)
    axes.set_title(title)
    axes.legend()
    figure.savefig(path)
    plt.close(figure)


if __name__ == "__main__":
    cappa.invoke(Compare)
