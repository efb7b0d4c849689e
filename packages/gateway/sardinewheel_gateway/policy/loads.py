"""How busy and how healthy each target is, as this host sees it."""

from typing import NamedTuple

REPORT_AGE_S = 2.0
FIRST_BACKOFF_S = 0.4
MAX_BACKOFF_S = 3.0
FAILURE_WEIGHT = 0.15


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


class TargetLoad:
    """Load and health of one target.

    Attributes:
        in_flight: Requests of this host that are at the target.
        others_in_flight: Requests of other hosts there, at the last report.
        reported_at: When that was, in seconds of the steady clock.
        retry_at: When it may be used again after it failed.
        failures: Connection failures in a row.
        error_share: Part of its recent answers that were failures.
        answered_at: When it last answered, on the steady clock.
    """

    def __init__(self):
        self.in_flight = 0
        self.others_in_flight = 0.0
        self.reported_at = float("-inf")
        self.retry_at = float("-inf")
        self.failures = 0
        self.error_share = 0.0
        self.answered_at = float("-inf")

    def report(self, load: ReportedLoad, *, now: float) -> None:
        """Takes a load report; the answered request is still in flight."""
        total = load.running + load.waiting
        self.others_in_flight = max(0.0, total - (self.in_flight - 1))
        self.reported_at = now

    def estimate(self, now: float) -> float:
        """Returns how many requests the target probably holds."""
        age = now - self.reported_at
        if age >= REPORT_AGE_S:
            return float(self.in_flight)
        return self.in_flight + self.others_in_flight * (
            1.0 - age / REPORT_AGE_S
        )

    def failed(self, *, now: float) -> float:
        """Notes that the target can't be reached; returns the pause."""
        pause = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**self.failures)
        self.failures += 1
        self.retry_at = now + pause
        return pause

    def answered(self, *, is_error: bool, now: float) -> None:
        """Notes an answer of the target."""
        self.answered_at = now
        self.failures = 0
        self.retry_at = float("-inf")
        self.error_share += FAILURE_WEIGHT * (is_error - self.error_share)

    def is_down(self, now: float) -> bool:
        """Says whether the target can't be used for now.

        After the pause one request at a time finds out whether it is back.
        """
        if not self.failures:
            return False
        return now < self.retry_at or self.in_flight > 0


class LoadTable:
    """Loads of all targets, by id."""

    def __init__(self):
        self.loads: dict[str, TargetLoad] = {}

    def of(self, target_id: str) -> TargetLoad:
        """Returns the load of a target."""
        load = self.loads.get(target_id)
        if load is None:
            load = self.loads[target_id] = TargetLoad()
        return load

    def forget(self, target_id: str) -> None:
        """Forgets a target that has gone or restarted."""
        self.loads.pop(target_id, None)
