"""Sends the final response of a request to its caller, and logs it."""

from typing import TYPE_CHECKING

import gevent

from sardinewheel_gateway import clock, messages, peer_messages
from sardinewheel_gateway.attempts import FIRST_ERROR_STATUS, Answered
from sardinewheel_gateway.errors import CallerGoneError, ResponseLostError
from sardinewheel_gateway.http_client import IncomingResponse
from sardinewheel_gateway.messages import Headers
from sardinewheel_gateway.metrics import Series
from sardinewheel_gateway.peer_sender import PeerAnswered
from sardinewheel_gateway.policy.placed import Refused

if TYPE_CHECKING:
    from sardinewheel_gateway.forwarding import Forwarding

STREAM_MARGIN_S = 5.0
TOO_LARGE = 413
BAD_GATEWAY = 502
UNAVAILABLE = 503
UNPROVED = "unproved answer"


class Responder:
    """Sends the final response of one request.

    Attributes:
        forwarding: The request, and what was tried.
        exchange: Exchange with the caller, or the host that forwarded it.
    """

    def __init__(self, forwarding: "Forwarding"):
        self.forwarding = forwarding
        self.forwarder = forwarding.forwarder
        self.exchange = forwarding.exchange

    def refuse(
        self, refused: Refused, *, metric_reason: str | None = None
    ) -> None:
        """Responds that the request has not run and never will."""
        self.forwarding.was_refused = True
        self.fail(
            UNAVAILABLE,
            refused.reason,
            metric_reason=metric_reason,
            retry_after_s=refused.retry_after_s,
            load=refused.load,
        )

    def lose(self, reason: str) -> None:
        """Responds that a target may have run the request."""
        if self.exchange.body_is_too_large:
            self.fail(TOO_LARGE, "body-too-large")
        else:
            self.fail(BAD_GATEWAY, reason, metric_reason="response-lost")

    def fail(self, status: int, reason: str, **fields) -> None:
        """Sends a response that this host creates."""
        forwarding = self.forwarding
        self.forwarder.respond(
            self.exchange,
            forwarding.request.caller,
            status,
            reason,
            route=forwarding.route.name,
            service=forwarding.service,
            tried=",".join((*forwarding.tried, *forwarding.unreachable)),
            digest=forwarding.request.digest,
            **fields,
        )

    def send_response(self, answered: Answered) -> None:
        """Sends a target's response."""
        response, placed = answered.response, answered.placed
        if not _may_send(response.status, answered.response_info.is_authentic):
            self.fail(BAD_GATEWAY, UNPROVED)
            return
        target_id = placed.target.record.target_id
        headers = messages.end_to_end(response.headers)
        if self.exchange.origin is not None:
            headers = peer_messages.target_response_headers(headers, target_id)
        self._send(response, headers)
        if response.rest is not None:
            sender = self.forwarder.sender
            sender.return_connection(answered.exchange, placed)
            sender.on_completion(self.forwarding.request.digest)
        self._log(
            response.status,
            target=target_id,
            choice=placed.choice,
            load=placed.load,
        )

    def send_peer_response(self, answered: PeerAnswered, peer: str) -> None:
        """Sends the response of a target that another host relayed."""
        response = answered.response
        info = self.forwarder.adapter.response_info(
            response.status, answered.headers
        )
        if not _may_send(response.status, info.is_authentic):
            self.fail(BAD_GATEWAY, UNPROVED)
            return
        target_table = self.forwarder.routing_state.target_table
        target = target_table.targets.get(answered.target_id)
        if target is not None:
            self.forwarder.sender.on_announcement(target, info.announcement)
        self._send(response, messages.end_to_end(answered.headers))
        if response.rest is not None:
            self.forwarder.peer_sender.return_connection(
                answered.exchange, peer
            )
        self._log(response.status, target=answered.target_id, peer=peer)

    def _send(self, response: IncomingResponse, headers: Headers) -> None:
        if response.rest is None:
            self.exchange.respond(response.status, headers, response.body)
            return
        self._stream(response, headers)
        self.exchange.finish()

    def _stream(self, response: IncomingResponse, headers: Headers) -> None:
        """Streams a response; aborts it if what is received is truncated."""
        self.exchange.begin(response.status, headers)
        self.exchange.send(response.body)
        deadline = self.forwarding.caller_deadline
        limit_s = deadline - clock.steady() + STREAM_MARGIN_S
        timeout_error = ResponseLostError(
            "target response exceeded the caller's deadline"
        )
        try:
            with gevent.Timeout(max(STREAM_MARGIN_S, limit_s), timeout_error):
                for part in response.rest or ():
                    self.exchange.send(part)
        except ResponseLostError as error:
            self.exchange.abort()
            raise CallerGoneError(str(error)) from error

    def _log(self, status: int, **fields) -> None:
        forwarding = self.forwarding
        took_s = forwarding.age_s
        series = Series(forwarding.service, forwarding.route.name, str(status))
        self.forwarder.metrics.observe_request(series, took_s)
        is_late = took_s > forwarding.route.objective_s
        is_routine = status < FIRST_ERROR_STATUS and not is_late
        if self.exchange.origin is not None:
            fields["origin"] = self.exchange.origin.host
        log = forwarding.log
        (log.request if is_routine else log.info)(
            "request-answered",
            request=forwarding.request.caller.request_id,
            status=status,
            route=forwarding.route.name,
            service=forwarding.service,
            attempts=len(forwarding.tried),
            took_s=took_s,
            late=is_late,
            config=forwarding.routing_state.version,
            **fields,
        )


def _may_send(status: int, is_authentic: bool) -> bool:
    """Returns whether a target's response may be sent to a caller."""
    return status >= FIRST_ERROR_STATUS or is_authentic
