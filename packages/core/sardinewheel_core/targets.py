"""The targets that this host dispatches to, and their concurrency limits.

In-flight counts are exact, because only one entry host dispatches to a
target. The load and health that a target reports are hints: they may lower
its limit for a while, but never raise it, and never lower it to zero while
the target answers.
"""

import random

from sardinewheel_core.intent import Target
from sardinewheel_core.messages import Strain

SLOW_START_SLOTS = 1
WARM_AFTER_ANSWERS = 10
MIN_PAUSE_S = 0.25
MAX_PAUSE_S = 8.0
REPORT_TTL_S = 5.0
MIN_LIMIT_FRACTION = 0.5


class TargetState:
    """Load, concurrency limit and health of one target.

    Attributes:
        target: The target.
        service: Service it belongs to.
        in_flight: Number of dispatched requests that may still be executing.
        limit: Concurrency limit, at most the target's slots.
        answers: Answers received since it was taken over, returned to service
            or last failed.
        failures: Consecutive refusals and failures.
        paused_until: Time before which nothing is dispatched to it.
        leaving: Whether it is draining and gets no new requests.
        other_in_flight: Requests that it reported in flight in excess of those
            that this host dispatched.
        healthy: Health that it last reported.
        reported_at: When it last reported its load.
    """

    def __init__(self, target: Target, service: str):
        self.target = target
        self.service = service
        self.in_flight = 0
        self.limit = SLOW_START_SLOTS
        self.answers = 0
        self.failures = 0
        self.paused_until = 0.0
        self.leaving = False
        self.other_in_flight = 0
        self.healthy = True
        self.reported_at = float("-inf")

    def effective_limit(self, now: float) -> int:
        """Returns the concurrency limit, lowered by a recent load report."""
        limit = min(self.limit, self.target.slots)
        if now - self.reported_at > REPORT_TTL_S:
            return limit
        floor = max(1, int(limit * MIN_LIMIT_FRACTION))
        return max(floor, limit - self.other_in_flight)

    def free_slots(self, now: float) -> int:
        """Returns how many requests may be dispatched to it now."""
        if self.leaving or now < self.paused_until:
            return 0
        return max(0, self.effective_limit(now) - self.in_flight)

    def is_warm(self) -> bool:
        """Returns whether it has answered ``WARM_AFTER_ANSWERS`` requests."""
        return self.answers >= WARM_AFTER_ANSWERS

    def is_reported_unhealthy(self, now: float) -> bool:
        """Returns whether a recent load report marked it as unhealthy."""
        return not self.healthy and now - self.reported_at <= REPORT_TTL_S

    def apply_load_report(
        self, now: float, *, healthy: bool, in_flight: int
    ) -> None:
        """Applies a load report; a negative ``in_flight`` means unknown."""
        self.healthy = healthy
        self.other_in_flight = max(0, in_flight - self.in_flight)
        self.reported_at = now

    def record_success(self) -> None:
        """Raises the limit by one after an answer."""
        self.answers += 1
        self.failures = 0
        self.limit = min(self.target.slots, self.limit + 1)

    def record_failure(self, now: float, rng: random.Random) -> None:
        """Halves the limit and pauses dispatch, with exponential back-off."""
        self.answers = 0
        self.limit = max(SLOW_START_SLOTS, self.limit // 2)
        max_pause_s = min(MAX_PAUSE_S, MIN_PAUSE_S * 2**self.failures)
        self.failures = min(self.failures + 1, 16)
        self.paused_until = now + max_pause_s * (0.5 + 0.5 * rng.random())


class TargetPool:
    """Targets that this host dispatches to, by name."""

    def __init__(self, *, rng: random.Random):
        self.rng = rng
        self.states: dict[str, TargetState] = {}

    def set_owned(self, owned: list[tuple[str, Target]]) -> None:
        """Sets which targets, with their services, this host dispatches to.

        Another target is kept, marked as leaving, while it has requests in
        flight.
        """
        names = {target.name for _, target in owned}
        for service, target in owned:
            state = self.states.get(target.name)
            if state is None:
                self.states[target.name] = TargetState(target, service)
            else:
                state.target = target
        for name in [n for n in self.states if n not in names]:
            if self.states[name].in_flight == 0:
                del self.states[name]
            else:
                self.states[name].leaving = True

    def of_service(self, service: str) -> list[TargetState]:
        """Returns the targets of a service."""
        return [s for s in self.states.values() if s.service == service]

    def slots(self, service: str) -> int:
        """Returns the slots of a service's targets that are not leaving."""
        targets = self.of_service(service)
        return sum(s.target.slots for s in targets if not s.leaving)

    def strains(self, now: float) -> tuple[tuple[str, str], ...]:
        """Returns the overloaded or cold services, with the kind of strain.

        A service is strained when half of its targets shed load (are paused),
        or else when half of them are cold.
        """
        strains = []
        for service in sorted({s.service for s in self.states.values()}):
            states = self.of_service(service)
            shedding = sum(now < s.paused_until for s in states)
            cold = sum(not s.is_warm() for s in states)
            if 2 * shedding >= len(states):
                strains.append((service, str(Strain.SHEDDING)))
            elif 2 * cold >= len(states):
                strains.append((service, str(Strain.COLD)))
        return tuple(strains)

    def free_slots(self, service: str, now: float) -> int:
        """Returns how many requests of a service may be dispatched now."""
        return sum(s.free_slots(now) for s in self.of_service(service))

    def pick(
        self,
        service: str,
        now: float,
        *,
        repeatable: bool = True,
        excluded: frozenset[str] = frozenset(),
    ) -> TargetState | None:
        """Returns the best target with a free slot, or ``None``.

        Non-repeatable requests prefer warm targets; repeatable requests warm
        up the others.

        Args:
            service: Service of the request.
            now: Time on the monotonic clock, in seconds.
            repeatable: Whether the request may be executed more than once.
            excluded: Names of targets to avoid while others have free slots.
        """
        candidates = [
            s for s in self.of_service(service) if s.free_slots(now) > 0
        ]

        def rank(state: TargetState) -> tuple:
            return (
                state.target.name in excluded,
                state.is_reported_unhealthy(now),
                not repeatable and not state.is_warm(),
                -state.free_slots(now) / state.target.slots,
                self.rng.random(),
            )

        return min(candidates, key=rank, default=None)
