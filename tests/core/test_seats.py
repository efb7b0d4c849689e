"""Seats: quarantine, pause, resumption, release and the platform row."""

import json

import pytest
from sardinewheel_core.allowance import QUARANTINE_S, SUPERSEDE_DETECTION_S
from sardinewheel_core.effects import StopOrdered

from tests.core.loaded_cluster import CAP, DOMAINS, LoadedCluster

ALL_HOSTS = set(DOMAINS)


@pytest.fixture
def cluster():
    return LoadedCluster()


def seconds_until_usable(cluster, name):
    return cluster.hosts[name].allowance.usable_from - cluster.now


def seat_row(cluster, name):
    return json.loads(cluster.platform.rows[f"seat/{name}"][1])


def test_a_first_start_serves_at_once(cluster):
    assert all(seconds_until_usable(cluster, name) < 0 for name in DOMAINS)


def test_a_lost_answer_to_the_claim_is_resolved_by_reading():
    cluster = LoadedCluster()
    cluster.platform.rows.pop("seat/a-1")
    cluster.kill("a-1")
    cluster.platform.lost_responses = 1
    cluster.start_host("a-1")
    cluster.run(2.5)
    assert cluster.hosts["a-1"].seat.is_claimed
    assert seconds_until_usable(cluster, "a-1") < 0


def test_a_host_that_replaces_a_failed_one_waits_for_the_quarantine(cluster):
    cluster.loaded_hosts = set(ALL_HOSTS)
    cluster.service_time_range_s = (9.0, 9.9)
    cluster.run(2.0)
    cluster.crash_and_restart("a-1")
    cluster.run(QUARANTINE_S - 1.0)
    assert seconds_until_usable(cluster, "a-1") > 0
    cluster.run(5.0)
    assert seconds_until_usable(cluster, "a-1") < 0
    assert cluster.max_in_flight <= CAP


def test_without_the_platform_the_quarantine_follows_the_local_clock(cluster):
    cluster.platform.is_down = True
    cluster.loaded_hosts = set(ALL_HOSTS)
    cluster.crash_and_restart("a-1")
    cluster.run(QUARANTINE_S + 1.0)
    assert seconds_until_usable(cluster, "a-1") < 0
    assert cluster.hosts["a-1"].allowance.in_flight > 0
    assert cluster.max_in_flight <= CAP


def test_a_host_resumed_after_its_replacement_dispatches_nothing(cluster):
    cluster.loaded_hosts = {*ALL_HOSTS, "old-a-1"}
    cluster.service_time_range_s = (9.0, 9.9)
    cluster.run(2.0)
    cluster.pause("a-1")
    cluster.crash_and_restart("a-1")
    cluster.run(2 * QUARANTINE_S)
    cluster.resume("a-1")
    cluster.load("old-a-1", 9)
    cluster.run(5.0)
    assert cluster.max_in_flight <= CAP
    assert cluster.hosts["old-a-1"].is_superseded


def test_the_seat_row_alone_does_not_end_the_wait_after_a_pause(cluster):
    cluster.loaded_hosts = {*ALL_HOSTS, "old-a-1"}
    cluster.service_time_range_s = (9.0, 9.9)
    cluster.platform.is_down = True
    cluster.pause("a-1")
    cluster.crash_and_restart("a-1")
    cluster.run(2 * QUARANTINE_S)
    cluster.platform.is_down = False
    # The successor hasn't claimed the row yet.
    cluster.hosts["a-1"].seat.next_read_at = cluster.now + 1.0
    cluster.resume("a-1")
    cluster.is_link_cut = lambda a, b: b.endswith("a-1")
    cluster.run(SUPERSEDE_DETECTION_S - 1.0)
    cluster.is_link_cut = lambda a, b: False
    cluster.run(3.0)
    assert cluster.max_in_flight <= CAP


def test_a_host_resumed_in_its_own_seat_soon_serves_again(cluster):
    cluster.pause("a-1")
    cluster.run(5.0)
    cluster.resume("a-1")
    cluster.run(0.1)
    assert seconds_until_usable(cluster, "a-1") > 0
    cluster.run(SUPERSEDE_DETECTION_S + 0.5)
    assert seconds_until_usable(cluster, "a-1") < 0


def test_an_idle_host_releases_its_seat_and_its_successor_serves_at_once(
    cluster,
):
    cluster.feed("a-1", StopOrdered())
    cluster.run(3.0)
    assert seat_row(cluster, "a-1")["is_released"]
    cluster.crash_and_restart("a-1")
    cluster.run(1.0)
    assert seconds_until_usable(cluster, "a-1") < 0


def test_a_seat_whose_units_are_lent_is_not_released(cluster):
    cluster.service_time_range_s = (9.9, 9.9)
    cluster.loaded_hosts = {"b-1"}
    cluster.run(1.0)
    assert cluster.hosts["a-1"].allowance.lent
    # A reachable borrower could return the loan in time.
    cluster.is_link_cut = lambda a, b: "b-1" in (a, b)
    cluster.feed("a-1", StopOrdered())
    cluster.run(3.0)
    assert not seat_row(cluster, "a-1")["is_released"]


def test_an_isolated_domain_keeps_half_of_its_share(cluster):
    cluster.loaded_hosts = {"a-1"}
    cluster.run(1.0)
    cluster.platform.is_down = True
    cluster.is_link_cut = lambda a, b: a[0] != b[0]
    cluster.loaded_hosts = set(ALL_HOSTS)
    cluster.run(60.0)
    assert cluster.hosts["b-1"].allowance.in_flight >= CAP // 3 // 2
    assert cluster.max_in_flight <= CAP


@pytest.mark.parametrize("lost_responses", [0, 1])
def test_the_known_version_of_the_row_is_that_of_the_platform(lost_responses):
    cluster = LoadedCluster()
    cluster.kill("a-1")
    cluster.platform.lost_responses = lost_responses
    cluster.start_host("a-1")
    while not cluster.hosts["a-1"].seat.is_claimed:
        cluster.run(0.1)
    state = cluster.hosts["a-1"].seat
    assert state.row_version == cluster.platform.rows["seat/a-1"][0]


def test_a_row_nested_too_deeply_counts_as_held_by_an_unknown_host(cluster):
    version, _ = cluster.platform.rows["seat/a-1"]
    cluster.platform.rows["seat/a-1"] = (version + 1, "[" * 100_000)
    cluster.crash_and_restart("a-1")
    cluster.run(2.0)
    assert seconds_until_usable(cluster, "a-1") > 0
    cluster.run(QUARANTINE_S + 3.0)
    assert seconds_until_usable(cluster, "a-1") < 0
