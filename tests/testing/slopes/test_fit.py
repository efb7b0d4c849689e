"""Tests of the linear fit."""

import pytest
from sardinewheel_testing.slopes.fit import Sample, fit


def test_fit_of_collinear_points_is_exact():
    line = fit([Sample(x, 3.0 * x + 2.0) for x in (1, 10, 100)])
    assert line.slope == pytest.approx(3.0)
    assert line.intercept == pytest.approx(2.0)
    assert line.r_squared == pytest.approx(1.0)


def test_scatter_lowers_r_squared():
    line = fit([Sample(1, 1.0), Sample(2, 9.0), Sample(3, 2.0)])
    assert line.r_squared < 0.5
