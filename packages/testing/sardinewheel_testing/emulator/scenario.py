"""What is emulated: sizes, kinds of requests, and what goes wrong."""

from typing import NamedTuple

from sardinewheel_gateway.policy.routes import Route, Share

REGIONS = ("north", "east", "south")
SERVICE = "orders"


class Kind(NamedTuple):
    """A kind of request.

    Attributes:
        name: Its name.
        rate_per_s: Requests a second from all callers.
        work_s: Seconds of work at a target that doesn't know the object.
        objective_s: Seconds within which an answer is in time.
        deadline_s: Seconds after which the caller stops waiting.
        worth: Credit for an answer in time; a late one earns a fifth.
        priority: Rank; 0 is the most urgent.
        is_idempotent: Whether it may be executed more than once.
    """

    name: str
    rate_per_s: float
    work_s: float
    objective_s: float
    deadline_s: float
    worth: float
    priority: int
    is_idempotent: bool

    def route(self) -> Route:
        """Returns the route of these requests."""
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
    """A span of simulated time, in seconds."""

    begin_s: float
    end_s: float

    def holds(self, now: float) -> bool:
        """Says whether a moment lies in the span."""
        return self.begin_s <= now < self.end_s


NEVER = Span(0.0, 0.0)


class Scenario(NamedTuple):
    """One load, and what goes wrong meanwhile.

    Attributes:
        name: Its name.
        kinds: Kinds of requests.
        hosts: Gateways, dealt out over the regions.
        targets: Targets, dealt out over the regions.
        slots: Requests that a target executes at once.
        objects: Objects that the requests concern.
        skew: How much more often some objects come: the share of the nth is
            in proportion to ``1 / n ** skew``.
        seconds: How long callers send requests.
        surge: When callers send ``surge_factor`` times as much.
        surge_factor: How much more they send then.
        slow: When ``slow_share`` of the targets take ``slow_factor`` times
            as long.
        slow_share: Part of the targets that turn slow.
        slow_factor: How much longer slow targets take.
        lost: When the first host of each region is gone, with all requests
            that it holds.
    """

    name: str
    kinds: tuple[Kind, ...]
    hosts: int = 11
    targets: int = 18
    slots: int = 3
    objects: int = 150
    skew: float = 0.0
    seconds: float = 30.0
    surge: Span = NEVER
    surge_factor: float = 1.0
    slow: Span = NEVER
    slow_share: float = 0.2
    slow_factor: float = 4.0
    lost: Span = NEVER


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
        Scenario("hosts-lost", KINDS, lost=Span(10.0, 20.0)),
    )
}
