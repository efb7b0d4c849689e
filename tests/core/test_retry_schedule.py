"""When refused callers are told to come back."""

import itertools
import random

from sardinewheel_core.retry_schedule import MAX_RETRY_AFTER_S, RetrySchedule


def test_callers_that_cannot_come_back_take_no_place():
    schedule = RetrySchedule()
    rng = random.Random(1)
    for _ in range(500):
        schedule.reserve(100.0, 0.01, rng, deadline=101.0)
    after_s = schedule.reserve(100.0, 0.01, rng, deadline=200.0)
    assert after_s < 1.1


def test_returns_are_one_interval_apart():
    schedule = RetrySchedule()
    rng = random.Random(1)
    after = [
        schedule.reserve(100.0, 0.1, rng, deadline=200.0) for _ in range(20)
    ]
    assert all(a < b for a, b in itertools.pairwise(after))
    assert after[-1] < MAX_RETRY_AFTER_S
