"""Server side of one HTTP request and its response."""

from collections import deque
from collections.abc import Iterator
from http import HTTPStatus
from typing import Protocol

import h11
from gevent.event import Event

from sardinewheel_gateway.errors import (
    BodyTooLargeError,
    CallerGoneError,
    StoppingError,
)
from sardinewheel_gateway.messages import Headers, RequestHead
from sardinewheel_gateway.peer_messages import Origin


class CallerConnection(Protocol):
    """Connection that an exchange belongs to."""

    def must_close(self, exchange: "Exchange") -> bool:
        """Returns whether the connection closes after this response."""

    def write(self, data: bytes) -> None:
        """Sends bytes to the caller."""

    def response_finished(self, exchange: "Exchange") -> None:
        """Allows the next response to be sent, or closes the connection."""

    def terminate(self) -> None:
        """Closes the connection without completing a response."""


class Exchange:
    """Server side of one HTTP request and its response.

    Attributes:
        head: Request line and headers.
        parser: ``h11`` connection that frames this request and its response.
        may_respond: Set when all earlier responses on the connection were
            sent.
        has_begun: Whether bytes of the response may have been sent.
        is_done: Whether the response is complete.
        received_bytes: Size of the part of the request body read so far.
        origin: Where the request comes from, if another host forwarded it.
    """

    def __init__(self, connection: CallerConnection, parser, head):
        self.connection = connection
        self.parser = parser
        self.head: RequestHead = head
        self.may_respond = Event()
        self.has_begun = False
        self.is_done = False
        self.chunks: deque[bytes] = deque()
        self.received_bytes = 0
        self.origin: Origin | None = None
        self.body_error: Exception | None = None
        self.body_is_complete = False
        self.body_changed = Event()
        self.body_consumed = Event()

    def body(self) -> Iterator[bytes]:
        """Yields the parts of the request body.

        Raises:
            BodyTooLargeError: The body exceeds the size limit.
            CallerGoneError: The body ended early.
            StoppingError: The rest is not awaited any more.
        """
        while True:
            while self.chunks:
                chunk = self.chunks.popleft()
                self.body_consumed.set()
                yield chunk
            if self.body_error is not None:
                raise self.body_error
            if self.body_is_complete:
                return
            self.body_changed.clear()
            self.body_changed.wait()

    def fail_body(self, error: Exception) -> None:
        """Ends the request body with an error."""
        self.body_error = error
        self.body_changed.set()

    def give_up_body(self) -> None:
        """Awaits no more of the request body, unless it has ended."""
        if not self.body_is_complete and self.body_error is None:
            self.fail_body(StoppingError("the host stops"))

    @property
    def body_is_too_large(self) -> bool:
        """Whether the request body exceeded the size limit."""
        return isinstance(self.body_error, BodyTooLargeError)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response."""
        length = (b"content-length", str(len(body)).encode())
        framed = [(k, v) for k, v in headers if k != b"content-length"]
        self.begin(status, [*framed, length])
        self.send(body)
        self.finish()

    def begin(self, status: int, headers: Headers) -> None:
        """Sends the status line and headers of a response."""
        self.may_respond.wait()
        self.has_begun = True
        if self.connection.must_close(self):
            headers = [*headers, (b"connection", b"close")]
        self._write(
            h11.Response(
                status_code=status, headers=headers, reason=_reason(status)
            )
        )

    def send(self, data: bytes) -> None:
        """Sends a part of the response body."""
        if data and self.head.method != b"HEAD":
            self._write(h11.Data(data=data))

    def finish(self) -> None:
        """Completes the response."""
        self._write(h11.EndOfMessage())
        self.is_done = True
        self.connection.response_finished(self)

    def abort(self) -> None:
        """Closes the connection, which truncates the response."""
        self.connection.terminate()

    def _write(self, event) -> None:
        try:
            data = self.parser.send(event)
        except h11.LocalProtocolError as error:
            self.connection.terminate()
            raise CallerGoneError(str(error)) from error
        if data:
            self.connection.write(data)


def _reason(status: int) -> bytes:
    """Returns the reason phrase of a status; empty if unregistered."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
