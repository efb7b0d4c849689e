"""The announcement that a response made last counts, at any host."""

import pytest
from sardinewheel_gateway.policy.announcements import (
    EXPIRY_S,
    MAX_REPORTED_AGE_S,
    MAX_REPORTS,
    NEWS_S,
    Announcement,
    AnnouncementTable,
    Report,
    from_plain,
    to_plain,
)

from tests.gateway.policy.test_targets import record

NO_LIMIT = Announcement()


@pytest.fixture
def table():
    return AnnouncementTable()


def limits(table):
    return {key: limit.per_s for key, limit in table.limits.items()}


def report(
    limit_per_s, *, age_s, started_ms=1000, target_id="t0", is_leaving=False
):
    return Report(target_id, started_ms, limit_per_s, is_leaving, age_s)


def test_only_changes_are_news(table):
    assert not table.record(record("t0"), NO_LIMIT, now=0.0)
    assert table.record(record("t0"), Announcement(2.0), now=1.0)
    assert not table.record(record("t0"), Announcement(2.0), now=2.0)
    assert table.record(record("t0"), Announcement(1.5), now=3.0)
    assert limits(table) == {"t0": 1.5}
    assert table.record(record("t0"), NO_LIMIT, now=4.0)
    assert limits(table) == {}


def test_a_limit_of_zero_is_a_limit(table):
    assert table.record(record("t0"), Announcement(0.0), now=0.0)
    assert limits(table) == {"t0": 0.0}


def test_a_target_that_has_left_has_no_limit(table):
    table.record(record("t0"), Announcement(2.0), now=0.0)
    table.forget("t0")
    assert limits(table) == {}
    assert table.take_reports(now=0.0, only_news=False) == []


def test_a_reported_limit_is_known(table):
    assert table.merge(report(2.0, age_s=0.3), record("t0"), now=5.0)
    assert limits(table) == {"t0": 2.0}


def test_the_announcement_seen_last_counts(table):
    table.record(record("t0"), Announcement(2.0), now=5.0)
    assert not table.merge(report(None, age_s=1.0), record("t0"), now=5.5)
    assert limits(table) == {"t0": 2.0}
    assert table.merge(report(None, age_s=0.2), record("t0"), now=6.0)
    assert limits(table) == {}
    assert not table.merge(report(2.0, age_s=0.8), record("t0"), now=6.5)
    assert limits(table) == {}


@pytest.mark.parametrize(
    "other",
    [
        report(2.0, age_s=0.0, started_ms=999),
        report(2.0, age_s=-1.0),
        report(2.0, age_s=MAX_REPORTED_AGE_S + 1.0),
    ],
)
def test_reports_of_an_earlier_start_or_of_no_valid_age_are_ignored(
    table, other
):
    assert not table.merge(other, record("t0"), now=50.0)
    assert limits(table) == {}


def test_a_report_on_an_unknown_target_is_ignored(table):
    assert not table.merge(report(2.0, age_s=0.0), None, now=0.0)
    assert table.entries == {}


def test_a_withdrawal_is_reported_too(table):
    table.record(record("t0"), Announcement(2.0), now=0.0)
    table.record(record("t0"), NO_LIMIT, now=1.0)
    reports = table.take_reports(now=1.5, only_news=True)
    assert reports == [Report("t0", 1000, None, False, 0.5)]


def test_an_entry_without_news_is_reported_in_full_rounds_only(table):
    table.record(record("t0"), Announcement(2.0), now=0.0)
    late = NEWS_S + 0.1
    assert table.take_reports(now=late, only_news=True) == []
    assert len(table.take_reports(now=late, only_news=False)) == 1


def test_all_of_many_entries_are_reported_in_turn(table):
    names = [f"t{number}" for number in range(3 * MAX_REPORTS)]
    for name in names:
        table.record(record(name), Announcement(2.0), now=0.0)
    reported = set()
    for number in range(3):
        reports = table.take_reports(now=number + 1.0, only_news=False)
        assert len(reports) == MAX_REPORTS
        reported.update(x.target_id for x in reports)
    assert reported == set(names)


def test_a_limit_that_no_response_confirms_expires(table):
    table.record(record("t0"), Announcement(2.0), now=0.0)
    table.record(record("t0"), Announcement(2.0), now=10.0)
    assert table.expire(now=EXPIRY_S + 5.0) == []
    assert table.expire(now=EXPIRY_S + 11.0) == ["t0"]
    assert limits(table) == {}


def test_a_withdrawn_announcement_is_dropped_later(table):
    table.record(record("t0"), Announcement(2.0), now=0.0)
    table.record(record("t0"), NO_LIMIT, now=1.0)
    for now in (30.0, 60.0):
        table.record(record("t0"), NO_LIMIT, now=now)
    assert table.expire(now=EXPIRY_S + 2.0) == []
    assert table.entries == {}


def test_invalid_announcements_are_logged_once_per_target(table):
    assert table.is_first_invalid("t0")
    assert not table.is_first_invalid("t0")
    assert table.is_first_invalid("t1")


def test_reports_survive_their_encoding():
    reports = [report(2.5, age_s=0.5), report(None, age_s=1.0)]
    assert from_plain(to_plain(reports)) == reports


@pytest.mark.parametrize("limit", [-1.0, float("nan"), float("inf"), "2"])
def test_an_encoded_limit_that_is_no_rate_is_refused(limit):
    with pytest.raises((ValueError, TypeError)):
        from_plain([["t0", 1000, limit, False, 0.0]])


def test_a_leaving_target_stays_so_whatever_its_last_responses_say(table):
    leaving = Announcement(is_leaving=True)
    change = table.record(record("t0"), leaving, now=0.0)
    assert change == (NO_LIMIT, leaving)
    assert table.record(record("t0"), NO_LIMIT, now=0.1) is None
    assert table.merge(report(None, age_s=0.0), record("t0"), now=1.0) is None
    assert table.take_reports(now=1.0, only_news=True)[0].is_leaving


def test_a_leaving_that_was_seen_earlier_counts(table):
    table.record(record("t0"), Announcement(2.0), now=1.0)
    other = report(None, age_s=0.5, is_leaving=True)
    change = table.merge(other, record("t0"), now=1.2)
    assert change.after == Announcement(2.0, is_leaving=True)


def test_a_reported_leaving_is_known(table):
    other = report(None, age_s=0.1, is_leaving=True)
    change = table.merge(other, record("t0"), now=1.0)
    assert change.after.is_leaving
