"""Placement: the target that knows the object, then room, then refusal."""

import random

import pytest
from sardinewheel_gateway.policy.cold import ColdAdmission, ColdBound
from sardinewheel_gateway.policy.loads import LoadTable, ReportedLoad
from sardinewheel_gateway.policy.placement import (
    Placed,
    PlacementRequest,
    Placer,
    Refused,
)
from sardinewheel_gateway.policy.targets import TargetTable

from tests.gateway.policy.test_routes import route
from tests.gateway.policy.test_targets import record

REGIONS = {"north-a": "north", "south-a": "south"}


def placer(count=6, **fields):
    target_table = TargetTable()
    for n in range(count):
        target_table.put(record(f"t{n}", **fields), now=0.0)
    return Placer(
        target_table=target_table,
        loads=LoadTable(),
        cold=ColdAdmission("host-1", ColdBound(1.5, 5.0)),
        regions=REGIONS,
        rng=random.Random(7),
    )


def ask(key="k", tried=(), is_urgent=False, **fields):
    return PlacementRequest(
        "orders", route(**fields), key, is_urgent, frozenset(tried)
    )


def fill(placer, target_id, holds, now=1.0):
    load = placer.loads.of(target_id)
    load.in_flight = 1
    load.report(ReportedLoad(min(holds, 3), max(0, holds - 3), 3), now=now)
    load.in_flight = 0


@pytest.fixture
def house():
    made = placer()
    chosen = made.objects.of("orders").preference(
        "k", tuple(f"t{n}" for n in range(6))
    )
    return made, chosen.first, chosen.second


def test_an_object_goes_to_its_target_while_that_holds_little(house):
    made, first, _ = house
    fill(made, first, 3)
    assert made.place(ask(), 1.0).target.record.target_id == first


def test_a_long_queue_sends_it_to_the_second_choice(house):
    made, first, second = house
    fill(made, first, 6)
    assert made.place(ask(), 1.0).target.record.target_id == second


def test_both_full_is_refused_at_once_with_a_time_to_return(house):
    made, first, second = house
    fill(made, first, 9)
    fill(made, second, 9)
    refused = made.place(ask(), 1.0)
    assert isinstance(refused, Refused)
    assert refused.retry_after_s > 0


def test_an_urgent_request_waits_where_another_is_refused(house):
    made, first, second = house
    fill(made, first, 9)
    fill(made, second, 9)
    assert isinstance(made.place(ask(is_urgent=True), 1.0), Placed)


def test_an_old_report_loses_its_weight(house):
    made, first, second = house
    fill(made, first, 9, now=1.0)
    fill(made, second, 9, now=1.0)
    assert isinstance(made.place(ask(), 3.5), Placed)


def test_a_target_that_failed_is_passed_over_until_its_pause_ends(house):
    made, first, second = house
    pause_s = made.loads.of(first).failed(now=1.0)
    assert made.place(ask(), 1.1).target.record.target_id == second
    back = made.place(ask(), 1.0 + pause_s + 0.01)
    assert back.target.record.target_id == first


def test_one_request_at_a_time_tries_a_target_that_failed(house):
    made, first, second = house
    pause_s = made.loads.of(first).failed(now=1.0)
    made.loads.of(first).in_flight = 1
    placed = made.place(ask(), 1.1 + pause_s)
    assert placed.target.record.target_id == second


def test_another_target_serves_when_both_choices_are_down(house):
    made, first, second = house
    made.loads.of(first).failed(now=1.0)
    made.loads.of(second).failed(now=1.0)
    placed = made.place(ask(), 1.1)
    assert placed.target.record.target_id not in (first, second)


def test_a_tried_target_is_not_chosen_again(house):
    made, first, _ = house
    placed = made.place(ask(tried=[first]), 1.0)
    assert placed.target.record.target_id != first


def test_home_regions_bind_even_when_they_have_no_target():
    made = placer(domain="north-a")
    homes = frozenset({"south"})
    assert isinstance(made.place(ask(home_regions=homes), 1.0), Refused)
    homes = frozenset({"north"})
    assert isinstance(made.place(ask(home_regions=homes), 1.0), Placed)


def test_a_cold_target_gets_no_more_than_this_hosts_part():
    made = placer(count=1, cold_left_s=10.0)
    made.cold_rates = {"orders": 2.7}
    placed = 0
    while isinstance(choice := made.place(ask(), 1.0), Placed):
        made.cold.dispatched(choice.target.record.target_id, 1.0)
        placed += 1
    assert placed == 2
