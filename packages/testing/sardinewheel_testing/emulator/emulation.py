"""Runs a scenario: callers, hosts and targets in simulated time."""

import random
from collections import Counter
from functools import partial
from itertools import count

from sardinewheel_testing.emulator.callers import CallModel
from sardinewheel_testing.emulator.dispatch import DispatchStrategy
from sardinewheel_testing.emulator.hosts import (
    Attempt,
    AttemptResult,
    HostModel,
    network_delay_s,
)
from sardinewheel_testing.emulator.results import CallResult, RunResult
from sardinewheel_testing.emulator.scenario import REGIONS, Kind, Scenario
from sardinewheel_testing.emulator.scheduler import Scheduler
from sardinewheel_testing.emulator.targets import TargetModel

MAINTENANCE_INTERVAL_S = 0.25
LOAD_ROUND_S = 0.1
FAILURE_DETECTION_S = 1.0
MAX_TIME_FACTOR, MIN_TIME_FACTOR = 1.2, 0.85


class Emulation:
    """One run of a scenario.

    Attributes:
        scenario: Scenario to run.
        dispatch: Dispatch strategy of the hosts.
        scheduler: Event scheduler, which keeps the simulated time.
        targets: Target models by id.
        hosts: Gateway models by name.
        calls: Results of the calls that have ended.
    """

    def __init__(
        self, scenario: Scenario, dispatch: DispatchStrategy, *, seed: int
    ):
        self.scenario = scenario
        self.dispatch = dispatch
        self.rng = random.Random(seed)
        self.scheduler = Scheduler()
        self.calls: list[CallResult] = []
        self.attempt_ids = count()
        slow_count = int(scenario.targets * scenario.slow_share)
        limited_count = int(scenario.targets * scenario.limited_share)
        self.targets = {
            f"t{n:03}": TargetModel(
                f"t{n:03}",
                REGIONS[n % len(REGIONS)],
                scenario=scenario,
                scheduler=self.scheduler,
                time_factor=self.rng.uniform(MIN_TIME_FACTOR, MAX_TIME_FACTOR),
                has_slow_span=n < slow_count,
                has_limited_span=n < limited_count,
            )
            for n in range(scenario.targets)
        }
        self.seed = seed
        names = tuple(f"h{n:03}" for n in range(scenario.hosts))
        self.hosts: dict[str, HostModel] = {}
        for n, name in enumerate(names):
            region = REGIONS[n % len(REGIONS)]
            self.hosts[name] = self._create_host(name, region, names)
        self._set_region_hosts()
        self.weights = [
            (n + 1) ** -scenario.skew for n in range(scenario.objects)
        ]

    def run(self) -> RunResult:
        """Runs the scenario and returns its results."""
        for kind in self.scenario.kinds:
            self._schedule_calls(kind)
        for step in range(
            int(self.scenario.duration_s / MAINTENANCE_INTERVAL_S)
        ):
            self.scheduler.call_later(
                step * MAINTENANCE_INTERVAL_S, self._run_maintenance
            )
        if self.dispatch.tells_loads:
            for step in range(int(self.scenario.duration_s / LOAD_ROUND_S)):
                self.scheduler.call_later(step * LOAD_ROUND_S, self._tell_loads)
        failure = self.scenario.host_failure
        if failure.end_s:
            self.scheduler.call_later(failure.begin_s, self._fail_hosts)
            self.scheduler.call_later(failure.end_s, self._restart_hosts)
        stranded = self.scenario.stranded
        if stranded.end_s:
            self.scheduler.call_later(
                stranded.begin_s, lambda: self._cut_paths(is_cut=True)
            )
            self.scheduler.call_later(
                stranded.end_s, lambda: self._cut_paths(is_cut=False)
            )
        self.scheduler.run()
        executions = sum(
            (t.executions for t in self.targets.values()), Counter()
        )
        duplicate_executions = executions.total() - len(executions)
        calls = sorted(self.calls, key=lambda call: call.started_at)
        return RunResult(self.dispatch.name, calls, duplicate_executions)

    def _create_host(
        self, name: str, region: str, names: tuple[str, ...]
    ) -> HostModel:
        host = HostModel(
            name,
            region,
            scenario=self.scenario,
            targets=self.targets,
            scheduler=self.scheduler,
            seed=self.seed,
            hosts=self.hosts,
        )
        host.routing_state.set_hosts(names)
        # Its callers have no accounts, which would switch this on.
        host.routing_state.placer.room.is_dividing = True
        self.dispatch.configure_placer(host.routing_state.placer)
        return host

    def _schedule_calls(self, kind: Kind) -> None:
        """Schedules the calls of a kind as a Poisson process."""
        now = 0.0
        while now < self.scenario.duration_s:
            rate = kind.rate_per_s
            if self.scenario.surge.contains(now):
                rate *= self.scenario.surge_factor
            now += self.rng.expovariate(rate)
            region = self.rng.choice(REGIONS)
            number = self.rng.choices(
                range(self.scenario.objects), self.weights
            )[0]
            call = CallModel(
                kind,
                region,
                f"o{number}",
                scheduler=self.scheduler,
                attempt_ids=self.attempt_ids,
                submit=self.submit,
                on_end=self.calls.append,
            )
            self.scheduler.call_later(now, call.send)

    def _run_maintenance(self) -> None:
        """Does what hosts do regularly, and shares what they have learned."""
        self._set_region_hosts()
        self._send_heartbeats()
        self._share_announcements()
        for host in self.hosts.values():
            objects = host.routing_state.placer.objects
            objects.rebalance()
            for other in self.hosts.values():
                if other is not host and other.region == host.region:
                    other.routing_state.placer.objects.merge(objects.unsent)
            objects.take_unsent()

    def _cut_paths(self, *, is_cut: bool) -> None:
        count = int(self.scenario.stranded_share * len(self.hosts))
        for host in list(self.hosts.values())[:count]:
            host.path.is_cut = is_cut

    def _send_heartbeats(self) -> None:
        now = self.scheduler.now
        for host in self.hosts.values():
            if host.has_failed:
                continue
            state = host.path.state
            for other in self.hosts.values():
                other.path.peers.host_table.record_heartbeat(state, now=now)

    def _set_region_hosts(self) -> None:
        for host in self.hosts.values():
            names = [x.name for x in self.advertised_hosts(host.region)]
            host.routing_state.limit_admission.set_hosts(
                {host.region: names}, now=self.scheduler.now
            )

    def _share_announcements(self) -> None:
        now = self.scheduler.now
        for host in self.hosts.values():
            reports = host.routing_state.announcements.take_reports(
                now=now, only_news=False
            )
            for report in reports:
                for other in self.hosts.values():
                    other.routing_state.merge_announcement(report, now=now)

    def _tell_loads(self) -> None:
        """Sends what each host has observed of targets to the others."""
        for host in self.hosts.values():
            if host.has_failed:
                continue
            loads, objects = host.take_load_news()
            for other in self.hosts.values():
                if other is not host and (loads or objects):
                    self.scheduler.call_later(
                        network_delay_s(host.region, other.region),
                        partial(other.merge_load_news, loads, objects),
                    )

    def _fail_hosts(self) -> None:
        for name in list(self.hosts)[: len(REGIONS)]:
            self.hosts[name].has_failed = True

    def _restart_hosts(self) -> None:
        """Replaces the failed hosts by new ones that have no state."""
        names = tuple(self.hosts)
        for name, host in list(self.hosts.items()):
            if host.has_failed:
                self.hosts[name] = self._create_host(name, host.region, names)

    def advertised_hosts(self, region: str) -> list[HostModel]:
        """Returns the hosts that callers in a region may use.

        A failed host stays in the list until its failure is detected.
        """
        since_s = self.scheduler.now - self.scenario.host_failure.begin_s
        is_detected = since_s > FAILURE_DETECTION_S
        return [
            host
            for host in self.hosts.values()
            if host.region == region and not (host.has_failed and is_detected)
        ]

    def submit(self, attempt: Attempt, region: str) -> None:
        """Delivers an attempt to a host of its region, which may forward it."""
        host = self.rng.choice(self.advertised_hosts(region))
        if host.has_failed:
            return
        placer = host.routing_state.placer
        names = [x.name for r in REGIONS for x in self.advertised_hosts(r)]
        request = host.placement_request(attempt, frozenset())
        deciding_host = self.hosts[
            self.dispatch.deciding_host(placer, request, host.name, names)
        ]
        if deciding_host is host:
            host.handle(attempt)
            return
        delay_s = network_delay_s(host.region, deciding_host.region)

        def forward_result(result: AttemptResult) -> None:
            if not host.has_failed:
                self.scheduler.call_later(
                    delay_s, lambda: attempt.on_result(result)
                )

        forwarded = attempt._replace(on_result=forward_result)
        if not deciding_host.has_failed:
            self.scheduler.call_later(
                delay_s, lambda: deciding_host.handle(forwarded)
            )
