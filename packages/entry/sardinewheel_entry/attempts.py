"""Sends attempts to targets and peers and reports their results."""

import time
from collections.abc import Callable
from urllib.parse import quote

import gevent
from sardinewheel_core.attempt import AttemptResult, Ending
from sardinewheel_core.effects import Dispatch, Forward
from sardinewheel_core.request import Outcome, Reason, Request

from sardinewheel_entry import headers, http_exchange
from sardinewheel_entry.http_exchange import (
    ConnectionLostError,
    ConnectionPool,
    HttpResponse,
    NotSentError,
    ResponseReader,
)
from sardinewheel_entry.payloads import BUFFER_BYTES, Payload, StreamedBody

FORWARD_PATH = "/v1/services/{service}/requests"
REQUEST_PATH = "/v1/requests/{request_id}"
POOLED_READ_TIMEOUT_S = 2.0
POOLED_READ_TIMEOUT_FRACTION = 0.5
PEER_READ_TIMEOUT_FRACTION = 0.75
CANCEL_TIMEOUT_S = 1.0

ResultAndResponse = tuple[AttemptResult, HttpResponse | None]
OnStream = Callable[[Dispatch | Forward, HttpResponse], None]


class AttemptRunner:
    """Runs attempts; each has exclusive use of a connection while it runs.

    Attributes:
        connections: Pooled connections to targets and peers.
        may_send: Returns whether an attempt may still be sent; called once
            per attempt, immediately before its first byte.
        on_stream: Called with a response whose body exceeds the buffer,
            while the rest of the body is still being received.
        running: Running attempts that have not been cancelled, by id.
    """

    def __init__(self, *, may_send: Callable[[int], bool], on_stream: OnStream):
        self.connections = ConnectionPool()
        self.may_send = may_send
        self.on_stream = on_stream
        self.running: dict[int, tuple[Dispatch | Forward, Payload]] = {}

    def run(
        self, effect: Dispatch | Forward, payload: Payload
    ) -> ResultAndResponse:
        """Sends an attempt and waits for its response until the deadline."""
        address, head = request_head(effect, payload)
        now = time.monotonic()
        try:
            connection = self.connections.get_connection(
                address, now=now, max_idle_s=effect.max_idle_s
            )
        except NotSentError:
            return _without_response(Ending.NOT_SENT, Reason.CONNECTION_LOST)
        sock = connection.sock
        if not self.may_send(effect.attempt_id):
            sock.close()
            return _without_response(Ending.NOT_SENT, Reason.MAY_NOT_SEND)
        remaining_s = max(0.0, effect.request.deadline - time.monotonic())
        use_pooled_timeout = connection.is_pooled and effect.request.repeatable
        sock.settimeout(
            pooled_read_timeout_s(effect, remaining_s)
            if use_pooled_timeout
            else remaining_s
        )
        reader = ResponseReader(sock, "POST")
        self.running[effect.attempt_id] = (effect, payload)
        try:
            with gevent.Timeout(remaining_s):
                _send_request(sock, head, payload)
                return self._read_response(effect, reader)
        except gevent.Timeout:
            return _without_response(Ending.LOST, Reason.DEADLINE)
        except ConnectionLostError:
            return _without_response(Ending.LOST, Reason.CONNECTION_LOST)
        finally:
            self.running.pop(effect.attempt_id, None)
            if reader.is_reusable:
                self.connections.put(address, sock, now=time.monotonic())
            else:
                sock.close()

    def cancel(self, attempt_id: int) -> None:
        """Sends one cancellation to the target or peer of a running attempt."""
        attempt = self.running.pop(attempt_id, None)
        if attempt is not None:
            gevent.spawn(self._cancel, *attempt)

    def _cancel(self, effect: Dispatch | Forward, payload: Payload) -> None:
        request_id = effect.request.id
        if isinstance(effect, Dispatch):
            address, path = effect.target.address, payload.path
        else:
            address = effect.address
            path = request_path(request_id)
        fields = {headers.REQUEST_ID: request_id}
        head = http_exchange.encode_request_head(
            "DELETE", path, address, fields, 0
        )
        http_exchange.call(
            self.connections,
            address,
            head,
            now=time.monotonic(),
            timeout_s=CANCEL_TIMEOUT_S,
        )

    def _read_response(
        self, effect: Dispatch | Forward, reader: ResponseReader
    ) -> ResultAndResponse:
        reader.read_head()
        body = reader.read_body(BUFFER_BYTES)
        response = HttpResponse(reader.status_code, reader.header_map(), body)
        result = attempt_result(effect, response)
        if reader.is_complete:
            return result, response
        if result.ending is not Ending.ANSWERED:
            for _ in reader.chunks():
                continue
            return result, None
        remaining_body = StreamedBody()
        self.on_stream(effect, response._replace(remaining_body=remaining_body))
        try:
            for chunk in reader.chunks():
                remaining_body.put(chunk)
        except (ConnectionLostError, gevent.Timeout) as error:
            remaining_body.fail(ConnectionLostError(str(error)))
            raise
        remaining_body.end()
        return result, None


def request_path(request_id: str) -> str:
    """Returns the path under which entry hosts report a request's outcome."""
    return REQUEST_PATH.format(request_id=quote(request_id, safe="~"))


def pooled_read_timeout_s(
    effect: Dispatch | Forward, remaining_s: float
) -> float:
    """Returns the read timeout on a reused connection, in seconds.

    It is shorter than the time to the deadline, so that a repeatable request
    can be retried on a new connection. A peer gets longer, since it may
    retry the request itself.
    """
    if isinstance(effect, Forward):
        return PEER_READ_TIMEOUT_FRACTION * remaining_s
    return min(
        POOLED_READ_TIMEOUT_S, POOLED_READ_TIMEOUT_FRACTION * remaining_s
    )


def request_head(
    effect: Dispatch | Forward, payload: Payload
) -> tuple[str, bytes]:
    """Returns the address to send an attempt to, and the request head."""
    if isinstance(effect, Dispatch):
        address, path = effect.target.address, payload.path
        fields = target_headers(effect.request)
    else:
        address = effect.address
        path = FORWARD_PATH.format(service=effect.request.service)
        fields = peer_headers(effect.request, payload)
    fields["Content-Type"] = payload.content_type
    length = (
        len(payload.body) if payload.remaining_body is None else payload.length
    )
    head = http_exchange.encode_request_head(
        "POST", path, address, fields, length
    )
    return address, head


def target_headers(request: Request) -> dict[str, str]:
    """Returns the request headers for a target."""
    remaining_ms = int(1000 * max(0.0, request.deadline - time.monotonic()))
    return {
        headers.REQUEST_ID: request.id,
        headers.KIND: request.kind,
        headers.WEIGHT: str(request.weight),
        headers.DEADLINE_MS: str(remaining_ms),
    }


def peer_headers(request: Request, payload: Payload) -> dict[str, str]:
    """Returns the request headers for a peer."""
    fields = target_headers(request)
    fields[headers.REPEATABLE] = "true" if request.repeatable else "false"
    fields[headers.BLOCK] = request.block
    fields[headers.PATH] = payload.path
    fields[headers.HOPS] = str(request.hops)
    fields[headers.DELEGATED] = "true" if request.delegated else "false"
    fields[headers.ATTEMPT] = request.attempt
    fields[headers.FIRST_ATTEMPT] = (
        "true" if request.is_first_attempt else "false"
    )
    return fields


def attempt_result(
    effect: Dispatch | Forward, response: HttpResponse
) -> AttemptResult:
    """Returns the result of an attempt, read from its response."""
    if isinstance(effect, Dispatch):
        return _target_result(response)
    outcome = response.headers.get(headers.OUTCOME.lower(), "")
    reason = _parse_reason(response.headers.get(headers.REASON.lower(), ""))
    if outcome == Outcome.DONE:
        return AttemptResult(Ending.ANSWERED, status=response.status)
    if outcome == Outcome.NOT_RUN:
        retry_after_ms = response.headers.get(
            headers.RETRY_AFTER_MS.lower(), "0"
        )
        return AttemptResult(
            Ending.REFUSED,
            status=response.status,
            reason=reason,
            retry_after_s=int(retry_after_ms) / 1000,
        )
    return AttemptResult(Ending.LOST, status=response.status, reason=reason)


def _send_request(sock, head: bytes, payload: Payload) -> None:
    is_chunked = payload.remaining_body is not None and payload.length is None
    body = b"" if is_chunked else payload.body
    http_exchange.send(sock, head, body)
    try:
        for piece in payload.remaining_chunks():
            http_exchange.send(sock, b"", piece)
    except OSError as error:
        raise ConnectionLostError(str(error)) from error


def _without_response(ending: Ending, reason: Reason) -> ResultAndResponse:
    return AttemptResult(ending, reason=reason), None


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


def _parse_reason(text: str) -> Reason:
    try:
        return Reason(text)
    except ValueError:
        return Reason.NONE
