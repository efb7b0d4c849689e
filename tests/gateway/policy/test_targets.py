"""Targets come and go by their records; the registry may be away."""

from sardinewheel_gateway.policy.targets import (
    STORE_RECOVERY_S,
    TargetRecord,
    TargetTable,
)


def record(target_id="t1", **fields):
    given = {
        "started_ms": 1000,
        "service": "orders",
        "address": "10.0.0.1:80",
        "domain": "north-a",
        "slots": 3,
        "is_draining": False,
        "cold_left_s": 0.0,
    }
    given.update(fields)
    return TargetRecord(target_id=target_id, **given)


def ids(target_table, service="orders"):
    return [t.record.target_id for t in target_table.usable(service)]


def test_a_draining_target_gets_nothing_more():
    target_table = TargetTable()
    target_table.put(record(), now=0.0)
    assert ids(target_table) == ["t1"]
    change = target_table.put(record(is_draining=True), now=1.0)
    assert change.event == "draining"
    assert ids(target_table) == []


def test_a_removed_target_is_gone_at_once_while_the_registry_is_settled():
    target_table = TargetTable()
    target_table.put(record(), now=0.0)
    assert target_table.remove("t1", now=5.0).event == "gone"
    assert ids(target_table) == []


def test_a_record_that_lapsed_while_the_registry_was_away_gets_time():
    target_table = TargetTable()
    target_table.replace_all([record("t1"), record("t2")], now=0.0)
    target_table.registry_returned(away_s=4.0, now=10.0)
    target_table.replace_all([], now=10.0)
    assert ids(target_table) == ["t1", "t2"]
    target_table.put(record("t2"), now=11.0)
    changes = target_table.expire(now=10.0 + STORE_RECOVERY_S)
    assert [(c.target_id, c.event) for c in changes] == [("t1", "gone")]
    assert ids(target_table) == ["t2"]


def test_no_record_lapses_in_a_short_absence():
    target_table = TargetTable()
    target_table.put(record(), now=0.0)
    target_table.registry_returned(away_s=0.5, now=10.0)
    assert target_table.remove("t1", now=10.1).event == "gone"


def test_a_restart_under_the_same_id_is_a_new_incarnation():
    target_table = TargetTable()
    target_table.put(record(started_ms=1000), now=0.0)
    change = target_table.put(record(started_ms=2000, cold_left_s=3.0), now=5.0)
    assert change.event == "restarted"
    assert target_table.targets["t1"].is_cold(7.9)
    assert not target_table.targets["t1"].is_cold(8.1)


def test_a_late_record_of_an_earlier_start_is_ignored():
    target_table = TargetTable()
    target_table.put(record(started_ms=2000), now=0.0)
    old = record(started_ms=1000, address="10.0.0.9:80")
    assert target_table.put(old, now=1.0) is None
    assert target_table.targets["t1"].record.address == "10.0.0.1:80"


def test_an_evacuated_domain_gets_nothing_and_comes_back_cold():
    target_table = TargetTable()
    target_table.cold_periods_s = {"orders": 3.0}
    target_table.put(record(), now=0.0)
    assert target_table.evacuate(frozenset({"north-a"}), now=1.0)
    assert ids(target_table) == []
    assert target_table.evacuate(frozenset(), now=9.0)
    assert ids(target_table) == ["t1"]
    assert target_table.targets["t1"].is_cold(11.9)
