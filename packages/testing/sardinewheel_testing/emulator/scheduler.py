"""Event scheduler in simulated time."""

import heapq
from collections.abc import Callable
from itertools import count


class Scheduler:
    """Runs scheduled actions in order of simulated time.

    Attributes:
        now: Simulated time in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = count()

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action; those for the same time run in call order."""
        entry = (self.now + delay_s, next(self.sequence), action)
        heapq.heappush(self.queue, entry)

    def run(self) -> None:
        """Runs until no action is scheduled."""
        while self.queue:
            self.now, _, action = heapq.heappop(self.queue)
            action()
