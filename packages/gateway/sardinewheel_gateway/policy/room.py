"""Decides who gets the room of a target when there is too little.

Answers demand above what targets execute. Without it, queues grow until most
responses come after the latency objective, requests are executed whose callers
have left, and who comes first or most often gets the room.

Without client accounts in the configuration, until the work of a route is
known, and for callers without account at a service of one route, only the usual
bound on load applies.
"""

import copy
import random
from typing import NamedTuple

from sardinewheel_gateway.policy.fair_share import FairShare
from sardinewheel_gateway.policy.finish_estimate import (
    FinishEstimate,
    queue_per_slot,
)
from sardinewheel_gateway.policy.placed import Placed
from sardinewheel_gateway.policy.placement_request import PlacementRequest
from sardinewheel_gateway.policy.service_load import ServiceLoad
from sardinewheel_gateway.policy.work_times import Work, WorkTimes

# A request is refused if this part of its estimated time exceeds the time that
# its caller has left: a wrong refusal costs more than a wrong attempt.
CERTAIN_PART = 0.85
# Lowest bound on load: below it a refusal would leave room free, as other
# hosts' requests are known late.
MIN_FULL_LOAD = 1.25
# Recent shares of admitted work at which a service isn't short of room, and at
# which bounds on load are as low as responses in time need.
AMPLE_SHARE = 0.95
SHORT_SHARE = 0.7
# Load by which a key that uses more than its share is refused earlier.
OVER_SHARE_LOAD = 1.0
# Time of execution by latency objective, where it isn't learnt.
USUAL_WORK_PART = 0.25
MIN_DRAIN_PART = 0.5
MAX_DRAIN_PART = 1.5


class Bound(NamedTuple):
    """Loads from which requests are refused, by what is known of targets.

    Attributes:
        normal: Bound for the least urgent requests of a service.
        urgent: Bound for all others.
    """

    normal: float
    urgent: float


class Room:
    """Admission of requests to targets that are short of room.

    Attributes:
        bound: Usual bounds on load; none is exceeded.
        work_times: Learnt times of execution.
        account_shares: Recent demand of the accounts of each service.
        route_shares: Recent demand of the routes of each service.
        service_loads: Mean load of the targets of each service.
        rng: Source of the spread of retry times.
        is_dividing: Whether more than the usual bound on load applies.
    """

    def __init__(self, bound: Bound, rng: random.Random):
        self.bound = bound
        self.rng = rng
        self.is_dividing = False
        self.work_times = WorkTimes()
        self.account_shares: dict[str, FairShare] = {}
        self.route_shares: dict[str, FairShare] = {}
        self.service_loads: dict[str, ServiceLoad] = {}

    def copy(self, rng: random.Random) -> "Room":
        """Returns a copy whose changes leave this one as it is."""
        copied = Room(self.bound, rng)
        copied.is_dividing = self.is_dividing
        copied.work_times = copy.deepcopy(self.work_times)
        copied.account_shares = copy.deepcopy(self.account_shares)
        copied.route_shares = copy.deepcopy(self.route_shares)
        copied.service_loads = copy.deepcopy(self.service_loads)
        return copied

    def service_load(self, service: str) -> ServiceLoad:
        """Returns the mean load of a service's targets."""
        return self.service_loads.setdefault(service, ServiceLoad())

    def expected_load(
        self, service: str, load: float, *, age_s: float, now: float
    ) -> float:
        """Returns the load to expect at a target, from its last report."""
        if not self.is_dividing:
            return load
        mean = self.service_load(service)
        return mean.expected(load, age_s=age_s, now=now)

    def full_load(self, request: PlacementRequest, now: float) -> float:
        """Returns the load from which a request is refused now."""
        usual = self.bound.urgent if request.is_urgent else self.bound.normal
        work = work_of(request)
        if not self.is_dividing or not self.work_times.is_known(work):
            return usual
        full_load = self._full_load_of(work, now)
        if request.is_urgent or self._is_starved(request, now):
            full_load += self.bound.urgent - self.bound.normal
        if self._is_over_share(request, now):
            full_load -= OVER_SHARE_LOAD
        return full_load

    def finish_s(self, request: PlacementRequest, placed: Placed) -> float:
        """Returns the estimated seconds until a target would respond.

        It is 0 while the work of the route is unknown.
        """
        if not self.work_times.is_known(work_of(request)):
            return 0.0
        return self.expected_finish_s(request, placed)

    def expected_finish_s(
        self, request: PlacementRequest, placed: Placed
    ) -> float:
        """Returns the expected seconds until a target would respond.

        Work that is unknown counts as that of the route's latency objective.
        """
        work = work_of(request)
        return FinishEstimate.of(
            load=placed.expected_load,
            slots=placed.target.record.slots,
            slowdown=placed.slowdown,
            work_s=self.work_times.of_route(work),
            service_work_s=self.work_times.of_service(work),
        ).finish_s

    def is_hopeless(
        self, request: PlacementRequest, placed: Placed, now: float
    ) -> bool:
        """Returns whether a response would come after the deadline.

        A target with a free slot is always tried: an estimate that is too long
        would otherwise never be corrected.
        """
        slots = placed.target.record.slots
        if not self.is_dividing or not queue_per_slot(
            placed.expected_load, slots
        ):
            return False
        left_s = request.deadline - now
        return CERTAIN_PART * self.finish_s(request, placed) > left_s

    def drain_s(self, request: PlacementRequest, load: float) -> float:
        """Returns the seconds until a queue is short enough, spread at random.

        Callers that were refused together don't return together. One with
        little time left returns earlier by itself.
        """
        work = work_of(request)
        excess = 1.0 + max(0.0, load - self.bound.normal)
        if not self.is_dividing:
            wait_s = excess * USUAL_WORK_PART * work.objective_s
            return wait_s * self.rng.uniform(1.0, MAX_DRAIN_PART)
        drain_s = excess * self.work_times.of_service(work)
        return drain_s * self.rng.uniform(MIN_DRAIN_PART, MAX_DRAIN_PART)

    def record_decision(
        self, request: PlacementRequest, now: float, *, is_admitted: bool
    ) -> None:
        """Counts the first decision on a request for the shares."""
        if request.tried or not self.is_dividing:
            return
        work_s = self.work_times.of_route(work_of(request))
        routes = self.route_shares.setdefault(request.service, FairShare())
        routes.record(
            request.route.name, work_s, now=now, is_admitted=is_admitted
        )
        if request.account is None:
            return
        accounts = self.account_shares.setdefault(request.service, FairShare())
        accounts.record(
            request.account.name,
            work_s,
            now=now,
            is_admitted=is_admitted,
            weight=request.account.rate_per_s or 1.0,
        )

    def record_response(
        self, request_work: Work, placed: Placed, response_s: float
    ) -> None:
        """Learns from the response time of a request that was executed."""
        self.work_times.record(
            request_work,
            response_s=response_s,
            queue=queue_per_slot(
                placed.expected_load, placed.target.record.slots
            ),
        )

    def record_timeout(
        self, request_work: Work, placed: Placed, waited_s: float
    ) -> None:
        """Learns from a request that got no response in its time."""
        self.work_times.record_lower_bound(
            request_work,
            waited_s=waited_s,
            queue=queue_per_slot(
                placed.expected_load, placed.target.record.slots
            ),
        )

    def _full_load_of(self, work: Work, now: float) -> float:
        """Returns the bound on load for the least urgent requests.

        A single target that is full doesn't make a service short of room: the
        bound falls towards the load at which responses are in time with the
        share of requests that was refused.
        """
        spare_s = work.objective_s - self.work_times.of_route(work)
        in_time = 1.0 + spare_s / self.work_times.of_service(work)
        in_time = max(MIN_FULL_LOAD, min(self.bound.normal, in_time))
        shortage = self._shortage(work.service, now)
        return self.bound.normal - shortage * (self.bound.normal - in_time)

    def _shortage(self, service: str, now: float) -> float:
        """Returns how short of room a service is, from 0 to 1."""
        shares = self.route_shares.get(service)
        if shares is None:
            return 0.0
        missing = AMPLE_SHARE - shares.served_share_at(now)
        return max(0.0, min(1.0, missing / (AMPLE_SHARE - SHORT_SHARE)))

    def _is_over_share(self, request: PlacementRequest, now: float) -> bool:
        shares = self._shares(request)
        return any(share.is_over(key, now) for share, key in shares)

    def _is_starved(self, request: PlacementRequest, now: float) -> bool:
        shares = self._shares(request)
        return any(share.is_starved(key, now) for share, key in shares)

    def _shares(self, request: PlacementRequest) -> list[tuple[FairShare, str]]:
        found = []
        routes = self.route_shares.get(request.service)
        if routes is not None:
            found.append((routes, request.route.name))
        accounts = self.account_shares.get(request.service)
        if accounts is not None and request.account is not None:
            found.append((accounts, request.account.name))
        return found


def work_of(request: PlacementRequest) -> Work:
    """Returns the work that a request asks of its service."""
    route = request.route
    return Work(request.service, route.name, route.objective_s)
