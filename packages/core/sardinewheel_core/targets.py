"""The targets that this host dispatches to, and their room.

In-flight counts are exact, because only one entry host dispatches to a
target. What a target reports about its load is a hint that may lower its
room, never raise it.
"""

import random

from sardinewheel_core.intent import Target

SHED_BACKOFF_S = 0.5
SLOW_START_SLOTS = 1


class TargetState:
    """Room of one target.

    Attributes:
        target: The target.
        service: Service it belongs to.
        in_flight: Requests dispatched and not yet ended.
        limit: Requests that may be in flight now, at most its slots.
        paused_until: Instant before which it gets nothing.
        leaving: Whether it is being emptied.
    """

    def __init__(self, target: Target, service: str):
        self.target = target
        self.service = service
        self.in_flight = 0
        self.limit = float(SLOW_START_SLOTS)
        self.paused_until = 0.0
        self.leaving = False

    def free(self, now: float) -> int:
        """Returns the requests that may be dispatched to it now."""
        if self.leaving or now < self.paused_until:
            return 0
        return max(0, int(self.limit) - self.in_flight)

    def succeeded(self) -> None:
        """Raises the limit after an answer."""
        self.limit = min(float(self.target.slots), self.limit + 1.0)

    def shed(self, now: float) -> None:
        """Lowers the limit after the target refused a request."""
        self.limit = max(1.0, self.limit / 2)
        self.paused_until = now + SHED_BACKOFF_S


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

    def free(self, service: str, now: float) -> int:
        """Returns the requests of a service that fit now."""
        return sum(
            s.free(now) for s in self.states.values() if s.service == service
        )

    def pick(self, service: str, now: float) -> TargetState | None:
        """Returns the target with the most room, or nothing if all are full."""
        candidates = [
            s
            for s in self.states.values()
            if s.service == service and s.free(now) > 0
        ]
        if not candidates:
            return None
        return max(candidates, key=lambda s: (s.free(now), self.rng.random()))
