"""Hand-over of request ids from a host that is shutting down to a successor.

The leaving host begins no further ids, sends all its outcome records to the
successor in parts, and resends each part until it is confirmed. Once all parts
are confirmed, the successor is responsible for the ids, also for those without
a record. Requests that were in progress stay with the leaving host; their
outcomes follow as a second, final set of parts.

The records are addressed to one incarnation of the successor: a process that
replaces it has no record of the ids that the incarnation executed since.
"""

from typing import TYPE_CHECKING

from sardinewheel_core import pipeline
from sardinewheel_core.effects import Send
from sardinewheel_core.exchange import Exchange
from sardinewheel_core.messages import (
    HostState,
    OutcomeRecord,
    OutcomesHandedOn,
    OutcomesTaken,
)
from sardinewheel_core.outcomes import TICKET_EPOCHS, OutcomeStore, Record
from sardinewheel_core.request import Outcome, Reason
from sardinewheel_core.ticket import Owner, Ticket

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

RECORDS_PER_PART = 500
RESEND_INTERVAL_S = 0.2
TIMEOUT_S = 5.0
MAX_SUCCESSORS = 1000

PartKey = tuple[Owner, int, bool]


class HandoverState:
    """Outcome records received from other hosts and sent to the successor.

    Attributes:
        received_outcomes: Outcomes of the other incarnations that this host
            is responsible for.
        parts: Received parts of incomplete sets, by owner and whether the set
            is final, then by part number.
        received_finals: Incarnations whose final set was received.
        successors: Seat responsible for each incarnation that left, as
            learned from gossip.
        successor: Seat that receives this host's records, or empty.
        unconfirmed: Parts that were sent and not confirmed.
        is_confirmed: Whether the successor has confirmed all parts and is
            responsible for this incarnation's ids.
        is_final_sent: Whether the final set was sent.
        resend_at: When unconfirmed parts are sent again.
        confirm_deadline: When this host stops waiting for confirmation.
        pending: Ids that were in progress when the hand-over began, by owner.
        parked: Exchanges that wait until the successor has confirmed.
    """

    def __init__(self):
        self.received_outcomes: dict[Owner, OutcomeStore] = {}
        self.parts: dict[tuple[Owner, bool], dict[int, OutcomesHandedOn]] = {}
        self.received_finals: set[Owner] = set()
        self.successors: dict[Owner, str] = {}
        self.successor = ""
        self.unconfirmed: dict[PartKey, OutcomesHandedOn] = {}
        self.is_confirmed = False
        self.is_final_sent = False
        self.resend_at = 0.0
        self.confirm_deadline = 0.0
        self.pending: dict[Owner, list[str]] = {}
        self.parked: list[Exchange] = []

    def outcome_store_of(
        self, host: "EntryHost", owner: Owner
    ) -> OutcomeStore | None:
        """Returns the outcomes of an owner's ids, if this host holds them."""
        return (
            host.outcome_store
            if owner == host.owner
            else self.received_outcomes.get(owner)
        )


def begin(host: "EntryHost", now: float) -> None:
    """Sends all outcome records to a successor, if there is one."""
    state = _choose_successor(host, now)
    if state is None or host.handover.successor:
        return
    handover = host.handover
    handover.successor = state.name
    handover.confirm_deadline = now + TIMEOUT_S
    for owner, store in _outcomes_by_owner(host).items():
        store.is_closed = True
        handover.pending[owner] = [
            request_id
            for request_id, record in store.records.items()
            if record.outcome is Outcome.PENDING
        ]
        records = _encode(store, list(store.records))
        _queue_parts(host, owner, store.epoch, records, state, is_final=False)
    _send_unconfirmed(host, now)


def on_outcomes_handed_on(
    host: "EntryHost", now: float, sender: str, message: OutcomesHandedOn
) -> None:
    """Stores and confirms a part; completes the hand-over with the last one."""
    if message.receiver != host.identity.incarnation:
        return
    owner = Owner(message.name, message.incarnation)
    if not _is_received(host, owner, message.is_final):
        key = (owner, message.is_final)
        parts = host.handover.parts.setdefault(key, {})
        parts[message.part] = message
        if len(parts) == message.parts:
            _accept_records(host, now, owner, message)
            del host.handover.parts[key]
    confirmation = OutcomesTaken(*owner, message.part, message.is_final)
    state = host.membership.states.get(sender)
    if state is not None:
        host.emit(Send(sender, state.peer_address, confirmation))


def on_outcomes_taken(
    host: "EntryHost", now: float, message: OutcomesTaken
) -> None:
    """Handles the successor's confirmation of a part."""
    handover = host.handover
    owner = Owner(message.name, message.incarnation)
    handover.unconfirmed.pop((owner, message.part, message.is_final), None)
    if handover.successor and not handover.is_confirmed:
        handover.is_confirmed = not handover.unconfirmed
        if handover.is_confirmed:
            _announce(host, now)


def on_tick(host: "EntryHost", now: float) -> None:
    """Resends unconfirmed parts and sends the final set."""
    handover = host.handover
    _expire_received(host, now)
    if not handover.successor:
        return
    if handover.is_confirmed and not handover.is_final_sent and not host.owned:
        _send_final(host, now)
    elif handover.unconfirmed and now >= handover.resend_at:
        _send_unconfirmed(host, now)
    _fail_parked(host, now)


def is_finished(host: "EntryHost", now: float) -> bool:
    """Returns whether no outcome records keep the process from exiting."""
    handover = host.handover
    if not handover.successor or now >= handover.confirm_deadline:
        return True
    return handover.is_final_sent and not handover.unconfirmed


def record_successors(host: "EntryHost", states: tuple[HostState, ...]) -> None:
    """Records which seats are responsible for leaving incarnations."""
    successors = host.handover.successors
    for state in states:
        if state.successor:
            owner = Owner(state.name, state.incarnation)
            successors[owner] = state.successor
        for owner in state.answers_for:
            successors[owner] = state.name
    while len(successors) > MAX_SUCCESSORS:
        del successors[next(iter(successors))]


def _choose_successor(host: "EntryHost", now: float) -> HostState | None:
    intent = host.configuration.intent
    own = host.identity

    def rank(state: HostState) -> tuple:
        return (
            state.domain != own.domain,
            intent.region_of(state.domain) != host.region,
            state.name,
        )

    ready = [s for s in host.membership.ready(now) if s.name != own.name]
    return min(ready, key=rank, default=None)


def _outcomes_by_owner(host: "EntryHost") -> dict[Owner, OutcomeStore]:
    return {host.owner: host.outcome_store, **host.handover.received_outcomes}


def _encode(store: OutcomeStore, ids: list[str]) -> list[OutcomeRecord]:
    return [
        OutcomeRecord(i, str(r.outcome), r.status, str(r.reason))
        for i in ids
        if (r := store.find(i)) is not None
    ]


def _queue_parts(
    host: "EntryHost",
    owner: Owner,
    epoch: int,
    records: list[OutcomeRecord],
    receiver: HostState,
    *,
    is_final: bool,
) -> None:
    parts = max(1, -(-len(records) // RECORDS_PER_PART))
    for part in range(parts):
        first = part * RECORDS_PER_PART
        host.handover.unconfirmed[owner, part, is_final] = OutcomesHandedOn(
            *owner,
            epoch,
            part,
            parts,
            tuple(records[first : first + RECORDS_PER_PART]),
            receiver.incarnation,
            is_final,
        )


def _send_unconfirmed(host: "EntryHost", now: float) -> None:
    handover = host.handover
    handover.resend_at = now + RESEND_INTERVAL_S
    state = host.membership.states[handover.successor]
    for message in handover.unconfirmed.values():
        host.emit(Send(state.name, state.peer_address, message))


def _send_final(host: "EntryHost", now: float) -> None:
    handover = host.handover
    handover.is_final_sent = True
    handover.confirm_deadline = now + TIMEOUT_S
    state = host.membership.states[handover.successor]
    for owner, store in _outcomes_by_owner(host).items():
        if handover.pending.get(owner):
            records = _encode(store, handover.pending[owner])
            _queue_parts(
                host, owner, store.epoch, records, state, is_final=True
            )
    _send_unconfirmed(host, now)


def _is_received(host: "EntryHost", owner: Owner, is_final: bool) -> bool:
    owners = (
        host.handover.received_finals
        if is_final
        else host.handover.received_outcomes
    )
    return owner in owners


def _accept_records(
    host: "EntryHost", now: float, owner: Owner, message: OutcomesHandedOn
) -> None:
    parts = host.handover.parts[owner, message.is_final].values()
    records = {
        r.request_id: _decode(r, message.epoch)
        for p in parts
        for r in p.records
    }
    if message.is_final:
        host.handover.received_finals.add(owner)
        store = host.handover.received_outcomes.get(owner)
        if store is not None:
            store.records.update(records)
    else:
        store = OutcomeStore.from_records(now, message.epoch, records)
        host.handover.received_outcomes[owner] = store
    host.report(
        now,
        "outcomes-taken",
        name=owner.host,
        incarnation=owner.incarnation,
        records=len(records),
    )


def _expire_received(host: "EntryHost", now: float) -> None:
    """Drops received outcomes whose ticket epochs are no longer accepted.

    Also updates ``answers_for`` in this host's own state.
    """
    received = host.handover.received_outcomes
    for owner, store in list(received.items()):
        store.advance(now)
        if (
            not store.is_closed
            and store.epoch > store.first_epoch + TICKET_EPOCHS
        ):
            del received[owner]
    membership = host.membership
    membership.own = membership.own._replace(answers_for=tuple(received))


def _decode(record: OutcomeRecord, epoch: int) -> Record:
    ticket = Ticket.of_request(record.request_id)
    return Record(
        Outcome(record.outcome),
        ticket.epoch if ticket else epoch,
        status=record.status,
        reason=Reason(record.reason),
    )


def _announce(host: "EntryHost", now: float) -> None:
    """Announces the successor and processes parked exchanges again."""
    membership = host.membership
    membership.own = membership.own._replace(successor=host.handover.successor)
    for peer, heartbeat in membership.announce():
        host.emit(Send(peer.host, peer.address, heartbeat))
    host.report(now, "outcomes-handed-on", successor=host.handover.successor)
    parked, host.handover.parked = host.handover.parked, []
    for exchange in parked:
        pipeline.run_all_filters(host, now, exchange)


def _fail_parked(host: "EntryHost", now: float) -> None:
    handover = host.handover
    for exchange in list(handover.parked):
        is_expired = now >= min(
            exchange.request.deadline, handover.confirm_deadline
        )
        if is_expired:
            handover.parked.remove(exchange)
            pipeline.finish_unknown(
                host, now, exchange, Reason.OWNER_UNREACHABLE
            )
