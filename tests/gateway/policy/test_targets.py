"""Targets join and leave by their records, also across registry outages."""

from sardinewheel_gateway.policy.targets import (
    LATE_WRITE_S,
    MISSING_RECORD_GRACE_S,
    TargetRecord,
    TargetTable,
)


def record(target_id="t1", **fields):
    values = {
        "started_ms": 1000,
        "service": "orders",
        "address": "10.0.0.1:80",
        "domain": "north-a",
        "slots": 3,
        "is_draining": False,
        "cold_left_s": 0.0,
    }
    values.update(fields)
    return TargetRecord(target_id=target_id, **values)


def ids(target_table, service="orders"):
    return [t.record.target_id for t in target_table.usable(service)]


def test_draining_target_is_not_usable():
    target_table = TargetTable()
    target_table.put(record(), now=0.0)
    assert ids(target_table) == ["t1"]
    change = target_table.put(record(is_draining=True), now=1.0)
    assert change.event == "draining"
    assert ids(target_table) == []


def test_target_is_removed_at_once_without_a_recent_outage():
    target_table = TargetTable()
    target_table.put(record(), now=0.0)
    assert target_table.remove("t1", now=5.0).event == "gone"
    assert ids(target_table) == []


def test_target_whose_record_expired_in_an_outage_has_a_grace_period():
    target_table = TargetTable()
    target_table.replace_all([record("t1"), record("t2")], now=0.0)
    target_table.record_registry_recovery(away_s=4.0, now=10.0)
    target_table.replace_all([], now=10.0)
    assert ids(target_table) == ["t1", "t2"]
    target_table.put(record("t2"), now=11.0)
    changes = target_table.expire(now=10.0 + MISSING_RECORD_GRACE_S)
    assert [(c.target_id, c.event) for c in changes] == [("t1", "gone")]
    assert ids(target_table) == ["t2"]


def test_grace_period_begins_when_the_registry_recovers():
    """A record that is removed late in the period has not long to return."""
    target_table = TargetTable()
    target_table.put(record(), now=0.0)
    target_table.record_registry_recovery(away_s=4.0, now=10.0)
    assert target_table.remove("t1", now=12.0).event == "missing"
    changes = target_table.expire(now=10.0 + MISSING_RECORD_GRACE_S)
    assert [(c.target_id, c.event) for c in changes] == [("t1", "gone")]


def test_recovery_reported_late_does_not_bring_an_earlier_one_back():
    target_table = TargetTable()
    target_table.put(record(), now=0.0)
    target_table.record_registry_recovery(away_s=4.0, now=10.0)
    target_table.record_registry_recovery(away_s=4.0, now=9.0)
    assert target_table.recovered_at == 10.0


def test_target_is_removed_at_once_after_a_short_outage():
    target_table = TargetTable()
    target_table.put(record(), now=0.0)
    target_table.record_registry_recovery(away_s=0.5, now=10.0)
    assert target_table.remove("t1", now=10.1).event == "gone"


def test_restart_under_the_same_id_is_a_new_incarnation():
    target_table = TargetTable()
    target_table.put(record(started_ms=1000), now=0.0)
    change = target_table.put(record(started_ms=2000, cold_left_s=3.0), now=5.0)
    assert change.event == "restarted"
    assert target_table.targets["t1"].is_cold(7.9)
    assert not target_table.targets["t1"].is_cold(8.1)


def test_late_record_of_an_earlier_incarnation_is_ignored():
    target_table = TargetTable()
    target_table.put(record(started_ms=2000), now=0.0)
    old = record(started_ms=1000, address="10.0.0.9:80")
    assert target_table.put(old, now=1.0) is None
    assert target_table.targets["t1"].record.address == "10.0.0.1:80"


def test_target_that_becomes_cold_again_is_reported_once():
    target_table = TargetTable()
    target_table.put(record(cold_left_s=3.0), now=0.0)
    change = target_table.put(record(cold_left_s=2.0), now=1.0)
    assert change.event == "changed"
    change = target_table.put(record(cold_left_s=2.9), now=9.0)
    assert change.event == "cold"
    change = target_table.put(record(cold_left_s=1.9), now=10.0)
    assert change.event == "changed"


def test_evacuated_domain_is_not_usable_and_returns_cold():
    target_table = TargetTable()
    target_table.cold_periods_s = {"orders": 3.0}
    target_table.put(record(), now=0.0)
    assert target_table.evacuate(frozenset({"north-a"}), now=1.0)
    assert ids(target_table) == []
    assert target_table.evacuate(frozenset(), now=9.0)
    assert ids(target_table) == ["t1"]
    assert target_table.targets["t1"].is_cold(11.9)


def test_a_target_that_starts_again_with_an_earlier_clock_is_followed():
    target_table = TargetTable()
    target_table.put(record(started_ms=2000), now=0.0)
    now = LATE_WRITE_S + 1.0
    change = target_table.put(record(started_ms=1000), now=now)
    assert change.event == "restarted"
    leaving = record(started_ms=1000, is_draining=True)
    assert target_table.put(leaving, now=now).event == "draining"
    assert ids(target_table) == []
