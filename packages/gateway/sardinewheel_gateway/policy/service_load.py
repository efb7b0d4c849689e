"""Mean load of a service's targets, by their latest reports.

Answers many hosts that each send a target a request every few seconds under
overload: reports about that target are old, and without another figure it
would count as idle.
"""

import math

# Time after the last report by which the mean counts 1/e.
MEMORY_S = 2.0
REPORT_WEIGHT = 0.1


class ServiceLoad:
    """Mean of the loads that the targets of a service report.

    Attributes:
        mean: Mean of requests at a target, divided by its slots.
        reported_at: Time of the last report, on the monotonic clock.

    Examples:
        >>> load = ServiceLoad()
        >>> load.record(3.0, now=0.0)
        >>> load.expected(0.5, age_s=0.0, now=0.0)
        0.5
        >>> load.expected(0.5, age_s=60.0, now=0.0)
        3.0
        >>> load.expected(0.5, age_s=60.0, now=60.0)
        0.5
    """

    def __init__(self):
        self.mean = 0.0
        self.reported_at = -math.inf

    def record(self, load: float, *, now: float) -> None:
        """Records the load that a target reports."""
        mean = self.at_time(now)
        weight = REPORT_WEIGHT if mean else 1.0
        self.mean = mean + weight * (load - mean)
        self.reported_at = now

    def at_time(self, now: float) -> float:
        """Returns the mean; it tends to 0 without reports."""
        return self.mean * math.exp(-(now - self.reported_at) / MEMORY_S)

    def expected(self, load: float, *, age_s: float, now: float) -> float:
        """Returns the load to expect at a target.

        Args:
            load: Load by the last report of the target.
            age_s: Seconds since that report; the mean counts more with it.
            now: Time on the monotonic clock.
        """
        missing = max(0.0, self.at_time(now) - load)
        return load + missing * min(1.0, age_s / MEMORY_S)
