"""Lets an id that may not be repeated run on one host, once."""

from typing import TYPE_CHECKING

from sardinewheel_core.exchange import Exchange
from sardinewheel_core.filters.refusals import refuse, unknown
from sardinewheel_core.filters.verdict import (
    Continue,
    Delegate,
    Finish,
    Verdict,
)
from sardinewheel_core.outcomes import Record
from sardinewheel_core.request import Answer, Outcome, Reason, Refusal
from sardinewheel_core.ticket import Ticket

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

MAX_HOPS = 2


class Joined(Finish):
    """The exchange joined another one of the same id."""


def apply(host: "EntryHost", now: float, exchange: Exchange) -> Verdict:
    """Sends an id to the owner of its ticket; answers a used-up id."""
    request = exchange.request
    if request.repeatable or request.delegated:
        return Continue()
    ticket = Ticket.of_request(request.id)
    if ticket is None:
        return refuse(host, now, exchange, Reason.TICKET_MISSING)
    own = (host.identity.name, host.identity.incarnation)
    if (ticket.host, ticket.incarnation) != own:
        return _to_owner(host, now, exchange, ticket)
    record = host.book.find(request.id)
    if record is not None:
        return Finish(answer_of(request.id, record))
    if not host.book.accepts(ticket.epoch):
        return unknown(exchange, Reason.TICKET_EXPIRED)
    if host.book.is_full:
        return refuse(host, now, exchange, Reason.BOOK_FULL)
    host.book.begin(request.id, ticket.epoch)
    exchange.ticket = ticket
    return Continue()


def record(host: "EntryHost", exchange: Exchange, answer: Answer) -> None:
    """Writes the final answer of an owned id into the book."""
    if exchange.ticket is None:
        return
    reason = answer.refusal.reason if answer.refusal else answer.reason
    host.book.finish(
        exchange.request.id,
        answer.outcome,
        status=answer.status,
        reason=reason,
        attempt_id=answer.attempt_id,
    )


def answer_of(request_id: str, record: Record) -> Answer:
    """Returns the answer that a record stands for."""
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


def _to_owner(
    host: "EntryHost", now: float, exchange: Exchange, ticket: Ticket
) -> Verdict:
    state = host.membership.states.get(ticket.host)
    if exchange.request.hops >= MAX_HOPS:
        return unknown(exchange, Reason.HOP_LIMIT)
    if state is None or state.incarnation != ticket.incarnation:
        return unknown(exchange, Reason.OWNER_GONE)
    if not host.membership.is_alive(now, ticket.host):
        return unknown(exchange, Reason.OWNER_UNREACHABLE)
    return Delegate(state, Reason.TICKET_OWNER)
