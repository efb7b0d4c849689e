"""Simulated time: what happens next."""

import heapq
from collections.abc import Callable
from itertools import count


class Timeline:
    """Runs actions in the order of their times.

    Attributes:
        now: Simulated time in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Lets an action happen later; equal times keep their order."""
        entry = (self.now + delay_s, next(self.numbers), action)
        heapq.heappush(self.queue, entry)

    def run(self) -> None:
        """Runs until nothing is left to happen."""
        while self.queue:
            self.now, _, action = heapq.heappop(self.queue)
            action()
