"""Learns how long targets execute the requests of each route.

Answers a load of kinds whose work differs by a factor of ten at one service: a
queue of short requests is served sooner than one of long requests, and a place
in it costs others less.

A response time contains the wait in the target's queue. It is divided by what
the queue at dispatch makes of one execution, so observations under load count
as well as those of idle targets.
"""

from typing import NamedTuple

# A target that states a false load, or a response that isn't one, moves an
# estimate only within these parts of the route's latency objective.
MIN_OBJECTIVE_PART = 0.05
MAX_OBJECTIVE_PART = 4.0
ROUTE_WEIGHT = 0.05
SERVICE_WEIGHT = 0.02
# Observations from which an estimate counts as known.
MIN_OBSERVATIONS = 3


class Work(NamedTuple):
    """What one request of a route takes at one of its services.

    Attributes:
        service: Name of the service.
        route: Name of the route.
        objective_s: Latency objective of the route in seconds.
    """

    service: str
    route: str
    objective_s: float


class LearntTime:
    """Moving average of a time of execution.

    Attributes:
        mean_s: The average in seconds.
        observations: Number of observations.
    """

    def __init__(self, first_s: float):
        self.mean_s = first_s
        self.observations = 0

    def record(self, work_s: float, *, weight: float) -> None:
        """Adds an observation; the first ones replace the start value."""
        self.observations += 1
        part = max(weight, 1.0 / self.observations)
        self.mean_s += part * (work_s - self.mean_s)


class WorkTimes:
    """Times of execution by service and route.

    Attributes:
        by_route: Times by service and route.
        by_service: Times of all requests of a service, as they come.

    Examples:
        >>> times = WorkTimes()
        >>> work = Work("orders", "status", 0.5)
        >>> times.of_route(work)
        0.5
        >>> times.record(work, response_s=0.5, queue=1.0)
        >>> times.of_route(work)
        0.25
    """

    def __init__(self):
        self.by_route: dict[tuple[str, str], LearntTime] = {}
        self.by_service: dict[str, LearntTime] = {}

    def record(self, work: Work, *, response_s: float, queue: float) -> None:
        """Records the response time of a request that was executed.

        Args:
            work: The route and service.
            response_s: Seconds from dispatch to response.
            queue: Executions that the request waited for in its slot, by the
                estimate at dispatch.
        """
        work_s = response_s / (1.0 + max(0.0, queue))
        work_s = max(MIN_OBJECTIVE_PART * work.objective_s, work_s)
        work_s = min(MAX_OBJECTIVE_PART * work.objective_s, work_s)
        route = self.by_route.setdefault(
            (work.service, work.route), LearntTime(work.objective_s)
        )
        route.record(work_s, weight=ROUTE_WEIGHT)
        service = self.by_service.setdefault(work.service, LearntTime(work_s))
        service.record(work_s, weight=SERVICE_WEIGHT)

    def record_lower_bound(
        self, work: Work, *, waited_s: float, queue: float
    ) -> None:
        """Records a request that got no response; it takes at least so long.

        Without it, only the requests that were quick enough would count.
        """
        if waited_s / (1.0 + max(0.0, queue)) > self.of_route(work):
            self.record(work, response_s=waited_s, queue=queue)

    def of_route(self, work: Work) -> float:
        """Returns the seconds of execution; at first the objective."""
        learnt = self.by_route.get((work.service, work.route))
        return work.objective_s if learnt is None else learnt.mean_s

    def of_service(self, work: Work) -> float:
        """Returns the mean seconds of execution of a service's requests."""
        learnt = self.by_service.get(work.service)
        return self.of_route(work) if learnt is None else learnt.mean_s

    def is_known(self, work: Work) -> bool:
        """Returns whether enough requests of a route were observed."""
        learnt = self.by_route.get((work.service, work.route))
        return learnt is not None and learnt.observations >= MIN_OBSERVATIONS

    def keep(self, routes: set[str]) -> None:
        """Drops the times of routes that are not in a configuration."""
        self.by_route = {
            k: v for k, v in self.by_route.items() if k[1] in routes
        }
