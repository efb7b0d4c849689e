"""Request pipeline: applies the filters to each request, in a fixed order.

The order is identify, deadline, at most once, placement, admission; then the
request is dispatched and answered. A queued or retried request passes only
deadline, placement and admission again.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from sardinewheel_core import (
    claims,
    drain_signals,
    occupancy,
    request_decisions,
    retries,
    seats,
)
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
from sardinewheel_core.exchange import (
    Exchange,
    HeldOccupancy,
    JoinedArrival,
    Stage,
)
from sardinewheel_core.filters import (
    admission,
    at_most_once,
    deadline,
    identify,
    placement,
)
from sardinewheel_core.filters.refusals import refuse
from sardinewheel_core.filters.verdict import (
    Claim,
    Continue,
    Delegate,
    Finish,
    Join,
    Park,
    Verdict,
    Wait,
)
from sardinewheel_core.request import Answer, Outcome, Reason, Refusal
from sardinewheel_core.ticket import SEPARATOR, Owner

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
MAX_SEND_DELAY_S = 1.5


def on_request(host: "EntryHost", now: float, event: RequestArrived) -> None:
    """Starts an exchange for a request that arrived."""
    run_all_filters(host, now, Exchange(event.arrival_id, event.request))


def run_all_filters(host: "EntryHost", now: float, exchange: Exchange) -> None:
    """Applies all filters to an exchange."""
    _run(host, now, exchange, ARRIVAL_FILTERS + EXECUTION_FILTERS)


def run_execution_filters(
    host: "EntryHost", now: float, exchange: Exchange
) -> None:
    """Applies the execution filters to an exchange whose id may run here."""
    exchange.stage = Stage.ARRIVED
    _run(host, now, exchange, EXECUTION_FILTERS)


def delegate_to_owner(
    host: "EntryHost", now: float, exchange: Exchange, owner: Owner
) -> None:
    """Delegates an exchange to the host that claimed its id."""
    exchange.outcome_store = None
    host.owned.pop(exchange.request.id, None)
    match at_most_once.route_to_owner(host, now, exchange, owner):
        case Delegate(state, reason):
            _forward(host, now, exchange, state, reason)
        case Finish(answer):
            finish(host, now, exchange, answer)


def finish_unknown(
    host: "EntryHost", now: float, exchange: Exchange, reason: Reason
) -> None:
    """Answers that it is unknown whether a request was executed."""
    answer = Answer(exchange.request.id, Outcome.UNKNOWN, reason=reason)
    finish(host, now, exchange, answer)


def may_send_first_byte(host: "EntryHost", now: float, attempt_id: int) -> bool:
    """Returns whether the first byte of an attempt may be sent now."""
    exchange = host.exchanges.get(attempt_id)
    if exchange is None:
        return False
    occupies_share = exchange.stage is Stage.DISPATCHED
    if occupies_share and not seats.may_dispatch(
        host, now, ordered_at=exchange.dispatched_at
    ):
        return False
    was_paused = now - exchange.dispatched_at > MAX_SEND_DELAY_S
    return not was_paused and now < exchange.request.deadline


def on_attempt_ended(
    host: "EntryHost", now: float, event: AttemptEnded
) -> None:
    """Processes the end of an attempt: answers the request or retries it."""
    exchange = host.exchanges.pop(event.attempt_id, None)
    if exchange is None:
        return
    result = event.result
    exchange.had_lost_attempt |= result.ending is Ending.LOST
    _release(host, now, exchange, result)
    if result.ending is Ending.ANSWERED:
        answer = Answer(
            exchange.request.id,
            Outcome.DONE,
            attempt_id=event.attempt_id,
            status=result.status,
        )
        finish(host, now, exchange, answer)
    elif retries.may_retry(exchange, result) and retries.spend_retry(
        host, exchange
    ):
        _run(host, now, exchange, EXECUTION_FILTERS)
    elif exchange.had_lost_attempt:
        finish_unknown(host, now, exchange, result.reason)
    else:
        answer = retries.not_run(host, now, exchange, result)
        finish(host, now, exchange, answer)
    serve_waiting(host, now)


def on_cancel(host: "EntryHost", now: float, event: CancelArrived) -> None:
    """Cancels a queued request, an attempt under way or an unseen id."""
    exchange = host.in_progress.get(event.request_id)
    if exchange is None:
        at_most_once.cancel_unseen(host, event.request_id)
    elif exchange.stage is Stage.WAITING:
        host.queue(exchange.request.service).remove(exchange)
        refusal = Refusal(Reason.CANCELLED)
        answer = Answer(exchange.request.id, Outcome.NOT_RUN, refusal=refusal)
        finish(host, now, exchange, answer)
    elif exchange.attempt_id:
        host.emit(CancelAttempt(exchange.attempt_id))


def on_tick(host: "EntryHost", now: float) -> None:
    """Frees what expired lost attempts occupied, then processes the queues."""
    due = [held for held in host.lost_attempts if held.until <= now]
    host.lost_attempts = [
        held for held in host.lost_attempts if held.until > now
    ]
    for held in due:
        occupancy.release(host, held.occupancy)
    claims.on_tick(host, now)
    for exchange in list(host.owned.values()):
        _answer_expired_joined(host, now, exchange)
    serve_waiting(host, now)


def serve_waiting(host: "EntryHost", now: float) -> None:
    """Applies the execution filters to the queued requests, in queue order."""
    for queue in list(host.queues.values()):
        blocked: set[int] = set()
        while (exchange := queue.dequeue(blocked)) is not None:
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
                confirmed = at_most_once.confirm_not_run(host, exchange, answer)
                finish(host, now, exchange, confirmed)
                return
            case Delegate(state, reason):
                _forward(host, now, exchange, state, reason)
                return
            case Join(first):
                arrival = JoinedArrival(
                    exchange.arrival_id, exchange.request.deadline
                )
                first.joined_arrivals.append(arrival)
                first.request = first.request._replace(
                    is_first_attempt=first.request.is_first_attempt
                    and exchange.request.is_first_attempt
                )
                return
            case Claim():
                claims.add(host, now, exchange)
                return
            case Park():
                exchange.stage = Stage.PARKED
                host.handover.parked.append(exchange)
                return
            case Wait(replaced):
                if replaced is not None:
                    _evict(host, now, replaced)
                _wait(host, now, exchange)
                return
    _dispatch(host, now, exchange)


def _wait(host: "EntryHost", now: float, exchange: Exchange) -> None:
    exchange.stage = Stage.WAITING
    host.in_progress[exchange.request.id] = exchange
    queue = host.queue(exchange.request.service)
    if exchange.queued_since is None:
        exchange.queued_since = now
        queue.push(exchange)
    else:
        queue.requeue(exchange)


def _evict(host: "EntryHost", now: float, exchange: Exchange) -> None:
    host.queue(exchange.request.service).remove(exchange)
    finish(
        host,
        now,
        exchange,
        refuse(host, now, exchange, Reason.OUTRANKED).answer,
    )


def _begin_attempt(host: "EntryHost", now: float, exchange: Exchange) -> None:
    exchange.attempt_id = host.next_id()
    exchange.attempts += 1
    if exchange.attempts == 1:
        host.queue(exchange.request.service).retry_budget.earn()
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
            exchange.arrival_id,
            max_idle_s=retries.max_idle_s(exchange),
        )
    )


def _forward(host, now, exchange: Exchange, state, reason: Reason) -> None:
    _begin_attempt(host, now, exchange)
    exchange.stage = Stage.FORWARDED
    name, incarnation = host.owner
    attempt = (name, format(incarnation, "x"), str(exchange.attempt_id))
    request = exchange.request._replace(
        hops=exchange.request.hops + 1,
        delegated=exchange.is_owned or exchange.request.delegated,
        attempt=SEPARATOR.join(attempt),
    )
    exchange.forwarded_to = state.name
    host.emit(
        Forward(
            exchange.attempt_id,
            request,
            state.name,
            state.http_address,
            reason,
            exchange.arrival_id,
            max_idle_s=retries.max_idle_s(exchange),
        )
    )


def _release(
    host: "EntryHost", now: float, exchange: Exchange, result: AttemptResult
) -> None:
    """Frees what an attempt occupied and updates the target's state."""
    exchange.attempt_id = 0
    state, exchange.target = exchange.target, None
    if state is None:
        if result.ending in (Ending.REFUSED, Ending.NOT_SENT):
            exchange.refused_by.add(exchange.forwarded_to)
        return
    if result.ending is Ending.LOST:
        # The target may still be executing the request.
        held = HeldOccupancy(exchange.occupancy, exchange.request.deadline)
        host.lost_attempts.append(held)
    else:
        occupancy.release(host, exchange.occupancy)
    exchange.occupancy = None
    if result.draining:
        drain_signals.on_draining_signal(
            host, now, state.target.name, draining=True
        )
        state.leaving = True
    if result.ending is Ending.ANSWERED:
        state.record_success()
        queue = host.queue(exchange.request.service)
        queue.service_time.observe(result.duration_s)
        host.drains.observe(state.service, result.duration_s)
    elif result.reason is not Reason.MAY_NOT_SEND:
        state.record_failure(now, host.rng)
        # After a lost connection, the same target may be retried on a new one.
        if result.ending is not Ending.LOST:
            exchange.refused_by.add(state.target.name)


def finish(
    host: "EntryHost", now: float, exchange: Exchange, answer: Answer
) -> None:
    """Records the outcome and replies to every arrival of the request."""
    exchange.stage = Stage.ENDED
    for exchanges in (host.in_progress, host.owned):
        if exchanges.get(exchange.request.id) is exchange:
            del exchanges[exchange.request.id]
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
            **request_decisions.capacity_fields(
                host, now, exchange.request.service
            ),
        )
    host.emit(Reply(exchange.arrival_id, answer))
    for arrival in exchange.joined_arrivals:
        host.emit(Reply(arrival.arrival_id, answer))


def _answer_expired_joined(
    host: "EntryHost", now: float, exchange: Exchange
) -> None:
    """Answers joined retries whose own deadline has passed."""
    expired = [a for a in exchange.joined_arrivals if a.deadline <= now]
    exchange.joined_arrivals = [
        a for a in exchange.joined_arrivals if a.deadline > now
    ]
    for arrival in expired:
        answer = Answer(
            exchange.request.id, Outcome.UNKNOWN, reason=Reason.IN_PROGRESS
        )
        host.emit(Reply(arrival.arrival_id, answer))
