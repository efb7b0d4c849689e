"""Shifts: their cap, pace, holds and the requests that they move."""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from sardinewheel_core.change import (
    AbortShift,
    DefineSeat,
    EndShift,
    SetCap,
    StartShift,
)
from sardinewheel_core.effects import Dispatch, Forward, StopOrdered
from sardinewheel_core.intent import Seat
from sardinewheel_core.messages import Strain
from sardinewheel_core.request import Reason
from sardinewheel_core.shift import parts_of
from sardinewheel_core.stopping import LINGER_S

from tests.core.moving_house import SHIFT, SOURCES, MovingHouse

WIDE = SHIFT._replace(cap=10**6)


@pytest.fixture
def house():
    return MovingHouse()


def forwarded(effects):
    return [e for e in effects if isinstance(e, Forward)]


def start(house, shift, change_id="s1"):
    house.propose("n-1", change_id, StartShift(shift))


def test_parts_add_up_to_the_cap():
    for cap in range(20):
        parts = parts_of(cap, ["a", "b", "c"])
        assert sum(parts.values()) == cap


def test_no_interval_moves_more_than_the_cap(house):
    start(house, SHIFT)
    house.run(60.0, load=2)
    assert 0.7 * SHIFT.cap <= house.most_in(SHIFT.interval_s) <= SHIFT.cap


def test_a_fresh_host_waits_out_the_interval_of_its_predecessor(house):
    start(house, SHIFT._replace(share=1.0, pace_s=1.0))
    house.run(2.0, load=2)
    for _ in range(2):
        house.feed("n-1", StopOrdered())
        house.run(LINGER_S + 0.5)
        house.crash("n-1")
        house.run(3.0, load=2)
    assert house.hosts["n-1"].seat.exclusive_from < house.now
    assert house.most_in(SHIFT.interval_s) <= SHIFT.cap


def test_a_new_seat_waits_out_the_interval_of_the_others(house):
    shift = SHIFT._replace(share=1.0, pace_s=1.0, interval_s=30.0)
    house.enter("n-3")
    house.run(40.0)
    start(house, shift)
    house.run(2.0, load=2)
    # No share of the region falls, but parts of the shift do.
    operations = (SetCap("north", 1200), DefineSeat(Seat("n-3", "norte")))
    house.propose("n-1", "s2", *operations)
    house.run(60.0, load=2)
    assert any(move.host == "n-3" for move in house.moves)
    assert house.most_in(shift.interval_s) <= shift.cap


def test_a_shift_that_is_started_anew_counts_what_was_moved(house):
    start(house, SHIFT._replace(share=1.0, pace_s=1.0))
    house.run(2.0, load=2)
    again = StartShift(SHIFT._replace(share=1.0, pace_s=1.0))
    house.propose("n-1", "s2", EndShift("m"))
    house.run(1.0, load=2)
    house.propose("n-1", "s3", again)
    house.run(4.0, load=2)
    assert house.most_in(SHIFT.interval_s) <= SHIFT.cap


def test_moved_traffic_follows_the_pace_and_stops_at_the_goal(house):
    start(house, WIDE)
    house.run(1.0)
    house.run(9.0, load=2)
    assert 0.2 < house.position("n-1") < 0.3
    house.run(20.0)
    assert house.position("n-1") == SHIFT.share
    before, moved = house.weight_arrived, len(house.moves)
    house.run(10.0, load=4)
    weight = sum(m.weight for m in house.moves[moved:])
    assert 0.4 < weight / (house.weight_arrived - before) < 0.6


def test_an_abort_returns_at_the_same_pace(house):
    start(house, WIDE)
    house.run(30.0)
    house.propose("n-1", "s2", AbortShift("m"))
    house.run(10.5)
    assert 0.15 < house.position("n-1") < 0.35
    house.run(15.0)
    moved = len(house.moves)
    house.run(5.0, load=2)
    assert house.position("n-1") == 0.0
    assert len(house.moves) == moved


def test_a_host_that_stood_still_does_not_catch_up(house):
    start(house, WIDE)
    house.run(2.0)
    before = house.position("n-1")
    stopped = house.hosts.pop("n-1")
    house.run(15.0)
    house.hosts["n-1"] = stopped
    house.run(1.0)
    assert house.position("n-1") < before + 0.05


def test_a_fresh_host_takes_the_lowest_position_of_its_neighbours(house):
    start(house, WIDE)
    house.run(10.0)
    house.crash("n-2")
    house.run(3.0)
    assert 0.2 < house.position("n-2") <= house.position("n-1")


def test_a_blind_host_holds_and_says_why(house):
    start(house, WIDE)
    house.run(5.0)
    house.is_cut = lambda a, b: a[0] != b[0]
    house.run(4.0)
    held = house.position("n-1")
    house.run(10.0, load=1)
    assert house.position("n-1") == held
    name, fields = house.reported("shift-hold")[-1]
    assert (name in SOURCES, fields["reason"]) == (True, "blind")
    house.is_cut = lambda a, b: False
    house.run(5.0)
    assert house.position("n-1") > held


def test_a_cold_destination_gets_a_little_and_then_no_more(house):
    house.is_warm = False
    start(house, WIDE)
    house.run(20.0)
    assert house.position("n-1") == pytest.approx(0.05, abs=0.01)


def test_a_shedding_destination_gets_no_more(house):
    start(house, WIDE)
    house.run(5.0)
    held = house.position("n-1")
    for name in ("s-1", "s-2"):
        for state in house.hosts[name].targets.states.values():
            state.paused_until = house.now + 60.0
    house.run(10.0)
    assert house.position("n-1") < held + 0.05
    strains = dict(house.hosts["s-1"].membership.own.strains)
    assert strains == {"pedidos": Strain.SHEDDING}


def test_a_request_is_moved_once_and_counted_once(house):
    start(house, WIDE._replace(share=1.0))
    house.run(40.0)
    (effect,) = forwarded(house.ask("n-1"))
    assert effect.reason is Reason.SHIFTED
    assert len(house.moves) == 1
    arrived = house.ask("s-1", hops=effect.request.hops)
    assert [type(e) for e in arrived if isinstance(e, Dispatch | Forward)] == [
        Dispatch
    ]
    assert not forwarded(house.ask("n-1", hops=1))


def test_traffic_of_another_region_is_not_moved(house):
    start(house, WIDE._replace(share=1.0))
    house.run(40.0)
    assert not forwarded(house.ask("s-1"))


def test_two_shifts_of_a_service_share_the_traffic(house):
    start(house, WIDE)
    start(house, WIDE._replace(name="k"), "s2")
    house.run(5.0)
    start(house, WIDE._replace(name="k"), "s3")
    house.run(45.0)
    before, moved = house.arrived, len(house.moves)
    house.run(5.0, load=4)
    assert len(house.moves) - moved == house.arrived - before


VERBS = st.one_of(
    st.tuples(st.just("crash"), st.sampled_from(SOURCES[:2])),
    st.tuples(st.just("abort"), st.just("m")),
    st.tuples(st.just("renew"), st.just("m")),
    st.tuples(st.just("seat"), st.just("n-3")),
    st.tuples(st.sampled_from(["cut", "noise", "platform"]), st.booleans()),
)
STEPS = st.tuples(VERBS, st.sampled_from([0.2, 1.0, 6.0]))


def bring_about(house, number, fault):
    match fault:
        case "crash", name:
            house.crash(name)
        case "abort", name:
            house.propose("s-1", f"x{number}", AbortShift(name))
        case "renew", name:
            operations = (EndShift(name), StartShift(SHIFT))
            house.propose("s-2", f"x{number}", *operations)
        case "seat", name:
            seat = DefineSeat(Seat(name, "norte"))
            house.propose("s-1", f"x{number}", seat)
        case "cut", is_cut:
            house.is_cut = lambda a, b: is_cut and a[0] != b[0]
        case "noise", is_noisy:
            house.loss = house.doubling = 0.3 if is_noisy else 0.0
            house.longest_delay_s = 2.0 if is_noisy else 0.05
        case "platform", is_down:
            house.platform.is_down = is_down


@given(st.integers(0, 99), st.lists(STEPS, min_size=3, max_size=8))
@settings(
    max_examples=25,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
def test_moved_weight_stays_within_the_cap_whatever_happens(seed, steps):
    house = MovingHouse(seed=seed)
    start(house, SHIFT._replace(share=1.0, pace_s=2.0))
    house.run(8.0, load=1)
    for number, (fault, seconds) in enumerate(steps):
        bring_about(house, number, fault)
        house.run(seconds, load=1)
    assert house.most_in(SHIFT.interval_s) <= SHIFT.cap
