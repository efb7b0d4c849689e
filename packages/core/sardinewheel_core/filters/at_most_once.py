"""At-most-once execution: a non-repeatable request runs on one host, once."""

from typing import TYPE_CHECKING

from sardinewheel_core.exchange import MAX_HOPS, Exchange
from sardinewheel_core.filters.refusals import unknown
from sardinewheel_core.filters.verdict import (
    Claim,
    Continue,
    Delegate,
    Finish,
    Join,
    Park,
    Verdict,
)
from sardinewheel_core.messages import HostState
from sardinewheel_core.outcomes import OutcomeStore, Record
from sardinewheel_core.request import Answer, Outcome, Reason, Refusal
from sardinewheel_core.ticket import Owner, Ticket

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


def apply(host: "EntryHost", now: float, exchange: Exchange) -> Verdict:
    """Delegates an id to its owner; answers or joins an id already used."""
    request = exchange.request
    if request.repeatable:
        return Continue()
    if request.delegated:
        return _check_duplicate(host, now, exchange)
    ticket = Ticket.of_request(request.id)
    if ticket is None:
        verdict = _begin_record(
            host, now, host.outcome_store, host.outcome_store.epoch, exchange
        )
        return Claim() if isinstance(verdict, Continue) else verdict
    store = host.handover.outcome_store_of(host, ticket.owner)
    if store is None:
        return route_to_owner(host, now, exchange, ticket.owner)
    return _begin_record(host, now, store, ticket.epoch, exchange)


def confirm_not_run(
    host: "EntryHost", exchange: Exchange, answer: Answer
) -> Answer:
    """Returns the answer, or "unknown" if "not run" cannot be guaranteed.

    A caller relies on "not run" for the id, not only for this arrival. So only
    the owner may answer it, only for an id that is not in progress, and the id
    is marked as used: a duplicate that arrives later must not run.
    """
    request = exchange.request
    if exchange.had_lost_attempt and answer.outcome is Outcome.NOT_RUN:
        return _unknown(request.id, answer.refusal.reason)
    needs_no_check = (
        request.repeatable or request.delegated or exchange.is_owned
    )
    if answer.outcome is not Outcome.NOT_RUN or needs_no_check:
        return answer
    reason = answer.refusal.reason
    ticket = Ticket.of_request(request.id)
    owner = ticket.owner if ticket else host.owner
    store = host.handover.outcome_store_of(host, owner)
    if store is None:
        return _unknown(request.id, reason)
    record = store.find(request.id)
    if record is not None:
        return answer_from_record(request.id, record)
    epoch = ticket.epoch if ticket else store.epoch
    may_have_run_elsewhere = ticket is None and not request.is_first_attempt
    if may_have_run_elsewhere or not _can_record(store, epoch):
        return _unknown(request.id, reason)
    store.begin(request.id, epoch, fingerprint=request.fingerprint)
    exchange.outcome_store = store
    return answer


def record(host: "EntryHost", exchange: Exchange, answer: Answer) -> None:
    """Records the final answer of an owned id in its outcome store."""
    if exchange.outcome_store is None:
        return
    reason = answer.refusal.reason if answer.refusal else answer.reason
    outcome = answer.outcome
    is_decided_here = exchange.is_claimed or Ticket.of_request(
        exchange.request.id
    )
    if outcome is Outcome.NOT_RUN and not is_decided_here:
        # "Not run" holds for the current caller, but another host may claim
        # and run the id before the outcome is queried again.
        outcome = Outcome.UNKNOWN
    exchange.outcome_store.finish(
        exchange.request.id,
        outcome,
        status=answer.status,
        reason=reason,
        attempt_id=answer.attempt_id,
    )


def answer_from_record(request_id: str, record: Record) -> Answer:
    """Returns the final answer of a recorded id."""
    if record.outcome is Outcome.PENDING:
        return _unknown(request_id, Reason.IN_PROGRESS)
    if record.outcome is Outcome.NOT_RUN:
        refusal = Refusal(record.reason)
        return Answer(request_id, Outcome.NOT_RUN, refusal=refusal)
    return Answer(
        request_id,
        record.outcome,
        attempt_id=record.attempt_id,
        status=record.status,
        reason=record.reason,
    )


def find_outcome(
    host: "EntryHost", now: float, request_id: str
) -> Answer | HostState:
    """Returns the outcome of an id, or the state of the host to query."""
    ticket = Ticket.of_request(request_id)
    owner = ticket.owner if ticket else host.owner
    store = host.handover.outcome_store_of(host, owner)
    if store is None:
        state = live_owner(host, now, owner)
        return state or _unknown(request_id, Reason.OWNER_GONE)
    record = store.find(request_id)
    if record is None:
        return _unknown(request_id, Reason.NOT_SEEN)
    if record.outcome is Outcome.PENDING:
        is_here = request_id in host.owned
        outcome = Outcome.PENDING if is_here else Outcome.UNKNOWN
        return Answer(request_id, outcome, reason=Reason.IN_PROGRESS)
    return answer_from_record(request_id, record)


def cancel_unseen(host: "EntryHost", request_id: str) -> Answer:
    """Marks an owned id that has not arrived as used, so it cannot run."""
    ticket = Ticket.of_request(request_id)
    store = (
        host.handover.outcome_store_of(host, ticket.owner) if ticket else None
    )
    if store is None:
        return _unknown(request_id, Reason.NOT_SEEN)
    existing = store.find(request_id)
    if existing is not None:
        return answer_from_record(request_id, existing)
    if not _can_record(store, ticket.epoch):
        return _unknown(request_id, Reason.TICKET_EXPIRED)
    store.begin(request_id, ticket.epoch)
    store.finish(request_id, Outcome.NOT_RUN, reason=Reason.CANCELLED)
    return answer_from_record(request_id, store.find(request_id))


def live_owner(host: "EntryHost", now: float, owner: Owner) -> HostState | None:
    """Returns the live host responsible for an owner's ids, or ``None``."""
    state = host.membership.states.get(owner.host)
    is_same = state is not None and state.incarnation == owner.incarnation
    if is_same and host.membership.is_alive(now, owner.host):
        return state
    successor = host.handover.successors.get(owner, "")
    if successor and host.membership.is_alive(now, successor):
        return host.membership.states.get(successor)
    return None


def route_to_owner(
    host: "EntryHost", now: float, exchange: Exchange, owner: Owner
) -> Verdict:
    """Delegates an id to its live owner, or ends it as unknown."""
    if exchange.request.hops >= MAX_HOPS:
        return unknown(exchange, Reason.HOP_LIMIT)
    state = live_owner(host, now, owner)
    if state is not None:
        return Delegate(state, Reason.TICKET_OWNER)
    latest = host.membership.states.get(owner.host)
    if latest is not None and latest.incarnation == owner.incarnation:
        return unknown(exchange, Reason.OWNER_UNREACHABLE)
    return unknown(exchange, Reason.OWNER_GONE)


def _begin_record(
    host: "EntryHost",
    now: float,
    store: OutcomeStore,
    epoch: int,
    exchange: Exchange,
) -> Verdict:
    request = exchange.request
    existing = store.find(request.id)
    if existing is not None:
        return _answer_repeated_id(host, exchange, existing)
    if store.is_closed:
        return _delegate_to_successor(host, now, exchange)
    if not store.accepts(epoch):
        return unknown(exchange, Reason.TICKET_EXPIRED)
    if store.is_full:
        return unknown(exchange, Reason.BOOK_FULL)
    store.begin(request.id, epoch, fingerprint=request.fingerprint)
    exchange.outcome_store = store
    host.owned[request.id] = exchange
    return Continue()


def _answer_repeated_id(
    host: "EntryHost", exchange: Exchange, existing: Record
) -> Verdict:
    request = exchange.request
    if existing.fingerprint != request.fingerprint and existing.fingerprint:
        return unknown(exchange, Reason.ID_REUSED)
    first = host.owned.get(request.id)
    if existing.outcome is Outcome.PENDING and first is not None:
        return Join(first)
    return Finish(answer_from_record(request.id, existing))


def _delegate_to_successor(
    host: "EntryHost", now: float, exchange: Exchange
) -> Verdict:
    if not host.handover.is_confirmed:
        return Park()
    state = host.membership.states.get(host.handover.successor)
    if state is None or exchange.request.hops >= MAX_HOPS:
        return unknown(exchange, Reason.OWNER_UNREACHABLE)
    return Delegate(state, Reason.LEAVING)


def _check_duplicate(
    host: "EntryHost", now: float, exchange: Exchange
) -> Verdict:
    if host.delegations.add(now, exchange.request.attempt):
        return Continue()
    return unknown(exchange, Reason.DUPLICATE)


def _can_record(store: OutcomeStore, epoch: int) -> bool:
    return store.accepts(epoch) and not store.is_full and not store.is_closed


def _unknown(request_id: str, reason: Reason) -> Answer:
    return Answer(request_id, Outcome.UNKNOWN, reason=reason)
