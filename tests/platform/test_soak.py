"""A short run of the soak, and the seeds that ever failed."""

import pytest

from tests.platform.soak.soak import Soak

SECONDS = 6.0
# Seeds that failed once; the comment says why.
REGRESSIONS: tuple[int, ...] = ()


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_promises_hold_under_faults(seed, tmp_path):
    assert Soak(seed, tmp_path).run(SECONDS) == []
