"""``make demo``: a deployment under load, with drains and failures."""

import signal
import sys
import time
from pathlib import Path
from typing import NamedTuple

from sardinewheel_testing import report
from sardinewheel_testing.calls import Surge
from sardinewheel_testing.deployment import Deployment, PlacedTarget
from sardinewheel_testing.processes import wait_until
from sardinewheel_testing.run_statistics import check_promises
from sardinewheel_testing.running_deployment import LoadPlan, RunningDeployment

SEED = 7
LOAD_S = 18.0
SURGE = Surge(13.0, 16.0, 2.0)
SHIFT_AT_S = 3.0
DRAIN_TARGET_AT_S = 5.0
DRAIN_HOST_AT_S = 8.0
KILL_AT_S = 12.0
PROGRESS_INTERVAL_S = 1.0
SHIFT = "share 20% cap 60 per 2s over 5s as demo --force region-cap"


class DrainTime(NamedTuple):
    """How long a target or an entry host took to drain.

    Attributes:
        name: Name of the target or entry host.
        new_work_s: Seconds from the order to the last new request.
        empty_s: Seconds from the order until nothing was in flight.
    """

    name: str
    new_work_s: float
    empty_s: float


def print_progress(started_at: float, text: str) -> None:
    """Prints a line with the seconds since the start."""
    print(f"[{time.monotonic() - started_at:5.1f} s] {text}", flush=True)


class Demo:
    """The events of the demonstration, in order.

    Attributes:
        running: The running deployment.
        started_at: Start of the demonstration, monotonic seconds.
        load_started_at: Start of the load, monotonic seconds.
        drains: Duration of each drain.
        stops: Exit status by name of each entry host that was stopped as
            planned.
    """

    def __init__(self, running: RunningDeployment):
        self.running = running
        self.started_at = time.monotonic()
        self.load_started_at = 0.0
        self.drains: list[DrainTime] = []
        self.stops: dict[str, int] = {}

    def run(self) -> int:
        """Runs all events, prints the report and returns the exit status."""
        deployment = self.running.deployment
        self.print_progress(
            f"starting {deployment.name}: "
            f"{len(deployment.entry_hosts)} entry hosts, "
            f"{len(deployment.targets())} targets "
            f"in {len(deployment.regions)} regions"
        )
        self.running.start()
        self.print_progress(
            "intent in force on every entry host; starting the load"
        )
        plan = LoadPlan("sardinewheel", LOAD_S, SEED, (SURGE,))
        self.load_started_at = self.running.start_load(plan)
        self.shift_traffic()
        self.drain_target()
        self.drain_entry_host()
        self.kill_entry_host()
        self.wait_until(SURGE.from_s)
        self.print_progress(f"surge: {SURGE.factor:g} times the load")
        self.wait_until(LOAD_S)
        results = self.running.finish_load()
        self.print_progress("load has ended; stopping all entry hosts")
        target_counts = self.running.target_counts()
        self.stops.update(self.running.stop())
        caps = {r.name: r.cap for r in deployment.intent.regions.values()}
        verdict = check_promises(
            results,
            target_counts.executions,
            caps=caps,
            peak_weight=target_counts.peak_weight,
            stops=self.stops,
        )
        print()
        print(report.requests_table(results))
        print()
        print(report.headroom_table(caps, target_counts.peak_weight))
        print()
        print(report.table([DrainTime._fields, *self.drain_rows()]))
        print()
        print(report.reason_lines(results))
        print()
        print(report.verdict_lines(verdict))
        return 0 if verdict.is_kept else 1

    def shift_traffic(self) -> None:
        """Shifts some traffic of the first service between two regions."""
        self.wait_until(SHIFT_AT_S)
        source, destination = self.running.deployment.regions[:2]
        service = next(iter(self.running.deployment.intent.services))
        route = ("from", source, "to", destination)
        self.run_command("shift", service, *route, *SHIFT.split())

    def drain_target(self) -> None:
        """Drains a target with an operator command."""
        self.wait_until(DRAIN_TARGET_AT_S)
        target = self.running.deployment.targets()[0]
        ordered_at = time.monotonic()
        self.run_command("drain", "target", target.name)
        self.drains.append(self.measure_drain(target, ordered_at))
        self.print_progress(f"target {target.name} is drained")

    def drain_entry_host(self) -> None:
        """Drains an entry host with an operator command and stops it."""
        self.wait_until(DRAIN_HOST_AT_S)
        name = sorted(self.running.hosts)[0]
        ordered_at = time.monotonic()
        self.run_command("drain", "host", name)
        process = self.running.hosts.pop(name)
        process.signal(signal.SIGTERM)
        self.stops[name] = process.stop()
        seconds = time.monotonic() - ordered_at
        self.drains.append(DrainTime(name, 0.0, seconds))
        self.print_progress(f"entry host {name} has stopped")

    def kill_entry_host(self) -> None:
        """Kills an entry host without a drain."""
        self.wait_until(KILL_AT_S)
        name = sorted(self.running.hosts)[-1]
        self.running.hosts.pop(name).kill()
        self.print_progress(f"killed entry host {name}")

    def measure_drain(
        self, target: PlacedTarget, ordered_at: float
    ) -> DrainTime:
        """Waits until a target is idle; returns how long it took to drain."""
        idle_s = 1.0

        def idle_report() -> dict | None:
            counted = self.running.target_report(target)
            is_idle = time.monotonic() - counted["latest_at"] > idle_s
            return counted if counted["in_flight"] == 0 and is_idle else None

        counted = wait_until(idle_report)
        new_work_s = max(0.0, counted["latest_at"] - ordered_at)
        empty_s = max(0.0, counted["empty_at"] - ordered_at)
        return DrainTime(target.name, new_work_s, empty_s)

    def drain_rows(self) -> list[tuple]:
        """Returns the drains as table rows."""
        return [
            (d.name, f"{d.new_work_s:.2f}", f"{d.empty_s:.2f}")
            for d in self.drains
        ]

    def wait_until(self, load_s: float) -> None:
        """Waits until a number of seconds of load; prints progress."""
        until = self.load_started_at + load_s
        while time.monotonic() < until:
            left_s = until - time.monotonic()
            time.sleep(max(0.0, min(PROGRESS_INTERVAL_S, left_s)))
            counts = self.running.progress()
            if counts and left_s > PROGRESS_INTERVAL_S:
                self.print_progress(report.counts_line(+counts))

    def run_command(self, *words: str) -> None:
        """Runs an operator command and waits until its version is in force."""
        self.print_progress("sardinewheel " + " ".join(words))
        started_at = time.monotonic()
        version = self.running.run_command(*words)
        self.running.wait_until_in_force(version)
        seconds = time.monotonic() - started_at
        self.print_progress(
            f"version {version} in force on every entry host "
            f"after {seconds:.1f} s"
        )

    def print_progress(self, text: str) -> None:
        """Prints a line with the seconds since the start."""
        print_progress(self.started_at, text)


def main() -> None:
    """Runs the demonstration for the settings folder given as argument."""
    folder = Path(sys.argv[1])
    deployment = Deployment.from_folder(folder)
    running = RunningDeployment(
        deployment, folder=Path("build/demo") / deployment.name
    )
    try:
        status = Demo(running).run()
    finally:
        running.stop()
    sys.exit(status)


if __name__ == "__main__":
    main()
