"""Outcomes of non-repeatable requests.

The store is in memory: a ticket binds an id to this incarnation, so no other
host may execute it, and once the incarnation is gone its ids are answered as
unknown. After its first final answer an id is never executed again. A record
is kept until the epoch of its ticket is too old for the id to be executed, so
an id whose record was dropped can never run again.
"""

from typing import NamedTuple

from sardinewheel_core.request import Outcome, Reason

EPOCH_S = 30.0
TICKET_EPOCHS = 4
MAX_RECORDS = 200_000
ATTEMPT_RETENTION_S = EPOCH_S * (TICKET_EPOCHS + 1)


class Record(NamedTuple):
    """Record of one request id.

    Attributes:
        outcome: Outcome of the request.
        epoch: Epoch of its ticket.
        status: HTTP status of the target's response, when done.
        reason: Why it was refused, or why its outcome is unknown.
        attempt_id: Attempt whose response the driver may still hold.
        fingerprint: Digest of the request.
    """

    outcome: Outcome
    epoch: int
    status: int = 0
    reason: Reason = Reason.NONE
    attempt_id: int = 0
    fingerprint: str = ""


class OutcomeStore:
    """Outcome records by request id; the oldest epochs expire first.

    Attributes:
        epoch: Current ticket epoch of this incarnation.
        first_epoch: Epoch at which this host created the store or took it
            over.
        records: Records by request id.
        is_closed: Whether a successor, not this host, decides about ids
            without a record.
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
    ) -> "OutcomeStore":
        """Returns a store with the records of another incarnation.

        Its epochs continue from the epoch that the other one had reached.

        Args:
            now: Time on the local monotonic clock, in seconds.
            epoch: Epoch that the other incarnation had reached.
            records: Records of the other incarnation.
        """
        store = cls(started_at=now - epoch * EPOCH_S)
        store.epoch = epoch
        store.first_epoch = epoch
        for request_id, record in records.items():
            store.records[request_id] = record
            store._ids_by_epoch.setdefault(record.epoch, []).append(request_id)
        return store

    def advance(self, now: float) -> None:
        """Updates the current epoch and drops expired records."""
        self.epoch = int((now - self.started_at) / EPOCH_S)
        oldest = self.epoch - TICKET_EPOCHS - 1
        for epoch in [e for e in self._ids_by_epoch if e < oldest]:
            for request_id in self._ids_by_epoch.pop(epoch):
                self.records.pop(request_id, None)

    def accepts(self, epoch: int) -> bool:
        """Returns whether an id of an epoch may still be executed."""
        return self.epoch - TICKET_EPOCHS <= epoch <= self.epoch

    @property
    def is_full(self) -> bool:
        """Whether the store has reached its maximum number of records."""
        return len(self.records) >= self.max_records

    def find(self, request_id: str) -> Record | None:
        """Returns the record of an id, or ``None``."""
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
        """Records the final outcome of an id in progress.

        If its record has expired, none is added, since the epoch of the id
        is no longer accepted.
        """
        record = self.records.get(request_id)
        if record is None:
            return
        self.records[request_id] = record._replace(
            outcome=outcome, status=status, reason=reason, attempt_id=attempt_id
        )

    def discard(self, request_id: str) -> None:
        """Drops the record of an id that another host turned out to own."""
        self.records.pop(request_id, None)


class DelegatedAttempts:
    """Recently received delegated attempts, to refuse duplicates.

    Attributes:
        seen_at: Arrival time of each attempt, oldest first.
    """

    def __init__(self):
        self.seen_at: dict[str, float] = {}

    def add(self, now: float, attempt: str) -> bool:
        """Adds an attempt; returns whether it is new."""
        if attempt in self.seen_at:
            return False
        self.seen_at[attempt] = now
        return True

    def advance(self, now: float) -> None:
        """Drops attempts that are too old for a duplicate to arrive."""
        while self.seen_at:
            attempt = next(iter(self.seen_at))
            if now - self.seen_at[attempt] < ATTEMPT_RETENTION_S:
                return
            del self.seen_at[attempt]
