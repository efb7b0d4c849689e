"""The request path: a line of filters in the order a request meets them.

identify, deadline, at most once, placement, admission, dispatch, answer.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from sardinewheel_core import occupancy
from sardinewheel_core.attempt import AttemptResult, Ending
from sardinewheel_core.effects import (
    AttemptEnded,
    CancelArrived,
    CancelAttempt,
    Dispatch,
    Forward,
    Reply,
    RequestArrived,
)
from sardinewheel_core.exchange import Exchange, Stage
from sardinewheel_core.filters import (
    admission,
    at_most_once,
    deadline,
    identify,
    placement,
)
from sardinewheel_core.filters.refusals import refuse
from sardinewheel_core.filters.verdict import (
    Continue,
    Delegate,
    Finish,
    Verdict,
    Wait,
)
from sardinewheel_core.request import Answer, Outcome, Reason, Refusal

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

Filter = Callable[["EntryHost", float, Exchange], Verdict]

ARRIVAL_FILTERS: tuple[Filter, ...] = (
    identify.apply,
    deadline.apply,
    at_most_once.apply,
)
EXECUTION_FILTERS: tuple[Filter, ...] = (
    deadline.apply,
    placement.apply,
    admission.apply,
)
MAX_ATTEMPTS = 4


def on_request(host: "EntryHost", now: float, event: RequestArrived) -> None:
    """Takes a request through the filters."""
    exchange = Exchange(event.arrival_id, event.request)
    _run(host, now, exchange, ARRIVAL_FILTERS + EXECUTION_FILTERS)


def on_attempt_ended(
    host: "EntryHost", now: float, event: AttemptEnded
) -> None:
    """Learns how an attempt ended and answers or tries again."""
    exchange = host.exchanges.pop(event.attempt_id, None)
    if exchange is None:
        return
    result = event.result
    _release(host, now, exchange, result)
    if result.ending is Ending.ANSWERED:
        _finish(host, now, exchange, _done(exchange, event.attempt_id, result))
    elif _may_try_again(exchange, result) and _spend_retry(host, exchange):
        _run(host, now, exchange, EXECUTION_FILTERS)
    elif result.ending is Ending.LOST:
        answer = Answer(
            exchange.request.id, Outcome.UNKNOWN, reason=result.reason
        )
        _finish(host, now, exchange, answer)
    else:
        _finish(host, now, exchange, _not_run(host, exchange, result))
    serve_waiting(host, now)


def on_cancel(host: "EntryHost", now: float, event: CancelArrived) -> None:
    """Ends a waiting request, or passes the cancellation on."""
    exchange = host.in_progress.get(event.request_id)
    if exchange is None:
        return
    if exchange.stage is Stage.WAITING:
        host.line(exchange.request.service).remove(exchange)
        refusal = Refusal(Reason.CANCELLED)
        answer = Answer(exchange.request.id, Outcome.NOT_RUN, refusal=refusal)
        _finish(host, now, exchange, answer)
    elif exchange.attempt_id:
        host.emit(CancelAttempt(exchange.attempt_id))


def on_tick(host: "EntryHost", now: float) -> None:
    """Serves or refuses what waits."""
    serve_waiting(host, now)


def serve_waiting(host: "EntryHost", now: float) -> None:
    """Takes waiting requests through the execution filters, in order."""
    for line in list(host.lines.values()):
        blocked: set[int] = set()
        while (exchange := line.take_next(blocked)) is not None:
            exchange.stage = Stage.ARRIVED
            _run(host, now, exchange, EXECUTION_FILTERS)
            if exchange.stage is Stage.WAITING:
                blocked.add(exchange.priority)


def _run(
    host: "EntryHost",
    now: float,
    exchange: Exchange,
    filters: tuple[Filter, ...],
) -> None:
    for apply in filters:
        match apply(host, now, exchange):
            case Continue():
                continue
            case Finish(answer):
                _finish(host, now, exchange, answer)
                return
            case Delegate(state, reason):
                _forward(host, now, exchange, state, reason)
                return
            case Wait(instead_of):
                if instead_of is not None:
                    _give_up_place(host, now, instead_of)
                _wait(host, now, exchange)
                return
    _dispatch(host, now, exchange)


def _wait(host: "EntryHost", now: float, exchange: Exchange) -> None:
    exchange.stage = Stage.WAITING
    host.in_progress[exchange.request.id] = exchange
    line = host.line(exchange.request.service)
    if exchange.waiting_since is None:
        exchange.waiting_since = now
        line.push(exchange)
    else:
        line.push_back(exchange)


def _give_up_place(host: "EntryHost", now: float, exchange: Exchange) -> None:
    host.line(exchange.request.service).remove(exchange)
    _finish(
        host,
        now,
        exchange,
        refuse(host, now, exchange, Reason.OUTRANKED).answer,
    )


def _begin_attempt(host: "EntryHost", now: float, exchange: Exchange) -> None:
    exchange.attempt_id = host.next_id()
    exchange.attempts += 1
    if exchange.attempts == 1:
        host.line(exchange.request.service).budget.earn()
    exchange.dispatched_at = now
    host.exchanges[exchange.attempt_id] = exchange
    host.in_progress[exchange.request.id] = exchange


def _dispatch(host: "EntryHost", now: float, exchange: Exchange) -> None:
    _begin_attempt(host, now, exchange)
    exchange.stage = Stage.DISPATCHED
    host.emit(
        Dispatch(
            exchange.attempt_id,
            exchange.request,
            exchange.target.target,
            fresh_connection=not exchange.request.repeatable,
        )
    )


def _forward(host, now, exchange: Exchange, state, reason: Reason) -> None:
    _begin_attempt(host, now, exchange)
    exchange.stage = Stage.FORWARDED
    request = exchange.request._replace(
        hops=exchange.request.hops + 1,
        delegated=exchange.ticket is not None or exchange.request.delegated,
    )
    exchange.forwarded_to = state.name
    host.emit(
        Forward(
            exchange.attempt_id, request, state.name, state.http_address, reason
        )
    )


def _release(
    host: "EntryHost", now: float, exchange: Exchange, result: AttemptResult
) -> None:
    """Frees what an attempt occupied and learns from how it ended."""
    exchange.attempt_id = 0
    state, exchange.target = exchange.target, None
    if state is None:
        if result.ending in (Ending.REFUSED, Ending.NOT_SENT):
            exchange.refused_by.add(exchange.forwarded_to)
        return
    occupancy.vacate(host, exchange.occupancy)
    exchange.occupancy = None
    if result.draining:
        state.leaving = True
    if result.ending is Ending.ANSWERED:
        state.succeeded()
        line = host.line(exchange.request.service)
        line.observe(result.duration_s)
    else:
        state.failed(now, host.rng)
        exchange.refused_by.add(state.target.name)


def _may_try_again(exchange: Exchange, result: AttemptResult) -> bool:
    if exchange.attempts >= MAX_ATTEMPTS:
        return False
    if result.ending is Ending.LOST:
        return exchange.request.repeatable and exchange.request.resendable
    if not exchange.request.resendable and result.ending is Ending.REFUSED:
        return False
    if exchange.request.repeatable or exchange.ticket is not None:
        return True
    return exchange.request.delegated


def _spend_retry(host: "EntryHost", exchange: Exchange) -> bool:
    return host.line(exchange.request.service).budget.spend()


def _done(exchange: Exchange, attempt_id: int, result: AttemptResult) -> Answer:
    return Answer(
        exchange.request.id,
        Outcome.DONE,
        attempt_id=attempt_id,
        status=result.status,
    )


def _not_run(
    host: "EntryHost", exchange: Exchange, result: AttemptResult
) -> Answer:
    """Answers an attempt that nobody ran and that is not tried again."""
    is_owner_elsewhere = (
        not exchange.request.repeatable
        and exchange.ticket is None
        and not exchange.request.delegated
    )
    if is_owner_elsewhere and result.ending is Ending.NOT_SENT:
        return Answer(
            exchange.request.id,
            Outcome.UNKNOWN,
            reason=Reason.OWNER_UNREACHABLE,
        )
    refusal = Refusal(result.reason, result.retry_after_s)
    return Answer(exchange.request.id, Outcome.NOT_RUN, refusal=refusal)


def _finish(
    host: "EntryHost", now: float, exchange: Exchange, answer: Answer
) -> None:
    """Records the outcome and answers every arrival that waits for it."""
    exchange.stage = Stage.ENDED
    if host.in_progress.get(exchange.request.id) is exchange:
        del host.in_progress[exchange.request.id]
    at_most_once.record(host, exchange, answer)
    if answer.outcome is not Outcome.DONE:
        reason = answer.refusal.reason if answer.refusal else answer.reason
        host.report(
            now,
            "request-not-done",
            request_id=answer.request_id,
            service=exchange.request.service,
            kind=exchange.request.kind,
            outcome=str(answer.outcome),
            reason=str(reason),
        )
    for arrival_id in exchange.arrival_ids:
        host.emit(Reply(arrival_id, answer))
