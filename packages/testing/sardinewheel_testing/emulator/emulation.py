"""One run: callers, hosts and targets in simulated time."""

import random
from collections import Counter
from itertools import count

from sardinewheel_testing.emulator.callers import CallModel
from sardinewheel_testing.emulator.dispatch import Dispatch
from sardinewheel_testing.emulator.figures import Call, Figures
from sardinewheel_testing.emulator.hosts import (
    Attempt,
    Ending,
    HostModel,
    delay_between,
)
from sardinewheel_testing.emulator.scenario import REGIONS, Kind, Scenario
from sardinewheel_testing.emulator.targets import TargetModel
from sardinewheel_testing.emulator.timeline import Timeline

UPKEEP_S = 0.25
LOST_NOTICED_S = 1.0
SLOWEST, FASTEST = 1.2, 0.85


class Emulation:
    """One run of a scenario.

    Attributes:
        scenario: What is emulated.
        dispatch: How requests are placed.
        timeline: Simulated time.
        targets: Targets by id.
        hosts: Gateways by name.
        calls: Ended calls.
    """

    def __init__(self, scenario: Scenario, dispatch: Dispatch, *, seed: int):
        self.scenario = scenario
        self.dispatch = dispatch
        self.rng = random.Random(seed)
        self.timeline = Timeline()
        self.calls: list[Call] = []
        self.numbers = count()
        fragile = int(scenario.targets * scenario.slow_share)
        self.targets = {
            f"t{n:03}": TargetModel(
                f"t{n:03}",
                REGIONS[n % len(REGIONS)],
                scenario=scenario,
                timeline=self.timeline,
                speed=self.rng.uniform(FASTEST, SLOWEST),
                is_fragile=n < fragile,
            )
            for n in range(scenario.targets)
        }
        self.hosts = {
            f"h{n:03}": HostModel(
                f"h{n:03}",
                REGIONS[n % len(REGIONS)],
                scenario=scenario,
                targets=self.targets,
                timeline=self.timeline,
                seed=seed,
            )
            for n in range(scenario.hosts)
        }
        for host in self.hosts.values():
            host.routing_state.set_hosts(tuple(self.hosts))
            dispatch.prepare(host.routing_state.placer)
        self.weights = [
            (n + 1) ** -scenario.skew for n in range(scenario.objects)
        ]

    def run(self) -> Figures:
        """Runs the scenario and returns what callers got."""
        for kind in self.scenario.kinds:
            self._schedule(kind)
        for step in range(int(self.scenario.seconds / UPKEEP_S)):
            self.timeline.after(step * UPKEEP_S, self._upkeep)
        if self.scenario.lost.end_s:
            self.timeline.after(self.scenario.lost.begin_s, self._lose_hosts)
        self.timeline.run()
        executed = sum((t.executed for t in self.targets.values()), Counter())
        doubled = executed.total() - len(executed)
        calls = sorted(self.calls, key=lambda call: call.began)
        return Figures(self.dispatch.name, calls, doubled)

    def _schedule(self, kind: Kind) -> None:
        """Draws when callers send the requests of a kind."""
        now = 0.0
        while now < self.scenario.seconds:
            rate = kind.rate_per_s
            if self.scenario.surge.holds(now):
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
                timeline=self.timeline,
                numbers=self.numbers,
                enter=self.enter,
                on_end=self.calls.append,
            )
            self.timeline.after(now, call.send)

    def _upkeep(self) -> None:
        """Does what each host does between requests."""
        for host in self.hosts.values():
            objects = host.routing_state.placer.objects
            objects.rebalance()
            for other in self.hosts.values():
                if other is not host and other.region == host.region:
                    other.routing_state.placer.objects.merge(objects.unsent)
            objects.take_unsent()

    def _lose_hosts(self) -> None:
        for name in list(self.hosts)[: len(REGIONS)]:
            self.hosts[name].is_lost = True

    def live_hosts(self, region: str) -> list[HostModel]:
        """Returns the hosts that callers of a region are told of."""
        since_s = self.timeline.now - self.scenario.lost.begin_s
        is_noticed = since_s > LOST_NOTICED_S
        return [
            host
            for host in self.hosts.values()
            if host.region == region and not (host.is_lost and is_noticed)
        ]

    def enter(self, attempt: Attempt, region: str) -> None:
        """Lets an attempt reach a host of its region, and its decider."""
        host = self.rng.choice(self.live_hosts(region))
        if host.is_lost:
            return
        placer = host.routing_state.placer
        names = [x.name for r in REGIONS for x in self.live_hosts(r)]
        ask = host.ask_of(attempt, frozenset())
        decider = self.hosts[
            self.dispatch.decider(placer, ask, host.name, names)
        ]
        if decider is host:
            host.take(attempt)
            return
        delay_s = delay_between(host.region, decider.region)

        def passed_back(ending: Ending) -> None:
            if not host.is_lost:
                self.timeline.after(delay_s, lambda: attempt.answer(ending))

        handed_on = attempt._replace(answer=passed_back)
        if not decider.is_lost:
            self.timeline.after(delay_s, lambda: decider.take(handed_on))
