"""A house with everything that belongs to it, running as processes."""

import json
import signal
import subprocess
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from sardinewheel_testing.calls import CallResult, Surge, result_from_plain
from sardinewheel_testing.house import INTENT_FILE, House, TargetRow
from sardinewheel_testing.processes import (
    BIN,
    HttpResponse,
    Process,
    http,
    start_entry_host,
    start_stand_in,
    wait_until,
)
from sardinewheel_testing.routes import RelayRoutes

JSON_TYPE = {"Content-Type": "application/json"}
OPERATE_TIMEOUT_S = 20.0
END_TIMEOUT_S = 30.0
START_DELAY_S = 1.5


class OperatorError(Exception):
    """An operator's command was not accepted."""


class LoadPlan(NamedTuple):
    """The load of one run.

    Attributes:
        steering: How callers get their work done.
        seconds: How long calls are made.
        seed: Seed of the schedule.
        surges: Intervals with more of it.
        scale: What every rate is multiplied by.
    """

    steering: str
    seconds: float
    seed: int
    surges: tuple[Surge, ...] = ()
    scale: float = 1.0


class Counted(NamedTuple):
    """What the targets counted.

    Attributes:
        executions: Executions by request id, over all targets.
        most: Most weight in flight at any instant, by region.
        steps: Most weight by time step, by region.
        step_s: Length of a time step in seconds.
        targets: Report of each target, by name.
    """

    executions: Counter[str]
    most: dict[str, int]
    steps: dict[str, dict[int, int]]
    step_s: float
    targets: dict[str, dict]


def send_json(
    method: str, address: str, path: str, plain: dict, timeout_s: float = 5.0
) -> HttpResponse:
    """Sends a JSON body and returns the response."""
    return http(
        method,
        address,
        path,
        body=json.dumps(plain).encode(),
        headers=JSON_TYPE,
        timeout_s=timeout_s,
    )


class RunningHouse:
    """The processes of a house.

    Attributes:
        house: Its settings.
        folder: Folder for logs and results.
        routes: Relays between entry hosts, if connections go through them.
        hosts: Entry hosts that were not stopped, by name.
        stand_ins: Every other process.
    """

    def __init__(self, house: House, *, folder: Path, is_routed: bool = False):
        self.house = house
        self.folder = folder
        self.routes = RelayRoutes.from_house(house) if is_routed else None
        self.hosts: dict[str, Process] = {}
        self.stand_ins: dict[str, Process] = {}
        self.extra_addresses = list(house.extra_addresses)
        self.reports: dict[str, str] = {}
        self.kept: dict[str, dict] = {}

    def start(self) -> None:
        """Starts everything and waits until the intent is in force."""
        self._clear_folder()
        self._start_platform()
        for region in self.house.regions:
            self._start_targets(region)
        if self.routes is not None:
            self._start_link()
        for settings in self.house.entry_hosts:
            self.start_host(settings["name"])
        for settings in self.house.entry_hosts:
            wait_until(lambda s=settings: self.status(s["name"]))
        path = self.folder / INTENT_FILE
        path.write_text(self.house.script, encoding="utf-8")
        version = self.operate("--as-one", "-f", str(path))
        for settings in self.house.entry_hosts:
            wait_until(lambda s=settings: self._has(s["name"], version))

    def start_without_entry_hosts(self) -> None:
        """Starts what callers need that send to targets themselves."""
        self._clear_folder()
        for region in self.house.regions:
            self._start_targets(region)
        for address in self.reports.values():
            wait_until(lambda a=address: http("GET", a, "/report"))

    def stop(self) -> dict[str, int]:
        """Stops every process; returns the entry hosts' exit statuses."""
        for process in [*self.hosts.values(), *self.stand_ins.values()]:
            process.signal(signal.SIGCONT)
        for process in self.hosts.values():
            process.signal(signal.SIGTERM)
        statuses = {name: p.stop() for name, p in self.hosts.items()}
        for process in self.stand_ins.values():
            process.stop()
        self.hosts.clear()
        self.stand_ins.clear()
        return statuses

    def settings_of(self, name: str) -> dict:
        """Returns the settings of an entry host."""
        return next(s for s in self.house.entry_hosts if s["name"] == name)

    def start_host(self, name: str) -> None:
        """Starts an entry host."""
        settings = self.settings_of(name)
        routes_file = None
        if self.routes is not None:
            routes_file = self.routes.write_routes(settings, folder=self.folder)
        self.hosts[name] = start_entry_host(
            settings, folder=self.folder, routes_file=routes_file
        )

    def status(self, name: str) -> dict:
        """Returns what an entry host says of itself."""
        address = self.settings_of(name)["http_address"]
        return http("GET", address, "/v1/status", timeout_s=2.0).media

    def operate(self, *words: str) -> int:
        """Runs a command of the operators' language.

        Returns:
            The version that it created.

        Raises:
            OperatorError: It was not accepted.
        """
        hosts = [self.settings_of(name)["http_address"] for name in self.hosts]
        options = [f"--host={address}" for address in hosts]
        command = [str(BIN / "sardinewheel"), *options, "--json"]
        ended = subprocess.run(
            [*command, f"--author={self.house.name}", *words],
            capture_output=True,
            text=True,
            timeout=OPERATE_TIMEOUT_S,
            check=False,
        )
        if ended.returncode:
            raise OperatorError(ended.stdout + ended.stderr)
        return json.loads(ended.stdout)["change"]["version"]

    def seconds_until_in_force(self, version: int) -> float:
        """Waits until every entry host has a version in force."""
        started_at = time.monotonic()
        for name in self.hosts:
            wait_until(lambda n=name: self._has(n, version))
        return time.monotonic() - started_at

    def set_platform(self, **fields) -> None:
        """Sets how the platform behaves."""
        address = self.house.platform_address
        send_json("PUT", address, "/control", fields)

    def set_targets(self, targets: list[TargetRow], **fields) -> None:
        """Sets how some targets behave."""
        for target in targets:
            send_json("PUT", target.address, "/control", fields)

    def kill_region(self, region: str) -> None:
        """Ends every process of a region at once, counts kept."""
        self.kept[region] = self._report(region)
        for settings in self.house.hosts_of_region(region):
            self.hosts.pop(settings["name"]).kill()
        self.stand_ins[f"targets-{region}"].kill()

    def kill_targets(self, region: str) -> None:
        """Ends the targets of a region at once, counts kept."""
        self.kept[region] = self._report(region)
        self.stand_ins[f"targets-{region}"].kill()

    def start_load(self, plan: LoadPlan) -> float:
        """Starts callers in every region.

        Returns:
            When the load starts, monotonic seconds.
        """
        start_at = time.monotonic() + START_DELAY_S
        for callers in self.house.stand_ins["callers"]:
            region = callers["region"]
            path = self.folder / f"callers-{region}.json"
            settings = self._caller_settings(callers, plan, start_at)
            path.write_text(json.dumps(settings), encoding="utf-8")
            self.stand_ins[f"callers-{region}"] = start_stand_in(
                "caller",
                str(path),
                log_file=self.folder / f"callers-{region}.log",
            )
        return start_at

    def progress(self) -> Counter[str]:
        """Returns the outcomes of the calls that have ended."""
        total: Counter[str] = Counter()
        for region in self.house.regions:
            path = self._results_path(region).with_suffix(".json.progress")
            if path.exists():
                total.update(json.loads(path.read_text(encoding="utf-8")))
        return total

    def finish_load(self) -> list[CallResult]:
        """Waits until the callers have ended and returns their results."""
        results = []
        for region in self.house.regions:
            process = self.stand_ins.pop(f"callers-{region}")
            process.popen.wait(END_TIMEOUT_S)
            text = self._results_path(region).read_text(encoding="utf-8")
            results += [result_from_plain(item) for item in json.loads(text)]
        return results

    def counted(self) -> Counted:
        """Returns what the targets counted."""
        executions: Counter[str] = Counter()
        most, steps, targets, step_s = {}, {}, {}, 0.0
        for region in self.house.regions:
            report = self.kept.get(region) or self._report(region)
            for target in report["targets"]:
                targets[target["name"]] = target
                executions.update(target["executions"])
            weight = report["regions"][region]
            most[region] = weight["most"]
            steps[region] = dict(weight["steps"])
            step_s = weight["step_s"]
        return Counted(executions, most, steps, step_s, targets)

    def target_report(self, target: TargetRow) -> dict:
        """Returns what one target counted."""
        return http("GET", target.address, "/control").media

    def _clear_folder(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self.folder.iterdir():
            path.unlink()

    def _has(self, name: str, version: int) -> bool:
        status = self.status(name)
        return status["ready"] and status["intent"]["version"] >= version

    def _report(self, region: str) -> dict:
        return http("GET", self.reports[region], "/report").media

    def _results_path(self, region: str) -> Path:
        return self.folder / f"results-{region}.json"

    def _start_platform(self) -> None:
        self.stand_ins["platform"] = start_stand_in(
            "platform",
            self.house.platform_address,
            log_file=self.folder / "platform.log",
        )
        address = self.house.platform_address
        wait_until(lambda: http("GET", address, "/control"))

    def _start_targets(self, region: str) -> None:
        plain = self.house.stand_ins
        self.reports[region] = self.extra_addresses.pop()
        group = {
            "control_address": self.reports[region],
            "seed": 1,
            "targets": [
                {
                    "name": target.name,
                    "address": target.address,
                    "region": region,
                    "slots": target.slots,
                    "queue": plain["queue"],
                    "spread": plain["spread"],
                    "service_time_s": plain["service_time_s"][target.service],
                }
                for target in self.house.targets()
                if target.region == region
            ],
        }
        path = self.folder / f"targets-{region}.json"
        path.write_text(json.dumps(group), encoding="utf-8")
        self.stand_ins[f"targets-{region}"] = start_stand_in(
            "target", str(path), log_file=self.folder / f"targets-{region}.log"
        )

    def _start_link(self) -> None:
        path = self.routes.write_link_settings(self.folder)
        self.stand_ins["link"] = start_stand_in(
            "link", str(path), log_file=self.folder / "link.log"
        )
        address = self.routes.control_address
        wait_until(lambda: http("GET", address, "/control"))

    def _caller_settings(
        self, callers: dict, plan: LoadPlan, start_at: float
    ) -> dict:
        house = self.house
        return {
            "region": callers["region"],
            "block": callers["block"],
            "steering": plan.steering,
            "entry_hosts": [
                [h["http_address"], house.intent.region_of(h["domain"])]
                for h in house.entry_hosts
            ],
            "targets": [
                [t.name, t.service, t.address, t.region]
                for t in house.targets()
            ],
            "rates": [
                [*rate[:4], rate[4] * plan.scale, rate[5]]
                for rate in callers["rates"]
            ],
            "surges": [list(surge) for surge in plan.surges],
            "start_at": start_at,
            "seconds": plan.seconds,
            "seed": plan.seed,
            "output": str(self._results_path(callers["region"])),
        }
