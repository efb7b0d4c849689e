"""The request path: a line of filters in the order a request meets them.

identify, deadline, at most once, placement, admission, dispatch, answer.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from sardinewheel_core import (
    claims,
    leaving,
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
    HeldRoom,
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
LEAVE_WITHIN_S = 1.5


def on_request(host: "EntryHost", now: float, event: RequestArrived) -> None:
    """Takes a request through the filters."""
    arrive(host, now, Exchange(event.arrival_id, event.request))


def arrive(host: "EntryHost", now: float, exchange: Exchange) -> None:
    """Takes an exchange through all filters."""
    _run(host, now, exchange, ARRIVAL_FILTERS + EXECUTION_FILTERS)


def execute(host: "EntryHost", now: float, exchange: Exchange) -> None:
    """Takes an exchange whose id may run here through the other filters."""
    exchange.stage = Stage.ARRIVED
    _run(host, now, exchange, EXECUTION_FILTERS)


def hand_to_owner(
    host: "EntryHost", now: float, exchange: Exchange, owner: Owner
) -> None:
    """Hands an exchange on to the host that claimed its id."""
    exchange.book = None
    host.owned.pop(exchange.request.id, None)
    match at_most_once.to_owner(host, now, exchange, owner):
        case Delegate(state, reason):
            _forward(host, now, exchange, state, reason)
        case Finish(answer):
            finish(host, now, exchange, answer)


def end_unknown(
    host: "EntryHost", now: float, exchange: Exchange, reason: Reason
) -> None:
    """Answers that nobody can say whether an exchange ran."""
    answer = Answer(exchange.request.id, Outcome.UNKNOWN, reason=reason)
    finish(host, now, exchange, answer)


def may_leave(host: "EntryHost", now: float, attempt_id: int) -> bool:
    """Says whether the first byte of an attempt may leave now."""
    exchange = host.exchanges.get(attempt_id)
    if exchange is None:
        return False
    occupies_share = exchange.stage is Stage.DISPATCHED
    if occupies_share and not seats.may_dispatch(
        host, now, ordered_at=exchange.dispatched_at
    ):
        return False
    was_paused = now - exchange.dispatched_at > LEAVE_WITHIN_S
    return not was_paused and now < exchange.request.deadline


def on_attempt_ended(
    host: "EntryHost", now: float, event: AttemptEnded
) -> None:
    """Learns how an attempt ended and answers or tries again."""
    exchange = host.exchanges.pop(event.attempt_id, None)
    if exchange is None:
        return
    result = event.result
    exchange.was_lost |= result.ending is Ending.LOST
    _release(host, now, exchange, result)
    if result.ending is Ending.ANSWERED:
        answer = Answer(
            exchange.request.id,
            Outcome.DONE,
            attempt_id=event.attempt_id,
            status=result.status,
        )
        finish(host, now, exchange, answer)
    elif retries.may_try_again(exchange, result) and retries.spend_retry(
        host, exchange
    ):
        _run(host, now, exchange, EXECUTION_FILTERS)
    elif exchange.was_lost:
        end_unknown(host, now, exchange, result.reason)
    else:
        answer = retries.not_run(host, now, exchange, result)
        finish(host, now, exchange, answer)
    serve_waiting(host, now)


def on_cancel(host: "EntryHost", now: float, event: CancelArrived) -> None:
    """Ends a waiting request, or passes the cancellation on."""
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
    """Frees what lost attempts held, then serves or refuses what waits."""
    due = [held for held in host.lost_attempts if held.until <= now]
    host.lost_attempts = [
        held for held in host.lost_attempts if held.until > now
    ]
    for held in due:
        occupancy.vacate(host, held.occupancy)
    claims.on_tick(host, now)
    for exchange in list(host.owned.values()):
        _answer_late_joined(host, now, exchange)
    serve_waiting(host, now)


def serve_waiting(host: "EntryHost", now: float) -> None:
    """Takes waiting requests through the execution filters, in order."""
    for line in list(host.queues.values()):
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
                settled = at_most_once.settle(host, exchange, answer)
                finish(host, now, exchange, settled)
                return
            case Delegate(state, reason):
                _forward(host, now, exchange, state, reason)
                return
            case Join(first):
                arrival = JoinedArrival(
                    exchange.arrival_id, exchange.request.deadline
                )
                first.joined.append(arrival)
                first.request = first.request._replace(
                    is_first=first.request.is_first
                    and exchange.request.is_first
                )
                return
            case Claim():
                claims.add(host, now, exchange)
                return
            case Park():
                exchange.stage = Stage.PARKED
                host.handover.parked.append(exchange)
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
    line = host.queue(exchange.request.service)
    if exchange.waiting_since is None:
        exchange.waiting_since = now
        line.push(exchange)
    else:
        line.push_back(exchange)


def _give_up_place(host: "EntryHost", now: float, exchange: Exchange) -> None:
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
        host.queue(exchange.request.service).budget.earn()
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
    """Frees what an attempt occupied and learns from how it ended."""
    exchange.attempt_id = 0
    state, exchange.target = exchange.target, None
    if state is None:
        if result.ending in (Ending.REFUSED, Ending.NOT_SENT):
            exchange.refused_by.add(exchange.forwarded_to)
        return
    if result.ending is Ending.LOST:
        # The target may still be executing it.
        held = HeldRoom(exchange.occupancy, exchange.request.deadline)
        host.lost_attempts.append(held)
    else:
        occupancy.vacate(host, exchange.occupancy)
    exchange.occupancy = None
    if result.draining:
        leaving.on_draining_sign(host, now, state.target.name, draining=True)
        state.leaving = True
    if result.ending is Ending.ANSWERED:
        state.succeeded()
        line = host.queue(exchange.request.service)
        line.executions.observe(result.duration_s)
        host.drains.observe(state.service, result.duration_s)
    elif result.reason is not Reason.PAUSED:
        state.failed(now, host.rng)
        # After a lost connection the same target may answer on a new one.
        if result.ending is not Ending.LOST:
            exchange.refused_by.add(state.target.name)


def finish(
    host: "EntryHost", now: float, exchange: Exchange, answer: Answer
) -> None:
    """Records the outcome and answers every arrival that waits for it."""
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
            **request_decisions.room(host, now, exchange.request.service),
        )
    host.emit(Reply(exchange.arrival_id, answer))
    for arrival in exchange.joined:
        host.emit(Reply(arrival.arrival_id, answer))


def _answer_late_joined(
    host: "EntryHost", now: float, exchange: Exchange
) -> None:
    """Answers retries that cannot wait until their id's end."""
    late = [a for a in exchange.joined if a.deadline <= now]
    exchange.joined = [a for a in exchange.joined if a.deadline > now]
    for arrival in late:
        answer = Answer(
            exchange.request.id, Outcome.UNKNOWN, reason=Reason.IN_PROGRESS
        )
        host.emit(Reply(arrival.arrival_id, answer))
