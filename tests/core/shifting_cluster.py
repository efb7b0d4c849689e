"""Simulated pair of regions under load that records shifted requests."""

from typing import NamedTuple

from sardinewheel_core.attempt import AttemptResult, Ending
from sardinewheel_core.change import DefineRegion, DefineSeat, DefineService
from sardinewheel_core.effects import (
    AttemptEnded,
    Dispatch,
    Forward,
    RequestArrived,
)
from sardinewheel_core.intent import (
    Kind,
    Region,
    Seat,
    Service,
    Shift,
    Target,
)
from sardinewheel_core.request import Reason, Request
from sardinewheel_testing.fake_cluster import FakeCluster

DOMAINS = {"n-1": "norte", "n-2": "norte", "s-1": "sur", "s-2": "sur"}
SOURCES = ("n-1", "n-2", "n-3")
SHIFT = Shift("m", "pedidos", "north", "south", 0.5, 20, 10.0, 20.0)


class ShiftedRequest(NamedTuple):
    """A request that was forwarded to another region by a shift.

    Attributes:
        at: Simulated time in seconds.
        weight: Weight of the request.
        host: Name of the host that forwarded it.
    """

    at: float
    weight: int
    host: str


def operations():
    targets = {
        f"t-{d}-{i}": Target(f"t-{d}-{i}", d, f"{d}:{i}", 20)
        for d in ("norte", "sur")
        for i in range(2)
    }
    kinds = {"read": Kind("read", 1)}
    return (
        DefineRegion(Region("north", 400, ("norte",))),
        DefineRegion(Region("south", 400, ("sur",))),
        *(DefineSeat(Seat(name, d)) for name, d in DOMAINS.items()),
        DefineService(Service("pedidos", kinds, targets)),
    )


class ShiftingCluster(FakeCluster):
    """Hosts of two regions; targets answer immediately.

    Attributes:
        shifted_requests: Requests forwarded by a shift, in order of time.
        arrived: Number of requests handed to hosts.
        weight_arrived: Weight of these requests.
        are_targets_warm: Whether targets count as warmed up.
    """

    def __init__(self, *, seed=1):
        super().__init__(seed=seed)
        self.shifted_requests: list[ShiftedRequest] = []
        self.arrived = 0
        self.weight_arrived = 0
        self.are_targets_warm = True
        for name in DOMAINS:
            self.start_host(name)
        self.run(3.0)
        self.propose("n-1", "c1", *operations())
        self.run(20.0)

    def start_host(self, name):
        seeds = tuple(n for n in DOMAINS if n != name)
        return self.start(name, DOMAINS.get(name, "norte"), seeds)

    def crash_and_restart(self, name):
        self.kill(name)
        self.start_host(name)

    def run(self, seconds, *, load=0):
        """Advances time; source hosts receive ``load`` requests per tick."""
        for _ in range(round(seconds * 10)):
            self._set_targets_state()
            for name in SOURCES:
                for _ in range(load if name in self.hosts else 0):
                    self.submit(name, self.rng.choice((1, 1, 3)))
            super().run(0.1)

    def submit(self, name, weight=1, **fields):
        self.arrived += 1
        self.weight_arrived += weight
        request = Request(
            f"r{self.arrived}", "pedidos", "read", weight, True, self.now + 5
        )._replace(**fields)
        return self.feed(name, RequestArrived(self.arrived, request))

    def position(self, name, shift="m"):
        return self.hosts[name].shifts.states[shift].position

    def max_shifted_weight(self, interval_s):
        """Returns the maximum weight shifted in any interval of that length."""
        max_weight = weight = first = 0
        for request in self.shifted_requests:
            weight += request.weight
            while request.at - self.shifted_requests[first].at > interval_s:
                weight -= self.shifted_requests[first].weight
                first += 1
            max_weight = max(max_weight, weight)
        return max_weight

    def _set_targets_state(self):
        for host in self.hosts.values():
            for state in host.targets.states.values():
                state.limit = state.target.slots
                state.answers = 100 if self.are_targets_warm else 0

    def _execute(self, name, host, effect):
        super()._execute(name, host, effect)
        if not isinstance(effect, Dispatch | Forward):
            return
        may_send_first_byte = host.may_dispatch(self.now, effect.attempt_id)
        is_shifted = getattr(effect, "reason", None) is Reason.SHIFTED
        if is_shifted and may_send_first_byte:
            self.shifted_requests.append(
                ShiftedRequest(self.now, effect.request.weight, name)
            )
        ending = Ending.ANSWERED if may_send_first_byte else Ending.NOT_SENT
        result = AttemptResult(ending, 200)
        self.feed(name, AttemptEnded(effect.attempt_id, result))
