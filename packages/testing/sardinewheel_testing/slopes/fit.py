"""Straight lines through measurements, by least squares."""

from typing import NamedTuple


class Sample(NamedTuple):
    """One measurement: a size and what it cost."""

    size: float
    cost: float


class Line(NamedTuple):
    """A straight line, and how well it fits.

    Attributes:
        slope: Cost of one more.
        intercept: Cost of none.
        r_squared: Share of the variation that the line explains, 0 to 1.
    """

    slope: float
    intercept: float
    r_squared: float

    def at(self, size: float) -> float:
        """Returns the cost of a size.

        Examples:
            >>> Line(2.0, 1.0, 1.0).at(3)
            7.0
        """
        return self.intercept + self.slope * size


def fit(samples: list[Sample]) -> Line:
    """Fits a line to samples of at least two sizes.

    Examples:
        >>> fit([Sample(1, 3.0), Sample(2, 5.0)])
        Line(slope=2.0, intercept=1.0, r_squared=1.0)
    """
    count = len(samples)
    mean_size = sum(s.size for s in samples) / count
    mean_cost = sum(s.cost for s in samples) / count
    spread = sum((s.size - mean_size) ** 2 for s in samples)
    joint = sum((s.size - mean_size) * (s.cost - mean_cost) for s in samples)
    slope = joint / spread
    intercept = mean_cost - slope * mean_size
    total = sum((s.cost - mean_cost) ** 2 for s in samples)
    rest = sum((s.cost - intercept - slope * s.size) ** 2 for s in samples)
    return Line(slope, intercept, 1.0 - rest / total if total else 1.0)
