"""One attempt to send a request to one target, and its result."""

from collections.abc import Callable
from typing import NamedTuple

import gevent

from sardinewheel_gateway import clock, messages
from sardinewheel_gateway.caller_request import Request, outgoing_request
from sardinewheel_gateway.errors import (
    NotSentError,
    ResponseLostError,
)
from sardinewheel_gateway.http_client import (
    ClientExchange,
    IncomingResponse,
    OutgoingRequest,
    connect,
)
from sardinewheel_gateway.metrics import Metrics
from sardinewheel_gateway.path_monitor import PathMonitor
from sardinewheel_gateway.platform_adapter import (
    PlatformAdapter,
    ResponseInfo,
)
from sardinewheel_gateway.policy.announcements import Announcement
from sardinewheel_gateway.policy.placed import Placed
from sardinewheel_gateway.policy.routing_state import RoutingState
from sardinewheel_gateway.policy.targets import Target
from sardinewheel_gateway.target_end_monitor import LostRun, TargetEndMonitor

CONNECT_TIMEOUT_S = 0.3
IDEMPOTENT_IDLE_S = 8.0
NON_IDEMPOTENT_IDLE_S = 3.0
MIN_REMAINING_S = 0.001
FIRST_ERROR_STATUS = 500


class Answered(NamedTuple):
    """A target's response, and the exchange that it was read from."""

    response: IncomingResponse
    response_info: ResponseInfo
    placed: Placed
    exchange: ClientExchange

    @property
    def has_succeeded(self) -> bool:
        """Whether the target executed the request without a server error."""
        is_success = self.response.status < FIRST_ERROR_STATUS
        return is_success and self.response_info.was_executed


class NotSent(NamedTuple):
    """No byte of the request was sent to the target."""

    reason: str


class Lost(NamedTuple):
    """The target may have executed the request, but the response was lost."""

    reason: str


class TimedOut(NamedTuple):
    """The deadline passed before the target responded."""


AttemptResult = Answered | NotSent | Lost | TimedOut


def result_detail(result: AttemptResult) -> str:
    """Returns the status or reason of a result, for the log."""
    match result:
        case Answered(response):
            return str(response.status)
        case NotSent(reason) | Lost(reason):
            return reason
    return ""


class Sender:
    """Sends requests to targets; never retries.

    Attributes:
        routing_state: State of the targets, updated with each result.
        adapter: Parses and builds the platform's headers.
        path_monitor: Told which connections failed and which worked.
        pool: Idle connections to targets.
        repeatable: Exchanges under way of requests that may be sent again.
        under_way: Exchanges under way, by digest of the request.
        end_monitor: Told which requests got no response.
        on_completion: Called with the digest of each request that a target
            has executed without a server error.
        metrics: Counts new connections.
        on_announcement: Called with a target that responded and what the
            response announces; None if that cannot be read.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        adapter: PlatformAdapter,
        metrics: Metrics,
        path_monitor: PathMonitor,
        log,
    ):
        self.routing_state = routing_state
        self.adapter = adapter
        self.metrics = metrics
        self.path_monitor = path_monitor
        self.log = log
        self.pool = path_monitor.pool
        self.repeatable: set[ClientExchange] = set()
        self.end_monitor = TargetEndMonitor(routing_state, path_monitor, log)
        self.on_announcement: Callable[[Target, Announcement | None], None]
        self.on_announcement = lambda _target, _announcement: None
        self.under_way: dict[str, set[ClientExchange]] = {}
        self.on_completion: Callable[[str], None] = lambda _digest: None

    def send(self, request: Request, placed: Placed) -> AttemptResult:
        """Sends a request to a target and waits for the response."""
        began = clock.steady()
        load = self.routing_state.loads.of(placed.target.record.target_id)
        load.in_flight += 1
        self.routing_state.record_dispatch(placed.target, began)
        exchange = None
        try:
            with gevent.Timeout(request.deadline - began, False):
                exchange = self._open(request, placed)
                if request.is_repeatable:
                    self.repeatable.add(exchange)
                self._add_under_way(request, exchange)
                return self._send_and_receive(exchange, request, placed)
            if exchange is None or not exchange.has_sent:
                return self._connect_failed(request, placed, "connect timeout")
            return self._timed_out(request, placed, began)
        except NotSentError as error:
            return self._connect_failed(request, placed, str(error))
        except ResponseLostError as error:
            if exchange is None or not exchange.is_given_up:
                self._target_failed(request, placed, str(error))
            now = clock.steady()
            self.end_monitor.record_lost(
                placed.target, LostRun(request.digest, began, now)
            )
            return Lost(str(error))
        finally:
            load.in_flight -= 1
            self.repeatable.discard(exchange)
            self._remove_under_way(request, exchange)
            if exchange is not None and not exchange.is_streaming:
                self.return_connection(exchange, placed)

    def give_up_connections(self) -> None:
        """Closes idle connections, and those of requests that may be repeated.

        These requests end as lost; others still wait for their responses.
        """
        self.pool.clear()
        for exchange in list(self.repeatable):
            exchange.close()

    def forget_target(self, target_id: str) -> None:
        """Handles the end of a target, or its new start, in the registry."""
        self.pool.drop(target_id)
        self.end_monitor.record_registry_end(target_id)

    def give_up_requests(self, digest: str) -> None:
        """Closes the connections of requests that crash their targets.

        A target drops a request that has not begun when its connection closes.
        """
        for exchange in list(self.under_way.get(digest, ())):
            exchange.is_given_up = True
            exchange.close()

    def _add_under_way(
        self, request: Request, exchange: ClientExchange
    ) -> None:
        self.under_way.setdefault(request.digest, set()).add(exchange)

    def _remove_under_way(
        self, request: Request, exchange: ClientExchange | None
    ) -> None:
        exchanges = self.under_way.get(request.digest, set())
        exchanges.discard(exchange)
        if not exchanges:
            self.under_way.pop(request.digest, None)

    def return_connection(
        self, exchange: ClientExchange, placed: Placed
    ) -> None:
        """Returns a reusable connection to the pool; closes any other."""
        if exchange.is_reusable:
            self.pool.put(
                placed.target.record.target_id,
                exchange.sock,
                keep_s=exchange.keep_s,
            )
        else:
            exchange.close()

    def close_unread_response(self, result: AttemptResult | None) -> None:
        """Closes the connection of a response that was not read completely."""
        if isinstance(result, Answered) and result.exchange.is_streaming:
            result.exchange.is_streaming = False
            result.exchange.close()

    def _open(self, request: Request, placed: Placed) -> ClientExchange:
        record = placed.target.record
        is_idempotent = request.route.is_idempotent
        idle_s = IDEMPOTENT_IDLE_S if is_idempotent else NON_IDEMPOTENT_IDLE_S
        sock = self.pool.take(record.target_id, max_idle_s=idle_s)
        if sock is None:
            sock = connect(record.address, timeout_s=CONNECT_TIMEOUT_S)
            self.path_monitor.record_reached()
            self.metrics.count("target_connections")
        request_id = request.caller.request_id
        return ClientExchange(
            sock,
            lambda headers: self.adapter.is_response_to(headers, request_id),
        )

    def _send_and_receive(
        self, exchange: ClientExchange, request: Request, placed: Placed
    ) -> Answered:
        record = placed.target.record
        began = clock.steady()
        response = exchange.run(self._build_request(request, record.target_id))
        self.path_monitor.record_reached()
        response_info = self.adapter.response_info(
            response.status, response.headers
        )
        is_failure = response.status >= FIRST_ERROR_STATUS
        self.routing_state.record_response(
            placed.target,
            response_info,
            is_error=is_failure and response_info.was_executed,
            now=clock.steady(),
        )
        answered = Answered(response, response_info, placed, exchange)
        if answered.has_succeeded and response_info.is_authentic:
            now = clock.steady()
            self.routing_state.record_work(request.route, placed, now - began)
            key = request.caller.object_key
            if key and request.route.has_affinity:
                self.routing_state.record_object(
                    request.route, placed, key, now=now
                )
        if answered.has_succeeded and not exchange.is_streaming:
            self.on_completion(request.digest)
        if not response_info.is_other_target:
            self.on_announcement(placed.target, response_info.announcement)
        if response_info.pause_s > 0.0:
            self.log.info(
                "target-paused",
                target=record.target_id,
                pause_s=response_info.pause_s,
            )
        return answered

    def _build_request(
        self, request: Request, target_id: str
    ) -> OutgoingRequest:
        head = request.head
        left_s = request.deadline - clock.steady()
        headers = self.adapter.target_request_headers(
            messages.end_to_end(head.headers),
            target_id=target_id,
            remaining_s=max(MIN_REMAINING_S, left_s),
            account=self._account_name(request),
        )
        return outgoing_request(request, headers)

    def _account_name(self, request: Request) -> str | None:
        """Returns the account name for targets; None without accounts."""
        if request.account is not None:
            return request.account.name
        return "" if self.routing_state.account_table else None

    def _connect_failed(
        self, request: Request, placed: Placed, reason: str
    ) -> NotSent:
        self._target_failed(request, placed, reason)
        return NotSent(reason)

    def _timed_out(
        self, request: Request, placed: Placed, sent_at: float
    ) -> TimedOut:
        target = placed.target
        self.routing_state.record_late(
            request.route, placed, clock.steady() - sent_at
        )
        if self.routing_state.record_target_timeout(
            target, sent_at, clock.steady()
        ):
            self.pool.drop(target.record.target_id)
            self.path_monitor.record_failure(target.record.target_id)
            load = self.routing_state.loads.of(target.record.target_id)
            last_sign = max(sent_at, load.last_response_at)
            self.end_monitor.record_lost(
                target, LostRun(request.digest, sent_at, last_sign)
            )
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
        self.path_monitor.record_failure(record.target_id)
        self.routing_state.record_target_failure(placed.target, clock.steady())
        self.log.warning(
            "target-failed",
            request=request.caller.request_id,
            target=record.target_id,
            address=record.address,
            reason=reason,
        )
