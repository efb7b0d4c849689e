"""Running estimate of the execution time of a service's requests."""

INITIAL_MEAN_S = 0.1
MEAN_SMOOTHING = 0.1
DEVIATION_SMOOTHING = 0.2
DEVIATION_MULTIPLIER = 2.0


class ServiceTime:
    """Exponentially smoothed mean and mean deviation of execution times.

    Attributes:
        mean_s: Smoothed mean, in seconds.
        deviation_s: Smoothed mean deviation, in seconds.
        count: Number of durations observed.

    Examples:
        >>> time = ServiceTime()
        >>> time.observe(1.0)
        >>> time.mean_s, time.upper_estimate_s
        (1.0, 2.0)
    """

    def __init__(self):
        self.mean_s = INITIAL_MEAN_S
        self.deviation_s = INITIAL_MEAN_S / 2
        self.count = 0

    def observe(self, duration_s: float) -> None:
        """Updates the estimate with one duration, in seconds."""
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
    def upper_estimate_s(self) -> float:
        """Time within which nearly every execution ends, in seconds."""
        return self.mean_s + DEVIATION_MULTIPLIER * self.deviation_s
