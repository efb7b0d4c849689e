"""Checks that hosts keep to the limit that a target names."""

from collections import deque

CONVERGENCE_S = 4.0
WINDOW_S = 4.0
TOLD_DELAY_S = 0.5
EXCESS = 1.5
SLACK = 5


class NamedLimit:
    """Requests that a target receives while it names a limit.

    Attributes:
        limit_per_s: Requests per second that the target accepts from all hosts.
        named_at: Time at which the target first named it; ``None`` before.
        told_at: Time of the first response that named it, by host.
        arrivals: Times of the requests in the last window from hosts that had
            been told.
        arrival_count: Number of requests from any host since ``named_at``.
        worst: Largest number of requests from told hosts in a window.
    """

    def __init__(self, limit_per_s):
        self.limit_per_s = limit_per_s
        self.named_at = None
        self.told_at = {}
        self.arrivals = deque()
        self.arrival_count = 0
        self.worst = 0

    @property
    def allowed(self):
        """Requests that told hosts may send in a window."""
        return EXCESS * self.limit_per_s * WINDOW_S + SLACK

    def record_response(self, host, now):
        """Records that a response to a host names the limit."""
        if self.named_at is None:
            self.named_at = now
        self.told_at.setdefault(host, now)

    def excuse(self, host):
        """Leaves a host out until the next response that tells it."""
        self.told_at.pop(host, None)

    def record_arrival(self, host, now):
        """Records a request; returns whether it exceeds what is allowed."""
        self.arrival_count += 1
        if now - self.told_at.get(host, now) < TOLD_DELAY_S:
            return False
        self.arrivals.append(now)
        while now - self.arrivals[0] > WINDOW_S:
            self.arrivals.popleft()
        if now - self.named_at < CONVERGENCE_S:
            return False
        self.worst = max(self.worst, len(self.arrivals))
        return len(self.arrivals) > self.allowed
