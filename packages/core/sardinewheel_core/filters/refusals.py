"""Refusals with when and where to come back."""

from typing import TYPE_CHECKING

from sardinewheel_core.exchange import Exchange
from sardinewheel_core.filters.verdict import Finish
from sardinewheel_core.request import Answer, Outcome, Reason, Refusal

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


def refuse(
    host: "EntryHost", now: float, exchange: Exchange, reason: Reason
) -> Finish:
    """Returns the verdict "not run", with when and where to come back."""
    service = exchange.request.service
    line = host.queue(service)
    interval_s = line.executions.mean_s / max(1, host.targets.slots(service))
    after = 0.0
    if not exchange.is_overflow:
        # Overflow does not come back here: its sender keeps it or refuses it.
        after = line.returns.book(
            now, interval_s, host.rng, deadline=exchange.request.deadline
        )
    found = host.look_up(now, service=service, block=exchange.request.block)
    names = tuple(e.host for e in found.entries)
    refusal = Refusal(reason, after, names)
    answer = Answer(exchange.request.id, Outcome.NOT_RUN, refusal=refusal)
    return Finish(answer)


def unknown(exchange: Exchange, reason: Reason) -> Finish:
    """Returns the verdict that nobody can say whether it ran."""
    return Finish(Answer(exchange.request.id, Outcome.UNKNOWN, reason=reason))
