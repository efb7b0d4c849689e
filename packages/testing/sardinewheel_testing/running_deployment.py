"""Runs a deployment, its targets and its callers as local processes."""

import json
import signal
import subprocess
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from sardinewheel_testing.calls import CallResult, Surge, result_from_plain
from sardinewheel_testing.deployment import (
    INTENT_FILE,
    Deployment,
    PlacedTarget,
)
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
COMMAND_TIMEOUT_S = 20.0
LOAD_END_TIMEOUT_S = 30.0
START_DELAY_S = 1.5


class CommandRejectedError(Exception):
    """An operator command was not accepted."""


class LoadPlan(NamedTuple):
    """The load of one run.

    Attributes:
        steering: Name of the callers' steering strategy.
        seconds: Duration of the load.
        seed: Seed of the schedule.
        surges: Intervals of increased load.
        scale: Factor that all request rates are multiplied by.
    """

    steering: str
    seconds: float
    seed: int
    surges: tuple[Surge, ...] = ()
    scale: float = 1.0


class TargetCounts(NamedTuple):
    """Counts reported by all targets.

    Attributes:
        executions: Number of executions by request id, over all targets.
        peak_weight: Maximum weight in flight, by region.
        peak_weight_by_step: Maximum weight in flight by region and time step.
        step_s: Length of a time step in seconds.
        targets: Report of each target, by name.
    """

    executions: Counter[str]
    peak_weight: dict[str, int]
    peak_weight_by_step: dict[str, dict[int, int]]
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


class RunningDeployment:
    """The processes of a deployment.

    Attributes:
        deployment: Settings of the deployment.
        folder: Folder for logs and results.
        routes: Relays between entry hosts, if connections go through them.
        hosts: Entry hosts that were not stopped or killed, by name.
        stand_ins: Simulated platform, targets, callers and network, by name.
        extra_addresses: Free addresses that are not in use yet.
        reports: Address of the targets' report, by region.
        saved_reports: Reports taken before targets were killed, by region.
    """

    def __init__(
        self, deployment: Deployment, *, folder: Path, uses_relays: bool = False
    ):
        self.deployment = deployment
        self.folder = folder
        self.routes = (
            RelayRoutes.from_deployment(deployment) if uses_relays else None
        )
        self.hosts: dict[str, Process] = {}
        self.stand_ins: dict[str, Process] = {}
        self.extra_addresses = list(deployment.extra_addresses)
        self.reports: dict[str, str] = {}
        self.saved_reports: dict[str, dict] = {}

    def start(self) -> None:
        """Starts all processes and waits until the intent is in force."""
        self._clear_folder()
        self._start_platform()
        for region in self.deployment.regions:
            self._start_targets(region)
        if self.routes is not None:
            self._start_link()
        for settings in self.deployment.entry_hosts:
            self.start_host(settings["name"])
        for settings in self.deployment.entry_hosts:
            wait_until(lambda s=settings: self.status(s["name"]))
        path = self.folder / INTENT_FILE
        path.write_text(self.deployment.script, encoding="utf-8")
        version = self.run_command("--as-one", "-f", str(path))
        for settings in self.deployment.entry_hosts:
            wait_until(lambda s=settings: self._has_version(s["name"], version))

    def start_without_entry_hosts(self) -> None:
        """Starts only the targets, for callers that send directly to them."""
        self._clear_folder()
        for region in self.deployment.regions:
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
        return next(s for s in self.deployment.entry_hosts if s["name"] == name)

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
        """Returns the status that an entry host reports."""
        address = self.settings_of(name)["http_address"]
        return http("GET", address, "/v1/status", timeout_s=2.0).media

    def run_command(self, *words: str) -> int:
        """Runs an operator command with the command-line client.

        Returns:
            The version of the intent that the command created.

        Raises:
            CommandRejectedError: The command was not accepted.
        """
        hosts = [self.settings_of(name)["http_address"] for name in self.hosts]
        options = [f"--host={address}" for address in hosts]
        command = [str(BIN / "sardinewheel"), *options, "--json"]
        ended = subprocess.run(
            [*command, f"--author={self.deployment.name}", *words],
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )
        if ended.returncode:
            raise CommandRejectedError(ended.stdout + ended.stderr)
        return json.loads(ended.stdout)["change"]["version"]

    def wait_until_in_force(self, version: int) -> float:
        """Waits until a version is in force on every entry host.

        Returns:
            Seconds waited.
        """
        started_at = time.monotonic()
        for name in self.hosts:
            wait_until(lambda n=name: self._has_version(n, version))
        return time.monotonic() - started_at

    def set_platform(self, **fields) -> None:
        """Sets fields of the platform's simulated behaviour."""
        address = self.deployment.platform_address
        send_json("PUT", address, "/control", fields)

    def set_targets(self, targets: list[PlacedTarget], **fields) -> None:
        """Sets fields of the simulated behaviour of some targets."""
        for target in targets:
            send_json("PUT", target.address, "/control", fields)

    def kill_region(self, region: str) -> None:
        """Kills entry hosts and targets of a region; saves the counts first."""
        self.saved_reports[region] = self._report(region)
        for settings in self.deployment.hosts_of_region(region):
            self.hosts.pop(settings["name"]).kill()
        self.stand_ins[f"targets-{region}"].kill()

    def kill_targets(self, region: str) -> None:
        """Kills the targets of a region; saves their counts first."""
        self.saved_reports[region] = self._report(region)
        self.stand_ins[f"targets-{region}"].kill()

    def start_load(self, plan: LoadPlan) -> float:
        """Starts callers in every region.

        Returns:
            The start of the load, monotonic seconds.
        """
        start_at = time.monotonic() + START_DELAY_S
        for callers in self.deployment.stand_ins["callers"]:
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
        """Counts the calls that have ended so far, by outcome."""
        total: Counter[str] = Counter()
        for region in self.deployment.regions:
            path = self._results_path(region).with_suffix(".json.progress")
            if path.exists():
                total.update(json.loads(path.read_text(encoding="utf-8")))
        return total

    def finish_load(self) -> list[CallResult]:
        """Waits until the callers have ended and returns their results."""
        results = []
        for region in self.deployment.regions:
            process = self.stand_ins.pop(f"callers-{region}")
            process.popen.wait(LOAD_END_TIMEOUT_S)
            text = self._results_path(region).read_text(encoding="utf-8")
            results += [result_from_plain(item) for item in json.loads(text)]
        return results

    def target_counts(self) -> TargetCounts:
        """Returns the counts of all targets."""
        executions: Counter[str] = Counter()
        peak_weight, peak_weight_by_step, targets, step_s = {}, {}, {}, 0.0
        for region in self.deployment.regions:
            report = self.saved_reports.get(region) or self._report(region)
            for target in report["targets"]:
                targets[target["name"]] = target
                executions.update(target["executions"])
            weight = report["regions"][region]
            peak_weight[region] = weight["most"]
            peak_weight_by_step[region] = dict(weight["steps"])
            step_s = weight["step_s"]
        return TargetCounts(
            executions, peak_weight, peak_weight_by_step, step_s, targets
        )

    def target_report(self, target: PlacedTarget) -> dict:
        """Returns the counts of one target."""
        return http("GET", target.address, "/control").media

    def _clear_folder(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self.folder.iterdir():
            path.unlink()

    def _has_version(self, name: str, version: int) -> bool:
        status = self.status(name)
        return status["ready"] and status["intent"]["version"] >= version

    def _report(self, region: str) -> dict:
        return http("GET", self.reports[region], "/report").media

    def _results_path(self, region: str) -> Path:
        return self.folder / f"results-{region}.json"

    def _start_platform(self) -> None:
        self.stand_ins["platform"] = start_stand_in(
            "platform",
            self.deployment.platform_address,
            log_file=self.folder / "platform.log",
        )
        address = self.deployment.platform_address
        wait_until(lambda: http("GET", address, "/control"))

    def _start_targets(self, region: str) -> None:
        plain = self.deployment.stand_ins
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
                for target in self.deployment.targets()
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
        deployment = self.deployment
        return {
            "region": callers["region"],
            "block": callers["block"],
            "steering": plan.steering,
            "entry_hosts": [
                [h["http_address"], deployment.intent.region_of(h["domain"])]
                for h in deployment.entry_hosts
            ],
            "targets": [
                [t.name, t.service, t.address, t.region]
                for t in deployment.targets()
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
