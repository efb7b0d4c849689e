"""Fixtures that drive a single entry host without I/O."""

import random

import pytest
from sardinewheel_core.attempt import AttemptResult, Ending
from sardinewheel_core.change import (
    Change,
    DefineRegion,
    DefineSeat,
    DefineService,
)
from sardinewheel_core.effects import AttemptEnded, Dispatch, RequestArrived
from sardinewheel_core.host import EntryHost, Identity
from sardinewheel_core.intent import Kind, Region, Seat, Service, Target
from sardinewheel_core.request import Request
from sardinewheel_core.rollout import apply_changes

KINDS = {
    "confirm": Kind("confirm", 0, reserved=0.3, repeatable=False),
    "status": Kind("status", 1),
}


def intent_change(*, cap=100, targets=2, slots=3) -> Change:
    """Returns a change that defines one region with one seat."""
    service = Service(
        "pedidos",
        KINDS,
        {
            f"t{i}": Target(f"t{i}", "quito-bodega", f"127.0.0.1:{i}", slots)
            for i in range(targets)
        },
    )
    operations = (
        DefineRegion(Region("sierra-norte", cap, ("quito-bodega",))),
        DefineSeat(Seat("quito-1", "quito-bodega")),
        DefineService(service),
    )
    return Change(1, "c1", "ana", operations)


class HostHarness:
    """An entry host with a clock controlled by the test."""

    def __init__(self, change: Change):
        self.now = 100.0
        self.arrivals = 0
        identity = Identity(
            "quito-1", 255, "quito-bodega", "127.0.0.1:1", "127.0.0.1:2"
        )
        self.host = EntryHost(
            identity=identity, rng=random.Random(1), now=self.now
        )
        self.host.rollout.started_at -= 60.0
        self.host.allowance.usable_from = self.now
        apply_changes(self.host, self.now, (change,), "test")
        for state in self.host.targets.states.values():
            state.limit = state.target.slots
            state.answers = 100

    def request(self, kind="status", **fields):
        """Hands a request to the host and returns the effects."""
        self.arrivals += 1
        repeatable = KINDS[kind].repeatable
        suffix = f"r{self.arrivals}"
        request = Request(
            id=suffix if repeatable else f"quito-1~ff~0~{suffix}",
            service="pedidos",
            kind=kind,
            weight=1,
            repeatable=repeatable,
            deadline=self.now + 5.0,
        )._replace(**fields)
        event = RequestArrived(self.arrivals, request)
        return self.host.handle(self.now, event)

    def end_attempt(self, attempt_id, ending=Ending.ANSWERED, **fields):
        """Reports the end of an attempt and returns the effects."""
        result = AttemptResult(ending, status=200, duration_s=0.1)
        event = AttemptEnded(attempt_id, result._replace(**fields))
        return self.host.handle(self.now, event)


@pytest.fixture
def harness():
    return HostHarness(intent_change())


@pytest.fixture
def make_harness():
    return lambda **options: HostHarness(intent_change(**options))


@pytest.fixture
def dispatched():
    """Returns a function that filters the dispatches from effects."""
    return lambda effects: [e for e in effects if isinstance(e, Dispatch)]
