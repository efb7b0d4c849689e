"""HTTP/1.1 client for targets and the store.

This module never retries. Its errors state whether bytes were sent, so that its
users can decide on a retry.
"""

import re
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import gevent
import h11
from gevent import socket

from sardinewheel_gateway.errors import NotSentError, ResponseLostError
from sardinewheel_gateway.messages import Headers, header_value
from sardinewheel_gateway.policy.values import split_address

READ_BLOCK_BYTES = 64 * 1024
MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_UNRELATED_RESPONSES = 2
# All that may come before the head of the response ends, 1xx responses too.
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 256 * 1024 * 1024
# Reads after which other greenlets get a turn even if data is always ready.
READS_PER_TURN = 16
UNACKNOWLEDGED_TIMEOUT_MS = 1000
KEEP_ALIVE_MARGIN_S = 1.0
DEFAULT_KEEP_ALIVE_S = 4.0
SHORT_KEEP_ALIVE_S = 0.4
KEEP_ALIVE_FORMAT = re.compile(rb"[0-9]{1,6}")


class OutgoingRequest(NamedTuple):
    """A request to send.

    Attributes:
        method: HTTP method.
        path: Path and query string.
        headers: Headers, including ``Host``.
        body: The whole body, or an iterable of its parts.
        is_chunked: Whether ``body`` is an iterable of parts to be streamed.
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes | Iterable[bytes] = b""
    is_chunked: bool = False


class IncomingResponse(NamedTuple):
    """A received response.

    Attributes:
        status: HTTP status.
        headers: Headers, names in lower case.
        body: The whole body, or the first part of a large one.
        rest: Yields the remainder of a body too large to buffer; None if
            ``body`` is the whole body.
    """

    status: int
    headers: Headers
    body: bytes
    rest: Iterator[bytes] | None = None


def connect(address: str, *, timeout_s: float) -> socket.socket:
    """Opens a TCP connection.

    Args:
        address: ``host:port`` with an IPv4 address, as names are not looked up.
        timeout_s: Seconds after which the attempt fails.

    Raises:
        NotSentError: The connection failed or timed out.
    """
    try:
        sock = _connect(split_address(address), timeout_s)
    except (OSError, ValueError) as error:
        raise NotSentError(str(error) or repr(error)) from error
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
    return sock


def _connect(address: tuple[str, int], timeout_s: float) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.settimeout(timeout_s)
    try:
        sock.connect(address)
    except BaseException:
        # Also if a timeout of the request interrupts it.
        sock.close()
        raise
    return sock


class ClientExchange:
    """Sends one request on a connection and reads its response.

    Attributes:
        sock: The connection; closed by the creator of the exchange.
        is_expected_response: Returns whether headers belong to the response
            to this request.
        is_reusable: Whether the connection may carry another request.
        max_body_bytes: Size of the largest body that is received.
        keep_s: Seconds for which the connection may be kept for reuse.
        has_sent: Whether bytes may have been sent.
        is_streaming: Whether a part of the response is still unread.
    """

    def __init__(
        self,
        sock: socket.socket,
        is_expected_response: Callable[[Headers], bool],
        *,
        max_body_bytes: int = MAX_BODY_BYTES,
    ):
        self.sock = sock
        self.max_body_bytes = max_body_bytes
        self.head_bytes = 0
        self.body_bytes = 0
        self.reads = 0
        self.is_expected_response = is_expected_response
        self.parser = h11.Connection(h11.CLIENT)
        self.is_reusable = False
        self.has_sent = False
        self.is_streaming = False
        self.is_given_up = False
        self.request_is_complete = False
        self.keep_s = DEFAULT_KEEP_ALIVE_S
        self.sender: gevent.Greenlet | None = None

    def run(self, outgoing: OutgoingRequest) -> IncomingResponse:
        """Sends the request and returns the response.

        Raises:
            ResponseLostError: No complete response was received.
        """
        self._send(outgoing)
        try:
            head = self._read_head(outgoing)
            return self._read_response(head)
        except h11.RemoteProtocolError as error:
            raise ResponseLostError(str(error)) from error
        except OSError as error:
            raise ResponseLostError(str(error)) from error

    def close(self) -> None:
        """Closes the connection and stops sending."""
        if self.sender is not None:
            self.sender.kill(block=False)
        self.sock.close()

    def _send(self, outgoing: OutgoingRequest) -> None:
        request = h11.Request(
            method=outgoing.method,
            target=outgoing.path,
            headers=outgoing.headers,
        )
        data = self.parser.send(request)
        self.has_sent = True
        if outgoing.is_chunked:
            self._write(data)
            self.sender = gevent.spawn(self._send_parts, outgoing.body)
            return
        if outgoing.body:
            data += self.parser.send(h11.Data(data=outgoing.body))
        data += self.parser.send(h11.EndOfMessage())
        self._write(data)
        self.request_is_complete = True

    def _send_parts(self, parts: Iterable[bytes]) -> None:
        try:
            for part in parts:
                self.sock.sendall(self.parser.send(h11.Data(data=part)))
            self.sock.sendall(self.parser.send(h11.EndOfMessage()))
            self.request_is_complete = True
        except Exception:
            # The code that reads the response reports the broken connection.
            self.sock.close()

    def _write(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except OSError as error:
            raise ResponseLostError(str(error)) from error

    def _read_head(self, outgoing: OutgoingRequest) -> h11.Response:
        """Returns the response head; skips responses to other requests."""
        for _ in range(MAX_UNRELATED_RESPONSES + 1):
            head = self._next_response()
            if self.is_expected_response(list(head.headers)):
                return head
            for _ in self._parts():
                pass
            self._prepare_for_next_response(outgoing)
        raise ResponseLostError("answers of other requests came instead")

    def _prepare_for_next_response(self, outgoing: OutgoingRequest) -> None:
        if not self.request_is_complete:
            raise ResponseLostError("an answer of another request came")
        if self.parser.their_state is not h11.DONE:
            raise ResponseLostError("closed after another request's answer")
        rest, has_ended = self.parser.trailing_data
        self.parser = h11.Connection(h11.CLIENT)
        self.parser.send(
            h11.Request(
                method=outgoing.method, target=b"/", headers=[(b"host", b"-")]
            )
        )
        self.parser.send(h11.EndOfMessage())
        if rest:
            self.parser.receive_data(rest)
        if has_ended:
            self.parser.receive_data(b"")

    def _next_response(self) -> h11.Response:
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ResponseLostError("closed before an answer")

    def _next_event(self):
        while True:
            event = self.parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = self._receive()
            if not data and self.parser.their_state is h11.SEND_RESPONSE:
                raise ResponseLostError("closed before an answer")
            self.parser.receive_data(data)

    def _receive(self) -> bytes:
        """Returns received bytes; ``b""`` at EOF.

        Raises:
            ResponseLostError: The head or the body is too large.
        """
        data = self.sock.recv(READ_BLOCK_BYTES)
        if self.parser.their_state is h11.SEND_RESPONSE:
            self.head_bytes += len(data)
            if self.head_bytes > MAX_HEAD_BYTES + READ_BLOCK_BYTES:
                raise ResponseLostError("the head of the answer has no end")
        self.reads += 1
        if self.reads % READS_PER_TURN == 0:
            gevent.sleep(0)
        return data

    def _parts(self) -> Iterator[bytes]:
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                self._count_body(len(event.data))
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ResponseLostError("closed before the answer ended")

    def _count_body(self, size: int) -> None:
        """Counts received bytes of bodies, also of those that are skipped."""
        self.body_bytes += size
        if self.body_bytes > self.max_body_bytes:
            raise ResponseLostError(
                f"the body exceeds {self.max_body_bytes} bytes"
            )

    def _read_response(self, head: h11.Response) -> IncomingResponse:
        headers = list(head.headers)
        parts = self._parts()
        body = bytearray()
        for part in parts:
            body += part
            if len(body) > MAX_BUFFERED_BODY_BYTES:
                self.is_streaming = True
                rest = self._rest(parts, headers)
                return IncomingResponse(
                    head.status_code, headers, bytes(body), rest
                )
        self._finish_response(headers)
        return IncomingResponse(head.status_code, headers, bytes(body))

    def _rest(
        self, parts: Iterator[bytes], headers: Headers
    ) -> Iterator[bytes]:
        try:
            yield from parts
        except (h11.RemoteProtocolError, OSError) as error:
            raise ResponseLostError(str(error)) from error
        self.is_streaming = False
        self._finish_response(headers)

    def _finish_response(self, headers: Headers) -> None:
        """Determines whether and for how long the connection can be reused."""
        parser = self.parser
        is_done = parser.their_state is h11.DONE
        has_more = is_done and any(parser.trailing_data)
        self.is_reusable = (
            is_done
            and parser.our_state is h11.DONE
            and self.request_is_complete
            and not has_more
        )
        self.keep_s = keep_alive_s(header_value(headers, b"keep-alive"))


def keep_alive_s(value: bytes | None) -> float:
    """Returns the seconds to keep a connection, from its ``Keep-Alive``.

    Examples:
        >>> keep_alive_s(b"timeout=5, max=100")
        4.0
    """
    for part in (value or b"").split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and KEEP_ALIVE_FORMAT.fullmatch(number):
            seconds = int(number) - KEEP_ALIVE_MARGIN_S
            return max(SHORT_KEEP_ALIVE_S, seconds)
    return DEFAULT_KEEP_ALIVE_S
