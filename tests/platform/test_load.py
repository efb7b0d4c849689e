"""The callers of the tests know when they did not run themselves."""

import time

import gevent

from tests.platform.load import StallWatch

STALL_S = 0.4


def test_only_the_time_in_which_the_process_did_not_run_counts_as_stalled():
    watch = StallWatch()
    gevent.sleep(0.1)
    began = time.monotonic()
    # Lets no other greenlet run.
    time.sleep(STALL_S)
    ended = time.monotonic()
    gevent.sleep(STALL_S)
    assert watch.stalled_s(began, ended) > 0.9 * STALL_S
    assert watch.stalled_s(ended + 0.1, ended + STALL_S) == 0.0
    watch.task.kill()
