"""Claims of request ids without a ticket in the platform's table.

The host that inserts the row of such an id owns it. Before a request with the
id is dispatched, a row that names this incarnation is inserted, many ids in
one transaction. After a lost answer the same transaction is run again: it
either commits or returns the rows, and a row with the transaction's change id
belongs to this host.
"""

import json
from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core import pipeline
from sardinewheel_core.codec import from_plain, load_json, to_plain
from sardinewheel_core.effects import Transact, TransactionEnded
from sardinewheel_core.errors import MessageError
from sardinewheel_core.exchange import Exchange, Stage
from sardinewheel_core.request import Answer, Outcome, Reason, Refusal
from sardinewheel_core.ticket import Owner

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

MAX_CLAIMS_PER_TRANSACTION = 64
RETRY_INTERVAL_S = 0.5


class ClaimRow(NamedTuple):
    """Value of the row of a claimed id.

    Attributes:
        host: Seat of the owner.
        incarnation: Incarnation of the owner.
        change_id: Change id of the transaction that inserted the row.
    """

    host: str
    incarnation: int
    change_id: str

    @property
    def owner(self) -> Owner:
        """The only incarnation that may execute the request."""
        return Owner(self.host, self.incarnation)


class ClaimQueue:
    """Exchanges whose request ids are being claimed.

    Attributes:
        waiting: Exchanges that are not part of a transaction yet.
        batch: Exchanges of the current transaction.
        call_id: Call id of the pending transaction, or 0.
        change_id: Change id of the current transaction; kept until its
            outcome is known.
        retry_at: When an unanswered transaction is run again.
    """

    def __init__(self):
        self.waiting: list[Exchange] = []
        self.batch: list[Exchange] = []
        self.call_id = 0
        self.change_id = ""
        self.retry_at = 0.0

    @property
    def is_outcome_unknown(self) -> bool:
        """Whether the latest transaction got no answer from the platform."""
        return bool(self.change_id) and not self.call_id


def claim_key(request_id: str) -> str:
    """Returns the key of the row of a request id."""
    return f"claim/{request_id}"


def decode_row(text: str) -> ClaimRow | None:
    """Returns the value of a row, or ``None`` if it is malformed."""
    try:
        return from_plain(load_json(text), ClaimRow)
    except MessageError:
        return None


def add(host: "EntryHost", now: float, exchange: Exchange) -> None:
    """Claims the request id of an exchange.

    Ends the exchange at once while the platform does not answer.
    """
    exchange.stage = Stage.CLAIMING
    if host.claims.is_outcome_unknown:
        _abandon_claim(host, now, exchange)
        return
    host.claims.waiting.append(exchange)
    _start_transaction(host)


def on_transaction(
    host: "EntryHost", now: float, event: TransactionEnded
) -> None:
    """Handles the end of the pending transaction."""
    queue = host.claims
    if event.call_id != queue.call_id:
        return
    queue.call_id = 0
    if event.failed:
        queue.retry_at = now + RETRY_INTERVAL_S
        waiting, queue.waiting = queue.waiting, []
        for exchange in waiting:
            _abandon_claim(host, now, exchange)
        return
    batch, queue.batch = queue.batch, []
    change_id, queue.change_id = queue.change_id, ""
    rows = {key: decode_row(value) for key, n, value in event.rows if n}
    for exchange in batch:
        _resolve_claim(host, now, exchange, event.committed, rows, change_id)
    _start_transaction(host)


def on_tick(host: "EntryHost", now: float) -> None:
    """Retries an unanswered transaction and ends expired exchanges."""
    queue = host.claims
    if queue.is_outcome_unknown and now >= queue.retry_at:
        _send_transaction(host)
    for exchange in queue.waiting + queue.batch:
        if exchange.request.deadline <= now:
            _abandon_claim(host, now, exchange)
    queue.waiting = [e for e in queue.waiting if e.stage is Stage.CLAIMING]


def _start_transaction(host: "EntryHost") -> None:
    queue = host.claims
    if queue.change_id or not queue.waiting:
        return
    queue.batch = queue.waiting[:MAX_CLAIMS_PER_TRANSACTION]
    queue.waiting = queue.waiting[MAX_CLAIMS_PER_TRANSACTION:]
    name, incarnation = host.owner
    queue.change_id = f"claim-{name}-{incarnation:x}-{host.next_id()}"
    _send_transaction(host)


def _send_transaction(host: "EntryHost") -> None:
    queue = host.claims
    queue.call_id = host.next_id()
    value = json.dumps(to_plain(ClaimRow(*host.owner, queue.change_id)))
    keys = [claim_key(exchange.request.id) for exchange in queue.batch]
    host.emit(
        Transact(
            queue.call_id,
            queue.change_id,
            checks=tuple((key, 0) for key in keys),
            writes=tuple((key, value) for key in keys),
        )
    )


def _resolve_claim(
    host: "EntryHost",
    now: float,
    exchange: Exchange,
    committed: bool,
    rows: dict[str, ClaimRow | None],
    change_id: str,
) -> None:
    if exchange.stage is not Stage.CLAIMING:
        return
    key = claim_key(exchange.request.id)
    if committed:
        _execute(host, now, exchange)
    elif key not in rows:
        host.claims.waiting.append(exchange)
    elif rows[key] is None:
        _finish_unknown(host, now, exchange, Reason.CLAIM_UNREADABLE)
    elif rows[key].change_id == change_id:
        _execute(host, now, exchange)
    elif rows[key].owner == host.owner:
        # An earlier claim of this host, whose outcome record was dropped.
        _finish_unknown(host, now, exchange, Reason.TICKET_EXPIRED)
    else:
        host.outcome_store.discard(exchange.request.id)
        pipeline.delegate_to_owner(host, now, exchange, rows[key].owner)


def _execute(host: "EntryHost", now: float, exchange: Exchange) -> None:
    exchange.is_claimed = True
    pipeline.run_execution_filters(host, now, exchange)


def _abandon_claim(host: "EntryHost", now: float, exchange: Exchange) -> None:
    if not exchange.request.is_first_attempt:
        _finish_unknown(host, now, exchange, Reason.PLATFORM_AWAY)
        return
    refusal = Refusal(
        Reason.PLATFORM_AWAY, RETRY_INTERVAL_S * (1 + host.rng.random())
    )
    answer = Answer(exchange.request.id, Outcome.NOT_RUN, refusal=refusal)
    pipeline.finish(host, now, exchange, answer)


def _finish_unknown(
    host: "EntryHost", now: float, exchange: Exchange, reason: Reason
) -> None:
    answer = Answer(exchange.request.id, Outcome.UNKNOWN, reason=reason)
    pipeline.finish(host, now, exchange, answer)
