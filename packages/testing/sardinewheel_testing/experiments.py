"""The experiments of ``make bench``: load and injected failures."""

import signal
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from sardinewheel_testing.calls import Surge
from sardinewheel_testing.experiment_run import ExperimentRun
from sardinewheel_testing.running_deployment import send_json

PEAK_FACTOR = 1.5
SCALED_SURGE_FACTOR = 3.0
FULL_SURGE_S = 60.0
FREEZE_S = 10.0
COLD_REQUESTS = 30
COLD_FACTOR = 5.0
NEW_WORK_GOAL_S = 3.0
IN_FORCE_GOAL_S = 5.0


class Experiment(NamedTuple):
    """One experiment.

    Attributes:
        name: Name of the experiment.
        seconds: Duration of the load.
        events: Injects failures and operator commands during the load.
        surges: Intervals of increased load.
        uses_relays: Whether connections between entry hosts go through relays.
        has_scaled_surge: Whether the load is a surge of one minute that can be
            shortened by a scale.
    """

    name: str
    seconds: float
    events: Callable[[ExperimentRun], None]
    surges: tuple[Surge, ...] = ()
    uses_relays: bool = False
    has_scaled_surge: bool = False

    def scaled(self, scale: float) -> "Experiment":
        """Returns the experiment with its one-minute surge shortened."""
        if not self.has_scaled_surge:
            return self
        surge_s = FULL_SURGE_S * scale
        surge = Surge(2.0, 2.0 + surge_s, SCALED_SURGE_FACTOR)
        return self._replace(seconds=4.0 + surge_s, surges=(surge,))


def run_load_only(run: ExperimentRun) -> None:
    """Injects no events."""


def drain_targets(run: ExperimentRun) -> None:
    """Drains one target of each region; targets announce the drain."""
    run.wait_until(4.0)
    drained = [run.targets_of(region=r)[0] for r in run.deployment.regions]
    ordered_at = {}
    for target in drained:
        ordered_at[target.name] = time.monotonic()
        if run.is_sardinewheel:
            subject = ("target", target.name)
            run.running.run_command("drain", *subject, "--force", "drain-room")
        run.running.set_targets([target], draining=True)
    for target in drained:
        run.measure_drain(target, ordered_at[target.name])
    for measurement in run.measurements:
        if measurement.name == "drain_new_work_s":
            text = (
                f"new work for {measurement.value} s after a drain was ordered"
            )
            run.expect(measurement.value <= NEW_WORK_GOAL_S, text)


def kill_region(run: ExperimentRun) -> None:
    """Kills all entry hosts and targets of a region."""
    run.wait_until(4.0)
    region = run.deployment.regions[1]
    if run.is_sardinewheel:
        run.running.kill_region(region)
    else:
        run.running.kill_targets(region)


def partition_domain(run: ExperimentRun) -> None:
    """Partitions a failure domain from the others and the platform."""
    if not run.is_sardinewheel:
        return
    domain = run.deployment.entry_hosts[0]["domain"]
    run.wait_until(3.0)
    run.running.routes.cut_domain(domain)
    run.wait_until(9.0)
    run.running.routes.restore_domain(domain)


def stop_reports(run: ExperimentRun) -> None:
    """Makes the load endpoints of all targets stop answering."""
    run.wait_until(2.0)
    run.running.set_targets(run.deployment.targets(), load_report="stopped")


def falsify_reports(run: ExperimentRun) -> None:
    """Makes half of the targets report that nothing is in flight."""
    run.wait_until(2.0)
    false_reporters = run.deployment.targets()[::2]
    run.running.set_targets(false_reporters, load_report="lying")


def stop_platform(run: ExperimentRun) -> None:
    """Stops the platform during a shift and submits a change meanwhile."""
    if not run.is_sardinewheel:
        return
    run.wait_until(1.0)
    _start_shift(run, share="30%")
    run.wait_until(2.0)
    run.running.set_platform(mode="down")
    region = run.deployment.regions[2]
    cap = run.deployment.intent.regions[region].cap
    run.wait_until(4.0)
    state = _submit_cap_change(run, region, cap - 1)
    run.expect(
        state != "accepted", "a change was accepted without the platform"
    )
    run.wait_until(9.0)
    run.running.set_platform(mode="up")
    version = run.running.run_command("set", "cap", region, str(cap))
    seconds = run.running.wait_until_in_force(version)
    run.record("in_force_everywhere_s", seconds)
    run.expect(seconds <= IN_FORCE_GOAL_S, f"in force after {seconds:.1f} s")


def freeze_host(run: ExperimentRun) -> None:
    """Suspends an entry host with SIGSTOP for ``FREEZE_S``."""
    if not run.is_sardinewheel:
        return
    run.wait_until(3.0)
    process = next(iter(run.running.hosts.values()))
    process.signal(signal.SIGSTOP)
    run.wait_until(3.0 + FREEZE_S)
    process.signal(signal.SIGCONT)


def silence_connections(run: ExperimentRun) -> None:
    """Drops all bytes on a domain's open connections; new ones work."""
    if not run.is_sardinewheel:
        return
    run.wait_until(4.0)
    domain = run.deployment.entry_hosts[0]["domain"]
    run.running.routes.silence_domain(domain)


def submit_conflicting_changes(run: ExperimentRun) -> None:
    """Submits two changes of one cap concurrently, through two hosts."""
    if not run.is_sardinewheel:
        return
    run.wait_until(3.0)
    region = run.deployment.regions[0]
    cap = run.deployment.intent.regions[region].cap
    names = sorted(run.running.hosts)
    base = run.running.status(names[0])["intent"]["version"]
    states: dict[int, str] = {}

    def submit(index: int) -> None:
        name = names[-index]
        states[index] = _submit_cap_change(
            run, region, cap - index, name=name, base_version=base
        )

    threads = [threading.Thread(target=submit, args=(i,)) for i in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    run.record("race", "/".join(sorted(states.values())))
    accepted = list(states.values()).count("accepted")
    run.expect(accepted == 1, f"{accepted} of 2 conflicting changes accepted")
    seconds = run.running.wait_until_in_force(base + 1)
    run.record("in_force_everywhere_s", seconds)
    intents = {str(run.running.status(name)["intent"]) for name in names}
    run.expect(len(intents) == 1, "entry hosts have different intents")


def shift_to_cold_targets(run: ExperimentRun) -> None:
    """Shifts half of a region's traffic to a region with cold targets.

    Cold targets are slower for their first ``COLD_REQUESTS`` requests.
    """
    cold = run.targets_of(region=run.deployment.regions[1])
    run.running.set_targets(
        cold, cold_requests=COLD_REQUESTS, cold_factor=COLD_FACTOR
    )
    if run.is_sardinewheel:
        run.wait_until(1.0)
        _start_shift(run, share="50%")


def _start_shift(run: ExperimentRun, *, share: str) -> None:
    service = next(iter(run.deployment.intent.services))
    source, destination = run.deployment.regions[:2]
    bounds = f"share {share} cap 80 per 2s over 4s --force region-cap"
    route = ("from", source, "to", destination)
    run.running.run_command("shift", service, *route, *bounds.split())


def _submit_cap_change(
    run: ExperimentRun,
    region: str,
    cap: int,
    *,
    name: str = "",
    base_version: int = 0,
) -> str:
    """Submits a change of a cap and returns its state, without retries."""
    settings = run.running.settings_of(name or next(iter(run.running.hosts)))
    operation = {"type": "SetCap", "region": region, "cap": cap}
    plain = {
        "author": "bench",
        "base_version": base_version,
        "operations": [operation],
    }
    try:
        reply = send_json(
            "POST", settings["http_address"], "/v1/changes", plain
        )
    except OSError:
        return "no-answer"
    return reply.media.get("state", str(reply.status))


PEAK_LOAD = (Surge(0.0, 60.0, PEAK_FACTOR),)

EXPERIMENTS = (
    Experiment("steady", 10.0, run_load_only),
    Experiment("show-opens", 0.0, run_load_only, has_scaled_surge=True),
    Experiment("drain-at-peak", 10.0, drain_targets, PEAK_LOAD),
    Experiment("region-lost-at-peak", 12.0, kill_region, PEAK_LOAD),
    Experiment("domain-cut", 13.0, partition_domain, uses_relays=True),
    Experiment("load-reports-stopped", 9.0, stop_reports, PEAK_LOAD),
    Experiment("load-reports-lying", 9.0, falsify_reports, PEAK_LOAD),
    Experiment("platform-down", 13.0, stop_platform),
    Experiment("entry-host-frozen", 17.0, freeze_host),
    Experiment(
        "connections-silent", 10.0, silence_connections, uses_relays=True
    ),
    Experiment("two-operators", 8.0, submit_conflicting_changes),
    Experiment("cold-region-shift", 12.0, shift_to_cold_targets),
)
