"""A model of a gateway: the product's policy and the way of a request."""

import random
from collections.abc import Callable
from typing import NamedTuple

from sardinewheel_gateway.policy.cold import ColdBound
from sardinewheel_gateway.policy.loads import ReportedLoad
from sardinewheel_gateway.policy.placement import (
    Placed,
    PlacementRequest,
    Refused,
)
from sardinewheel_gateway.policy.retries import RetryBound
from sardinewheel_gateway.policy.routes import Configuration, Limits, Service
from sardinewheel_gateway.policy.routing_state import (
    Bounds,
    RoutingState,
    TargetAnswer,
)
from sardinewheel_gateway.policy.targets import TargetRecord

from sardinewheel_testing.emulator.scenario import SERVICE, Kind, Scenario
from sardinewheel_testing.emulator.targets import TargetModel, Work
from sardinewheel_testing.emulator.timeline import Timeline

BOUNDS = Bounds(RetryBound(0.2, 62.0, 10.0), ColdBound(1.5, 5.0))
LIMITS = Limits(16384, 1_000_000, 3.0, 15.0)
NEAR_S = 0.0005
FAR_S = 0.035
LOW_TIME_RETURN_S = 0.3
MIN_ATTEMPT_S = 0.05


class Attempt(NamedTuple):
    """A caller's attempt, as it reaches a host.

    Attributes:
        request_id: Its id.
        kind: Its kind.
        object_key: Object that it concerns.
        deadline: When the caller stops waiting, in simulated time.
        answer: Called with how it ended.
    """

    request_id: int
    kind: Kind
    object_key: str
    deadline: float
    answer: Callable[["Ending"], None]


class Ending(NamedTuple):
    """How an attempt ended.

    Attributes:
        is_served: Whether the caller got an answer of a target.
        retry_after_s: When to come back, if it has not run.
    """

    is_served: bool
    retry_after_s: float | None = None


class HostModel:
    """A gateway.

    Attributes:
        name: Its name.
        region: Its region.
        routing_state: What it decides with.
        is_lost: Whether it is gone, with what it held.
    """

    def __init__(
        self,
        name: str,
        region: str,
        *,
        scenario: Scenario,
        targets: dict[str, TargetModel],
        timeline: Timeline,
        seed: int,
    ):
        self.name = name
        self.region = region
        self.targets = targets
        self.timeline = timeline
        self.is_lost = False
        self.routing_state = RoutingState(
            host=name,
            bounds=BOUNDS,
            regions={
                target.region: target.region for target in targets.values()
            },
            rng=random.Random(f"{seed}-{name}"),
        )
        routes = tuple(kind.route() for kind in scenario.kinds)
        services = {SERVICE: Service(SERVICE, 400, 0.0, 100.0)}
        self.routing_state.configure(Configuration(1, routes, services, LIMITS))
        for target in targets.values():
            record = TargetRecord(
                target.target_id,
                1,
                SERVICE,
                "127.0.0.1:1",
                target.region,
                scenario.slots,
                False,
                0.0,
            )
            self.routing_state.target_table.put(record, now=0.0)

    def ask_of(
        self, attempt: Attempt, tried: frozenset[str]
    ) -> PlacementRequest:
        """Returns what the policy is asked about an attempt."""
        route = self.routing_state.route(
            "shop.example", f"/{attempt.kind.name}/x"
        )
        return PlacementRequest(
            service=SERVICE,
            route=route,
            object_key=attempt.object_key,
            is_urgent=self.routing_state.is_urgent(route, SERVICE),
            tried=tried,
        )

    def take(self, attempt: Attempt) -> None:
        """Takes an attempt to its first target."""
        self.routing_state.count_request(SERVICE, self.timeline.now)
        self._place(attempt, frozenset())

    def _place(self, attempt: Attempt, tried: frozenset[str]) -> None:
        now = self.timeline.now
        if attempt.deadline - now < MIN_ATTEMPT_S:
            self._end(attempt, Ending(False, LOW_TIME_RETURN_S))
            return
        choice = self.routing_state.placer.place(
            self.ask_of(attempt, tried), now
        )
        if isinstance(choice, Refused):
            self._end(attempt, Ending(False, choice.retry_after_s))
        elif tried and not self.routing_state.try_acquire_retry(SERVICE, now):
            self._end(attempt, Ending(False, LOW_TIME_RETURN_S))
        else:
            self._send(attempt, choice, tried)

    def _send(
        self, attempt: Attempt, placed: Placed, tried: frozenset[str]
    ) -> None:
        target = self.targets[placed.target.record.target_id]
        load = self.routing_state.loads.of(target.target_id)
        load.in_flight += 1
        delay_s = delay_between(self.region, target.region)

        def answered(was_executed: bool, report: ReportedLoad) -> None:
            self.timeline.after(
                delay_s,
                lambda: self._answered(
                    attempt, placed, tried, was_executed, report
                ),
            )

        work = Work(
            attempt.request_id,
            attempt.object_key,
            attempt.kind.work_s,
            attempt.deadline,
            answered,
        )
        self.timeline.after(delay_s, lambda: target.arrive(work))

    def _answered(
        self,
        attempt: Attempt,
        placed: Placed,
        tried: frozenset[str],
        was_executed: bool,
        report: ReportedLoad,
    ) -> None:
        target_id = placed.target.record.target_id
        self.routing_state.answered(
            placed.target,
            TargetAnswer(was_executed, False, report),
            is_error=False,
            now=self.timeline.now,
        )
        self.routing_state.loads.of(target_id).in_flight -= 1
        tried |= {target_id}
        route = self.ask_of(attempt, tried).route
        if was_executed:
            self._end(attempt, Ending(True))
        elif len(tried) >= route.max_attempts:
            self._end(attempt, Ending(False, LOW_TIME_RETURN_S))
        else:
            self._place(attempt, tried)

    def _end(self, attempt: Attempt, ending: Ending) -> None:
        if not self.is_lost:
            attempt.answer(ending)


def delay_between(region: str, other: str) -> float:
    """Returns the seconds that a message takes one way."""
    return NEAR_S if region == other else FAR_S
