"""What targets announce, and checks that hosts act on it."""

from collections import deque

CONVERGENCE_S = 4.0
WINDOW_S = 4.0
TOLD_DELAY_S = 0.5
EXCESS = 1.5
SLACK = 5
DRAIN_DEADLINE_S = 2.5
MAX_REQUEST_S = 1.5
MAX_REQUESTS_IN_PAUSE = 2


class Announced:
    """Something that a target announces in its responses.

    Attributes:
        headers: Headers that announce it, each with its line end.
        refuses: Whether the target refuses all requests meanwhile.
        told_at: Time of a response that announced it, by host.
        is_excused: Whether a host has just restarted, was paused or cut off.
    """

    headers = ""
    refuses = False

    def __init__(self, is_excused=lambda host: False):
        self.told_at = {}
        self.is_excused = is_excused

    def record_response(self, host, now):
        """Records that a response to a host announces it."""
        self.told_at.setdefault(host, now)

    def record_arrival(self, host, now):
        """Records a request; returns what is wrong with it, if anything."""
        if self.is_excused(host):
            self.told_at.pop(host, None)
        if host not in self.told_at:
            return None
        return self._check(host, now, now - self.told_at[host])

    def _check(self, host, now, told_s):
        raise NotImplementedError


class NamedLimit(Announced):
    """A limit that hosts have to keep together.

    Attributes:
        limit_per_s: Requests per second that the target accepts from all hosts.
        named_at: Time at which the target first named it; ``None`` before.
        arrivals: Times of the requests in the last window from hosts that had
            been told.
        worst: Largest number of requests from told hosts in a window.
    """

    def __init__(self, limit_per_s, **options):
        super().__init__(**options)
        self.limit_per_s = limit_per_s
        self.headers = f"Server-Limit: {limit_per_s}\r\n"
        self.named_at = None
        self.arrivals = deque()
        self.worst = 0

    @property
    def allowed(self):
        """Requests that told hosts may send in a window."""
        return EXCESS * self.limit_per_s * WINDOW_S + SLACK

    def record_response(self, host, now):
        """Records that a response to a host names the limit."""
        if self.named_at is None:
            self.named_at = now
        super().record_response(host, now)

    def _check(self, host, now, told_s):
        if told_s < TOLD_DELAY_S:
            return None
        self.arrivals.append(now)
        while now - self.arrivals[0] > WINDOW_S:
            self.arrivals.popleft()
        if now - self.named_at < CONVERGENCE_S:
            return None
        count = len(self.arrivals)
        self.worst = max(self.worst, count)
        if count <= self.allowed:
            return None
        return f"{count} requests in {WINDOW_S} s, allowed {self.allowed}"


class Leaving(Announced):
    """The announcement that the target is about to leave."""

    headers = "Server-Leaving: 1\r\n"

    def _check(self, host, now, told_s):
        if told_s <= DRAIN_DEADLINE_S + MAX_REQUEST_S:
            return None
        return f"arrived {told_s:.2f} s after host {host} was told of leaving"


class Pause(Announced):
    """Refusals of all requests that ask each host to wait.

    Attributes:
        pause_s: Seconds that a host has to wait after a refusal.
        arrivals: Requests that arrived while their host had to wait, by host.
    """

    refuses = True

    def __init__(self, pause_s, **options):
        super().__init__(**options)
        self.pause_s = pause_s
        self.headers = f"Retry-After: {pause_s}\r\n"
        self.arrivals = {}

    def _check(self, host, now, told_s):
        if told_s > self.pause_s:
            del self.told_at[host]
            self.arrivals.pop(host, None)
            return None
        if told_s < TOLD_DELAY_S:
            return None
        self.arrivals[host] = self.arrivals.get(host, 0) + 1
        if self.arrivals[host] <= MAX_REQUESTS_IN_PAUSE:
            return None
        return f"host {host} sent {self.arrivals[host]} requests in a pause"
