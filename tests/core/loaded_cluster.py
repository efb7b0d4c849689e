"""Simulated region under load that records the weight in flight."""

from typing import NamedTuple

from sardinewheel_core.attempt import AttemptResult, Ending
from sardinewheel_core.change import DefineRegion, DefineSeat, DefineService
from sardinewheel_core.effects import AttemptEnded, Dispatch, RequestArrived
from sardinewheel_core.intent import Kind, Region, Seat, Service, Target
from sardinewheel_core.request import Request
from sardinewheel_testing.fake_cluster import FakeCluster

CAP = 12
DOMAINS = {"a-1": "centro", "a-2": "centro", "b-1": "taller"}
REGION = Region("austro", CAP, ("centro", "taller"))


class RunningRequest(NamedTuple):
    """A request that a target is executing.

    Attributes:
        ends_at: Simulated time at which the target answers.
        weight: Weight of the request.
        host: Name of the host that dispatched it.
        incarnation: Incarnation of that host.
        attempt_id: Attempt id on that host.
    """

    ends_at: float
    weight: int
    host: str
    incarnation: int
    attempt_id: int


def operations(seats=tuple(DOMAINS)):
    """Returns the operations for a region with more target slots than cap."""
    targets = {
        f"t-{d}-{i}": Target(f"t-{d}-{i}", d, f"{d}:{i}", 20)
        for d in REGION.domains
        for i in range(2)
    }
    return (
        DefineRegion(REGION),
        *(DefineSeat(Seat(name, DOMAINS[name])) for name in seats),
        DefineService(Service("pedidos", {"read": Kind("read", 1)}, targets)),
    )


class LoadedCluster(FakeCluster):
    """Hosts of one region.

    A paused host receives no ticks or messages until it resumes. A host that
    was replaced while paused resumes under the name ``old-<seat>`` and also
    receives the messages sent to its address.

    Attributes:
        running: Requests that targets are executing.
        paused: Paused hosts, by name.
        arrivals: Number of requests handed to hosts.
        max_in_flight: Maximum weight ever in flight.
        service_time_range_s: Shortest and longest service time in seconds.
        loaded_hosts: Names of the hosts that receive requests on every tick.
    """

    def __init__(self, *, seed=1, seats=tuple(DOMAINS)):
        super().__init__(seed=seed)
        self.running: list[RunningRequest] = []
        self.paused: dict[str, object] = {}
        self.arrivals = 0
        self.max_in_flight = 0
        self.service_time_range_s = (0.0, 9.9)
        self.loaded_hosts: set[str] = set()
        for name in DOMAINS:
            self.start_host(name)
        self.run(3.0)
        self.propose("a-1", "c1", *operations(seats))
        self.run(3.0)

    def start_host(self, name):
        seeds = tuple(n for n in DOMAINS if n != name)
        return self.start(name, DOMAINS[name], seeds)

    def load(self, name, count, weight=1):
        """Hands a number of requests to a host."""
        for state in self.hosts[name].targets.states.values():
            state.limit = state.target.slots
        for _ in range(count):
            self.arrivals += 1
            request = Request(
                f"r{self.arrivals}",
                "pedidos",
                "read",
                weight,
                True,
                self.now + 9.9,
                hops=2,
            )
            self.feed(name, RequestArrived(self.arrivals, request))

    def pause(self, name):
        if name in self.hosts:
            self.paused[name] = self.hosts.pop(name)

    def resume(self, name):
        if name not in self.paused:
            return
        key = f"old-{name}" if name in self.hosts else name
        self.hosts[key] = self.paused.pop(name)

    def crash_and_restart(self, name):
        """Replaces a live or paused host; its dispatched requests continue."""
        if name in self.hosts:
            self.kill(name)
        self.start_host(name)

    def in_flight(self):
        return sum(r.weight for r in self.running)

    def run(self, seconds):
        for _ in range(round(seconds * 10)):
            self._end_requests()
            for name in sorted(self.loaded_hosts & set(self.hosts)):
                self.load(name, 2, self.rng.choice((1, 1, 2)))
            super().run(0.1)

    def _end_requests(self):
        due = [r for r in self.running if r.ends_at <= self.now]
        self.running = [r for r in self.running if r.ends_at > self.now]
        for request in due:
            result = AttemptResult(Ending.ANSWERED, 200, duration_s=1.0)
            for name, host in list(self.hosts.items()):
                if host.identity[:2] == (request.host, request.incarnation):
                    event = AttemptEnded(request.attempt_id, result)
                    self.feed(name, event)

    def _execute(self, name, host, effect):
        if not isinstance(effect, Dispatch):
            super()._execute(name, host, effect)
            return
        attempt_id = effect.attempt_id
        if not host.may_dispatch(self.now, attempt_id):
            result = AttemptResult(Ending.NOT_SENT)
            self.feed(name, AttemptEnded(attempt_id, result))
            return
        min_s, max_s = self.service_time_range_s
        left_s = min(max_s, effect.request.deadline - self.now)
        ends_at = self.now + self.rng.uniform(min(min_s, left_s), left_s)
        weight = effect.request.weight
        identity = host.identity
        self.running.append(
            RunningRequest(ends_at, weight, *identity[:2], attempt_id)
        )
        self.max_in_flight = max(self.max_in_flight, self.in_flight())

    def _send(self, sender, receiver, event):
        super()._send(sender, receiver, event)
        if f"old-{receiver}" in self.hosts:
            super()._send(sender, f"old-{receiver}", event)
