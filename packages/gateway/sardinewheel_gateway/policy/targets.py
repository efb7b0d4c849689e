"""Targets that come and go by themselves, and what is known of each."""

from collections.abc import Iterable
from typing import NamedTuple

STORE_RECOVERY_S = 2.2
MIN_EXPIRING_OUTAGE_S = 2.0


class TargetRecord(NamedTuple):
    """What a target says of itself in the registry.

    Attributes:
        target_id: Identity that the target checks requests against.
        started_ms: Start of its process; with ``target_id`` its incarnation.
        service: Name of its service.
        address: ``host:port`` where it takes requests.
        domain: Its failure domain.
        slots: Requests that it executes at once.
        is_draining: Whether it is about to leave.
        cold_left_s: Seconds for which it was still cold when it wrote this.
    """

    target_id: str
    started_ms: int
    service: str
    address: str
    domain: str
    slots: int
    is_draining: bool
    cold_left_s: float


class Target:
    """A target and when it may be used.

    Attributes:
        record: What it last said of itself.
        cold_until: When it is warm, in seconds of the steady clock.
        expires_at: When it counts as gone, if its record is missing.
    """

    def __init__(self, record: TargetRecord, *, now: float):
        self.record = record
        self.cold_until = now + record.cold_left_s
        self.expires_at: float | None = None

    def is_cold(self, now: float) -> bool:
        """Says whether the target bears only few requests yet."""
        return now < self.cold_until


class TargetChange(NamedTuple):
    """A change of what is believed of a target, for the log."""

    target_id: str
    event: str


class TargetTable:
    """All targets that are known.

    A target whose record is missing when the registry comes back counts as
    present for ``STORE_RECOVERY_S``: its record may have lapsed while the
    registry was away, and is written again then.

    Attributes:
        targets: Targets by id.
        evacuated: Failure domains whose targets get nothing.
        has_loaded: Whether the registry was read at least once.
        cold_periods_s: Seconds for which targets stay cold, by service.
        revision: Counts changes of the set of usable targets.
    """

    def __init__(self):
        self.targets: dict[str, Target] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.has_loaded = False
        self.revision = 0
        self.recovered_at: float | None = None
        self.away_s = 0.0
        self.usable_cache: dict[str, tuple[int, list[Target]]] = {}
        self.cold_periods_s: dict[str, float] = {}

    def put(self, record: TargetRecord, *, now: float) -> TargetChange | None:
        """Takes a target's record."""
        known = self.targets.get(record.target_id)
        if known is not None and _is_older(record, known.record):
            return None
        if known is None or known.record.started_ms != record.started_ms:
            self.targets[record.target_id] = Target(record, now=now)
            self.revision += 1
            event = "joined" if known is None else "restarted"
            return TargetChange(record.target_id, event)
        known.expires_at = None
        known.cold_until = max(known.cold_until, now + record.cold_left_s)
        if known.record == record:
            return None
        has_left = record.is_draining and not known.record.is_draining
        known.record = record
        self.revision += 1
        event = "draining" if has_left else "changed"
        return TargetChange(record.target_id, event)

    def remove(self, target_id: str, *, now: float) -> TargetChange | None:
        """Takes the news that a target's record is missing."""
        target = self.targets.get(target_id)
        if target is None:
            return None
        if self._registry_is_settled(now):
            return self._forget(target_id)
        if target.expires_at is None:
            target.expires_at = now + STORE_RECOVERY_S
            return TargetChange(target_id, "missing")
        return None

    def replace_all(
        self, records: Iterable[TargetRecord], *, now: float
    ) -> list[TargetChange]:
        """Takes all records of the registry at once."""
        records = list(records)
        self.has_loaded = True
        present = {record.target_id for record in records}
        changes = [self.put(record, now=now) for record in records]
        missing = [x for x in self.targets if x not in present]
        changes += [self.remove(x, now=now) for x in missing]
        return [change for change in changes if change is not None]

    def registry_returned(self, *, away_s: float, now: float) -> None:
        """Notes that the registry answers again after it was away.

        Args:
            away_s: Seconds for which it was away; no record lapses in a
                short absence.
            now: Seconds of the steady clock.
        """
        if away_s >= MIN_EXPIRING_OUTAGE_S:
            self.recovered_at = now
            self.away_s = away_s

    def recent_outage_s(self, *, now: float) -> float:
        """Returns how long the registry was away, if it just returned."""
        return 0.0 if self._registry_is_settled(now) else self.away_s

    def expire(self, *, now: float) -> list[TargetChange]:
        """Forgets the targets whose record stayed missing."""
        due = [
            target_id
            for target_id, target in self.targets.items()
            if target.expires_at is not None and target.expires_at <= now
        ]
        return [self._forget(target_id) for target_id in due]

    def evacuate(self, domains: frozenset[str], *, now: float) -> bool:
        """Sets the evacuated failure domains; says whether they changed.

        Targets of a domain that is given back count as cold, since nothing
        may have used them meanwhile.
        """
        if domains == self.evacuated:
            return False
        returned = self.evacuated - domains
        self.evacuated = domains
        self.revision += 1
        for target in self.targets.values():
            if target.record.domain in returned:
                period = self.cold_periods_s.get(target.record.service, 0.0)
                target.cold_until = max(target.cold_until, now + period)
        return True

    def usable(self, service: str) -> list[Target]:
        """Returns the targets of a service that may get requests."""
        cached = self.usable_cache.get(service)
        if cached is not None and cached[0] == self.revision:
            return cached[1]
        found = [
            target
            for target in self.targets.values()
            if target.record.service == service
            and not target.record.is_draining
            and target.record.domain not in self.evacuated
        ]
        found.sort(key=lambda target: target.record.target_id)
        self.usable_cache[service] = (self.revision, found)
        return found

    def _registry_is_settled(self, now: float) -> bool:
        return (
            self.recovered_at is None
            or now - self.recovered_at > STORE_RECOVERY_S
        )

    def _forget(self, target_id: str) -> TargetChange:
        del self.targets[target_id]
        self.revision += 1
        return TargetChange(target_id, "gone")


def _is_older(record: TargetRecord, known: TargetRecord) -> bool:
    """Says whether a record is of an earlier start than the known one."""
    return 0 < record.started_ms < known.started_ms
