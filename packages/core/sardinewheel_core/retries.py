"""Retry policy: whether a request is retried after an attempt ended."""

from typing import TYPE_CHECKING

from sardinewheel_core.attempt import AttemptResult, Ending
from sardinewheel_core.exchange import Exchange, Stage
from sardinewheel_core.filters.refusals import refuse
from sardinewheel_core.request import Answer, Outcome, Reason, Refusal

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

MAX_ATTEMPTS = 4
REPEATABLE_MAX_IDLE_S = 5.0
NON_REPEATABLE_MAX_IDLE_S = 1.0


def max_idle_s(exchange: Exchange) -> float:
    """Returns the longest idle time of a connection to reuse, in seconds."""
    if exchange.had_lost_attempt:
        return 0.0
    return (
        REPEATABLE_MAX_IDLE_S
        if exchange.request.repeatable
        else NON_REPEATABLE_MAX_IDLE_S
    )


def may_retry(exchange: Exchange, result: AttemptResult) -> bool:
    """Returns whether the request may be retried.

    A non-repeatable request is retried only if it cannot run twice.
    """
    is_cancelled = result.reason is Reason.CANCELLED
    if is_cancelled or exchange.attempts >= MAX_ATTEMPTS:
        return False
    if result.ending is Ending.LOST:
        return (
            exchange.request.repeatable and exchange.request.has_replayable_body
        )
    if (
        not exchange.request.has_replayable_body
        and result.ending is Ending.REFUSED
    ):
        return False
    if exchange.request.repeatable or exchange.is_owned:
        return True
    return exchange.request.delegated


def spend_retry(host: "EntryHost", exchange: Exchange) -> bool:
    """Spends a retry of the service's budget; returns whether it had one."""
    if exchange.stage is Stage.FORWARDED:
        # A refused forward put no load on any target.
        return True
    return host.queue(exchange.request.service).retry_budget.spend()


def not_run(
    host: "EntryHost", now: float, exchange: Exchange, result: AttemptResult
) -> Answer:
    """Returns the answer after an attempt that was not executed or retried."""
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
