"""Refusals with when and where to come back."""

from typing import TYPE_CHECKING

from sardinewheel_core.exchange import Exchange
from sardinewheel_core.filters.verdict import Finish
from sardinewheel_core.request import Answer, Outcome, Reason, Refusal

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

HOSTS_PER_REFUSAL = 3


def refuse(
    host: "EntryHost", now: float, exchange: Exchange, reason: Reason
) -> Finish:
    """Returns the verdict "not run", with when and where to come back."""
    service = exchange.request.service
    line = host.line(service)
    interval_s = line.executions.mean_s / max(1, host.targets.slots(service))
    after = line.returns.book(now, interval_s, host.rng)
    elsewhere = sorted(
        (s for s in host.membership.ready(now) if s.name != host.identity.name),
        key=lambda s: -dict(s.rooms).get(service, 0),
    )
    names = tuple(s.name for s in elsewhere[:HOSTS_PER_REFUSAL])
    refusal = Refusal(reason, after, names)
    answer = Answer(exchange.request.id, Outcome.NOT_RUN, refusal=refusal)
    return Finish(answer)


def unknown(exchange: Exchange, reason: Reason) -> Finish:
    """Returns the verdict that nobody can say whether it ran."""
    return Finish(Answer(exchange.request.id, Outcome.UNKNOWN, reason=reason))
