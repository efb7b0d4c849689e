"""One request of a caller and the answer to it."""

from collections import deque
from collections.abc import Iterator
from http import HTTPStatus
from typing import Protocol

import h11
from gevent.event import Event

from sardinewheel_gateway.errors import BodyTooLargeError, CallerGoneError
from sardinewheel_gateway.messages import Headers, RequestHead


class CallerConnection(Protocol):
    """The connection that an exchange belongs to."""

    def must_close(self, exchange: "Exchange") -> bool:
        """Says whether the connection ends with an answer."""

    def write(self, data: bytes) -> None:
        """Sends bytes to the caller."""

    def finished(self, exchange: "Exchange") -> None:
        """Lets the next answer leave, or ends the connection."""

    def break_off(self) -> None:
        """Ends the connection without completing an answer."""


class Exchange:
    """One request of a caller and the answer to it.

    Attributes:
        head: Request line and headers.
        parser: Frames this request and its answer.
        turn: Set when all earlier answers of the connection have left.
        has_begun: Whether bytes of the answer may have left.
        is_done: Whether the answer is complete.
    """

    def __init__(self, connection: CallerConnection, parser, head):
        self.connection = connection
        self.parser = parser
        self.head: RequestHead = head
        self.turn = Event()
        self.has_begun = False
        self.is_done = False
        self.chunks: deque[bytes] = deque()
        self.received = 0
        self.body_error: Exception | None = None
        self.body_is_complete = False
        self.body_changed = Event()
        self.body_taken = Event()

    def body(self) -> Iterator[bytes]:
        """Yields the request's body.

        Raises:
            BodyTooLargeError: It is larger than allowed.
            CallerGoneError: It ended early.
        """
        while True:
            while self.chunks:
                chunk = self.chunks.popleft()
                self.body_taken.set()
                yield chunk
            if self.body_error is not None:
                raise self.body_error
            if self.body_is_complete:
                return
            self.body_changed.clear()
            self.body_changed.wait()

    @property
    def body_is_too_large(self) -> bool:
        """Whether the request's body exceeded the limit."""
        return isinstance(self.body_error, BodyTooLargeError)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer."""
        length = (b"content-length", str(len(body)).encode())
        framed = [(k, v) for k, v in headers if k != b"content-length"]
        self.begin(status, [*framed, length])
        self.send(body)
        self.finish()

    def begin(self, status: int, headers: Headers) -> None:
        """Sends status and headers of an answer."""
        self.turn.wait()
        self.has_begun = True
        if self.connection.must_close(self):
            headers = [*headers, (b"connection", b"close")]
        self._write(
            h11.Response(
                status_code=status, headers=headers, reason=_reason(status)
            )
        )

    def send(self, data: bytes) -> None:
        """Sends a part of the answer's body."""
        if data and self.head.method != b"HEAD":
            self._write(h11.Data(data=data))

    def finish(self) -> None:
        """Ends the answer."""
        self._write(h11.EndOfMessage())
        self.is_done = True
        self.connection.finished(self)

    def abort(self) -> None:
        """Ends the connection, so that the answer looks incomplete."""
        self.connection.break_off()

    def _write(self, event) -> None:
        try:
            data = self.parser.send(event)
        except h11.LocalProtocolError as error:
            self.connection.break_off()
            raise CallerGoneError(str(error)) from error
        if data:
            self.connection.write(data)


def _reason(status: int) -> bytes:
    """Returns the reason phrase of a status; none for unregistered ones."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
