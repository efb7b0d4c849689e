"""Scenarios: system size, kinds of requests and injected faults."""

from typing import NamedTuple

from sardinewheel_gateway.policy.routes import Route, Share

REGIONS = ("north", "east", "south")
SERVICE = "orders"


class Kind(NamedTuple):
    """A kind of request.

    Attributes:
        name: Name of the kind.
        rate_per_s: Requests per second over all callers.
        service_time_s: Seconds of execution on a target that does not have the
            object in its cache.
        objective_s: Response time objective in seconds.
        deadline_s: Seconds after which the caller stops waiting.
        full_credit: Credit for a response within the objective; a late one
            earns a fifth.
        priority: Priority; 0 is the most urgent.
        is_idempotent: Whether it may be executed more than once.
    """

    name: str
    rate_per_s: float
    service_time_s: float
    objective_s: float
    deadline_s: float
    full_credit: float
    priority: int
    is_idempotent: bool

    def route(self) -> Route:
        """Returns the route for requests of this kind."""
        return Route(
            name=self.name,
            host="shop.example",
            prefix=f"/{self.name}/",
            is_idempotent=self.is_idempotent,
            timeout_s=None,
            objective_s=self.objective_s,
            priority=self.priority,
            shares=(Share(SERVICE, 1.0),),
            max_attempts=2,
            has_affinity=True,
            home_regions=frozenset(),
        )


class Span(NamedTuple):
    """A half-open interval of simulated time, in seconds."""

    begin_s: float
    end_s: float

    def contains(self, now: float) -> bool:
        """Returns whether a time lies in the interval."""
        return self.begin_s <= now < self.end_s


NEVER = Span(0.0, 0.0)


class Scenario(NamedTuple):
    """A load and the faults injected during it.

    Attributes:
        name: Name of the scenario.
        kinds: Kinds of requests.
        hosts: Number of gateways, assigned round-robin to the regions.
        targets: Number of targets, assigned round-robin to the regions.
        slots: Requests that a target executes concurrently.
        objects: Number of distinct objects that the requests are about.
        skew: Zipf exponent of the object popularity: the share of the nth
            object is proportional to ``1 / n ** skew``.
        duration_s: Seconds for which callers send requests.
        surge: Interval with ``surge_factor`` times the request rate.
        surge_factor: Factor on the request rate during the surge.
        slow: Interval in which ``slow_share`` of the targets are slow.
        slow_share: Share of the targets that become slow.
        slow_factor: Factor on the service time of slow targets.
        limited: Interval in which ``limited_share`` of the targets name a
            limit.
        limited_share: Share of the targets that name it.
        limit_per_s: Requests per second that each of them accepts.
        host_failure: The first host of each region fails at the start of this
            interval, with all requests that it holds, and starts again without
            state at the end.
        stranded: Interval in which ``stranded_share`` of the hosts reach no
            target; callers and other hosts still reach them.
        stranded_share: Share of the hosts that reach none.
    """

    name: str
    kinds: tuple[Kind, ...]
    hosts: int = 11
    targets: int = 18
    slots: int = 3
    objects: int = 150
    skew: float = 0.0
    duration_s: float = 30.0
    surge: Span = NEVER
    surge_factor: float = 1.0
    slow: Span = NEVER
    slow_share: float = 0.2
    slow_factor: float = 4.0
    limited: Span = NEVER
    limited_share: float = 0.2
    limit_per_s: float = 1.0
    host_failure: Span = NEVER
    stranded: Span = NEVER
    stranded_share: float = 0.6


KINDS = (
    Kind("status", 64.0, 0.64, 0.5, 3.0, 1.0, 1, True),
    Kind("confirm", 28.0, 0.84, 0.6, 4.0, 2.0, 0, False),
)
SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady", KINDS),
        Scenario("surge", KINDS, surge=Span(10.0, 20.0), surge_factor=2.0),
        Scenario("hot-objects", KINDS, skew=1.0),
        Scenario("slow-targets", KINDS, slow=Span(10.0, 20.0)),
        Scenario("limited-targets", KINDS, limited=Span(10.0, 20.0)),
        Scenario(
            "all-targets-limited",
            KINDS,
            limited=Span(10.0, 20.0),
            limited_share=1.0,
            limit_per_s=8.0,
        ),
        Scenario("hosts-lost", KINDS, host_failure=Span(10.0, 20.0)),
        Scenario("hosts-stranded", KINDS, stranded=Span(10.0, 20.0)),
    )
}
