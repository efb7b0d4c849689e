"""Liveness of hosts from their heartbeats."""

from sardinewheel_gateway.policy.digests import HostStatus, host_id
from sardinewheel_gateway.policy.hosts import (
    FOLLOWER_CONFIRMATION_S,
    HOST_EXPIRY_S,
    RESTART_SILENCE_S,
    SAME_REGION_SILENCE_S,
    HostState,
    HostTable,
    StoreAccess,
)


def state(name, **fields):
    values = {
        "incarnation": 1,
        "sequence": 1,
        "front": f"{name}:80",
        "gossip": f"{name}:81",
        "control": f"{name}:82",
        "domain": "north-a",
        "region": "north",
        "is_ready": True,
    }
    values.update(fields)
    return HostState(name=name, **values)


def test_silent_host_is_not_live():
    host_table = HostTable(state("a"))
    host_table.record_heartbeat(state("b"), now=0.0)
    assert [h.name for h in host_table.live(now=1.0)] == ["a", "b"]
    assert [
        h.name for h in host_table.live(now=SAME_REGION_SILENCE_S + 0.1)
    ] == ["a"]


def test_silent_host_counts_for_shared_bounds_until_it_expires():
    host_table = HostTable(state("a"))
    host_table.record_heartbeat(state("b"), now=0.0)
    host_table.expire(now=SAME_REGION_SILENCE_S + 0.1)
    assert host_table.names() == ("a", "b")
    host_table.expire(now=HOST_EXPIRY_S + 0.1)
    assert host_table.names() == ("a",)


def test_late_heartbeat_of_an_earlier_incarnation_is_ignored():
    host_table = HostTable(state("a"))
    host_table.record_heartbeat(
        state("b", incarnation=2, is_ready=False), now=0.0
    )
    assert not host_table.record_heartbeat(
        state("b", incarnation=1, sequence=99), now=1.0
    )
    assert not host_table.peers["b"].state.is_ready


def test_restart_after_wall_clock_was_set_back_is_recorded():
    host_table = HostTable(state("a"))
    host_table.record_heartbeat(
        state("b", incarnation=9000, is_ready=False), now=0.0
    )
    assert host_table.record_heartbeat(
        state("b", incarnation=5000), now=RESTART_SILENCE_S + 0.1
    )
    assert host_table.peers["b"].state.is_ready


def test_host_learned_from_another_is_as_old_as_its_heartbeat():
    host_table = HostTable(state("a"))
    assert host_table.record_heartbeat(state("b"), now=9.0, age_s=1.0)
    assert [h.name for h in host_table.live(now=9.0)] == ["a", "b"]
    later = 8.0 + SAME_REGION_SILENCE_S
    assert [h.name for h in host_table.live(now=later)] == ["a"]


def test_status_passed_on_renews_a_host():
    host_table = HostTable(state("a"))
    host_table.record_heartbeat(state("b"), now=0.0)
    identifier = host_id("b", 1)
    newer = HostStatus(identifier, 2, 1.0, False, StoreAccess.AWAY)
    assert host_table.record_status(newer, now=4.0)
    peer = host_table.peers["b"]
    assert peer.last_heartbeat_at == 3.0
    assert not peer.state.is_ready
    assert peer.state.store is StoreAccess.AWAY


def test_status_that_is_not_newer_does_not_renew_a_host():
    host_table = HostTable(state("a"))
    host_table.record_heartbeat(state("b", sequence=7), now=0.0)
    for sequence in (6, 7):
        old = HostStatus(host_id("b", 1), sequence, 0.0, False, 0)
        assert host_table.record_status(old, now=4.0)
    assert host_table.peers["b"].last_heartbeat_at == 0.0
    assert host_table.peers["b"].state.is_ready


def test_status_of_an_unknown_incarnation_is_reported():
    host_table = HostTable(state("a"))
    host_table.record_heartbeat(state("b", incarnation=2), now=0.0)
    earlier = HostStatus(host_id("b", 1), 9, 0.0, True, 0)
    assert not host_table.record_status(earlier, now=0.0)
    own = HostStatus(host_id("a", 1), 9, 0.0, True, 0)
    assert host_table.record_status(own, now=0.0)


def follower(name, **fields):
    return state(name, store=StoreAccess.FOLLOWING, **fields)


def test_store_is_available_since_a_live_host_follows_it():
    host_table = HostTable(state("a"))
    for number in range(20):
        host_table.record_heartbeat(
            follower("b", sequence=number + 1), now=number * 0.4
        )
    since = host_table.store_available_since(now=8.0)
    assert since == FOLLOWER_CONFIRMATION_S


def test_follower_that_just_recovered_the_store_proves_no_earlier_time():
    host_table = HostTable(state("a"))
    away = state("b", store=StoreAccess.AWAY)
    host_table.record_heartbeat(follower("b"), now=0.0)
    host_table.record_heartbeat(away._replace(sequence=2), now=4.0)
    host_table.record_heartbeat(follower("b", sequence=3), now=5.0)
    assert host_table.store_available_since(now=5.5) == 5.5
    since = host_table.store_available_since(now=6.9)
    assert since == 5.0 + FOLLOWER_CONFIRMATION_S


def test_silent_follower_proves_nothing():
    host_table = HostTable(state("a"))
    host_table.record_heartbeat(follower("b"), now=0.0)
    assert host_table.store_available_since(now=6.0) == 6.0
