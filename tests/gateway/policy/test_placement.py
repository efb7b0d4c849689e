"""Placement: preferred targets first, then spare ones, then refusal."""

import random

import pytest
from sardinewheel_gateway.policy.announcements import AnnouncementTable
from sardinewheel_gateway.policy.cold_admission import ColdAdmission, ColdBound
from sardinewheel_gateway.policy.limit_admission import LimitAdmission
from sardinewheel_gateway.policy.loads import LoadTable, ReportedLoad
from sardinewheel_gateway.policy.placed import Placed, Refused
from sardinewheel_gateway.policy.placement import Placer
from sardinewheel_gateway.policy.placement_request import PlacementRequest
from sardinewheel_gateway.policy.targets import TargetTable

from tests.gateway.policy.test_routes import route
from tests.gateway.policy.test_targets import record

REGIONS = {"north-a": "north", "south-a": "south"}


def make_placer(count=6, **fields):
    target_table = TargetTable()
    for n in range(count):
        target_table.put(record(f"t{n}", **fields), now=0.0)
    return Placer(
        target_table=target_table,
        loads=LoadTable(),
        announcements=AnnouncementTable(),
        limit_admission=LimitAdmission("host-1", "north-a", ()),
        cold_admission=ColdAdmission("host-1", ColdBound(1.5, 5.0)),
        regions=REGIONS,
        rng=random.Random(7),
    )


def placement_request(key="k", tried=(), is_urgent=False, **fields):
    return PlacementRequest(
        "orders", route(**fields), key, is_urgent, frozenset(tried)
    )


def report_load(placer, target_id, requests, now=1.0):
    """Reports what remains at a target after a response."""
    load = placer.loads.of(target_id)
    load.in_flight = 1
    running = min(requests + 1, 3)
    load.record_load_report(
        ReportedLoad(running, requests + 1 - running, 3), now=now
    )
    load.in_flight = 0


@pytest.fixture
def placer_and_targets():
    placer = make_placer()
    chosen = placer.objects.of("orders").preference(
        "k", {f"t{n}": 3 for n in range(6)}
    )
    return placer, chosen.first, chosen.second


def test_object_goes_to_its_first_target_while_that_has_capacity(
    placer_and_targets,
):
    placer, first, _ = placer_and_targets
    report_load(placer, first, 3)
    assert (
        placer.place(placement_request(), 1.0).target.record.target_id == first
    )


def test_long_queue_sends_request_to_second_target(placer_and_targets):
    placer, first, second = placer_and_targets
    report_load(placer, first, 6)
    assert (
        placer.place(placement_request(), 1.0).target.record.target_id == second
    )


def test_target_that_knows_the_object_is_preferred_to_a_short_queue(
    placer_and_targets,
):
    placer, first, second = placer_and_targets
    placer.known_objects.record(first, route().name, "k", now=1.0)
    report_load(placer, first, 4)
    placed = placer.place(placement_request(), 1.0)
    assert placed.target.record.target_id == first
    placer.known_objects.record(second, route().name, "k", now=1.0)
    placed = placer.place(placement_request(), 1.0)
    assert placed.target.record.target_id == second


def test_first_target_that_was_away_learns_its_objects_again(
    placer_and_targets,
):
    placer, first, second = placer_and_targets
    placer.known_objects.record(second, route().name, "k", now=1.0)
    chosen = {
        placer.place(placement_request(), 1.0).target.record.target_id
        for _ in range(20)
    }
    assert chosen == {first, second}
    placer.known_objects.record(first, route().name, "k", now=1.0)
    chosen = {
        placer.place(placement_request(), 1.0).target.record.target_id
        for _ in range(20)
    }
    assert chosen == {first}


def test_request_is_refused_with_retry_after_when_both_targets_are_full(
    placer_and_targets,
):
    placer, first, second = placer_and_targets
    report_load(placer, first, 9)
    report_load(placer, second, 9)
    refused = placer.place(placement_request(), 1.0)
    assert isinstance(refused, Refused)
    assert refused.retry_after_s > 0


def test_urgent_request_is_placed_where_others_are_refused(placer_and_targets):
    placer, first, second = placer_and_targets
    report_load(placer, first, 9)
    report_load(placer, second, 9)
    assert isinstance(
        placer.place(placement_request(is_urgent=True), 1.0), Placed
    )


def test_old_load_report_is_ignored(placer_and_targets):
    placer, first, second = placer_and_targets
    report_load(placer, first, 9, now=1.0)
    report_load(placer, second, 9, now=1.0)
    assert isinstance(placer.place(placement_request(), 3.5), Placed)


def test_failed_target_is_skipped_until_its_back_off_ends(placer_and_targets):
    placer, first, second = placer_and_targets
    backoff_s = placer.loads.of(first).record_failure(now=1.0)
    assert (
        placer.place(placement_request(), 1.1).target.record.target_id == second
    )
    back = placer.place(placement_request(), 1.0 + backoff_s + 0.01)
    assert back.target.record.target_id == first


def test_failed_target_is_probed_by_one_request_at_a_time(placer_and_targets):
    placer, first, second = placer_and_targets
    backoff_s = placer.loads.of(first).record_failure(now=1.0)
    placer.loads.of(first).in_flight = 1
    placed = placer.place(placement_request(), 1.1 + backoff_s)
    assert placed.target.record.target_id == second


def test_spare_target_is_used_when_both_preferred_are_down(placer_and_targets):
    placer, first, second = placer_and_targets
    placer.loads.of(first).record_failure(now=1.0)
    placer.loads.of(second).record_failure(now=1.0)
    placed = placer.place(placement_request(), 1.1)
    assert placed.target.record.target_id not in (first, second)


def test_tried_target_is_not_chosen_again(placer_and_targets):
    placer, first, _ = placer_and_targets
    placed = placer.place(placement_request(tried=[first]), 1.0)
    assert placed.target.record.target_id != first


def test_home_regions_apply_even_without_targets_in_them():
    placer = make_placer(domain="north-a")
    homes = frozenset({"south"})
    assert isinstance(
        placer.place(placement_request(home_regions=homes), 1.0), Refused
    )
    homes = frozenset({"north"})
    assert isinstance(
        placer.place(placement_request(home_regions=homes), 1.0), Placed
    )


def test_cold_target_gets_at_most_this_hosts_quota():
    placer = make_placer(count=1, cold_left_s=10.0)
    placer.cold_rates = {"orders": 2.7}
    placed = 0
    while isinstance(choice := placer.place(placement_request(), 1.0), Placed):
        placer.cold_admission.record_dispatch(
            choice.target.record.target_id, 1.0
        )
        placed += 1
    assert placed == 2


def test_spare_targets_are_used_in_the_order_of_the_object():
    placer = make_placer()
    first_choice = placer.place(placement_request(), 1.0)
    order = placer.objects.of("orders").order("k")
    assert first_choice.target.record.target_id == order[0]
    for number in range(2, 5):
        placed = placer.place(placement_request(tried=order[:number]), 1.0)
        assert placed.target.record.target_id == order[number]
        assert placed.choice == "spare"


def test_a_loaded_spare_target_is_passed_over():
    placer = make_placer()
    placer.place(placement_request(), 1.0)
    order = placer.objects.of("orders").order("k")
    report_load(placer, order[2], 20)
    placed = placer.place(placement_request(tried=order[:2]), 1.0)
    assert placed.target.record.target_id == order[3]


def test_requests_without_an_object_follow_the_sizes_of_targets():
    placer = make_placer(count=0)
    for n, slots in enumerate((3, 9)):
        placer.target_table.put(record(f"t{n}", slots=slots), now=0.0)
    request = placement_request(key="")
    chosen = [
        placer.place(request, 1.0).target.record.target_id for _ in range(2000)
    ]
    assert 0.7 < chosen.count("t1") / len(chosen) < 0.8
