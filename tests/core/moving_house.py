"""Two regions of cores under load, with every moved request noted."""

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
from sardinewheel_testing.fake_house import FakeHouse

DOMAINS = {"n-1": "norte", "n-2": "norte", "s-1": "sur", "s-2": "sur"}
SOURCES = ("n-1", "n-2", "n-3")
SHIFT = Shift("m", "pedidos", "north", "south", 0.5, 20, 10.0, 20.0)


class Move(NamedTuple):
    """A request that left for another region."""

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


class MovingHouse(FakeHouse):
    """Hosts of two regions; targets answer at once and are warm."""

    def __init__(self, *, seed=1):
        super().__init__(seed=seed)
        self.moves: list[Move] = []
        self.arrived = 0
        self.weight_arrived = 0
        self.is_warm = True
        for name in DOMAINS:
            self.enter(name)
        self.run(3.0)
        self.propose("n-1", "c1", *operations())
        self.run(20.0)

    def enter(self, name):
        seeds = tuple(n for n in DOMAINS if n != name)
        return self.start(name, DOMAINS.get(name, "norte"), seeds)

    def crash(self, name):
        self.kill(name)
        self.enter(name)

    def run(self, seconds, *, load=0):
        """Lets time pass; each source gets ``load`` requests a tick."""
        for _ in range(round(seconds * 10)):
            self._warm()
            for name in SOURCES:
                for _ in range(load if name in self.hosts else 0):
                    self.ask(name, self.rng.choice((1, 1, 3)))
            super().run(0.1)

    def ask(self, name, weight=1, **fields):
        self.arrived += 1
        self.weight_arrived += weight
        request = Request(
            f"r{self.arrived}", "pedidos", "read", weight, True, self.now + 5
        )._replace(**fields)
        return self.feed(name, RequestArrived(self.arrived, request))

    def position(self, name, shift="m"):
        return self.hosts[name].shifts.states[shift].position

    def most_in(self, interval_s):
        """Returns the most weight moved in any interval of that length."""
        most = weight = first = 0
        for move in self.moves:
            weight += move.weight
            while move.at - self.moves[first].at > interval_s:
                weight -= self.moves[first].weight
                first += 1
            most = max(most, weight)
        return most

    def _warm(self):
        for host in self.hosts.values():
            for state in host.targets.states.values():
                state.limit = state.target.slots
                state.answers = 100 if self.is_warm else 0

    def _carry_out(self, name, host, effect):
        super()._carry_out(name, host, effect)
        if not isinstance(effect, Dispatch | Forward):
            return
        may_leave = host.may_dispatch(self.now, effect.attempt_id)
        is_moved = getattr(effect, "reason", None) is Reason.SHIFTED
        if is_moved and may_leave:
            self.moves.append(Move(self.now, effect.request.weight, name))
        ending = Ending.ANSWERED if may_leave else Ending.NOT_SENT
        result = AttemptResult(ending, 200)
        self.feed(name, AttemptEnded(effect.attempt_id, result))
