"""Forwards one request: places it, sends it, decides about another attempt.

A request that may not be repeated is sent again only if no byte left or the
target said that it did not execute it.
"""

import random
from collections.abc import Iterator
from typing import NamedTuple

import gevent

from sardinewheel_gateway import clock, messages
from sardinewheel_gateway.contract import Caller, Contract, Verdict
from sardinewheel_gateway.errors import (
    AnswerLostError,
    BodyTooLargeError,
    CallerGoneError,
    NotSentError,
)
from sardinewheel_gateway.http_client import (
    ClientExchange,
    ConnectionPool,
    Incoming,
    Outgoing,
    connect,
)
from sardinewheel_gateway.http_server import Exchange
from sardinewheel_gateway.metrics import Metrics
from sardinewheel_gateway.policy.beliefs import Beliefs
from sardinewheel_gateway.policy.placement import Ask, Placed, Refused
from sardinewheel_gateway.policy.routes import Route

MAX_REPEATABLE_BODY_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 0.3
MAX_CONNECT_FAILURES = 3
DEFAULT_PATIENCE_S = 30.0
MIN_ATTEMPT_S = 0.05
STREAM_EXTRA_S = 5.0
IDEMPOTENT_IDLE_S = 8.0
CAREFUL_IDLE_S = 3.0
NO_CONFIGURATION_RETURN_S = 0.5
LOW_TIME_RETURN_S = 0.3
NOT_FOUND = 404
TOO_LARGE = 413
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
FIRST_ERROR_STATUS = 500


class Body(NamedTuple):
    """A request's body.

    Attributes:
        start: The whole body, or its beginning.
        rest: Yields what follows, of a body that is too large to keep.
    """

    start: bytes
    rest: Iterator[bytes] | None


class Answered(NamedTuple):
    """A target's answer, and the exchange that it came from."""

    incoming: Incoming
    verdict: Verdict
    placed: Placed
    exchange: ClientExchange

    @property
    def is_good(self) -> bool:
        """Whether the target executed the request and did not fail."""
        is_success = self.incoming.status < FIRST_ERROR_STATUS
        return is_success and self.verdict.was_executed


class NotSent(NamedTuple):
    """The target got no byte of the request."""

    reason: str


class Lost(NamedTuple):
    """The target may have executed the request; no answer came."""

    reason: str


class TimedOut(NamedTuple):
    """The request's time ran out while it was at a target."""


Attempt = Answered | NotSent | Lost | TimedOut


class Forwarder:
    """Forwards requests.

    Attributes:
        beliefs: What is in force, and the state of the targets.
        contract: Reads and writes the platform's headers.
        pool: Idle connections to targets.
        metrics: Counters and histograms.
        is_leaving: Whether this host is stopping.
    """

    def __init__(
        self,
        *,
        beliefs: Beliefs,
        contract: Contract,
        metrics: Metrics,
        log,
        rng: random.Random,
    ):
        self.beliefs = beliefs
        self.contract = contract
        self.metrics = metrics
        self.log = log
        self.rng = rng
        self.pool = ConnectionPool()

    def handle(self, exchange: Exchange) -> None:
        """Serves one request of a caller."""
        caller = self.contract.caller(exchange.head.headers)
        route = self._route(exchange, caller)
        if route is None:
            return
        try:
            body = _take_body(exchange)
        except BodyTooLargeError:
            self._own(exchange, caller, TOO_LARGE, "body-too-large")
            return
        Forwarding(self, exchange, caller, route, body).run()

    def _route(self, exchange: Exchange, caller: Caller) -> Route | None:
        if self.beliefs.configuration is None:
            self._own(
                exchange,
                caller,
                UNAVAILABLE,
                "no-configuration",
                retry_after_s=NO_CONFIGURATION_RETURN_S,
            )
            return None
        head = exchange.head
        route = self.beliefs.route(
            head.host.decode("latin-1"), head.path.decode("latin-1")
        )
        if route is None:
            self._own(exchange, caller, NOT_FOUND, "no-route")
        return route

    def _own(
        self,
        exchange: Exchange,
        caller: Caller,
        status: int,
        reason: str,
        *,
        retry_after_s: float | None = None,
        **fields,
    ) -> None:
        """Sends an answer of this host's own."""
        headers = self.contract.own_answer(exchange.head.headers)
        if retry_after_s is not None:
            value = f"{retry_after_s:.2f}".encode()
            headers = [*headers, (b"retry-after", value)]
        took_s = clock.steady() - exchange.head.received_at
        self.metrics.answered("own", reason, str(status), took_s)
        self.log.info(
            "request-refused" if status == UNAVAILABLE else "request-failed",
            request=caller.request_id,
            status=status,
            reason=reason,
            took_s=took_s,
            retry_after_s=retry_after_s or 0.0,
            config=self.beliefs.version,
            **fields,
        )
        exchange.respond(status, headers, b"")


class Forwarding:
    """The way of one request through the gateway.

    Attributes:
        route: Its route.
        service: Service that executes it.
        deadline: When its final answer is due, on the steady clock.
        tried: Targets that it was sent to.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        exchange: Exchange,
        caller: Caller,
        route: Route,
        body: Body,
    ):
        self.forwarder = forwarder
        self.beliefs = forwarder.beliefs
        self.exchange = exchange
        self.caller = caller
        self.route = route
        self.body = body
        self.service = self.beliefs.choose_service(route)
        self.tried: list[str] = []
        self.unreachable: list[str] = []
        self.last: Attempt | None = None
        patience_s = caller.remaining_s
        if patience_s is None:
            patience_s = DEFAULT_PATIENCE_S
        self.caller_deadline = exchange.head.received_at + patience_s
        self.deadline = self.caller_deadline
        if route.timeout_s is not None:
            limit = exchange.head.received_at + route.timeout_s
            self.deadline = min(self.deadline, limit)

    def run(self) -> None:
        """Forwards the request until there is a final answer."""
        self.beliefs.requested(self.service, clock.steady())
        try:
            self._run()
        except gevent.GreenletExit:
            self.forwarder.log.info(
                "request-cancelled",
                request=self.caller.request_id,
                route=self.route.name,
                tried=",".join(self.tried),
                took_s=clock.steady() - self.exchange.head.received_at,
            )
            raise
        finally:
            self._release(self.last)

    def _run(self) -> None:
        while True:
            last = self.last
            now = clock.steady()
            if self.deadline - now < MIN_ATTEMPT_S:
                self._out_of_time(last)
                return
            choice = self.beliefs.placer.place(self._ask(), now)
            if isinstance(choice, Refused):
                self._refuse(choice, last)
                return
            if self.tried and not self.beliefs.may_retry(self.service, now):
                refused = Refused("retry-budget", LOW_TIME_RETURN_S)
                self._refuse(refused, last)
                return
            self._release(last)
            self.last = self._attempt(choice, now)
            self._log_attempt(choice, self.last, now)
            if self._is_final(self.last):
                self._finish(self.last)
                return

    def _log_attempt(
        self, placed: Placed, attempt: Attempt, began: float
    ) -> None:
        log = self.forwarder.log
        is_good = isinstance(attempt, Answered) and attempt.is_good
        (log.request if is_good else log.info)(
            "attempt-ended",
            request=self.caller.request_id,
            outcome=type(attempt).__name__.lower(),
            detail=_detail(attempt),
            target=placed.target.record.target_id,
            choice=placed.choice,
            load=placed.load,
            load_age_s=placed.load_age_s,
            cold=placed.target.is_cold(began),
            waited_s=began - self.exchange.head.received_at,
            took_s=clock.steady() - began,
            left_s=self.deadline - clock.steady(),
        )

    def _ask(self) -> Ask:
        return Ask(
            service=self.service,
            route=self.route,
            object_key=self._object_key(),
            is_urgent=self.beliefs.is_urgent(self.route, self.service),
            tried=frozenset((*self.tried, *self.unreachable)),
        )

    def _object_key(self) -> str:
        return self.caller.object_key if self.route.has_affinity else ""

    def _attempt(self, placed: Placed, now: float) -> Attempt:
        """Sends the request to a target and waits for the answer."""
        record = placed.target.record
        load = self.beliefs.loads.of(record.target_id)
        load.in_flight += 1
        self.beliefs.dispatched(placed.target, now)
        exchange = None
        try:
            with gevent.Timeout(self.deadline - now, False):
                exchange = self._open(placed)
                return self._exchange(exchange, placed, now)
            if exchange is None or not exchange.has_sent:
                return self._unreachable(placed, "connect timeout")
            self._timed_out(placed, now)
            return TimedOut()
        except NotSentError as error:
            return self._unreachable(placed, str(error))
        except AnswerLostError as error:
            self.tried.append(record.target_id)
            return self._lost(placed, str(error))
        finally:
            load.in_flight -= 1
            if exchange is not None and not exchange.is_streaming:
                self._put_back(exchange, placed)

    def _open(self, placed: Placed) -> ClientExchange:
        record = placed.target.record
        idle_s = IDEMPOTENT_IDLE_S
        if not self.route.is_idempotent:
            idle_s = CAREFUL_IDLE_S
        pool = self.forwarder.pool
        sock = pool.take(record.target_id, max_idle_s=idle_s)
        if sock is None:
            sock = connect(record.address, timeout_s=CONNECT_TIMEOUT_S)
            self.forwarder.metrics.count("target_connections")
        return ClientExchange(sock, self._is_answer)

    def _is_answer(self, headers: messages.Headers) -> bool:
        contract = self.forwarder.contract
        return contract.answers(headers, self.caller.request_id)

    def _exchange(
        self, exchange: ClientExchange, placed: Placed, now: float
    ) -> Attempt:
        record = placed.target.record
        incoming = exchange.run(self._outgoing(record.target_id))
        verdict = self.forwarder.contract.verdict(
            incoming.status, incoming.headers
        )
        self.tried.append(record.target_id)
        self.beliefs.answered(
            placed.target,
            self.route,
            verdict,
            is_error=incoming.status >= FIRST_ERROR_STATUS
            and verdict.was_executed,
            took_s=clock.steady() - now,
            now=clock.steady(),
        )
        return Answered(incoming, verdict, placed, exchange)

    def _outgoing(self, target_id: str) -> Outgoing:
        head = self.exchange.head
        headers = self.forwarder.contract.to_target(
            messages.end_to_end(head.headers),
            target_id=target_id,
            remaining_s=max(0.001, self.deadline - clock.steady()),
        )
        if self.body.rest is None:
            headers = [h for h in headers if h[0] != b"content-length"]
            has_body = any(
                name in (b"content-length", b"transfer-encoding")
                for name, _ in head.headers
            )
            if has_body:
                length = str(len(self.body.start)).encode()
                headers.append((b"content-length", length))
            return Outgoing(head.method, head.path, headers, self.body.start)
        if messages.value_of(headers, b"content-length") is None:
            headers.append((b"transfer-encoding", b"chunked"))
        return Outgoing(
            head.method, head.path, headers, self._parts(), is_chunked=True
        )

    def _parts(self) -> Iterator[bytes]:
        yield self.body.start
        yield from self.body.rest or ()

    def _unreachable(self, placed: Placed, reason: str) -> NotSent:
        record = placed.target.record
        self.unreachable.append(record.target_id)
        self._target_failed(placed, reason)
        return NotSent(reason)

    def _lost(self, placed: Placed, reason: str) -> Lost:
        self._target_failed(placed, reason)
        return Lost(reason)

    def _timed_out(self, placed: Placed, sent_at: float) -> None:
        target = placed.target
        if self.beliefs.target_timed_out(target, sent_at, clock.steady()):
            self.forwarder.pool.drop(target.record.target_id)
            self.forwarder.log.warning(
                "target-silent",
                request=self.caller.request_id,
                target=target.record.target_id,
                waited_s=clock.steady() - sent_at,
            )

    def _target_failed(self, placed: Placed, reason: str) -> None:
        record = placed.target.record
        self.forwarder.pool.drop(record.target_id)
        self.beliefs.target_failed(placed.target, clock.steady())
        self.forwarder.log.warning(
            "target-failed",
            request=self.caller.request_id,
            target=record.target_id,
            address=record.address,
            reason=reason,
        )

    def _put_back(self, exchange: ClientExchange, placed: Placed) -> None:
        if exchange.is_reusable:
            self.forwarder.pool.put(
                placed.target.record.target_id,
                exchange.sock,
                keep_s=exchange.keep_s,
            )
        else:
            exchange.close()

    def _release(self, attempt: Attempt | None) -> None:
        """Closes the connection of an answer that was not read whole."""
        if isinstance(attempt, Answered) and attempt.exchange.is_streaming:
            attempt.exchange.is_streaming = False
            attempt.exchange.close()

    def _is_final(self, attempt: Attempt) -> bool:
        """Says whether an attempt ends the request."""
        is_spent = len(self.tried) >= self.route.max_attempts
        can_resend = self.body.rest is None
        match attempt:
            case TimedOut():
                return True
            case NotSent():
                has_failed = len(self.unreachable) >= MAX_CONNECT_FAILURES
                return has_failed or not can_resend
            case Lost():
                can_repeat = self.route.is_idempotent and can_resend
                return is_spent or not can_repeat
            case Answered(incoming, verdict, _, _):
                if not verdict.was_executed:
                    return is_spent or not can_resend
                is_good = incoming.status < FIRST_ERROR_STATUS
                if is_good and verdict.is_whole:
                    return True
                return (
                    is_spent or not self.route.is_idempotent or not can_resend
                )
        return True

    def _finish(self, attempt: Attempt) -> None:
        match attempt:
            case Answered(_, verdict, _, _) if not verdict.was_executed:
                self._refuse(Refused("target-refused", LOW_TIME_RETURN_S), None)
            case Answered():
                self._pass_on(attempt)
            case NotSent(reason):
                self._refuse(Refused(reason, LOW_TIME_RETURN_S), None)
            case Lost() if self.exchange.body_is_too_large:
                self._fail(TOO_LARGE, "body-too-large")
            case Lost(reason):
                self._fail(BAD_GATEWAY, reason)
            case TimedOut():
                self._fail(GATEWAY_TIMEOUT, "timeout")

    def _refuse(self, refused: Refused, last: Attempt | None) -> None:
        """Ends a request for which there is no further attempt."""
        match last:
            case Answered(_, verdict, _, _) if verdict.was_executed:
                self._pass_on(last)
            case Lost(reason):
                self._fail(BAD_GATEWAY, reason)
            case _:
                self.forwarder._own(
                    self.exchange,
                    self.caller,
                    UNAVAILABLE,
                    refused.reason,
                    retry_after_s=refused.retry_after_s,
                    route=self.route.name,
                    service=self.service,
                    load=refused.load,
                    tried=",".join((*self.tried, *self.unreachable)),
                )

    def _out_of_time(self, last: Attempt | None) -> None:
        if isinstance(last, Answered | Lost):
            self._refuse(Refused("deadline", LOW_TIME_RETURN_S), last)
            return
        refused = Refused("deadline", LOW_TIME_RETURN_S)
        self._refuse(refused, None)

    def _fail(self, status: int, reason: str) -> None:
        self.forwarder._own(
            self.exchange,
            self.caller,
            status,
            reason,
            route=self.route.name,
            service=self.service,
            tried=",".join((*self.tried, *self.unreachable)),
        )

    def _pass_on(self, answered: Answered) -> None:
        """Sends a target's answer to the caller."""
        incoming, verdict, placed, _ = answered
        is_success = incoming.status < FIRST_ERROR_STATUS
        if is_success and not verdict.is_whole:
            self._fail(BAD_GATEWAY, "unproved answer")
            return
        headers = messages.end_to_end(incoming.headers)
        if incoming.rest is None:
            self.exchange.respond(incoming.status, headers, incoming.body)
        else:
            self._stream(answered, headers)
        took_s = clock.steady() - self.exchange.head.received_at
        outcome = str(incoming.status)
        self.forwarder.metrics.answered(
            self.service, self.route.name, outcome, took_s
        )
        is_late = took_s > self.route.objective_s
        log = self.forwarder.log
        (log.info if is_late or not is_success else log.request)(
            "request-answered",
            request=self.caller.request_id,
            status=incoming.status,
            route=self.route.name,
            service=self.service,
            target=placed.target.record.target_id,
            choice=placed.choice,
            load=placed.load,
            attempts=len(self.tried),
            took_s=took_s,
            late=is_late,
            config=self.beliefs.version,
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
        self._put_back(answered.exchange, answered.placed)
        self.exchange.finish()


def _detail(attempt: Attempt) -> str:
    """Returns what an attempt ended with, for the log."""
    match attempt:
        case Answered(incoming):
            return str(incoming.status)
        case NotSent(reason) | Lost(reason):
            return reason
    return ""


def _take_body(exchange: Exchange) -> Body:
    """Returns a request's body; a large one is streamed."""
    start = bytearray()
    parts = exchange.body()
    for part in parts:
        start += part
        if len(start) > MAX_REPEATABLE_BODY_BYTES:
            return Body(bytes(start), parts)
    return Body(bytes(start), None)
