"""What targets announce about themselves in their responses."""

from typing import NamedTuple


class Announcement(NamedTuple):
    """What one response of a target announces.

    Attributes:
        limit_per_s: Requests per second that the target accepts from all hosts
            together; None if it names no limit.
    """

    limit_per_s: float | None = None


class AnnouncementTable:
    """Latest announcement of each target that makes one.

    Attributes:
        limits: Limit in requests per second, by target id.
        reported_invalid: Targets whose unreadable announcements were reported.
    """

    def __init__(self):
        self.limits: dict[str, float] = {}
        self.reported_invalid: set[str] = set()

    def record(self, target_id: str, announcement: Announcement) -> bool:
        """Records an announcement; returns whether it differs from the last."""
        limit_per_s = announcement.limit_per_s
        if self.limits.get(target_id) == limit_per_s:
            return False
        if limit_per_s is None:
            del self.limits[target_id]
        else:
            self.limits[target_id] = limit_per_s
        return True

    def is_first_invalid(self, target_id: str) -> bool:
        """Returns whether an unreadable announcement is a target's first."""
        if target_id in self.reported_invalid:
            return False
        self.reported_invalid.add(target_id)
        return True

    def forget(self, target_id: str) -> None:
        """Drops the state of a target that has left or restarted."""
        self.limits.pop(target_id, None)
        self.reported_invalid.discard(target_id)
