"""A short run of the soak, and the seeds that ever failed."""

import pytest

from tests.platform.soak.soak import Soak

SECONDS = 6.0
REGRESSION_SECONDS = 20.0
# No host heard the store for 18 s: the open connections of all followers had
# gone silent, and a feed waited 25 s for its answer.
SILENT_TO_ALL = (501, 502)


def test_promises_hold_under_faults(tmp_path):
    assert Soak(1, tmp_path).run(SECONDS) == []


@pytest.mark.parametrize("seed", SILENT_TO_ALL)
def test_seeds_that_failed_once_hold_now(seed, tmp_path):
    soak = Soak(seed, tmp_path, gateways=6, regions=2, targets=12, callers=12)
    assert soak.run(REGRESSION_SECONDS) == []
