"""Whether and how a request is tried again after an attempt ended."""

from typing import TYPE_CHECKING

from sardinewheel_core.attempt import AttemptResult, Ending
from sardinewheel_core.exchange import Exchange, Stage
from sardinewheel_core.filters.refusals import refuse
from sardinewheel_core.request import Answer, Outcome, Reason, Refusal

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

MAX_ATTEMPTS = 4
MAX_IDLE_S = 5.0
ANSWERED_WITHIN_S = 1.0


def max_idle_s(exchange: Exchange) -> float:
    """Returns how long the connection of an attempt may have been idle."""
    if exchange.was_lost:
        return 0.0
    return MAX_IDLE_S if exchange.request.repeatable else ANSWERED_WITHIN_S


def may_try_again(exchange: Exchange, result: AttemptResult) -> bool:
    """Says whether another attempt cannot execute the request twice."""
    is_cancelled = result.reason is Reason.CANCELLED
    if is_cancelled or exchange.attempts >= MAX_ATTEMPTS:
        return False
    if result.ending is Ending.LOST:
        return exchange.request.repeatable and exchange.request.resendable
    if not exchange.request.resendable and result.ending is Ending.REFUSED:
        return False
    if exchange.request.repeatable or exchange.is_owned:
        return True
    return exchange.request.delegated


def spend_retry(host: "EntryHost", exchange: Exchange) -> bool:
    """Takes a retry out of the service's budget; says whether there was."""
    if exchange.stage is Stage.FORWARDED:
        # A peer without room costs the targets nothing.
        return True
    return host.queue(exchange.request.service).budget.spend()


def not_run(
    host: "EntryHost", now: float, exchange: Exchange, result: AttemptResult
) -> Answer:
    """Answers an attempt that nobody ran and that is not tried again."""
    is_owner_elsewhere = (
        not exchange.request.repeatable
        and not exchange.is_owned
        and not exchange.request.delegated
    )
    if is_owner_elsewhere and result.ending is Ending.NOT_SENT:
        return Answer(
            exchange.request.id,
            Outcome.UNKNOWN,
            reason=Reason.OWNER_UNREACHABLE,
        )
    if result.retry_after_s == 0.0:
        return refuse(host, now, exchange, result.reason).answer
    refusal = Refusal(result.reason, result.retry_after_s)
    return Answer(exchange.request.id, Outcome.NOT_RUN, refusal=refusal)
