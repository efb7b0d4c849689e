"""Measures a rate over the recent past in constant space."""

import math

AVERAGING_S = 0.7


class RecentRate:
    """An exponentially weighted rate of events.

    Attributes:
        weight: Weighted number of events at ``updated_at``.
        updated_at: Time of the last event.

    Examples:
        >>> rate = RecentRate()
        >>> for tenths in range(100):
        ...     rate.add(tenths / 10)
        >>> round(rate.per_s(9.9))
        11
    """

    def __init__(self):
        self.weight = 0.0
        self.updated_at = float("-inf")

    def add(self, now: float) -> None:
        """Counts an event."""
        self.weight = self.count(now) + 1.0
        self.updated_at = now

    def count(self, now: float) -> float:
        """Returns the weighted number of events."""
        return self.weight * math.exp((self.updated_at - now) / AVERAGING_S)

    def per_s(self, now: float) -> float:
        """Returns the events per second."""
        return self.count(now) / AVERAGING_S
