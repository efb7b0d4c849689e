"""What targets announce is kept until they announce something else."""

import pytest
from sardinewheel_gateway.policy.announcements import (
    Announcement,
    AnnouncementTable,
)


@pytest.fixture
def table():
    return AnnouncementTable()


def test_only_changes_are_news(table):
    assert not table.record("t0", Announcement())
    assert table.record("t0", Announcement(2.0))
    assert not table.record("t0", Announcement(2.0))
    assert table.record("t0", Announcement(1.5))
    assert table.limits == {"t0": 1.5}
    assert table.record("t0", Announcement())
    assert table.limits == {}


def test_a_limit_of_zero_is_a_limit(table):
    assert table.record("t0", Announcement(0.0))
    assert table.limits == {"t0": 0.0}


def test_a_target_that_has_left_has_no_limit(table):
    table.record("t0", Announcement(2.0))
    table.forget("t0")
    assert table.limits == {}


def test_invalid_announcements_are_reported_once_per_target(table):
    assert table.is_first_invalid("t0")
    assert not table.is_first_invalid("t0")
    assert table.is_first_invalid("t1")
