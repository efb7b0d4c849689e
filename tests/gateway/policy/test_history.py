"""A host catches up by the last change of each target."""

from sardinewheel_gateway.policy.history import TargetHistory
from sardinewheel_gateway.policy.updates import (
    NO_POSITION,
    RecordChange,
    TargetsUpdate,
)

from tests.gateway.policy.test_targets import record


def change(target_id, position, *, is_dropped=False):
    written = None if is_dropped else record(target_id)
    return RecordChange(target_id, position, written)


def history():
    made = TargetHistory()
    whole = (change("t1", 2), change("t2", 5))
    made.apply(TargetsUpdate(NO_POSITION, 10, whole))
    made.apply(TargetsUpdate(10, 12, (change("t3", 12),)))
    made.apply(TargetsUpdate(12, 15, (change("t1", 15, is_dropped=True),)))
    return made


def test_only_what_changed_since_is_told():
    update = history().since(11)
    assert [c.target_id for c in update.changes] == ["t3", "t1"]
    assert (update.before, update.after) == (11, 15)


def test_who_heard_nothing_or_too_little_gets_everything():
    for position in (NO_POSITION, 4):
        update = history().since(position)
        assert update.is_snapshot
        assert [c.target_id for c in update.changes] == ["t2", "t3"]


def test_a_gap_is_noticed():
    made = history()
    assert made.has_gap_before(TargetsUpdate(16, 17, ()))
    assert not made.has_gap_before(TargetsUpdate(15, 17, ()))
    assert not made.has_gap_before(TargetsUpdate(NO_POSITION, 17, ()))


def test_a_host_that_caught_up_knows_the_same():
    source, other = history(), TargetHistory()
    other.apply(TargetsUpdate(NO_POSITION, 11, (change("t1", 2),)))
    other.apply(source.since(11))
    assert other.position == source.position
    assert other.changes["t1"].record is None
