"""Retry delays that refused callers are answered with."""

import itertools
import random

from sardinewheel_core.retry_schedule import MAX_RETRY_AFTER_S, RetrySchedule


def test_callers_whose_deadline_passes_first_reserve_no_slot():
    schedule = RetrySchedule()
    rng = random.Random(1)
    for _ in range(500):
        schedule.reserve(100.0, 0.01, rng, deadline=101.0)
    after_s = schedule.reserve(100.0, 0.01, rng, deadline=200.0)
    assert after_s < 1.1


def test_retry_delays_increase_and_stay_below_the_maximum():
    schedule = RetrySchedule()
    rng = random.Random(1)
    after = [
        schedule.reserve(100.0, 0.1, rng, deadline=200.0) for _ in range(20)
    ]
    assert all(a < b for a, b in itertools.pairwise(after))
    assert after[-1] < MAX_RETRY_AFTER_S
