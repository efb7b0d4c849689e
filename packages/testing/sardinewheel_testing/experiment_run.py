"""One run of an experiment: a deployment under load."""

import time
from pathlib import Path
from typing import NamedTuple

from sardinewheel_testing.calls import CallResult
from sardinewheel_testing.deployment import Deployment, PlacedTarget
from sardinewheel_testing.processes import wait_until
from sardinewheel_testing.running_deployment import (
    LoadPlan,
    RunningDeployment,
    TargetCounts,
)

SARDINEWHEEL = "sardinewheel"
NO_ADMISSION = "no-admission"
CONNECTIONS_PER_TARGET = 400
IDLE_S = 1.0


class Measurement(NamedTuple):
    """A value measured by an experiment, with its unit in the name."""

    name: str
    value: float | str


class ExperimentRun:
    """A running deployment under load, used by an experiment's events.

    Attributes:
        steering: Name of the callers' steering strategy.
        running: The running deployment.
        load_started_at: Start of the load, monotonic seconds.
        measurements: Values measured by the events.
        failures: Expectations of the events that were not met.
    """

    def __init__(self, steering: str, running: RunningDeployment):
        self.steering = steering
        self.running = running
        self.load_started_at = 0.0
        self.measurements: list[Measurement] = []
        self.failures: list[str] = []

    @classmethod
    def from_folder(
        cls, settings: Path, *, steering: str, folder: Path, uses_relays: bool
    ) -> "ExperimentRun":
        """Starts a deployment, with entry hosts only for ``SARDINEWHEEL``."""
        is_sardinewheel = steering == SARDINEWHEEL
        running = RunningDeployment(
            Deployment.from_folder(settings),
            folder=folder,
            uses_relays=uses_relays and is_sardinewheel,
        )
        try:
            if is_sardinewheel:
                running.start()
            else:
                running.start_without_entry_hosts()
        except BaseException:
            running.stop()
            raise
        run = cls(steering, running)
        if steering == NO_ADMISSION:
            targets = run.deployment.targets()
            running.set_targets(targets, queue=CONNECTIONS_PER_TARGET)
        return run

    @property
    def deployment(self) -> Deployment:
        """Settings of the deployment."""
        return self.running.deployment

    @property
    def is_sardinewheel(self) -> bool:
        """Whether callers use sardinewheel and not a baseline."""
        return self.steering == SARDINEWHEEL

    def start_load(self, plan: LoadPlan) -> None:
        """Starts the load and records when."""
        self.load_started_at = self.running.start_load(plan)

    def wait_until(self, load_s: float) -> None:
        """Waits until a number of seconds after the start of the load."""
        time.sleep(max(0.0, self.load_started_at + load_s - time.monotonic()))

    def record(self, name: str, value: float | str) -> None:
        """Records a measured value, rounded to 3 decimals."""
        if isinstance(value, float):
            value = round(value, 3)
        self.measurements.append(Measurement(name, value))

    def expect(self, condition: bool, text: str) -> None:
        """Records a failure if a condition is false."""
        if not condition:
            self.failures.append(text)

    def targets_of(self, *, domain: str = "", region: str = ""):
        """Returns targets, optionally of one domain or region only."""
        return [
            target
            for target in self.deployment.targets()
            if domain in ("", target.domain) and region in ("", target.region)
        ]

    def measure_drain(self, target: PlacedTarget, ordered_at: float) -> None:
        """Waits until a target is idle; records the seconds that it took.

        The target is idle when nothing is in flight and no request has started
        for ``IDLE_S``.
        """

        def idle_report() -> dict | None:
            counted = self.running.target_report(target)
            idle_s = time.monotonic() - counted["latest_at"]
            is_empty = counted["in_flight"] == 0 and idle_s > IDLE_S
            return counted if is_empty else None

        counted = wait_until(idle_report)
        new_work_s = max(0.0, counted["latest_at"] - ordered_at)
        self.record("drain_new_work_s", new_work_s)
        empty_s = max(0.0, counted["empty_at"] - ordered_at)
        self.record("drain_empty_s", empty_s)

    def finish(self) -> tuple[list[CallResult], TargetCounts, dict[str, int]]:
        """Waits for the load to end and stops all processes.

        Returns:
            The results of all calls, the counts of the targets, and the exit
            status of each entry host by name.
        """
        results = self.running.finish_load()
        target_counts = self.running.target_counts()
        return results, target_counts, self.running.stop()
