"""A retry budget that holds over all hosts, divided without messages."""

from collections import deque
from typing import NamedTuple

RESERVE = 0.7


class RetryBound(NamedTuple):
    """How many retries a service may get from all hosts together.

    Attributes:
        ratio: Retries for each request.
        slack: Retries on top.
        window_s: Span in seconds that both are counted over.
    """

    ratio: float
    slack: float
    window_s: float


class RetryBudget:
    """Grants retries of one service.

    Each host grants by its own requests, and an equal part of the slack. A
    part of both stays unused for hosts that aren't known.

    Attributes:
        bound: The bound over all hosts.
        hosts: How many hosts share the slack.
    """

    def __init__(self, bound: RetryBound):
        self.bound = bound
        self.hosts = 1
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def requested(self, now: float) -> None:
        """Counts a request of a caller."""
        self._expire(now)
        self.requests.append(now)

    def grant(self, now: float) -> bool:
        """Says whether a retry may be sent, and counts it if so."""
        self._expire(now)
        earned = self.bound.ratio * len(self.requests)
        part = self.bound.slack / max(1, self.hosts)
        if len(self.retries) + 1 > RESERVE * (earned + part):
            return False
        self.retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and now - times[0] > self.bound.window_s:
                times.popleft()
