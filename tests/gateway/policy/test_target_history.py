"""A host catches up from the latest change of each target."""

from sardinewheel_gateway.policy.target_history import TargetHistory
from sardinewheel_gateway.policy.updates import (
    NO_POSITION,
    RecordChange,
    TargetsUpdate,
)

from tests.gateway.policy.test_targets import record


def change(target_id, position, *, is_deleted=False):
    written = None if is_deleted else record(target_id)
    return RecordChange(target_id, position, written)


def history():
    target_history = TargetHistory()
    snapshot = (change("t1", 2), change("t2", 5))
    target_history.apply(TargetsUpdate(NO_POSITION, 10, snapshot))
    target_history.apply(TargetsUpdate(10, 12, (change("t3", 12),)))
    target_history.apply(
        TargetsUpdate(12, 15, (change("t1", 15, is_deleted=True),))
    )
    return target_history


def test_since_returns_only_later_changes():
    update = history().since(11)
    assert [c.target_id for c in update.changes] == ["t3", "t1"]
    assert (update.before, update.after) == (11, 15)


def test_since_returns_a_snapshot_without_a_usable_position():
    for position in (NO_POSITION, 4):
        update = history().since(position)
        assert update.is_snapshot
        assert [c.target_id for c in update.changes] == ["t2", "t3"]


def test_missing_changes_are_detected():
    target_history = history()
    assert target_history.has_gap_before(TargetsUpdate(16, 17, ()))
    assert not target_history.has_gap_before(TargetsUpdate(15, 17, ()))
    assert not target_history.has_gap_before(TargetsUpdate(NO_POSITION, 17, ()))


def test_host_that_caught_up_has_the_same_state():
    source, other = history(), TargetHistory()
    other.apply(TargetsUpdate(NO_POSITION, 11, (change("t1", 2),)))
    other.apply(source.since(11))
    assert other.position == source.position
    assert other.changes["t1"].record is None
