"""Estimates of finishing, and refusals by them."""

import pytest
from sardinewheel_gateway.policy.accounts import Account
from sardinewheel_gateway.policy.finish_estimate import FinishEstimate
from sardinewheel_gateway.policy.loads import ReportedLoad
from sardinewheel_gateway.policy.placed import Placed, Refused
from sardinewheel_gateway.policy.room import work_of

from tests.gateway.policy.test_placement import (
    make_placer,
    placement_request,
    report_load,
)

NOW = 1.0
SLOTS = 3


def learn(placer, request, work_s):
    """Makes the work of a request's route known."""
    for _ in range(100):
        placer.room.work_times.record(
            work_of(request), response_s=work_s, queue=0.0
        )


@pytest.fixture
def placer():
    placer = make_placer()
    placer.room.is_dividing = True
    learn(placer, placement_request(), 0.3)
    return placer


def fill(placer, requests, slowdown=1.0):
    for number in range(6):
        report_load(placer, f"t{number}", requests, now=NOW)
        placer.loads.of(f"t{number}").slowdown = slowdown


def test_queue_of_long_requests_lasts_longer():
    fields = {"load": 2.0, "slots": SLOTS, "slowdown": 1.0, "work_s": 0.2}
    short = FinishEstimate.of(**fields, service_work_s=0.2)
    long = FinishEstimate.of(**fields, service_work_s=4.0)
    assert long.wait_s == pytest.approx(20 * short.wait_s)
    assert long.work_s == short.work_s


def test_request_that_cannot_finish_in_time_is_refused_at_once(placer):
    fill(placer, 6)
    request = placement_request(is_urgent=True)
    in_time = request._replace(deadline=NOW + 0.8)
    too_late = request._replace(deadline=NOW + 0.4)
    assert isinstance(placer.place(in_time, NOW), Placed)
    refused = placer.place(too_late, NOW)
    assert refused.reason == "deadline-unreachable"
    assert 0.1 <= refused.retry_after_s <= 1.0


def test_short_deadline_is_no_reason_before_the_work_is_known():
    placer = make_placer()
    fill(placer, 6)
    request = placement_request()._replace(deadline=NOW + 0.1)
    assert isinstance(placer.place(request, NOW), Placed)


def test_target_that_works_slowly_now_is_passed_over_while_it_does(placer):
    first = placer.place(placement_request(), NOW).target.record.target_id
    report_load(placer, first, SLOTS, now=NOW)
    placer.loads.of(first).slowdown = 2.5
    second = placer.place(placement_request(), NOW)
    assert second.target.record.target_id != first
    later = placer.place(placement_request(), NOW + 1.0)
    assert later.target.record.target_id == first


@pytest.mark.parametrize("slowdown", [0.0, 1e9])
def test_false_slowdown_is_bounded(placer, slowdown):
    load = placer.loads.of("t0")
    load.record_load_report(ReportedLoad(1, 0, SLOTS, slowdown), now=NOW)
    assert 0.5 <= load.slowdown_at(NOW) <= 5.0


def test_hot_account_is_refused_where_others_are_admitted(placer):
    request = placement_request()
    hot, usual = Account("hot"), Account("usual")
    for number in range(40):
        account = hot if number % 8 else usual
        placer.room.record_decision(
            request._replace(account=account), NOW, is_admitted=number % 4 > 0
        )
    fill(placer, 6)
    refused = placer.place(request._replace(account=hot), NOW)
    assert isinstance(refused, Refused)
    assert isinstance(
        placer.place(request._replace(account=usual), NOW), Placed
    )


def test_returns_of_refused_callers_are_spread_over_the_drain_time(placer):
    fill(placer, 9)
    waits_s = [
        placer.place(placement_request(), NOW).retry_after_s for _ in range(50)
    ]
    assert max(waits_s) > 2 * min(waits_s)


def test_old_report_counts_as_the_mean_of_the_service_under_overload(placer):
    mean_load = placer.room.service_load("orders")
    mean_load.record(3.0, now=NOW)
    assert isinstance(placer.place(placement_request(), NOW), Refused)
    fill(placer, 1)
    assert isinstance(placer.place(placement_request(), NOW), Placed)


def test_requests_are_admitted_again_without_reports(placer):
    placer.room.service_load("orders").record(3.0, now=NOW)
    later = NOW + 2.0
    assert isinstance(placer.place(placement_request(), later), Placed)


def test_timeouts_lengthen_an_estimate_that_counted_quick_ones_only(placer):
    work = work_of(placement_request())
    times = placer.room.work_times
    times.record_lower_bound(work, waited_s=0.1, queue=0.0)
    assert times.of_route(work) == pytest.approx(0.3)
    times.record_lower_bound(work, waited_s=1.2, queue=0.0)
    assert times.of_route(work) > 0.3


def test_without_accounts_only_the_usual_bound_on_load_applies(placer):
    placer.room.is_dividing = False
    fill(placer, 6)
    hopeless = placement_request(is_urgent=True)._replace(deadline=NOW + 0.4)
    assert isinstance(placer.place(hopeless, NOW), Placed)
    assert not placer.room.route_shares
    fill(placer, 4 * SLOTS)
    refused = placer.place(placement_request(), NOW)
    assert refused.reason == "overload"
