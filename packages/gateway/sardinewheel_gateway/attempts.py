"""One attempt of a request at one target, and how it ended."""

from collections.abc import Iterator
from typing import NamedTuple

import gevent

from sardinewheel_gateway import clock, messages
from sardinewheel_gateway.contract import Caller, Contract, Verdict
from sardinewheel_gateway.errors import AnswerLostError, NotSentError
from sardinewheel_gateway.http_client import (
    ClientExchange,
    ConnectionPool,
    Incoming,
    Outgoing,
    connect,
)
from sardinewheel_gateway.messages import RequestHead
from sardinewheel_gateway.metrics import Metrics
from sardinewheel_gateway.policy.placement import Placed
from sardinewheel_gateway.policy.routes import Route
from sardinewheel_gateway.policy.routing_state import RoutingState

CONNECT_TIMEOUT_S = 0.3
IDEMPOTENT_IDLE_S = 8.0
CAREFUL_IDLE_S = 3.0
MIN_REMAINING_S = 0.001
FIRST_ERROR_STATUS = 500


class Body(NamedTuple):
    """A request's body.

    Attributes:
        start: The whole body, or its beginning.
        rest: Yields what follows, of a body that is too large to keep.
    """

    start: bytes
    rest: Iterator[bytes] | None

    def parts(self) -> Iterator[bytes]:
        """Yields the whole body."""
        yield self.start
        yield from self.rest or ()


class Request(NamedTuple):
    """A caller's request, as it goes to targets.

    Attributes:
        head: Request line and headers.
        caller: What the caller says of it.
        route: Its route.
        body: Its body.
        deadline: When its final answer is due, on the steady clock.
    """

    head: RequestHead
    caller: Caller
    route: Route
    body: Body
    deadline: float


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


def detail_of(attempt: Attempt) -> str:
    """Returns what an attempt ended with, for the log."""
    match attempt:
        case Answered(incoming):
            return str(incoming.status)
        case NotSent(reason) | Lost(reason):
            return reason
    return ""


class Sender:
    """Sends requests to targets, each attempt once.

    Attributes:
        routing_state: Learns how each attempt ended.
        contract: Reads and writes the platform's headers.
        pool: Idle connections to targets.
        metrics: Counts new connections.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        contract: Contract,
        metrics: Metrics,
        log,
    ):
        self.routing_state = routing_state
        self.contract = contract
        self.metrics = metrics
        self.log = log
        self.pool = ConnectionPool()

    def send(self, request: Request, placed: Placed) -> Attempt:
        """Sends a request to a target and waits for the answer."""
        began = clock.steady()
        load = self.routing_state.loads.of(placed.target.record.target_id)
        load.in_flight += 1
        self.routing_state.dispatched(placed.target, began)
        exchange = None
        try:
            with gevent.Timeout(request.deadline - began, False):
                exchange = self._open(request, placed)
                return self._run(exchange, request, placed)
            if exchange is None or not exchange.has_sent:
                return self._unreachable(request, placed, "connect timeout")
            return self._timed_out(request, placed, began)
        except NotSentError as error:
            return self._unreachable(request, placed, str(error))
        except AnswerLostError as error:
            self._target_failed(request, placed, str(error))
            return Lost(str(error))
        finally:
            load.in_flight -= 1
            if exchange is not None and not exchange.is_streaming:
                self.put_back(exchange, placed)

    def put_back(self, exchange: ClientExchange, placed: Placed) -> None:
        """Keeps an exchange's connection if it can be used again."""
        if exchange.is_reusable:
            self.pool.put(
                placed.target.record.target_id,
                exchange.sock,
                keep_s=exchange.keep_s,
            )
        else:
            exchange.close()

    def release(self, attempt: Attempt | None) -> None:
        """Closes the connection of an answer that was not read whole."""
        if isinstance(attempt, Answered) and attempt.exchange.is_streaming:
            attempt.exchange.is_streaming = False
            attempt.exchange.close()

    def _open(self, request: Request, placed: Placed) -> ClientExchange:
        record = placed.target.record
        is_idempotent = request.route.is_idempotent
        idle_s = IDEMPOTENT_IDLE_S if is_idempotent else CAREFUL_IDLE_S
        sock = self.pool.take(record.target_id, max_idle_s=idle_s)
        if sock is None:
            sock = connect(record.address, timeout_s=CONNECT_TIMEOUT_S)
            self.metrics.count("target_connections")
        request_id = request.caller.request_id
        return ClientExchange(
            sock, lambda headers: self.contract.answers(headers, request_id)
        )

    def _run(
        self, exchange: ClientExchange, request: Request, placed: Placed
    ) -> Answered:
        record = placed.target.record
        incoming = exchange.run(self._outgoing(request, record.target_id))
        verdict = self.contract.verdict(incoming.status, incoming.headers)
        is_failure = incoming.status >= FIRST_ERROR_STATUS
        self.routing_state.answered(
            placed.target,
            verdict,
            is_error=is_failure and verdict.was_executed,
            now=clock.steady(),
        )
        return Answered(incoming, verdict, placed, exchange)

    def _outgoing(self, request: Request, target_id: str) -> Outgoing:
        head = request.head
        left_s = request.deadline - clock.steady()
        headers = self.contract.to_target(
            messages.end_to_end(head.headers),
            target_id=target_id,
            remaining_s=max(MIN_REMAINING_S, left_s),
        )
        if request.body.rest is not None:
            if messages.value_of(headers, b"content-length") is None:
                headers.append((b"transfer-encoding", b"chunked"))
            parts = request.body.parts()
            return Outgoing(
                head.method, head.path, headers, parts, is_chunked=True
            )
        headers = [h for h in headers if h[0] != b"content-length"]
        if messages.has_body(head.headers):
            length = str(len(request.body.start)).encode()
            headers.append((b"content-length", length))
        return Outgoing(head.method, head.path, headers, request.body.start)

    def _unreachable(
        self, request: Request, placed: Placed, reason: str
    ) -> NotSent:
        self._target_failed(request, placed, reason)
        return NotSent(reason)

    def _timed_out(
        self, request: Request, placed: Placed, sent_at: float
    ) -> TimedOut:
        target = placed.target
        if self.routing_state.target_timed_out(target, sent_at, clock.steady()):
            self.pool.drop(target.record.target_id)
            self.log.warning(
                "target-silent",
                request=request.caller.request_id,
                target=target.record.target_id,
                waited_s=clock.steady() - sent_at,
            )
        return TimedOut()

    def _target_failed(
        self, request: Request, placed: Placed, reason: str
    ) -> None:
        record = placed.target.record
        self.pool.drop(record.target_id)
        self.routing_state.target_failed(placed.target, clock.steady())
        self.log.warning(
            "target-failed",
            request=request.caller.request_id,
            target=record.target_id,
            address=record.address,
            reason=reason,
        )
