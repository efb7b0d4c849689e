"""How a target stand-in executes requests, and what it counts."""

import random
import time
from collections import Counter
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from gevent.event import Event

DEFAULT_SERVICE_TIME_S = 0.01
METER_STEP_S = 0.1
MIN_LEFT_S = 0.001


class LoadReport(StrEnum):
    """What the load endpoint says.

    ``FROZEN``: the figure of the moment when this was set.
    ``LYING``: always that nothing is in flight.
    """

    TRUE = "true"
    STOPPED = "stopped"
    FROZEN = "frozen"
    LYING = "lying"


class Behaviour(NamedTuple):
    """How a target behaves; a test may change each at any time.

    Attributes:
        slots: Requests executed at a time.
        queue: Requests beyond the slots that wait; more are shed.
        service_time_s: Median seconds of an execution by kind; ``""`` stands
            for every other kind.
        spread: Sigma of the log-normal distribution of service times.
        cold_requests: Executions until the target is warm.
        cold_factor: How much longer a cold execution takes.
        plain: Whether it knows none of the system's headers.
        draining: Whether it announces that it is leaving.
        healthy: What its health endpoint says.
        load_report: What its load endpoint says.
    """

    slots: int
    queue: int = 0
    service_time_s: Mapping[str, float] = {"": DEFAULT_SERVICE_TIME_S}
    spread: float = 0.0
    cold_requests: int = 0
    cold_factor: float = 5.0
    plain: bool = False
    draining: bool = False
    healthy: bool = True
    load_report: LoadReport = LoadReport.TRUE


class Meter:
    """Weight in flight over time.

    Attributes:
        now: Weight in flight.
        most: Most weight that was in flight at any instant.
        steps: Most weight by step of :data:`METER_STEP_S`.
    """

    def __init__(self):
        self.now = 0
        self.most = 0
        self.steps: dict[int, int] = {}

    def add(self, weight: int) -> None:
        """Adds weight, or takes it away when negative."""
        step = int(time.monotonic() / METER_STEP_S)
        before = self.now
        self.now += weight
        self.most = max(self.most, self.now)
        seen = self.steps.get(step, before)
        self.steps[step] = max(seen, before, self.now)

    def report(self) -> dict:
        """Returns the figures as plain values."""
        return {
            "now": self.now,
            "most": self.most,
            "step_s": METER_STEP_S,
            "steps": sorted(self.steps.items()),
        }


class Work(NamedTuple):
    """One request as a target sees it."""

    request_id: str
    kind: str
    weight: int
    deadline: float | None


class Ending(StrEnum):
    """How an execution ended."""

    DONE = "done"
    SHED = "shed"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"


class Target:
    """Executes requests in a number of slots.

    Attributes:
        behaviour: How it behaves at present.
        executions: How often each request id began to be executed.
        endings: How often each ending was seen.
        latest_at: When a request was last taken on, monotonic seconds.
        empty_at: When the last request in flight ended, monotonic seconds.
    """

    def __init__(
        self, name: str, behaviour: Behaviour, *, seed: int, region: Meter
    ):
        self.name = name
        self.behaviour = behaviour
        self.rng = random.Random(f"{seed}/{name}")
        self.meter = Meter()
        self.region = region
        self.in_flight = 0
        self.waiting: list[Event] = []
        self.running = 0
        self.executions: Counter[str] = Counter()
        self.endings: Counter[str] = Counter()
        self.cancels: dict[str, Event] = {}
        self.latest_at = 0.0
        self.empty_at = 0.0
        self.frozen_load = 0

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Changes how the target behaves."""
        self.behaviour = behaviour
        self.frozen_load = self.in_flight

    def execute(self, work: Work) -> Ending:
        """Executes a request; waits for its slot and its service time."""
        ending = self._execute(work)
        self.endings[ending] += 1
        return ending

    def cancel(self, request_id: str) -> bool:
        """Ends an execution; says whether there was one."""
        event = self.cancels.get(request_id)
        if event is None:
            return False
        event.set()
        return True

    def reported_load(self) -> int | None:
        """Returns what the load endpoint says, or nothing when stopped."""
        match self.behaviour.load_report:
            case LoadReport.STOPPED:
                return None
            case LoadReport.LYING:
                return 0
            case LoadReport.FROZEN:
                return self.frozen_load
        return self.in_flight

    def report(self) -> dict:
        """Returns what was counted, as plain values."""
        return {
            "name": self.name,
            "executions": dict(self.executions),
            "endings": dict(self.endings),
            "latest_at": self.latest_at,
            "empty_at": self.empty_at,
            "in_flight": self.in_flight,
            "weight": self.meter.report(),
        }

    def _execute(self, work: Work) -> Ending:
        if self.in_flight >= self.behaviour.slots + self.behaviour.queue:
            return Ending.SHED
        left_s = _left_s(work)
        if left_s is not None and left_s < MIN_LEFT_S:
            return Ending.SHED
        self._enter(work)
        try:
            if not self._wait_for_slot(left_s):
                return Ending.SHED
            try:
                return self._run(work)
            finally:
                self._free_slot()
        finally:
            self._leave(work)

    def _enter(self, work: Work) -> None:
        self.in_flight += 1
        self.latest_at = time.monotonic()
        self.meter.add(work.weight)
        self.region.add(work.weight)

    def _leave(self, work: Work) -> None:
        self.in_flight -= 1
        if self.in_flight == 0:
            self.empty_at = time.monotonic()
        self.meter.add(-work.weight)
        self.region.add(-work.weight)

    def _wait_for_slot(self, left_s: float | None) -> bool:
        if self.running < self.behaviour.slots:
            self.running += 1
            return True
        event = Event()
        self.waiting.append(event)
        if event.wait(left_s):
            return True
        self.waiting.remove(event)
        return False

    def _free_slot(self) -> None:
        if self.waiting:
            self.waiting.pop(0).set()
        else:
            self.running -= 1

    def _run(self, work: Work) -> Ending:
        self.executions[work.request_id] += 1
        duration_s = self._service_time_s(work.kind)
        left_s = _left_s(work)
        is_late = left_s is not None and left_s < duration_s
        cancelled = self.cancels[work.request_id] = Event()
        try:
            if cancelled.wait(max(0.0, left_s) if is_late else duration_s):
                return Ending.CANCELLED
        finally:
            self.cancels.pop(work.request_id, None)
        return Ending.DEADLINE if is_late else Ending.DONE

    def _service_time_s(self, kind: str) -> float:
        times = self.behaviour.service_time_s
        median = times.get(kind, times.get("", DEFAULT_SERVICE_TIME_S))
        duration_s = median * self.rng.lognormvariate(0, self.behaviour.spread)
        if sum(self.endings.values()) < self.behaviour.cold_requests:
            duration_s *= self.behaviour.cold_factor
        return duration_s


def _left_s(work: Work) -> float | None:
    if work.deadline is None:
        return None
    return work.deadline - time.monotonic()
