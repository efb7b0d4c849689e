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
ATTEMPT_KEPT_S = EPOCH_S * (TICKET_EPOCHS + 1)


class Record(NamedTuple):
    """What is known of one id.

    Attributes:
        outcome: What became of it.
        epoch: Epoch of its ticket.
        status: HTTP status of the target's response, when done.
        reason: Why it was refused or is unknown.
        attempt_id: Attempt whose response the driver may still hold.
        fingerprint: Digest of the request.
    """

    outcome: Outcome
    epoch: int
    status: int = 0
    reason: Reason = Reason.NONE
    attempt_id: int = 0
    fingerprint: str = ""


class OutcomeBook:
    """Records by request id, oldest epoch dropped first.

    Attributes:
        epoch: Current ticket epoch of this incarnation.
        first_epoch: Epoch at which this host began to keep the book.
        records: Records by request id.
        is_closed: Whether a successor decides about ids that are not in it.
    """

    def __init__(self, *, started_at: float, max_records: int = MAX_RECORDS):
        self.started_at = started_at
        self.max_records = max_records
        self.epoch = 0
        self.first_epoch = 0
        self.records: dict[str, Record] = {}
        self.is_closed = False
        self._ids_by_epoch: dict[int, list[str]] = {}

    @classmethod
    def from_records(
        cls, now: float, epoch: int, records: dict[str, Record]
    ) -> "OutcomeBook":
        """Returns the book of another incarnation, counted on from here.

        Args:
            now: Time on the local monotonic clock, in seconds.
            epoch: Epoch that the other incarnation had reached.
            records: Its records.
        """
        book = cls(started_at=now - epoch * EPOCH_S)
        book.epoch = epoch
        book.first_epoch = epoch
        for request_id, record in records.items():
            book.records[request_id] = record
            book._ids_by_epoch.setdefault(record.epoch, []).append(request_id)
        return book

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

    def begin(
        self, request_id: str, epoch: int, *, fingerprint: str = ""
    ) -> None:
        """Records that an id is in progress."""
        self.records[request_id] = Record(
            Outcome.PENDING, epoch, fingerprint=fingerprint
        )
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
        """Records the final outcome of an id that was begun.

        An id whose record has expired stays without one: its epoch is no
        longer accepted.
        """
        record = self.records.get(request_id)
        if record is None:
            return
        self.records[request_id] = record._replace(
            outcome=outcome, status=status, reason=reason, attempt_id=attempt_id
        )

    def forget(self, request_id: str) -> None:
        """Drops an id that turned out to be another host's."""
        self.records.pop(request_id, None)


class AttemptLog:
    """Delegated attempts that arrived lately, to refuse copies of them.

    Attributes:
        seen_at: When each attempt arrived, oldest first.
    """

    def __init__(self):
        self.seen_at: dict[str, float] = {}

    def add(self, now: float, attempt: str) -> bool:
        """Adds an attempt; says whether it is new."""
        if attempt in self.seen_at:
            return False
        self.seen_at[attempt] = now
        return True

    def advance(self, now: float) -> None:
        """Drops attempts that are too old for a copy to arrive."""
        while self.seen_at:
            attempt = next(iter(self.seen_at))
            if now - self.seen_at[attempt] < ATTEMPT_KEPT_S:
                return
            del self.seen_at[attempt]
