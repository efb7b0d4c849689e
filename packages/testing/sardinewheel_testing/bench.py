"""``make bench``: runs named experiments with the product and baselines."""

import json
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from sardinewheel_testing import bench_report, plots
from sardinewheel_testing.bench_report import RunStatistics, compute_statistics
from sardinewheel_testing.experiment_run import (
    NO_ADMISSION,
    SARDINEWHEEL,
    ExperimentRun,
)
from sardinewheel_testing.experiments import EXPERIMENTS, Experiment
from sardinewheel_testing.running_deployment import LoadPlan

BASELINES = ("round-robin", "least-load", NO_ADMISSION)
OUTPUT = Path("build/bench")
DEFAULT_SCALE = 0.15
DEFAULT_SEED = 7


def run(arguments: "Bench") -> int:
    """Runs the command line.

    Returns:
        The exit status: 1 if the product broke a promise or failed an
        expectation, 2 if an experiment does not exist.
    """
    known = {experiment.name: experiment for experiment in EXPERIMENTS}
    wanted = arguments.experiments.split() or list(known)
    unknown = [name for name in wanted if name not in known]
    if unknown:
        print(f"unknown experiments {unknown}; available: {sorted(known)}")
        return 2
    print(f"seed {arguments.seed}, surge scale {arguments.scale:g}")
    is_kept = True
    for name in wanted:
        for deployment in arguments.houses.split():
            bench = PairedRun(
                known[name].scaled(arguments.scale),
                settings=Path("settings") / deployment,
                seed=arguments.seed,
            )
            is_kept &= bench.run()
    return 0 if is_kept else 1


@cappa.command(name="bench", invoke=run)
@dataclass
class Bench:
    """Runs experiments with the product and with baselines.

    Attributes:
        experiments: Space-separated names of experiments; all if empty.
        houses: Space-separated names of folders under ``settings/``.
        scale: Fraction of the one-minute surge that is run.
        seed: Seed of the load.
    """

    experiments: Annotated[str, cappa.Arg(long=True)] = ""
    houses: Annotated[str, cappa.Arg(long=True)] = "vallejo patelvara"
    scale: Annotated[float, cappa.Arg(long=True)] = DEFAULT_SCALE
    seed: Annotated[int, cappa.Arg(long=True)] = DEFAULT_SEED


class PairedRun:
    """One experiment in one deployment, with the product and baselines.

    Attributes:
        experiment: The experiment.
        settings: Folder of the deployment's settings.
        seed: Seed of the load.
    """

    def __init__(self, experiment: Experiment, *, settings: Path, seed: int):
        self.experiment = experiment
        self.settings = settings
        self.seed = seed

    def run(self) -> bool:
        """Runs the experiment and writes the results.

        Returns:
            Whether the product kept all promises and met all expectations.
        """
        name, deployment = self.experiment.name, self.settings.name
        print(
            f"\n{name}, {deployment}: {self.experiment.seconds:g} s", flush=True
        )
        runs = [self._measure(self._start(SARDINEWHEEL))]
        # Started one after another, as each baseline searches for free ports.
        baseline_runs = [self._start(steering) for steering in BASELINES]
        with ThreadPoolExecutor(len(baseline_runs)) as pool:
            runs += pool.map(self._measure, baseline_runs)
        OUTPUT.mkdir(parents=True, exist_ok=True)
        path = OUTPUT / f"{deployment}-{name}.json"
        plain = {
            "experiment": name,
            "house": deployment,
            "seed": self.seed,
            "seconds": self.experiment.seconds,
            "runs": [r.to_plain() for r in runs],
        }
        path.write_text(json.dumps(plain, indent=1), encoding="utf-8")
        plots.draw(runs, title=f"{name}, {deployment}", folder=OUTPUT)
        print(bench_report.format_report(runs), flush=True)
        return runs[0].verdict.is_kept and not runs[0].failures

    def _start(self, steering: str) -> ExperimentRun:
        folder = OUTPUT / self.settings.name / self.experiment.name / steering
        return ExperimentRun.from_folder(
            self.settings,
            steering=steering,
            folder=folder,
            uses_relays=self.experiment.uses_relays,
        )

    def _measure(self, experiment_run: ExperimentRun) -> RunStatistics:
        plan = LoadPlan(
            experiment_run.steering,
            self.experiment.seconds,
            self.seed,
            self.experiment.surges,
        )
        try:
            experiment_run.start_load(plan)
            self.experiment.events(experiment_run)
            results, target_counts, stops = experiment_run.finish()
        finally:
            experiment_run.running.stop()
        return compute_statistics(
            experiment_run, plan, results, target_counts, stops
        )


def main() -> None:
    """Runs the command line."""
    sys.exit(cappa.invoke(Bench))


if __name__ == "__main__":
    main()
