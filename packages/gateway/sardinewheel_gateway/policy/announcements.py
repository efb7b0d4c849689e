"""What targets announce about themselves in their responses.

A host learns an announcement from a response of its own or from another host.
The one seen last in a response counts, whichever host received it.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from sardinewheel_gateway.policy.targets import TargetRecord
from sardinewheel_gateway.policy.wire import from_fields

# An announcement that no host has seen in a response for so long is dropped:
# without requests to the target, its end would never be noticed.
EXPIRY_S = 60.0
# Oldest announcement that is reported to, or accepted from, other hosts.
MAX_REPORTED_AGE_S = 30.0
# Lead over the known announcement from which a reported one counts as newer.
# Ages grow by the delay of the network, unnoticed, with each host that passes
# them on.
MIN_LEAD_S = 0.1
NEWS_S = 2.0
MAX_REPORTS = 12


class Announcement(NamedTuple):
    """What one response of a target announces.

    Attributes:
        limit_per_s: Requests per second that the target accepts from all hosts
            together; None if it names no limit.
        is_leaving: Whether it is about to leave and wants no new requests.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False


class Change(NamedTuple):
    """A change of what a target announces."""

    before: Announcement
    after: Announcement


class Report(NamedTuple):
    """An announcement as hosts pass it on to each other.

    Attributes:
        target_id: Id of the target.
        started_ms: Start of the target's process, see ``TargetRecord``.
        limit_per_s: As in ``Announcement``.
        is_leaving: As in ``Announcement``.
        age_s: Seconds since a response announced it, as far as known.
    """

    target_id: str
    started_ms: int
    limit_per_s: float | None
    is_leaving: bool
    age_s: float


class Entry(NamedTuple):
    """The latest announcement of a target.

    Attributes:
        started_ms: Start of the target's process, see ``TargetRecord``.
        announcement: The announcement.
        changed_at: Time at which it became known here.
        seen_at: Time at which a response last announced it.
    """

    started_ms: int
    announcement: Announcement
    changed_at: float
    seen_at: float


class Limit(NamedTuple):
    """A limit that a target names.

    Attributes:
        per_s: Requests per second that it accepts from all hosts together.
        since: Time from which this host knows it.
    """

    per_s: float
    since: float


class AnnouncementTable:
    """Latest announcements of the targets.

    A target that has withdrawn its limit keeps an entry for a while, so that
    hosts which missed the withdrawal learn of it. A target that is leaving does
    not come back, except with another start.

    Attributes:
        entries: Latest announcement by target id.
        limits: Limits in force, by target id.
        reported_at: Time at which an entry was last reported, by target id.
        reported_invalid: Targets whose unreadable announcements were logged.
    """

    def __init__(self):
        self.entries: dict[str, Entry] = {}
        self.limits: dict[str, Limit] = {}
        self.reported_at: dict[str, float] = {}
        self.reported_invalid: set[str] = set()

    def record(
        self, record: TargetRecord, announcement: Announcement, *, now: float
    ) -> Change | None:
        """Records the announcement of a response; returns what changed."""
        known = self.entries.get(record.target_id)
        if known is None and announcement == Announcement():
            return None
        return self._put(record, announcement, seen_at=now, now=now)

    def merge(
        self, report: Report, record: TargetRecord | None, *, now: float
    ) -> Change | None:
        """Applies another host's report; returns what changed.

        Args:
            report: The report.
            record: Record of its target; None if the target is not known.
            now: Seconds of the monotonic clock.
        """
        if record is None or record.started_ms != report.started_ms:
            return None
        if not 0.0 <= report.age_s <= MAX_REPORTED_AGE_S:
            return None
        known = self.entries.get(report.target_id)
        seen_at = now - report.age_s
        announcement = Announcement(report.limit_per_s, report.is_leaving)
        if known is not None and seen_at < known.seen_at + MIN_LEAD_S:
            if not report.is_leaving:
                return None
            # Leaving is final, so it counts even if it was seen earlier.
            announcement = known.announcement._replace(is_leaving=True)
            seen_at = known.seen_at
        return self._put(record, announcement, seen_at=seen_at, now=now)

    def take_reports(self, *, now: float, only_news: bool) -> list[Report]:
        """Returns the entries to report now, the longest unreported first.

        Args:
            now: Seconds of the monotonic clock.
            only_news: Whether to leave out what has not changed for
                ``NEWS_S``.
        """
        due = [
            target_id
            for target_id, entry in self.entries.items()
            if now - entry.seen_at < MAX_REPORTED_AGE_S
            and not (only_news and now - entry.changed_at > NEWS_S)
        ]
        due.sort(key=lambda target_id: self.reported_at.get(target_id, 0.0))
        del due[MAX_REPORTS:]
        self.reported_at.update(dict.fromkeys(due, now))
        return [self._report(target_id, now) for target_id in due]

    def report(self, target_id: str, *, now: float) -> Report | None:
        """Returns the entry of a target to report; None without one."""
        return (
            self._report(target_id, now) if target_id in self.entries else None
        )

    def expire(self, *, now: float) -> list[str]:
        """Drops old entries; returns the ids of targets that had a limit."""
        old = [
            target_id
            for target_id, entry in self.entries.items()
            if now - entry.seen_at > EXPIRY_S
            or (
                entry.announcement == Announcement()
                and now - entry.changed_at > EXPIRY_S
            )
        ]
        limited = [target_id for target_id in old if target_id in self.limits]
        for target_id in old:
            self.forget(target_id)
        return limited

    def is_first_invalid(self, target_id: str) -> bool:
        """Returns whether an unreadable announcement is a target's first."""
        if target_id in self.reported_invalid:
            return False
        self.reported_invalid.add(target_id)
        return True

    def forget(self, target_id: str) -> None:
        """Drops the state of a target that has left or restarted."""
        self.entries.pop(target_id, None)
        self.limits.pop(target_id, None)
        self.reported_at.pop(target_id, None)
        self.reported_invalid.discard(target_id)

    def _put(
        self,
        record: TargetRecord,
        announcement: Announcement,
        *,
        seen_at: float,
        now: float,
    ) -> Change | None:
        target_id = record.target_id
        known = self.entries.get(target_id)
        before = Announcement() if known is None else known.announcement
        if before.is_leaving:
            announcement = announcement._replace(is_leaving=True)
        is_new = announcement != before
        changed_at = now if is_new or known is None else known.changed_at
        self.entries[target_id] = Entry(
            record.started_ms, announcement, changed_at, seen_at
        )
        if announcement.limit_per_s is None:
            self.limits.pop(target_id, None)
        else:
            limit = Limit(announcement.limit_per_s, changed_at)
            self.limits[target_id] = limit
        return Change(before, announcement) if is_new else None

    def _report(self, target_id: str, now: float) -> Report:
        entry = self.entries[target_id]
        return Report(
            target_id,
            entry.started_ms,
            entry.announcement.limit_per_s,
            entry.announcement.is_leaving,
            max(0.0, now - entry.seen_at),
        )


def to_plain(reports: Iterable[Report]) -> list[list]:
    """Returns reports as nested lists, for serialization."""
    return [list(report) for report in reports]


def from_plain(plain: Iterable[list]) -> list[Report]:
    """Returns the reports encoded by ``to_plain``.

    Raises:
        TypeError: There is no list of reports.
        ValueError: An item is no report, or a limit is no rate.
    """
    reports = [from_fields(Report, fields) for fields in plain]
    for report in reports:
        limit_per_s = report.limit_per_s
        if limit_per_s is not None and not 0.0 <= limit_per_s < math.inf:
            raise ValueError(f"limit {limit_per_s!r} of a target")
        if not isinstance(report.is_leaving, bool):
            raise ValueError(f"is_leaving {report.is_leaving!r} of a target")
    return reports
