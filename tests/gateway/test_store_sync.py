"""Updates of configuration and targets are applied and forwarded."""

import random

import pytest
from sardinewheel_gateway import clock
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.log import Log
from sardinewheel_gateway.policy.epochs import position_of
from sardinewheel_gateway.policy.hosts import HostTable, StoreAccess
from sardinewheel_gateway.policy.routes import Configuration
from sardinewheel_gateway.policy.routing_state import RoutingState
from sardinewheel_gateway.policy.targets import (
    MISSING_RECORD_GRACE_S,
    RESTORE_HOLD_S,
)
from sardinewheel_gateway.policy.updates import (
    NO_POSITION,
    OperatorsUpdate,
    Positions,
    RecordChange,
    TargetsUpdate,
    Update,
    from_plain,
    to_plain,
)
from sardinewheel_gateway.store_sync import StoreSync

from tests.gateway.harness import BOUNDS, LIMITS
from tests.gateway.policy.test_hosts import state
from tests.gateway.policy.test_targets import record

FULL_UPDATE = TargetsUpdate(
    NO_POSITION,
    10,
    (RecordChange("t1", 5, record("t1")), RecordChange("t2", 6, record("t2"))),
)
STORE_SILENCE_TIMEOUT_S = 4.0
REMOVAL_UPDATE = TargetsUpdate(10, 11, (RecordChange("t1", 11, None),))


@pytest.fixture
def sync():
    host_table = HostTable(state("a"))
    gossip = Gossip("127.0.0.1:0", host_table, [], Log(host="a"))
    rng = random.Random(7)
    created = StoreSync(
        routing_state=RoutingState(
            host="a", domain="north-a", bounds=BOUNDS, regions={}, rng=rng
        ),
        gossip=gossip,
        log=gossip.log,
        rng=rng,
        store_silence_timeout_s=STORE_SILENCE_TIMEOUT_S,
        on_update_applied=lambda: None,
        on_target_gone=lambda target_id: None,
    )
    created.apply_host_update(Update(targets=FULL_UPDATE), "b")
    yield created
    gossip.stop()


def usable(sync):
    found = sync.routing_state.target_table.usable("orders")
    return [target.record.target_id for target in found]


def add_established_follower(sync):
    """Adds a host that has followed the store for several seconds."""
    now = clock.steady()
    for number in range(20):
        follower = state("c", store=StoreAccess.FOLLOWING, sequence=number + 1)
        sync.gossip.host_table.record_heartbeat(
            follower, now=now - 8.0 + number * 0.41
        )


def test_target_with_removed_record_gets_no_new_requests(sync):
    sync.apply_host_update(Update(targets=REMOVAL_UPDATE), "b")
    assert usable(sync) == ["t2"]
    assert sync.positions.targets == 11


def test_target_that_becomes_cold_again_knows_no_objects(sync):
    known_objects = sync.routing_state.placer.known_objects
    for target_id in ("t1", "t2"):
        known_objects.record(target_id, "status", "k", now=clock.steady())
    cold = RecordChange("t1", 11, record("t1", cold_left_s=3.0))
    sync.apply_host_update(Update(targets=TargetsUpdate(10, 11, (cold,))), "b")
    now = clock.steady()
    assert not known_objects.knows("t1", "status", "k", now=now)
    assert known_objects.knows("t2", "status", "k", now=now)


def test_missing_record_has_a_grace_period_after_a_store_outage(sync):
    sync.record_registry_recovery(away_s=5.0)
    sync.apply_store_update(Update(targets=REMOVAL_UPDATE))
    assert usable(sync) == ["t1", "t2"]


def test_outage_noticed_late_is_dated_by_a_host_that_follows_the_store(sync):
    """The host's own calls failed longer than the store was away."""
    now = clock.steady()
    for number in range(8):
        follower = state("c", store=StoreAccess.FOLLOWING, sequence=number + 1)
        sync.gossip.host_table.record_heartbeat(
            follower, now=now - 2.9 + number * 0.4
        )
    sync.record_registry_recovery(away_s=9.0)
    sync.apply_store_update(Update(targets=REMOVAL_UPDATE))
    assert usable(sync) == ["t1", "t2"]
    later = now + MISSING_RECORD_GRACE_S - 1.0
    sync.routing_state.target_table.expire(now=later)
    assert usable(sync) == ["t2"]


def test_outage_is_ignored_if_another_host_followed_the_store(sync):
    add_established_follower(sync)
    sync.record_registry_recovery(away_s=9.96)
    sync.apply_store_update(Update(targets=REMOVAL_UPDATE))
    assert usable(sync) == ["t2"]


def test_reported_outage_is_ignored_with_an_established_follower(sync):
    add_established_follower(sync)
    sync.apply_host_update(
        Update(targets=REMOVAL_UPDATE._replace(away_s=9.96)), "b"
    )
    assert usable(sync) == ["t2"]


def test_reported_outage_counts_without_an_established_follower(sync):
    sync.apply_host_update(
        Update(targets=REMOVAL_UPDATE._replace(away_s=5.0)), "b"
    )
    assert usable(sync) == ["t1", "t2"]


def test_update_after_a_gap_is_not_applied(sync):
    late = REMOVAL_UPDATE._replace(before=20, after=21)
    sync.apply_host_update(Update(targets=late), "b")
    assert usable(sync) == ["t1", "t2"]
    assert sync.relay.wakeup.is_set()


def test_evacuation_after_a_missed_configuration_is_not_applied(sync):
    update = OperatorsUpdate(7, None, frozenset({"north-a"}), version=12)
    sync.apply_host_update(Update(operators=update), "b")
    assert sync.positions.operators < 7
    assert sync.relay.wakeup.is_set()


def test_forwarded_update_names_its_configuration_version(sync):
    configuration = Configuration(12, (), {}, LIMITS)
    initial = OperatorsUpdate(6, configuration, frozenset())
    sync.apply_store_update(Update(operators=initial))
    forwarded = []
    sync.relay.push = forwarded.append
    evacuated = OperatorsUpdate(7, None, frozenset({"north-a"}))
    sync.apply_store_update(Update(operators=evacuated))
    assert forwarded[0].operators.version == 12
    assert from_plain(to_plain(forwarded[0])) == forwarded[0]
    sync.apply_host_update(Update(operators=forwarded[0].operators), "b")
    assert sync.positions.operators == 7


def test_host_with_a_lagging_store_reports_it_as_unreachable(sync):
    sync.gossip.update_own_state(store=StoreAccess.FOLLOWING)
    sync.record_store_lag()
    assert sync.gossip.host_table.own.store is StoreAccess.AWAY
    sync.record_store_response()
    assert sync.gossip.host_table.own.store is StoreAccess.FOLLOWING


def test_feed_timeout_has_jitter_and_is_below_the_silence_timeout(sync):
    follower = state("d", region="south", store=StoreAccess.FOLLOWING)
    sync.gossip.host_table.record_heartbeat(follower, now=clock.steady())
    timeouts = [sync.feed_timeout_s for _ in range(200)]
    assert max(timeouts) < STORE_SILENCE_TIMEOUT_S - 1.0
    assert min(timeouts) > 1.0
    assert max(timeouts) - min(timeouts) > 0.5


def test_feed_timeout_is_shorter_without_followers_in_other_regions(sync):
    timeouts = [sync.feed_timeout_s for _ in range(200)]
    assert max(timeouts) < STORE_SILENCE_TIMEOUT_S / 2


def restored(*changes):
    """Returns the snapshot of a store that came back from a backup."""
    return TargetsUpdate(NO_POSITION, position_of(1, 4), changes)


def test_evacuations_hold_while_a_restored_store_may_lack_them(
    sync, monkeypatch
):
    sync.apply_store_update(
        Update(OperatorsUpdate(12, None, frozenset({"north-a"})))
    )
    position = position_of(1, 3)
    sync.apply_store_update(
        Update(OperatorsUpdate(position, None, frozenset()))
    )
    assert usable(sync) == []
    assert sync.evacuated == frozenset()
    now = clock.steady()
    monkeypatch.setattr(clock, "steady", lambda: now + RESTORE_HOLD_S + 0.1)
    sync.expire()
    assert usable(sync) == ["t1", "t2"]


def test_evacuations_after_a_restore_count(sync):
    sync.apply_store_update(Update(OperatorsUpdate(12, None, frozenset())))
    for version, evacuated in ((3, frozenset()), (4, frozenset({"north-a"}))):
        update = OperatorsUpdate(position_of(1, version), None, evacuated)
        sync.apply_store_update(Update(update))
    assert usable(sync) == []


@pytest.mark.parametrize(
    "left", [record("t1", is_draining=True), None], ids=["draining", "gone"]
)
def test_targets_that_left_are_not_used_while_a_restored_store_has_them(
    sync, monkeypatch, left
):
    update = TargetsUpdate(10, 11, (RecordChange("t1", 11, left),))
    sync.apply_store_update(Update(targets=update))
    present = [
        RecordChange(name, position_of(1, 2), record(name))
        for name in ("t1", "t2")
    ]
    sync.apply_store_update(Update(targets=restored(*present)))
    assert usable(sync) == ["t2"]
    now = clock.steady()
    monkeypatch.setattr(clock, "steady", lambda: now + RESTORE_HOLD_S + 0.1)
    sync.expire()
    assert usable(sync) == ["t1", "t2"]


def test_targets_that_a_restored_store_lacks_are_kept_for_a_while(
    sync, monkeypatch
):
    sync.apply_store_update(Update(targets=restored()))
    assert usable(sync) == ["t1", "t2"]
    now = clock.steady()
    monkeypatch.setattr(
        clock, "steady", lambda: now + MISSING_RECORD_GRACE_S + 0.1
    )
    sync.expire()
    assert usable(sync) == []


def test_a_host_of_an_earlier_epoch_gets_a_snapshot(sync):
    sync.apply_store_update(
        Update(targets=restored(RecordChange("t1", 7, record("t1"))))
    )
    assert sync.update_since(Positions(-1, 10)).targets.is_snapshot
