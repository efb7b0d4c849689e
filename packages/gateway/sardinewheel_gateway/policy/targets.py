"""Tracks targets that register and leave on their own.

The registry is the table of the store that holds the targets' records.
"""

from collections.abc import Iterable
from typing import NamedTuple

from sardinewheel_gateway.policy.values import (
    MAX_SECONDS,
    check_address,
    check_identifier,
    check_integer,
    check_number,
    check_text,
)

MISSING_RECORD_GRACE_S = 2.2
MIN_EXPIRING_OUTAGE_S = 2.0
MAX_LEAVING = 2000
# Time in which a write of the incarnation before may still be performed.
LATE_WRITE_S = 8.0
# Time after the registry came back from a backup for which what was known of
# targets that leave goes before its records. Targets write theirs again.
RESTORE_HOLD_S = 6.0
MAX_SLOTS = 100_000
# Milliseconds since the Unix epoch.
MAX_STARTED_MS = 2**53


class TargetRecord(NamedTuple):
    """Record that a target writes to the registry.

    Attributes:
        target_id: Identity that the target checks requests against.
        started_ms: Start of its process in milliseconds; identifies its
            incarnation together with ``target_id``.
        service: Name of its service.
        address: ``host:port`` for requests.
        domain: Its failure domain.
        slots: Requests that it executes concurrently.
        is_draining: Whether it is about to leave.
        cold_left_s: Seconds for which it remained cold when it wrote the
            record.
    """

    target_id: str
    started_ms: int
    service: str
    address: str
    domain: str
    slots: int
    is_draining: bool
    cold_left_s: float


def check_record(record: TargetRecord) -> TargetRecord:
    """Returns a record whose values can be used in all later steps.

    Raises:
        ValueError: A value is of another type, or out of its range.
    """
    return TargetRecord(
        target_id=check_identifier(record.target_id, "id"),
        started_ms=check_integer(
            record.started_ms, "start", maximum=MAX_STARTED_MS
        ),
        service=check_text(record.service, "service"),
        address=check_address(record.address, "address"),
        domain=check_text(record.domain, "domain"),
        slots=check_integer(
            record.slots, "slots", minimum=1, maximum=MAX_SLOTS
        ),
        is_draining=bool(record.is_draining),
        cold_left_s=check_number(
            record.cold_left_s, "cold period", maximum=MAX_SECONDS
        ),
    )


class Target:
    """A target and its state.

    Attributes:
        record: Its latest record.
        joined_at: Time at which this incarnation became known here.
        cold_until: Time from which it is no longer cold, in seconds of the
            monotonic clock.
        expires_at: Time at which it is removed because its record is missing;
            ``None`` while it has one.
    """

    def __init__(self, record: TargetRecord, *, now: float):
        self.record = record
        self.joined_at = now
        self.cold_until = now + record.cold_left_s
        self.expires_at: float | None = None

    def is_cold(self, now: float) -> bool:
        """Returns whether the target still gets a limited request rate."""
        return now < self.cold_until


class TargetChange(NamedTuple):
    """A change of a target's state.

    Attributes:
        target_id: Id of the target.
        event: ``joined``, ``restarted``, ``draining``, ``cold``, ``changed``,
            ``missing`` or ``gone``; logged as ``target-`` and the event.
    """

    target_id: str
    event: str


class TargetTable:
    """All known targets.

    A target whose record is missing after an outage of the registry is kept
    until ``MISSING_RECORD_GRACE_S`` after the end of the outage: its record may
    have expired meanwhile, and the target writes it again within that time.

    Attributes:
        targets: Targets by id.
        evacuated: Failure domains whose targets receive no requests.
        has_loaded: Whether the registry was read at least once.
        cold_periods_s: Seconds for which targets stay cold, by service.
        revision: Number of changes to the set of usable targets; invalidates
            ``usable_cache``.
        recovered_at: Time at which the registry last recovered from an outage.
        last_outage_s: Duration of that outage in seconds.
        usable_cache: Revision and usable targets by service.
        leaving: Start of the process of each target that announced that it is
            leaving, by target id. Kept if its record goes and comes back.
        held: Targets that are not used until ``held_until``, as they were
            leaving, or gone, before the registry came back from a backup.
        held_until: See ``held``.
    """

    def __init__(self):
        self.targets: dict[str, Target] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.has_loaded = False
        self.revision = 0
        self.recovered_at: float | None = None
        self.last_outage_s = 0.0
        self.usable_cache: dict[str, tuple[int, list[Target]]] = {}
        self.cold_periods_s: dict[str, float] = {}
        self.leaving: dict[str, int] = {}
        self.held: frozenset[tuple[str, int]] = frozenset()
        self.held_until = float("-inf")

    def put(self, record: TargetRecord, *, now: float) -> TargetChange | None:
        """Adds or updates a target from its record; returns what changed."""
        known = self.targets.get(record.target_id)
        if known is not None and _is_older(record, known, now):
            return None
        if known is None or known.record.started_ms != record.started_ms:
            self.targets[record.target_id] = Target(record, now=now)
            self.revision += 1
            event = "joined" if known is None else "restarted"
            return TargetChange(record.target_id, event)
        known.expires_at = None
        became_cold = record.cold_left_s > 0.0 and not known.is_cold(now)
        known.cold_until = max(known.cold_until, now + record.cold_left_s)
        if known.record == record:
            return None
        began_draining = record.is_draining and not known.record.is_draining
        known.record = record
        self.revision += 1
        if began_draining:
            event = "draining"
        else:
            event = "cold" if became_cold else "changed"
        return TargetChange(record.target_id, event)

    def remove(self, target_id: str, *, now: float) -> TargetChange | None:
        """Handles a missing record of a target; returns what changed."""
        target = self.targets.get(target_id)
        if target is None:
            return None
        if self._has_no_recent_outage(now):
            return self._forget(target_id)
        if target.expires_at is None:
            target.expires_at = self.recovered_at + MISSING_RECORD_GRACE_S
            return TargetChange(target_id, "missing")
        return None

    def replace_all(
        self, records: Iterable[TargetRecord], *, now: float
    ) -> list[TargetChange]:
        """Applies a snapshot of all records of the registry."""
        records = list(records)
        self.has_loaded = True
        present = {record.target_id for record in records}
        changes = [self.put(record, now=now) for record in records]
        missing = [x for x in self.targets if x not in present]
        changes += [self.remove(x, now=now) for x in missing]
        return [change for change in changes if change is not None]

    def record_registry_recovery(self, *, away_s: float, now: float) -> None:
        """Records that the registry is available again after an outage.

        Args:
            away_s: Duration of the outage in seconds. Outages shorter than
                ``MIN_EXPIRING_OUTAGE_S`` are ignored, since no record expires
                in them.
            now: Time at which it became available, on the monotonic clock.
        """
        if away_s < MIN_EXPIRING_OUTAGE_S:
            return
        if self.recovered_at is None or now > self.recovered_at:
            self.recovered_at = now
            self.last_outage_s = away_s

    def record_restore(
        self, gone: Iterable[TargetRecord], *, now: float
    ) -> None:
        """Records that the registry has come back from a backup.

        Its records may lack the latest changes until the targets write them
        again: targets that leave or are gone are not used meanwhile, and those
        without a record are kept for a while.

        Args:
            gone: Last records of targets that are gone.
            now: Seconds of the monotonic clock.
        """
        known = (target.record for target in self.targets.values())
        draining = [record for record in known if record.is_draining]
        self.held |= {
            (record.target_id, record.started_ms)
            for record in (*draining, *gone)
        }
        self.held_until = now + RESTORE_HOLD_S
        self.revision += 1
        self.record_registry_recovery(away_s=MIN_EXPIRING_OUTAGE_S, now=now)

    def mark_leaving(self, record: TargetRecord) -> None:
        """Uses a target no more until it starts again."""
        if self._is_leaving(record):
            return
        self.leaving.pop(record.target_id, None)
        self.leaving[record.target_id] = record.started_ms
        if len(self.leaving) > MAX_LEAVING:
            del self.leaving[next(iter(self.leaving))]
        self.revision += 1

    def recent_outage_s(self, *, now: float) -> float:
        """Returns the duration of an outage that ended recently, else 0."""
        return 0.0 if self._has_no_recent_outage(now) else self.last_outage_s

    def expire(self, *, now: float) -> list[TargetChange]:
        """Removes the targets whose ``expires_at`` has passed."""
        if self.held and now >= self.held_until:
            self.held = frozenset()
            self.revision += 1
        due = [
            target_id
            for target_id, target in self.targets.items()
            if target.expires_at is not None and target.expires_at <= now
        ]
        return [self._forget(target_id) for target_id in due]

    def evacuate(self, domains: frozenset[str], *, now: float) -> bool:
        """Sets the evacuated failure domains; returns whether they changed.

        Targets of a domain that is no longer evacuated count as cold, since
        they may have received no requests in the meantime.
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
        """Returns the targets of a service that may receive requests."""
        cached = self.usable_cache.get(service)
        if cached is not None and cached[0] == self.revision:
            return cached[1]
        found = [
            target
            for target in self.targets.values()
            if target.record.service == service
            and not target.record.is_draining
            and not self._is_leaving(target.record)
            and not self._is_held(target.record)
            and target.record.domain not in self.evacuated
        ]
        found.sort(key=lambda target: target.record.target_id)
        self.usable_cache[service] = (self.revision, found)
        return found

    def is_expected_to_run(self, target: Target) -> bool:
        """Returns whether a target is known and has not announced its end."""
        record = target.record
        is_known = self.targets.get(record.target_id) is target
        is_ending = record.is_draining or self._is_leaving(record)
        return is_known and not is_ending

    def _is_leaving(self, record: TargetRecord) -> bool:
        return self.leaving.get(record.target_id) == record.started_ms

    def _is_held(self, record: TargetRecord) -> bool:
        return (record.target_id, record.started_ms) in self.held

    def _has_no_recent_outage(self, now: float) -> bool:
        return (
            self.recovered_at is None
            or now - self.recovered_at > MISSING_RECORD_GRACE_S
        )

    def _forget(self, target_id: str) -> TargetChange:
        del self.targets[target_id]
        self.revision += 1
        return TargetChange(target_id, "gone")


def _is_older(record: TargetRecord, known: Target, now: float) -> bool:
    """Returns whether a record is a late write of an earlier incarnation.

    Later on, the clock of the target was set back before it started again.
    """
    if now - known.joined_at > LATE_WRITE_S:
        return False
    return 0 < record.started_ms < known.record.started_ms
