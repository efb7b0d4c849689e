"""Final answers for requests that are refused or of unknown outcome."""

from typing import TYPE_CHECKING

from sardinewheel_core.exchange import Exchange
from sardinewheel_core.filters.verdict import Finish
from sardinewheel_core.request import Answer, Outcome, Reason, Refusal

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


def refuse(
    host: "EntryHost", now: float, exchange: Exchange, reason: Reason
) -> Finish:
    """Returns the verdict "not run", with when and where to retry."""
    service = exchange.request.service
    queue = host.queue(service)
    interval_s = queue.service_time.mean_s / max(1, host.targets.slots(service))
    retry_after_s = 0.0
    if not exchange.is_overflow:
        # Overflow is not retried here: its sender queues or refuses it.
        retry_after_s = queue.retry_schedule.reserve(
            now, interval_s, host.rng, deadline=exchange.request.deadline
        )
    lookup = host.look_up(now, service=service, block=exchange.request.block)
    names = tuple(e.host for e in lookup.entries)
    refusal = Refusal(reason, retry_after_s, names)
    answer = Answer(exchange.request.id, Outcome.NOT_RUN, refusal=refusal)
    return Finish(answer)


def unknown(exchange: Exchange, reason: Reason) -> Finish:
    """Returns the verdict that it is unknown whether the request ran."""
    return Finish(Answer(exchange.request.id, Outcome.UNKNOWN, reason=reason))
