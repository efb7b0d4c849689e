"""Linear least-squares fit of measurements."""

from typing import NamedTuple


class Sample(NamedTuple):
    """One measurement: a size and its cost."""

    size: float
    cost: float


class Line(NamedTuple):
    """A fitted line and its goodness of fit.

    Attributes:
        slope: Additional cost per unit of size.
        intercept: Cost at size zero.
        r_squared: Coefficient of determination, 0 to 1.
    """

    slope: float
    intercept: float
    r_squared: float

    def cost_at(self, size: float) -> float:
        """Returns the fitted cost at a size.

        Examples:
            >>> Line(2.0, 1.0, 1.0).cost_at(3)
            7.0
        """
        return self.intercept + self.slope * size


def fit(samples: list[Sample]) -> Line:
    """Fits a line to samples of at least two different sizes.

    Examples:
        >>> fit([Sample(1, 3.0), Sample(2, 5.0)])
        Line(slope=2.0, intercept=1.0, r_squared=1.0)
    """
    count = len(samples)
    mean_size = sum(s.size for s in samples) / count
    mean_cost = sum(s.cost for s in samples) / count
    size_variation = sum((s.size - mean_size) ** 2 for s in samples)
    covariation = sum(
        (s.size - mean_size) * (s.cost - mean_cost) for s in samples
    )
    slope = covariation / size_variation
    intercept = mean_cost - slope * mean_size
    cost_variation = sum((s.cost - mean_cost) ** 2 for s in samples)
    residual = sum((s.cost - intercept - slope * s.size) ** 2 for s in samples)
    return Line(
        slope,
        intercept,
        1.0 - residual / cost_variation if cost_variation else 1.0,
    )
