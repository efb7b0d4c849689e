"""Determines the kind of a request, and whether this host accepts it."""

from typing import TYPE_CHECKING

from sardinewheel_core.exchange import Exchange
from sardinewheel_core.filters.refusals import refuse
from sardinewheel_core.filters.verdict import Continue, Verdict
from sardinewheel_core.intent import Kind
from sardinewheel_core.messages import Phase
from sardinewheel_core.request import Reason

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

DEFAULT_KIND = Kind("", priority=1)


def apply(host: "EntryHost", now: float, exchange: Exchange) -> Verdict:
    """Sets the kind; refuses requests that this host cannot accept."""
    request = exchange.request
    if host.phase is Phase.JOINING:
        return refuse(host, now, exchange, Reason.NOT_READY)
    service = host.configuration.intent.services.get(request.service)
    if service is None:
        return refuse(host, now, exchange, Reason.UNKNOWN_SERVICE)
    exchange.kind = service.kinds.get(request.kind, DEFAULT_KIND)
    if not exchange.kind.repeatable:
        exchange.request = request._replace(repeatable=False)
    return Continue()
