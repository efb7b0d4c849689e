"""One run of an experiment: a house, a way of steering, and a load."""

import time
from pathlib import Path
from typing import NamedTuple

from sardinewheel_testing.calls import CallResult
from sardinewheel_testing.house import House, TargetRow
from sardinewheel_testing.processes import wait_until
from sardinewheel_testing.running import Counted, LoadPlan, RunningHouse

SARDINEWHEEL = "sardinewheel"
NO_ADMISSION = "no-admission"
CONNECTIONS_PER_TARGET = 400
QUIET_S = 1.0


class Noted(NamedTuple):
    """A figure that an experiment took, with its unit in the name."""

    name: str
    value: float | str


class Scene:
    """A running house under load, as the events of an experiment see it.

    Attributes:
        steering: How callers get their work done.
        running: The house.
        load_at: When the load began, monotonic seconds.
        noted: Figures that the events took.
        failures: Expectations of the events that were not met.
    """

    def __init__(self, steering: str, running: RunningHouse):
        self.steering = steering
        self.running = running
        self.load_at = 0.0
        self.noted: list[Noted] = []
        self.failures: list[str] = []

    @classmethod
    def from_folder(
        cls, settings: Path, *, steering: str, folder: Path, is_routed: bool
    ) -> "Scene":
        """Starts a house; entry hosts only where they are used."""
        is_product = steering == SARDINEWHEEL
        running = RunningHouse(
            House.from_folder(settings),
            folder=folder,
            is_routed=is_routed and is_product,
        )
        try:
            if is_product:
                running.start()
            else:
                running.start_without_entry_hosts()
        except BaseException:
            running.stop()
            raise
        scene = cls(steering, running)
        if steering == NO_ADMISSION:
            targets = scene.house.targets()
            running.set_targets(targets, queue=CONNECTIONS_PER_TARGET)
        return scene

    @property
    def house(self) -> House:
        """The house's settings."""
        return self.running.house

    @property
    def is_product(self) -> bool:
        """Whether the product steers, and not a baseline."""
        return self.steering == SARDINEWHEEL

    def start_load(self, plan: LoadPlan) -> None:
        """Starts the load."""
        self.load_at = self.running.start_load(plan)

    def wait_until(self, load_s: float) -> None:
        """Waits until so many seconds of load."""
        time.sleep(max(0.0, self.load_at + load_s - time.monotonic()))

    def note(self, name: str, value: float | str) -> None:
        """Records a figure."""
        if isinstance(value, float):
            value = round(value, 3)
        self.noted.append(Noted(name, value))

    def expect(self, condition: bool, text: str) -> None:
        """Records an expectation that is not met."""
        if not condition:
            self.failures.append(text)

    def targets_of(self, *, domain: str = "", region: str = ""):
        """Returns the targets of a domain, or of a region."""
        return [
            target
            for target in self.house.targets()
            if domain in ("", target.domain) and region in ("", target.region)
        ]

    def watch_drain(self, target: TargetRow, ordered_at: float) -> None:
        """Waits until a target has stayed empty; notes how long that took."""

        def quiet_report() -> dict | None:
            counted = self.running.target_report(target)
            quiet_s = time.monotonic() - counted["latest_at"]
            is_empty = counted["in_flight"] == 0 and quiet_s > QUIET_S
            return counted if is_empty else None

        counted = wait_until(quiet_report)
        new_work_s = max(0.0, counted["latest_at"] - ordered_at)
        self.note("drain_new_work_s", new_work_s)
        empty_s = max(0.0, counted["empty_at"] - ordered_at)
        self.note("drain_empty_s", empty_s)

    def finish(self) -> tuple[list[CallResult], Counted, dict[str, int]]:
        """Ends the load and stops everything.

        Returns:
            The callers' results, the targets' counts, and the exit status of
            each entry host.
        """
        results = self.running.finish_load()
        counted = self.running.counted()
        return results, counted, self.running.stop()
