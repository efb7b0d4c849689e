"""The latest change of each target, from which other hosts catch up."""

from sardinewheel_gateway.policy.targets import TargetRecord
from sardinewheel_gateway.policy.updates import (
    NO_POSITION,
    RecordChange,
    TargetsUpdate,
)

MAX_DELETED_RECORDS = 2000
MAX_GONE = 500


class TargetHistory:
    """Provides the changes since a position.

    Attributes:
        changes: Latest change by target id, in order of arrival.
        position: Position up to which all changes are known.
        floor: Position from which all deleted records are known; earlier
            ones may have been discarded.
        gone: Last records of targets that are gone, the latest last.
    """

    def __init__(self):
        self.changes: dict[str, RecordChange] = {}
        self.position = NO_POSITION
        self.floor = NO_POSITION
        self.gone: dict[str, TargetRecord] = {}

    def has_gap_before(self, update: TargetsUpdate) -> bool:
        """Returns whether changes before an update are missing here."""
        return not update.is_snapshot and update.before > self.position

    def apply(self, update: TargetsUpdate) -> None:
        """Applies an update."""
        if update.is_snapshot:
            self.changes.clear()
            self.floor = update.after
        for change in update.changes:
            self._record_gone(change, self.changes.pop(change.target_id, None))
            self.changes[change.target_id] = change
        self.position = max(self.position, update.after)
        self._prune_deleted()

    def since(self, position: int) -> TargetsUpdate:
        """Returns the changes after a position, or a snapshot.

        A snapshot is returned without a position or for one before ``floor``.
        """
        if position < self.floor or position == NO_POSITION:
            existing = (c for c in self.changes.values() if c.record)
            return TargetsUpdate(NO_POSITION, self.position, tuple(existing))
        newer = (c for c in self.changes.values() if c.position > position)
        return TargetsUpdate(position, self.position, tuple(newer))

    def _record_gone(
        self, change: RecordChange, known: RecordChange | None
    ) -> None:
        if change.record is not None:
            self.gone.pop(change.target_id, None)
        elif known is not None and known.record is not None:
            self.gone[change.target_id] = known.record
            if len(self.gone) > MAX_GONE:
                del self.gone[next(iter(self.gone))]

    def _prune_deleted(self) -> None:
        deleted = [c for c in self.changes.values() if c.record is None]
        for change in deleted[:-MAX_DELETED_RECORDS]:
            del self.changes[change.target_id]
            self.floor = max(self.floor, change.position)
