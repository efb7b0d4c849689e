"""A retry budget shared by all hosts without communication."""

from collections import deque
from typing import NamedTuple

GRANTED_SHARE = 0.7


class RetryBound(NamedTuple):
    """Limit on the retries to a service from all hosts together.

    Attributes:
        ratio: Retries allowed per request.
        slack: Additional retries allowed.
        window_s: Window in seconds over which requests and retries count.
    """

    ratio: float
    slack: float
    window_s: float


class RetryBudget:
    """Grants retries of one service.

    Each host grants retries in proportion to its own requests, plus an equal
    part of the slack. Only the share ``GRANTED_SHARE`` of both is granted; the
    rest is left for hosts that this one does not know.

    Attributes:
        bound: The bound over all hosts.
        hosts: Number of hosts that share the slack.
        requests: Times of the requests in the window.
        retries: Times of the retries in the window.
    """

    def __init__(self, bound: RetryBound):
        self.bound = bound
        self.hosts = 1
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Counts a request of a caller."""
        self._expire(now)
        self.requests.append(now)

    def withdraw_request(self) -> None:
        """Takes back the last request, which another host counts instead."""
        if self.requests:
            self.requests.pop()

    def try_acquire(self, now: float) -> bool:
        """Returns whether a retry may be sent, and counts it if so."""
        self._expire(now)
        earned = self.bound.ratio * len(self.requests)
        slack_part = self.bound.slack / max(1, self.hosts)
        if len(self.retries) + 1 > GRANTED_SHARE * (earned + slack_part):
            return False
        self.retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and now - times[0] > self.bound.window_s:
                times.popleft()
