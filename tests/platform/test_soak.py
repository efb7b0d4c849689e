"""Short soak run, and regression runs of seeds that failed before."""

import gevent
import pytest

from tests.platform.soak.soak import Soak

DURATION_S = 6.0
REGRESSION_DURATION_S = 20.0
# With these seeds no host received data from the store for 18 s: the open
# connections of all followers had gone silent, and a feed waited 25 s for a
# response.
SILENT_STORE_SEEDS = (501, 502)


class SlowPath:
    """Records whether the checker takes a target for leaving, and waits."""

    def __init__(self, checker):
        self.checker = checker
        self.was_leaving = []

    def add(self, target):
        self.was_leaving.append(target.name in self.checker.leaving_since)
        gevent.sleep(0.05)

    def remove(self, _port):
        pass

    def close(self):
        pass


def test_requests_are_not_late_at_a_target_that_has_just_started(tmp_path):
    soak = Soak(1, tmp_path, gateways=1, targets=1, has_target_relays=False)
    soak.target_paths = [SlowPath(soak.checker)]
    (target,) = soak.targets
    soak.checker.record_target_leaving(target.name)
    target.crash()
    soak.start_target(target)
    soak._stop_all()
    assert soak.target_paths[0].was_leaving == [False]


def test_invariants_hold_under_faults(tmp_path):
    assert Soak(1, tmp_path).run(DURATION_S) == []


@pytest.mark.parametrize("seed", SILENT_STORE_SEEDS)
def test_regression_seeds_hold(seed, tmp_path):
    soak = Soak(
        seed,
        tmp_path,
        gateways=6,
        regions=2,
        targets=12,
        callers=12,
        has_target_relays=False,
    )
    assert soak.run(REGRESSION_DURATION_S) == []
