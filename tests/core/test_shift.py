"""Shifts: cap, pace, holds and the requests that they forward."""

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
from sardinewheel_core.shift import split_cap
from sardinewheel_core.stopping import LINGER_S

from tests.core.shifting_cluster import SHIFT, SOURCES, ShiftingCluster

LARGE_CAP_SHIFT = SHIFT._replace(cap=10**6)


@pytest.fixture
def cluster():
    return ShiftingCluster()


def forwarded(effects):
    return [e for e in effects if isinstance(e, Forward)]


def start(cluster, shift, change_id="s1"):
    cluster.propose("n-1", change_id, StartShift(shift))


def test_quotas_add_up_to_the_cap():
    for cap in range(20):
        quotas = split_cap(cap, ["a", "b", "c"])
        assert sum(quotas.values()) == cap


def test_no_interval_shifts_more_than_the_cap(cluster):
    start(cluster, SHIFT)
    cluster.run(60.0, load=2)
    assert (
        0.7 * SHIFT.cap
        <= cluster.max_shifted_weight(SHIFT.interval_s)
        <= SHIFT.cap
    )


def test_a_new_host_waits_out_the_interval_of_its_predecessor(cluster):
    start(cluster, SHIFT._replace(share=1.0, pace_s=1.0))
    cluster.run(2.0, load=2)
    for _ in range(2):
        cluster.feed("n-1", StopOrdered())
        cluster.run(LINGER_S + 0.5)
        cluster.crash_and_restart("n-1")
        cluster.run(3.0, load=2)
    assert cluster.hosts["n-1"].seat.exclusive_from < cluster.now
    assert cluster.max_shifted_weight(SHIFT.interval_s) <= SHIFT.cap


def test_a_new_seat_waits_out_the_interval_of_the_others(cluster):
    shift = SHIFT._replace(share=1.0, pace_s=1.0, interval_s=30.0)
    cluster.start_host("n-3")
    cluster.run(40.0)
    start(cluster, shift)
    cluster.run(2.0, load=2)
    # No share of the region's cap decreases, but quotas of the shift do.
    operations = (SetCap("north", 1200), DefineSeat(Seat("n-3", "norte")))
    cluster.propose("n-1", "s2", *operations)
    cluster.run(60.0, load=2)
    assert any(r.host == "n-3" for r in cluster.shifted_requests)
    assert cluster.max_shifted_weight(shift.interval_s) <= shift.cap


def test_a_restarted_shift_counts_weight_already_shifted(cluster):
    start(cluster, SHIFT._replace(share=1.0, pace_s=1.0))
    cluster.run(2.0, load=2)
    again = StartShift(SHIFT._replace(share=1.0, pace_s=1.0))
    cluster.propose("n-1", "s2", EndShift("m"))
    cluster.run(1.0, load=2)
    cluster.propose("n-1", "s3", again)
    cluster.run(4.0, load=2)
    assert cluster.max_shifted_weight(SHIFT.interval_s) <= SHIFT.cap


def test_shifted_traffic_follows_the_pace_and_stops_at_the_share(cluster):
    start(cluster, LARGE_CAP_SHIFT)
    cluster.run(1.0)
    cluster.run(9.0, load=2)
    assert 0.2 < cluster.position("n-1") < 0.3
    cluster.run(20.0)
    assert cluster.position("n-1") == SHIFT.share
    before, already_shifted = (
        cluster.weight_arrived,
        len(cluster.shifted_requests),
    )
    cluster.run(10.0, load=4)
    weight = sum(r.weight for r in cluster.shifted_requests[already_shifted:])
    assert 0.4 < weight / (cluster.weight_arrived - before) < 0.6


def test_an_abort_returns_at_the_same_pace(cluster):
    start(cluster, LARGE_CAP_SHIFT)
    cluster.run(30.0)
    cluster.propose("n-1", "s2", AbortShift("m"))
    cluster.run(10.5)
    assert 0.15 < cluster.position("n-1") < 0.35
    cluster.run(15.0)
    already_shifted = len(cluster.shifted_requests)
    cluster.run(5.0, load=2)
    assert cluster.position("n-1") == 0.0
    assert len(cluster.shifted_requests) == already_shifted


def test_a_paused_host_does_not_catch_up(cluster):
    start(cluster, LARGE_CAP_SHIFT)
    cluster.run(2.0)
    before = cluster.position("n-1")
    paused_host = cluster.hosts.pop("n-1")
    cluster.run(15.0)
    cluster.hosts["n-1"] = paused_host
    cluster.run(1.0)
    assert cluster.position("n-1") < before + 0.05


def test_a_new_host_adopts_the_lowest_position_of_its_peers(cluster):
    start(cluster, LARGE_CAP_SHIFT)
    cluster.run(10.0)
    cluster.crash_and_restart("n-2")
    cluster.run(3.0)
    assert 0.2 < cluster.position("n-2") <= cluster.position("n-1")


def test_a_host_cut_off_from_the_destination_holds_and_reports_why(cluster):
    start(cluster, LARGE_CAP_SHIFT)
    cluster.run(5.0)
    cluster.is_link_cut = lambda a, b: a[0] != b[0]
    cluster.run(4.0)
    held_position = cluster.position("n-1")
    cluster.run(10.0, load=1)
    assert cluster.position("n-1") == held_position
    name, fields = cluster.reports_of("shift-hold")[-1]
    assert (name in SOURCES, fields["reason"]) == (True, "blind")
    cluster.is_link_cut = lambda a, b: False
    cluster.run(5.0)
    assert cluster.position("n-1") > held_position


def test_a_cold_destination_gets_no_more_than_a_small_share(cluster):
    cluster.are_targets_warm = False
    start(cluster, LARGE_CAP_SHIFT)
    cluster.run(20.0)
    assert cluster.position("n-1") == pytest.approx(0.05, abs=0.01)


def test_a_shedding_destination_stops_the_shift(cluster):
    start(cluster, LARGE_CAP_SHIFT)
    cluster.run(5.0)
    held_position = cluster.position("n-1")
    for name in ("s-1", "s-2"):
        for state in cluster.hosts[name].targets.states.values():
            state.paused_until = cluster.now + 60.0
    cluster.run(10.0)
    assert cluster.position("n-1") < held_position + 0.05
    strains = dict(cluster.hosts["s-1"].membership.own.strains)
    assert strains == {"pedidos": Strain.SHEDDING}


def test_a_request_is_shifted_once_and_counted_once(cluster):
    start(cluster, LARGE_CAP_SHIFT._replace(share=1.0))
    cluster.run(40.0)
    (effect,) = forwarded(cluster.submit("n-1"))
    assert effect.reason is Reason.SHIFTED
    assert len(cluster.shifted_requests) == 1
    arrived = cluster.submit("s-1", hops=effect.request.hops)
    assert [type(e) for e in arrived if isinstance(e, Dispatch | Forward)] == [
        Dispatch
    ]
    assert not forwarded(cluster.submit("n-1", hops=1))


def test_traffic_of_another_region_is_not_shifted(cluster):
    start(cluster, LARGE_CAP_SHIFT._replace(share=1.0))
    cluster.run(40.0)
    assert not forwarded(cluster.submit("s-1"))


def test_two_shifts_of_a_service_share_the_traffic(cluster):
    start(cluster, LARGE_CAP_SHIFT)
    start(cluster, LARGE_CAP_SHIFT._replace(name="k"), "s2")
    cluster.run(5.0)
    start(cluster, LARGE_CAP_SHIFT._replace(name="k"), "s3")
    cluster.run(45.0)
    before, already_shifted = cluster.arrived, len(cluster.shifted_requests)
    cluster.run(5.0, load=4)
    assert (
        len(cluster.shifted_requests) - already_shifted
        == cluster.arrived - before
    )


FAULTS = st.one_of(
    st.tuples(st.just("crash"), st.sampled_from(SOURCES[:2])),
    st.tuples(st.just("abort"), st.just("m")),
    st.tuples(st.just("renew"), st.just("m")),
    st.tuples(st.just("seat"), st.just("n-3")),
    st.tuples(st.sampled_from(["cut", "noise", "platform"]), st.booleans()),
)
STEPS = st.tuples(FAULTS, st.sampled_from([0.2, 1.0, 6.0]))


def inject_fault(cluster, number, fault):
    match fault:
        case "crash", name:
            cluster.crash_and_restart(name)
        case "abort", name:
            cluster.propose("s-1", f"x{number}", AbortShift(name))
        case "renew", name:
            operations = (EndShift(name), StartShift(SHIFT))
            cluster.propose("s-2", f"x{number}", *operations)
        case "seat", name:
            seat = DefineSeat(Seat(name, "norte"))
            cluster.propose("s-1", f"x{number}", seat)
        case "cut", is_link_cut:
            cluster.is_link_cut = lambda a, b: is_link_cut and a[0] != b[0]
        case "noise", is_noisy:
            cluster.loss_rate = cluster.duplication_rate = (
                0.3 if is_noisy else 0.0
            )
            cluster.max_delay_s = 2.0 if is_noisy else 0.05
        case "platform", is_down:
            cluster.platform.is_down = is_down


@given(st.integers(0, 99), st.lists(STEPS, min_size=3, max_size=8))
@settings(
    max_examples=25,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
def test_shifted_weight_stays_within_the_cap_under_faults(seed, steps):
    cluster = ShiftingCluster(seed=seed)
    start(cluster, SHIFT._replace(share=1.0, pace_s=2.0))
    cluster.run(8.0, load=1)
    for number, (fault, seconds) in enumerate(steps):
        inject_fault(cluster, number, fault)
        cluster.run(seconds, load=1)
    assert cluster.max_shifted_weight(SHIFT.interval_s) <= SHIFT.cap
