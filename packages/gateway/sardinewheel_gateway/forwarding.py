"""Forwards one request: selects targets, sends attempts, decides on retries.

A request that is not idempotent is sent again only if no byte of it was sent or
the target reported that it did not execute the request.
"""

import math
from typing import TYPE_CHECKING

import gevent

from sardinewheel_gateway import clock
from sardinewheel_gateway.attempts import (
    Answered,
    AttemptResult,
    Lost,
    NotSent,
    TimedOut,
    result_detail,
)
from sardinewheel_gateway.caller_request import Body, Deadlines, Request
from sardinewheel_gateway.exchange import Exchange
from sardinewheel_gateway.peer_forwarding import (
    NOT_SENT,
    PATH_LOST,
    TARGETS_DOWN,
    PeerForwarding,
)
from sardinewheel_gateway.peer_sender import PeerAnswered, PeerFailed
from sardinewheel_gateway.platform_adapter import CallerInfo
from sardinewheel_gateway.policy.accounts import Account
from sardinewheel_gateway.policy.placed import Placed, Refused
from sardinewheel_gateway.policy.placement_request import PlacementRequest
from sardinewheel_gateway.policy.reachability import Reachability
from sardinewheel_gateway.policy.routes import Route
from sardinewheel_gateway.request_digest import request_digest
from sardinewheel_gateway.responder import Responder

if TYPE_CHECKING:
    from sardinewheel_gateway.forwarder import Forwarder

MAX_CONNECT_FAILURES = 3
MAX_PERMIT_REFUSALS = 4
MIN_ATTEMPT_S = 0.05
DEFAULT_RETRY_AFTER_S = 0.3
PATH_LOST_RETRY_AFTER_S = 0.5
# Such a request is not served again soon.
CRASHING_RETRY_AFTER_S = 60.0
CRASHES_TARGETS = "crashes-targets"
PEER_FAILED = "peer-failed"
# Another host serves the caller.
STOPPING = Refused("stopping", 0.1)
GATEWAY_TIMEOUT = 504
BODY_SENT = "body-sent"


class Forwarding:
    """Forwarding of one request, over all its attempts.

    Attributes:
        request: The request.
        service: Service that executes it.
        caller_deadline: Time at which the caller stops waiting, on the
            monotonic clock.
        tried: Ids of the targets that it was sent to.
        unreachable: Ids of the targets to which connecting failed.
        without_permit: Ids of the targets whose limit did not admit it.
        unopened: Ids of the targets without an open connection, if new ones
            can't be opened.
        last_result: Result of the last attempt.
        was_refused: Whether the request has not run and never will.
        peers: Forwarding to other hosts, if this one reaches no target.
        responder: Sends the final response.
    """

    def __init__(
        self,
        forwarder: "Forwarder",
        exchange: Exchange,
        caller: CallerInfo,
        route: Route,
        account: Account | None,
        body: Body,
        deadlines: Deadlines,
    ):
        self.forwarder = forwarder
        self.routing_state = forwarder.routing_state
        self.log = forwarder.log
        self.sender = forwarder.sender
        self.exchange = exchange
        self.service = self.routing_state.choose_service(route)
        origin = exchange.origin
        self.tried: list[str] = [] if origin is None else list(origin.tried)
        self.unreachable: list[str] = []
        self.without_permit: list[str] = []
        self.unopened: frozenset[str] = frozenset()
        self.last_result: AttemptResult | None = None
        self.was_refused = False
        self.peers = PeerForwarding(self, forwarder.peer_sender)
        self.responder = Responder(self)
        self.caller_deadline = deadlines.caller
        digest = request_digest(exchange.head, caller.object_key, body.start)
        self.request = Request(
            exchange.head,
            caller,
            route,
            body,
            deadlines.response,
            digest,
            account,
        )

    @property
    def route(self) -> Route:
        """Route of the request."""
        return self.request.route

    @property
    def reachability(self) -> Reachability:
        """Whether this host reaches targets."""
        return self.forwarder.path_monitor.reachability

    @property
    def is_urgent(self) -> bool:
        """Whether its service also has routes of a lower priority."""
        return self.routing_state.is_urgent(
            self.route, self.service, self.request.account
        )

    @property
    def age_s(self) -> float:
        """Seconds since the request's head was complete."""
        return clock.steady() - self.exchange.head.received_at

    def has_time(self, finish_s: float | None = None) -> bool:
        """Returns whether it can end before this host does.

        Args:
            finish_s: Expected seconds until a target's response; by default
                those of the work, without any wait.
        """
        grace_period = self.forwarder.grace_period
        if grace_period is None:
            return True
        is_body_awaited = not self.exchange.body_is_complete
        if is_body_awaited:
            finish_s = math.inf
        elif finish_s is None:
            finish_s = self.routing_state.expected_work_s(
                self.route, self.service
            )
        return grace_period.has_time(
            deadline=self.request.deadline,
            finish_s=finish_s,
            now=clock.steady(),
        )

    def run(self) -> None:
        """Forwards the request until a final response was sent."""
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
            self.sender.close_unread_response(self.last_result)
            self.peers.close()

    def _run(self) -> None:
        if self._refuse_crashing():
            return
        if not self.has_time():
            self._refuse(STOPPING)
            return
        if self._prefers_peers() and self._end_without_targets():
            return
        while True:
            now = clock.steady()
            if self._end_before_attempt(now):
                return
            placement_request = self._placement_request()
            choice = self.routing_state.placer.place(placement_request, now)
            if isinstance(choice, Refused):
                is_down = choice.reason == TARGETS_DOWN
                if not (is_down and self._end_at_peer()):
                    self._refuse(choice)
                return
            room = self.routing_state.placer.room
            if not self.has_time(
                room.expected_finish_s(placement_request, choice)
            ):
                self._refuse(STOPPING)
                return
            if not self._acquire_permit(choice):
                continue
            if self.tried and not self.routing_state.try_acquire_retry(
                self.service, now
            ):
                self._refuse(Refused("retry-budget", DEFAULT_RETRY_AFTER_S))
                return
            self.sender.close_unread_response(self.last_result)
            self.last_result = self._send_attempt(choice, now)
            if self._is_final(self.last_result):
                self._finish(self.last_result)
                return
            if self.reachability.is_lost and self._end_without_targets():
                return

    def _end_before_attempt(self, now: float) -> bool:
        """Returns whether the request ended, as no attempt is possible."""
        if self.tried and self._refuse_crashing():
            return True
        if not self.request.body.can_be_sent:
            self._end_with_sent_body()
            return True
        if self.request.deadline - now < MIN_ATTEMPT_S:
            self._refuse(Refused("deadline", DEFAULT_RETRY_AFTER_S))
            return True
        if len(self.without_permit) >= MAX_PERMIT_REFUSALS:
            self._refuse(Refused("targets-limited", DEFAULT_RETRY_AFTER_S))
            return True
        return False

    def _refuse_crashing(self) -> bool:
        """Ends a request that crashes its targets; returns whether it does."""
        digest = self.request.digest
        suspects = self.routing_state.crash_suspects
        if not suspects.is_refused(digest, clock.steady()):
            return False
        self._refuse(Refused(CRASHES_TARGETS, CRASHING_RETRY_AFTER_S))
        return True

    def _prefers_peers(self) -> bool:
        """Returns whether to forward the request before any attempt here."""
        if self.exchange.origin is not None:
            return False
        share = self.reachability.local_share(now=clock.steady())
        return share < 1.0 and self.routing_state.rng.random() >= share

    def _end_without_targets(self) -> bool:
        """Returns whether the request ended without a further attempt here."""
        if self._end_at_peer():
            return True
        if not self.reachability.is_lost:
            return False
        if self.peers.refused is not None:
            self._refuse(self.peers.refused)
            return True
        # Open connections may still work when new ones do not.
        open_targets = self.sender.pool.open_keys()
        if open_targets - set(self.tried):
            known = self.routing_state.target_table.targets
            self.unopened = frozenset(known) - open_targets
            return False
        spread = 1.0 + self.routing_state.rng.random()
        self._refuse(Refused(PATH_LOST, PATH_LOST_RETRY_AFTER_S * spread))
        return True

    def _end_at_peer(self) -> bool:
        """Forwards the request; returns whether that ended it."""
        result = self.peers.run()
        if result is None:
            return False
        self.routing_state.withdraw_request(self.service)
        match result:
            case PeerAnswered():
                self.responder.send_peer_response(result, self.peers.asked[-1])
            case PeerFailed(status, reason):
                self.responder.fail(status, reason, metric_reason=PEER_FAILED)
            case Lost(reason):
                self.responder.lose(reason)
            case _:
                self.responder.fail(GATEWAY_TIMEOUT, "timeout")
        return True

    def _acquire_permit(self, placed: Placed) -> bool:
        """Returns whether the limit of the target, if any, admits a request."""
        target_id = placed.target.record.target_id
        if placed.limit is None or self.forwarder.permits.acquire(
            target_id, placed.limit, is_urgent=self.is_urgent
        ):
            return True
        self.without_permit.append(target_id)
        return False

    def _send_attempt(self, placed: Placed, began: float) -> AttemptResult:
        result = self.sender.send(self.request, placed)
        target_id = placed.target.record.target_id
        if isinstance(result, NotSent):
            self.unreachable.append(target_id)
        else:
            self.tried.append(target_id)
        self._log_attempt(placed, result, began)
        return result

    def _log_attempt(
        self, placed: Placed, result: AttemptResult, began: float
    ) -> None:
        is_good = isinstance(result, Answered) and result.has_succeeded
        limit_field = {}
        if placed.limit is not None:
            limit_field["limit_per_s"] = placed.limit.per_s
        (self.log.request if is_good else self.log.info)(
            "attempt-ended",
            request=self.request.caller.request_id,
            outcome=type(result).__name__.lower(),
            detail=result_detail(result),
            object=self.request.caller.object_key,
            target=placed.target.record.target_id,
            choice=placed.choice,
            load=placed.load,
            load_age_s=placed.load_age_s,
            known=placed.knows_object,
            cold=placed.target.is_cold(began),
            waited_s=began - self.exchange.head.received_at,
            took_s=clock.steady() - began,
            left_s=self.request.deadline - clock.steady(),
            digest=self.request.digest,
            **limit_field,
        )

    def _placement_request(self) -> PlacementRequest:
        key = self.request.caller.object_key
        return PlacementRequest(
            service=self.service,
            route=self.route,
            object_key=key if self.route.has_affinity else "",
            is_urgent=self.is_urgent,
            tried=frozenset(
                (*self.tried, *self.unreachable, *self.without_permit)
            )
            | self.unopened,
            account=self.request.account,
            deadline=self.request.deadline,
        )

    def _is_final(self, result: AttemptResult) -> bool:
        """Returns whether the result of an attempt ends the request."""
        attempts_exhausted = len(self.tried) >= self.route.max_attempts
        can_resend = self.request.body.can_be_sent
        can_repeat = self.request.is_repeatable
        match result:
            case TimedOut():
                return True
            case NotSent():
                too_many_failures = (
                    len(self.unreachable) >= MAX_CONNECT_FAILURES
                )
                return too_many_failures or not can_resend
            case Lost():
                is_unsafe = self.routing_state.crash_suspects.is_repeat_unsafe(
                    self.request.digest
                )
                return attempts_exhausted or not can_repeat or is_unsafe
            case Answered(response_info=response_info) if (
                not response_info.was_executed
            ):
                return attempts_exhausted or not can_resend
            case Answered(response_info=response_info):
                if result.has_succeeded and response_info.is_authentic:
                    return True
                return attempts_exhausted or not can_repeat
        return True

    def _finish(self, result: AttemptResult) -> None:
        match result:
            case Answered(response_info=response_info) if (
                not response_info.was_executed
            ):
                self.responder.refuse(
                    Refused("target-refused", DEFAULT_RETRY_AFTER_S)
                )
            case Answered():
                self.responder.send_response(result)
            case NotSent(reason):
                if not self._end_at_peer():
                    self.responder.refuse(
                        Refused(reason, DEFAULT_RETRY_AFTER_S),
                        metric_reason=NOT_SENT,
                    )
            case Lost(reason):
                self.responder.lose(reason)
            case TimedOut():
                self.responder.fail(GATEWAY_TIMEOUT, "timeout")

    def _end_with_sent_body(self) -> None:
        """Ends a request whose body went to another host, and is gone."""
        if self.peers.refused is not None:
            self._refuse(self.peers.refused)
        else:
            self.responder.lose(BODY_SENT)

    def _refuse(self, refused: Refused) -> None:
        """Ends a request when no further attempt is possible."""
        match self.last_result:
            case Answered(response_info=response_info) if (
                response_info.was_executed
            ):
                self.responder.send_response(self.last_result)
            case Lost(reason):
                self.responder.lose(reason)
            case _:
                self.responder.refuse(refused)
