"""Refuses requests whose deadline has passed."""

from typing import TYPE_CHECKING

from sardinewheel_core.allowance import MAX_REQUEST_DURATION_S
from sardinewheel_core.exchange import Exchange
from sardinewheel_core.filters.refusals import refuse
from sardinewheel_core.filters.verdict import Continue, Verdict
from sardinewheel_core.request import Reason

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


def apply(host: "EntryHost", now: float, exchange: Exchange) -> Verdict:
    """Caps the deadline; refuses a request whose deadline has passed."""
    request = exchange.request
    latest = now + MAX_REQUEST_DURATION_S
    if request.deadline > latest:
        exchange.request = request._replace(deadline=latest)
    if request.deadline > now:
        return Continue()
    return refuse(host, now, exchange, Reason.DEADLINE)
