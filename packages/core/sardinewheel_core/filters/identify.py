"""Finds the kind of a request and whether this host takes requests."""

from typing import TYPE_CHECKING

from sardinewheel_core.exchange import Exchange
from sardinewheel_core.filters.refusals import refuse, unknown
from sardinewheel_core.filters.verdict import Continue, Verdict
from sardinewheel_core.intent import Kind
from sardinewheel_core.messages import Phase
from sardinewheel_core.request import Reason
from sardinewheel_core.ticket import Ticket

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

PLAIN_KIND = Kind("", priority=1)


def apply(host: "EntryHost", now: float, exchange: Exchange) -> Verdict:
    """Sets the kind; ends requests that this host does not take."""
    request = exchange.request
    service = host.configuration.intent.services.get(request.service)
    if host.phase is Phase.JOINING:
        return _turn_away(host, now, exchange, Reason.NOT_READY)
    if service is None:
        return _turn_away(host, now, exchange, Reason.UNKNOWN_SERVICE)
    exchange.kind = service.kinds.get(request.kind, PLAIN_KIND)
    return Continue()


def _turn_away(
    host: "EntryHost", now: float, exchange: Exchange, reason: Reason
) -> Verdict:
    # Only the owner of a ticket may say "not run" of its id: an earlier
    # attempt may have reached the owner.
    ticket = Ticket.of_request(exchange.request.id)
    own = (host.identity.name, host.identity.incarnation)
    may_have_run = (
        not exchange.request.repeatable
        and not exchange.request.delegated
        and ticket is not None
        and (ticket.host, ticket.incarnation) != own
    )
    if may_have_run:
        return unknown(exchange, reason)
    return refuse(host, now, exchange, reason)
