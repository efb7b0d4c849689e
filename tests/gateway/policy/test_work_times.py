"""Learnt times of execution."""

import pytest
from sardinewheel_gateway.policy.work_times import Work, WorkTimes

WORK = Work("orders", "status", 0.5)


def test_new_route_takes_its_objective():
    assert WorkTimes().of_route(WORK) == 0.5
    assert not WorkTimes().is_known(WORK)


def test_queue_at_dispatch_does_not_count_as_work():
    times = WorkTimes()
    for queue in (0.0, 1.0, 2.0) * 10:
        times.record(WORK, response_s=0.3 * (1.0 + queue), queue=queue)
    assert times.is_known(WORK)
    assert times.of_route(WORK) == pytest.approx(0.3)


@pytest.mark.parametrize(
    ("response_s", "known_s"), [(0.0, 0.025), (1000.0, 2.0)]
)
def test_false_times_move_an_estimate_only_within_bounds(response_s, known_s):
    times = WorkTimes()
    for _ in range(100):
        times.record(WORK, response_s=response_s, queue=0.0)
    assert times.of_route(WORK) == pytest.approx(known_s)


def test_service_takes_the_mean_of_its_requests():
    times = WorkTimes()
    long = Work("orders", "export", 5.0)
    for _ in range(200):
        times.record(WORK, response_s=0.2, queue=0.0)
        times.record(long, response_s=4.0, queue=0.0)
    assert times.of_service(WORK) == pytest.approx(2.1, abs=0.1)


def test_routes_that_were_removed_are_forgotten():
    times = WorkTimes()
    times.record(WORK, response_s=0.2, queue=0.0)
    times.keep({"other"})
    assert times.of_route(WORK) == WORK.objective_s
