"""Execution of requests by the target stand-in, with its counters."""

import random
import time
from collections import Counter
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from gevent.event import Event

DEFAULT_SERVICE_TIME_S = 0.01
METER_STEP_S = 0.1
MIN_REMAINING_S = 0.001


class LoadReport(StrEnum):
    """What the load endpoint reports.

    ``TRUE``: the requests in flight.
    ``STOPPED``: nothing; the endpoint answers 404.
    ``FROZEN``: the requests in flight when the behaviour was last set.
    ``LYING``: always zero requests in flight.
    """

    TRUE = "true"
    STOPPED = "stopped"
    FROZEN = "frozen"
    LYING = "lying"


class Behaviour(NamedTuple):
    """Behaviour of a target; a test may change any field at any time.

    Attributes:
        slots: Requests executed concurrently.
        queue: Requests that may wait for a slot; any beyond are shed.
        service_time_s: Median seconds of an execution by kind; ``""`` is the
            default for kinds not listed.
        spread: Sigma of the log-normal distribution of service times.
        cold_requests: Executions until the target is warm.
        cold_factor: Factor on the service time while the target is cold.
        plain: Whether it ignores and omits the system's headers.
        draining: Whether it announces that it is leaving.
        healthy: Value reported by its health endpoint.
        load_report: What its load endpoint reports.
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


class WeightMeter:
    """Records the weight in flight over time.

    Attributes:
        current: Weight in flight.
        peak: Highest weight in flight at any instant.
        steps: Highest weight in flight by time step of
            :data:`METER_STEP_S` seconds.
    """

    def __init__(self):
        self.current = 0
        self.peak = 0
        self.steps: dict[int, int] = {}

    def add(self, weight: int) -> None:
        """Adds to the weight in flight; negative values subtract."""
        step = int(time.monotonic() / METER_STEP_S)
        before = self.current
        self.current += weight
        self.peak = max(self.peak, self.current)
        step_peak = self.steps.get(step, before)
        self.steps[step] = max(step_peak, before, self.current)

    def report(self) -> dict:
        """Returns the counters in JSON-compatible form."""
        return {
            "now": self.current,
            "most": self.peak,
            "step_s": METER_STEP_S,
            "steps": sorted(self.steps.items()),
        }


class TargetRequest(NamedTuple):
    """A request as a target receives it.

    Attributes:
        request_id: Id of the request.
        kind: Kind of request.
        weight: Weight that it adds to the weight in flight.
        deadline: Deadline in monotonic seconds, if there is one.
    """

    request_id: str
    kind: str
    weight: int
    deadline: float | None


class ExecutionOutcome(StrEnum):
    """Outcome of a request at a target."""

    DONE = "done"
    SHED = "shed"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"


class Target:
    """Executes requests in a limited number of slots.

    Attributes:
        behaviour: Current behaviour.
        meter: Weight in flight at this target.
        region: Weight in flight in the target's region.
        executions: Number of executions started, by request id.
        outcomes: Number of requests by outcome.
        latest_at: When a request was last accepted, in monotonic seconds.
        empty_at: When the number of requests in flight last became zero, in
            monotonic seconds.
    """

    def __init__(
        self, name: str, behaviour: Behaviour, *, seed: int, region: WeightMeter
    ):
        self.name = name
        self.behaviour = behaviour
        self.rng = random.Random(f"{seed}/{name}")
        self.meter = WeightMeter()
        self.region = region
        self.in_flight = 0
        self.waiting: list[Event] = []
        self.running = 0
        self.executions: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.cancel_events: dict[str, set[Event]] = {}
        self.latest_at = 0.0
        self.empty_at = 0.0
        self.frozen_load = 0

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Sets the behaviour; a frozen load report keeps the current load."""
        self.behaviour = behaviour
        self.frozen_load = self.in_flight

    def execute(self, request: TargetRequest) -> ExecutionOutcome:
        """Executes a request; blocks for its slot and its service time."""
        outcome = self._execute(request)
        self.outcomes[outcome] += 1
        return outcome

    def cancel(self, request_id: str) -> bool:
        """Cancels the executions of an id; returns whether there were any."""
        events = self.cancel_events.get(request_id, ())
        for event in tuple(events):
            event.set()
        return bool(events)

    def reported_load(self) -> int | None:
        """Returns the load to report, or ``None`` if reports are stopped."""
        match self.behaviour.load_report:
            case LoadReport.STOPPED:
                return None
            case LoadReport.LYING:
                return 0
            case LoadReport.FROZEN:
                return self.frozen_load
        return self.in_flight

    def report(self) -> dict:
        """Returns the counters in JSON-compatible form."""
        return {
            "name": self.name,
            "executions": dict(self.executions),
            "endings": dict(self.outcomes),
            "latest_at": self.latest_at,
            "empty_at": self.empty_at,
            "in_flight": self.in_flight,
            "weight": self.meter.report(),
        }

    def _execute(self, request: TargetRequest) -> ExecutionOutcome:
        if self.in_flight >= self.behaviour.slots + self.behaviour.queue:
            return ExecutionOutcome.SHED
        remaining_s = _remaining_s(request)
        if remaining_s is not None and remaining_s < MIN_REMAINING_S:
            return ExecutionOutcome.SHED
        self._add_in_flight(request)
        try:
            if not self._wait_for_slot(remaining_s):
                return ExecutionOutcome.SHED
            try:
                return self._run(request)
            finally:
                self._free_slot()
        finally:
            self._remove_in_flight(request)

    def _add_in_flight(self, request: TargetRequest) -> None:
        self.in_flight += 1
        self.latest_at = time.monotonic()
        self.meter.add(request.weight)
        self.region.add(request.weight)

    def _remove_in_flight(self, request: TargetRequest) -> None:
        self.in_flight -= 1
        if self.in_flight == 0:
            self.empty_at = time.monotonic()
        self.meter.add(-request.weight)
        self.region.add(-request.weight)

    def _wait_for_slot(self, remaining_s: float | None) -> bool:
        if self.running < self.behaviour.slots:
            self.running += 1
            return True
        event = Event()
        self.waiting.append(event)
        if event.wait(remaining_s):
            return True
        self.waiting.remove(event)
        return False

    def _free_slot(self) -> None:
        if self.waiting:
            self.waiting.pop(0).set()
        else:
            self.running -= 1

    def _run(self, request: TargetRequest) -> ExecutionOutcome:
        self.executions[request.request_id] += 1
        duration_s = self._service_time_s(request.kind)
        remaining_s = _remaining_s(request)
        exceeds_deadline = remaining_s is not None and remaining_s < duration_s
        cancelled = Event()
        events = self.cancel_events.setdefault(request.request_id, set())
        events.add(cancelled)
        try:
            if cancelled.wait(
                max(0.0, remaining_s) if exceeds_deadline else duration_s
            ):
                return ExecutionOutcome.CANCELLED
        finally:
            events.discard(cancelled)
            if not events:
                self.cancel_events.pop(request.request_id, None)
        return (
            ExecutionOutcome.DEADLINE
            if exceeds_deadline
            else ExecutionOutcome.DONE
        )

    def _service_time_s(self, kind: str) -> float:
        times = self.behaviour.service_time_s
        median = times.get(kind, times.get("", DEFAULT_SERVICE_TIME_S))
        duration_s = median * self.rng.lognormvariate(0, self.behaviour.spread)
        if sum(self.outcomes.values()) < self.behaviour.cold_requests:
            duration_s *= self.behaviour.cold_factor
        return duration_s


def _remaining_s(request: TargetRequest) -> float | None:
    if request.deadline is None:
        return None
    return request.deadline - time.monotonic()
