"""Carries attempts to targets and peers, and says how they ended."""

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
    Connections,
    HttpResponse,
    NotSentError,
    ResponseReader,
)
from sardinewheel_entry.payloads import BUFFER_BYTES, Payload, StreamedBody

FORWARD_PATH = "/v1/services/{service}/requests"
REQUEST_PATH = "/v1/requests/{request_id}"
SILENCE_S = 2.0
SILENCE_SHARE = 0.5
PEER_SILENCE_SHARE = 0.75
CANCEL_TIMEOUT_S = 1.0

Ended = tuple[AttemptResult, HttpResponse | None]
OnStream = Callable[[Dispatch | Forward, HttpResponse], None]


class AttemptRunner:
    """Runs attempts, each on a connection of its own at the time.

    Attributes:
        connections: Connections to targets and peers.
        confirm: Says whether the first byte of an attempt may leave.
        on_stream: Called with a response that is too large to keep, while
            the rest of it still arrives.
        running: Attempts under way that were not cancelled yet.
    """

    def __init__(self, *, confirm: Callable[[int], bool], on_stream: OnStream):
        self.connections = Connections()
        self.confirm = confirm
        self.on_stream = on_stream
        self.running: dict[int, tuple[Dispatch | Forward, Payload]] = {}

    def run(self, effect: Dispatch | Forward, payload: Payload) -> Ended:
        """Sends a request and waits for the response until its deadline."""
        address, head = request_head(effect, payload)
        now = time.monotonic()
        try:
            connection = self.connections.open(
                address, now=now, max_idle_s=effect.max_idle_s
            )
        except NotSentError:
            return _ended(Ending.NOT_SENT, Reason.CONNECTION_LOST)
        sock = connection.sock
        if not self.confirm(effect.attempt_id):
            sock.close()
            return _ended(Ending.NOT_SENT, Reason.PAUSED)
        left_s = max(0.0, effect.request.deadline - time.monotonic())
        is_guarded = connection.is_pooled and effect.request.repeatable
        sock.settimeout(silence_s(effect, left_s) if is_guarded else left_s)
        reader = ResponseReader(sock, "POST")
        self.running[effect.attempt_id] = (effect, payload)
        try:
            with gevent.Timeout(left_s):
                _send_request(sock, head, payload)
                return self._read_response(effect, reader)
        except gevent.Timeout:
            return _ended(Ending.LOST, Reason.DEADLINE)
        except ConnectionLostError:
            return _ended(Ending.LOST, Reason.CONNECTION_LOST)
        finally:
            self.running.pop(effect.attempt_id, None)
            if reader.is_reusable:
                self.connections.put(address, sock, now=time.monotonic())
            else:
                sock.close()

    def cancel(self, attempt_id: int) -> None:
        """Tells the other side, once, that an attempt is not wanted."""
        entry = self.running.pop(attempt_id, None)
        if entry is not None:
            gevent.spawn(self._cancel, *entry)

    def _cancel(self, effect: Dispatch | Forward, payload: Payload) -> None:
        request_id = effect.request.id
        if isinstance(effect, Dispatch):
            address, path = effect.target.address, payload.path
        else:
            address = effect.address
            path = path_of(request_id)
        fields = {headers.REQUEST_ID: request_id}
        head = http_exchange.head_of("DELETE", path, address, fields, 0)
        http_exchange.call(
            self.connections,
            address,
            head,
            now=time.monotonic(),
            timeout_s=CANCEL_TIMEOUT_S,
        )

    def _read_response(
        self, effect: Dispatch | Forward, reader: ResponseReader
    ) -> Ended:
        reader.read_head()
        body = reader.read_body(BUFFER_BYTES)
        response = HttpResponse(reader.status_code, reader.header_map(), body)
        result = result_of(effect, response)
        if reader.has_ended:
            return result, response
        if result.ending is not Ending.ANSWERED:
            for _ in reader.chunks():
                continue
            return result, None
        rest = StreamedBody()
        self.on_stream(effect, response._replace(rest=rest))
        try:
            for chunk in reader.chunks():
                rest.put(chunk)
        except (ConnectionLostError, gevent.Timeout) as error:
            rest.fail(ConnectionLostError(str(error)))
            raise
        rest.end()
        return result, None


def path_of(request_id: str) -> str:
    """Returns the path at which a peer answers for a request id."""
    return REQUEST_PATH.format(request_id=quote(request_id, safe="~"))


def silence_s(effect: Dispatch | Forward, left_s: float) -> float:
    """Returns how long a used connection may stay silent, in seconds.

    Shorter than what is left, so that work that may be repeated is retried
    on a new connection. A peer gets longer, since it may retry itself.
    """
    if isinstance(effect, Forward):
        return PEER_SILENCE_SHARE * left_s
    return min(SILENCE_S, SILENCE_SHARE * left_s)


def request_head(
    effect: Dispatch | Forward, payload: Payload
) -> tuple[str, bytes]:
    """Returns the address an attempt goes to, and its request head."""
    if isinstance(effect, Dispatch):
        address, path = effect.target.address, payload.path
        fields = target_headers(effect.request)
    else:
        address = effect.address
        path = FORWARD_PATH.format(service=effect.request.service)
        fields = peer_headers(effect.request, payload)
    fields["Content-Type"] = payload.content_type
    length = len(payload.body) if payload.rest is None else payload.length
    head = http_exchange.head_of("POST", path, address, fields, length)
    return address, head


def target_headers(request: Request) -> dict[str, str]:
    """Returns the headers that a target gets."""
    left_ms = int(1000 * max(0.0, request.deadline - time.monotonic()))
    return {
        headers.REQUEST_ID: request.id,
        headers.KIND: request.kind,
        headers.WEIGHT: str(request.weight),
        headers.DEADLINE_MS: str(left_ms),
    }


def peer_headers(request: Request, payload: Payload) -> dict[str, str]:
    """Returns the headers that a peer gets."""
    fields = target_headers(request)
    fields[headers.REPEATABLE] = "true" if request.repeatable else "false"
    fields[headers.BLOCK] = request.block
    fields[headers.PATH] = payload.path
    fields[headers.HOPS] = str(request.hops)
    fields[headers.DELEGATED] = "true" if request.delegated else "false"
    fields[headers.ATTEMPT] = request.attempt
    fields[headers.FIRST] = "true" if request.is_first_attempt else "false"
    return fields


def result_of(
    effect: Dispatch | Forward, response: HttpResponse
) -> AttemptResult:
    """Returns how an attempt with a response ended."""
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


def _send_request(sock, head: bytes, payload: Payload) -> None:
    is_chunked = payload.rest is not None and payload.length is None
    body = b"" if is_chunked else payload.body
    http_exchange.send(sock, head, body)
    try:
        for piece in payload.pieces():
            http_exchange.send(sock, b"", piece)
    except OSError as error:
        raise ConnectionLostError(str(error)) from error


def _ended(ending: Ending, reason: Reason) -> Ended:
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


def _reason(text: str) -> Reason:
    try:
        return Reason(text)
    except ValueError:
        return Reason.NONE
