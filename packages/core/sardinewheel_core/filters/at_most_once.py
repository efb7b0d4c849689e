"""Lets an id that may not be repeated run on one host, once."""

from typing import TYPE_CHECKING

from sardinewheel_core.exchange import Exchange
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
from sardinewheel_core.outcomes import OutcomeBook, Record
from sardinewheel_core.request import Answer, Outcome, Reason, Refusal
from sardinewheel_core.ticket import Owner, Ticket

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

MAX_HOPS = 2


def apply(host: "EntryHost", now: float, exchange: Exchange) -> Verdict:
    """Sends an id to its owner; answers or joins an id that is used."""
    request = exchange.request
    if request.repeatable:
        return Continue()
    if request.delegated:
        return _first_copy_only(host, now, exchange)
    ticket = Ticket.of_request(request.id)
    if ticket is None:
        verdict = _begin(host, now, host.book, host.book.epoch, exchange)
        return Claim() if isinstance(verdict, Continue) else verdict
    book = host.handover.outcomes_of(host, ticket.owner)
    if book is None:
        return to_owner(host, now, exchange, ticket.owner)
    return _begin(host, now, book, ticket.epoch, exchange)


def settle(host: "EntryHost", exchange: Exchange, answer: Answer) -> Answer:
    """Makes a refusal true of the id, not only of this arrival.

    Only the owner may say "not run", only of an id that is not in progress,
    and the id is used up by it: a copy that arrives later must not run.
    """
    request = exchange.request
    if exchange.was_lost and answer.outcome is Outcome.NOT_RUN:
        return _unknown(request.id, answer.refusal.reason)
    is_plain = request.repeatable or request.delegated or exchange.is_owned
    if answer.outcome is not Outcome.NOT_RUN or is_plain:
        return answer
    reason = answer.refusal.reason
    ticket = Ticket.of_request(request.id)
    owner = ticket.owner if ticket else host.owner
    book = host.handover.outcomes_of(host, owner)
    if book is None:
        return _unknown(request.id, reason)
    record = book.find(request.id)
    if record is not None:
        return answer_of(request.id, record)
    epoch = ticket.epoch if ticket else book.epoch
    may_have_run_elsewhere = ticket is None and not request.is_first
    if may_have_run_elsewhere or not _has_place(book, epoch):
        return _unknown(request.id, reason)
    book.begin(request.id, epoch, fingerprint=request.fingerprint)
    exchange.book = book
    return answer


def record(host: "EntryHost", exchange: Exchange, answer: Answer) -> None:
    """Writes the final answer of an owned id into its book."""
    if exchange.book is None:
        return
    reason = answer.refusal.reason if answer.refusal else answer.reason
    outcome = answer.outcome
    is_decided_here = exchange.is_claimed or Ticket.of_request(
        exchange.request.id
    )
    if outcome is Outcome.NOT_RUN and not is_decided_here:
        # True for the caller that hears it now; by the next time it is
        # asked for, another host may have claimed and run the id.
        outcome = Outcome.UNKNOWN
    exchange.book.finish(
        exchange.request.id,
        outcome,
        status=answer.status,
        reason=reason,
        attempt_id=answer.attempt_id,
    )


def answer_of(request_id: str, record: Record) -> Answer:
    """Returns the final answer that a record stands for."""
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
    """Returns what became of an id, or the host to ask."""
    ticket = Ticket.of_request(request_id)
    owner = ticket.owner if ticket else host.owner
    book = host.handover.outcomes_of(host, owner)
    if book is None:
        state = live_owner(host, now, owner)
        return state or _unknown(request_id, Reason.OWNER_GONE)
    record = book.find(request_id)
    if record is None:
        return _unknown(request_id, Reason.NOT_SEEN)
    if record.outcome is Outcome.PENDING:
        is_here = request_id in host.owned
        outcome = Outcome.PENDING if is_here else Outcome.UNKNOWN
        return Answer(request_id, outcome, reason=Reason.IN_PROGRESS)
    return answer_of(request_id, record)


def cancel_unseen(host: "EntryHost", request_id: str) -> Answer:
    """Uses up an owned id that never arrived, so that it cannot run."""
    ticket = Ticket.of_request(request_id)
    book = host.handover.outcomes_of(host, ticket.owner) if ticket else None
    if book is None:
        return _unknown(request_id, Reason.NOT_SEEN)
    known = book.find(request_id)
    if known is not None:
        return answer_of(request_id, known)
    if not _has_place(book, ticket.epoch):
        return _unknown(request_id, Reason.TICKET_EXPIRED)
    book.begin(request_id, ticket.epoch)
    book.finish(request_id, Outcome.NOT_RUN, reason=Reason.CANCELLED)
    return answer_of(request_id, book.find(request_id))


def live_owner(host: "EntryHost", now: float, owner: Owner) -> HostState | None:
    """Returns the live host that decides about an owner's ids."""
    state = host.membership.states.get(owner.host)
    is_same = state is not None and state.incarnation == owner.incarnation
    if is_same and host.membership.is_alive(now, owner.host):
        return state
    successor = host.handover.successors.get(owner, "")
    if successor and host.membership.is_alive(now, successor):
        return host.membership.states.get(successor)
    return None


def to_owner(
    host: "EntryHost", now: float, exchange: Exchange, owner: Owner
) -> Verdict:
    """Hands an id on to its owner; without one, its outcome is unknown."""
    if exchange.request.hops >= MAX_HOPS:
        return unknown(exchange, Reason.HOP_LIMIT)
    state = live_owner(host, now, owner)
    if state is not None:
        return Delegate(state, Reason.TICKET_OWNER)
    known = host.membership.states.get(owner.host)
    if known is not None and known.incarnation == owner.incarnation:
        return unknown(exchange, Reason.OWNER_UNREACHABLE)
    return unknown(exchange, Reason.OWNER_GONE)


def _begin(
    host: "EntryHost",
    now: float,
    book: OutcomeBook,
    epoch: int,
    exchange: Exchange,
) -> Verdict:
    request = exchange.request
    known = book.find(request.id)
    if known is not None:
        return _repeated(host, exchange, known)
    if book.is_closed:
        return _to_successor(host, now, exchange)
    if not book.accepts(epoch):
        return unknown(exchange, Reason.TICKET_EXPIRED)
    if book.is_full:
        return unknown(exchange, Reason.BOOK_FULL)
    book.begin(request.id, epoch, fingerprint=request.fingerprint)
    exchange.book = book
    host.owned[request.id] = exchange
    return Continue()


def _repeated(host: "EntryHost", exchange: Exchange, known: Record) -> Verdict:
    request = exchange.request
    if known.fingerprint != request.fingerprint and known.fingerprint:
        return unknown(exchange, Reason.ID_REUSED)
    first = host.owned.get(request.id)
    if known.outcome is Outcome.PENDING and first is not None:
        return Join(first)
    return Finish(answer_of(request.id, known))


def _to_successor(host: "EntryHost", now: float, exchange: Exchange) -> Verdict:
    if not host.handover.is_confirmed:
        return Park()
    state = host.membership.states.get(host.handover.successor)
    if state is None or exchange.request.hops >= MAX_HOPS:
        return unknown(exchange, Reason.OWNER_UNREACHABLE)
    return Delegate(state, Reason.LEAVING)


def _first_copy_only(
    host: "EntryHost", now: float, exchange: Exchange
) -> Verdict:
    if host.delegations.add(now, exchange.request.attempt):
        return Continue()
    return unknown(exchange, Reason.DUPLICATE)


def _has_place(book: OutcomeBook, epoch: int) -> bool:
    return book.accepts(epoch) and not book.is_full and not book.is_closed


def _unknown(request_id: str, reason: Reason) -> Answer:
    return Answer(request_id, Outcome.UNKNOWN, reason=reason)
