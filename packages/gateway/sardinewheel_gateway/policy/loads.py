"""How busy and how healthy each target is, as this host sees it."""

from typing import NamedTuple

REPORT_AGE_S = 2.0
FIRST_BACKOFF_S = 0.4
MAX_BACKOFF_S = 3.0
SILENT_FAILURES = 2
RECENT_ANSWER_S = 0.5
FAILURE_WEIGHT = 0.15
WORK_WEIGHT = 0.1


class ReportedLoad(NamedTuple):
    """What a target says of its load in an answer.

    Attributes:
        running: Requests that it executes.
        waiting: Requests in its queue.
        slots: Requests that it executes at once.
    """

    running: int
    waiting: int
    slots: int


class HealthNews(NamedTuple):
    """What a host found out about a target, for the other hosts.

    Attributes:
        target_id: The target.
        failures: Failures in a row; 0 if it answers again.
        pause_s: Seconds for which it should be left alone.
    """

    target_id: str
    failures: int
    pause_s: float


class TargetLoad:
    """Load and health of one target.

    Attributes:
        in_flight: Requests of this host that are at the target.
        others: Requests of other hosts there, at the last report.
        reported_at: When that was, in seconds of the steady clock.
        retry_at: When it may be used again after it failed.
        failures: Connection failures in a row.
        error_share: Part of its recent answers that were failures.
        answered_at: When it last answered, on the steady clock.
        told_until: Until when word of another host about it holds.
    """

    def __init__(self):
        self.in_flight = 0
        self.others = 0.0
        self.reported_at = float("-inf")
        self.retry_at = float("-inf")
        self.failures = 0
        self.error_share = 0.0
        self.answered_at = float("-inf")
        self.told_until = float("-inf")

    def report(self, load: ReportedLoad, *, now: float) -> None:
        """Takes a load report; the answered request is still in flight."""
        total = load.running + load.waiting
        self.others = max(0.0, total - (self.in_flight - 1))
        self.reported_at = now

    def estimate(self, now: float) -> float:
        """Returns how many requests the target probably holds."""
        age = now - self.reported_at
        if age >= REPORT_AGE_S:
            return float(self.in_flight)
        return self.in_flight + self.others * (1.0 - age / REPORT_AGE_S)

    def failed(self, *, now: float) -> float:
        """Notes that the target can't be reached; returns the pause."""
        pause = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**self.failures)
        self.failures += 1
        self.retry_at = now + pause
        return pause

    def told(self, news: HealthNews, *, delay: float, now: float) -> None:
        """Takes word of another host.

        Args:
            news: What the host found out.
            delay: Factor on the pause, so that hosts don't try all at once.
            now: Seconds of the steady clock.
        """
        if not news.failures:
            if self.failures and self.in_flight == 0:
                self.failures = 0
            return
        if self.answered_at > now - RECENT_ANSWER_S:
            return
        self.failures = max(self.failures, news.failures)
        self.told_until = now + news.pause_s
        self.retry_at = max(self.retry_at, now + news.pause_s * delay)

    def answered(self, *, is_error: bool, now: float) -> bool:
        """Notes an answer of the target; says whether it had failed."""
        was_down = self.failures > 0
        self.answered_at = now
        self.failures = 0
        self.retry_at = float("-inf")
        self.error_share += FAILURE_WEIGHT * (is_error - self.error_share)
        return was_down

    def is_down(self, now: float) -> bool:
        """Says whether the target can't be used for now.

        After the pause one request at a time finds out whether it is back.
        """
        if not self.failures:
            return False
        return now < self.retry_at or self.in_flight > 0


class LoadBook:
    """Loads of all targets, by id.

    Attributes:
        loads: Load by target id.
        news: What other hosts should know, by target id.
    """

    def __init__(self):
        self.loads: dict[str, TargetLoad] = {}
        self.news: dict[str, HealthNews] = {}

    def unreachable(self, target_id: str, *, now: float) -> None:
        """Notes that no connection to a target could be made."""
        load = self.of(target_id)
        pause_s = load.failed(now=now)
        self._tell(target_id, load, pause_s, now)

    def silent(self, target_id: str, *, now: float) -> None:
        """Notes that a target answered nobody within a request's time.

        One long request is no sign; others hear of a second one in a row.
        """
        load = self.of(target_id)
        pause_s = load.failed(now=now)
        if load.failures >= SILENT_FAILURES:
            self._tell(target_id, load, pause_s, now)

    def answered(self, target_id: str, *, is_error: bool, now: float) -> None:
        """Notes an answer of a target."""
        load = self.of(target_id)
        if load.answered(is_error=is_error, now=now):
            self.news[target_id] = HealthNews(target_id, 0, 0.0)

    def told(self, news: HealthNews, *, delay: float, now: float) -> None:
        """Takes word of another host."""
        self.of(news.target_id).told(news, delay=delay, now=now)

    def take_news(self) -> list[HealthNews]:
        """Returns what other hosts should know, once."""
        news, self.news = self.news, {}
        return list(news.values())

    def _tell(
        self, target_id: str, load: TargetLoad, pause_s: float, now: float
    ) -> None:
        """Leaves news for others, unless another host has just told it."""
        if now >= load.told_until:
            news = HealthNews(target_id, load.failures, pause_s)
            self.news[target_id] = news

    def of(self, target_id: str) -> TargetLoad:
        """Returns the load of a target."""
        load = self.loads.get(target_id)
        if load is None:
            load = self.loads[target_id] = TargetLoad()
        return load

    def forget(self, target_id: str) -> None:
        """Forgets a target that has gone or restarted."""
        self.loads.pop(target_id, None)


class ServiceTimes:
    """Mean time that targets take, by route."""

    def __init__(self):
        self.means_s: dict[str, float] = {}

    def record(self, route: str, took_s: float) -> None:
        """Takes the time from dispatch to answer of one request."""
        mean = self.means_s.get(route, took_s)
        self.means_s[route] = mean + WORK_WEIGHT * (took_s - mean)

    def mean_s(self, route: str, default_s: float) -> float:
        """Returns the mean of a route."""
        return self.means_s.get(route, default_s)
