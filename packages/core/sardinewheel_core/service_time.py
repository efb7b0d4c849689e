"""How long executions take, learned from those that ended."""

INITIAL_MEAN_S = 0.1
MEAN_SMOOTHING = 0.1
DEVIATION_SMOOTHING = 0.2
DEVIATIONS = 2.0


class ServiceTime:
    """Smoothed mean and mean deviation of the durations of executions.

    Attributes:
        mean_s: Mean, in seconds.
        deviation_s: Mean deviation, in seconds.
        count: Durations seen.

    Examples:
        >>> time = ServiceTime()
        >>> time.observe(1.0)
        >>> time.mean_s, time.likely_s
        (1.0, 2.0)
    """

    def __init__(self):
        self.mean_s = INITIAL_MEAN_S
        self.deviation_s = INITIAL_MEAN_S / 2
        self.count = 0

    def observe(self, duration_s: float) -> None:
        """Learns from one duration, in seconds."""
        self.count += 1
        if self.count == 1:
            self.mean_s = duration_s
            self.deviation_s = duration_s / 2
            return
        error = duration_s - self.mean_s
        self.mean_s += MEAN_SMOOTHING * error
        self.deviation_s += DEVIATION_SMOOTHING * (
            abs(error) - self.deviation_s
        )

    @property
    def likely_s(self) -> float:
        """Seconds within which nearly every execution ends."""
        return self.mean_s + DEVIATIONS * self.deviation_s
