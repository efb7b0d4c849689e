"""Lines through measurements."""

import pytest
from sardinewheel_testing.slopes.fit import Sample, fit


def test_line_through_points_on_a_line():
    line = fit([Sample(x, 3.0 * x + 2.0) for x in (1, 10, 100)])
    assert line.slope == pytest.approx(3.0)
    assert line.intercept == pytest.approx(2.0)
    assert line.r_squared == pytest.approx(1.0)


def test_scatter_lowers_the_fit():
    line = fit([Sample(1, 1.0), Sample(2, 9.0), Sample(3, 2.0)])
    assert line.r_squared < 0.5
