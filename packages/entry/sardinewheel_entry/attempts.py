"""Carries attempts to targets and peers, and says how they ended."""

import time
from typing import NamedTuple

import gevent
from sardinewheel_core.attempt import AttemptResult, Ending
from sardinewheel_core.effects import Dispatch, Forward
from sardinewheel_core.request import Outcome, Reason, Request

from sardinewheel_entry import headers, http_exchange
from sardinewheel_entry.http_exchange import (
    ConnectionLostError,
    Connections,
    HttpResponse,
    NotSentError,
)

REFUSED_STATUS = 503
FORWARD_PATH = "/v1/services/{service}/requests"


class Payload(NamedTuple):
    """What of a request the core does not need.

    Attributes:
        path: Path at the target.
        content_type: Media type of the body.
        body: The body.
    """

    path: str
    content_type: str
    body: bytes


class AttemptRunner:
    """Runs attempts, each on a connection of its own at the time."""

    def __init__(self):
        self.connections = Connections()
        self.running: dict[int, gevent.Greenlet] = {}

    def run(
        self, effect: Dispatch | Forward, payload: Payload
    ) -> tuple[AttemptResult, HttpResponse | None]:
        """Sends a request and waits for the response until its deadline."""
        if isinstance(effect, Dispatch):
            address, path = effect.target.address, payload.path
            fresh = effect.fresh_connection
            fields = target_headers(effect.request)
        else:
            address = effect.address
            path = FORWARD_PATH.format(service=effect.request.service)
            fresh = not effect.request.repeatable
            fields = peer_headers(effect.request, payload)
        fields["Content-Type"] = payload.content_type
        head = http_exchange.head_of(
            "POST", path, address, fields, len(payload.body)
        )
        now = time.monotonic()
        left_s = max(0.0, effect.request.deadline - now)
        try:
            sock = self.connections.take(address, now=now, fresh=fresh)
        except NotSentError:
            return AttemptResult(
                Ending.NOT_SENT, reason=Reason.CONNECTION_LOST
            ), None
        keep = False
        try:
            with gevent.Timeout(left_s):
                http_exchange.send(sock, head, payload.body)
                response, keep = http_exchange.receive(sock, "POST")
        except gevent.Timeout:
            return AttemptResult(Ending.LOST, reason=Reason.DEADLINE), None
        except ConnectionLostError:
            return AttemptResult(
                Ending.LOST, reason=Reason.CONNECTION_LOST
            ), None
        finally:
            if keep:
                self.connections.put(address, sock, now=time.monotonic())
            else:
                sock.close()
        return result_of(effect, response), response

    def cancel(self, attempt_id: int) -> None:
        """Tells the other side that an attempt is no longer wanted."""


def target_headers(request: Request) -> dict[str, str]:
    """Returns the headers that a target gets."""
    left_ms = int(1000 * max(0.0, request.deadline - time.monotonic()))
    return {
        headers.REQUEST_ID: request.id,
        headers.KIND: request.kind,
        headers.DEADLINE_MS: str(left_ms),
    }


def peer_headers(request: Request, payload: Payload) -> dict[str, str]:
    """Returns the headers that a peer gets."""
    fields = target_headers(request)
    fields[headers.WEIGHT] = str(request.weight)
    fields[headers.REPEATABLE] = "true" if request.repeatable else "false"
    fields[headers.BLOCK] = request.block
    fields[headers.PATH] = payload.path
    fields[headers.HOPS] = str(request.hops)
    fields[headers.DELEGATED] = "true" if request.delegated else "false"
    return fields


def result_of(
    effect: Dispatch | Forward, response: HttpResponse
) -> AttemptResult:
    """Returns how an attempt with a whole response ended."""
    if isinstance(effect, Dispatch):
        return _target_result(response)
    outcome = response.headers.get(headers.OUTCOME.lower(), "")
    reason = _reason(response.headers.get(headers.REASON.lower(), ""))
    if outcome == Outcome.DONE:
        return AttemptResult(Ending.ANSWERED, status=response.status)
    if outcome == Outcome.NOT_RUN:
        after_ms = response.headers.get(headers.RETRY_AFTER_MS.lower(), "0")
        return AttemptResult(
            Ending.REFUSED,
            status=response.status,
            reason=reason,
            retry_after_s=int(after_ms) / 1000,
        )
    return AttemptResult(Ending.LOST, status=response.status, reason=reason)


def _target_result(response: HttpResponse) -> AttemptResult:
    draining = headers.DRAINING.lower() in response.headers
    if headers.SHED.lower() in response.headers:
        return AttemptResult(
            Ending.REFUSED,
            status=response.status,
            reason=Reason.TARGET_SHED,
            draining=draining,
        )
    return AttemptResult(
        Ending.ANSWERED, status=response.status, draining=draining
    )


def _reason(text: str) -> Reason:
    try:
        return Reason(text)
    except ValueError:
        return Reason.NONE
