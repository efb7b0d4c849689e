"""``make demo``: a house under load, with planned and unplanned events."""

import signal
import sys
import time
from pathlib import Path
from typing import NamedTuple

from sardinewheel_testing import report
from sardinewheel_testing.calls import Surge
from sardinewheel_testing.figures import judge
from sardinewheel_testing.house import House, TargetRow
from sardinewheel_testing.processes import wait_until
from sardinewheel_testing.running import LoadPlan, RunningHouse

SEED = 7
LOAD_S = 18.0
SURGE = Surge(13.0, 16.0, 2.0)
SHIFT_AT_S = 3.0
DRAIN_TARGET_AT_S = 5.0
DRAIN_HOST_AT_S = 8.0
KILL_AT_S = 12.0
PROGRESS_S = 1.0
SHIFT = "share 20% cap 60 per 2s over 5s as demo --force region-cap"


class DrainTime(NamedTuple):
    """How a place was emptied.

    Attributes:
        name: Name of the place.
        new_work_s: Seconds during which it still got new work.
        empty_s: Seconds until it was empty.
    """

    name: str
    new_work_s: float
    empty_s: float


def say(started_at: float, text: str) -> None:
    """Prints one line of progress."""
    print(f"[{time.monotonic() - started_at:5.1f} s] {text}", flush=True)


class Demo:
    """The events of the demonstration, in order.

    Attributes:
        running: The house.
        started_at: When the demonstration began, monotonic seconds.
        load_at: When the load began, monotonic seconds.
        drains: How each place was emptied.
        stops: Exit status of each entry host that was stopped as planned.
    """

    def __init__(self, running: RunningHouse):
        self.running = running
        self.started_at = time.monotonic()
        self.load_at = 0.0
        self.drains: list[DrainTime] = []
        self.stops: dict[str, int] = {}

    def run(self) -> int:
        """Runs it, prints the report and returns the exit status."""
        house = self.running.house
        self.say(
            f"starting {house.name}: {len(house.entry_hosts)} entry hosts, "
            f"{len(house.targets())} targets in {len(house.regions)} regions"
        )
        self.running.start()
        self.say("intent in force on every entry host; load of all kinds")
        plan = LoadPlan("sardinewheel", LOAD_S, SEED, (SURGE,))
        self.load_at = self.running.start_load(plan)
        self.shift_traffic()
        self.drain_target()
        self.drain_entry_host()
        self.kill_entry_host()
        self.wait_until(SURGE.from_s)
        self.say(f"surge: {SURGE.factor:g} times the load")
        self.wait_until(LOAD_S)
        results = self.running.finish_load()
        self.say("load has ended; stopping every entry host as planned")
        counted = self.running.counted()
        self.stops.update(self.running.stop())
        caps = {r.name: r.cap for r in house.intent.regions.values()}
        verdict = judge(
            results,
            counted.executions,
            caps=caps,
            most=counted.most,
            stops=self.stops,
        )
        print()
        print(report.requests_table(results))
        print()
        print(report.headroom_table(caps, counted.most))
        print()
        print(report.table([DrainTime._fields, *self.drain_rows()]))
        print()
        print(report.reasons_lines(results))
        print()
        print(report.verdict_lines(verdict))
        return 0 if verdict.is_kept else 1

    def shift_traffic(self) -> None:
        """Moves some traffic of the first service between two regions."""
        self.wait_until(SHIFT_AT_S)
        source, destination = self.running.house.regions[:2]
        service = next(iter(self.running.house.intent.services))
        route = ("from", source, "to", destination)
        self.operate("shift", service, *route, *SHIFT.split())

    def drain_target(self) -> None:
        """Empties a target by an operator's order."""
        self.wait_until(DRAIN_TARGET_AT_S)
        target = self.running.house.targets()[0]
        ordered_at = time.monotonic()
        self.operate("drain", "target", target.name)
        self.drains.append(self.watch_target(target, ordered_at))
        self.say(f"target {target.name} is empty")

    def drain_entry_host(self) -> None:
        """Empties an entry host by an operator's order and stops it."""
        self.wait_until(DRAIN_HOST_AT_S)
        name = sorted(self.running.hosts)[0]
        ordered_at = time.monotonic()
        self.operate("drain", "host", name)
        process = self.running.hosts.pop(name)
        process.signal(signal.SIGTERM)
        self.stops[name] = process.stop()
        seconds = time.monotonic() - ordered_at
        self.drains.append(DrainTime(name, 0.0, seconds))
        self.say(f"entry host {name} has stopped")

    def kill_entry_host(self) -> None:
        """Kills an entry host."""
        self.wait_until(KILL_AT_S)
        name = sorted(self.running.hosts)[-1]
        self.running.hosts.pop(name).kill()
        self.say(f"killed entry host {name}")

    def watch_target(self, target: TargetRow, ordered_at: float) -> DrainTime:
        """Waits until a target has been empty for a while."""
        quiet_s = 1.0

        def quiet_report() -> dict | None:
            counted = self.running.target_report(target)
            is_quiet = time.monotonic() - counted["latest_at"] > quiet_s
            return counted if counted["in_flight"] == 0 and is_quiet else None

        counted = wait_until(quiet_report)
        new_work_s = max(0.0, counted["latest_at"] - ordered_at)
        empty_s = max(0.0, counted["empty_at"] - ordered_at)
        return DrainTime(target.name, new_work_s, empty_s)

    def drain_rows(self) -> list[tuple]:
        """Returns the drains as rows of a table."""
        return [
            (d.name, f"{d.new_work_s:.2f}", f"{d.empty_s:.2f}")
            for d in self.drains
        ]

    def wait_until(self, load_s: float) -> None:
        """Waits until so many seconds of load, with progress meanwhile."""
        until = self.load_at + load_s
        while time.monotonic() < until:
            left_s = until - time.monotonic()
            time.sleep(max(0.0, min(PROGRESS_S, left_s)))
            counts = self.running.progress()
            if counts and left_s > PROGRESS_S:
                self.say(report.counts_line(+counts))

    def operate(self, *words: str) -> None:
        """Runs an operator's command and waits until it is in force."""
        self.say("sardinewheel " + " ".join(words))
        started_at = time.monotonic()
        version = self.running.operate(*words)
        self.running.seconds_until_in_force(version)
        seconds = time.monotonic() - started_at
        self.say(f"version {version} in force everywhere after {seconds:.1f} s")

    def say(self, text: str) -> None:
        """Prints one line of progress."""
        say(self.started_at, text)


def main() -> None:
    """Runs the demonstration for the settings folder given as argument."""
    folder = Path(sys.argv[1])
    house = House.from_folder(folder)
    running = RunningHouse(house, folder=Path("build/demo") / house.name)
    try:
        status = Demo(running).run()
    finally:
        running.stop()
    sys.exit(status)


if __name__ == "__main__":
    main()
