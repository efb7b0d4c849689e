"""Requests that wait for room, most urgent first.

A request waits only while it can still be served before its deadline. What
cannot is refused at once, with the time after which there should be room.
"""

import random
from collections import deque
from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinewheel_core.exchange import Exchange

MAX_WAIT_S = 2.0
MAX_WAITING = 64
SERVICE_TIME_SMOOTHING = 0.1
INITIAL_SERVICE_TIME_S = 0.1
RETRY_SPREAD = 0.5
MIN_RETRY_AFTER_S = 0.2


class WaitingLine:
    """Requests of one service that wait on this host.

    Attributes:
        lines: Waiting exchanges by priority, each first come first served.
        service_time_s: Smoothed duration of an execution.
    """

    def __init__(self):
        self.lines: dict[int, deque[Exchange]] = {}
        self.service_time_s = INITIAL_SERVICE_TIME_S

    def __len__(self) -> int:
        return sum(len(line) for line in self.lines.values())

    def observe(self, duration_s: float) -> None:
        """Learns from the duration of an execution."""
        difference = duration_s - self.service_time_s
        self.service_time_s += SERVICE_TIME_SMOOTHING * difference

    def expected_wait_s(self, priority: int, slots: int) -> float:
        """Returns the wait of a request that joins now, in seconds."""
        ahead = sum(
            len(line) for rank, line in self.lines.items() if rank <= priority
        )
        return self.service_time_s * (ahead + 1) / max(1, slots)

    def push(self, exchange: "Exchange") -> None:
        """Adds an exchange at the end of its priority."""
        line = self.lines.setdefault(exchange.priority, deque())
        line.append(exchange)

    def remove(self, exchange: "Exchange") -> None:
        """Takes an exchange out, wherever it stands."""
        line = self.lines.get(exchange.priority)
        if line is not None and exchange in line:
            line.remove(exchange)

    def in_order(self) -> Iterator["Exchange"]:
        """Yields the waiting exchanges, most urgent first."""
        for priority in sorted(self.lines):
            yield from list(self.lines[priority])

    def least_urgent(self) -> "Exchange | None":
        """Returns the last exchange of the least urgent priority."""
        for priority in sorted(self.lines, reverse=True):
            if self.lines[priority]:
                return self.lines[priority][-1]
        return None

    def retry_after_s(self, slots: int, rng: random.Random) -> float:
        """Returns when a refused caller should come back, spread out."""
        backlog = self.service_time_s * (len(self) + 1) / max(1, slots)
        base = max(MIN_RETRY_AFTER_S, backlog)
        return base * (1 + RETRY_SPREAD * rng.random())
