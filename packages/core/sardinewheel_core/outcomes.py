"""What became of each request that may not be repeated.

The book is in memory: a ticket binds an id to this incarnation, so nobody
else may execute it, and when the incarnation is gone its ids are answered as
unknown. An id is used up by its first final answer. A record is kept until
its ticket's epoch is too old for the id to be executed, so an id that is no
longer in the book can never run again.
"""

from typing import NamedTuple

from sardinewheel_core.request import Outcome, Reason

EPOCH_S = 30.0
TICKET_EPOCHS = 4
MAX_RECORDS = 200_000


class Record(NamedTuple):
    """What is known of one id.

    Attributes:
        outcome: What became of it.
        epoch: Epoch of its ticket.
        status: HTTP status of the target's response, when done.
        reason: Why it was refused or is unknown.
        attempt_id: Attempt whose response the driver may still hold.
    """

    outcome: Outcome
    epoch: int
    status: int = 0
    reason: Reason = Reason.NONE
    attempt_id: int = 0


class OutcomeBook:
    """Records by request id, oldest epoch dropped first.

    Attributes:
        epoch: Current ticket epoch of this incarnation.
        records: Records by request id.
    """

    def __init__(self, *, started_at: float, max_records: int = MAX_RECORDS):
        self.started_at = started_at
        self.max_records = max_records
        self.epoch = 0
        self.records: dict[str, Record] = {}
        self._ids_by_epoch: dict[int, list[str]] = {}

    def advance(self, now: float) -> None:
        """Moves to the epoch of an instant and drops expired records."""
        self.epoch = int((now - self.started_at) / EPOCH_S)
        oldest = self.epoch - TICKET_EPOCHS - 1
        for epoch in [e for e in self._ids_by_epoch if e < oldest]:
            for request_id in self._ids_by_epoch.pop(epoch):
                self.records.pop(request_id, None)

    def accepts(self, epoch: int) -> bool:
        """Says whether an id of an epoch may still be executed."""
        return self.epoch - TICKET_EPOCHS <= epoch <= self.epoch

    @property
    def is_full(self) -> bool:
        """Whether no further id can be recorded."""
        return len(self.records) >= self.max_records

    def find(self, request_id: str) -> Record | None:
        """Returns the record of an id."""
        return self.records.get(request_id)

    def begin(self, request_id: str, epoch: int) -> None:
        """Records that an id is in progress."""
        self.records[request_id] = Record(Outcome.PENDING, epoch)
        self._ids_by_epoch.setdefault(epoch, []).append(request_id)

    def finish(
        self,
        request_id: str,
        outcome: Outcome,
        *,
        status: int = 0,
        reason: Reason = Reason.NONE,
        attempt_id: int = 0,
    ) -> None:
        """Records the final outcome of an id that was begun."""
        record = self.records[request_id]
        self.records[request_id] = record._replace(
            outcome=outcome, status=status, reason=reason, attempt_id=attempt_id
        )
