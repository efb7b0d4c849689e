"""Forwards one request: places it, sends it, decides about another attempt.

A request that may not be repeated is sent again only if no byte left or the
target said that it did not execute it.
"""

from typing import TYPE_CHECKING

import gevent

from sardinewheel_gateway import clock, messages
from sardinewheel_gateway.attempts import (
    FIRST_ERROR_STATUS,
    Answered,
    Attempt,
    Body,
    Lost,
    NotSent,
    Request,
    TimedOut,
    detail_of,
)
from sardinewheel_gateway.contract import Caller
from sardinewheel_gateway.errors import (
    AnswerLostError,
    CallerGoneError,
)
from sardinewheel_gateway.exchange import Exchange
from sardinewheel_gateway.metrics import Series
from sardinewheel_gateway.policy.placement import (
    Placed,
    PlacementRequest,
    Refused,
)
from sardinewheel_gateway.policy.routes import Route

if TYPE_CHECKING:
    from sardinewheel_gateway.forwarder import Forwarder

MAX_CONNECT_FAILURES = 3
DEFAULT_PATIENCE_S = 30.0
MIN_ATTEMPT_S = 0.05
STREAM_EXTRA_S = 5.0
LOW_TIME_RETURN_S = 0.3
TOO_LARGE = 413
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class Forwarding:
    """The way of one request through the gateway.

    Attributes:
        request: The request.
        service: Service that executes it.
        caller_deadline: When the caller stops waiting, on the steady clock.
        tried: Targets that it was sent to.
        unreachable: Targets that no connection could be made to.
        last: How the last attempt ended.
    """

    def __init__(
        self,
        forwarder: "Forwarder",
        exchange: Exchange,
        caller: Caller,
        route: Route,
        body: Body,
    ):
        self.forwarder = forwarder
        self.routing_state = forwarder.routing_state
        self.log = forwarder.log
        self.sender = forwarder.sender
        self.exchange = exchange
        self.service = self.routing_state.choose_service(route)
        self.tried: list[str] = []
        self.unreachable: list[str] = []
        self.last: Attempt | None = None
        received_at = exchange.head.received_at
        patience_s = caller.remaining_s
        if patience_s is None:
            patience_s = DEFAULT_PATIENCE_S
        self.caller_deadline = deadline = received_at + patience_s
        if route.timeout_s is not None:
            deadline = min(deadline, received_at + route.timeout_s)
        self.request = Request(exchange.head, caller, route, body, deadline)

    @property
    def route(self) -> Route:
        """Route of the request."""
        return self.request.route

    @property
    def age_s(self) -> float:
        """Seconds since the request's head was complete."""
        return clock.steady() - self.exchange.head.received_at

    def run(self) -> None:
        """Forwards the request until there is a final answer."""
        self.routing_state.count_request(self.service, clock.steady())
        try:
            self._run()
        except gevent.GreenletExit:
            self.log.info(
                "request-cancelled",
                request=self.request.caller.request_id,
                route=self.route.name,
                tried=",".join(self.tried),
                took_s=self.age_s,
            )
            raise
        finally:
            self.sender.release(self.last)

    def _run(self) -> None:
        while True:
            now = clock.steady()
            if self.request.deadline - now < MIN_ATTEMPT_S:
                self._refuse(Refused("deadline", LOW_TIME_RETURN_S))
                return
            choice = self.routing_state.placer.place(self._ask(), now)
            if isinstance(choice, Refused):
                self._refuse(choice)
                return
            if self.tried and not self.routing_state.try_acquire_retry(
                self.service, now
            ):
                self._refuse(Refused("retry-budget", LOW_TIME_RETURN_S))
                return
            self.sender.release(self.last)
            self.last = self._attempt(choice, now)
            if self._is_final(self.last):
                self._finish(self.last)
                return

    def _attempt(self, placed: Placed, began: float) -> Attempt:
        attempt = self.sender.send(self.request, placed)
        target_id = placed.target.record.target_id
        if isinstance(attempt, NotSent):
            self.unreachable.append(target_id)
        else:
            self.tried.append(target_id)
        self._log_attempt(placed, attempt, began)
        return attempt

    def _log_attempt(
        self, placed: Placed, attempt: Attempt, began: float
    ) -> None:
        is_good = isinstance(attempt, Answered) and attempt.is_good
        (self.log.request if is_good else self.log.info)(
            "attempt-ended",
            request=self.request.caller.request_id,
            outcome=type(attempt).__name__.lower(),
            detail=detail_of(attempt),
            object=self.request.caller.object_key,
            target=placed.target.record.target_id,
            choice=placed.choice,
            load=placed.load,
            load_age_s=placed.load_age_s,
            cold=placed.target.is_cold(began),
            waited_s=began - self.exchange.head.received_at,
            took_s=clock.steady() - began,
            left_s=self.request.deadline - clock.steady(),
        )

    def _ask(self) -> PlacementRequest:
        key = self.request.caller.object_key
        return PlacementRequest(
            service=self.service,
            route=self.route,
            object_key=key if self.route.has_affinity else "",
            is_urgent=self.routing_state.is_urgent(self.route, self.service),
            tried=frozenset((*self.tried, *self.unreachable)),
        )

    def _is_final(self, attempt: Attempt) -> bool:
        """Says whether an attempt ends the request."""
        is_spent = len(self.tried) >= self.route.max_attempts
        can_resend = self.request.body.rest is None
        can_repeat = can_resend and self.route.is_idempotent
        match attempt:
            case TimedOut():
                return True
            case NotSent():
                has_failed = len(self.unreachable) >= MAX_CONNECT_FAILURES
                return has_failed or not can_resend
            case Lost():
                return is_spent or not can_repeat
            case Answered(verdict=verdict) if not verdict.was_executed:
                return is_spent or not can_resend
            case Answered(verdict=verdict):
                if attempt.is_good and verdict.is_whole:
                    return True
                return is_spent or not can_repeat
        return True

    def _finish(self, attempt: Attempt) -> None:
        match attempt:
            case Answered(verdict=verdict) if not verdict.was_executed:
                self._not_run(Refused("target-refused", LOW_TIME_RETURN_S))
            case Answered():
                self._pass_on(attempt)
            case NotSent(reason):
                self._not_run(Refused(reason, LOW_TIME_RETURN_S))
            case Lost(reason):
                self._lost(reason)
            case TimedOut():
                self._fail(GATEWAY_TIMEOUT, "timeout")

    def _refuse(self, refused: Refused) -> None:
        """Ends a request for which there is no further attempt."""
        match self.last:
            case Answered(verdict=verdict) if verdict.was_executed:
                self._pass_on(self.last)
            case Lost(reason):
                self._lost(reason)
            case _:
                self._not_run(refused)

    def _not_run(self, refused: Refused) -> None:
        self._answer(
            UNAVAILABLE,
            refused.reason,
            retry_after_s=refused.retry_after_s,
            load=refused.load,
        )

    def _lost(self, reason: str) -> None:
        if self.exchange.body_is_too_large:
            self._fail(TOO_LARGE, "body-too-large")
        else:
            self._fail(BAD_GATEWAY, reason)

    def _fail(self, status: int, reason: str) -> None:
        self._answer(status, reason)

    def _answer(self, status: int, reason: str, **fields) -> None:
        self.forwarder.answer(
            self.exchange,
            self.request.caller,
            status,
            reason,
            route=self.route.name,
            service=self.service,
            tried=",".join((*self.tried, *self.unreachable)),
            **fields,
        )

    def _pass_on(self, answered: Answered) -> None:
        """Sends a target's answer to the caller."""
        incoming = answered.incoming
        is_success = incoming.status < FIRST_ERROR_STATUS
        if is_success and not answered.verdict.is_whole:
            self._fail(BAD_GATEWAY, "unproved answer")
            return
        headers = messages.end_to_end(incoming.headers)
        if incoming.rest is None:
            self.exchange.respond(incoming.status, headers, incoming.body)
        else:
            self._stream(answered, headers)
        self._log_answer(answered, is_success=is_success)

    def _log_answer(self, answered: Answered, *, is_success: bool) -> None:
        took_s = self.age_s
        status = answered.incoming.status
        series = Series(self.service, self.route.name, str(status))
        self.forwarder.metrics.answered(series, took_s)
        is_late = took_s > self.route.objective_s
        is_routine = is_success and not is_late
        (self.log.request if is_routine else self.log.info)(
            "request-answered",
            request=self.request.caller.request_id,
            status=status,
            route=self.route.name,
            service=self.service,
            target=answered.placed.target.record.target_id,
            choice=answered.placed.choice,
            load=answered.placed.load,
            attempts=len(self.tried),
            took_s=took_s,
            late=is_late,
            config=self.routing_state.version,
        )

    def _stream(self, answered: Answered, headers: messages.Headers) -> None:
        """Passes an answer on as it arrives; one that breaks off breaks off."""
        incoming = answered.incoming
        self.exchange.begin(incoming.status, headers)
        self.exchange.send(incoming.body)
        limit_s = self.caller_deadline - clock.steady() + STREAM_EXTRA_S
        late = AnswerLostError("the target stopped sending")
        try:
            with gevent.Timeout(max(STREAM_EXTRA_S, limit_s), late):
                for part in incoming.rest or ():
                    self.exchange.send(part)
        except AnswerLostError as error:
            self.exchange.abort()
            raise CallerGoneError(str(error)) from error
        self.sender.put_back(answered.exchange, answered.placed)
        self.exchange.finish()
