"""Bounds the requests that a cold target receives from all hosts together.

Only a few hosts, the warming hosts of the target, send to a cold target. They
are computed from the target's id and the known hosts, without communication,
and each keeps to its part of the bound. The bound is further divided by
``VIEW_DIVERGENCE``: hosts that know different sets of hosts compute different
warming hosts, so that there are more of them.
"""

from collections import deque
from typing import NamedTuple

from sardinewheel_gateway.policy import ranking

WARMING_HOSTS = 2
VIEW_DIVERGENCE = 2
WINDOW_S = 1.1


class ColdBound(NamedTuple):
    """Requests that a cold target may receive per second, from all hosts.

    Attributes:
        excess: Factor on the rate that the target can handle.
        slack: Additional requests.
    """

    excess: float
    slack: float


class ColdAdmission:
    """Admits requests to cold targets.

    Attributes:
        host: Name of this host.
        bound: Bound over all hosts.
        hosts: Names of all known hosts.
        sent: Times of recent requests by target id.
        is_warming_host: Cached result of ``_is_warming_host`` by target id.
    """

    def __init__(self, host: str, bound: ColdBound):
        self.host = host
        self.bound = bound
        self.hosts: tuple[str, ...] = (host,)
        self.sent: dict[str, deque[float]] = {}
        self.is_warming_host: dict[str, bool] = {}

    def set_hosts(self, hosts: tuple[str, ...]) -> None:
        """Sets the hosts from which warming hosts are chosen."""
        if hosts != self.hosts:
            self.hosts = hosts
            self.is_warming_host.clear()

    def admits(self, target_id: str, rate_per_s: float, now: float) -> bool:
        """Returns whether this host may send a request to a cold target now.

        Args:
            target_id: Id of the target.
            rate_per_s: Requests per second that it can handle.
            now: Seconds of the monotonic clock.
        """
        if not self._is_warming_host(target_id):
            return False
        sent = self.sent.get(target_id)
        if sent is None:
            return True
        while sent and now - sent[0] > WINDOW_S:
            sent.popleft()
        return len(sent) < self._quota(rate_per_s)

    def record_dispatch(self, target_id: str, now: float) -> None:
        """Records that a request was sent to a target that may be cold."""
        sent = self.sent.setdefault(target_id, deque(maxlen=64))
        sent.append(now)

    def copy(self) -> "ColdAdmission":
        """Returns a copy whose changes leave this one as it is."""
        copied = ColdAdmission(self.host, self.bound)
        copied.hosts = self.hosts
        copied.sent = {x: sent.copy() for x, sent in self.sent.items()}
        copied.is_warming_host = dict(self.is_warming_host)
        return copied

    def forget(self, target_id: str) -> None:
        """Drops the state of a target that has left."""
        self.sent.pop(target_id, None)
        self.is_warming_host.pop(target_id, None)

    def _quota(self, rate_per_s: float) -> int:
        total = rate_per_s * self.bound.excess + self.bound.slack
        return max(1, int(total / (WARMING_HOSTS * VIEW_DIVERGENCE)))

    def _is_warming_host(self, target_id: str) -> bool:
        is_warming = self.is_warming_host.get(target_id)
        if is_warming is None:
            order = ranking.ranked(target_id, self.hosts)
            is_warming = self.host in order[:WARMING_HOSTS]
            self.is_warming_host[target_id] = is_warming
        return is_warming
