"""``make bench``: named experiments, each beside its baselines."""

import json
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from sardinewheel_testing import bench_report, plots
from sardinewheel_testing.bench_report import RunFigures, figures_of
from sardinewheel_testing.experiments import EXPERIMENTS, Experiment
from sardinewheel_testing.running import LoadPlan
from sardinewheel_testing.scene import (
    NO_ADMISSION,
    SARDINEWHEEL,
    Scene,
)

BASELINES = ("round-robin", "least-load", NO_ADMISSION)
OUTPUT = Path("build/bench")
DEFAULT_SCALE = 0.15
DEFAULT_SEED = 7


def run(arguments: "Bench") -> int:
    """Runs the command line.

    Returns:
        The exit status: 1 when the product broke a promise.
    """
    known = {experiment.name: experiment for experiment in EXPERIMENTS}
    wanted = arguments.experiments.split() or list(known)
    unknown = [name for name in wanted if name not in known]
    if unknown:
        print(f"no experiment {unknown}; there are {sorted(known)}")
        return 2
    print(f"seed {arguments.seed}, scale of the minute {arguments.scale:g}")
    is_kept = True
    for name in wanted:
        for house in arguments.houses.split():
            bench = PairedRun(
                known[name].scaled(arguments.scale),
                settings=Path("settings") / house,
                seed=arguments.seed,
            )
            is_kept &= bench.run()
    return 0 if is_kept else 1


@cappa.command(name="bench", invoke=run)
@dataclass
class Bench:
    """Runs experiments with the product and with baselines.

    Attributes:
        experiments: Names of experiments; all if empty.
        houses: Names of houses.
        scale: What part of the audience's minute is run.
        seed: Seed of the load.
    """

    experiments: Annotated[str, cappa.Arg(long=True)] = ""
    houses: Annotated[str, cappa.Arg(long=True)] = "vallejo patelvara"
    scale: Annotated[float, cappa.Arg(long=True)] = DEFAULT_SCALE
    seed: Annotated[int, cappa.Arg(long=True)] = DEFAULT_SEED


class PairedRun:
    """One experiment in one house, with the product and with baselines.

    Attributes:
        experiment: The experiment.
        settings: Folder of the house's settings.
        seed: Seed of the load.
    """

    def __init__(self, experiment: Experiment, *, settings: Path, seed: int):
        self.experiment = experiment
        self.settings = settings
        self.seed = seed

    def run(self) -> bool:
        """Runs it and writes the results; says whether promises were kept."""
        name, house = self.experiment.name, self.settings.name
        print(f"\n{name}, {house}: {self.experiment.seconds:g} s", flush=True)
        runs = [self._measure(self._start(SARDINEWHEEL))]
        # Each baseline looks for ports that nobody listens on, so they start
        # one after another.
        scenes = [self._start(steering) for steering in BASELINES]
        with ThreadPoolExecutor(len(scenes)) as pool:
            runs += pool.map(self._measure, scenes)
        OUTPUT.mkdir(parents=True, exist_ok=True)
        path = OUTPUT / f"{house}-{name}.json"
        plain = {
            "experiment": name,
            "house": house,
            "seed": self.seed,
            "seconds": self.experiment.seconds,
            "runs": [r.to_plain() for r in runs],
        }
        path.write_text(json.dumps(plain, indent=1), encoding="utf-8")
        plots.draw(runs, title=f"{name}, {house}", folder=OUTPUT)
        print(bench_report.text(runs), flush=True)
        return runs[0].verdict.is_kept and not runs[0].failures

    def _start(self, steering: str) -> Scene:
        folder = OUTPUT / self.settings.name / self.experiment.name / steering
        return Scene.from_folder(
            self.settings,
            steering=steering,
            folder=folder,
            is_routed=self.experiment.is_routed,
        )

    def _measure(self, scene: Scene) -> RunFigures:
        plan = LoadPlan(
            scene.steering,
            self.experiment.seconds,
            self.seed,
            self.experiment.surges,
        )
        try:
            scene.start_load(plan)
            self.experiment.events(scene)
            results, counted, stops = scene.finish()
        finally:
            scene.running.stop()
        return figures_of(scene, plan, results, counted, stops)


def main() -> None:
    """Entry point."""
    sys.exit(cappa.invoke(Bench))


if __name__ == "__main__":
    main()
