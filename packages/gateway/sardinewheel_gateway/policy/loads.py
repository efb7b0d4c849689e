"""Load and health of each target as observed by this host.

Answers targets whose speed changes many times a second: a reported slowdown
counts less the older it is.
"""

import math
from typing import NamedTuple

from sardinewheel_gateway.policy import load_news
from sardinewheel_gateway.policy.load_news import LoadItem, LoadNews

MAX_REPORT_AGE_S = 2.0
# Time after which a reported slowdown counts 1/e.
SLOWDOWN_MEMORY_S = 0.5
# Bounds on a reported slowdown, which may be false.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 5.0
FIRST_BACKOFF_S = 0.4
MAX_BACKOFF_S = 3.0
MAX_BACKOFF_DOUBLINGS = 8
ERROR_SHARE_WEIGHT = 0.15


class ReportedLoad(NamedTuple):
    """Load that a target reports in a response.

    Attributes:
        running: Requests in execution.
        waiting: Requests in its queue.
        slots: Requests that it executes concurrently.
        slowdown: Time that work takes there at this moment, relative to the
            usual time.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class TargetLoad:
    """Load and health of one target.

    Attributes:
        in_flight: Requests of this host that await a response of the target.
        others_in_flight: Requests of other hosts at the last report.
        sent_at: Times at which this host sent its latest requests.
        others_sent_at: Times at which other hosts sent theirs.
        slowdown: Slowdown at the last report to this host.
        slowdown_reported_at: Time of that report.
        reported_at: Time of the last report to any host, in seconds of the
            monotonic clock.
        retry_at: Time from which it may be tried again after a failure.
        failures: Consecutive connection failures.
        error_share: Moving average of the share of errors among its
            responses.
        last_response_at: Time of its last response.
        paused_until: Time until which it wants no requests of this host.
    """

    def __init__(self):
        self.in_flight = 0
        self.others_in_flight = 0.0
        self.sent_at: list[float] = []
        self.others_sent_at: list[float] = []
        self.slowdown = 1.0
        self.slowdown_reported_at = float("-inf")
        self.reported_at = float("-inf")
        self.retry_at = float("-inf")
        self.failures = 0
        self.error_share = 0.0
        self.last_response_at = float("-inf")
        self.paused_until = float("-inf")

    def record_load_report(
        self, load: ReportedLoad, *, now: float, was_executed: bool = True
    ) -> None:
        """Records a load report.

        The request whose response carries it still counts as in flight, and
        in the report if the target executed it.
        """
        own = self.in_flight - (not was_executed)
        total = load.running + load.waiting
        self.others_in_flight = max(0.0, total - own)
        self.slowdown = max(MIN_SLOWDOWN, min(MAX_SLOWDOWN, load.slowdown))
        self.slowdown_reported_at = now
        self.reported_at = now

    def record_dispatch(self, *, now: float) -> None:
        """Records that this host sends a request to the target."""
        self.sent_at = _after(now - MAX_REPORT_AGE_S, self.sent_at)
        self.sent_at.append(now)

    def merge(self, item: LoadItem, *, now: float) -> None:
        """Applies what another host has observed."""
        if item.at <= self.reported_at:
            return
        if item.requests is None:
            oldest = max(self.reported_at, now - MAX_REPORT_AGE_S)
            self.others_sent_at = _after(oldest, self.others_sent_at)
            self.others_sent_at.append(item.at)
            return
        own = self.in_flight - len(_after(item.at, self.sent_at))
        self.others_in_flight = max(0.0, item.requests - max(0, own))
        self.reported_at = item.at

    def slowdown_at(self, now: float) -> float:
        """Returns the slowdown to expect, which tends to 1 with age.

        Examples:
            >>> load = TargetLoad()
            >>> load.record_load_report(ReportedLoad(1, 0, 3, 2.5), now=1.0)
            >>> load.slowdown_at(1.0), load.slowdown_at(9.0) < 1.01
            (2.5, True)
        """
        age_s = max(0.0, now - self.slowdown_reported_at)
        return 1.0 + (self.slowdown - 1.0) * math.exp(
            -age_s / SLOWDOWN_MEMORY_S
        )

    def estimate(self, now: float) -> float:
        """Returns the estimated number of requests at the target."""
        oldest = max(self.reported_at, now - MAX_REPORT_AGE_S)
        known = self.in_flight + len(_after(oldest, self.others_sent_at))
        age = now - self.reported_at
        if age >= MAX_REPORT_AGE_S:
            return float(known)
        return known + self.others_in_flight * (1.0 - age / MAX_REPORT_AGE_S)

    def record_failure(self, *, now: float) -> float:
        """Records a connection failure; returns the back-off in seconds."""
        doublings = min(MAX_BACKOFF_DOUBLINGS, self.failures)
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**doublings)
        self.failures += 1
        self.retry_at = now + backoff_s
        return backoff_s

    def record_response(self, *, is_error: bool, now: float) -> None:
        """Records a response of the target."""
        self.last_response_at = now
        self.failures = 0
        self.retry_at = float("-inf")
        self.error_share += ERROR_SHARE_WEIGHT * (is_error - self.error_share)

    def record_pause(self, pause_s: float, *, now: float) -> None:
        """Records that the target wants no requests for some time."""
        self.paused_until = max(self.paused_until, now + pause_s)

    def pause_left_s(self, now: float) -> float:
        """Returns the seconds until the target wants requests again."""
        return max(0.0, self.paused_until - now)

    def is_down(self, now: float) -> bool:
        """Returns whether the target must not be used now.

        After the back-off, one request at a time probes whether it recovered.
        """
        if not self.failures:
            return False
        return now < self.retry_at or self.in_flight > 0


class LoadTable:
    """Loads of all targets.

    Attributes:
        loads: Loads by target id.
        by_key: The same loads by the key that stands for the id in messages.
        news: Observations to tell other hosts.
    """

    def __init__(self):
        self.loads: dict[str, TargetLoad] = {}
        self.by_key: dict[int, TargetLoad] = {}
        self.news = LoadNews()

    def of(self, target_id: str) -> TargetLoad:
        """Returns the load of a target."""
        load = self.loads.get(target_id)
        if load is None:
            load = self.loads[target_id] = TargetLoad()
            self.by_key[load_news.target_key(target_id)] = load
        return load

    def record_dispatch(self, target_id: str, *, now: float) -> None:
        """Records a request that this host sends."""
        self.of(target_id).record_dispatch(now=now)
        key = load_news.target_key(target_id)
        self.news.add(LoadItem(key, now, None))

    def record_load_report(
        self,
        target_id: str,
        load: ReportedLoad,
        *,
        now: float,
        was_executed: bool,
    ) -> None:
        """Records the load report in a response."""
        self.of(target_id).record_load_report(
            load, now=now, was_executed=was_executed
        )
        left = max(0, load.running + load.waiting - was_executed)
        self.news.add(LoadItem(load_news.target_key(target_id), now, left))

    def merge(self, data: bytes, *, now: float) -> None:
        """Applies what another host tells of targets known here.

        Raises:
            ValueError: It is not encoded as news.
        """
        for item in load_news.unpack(data, now):
            load = self.by_key.get(item.target_key)
            if load is not None:
                load.merge(item, now=now)

    def copy(self) -> "LoadTable":
        """Returns a table of the same loads, which adds none to this one."""
        copied = LoadTable()
        copied.loads = dict(self.loads)
        return copied

    def forget_failures(self) -> None:
        """Forgets the connection failures of all targets."""
        for load in self.loads.values():
            load.failures = 0
            load.retry_at = float("-inf")

    def forget(self, target_id: str) -> None:
        """Drops the state of a target that has left or restarted."""
        self.loads.pop(target_id, None)
        self.by_key.pop(load_news.target_key(target_id), None)


def _after(at: float, times: list[float]) -> list[float]:
    """Returns the later ones of the given times."""
    return [time for time in times if time > at]
