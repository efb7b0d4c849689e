"""Seats: quarantine, pause, wake, release and the row in the table."""

import json

import pytest
from sardinewheel_core.allowance import QUARANTINE_S, SUPERSEDE_DETECTION_S
from sardinewheel_core.effects import StopOrdered

from tests.core.loaded_house import CAP, DOMAINS, LoadedHouse

EVERYONE = set(DOMAINS)


@pytest.fixture
def house():
    return LoadedHouse()


def usable_after(house, name):
    return house.hosts[name].allowance.usable_from - house.now


def row(house, name):
    return json.loads(house.platform.rows[f"seat/{name}"][1])


def test_a_first_start_serves_at_once(house):
    assert all(usable_after(house, name) < 0 for name in DOMAINS)


def test_a_lost_answer_to_the_claim_is_settled_by_reading():
    house = LoadedHouse()
    house.platform.rows.pop("seat/a-1")
    house.kill("a-1")
    house.platform.lost_answers = 1
    house.enter("a-1")
    house.run(2.5)
    assert house.hosts["a-1"].seat.is_claimed
    assert usable_after(house, "a-1") < 0


def test_a_host_that_follows_a_dead_one_waits(house):
    house.loaded = set(EVERYONE)
    house.service_s = (9.0, 9.9)
    house.run(2.0)
    house.crash("a-1")
    house.run(QUARANTINE_S - 1.0)
    assert usable_after(house, "a-1") > 0
    house.run(5.0)
    assert usable_after(house, "a-1") < 0
    assert house.most <= CAP


def test_without_the_platform_the_local_clock_decides(house):
    house.platform.is_down = True
    house.loaded = set(EVERYONE)
    house.crash("a-1")
    house.run(QUARANTINE_S + 1.0)
    assert usable_after(house, "a-1") < 0
    assert house.hosts["a-1"].allowance.in_flight > 0
    assert house.most <= CAP


def test_a_holder_that_wakes_after_it_was_replaced_sends_nothing(house):
    house.loaded = {*EVERYONE, "old-a-1"}
    house.service_s = (9.0, 9.9)
    house.run(2.0)
    house.pause("a-1")
    house.crash("a-1")
    house.run(2 * QUARANTINE_S)
    house.wake("a-1")
    house.load("old-a-1", 9)
    house.run(5.0)
    assert house.most <= CAP
    assert house.hosts["old-a-1"].is_superseded


def test_a_row_alone_does_not_end_the_wait_after_a_pause(house):
    house.loaded = {*EVERYONE, "old-a-1"}
    house.service_s = (9.0, 9.9)
    house.platform.is_down = True
    house.pause("a-1")
    house.crash("a-1")
    house.run(2 * QUARANTINE_S)
    house.platform.is_down = False
    # Its successor hasn't claimed the row yet.
    house.hosts["a-1"].seat.next_read_at = house.now + 1.0
    house.wake("a-1")
    house.is_cut = lambda a, b: b.endswith("a-1")
    house.run(SUPERSEDE_DETECTION_S - 1.0)
    house.is_cut = lambda a, b: False
    house.run(3.0)
    assert house.most <= CAP


def test_a_holder_that_wakes_in_its_own_seat_goes_on_soon(house):
    house.pause("a-1")
    house.run(5.0)
    house.wake("a-1")
    house.run(0.1)
    assert usable_after(house, "a-1") > 0
    house.run(SUPERSEDE_DETECTION_S + 0.5)
    assert usable_after(house, "a-1") < 0


def test_an_idle_host_releases_its_seat_and_the_next_serves_at_once(house):
    house.feed("a-1", StopOrdered())
    house.run(3.0)
    assert row(house, "a-1")["is_released"]
    house.crash("a-1")
    house.run(1.0)
    assert usable_after(house, "a-1") < 0


def test_a_seat_whose_units_are_lent_is_not_released(house):
    house.service_s = (9.9, 9.9)
    house.loaded = {"b-1"}
    house.run(1.0)
    assert house.hosts["a-1"].allowance.lent
    # A borrower that is not cut off may return the loan in time.
    house.is_cut = lambda a, b: "b-1" in (a, b)
    house.feed("a-1", StopOrdered())
    house.run(3.0)
    assert not row(house, "a-1")["is_released"]


def test_a_cut_domain_goes_on_with_its_floor(house):
    house.loaded = {"a-1"}
    house.run(1.0)
    house.platform.is_down = True
    house.is_cut = lambda a, b: a[0] != b[0]
    house.loaded = set(EVERYONE)
    house.run(60.0)
    assert house.hosts["b-1"].allowance.in_flight >= CAP // 3 // 2
    assert house.most <= CAP
