"""The targets that this host dispatches to, and their room.

In-flight counts are exact, because only one entry host dispatches to a
target. What a target reports about its load and health is a hint: it may
lower the target's room for a while, never raise it, and never to nothing
while the target answers.
"""

import random

from sardinewheel_core.intent import Target
from sardinewheel_core.messages import Strain

SLOW_START_SLOTS = 1
WARM_AFTER_ANSWERS = 10
MIN_PAUSE_S = 0.25
MAX_PAUSE_S = 8.0
REPORT_VALID_S = 5.0
REPORTED_FLOOR = 0.5


class TargetState:
    """Room of one target.

    Attributes:
        target: The target.
        service: Service it belongs to.
        in_flight: Requests dispatched that may still be executing.
        limit: Requests that may be in flight now, at most its slots.
        answers: Answers since it was taken over or last failed.
        failures: Refusals and failures in a row.
        paused_until: Instant before which it gets nothing.
        leaving: Whether it is being emptied.
        foreign: Requests it reported in flight beyond those of this host.
        healthy: What it last reported of its health.
        reported_at: When it last reported.
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
        self.foreign = 0
        self.healthy = True
        self.reported_at = float("-inf")

    def room_limit(self, now: float) -> int:
        """Returns the requests that may be in flight, reports considered."""
        limit = min(self.limit, self.target.slots)
        if now - self.reported_at > REPORT_VALID_S:
            return limit
        floor = max(1, int(limit * REPORTED_FLOOR))
        return max(floor, limit - self.foreign)

    def free(self, now: float) -> int:
        """Returns the requests that may be dispatched to it now."""
        if self.leaving or now < self.paused_until:
            return 0
        return max(0, self.room_limit(now) - self.in_flight)

    def is_warm(self) -> bool:
        """Says whether it has answered enough to be trusted with any kind."""
        return self.answers >= WARM_AFTER_ANSWERS

    def is_suspect(self, now: float) -> bool:
        """Says whether it reported lately that it is not healthy."""
        return not self.healthy and now - self.reported_at <= REPORT_VALID_S

    def report(self, now: float, *, healthy: bool, in_flight: int) -> None:
        """Takes in a report; a negative count means that it has none."""
        self.healthy = healthy
        self.foreign = max(0, in_flight - self.in_flight)
        self.reported_at = now

    def succeeded(self) -> None:
        """Raises the limit after an answer."""
        self.answers += 1
        self.failures = 0
        self.limit = min(self.target.slots, self.limit + 1)

    def failed(self, now: float, rng: random.Random) -> None:
        """Lowers the limit and pauses after a refusal or failure."""
        self.answers = 0
        self.limit = max(SLOW_START_SLOTS, self.limit // 2)
        longest = min(MAX_PAUSE_S, MIN_PAUSE_S * 2**self.failures)
        self.failures = min(self.failures + 1, 16)
        self.paused_until = now + longest * (0.5 + 0.5 * rng.random())


class TargetPool:
    """Targets that this host dispatches to, by name."""

    def __init__(self, *, rng: random.Random):
        self.rng = rng
        self.states: dict[str, TargetState] = {}

    def own(self, owned: list[tuple[str, Target]]) -> None:
        """Sets which targets, with their services, this host dispatches to."""
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
        """Returns the slots of a service's targets that stay."""
        targets = self.of_service(service)
        return sum(s.target.slots for s in targets if not s.leaving)

    def strains(self, now: float) -> tuple[tuple[str, str], ...]:
        """Returns the services whose targets should not get more work.

        A service is strained when this is true of half of its targets.
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

    def free(self, service: str, now: float) -> int:
        """Returns the requests of a service that fit now."""
        return sum(s.free(now) for s in self.of_service(service))

    def pick(
        self,
        service: str,
        now: float,
        *,
        repeatable: bool = True,
        excluded: frozenset[str] = frozenset(),
    ) -> TargetState | None:
        """Returns the best target with room, or nothing if there is none.

        Work that may not be repeated goes to warm targets if one has room;
        work that may be repeated warms the others.

        Args:
            service: Service of the request.
            now: Time on the monotonic clock, in seconds.
            repeatable: Whether the request may be executed more than once.
            excluded: Names of targets to pass over if others have room.
        """
        candidates = [s for s in self.of_service(service) if s.free(now) > 0]

        def rank(state: TargetState) -> tuple:
            return (
                state.target.name in excluded,
                state.is_suspect(now),
                not repeatable and not state.is_warm(),
                -state.free(now) / state.target.slots,
                self.rng.random(),
            )

        return min(candidates, key=rank, default=None)
