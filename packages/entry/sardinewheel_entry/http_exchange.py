"""HTTP client that sends each request exactly once.

The client of ``geventhttpclient`` resends a request when a pooled connection
breaks. A non-repeatable request must not be sent twice, so this module manages
the sockets itself and uses only the response parser of that package.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPResponse

from sardinewheel_entry import addresses

CONNECT_TIMEOUT_S = 1.0
UNACKNOWLEDGED_TIMEOUT_MS = 2000
MAX_IDLE_S = 5.0
MAX_IDLE_PER_ADDRESS = 64
READ_BLOCK_BYTES = 64 * 1024
FIRST_FINAL_STATUS = 200


class NotSentError(Exception):
    """No byte of the request was sent."""


class ConnectionLostError(Exception):
    """Bytes may have been sent, but no complete response was received."""


class HttpResponse(NamedTuple):
    """An HTTP response.

    Attributes:
        status: HTTP status.
        headers: Values by header name in lower case.
        body: The complete body, or its beginning.
        remaining_body: Yields what follows ``body``, if the body is too
            large to buffer.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    remaining_body: Iterable[bytes] | None = None


class Connection(NamedTuple):
    """A connection from the pool or newly opened.

    Attributes:
        sock: The connected socket.
        is_pooled: Whether the connection has carried a request before.
    """

    sock: socket.socket
    is_pooled: bool


class ConnectionPool:
    """Pool of idle connections by address; reuses the latest first."""

    def __init__(self):
        self.idle: dict[str, list[tuple[float, socket.socket]]] = {}

    def get_socket(
        self, address: str, *, now: float, fresh: bool
    ) -> socket.socket:
        """Returns the socket of a pooled or new connection to an address.

        Args:
            address: ``host:port``.
            now: Time on the monotonic clock, in seconds.
            fresh: Whether to open a new connection even if one is idle.

        Raises:
            NotSentError: No connection could be made.
        """
        max_idle_s = 0.0 if fresh else MAX_IDLE_S
        return self.get_connection(address, now=now, max_idle_s=max_idle_s).sock

    def get_connection(
        self, address: str, *, now: float, max_idle_s: float
    ) -> Connection:
        """Returns a pooled or new connection to an address.

        Args:
            address: ``host:port``.
            now: Time on the monotonic clock, in seconds.
            max_idle_s: Longest time that a pooled connection may have been
                idle, in seconds; 0 opens a new connection.

        Raises:
            NotSentError: No connection could be made.
        """
        stack = self.idle.get(address, [])
        while stack and max_idle_s > 0:
            used_at, sock = stack.pop()
            if now - used_at < max_idle_s and _is_usable(sock):
                return Connection(sock, True)
            sock.close()
        try:
            sock = socket.create_connection(
                addresses.split(address), timeout=CONNECT_TIMEOUT_S
            )
        except OSError as error:
            raise NotSentError(str(error)) from error
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_TIMEOUT_MS,
        )
        return Connection(sock, False)

    def put(self, address: str, sock: socket.socket, *, now: float) -> None:
        """Returns a connection to the pool; closes it if the pool is full."""
        sock.settimeout(None)
        stack = self.idle.setdefault(address, [])
        if len(stack) < MAX_IDLE_PER_ADDRESS:
            stack.append((now, sock))
        else:
            sock.close()


def _is_usable(sock: socket.socket) -> bool:
    """Returns whether an idle socket is open and has no unread bytes."""
    timeout = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        sock.settimeout(timeout)
    return False


def send(sock: socket.socket, head: bytes, body: bytes) -> None:
    """Sends a request or a part of it.

    Raises:
        ConnectionLostError: The connection broke; bytes may have been sent.
    """
    try:
        sock.sendall(head + body)
    except OSError as error:
        raise ConnectionLostError(str(error)) from error


class ResponseReader(HTTPResponse):
    """Reads one response; a truncated response is an error.

    A response with neither a content length nor chunked encoding ends with
    its connection, so a complete one cannot be distinguished from a truncated
    one: it is treated as truncated.

    Attributes:
        is_complete: Whether the end of the final response was read.
    """

    def __init__(self, sock: socket.socket, method: str):
        super().__init__(method=method)
        self.sock = sock
        self.is_complete = False

    def read_head(self) -> None:
        """Reads until the headers of the final response are complete.

        Raises:
            ConnectionLostError: The connection broke before the headers were
                complete.
        """
        while not self._has_final_head():
            self._receive()

    def read_body(self, limit: int) -> bytes:
        """Returns the body, or at least ``limit`` bytes of a longer one.

        Raises:
            ConnectionLostError: The connection broke before that part of the
                body was read.
        """
        while not self.is_complete and len(self._body_buffer) < limit:
            self._receive()
        return self._take_body()

    def chunks(self) -> Iterator[bytes]:
        """Yields the unread part of the body.

        Raises:
            ConnectionLostError: The connection broke before the end of the
                body.
        """
        while not self.is_complete:
            self._receive()
            yield self._take_body()

    def header_map(self) -> dict[str, str]:
        """Returns the headers by name in lower case."""
        return {name.lower(): value for name, value in self.items()}

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return self.is_complete and not self.should_close()

    def _has_final_head(self) -> bool:
        return self.headers_complete and (self.get_code() >= FIRST_FINAL_STATUS)

    def _take_body(self) -> bytes:
        body = bytes(self._body_buffer)
        del self._body_buffer[:]
        return body

    def _receive(self) -> None:
        try:
            data = self.sock.recv(READ_BLOCK_BYTES)
            if not data:
                raise ConnectionLostError(
                    "connection closed before the end of the response"
                )
            self.feed(data)
        except (OSError, HTTPParseError) as error:
            raise ConnectionLostError(str(error)) from error

    def _on_message_begin(self) -> None:
        if self.is_complete:
            raise HTTPParseError(
                "unexpected bytes after the end of the response"
            )
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        self.is_complete = self.get_code() >= FIRST_FINAL_STATUS


def receive(sock: socket.socket, method: str) -> tuple[HttpResponse, bool]:
    """Reads a complete response.

    Returns:
        The response, and whether the connection may be reused.

    Raises:
        ConnectionLostError: The connection broke before the response ended.
    """
    reader = ResponseReader(sock, method)
    reader.read_head()
    body = reader.read_body(READ_BLOCK_BYTES) + b"".join(reader.chunks())
    response = HttpResponse(reader.status_code, reader.header_map(), body)
    return response, reader.is_reusable


def call(
    connections: ConnectionPool,
    address: str,
    head: bytes,
    *,
    now: float,
    timeout_s: float,
) -> HttpResponse | None:
    """Sends a request without a body, once.

    Args:
        connections: Pool that provides the connection.
        address: ``host:port``.
        head: Request line and headers.
        now: Time on the monotonic clock, in seconds.
        timeout_s: Timeout for the complete response, in seconds.

    Returns:
        The response, or ``None`` if no complete response was received.
    """
    method = head.split(b" ", 1)[0].decode("ascii")
    try:
        sock = connections.get_socket(address, now=now, fresh=False)
    except NotSentError:
        return None
    is_reusable = False
    try:
        with gevent.Timeout(timeout_s):
            send(sock, head, b"")
            response, is_reusable = receive(sock, method)
    except (ConnectionLostError, gevent.Timeout):
        return None
    finally:
        if is_reusable:
            connections.put(address, sock, now=now)
        else:
            sock.close()
    return response


def encode_request_head(
    method: str,
    path: str,
    address: str,
    headers: dict[str, str],
    length: int | None,
) -> bytes:
    """Returns the request line and headers as bytes.

    Args:
        method: HTTP method.
        path: Path with query string.
        address: ``host:port`` of the server, for the ``Host`` header.
        headers: Additional headers.
        length: Length of the body in bytes; ``None`` for chunked encoding.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is None:
        lines += ["Transfer-Encoding: chunked", "", ""]
    else:
        lines += [f"Content-Length: {length}", "", ""]
    return "\r\n".join(lines).encode("latin-1")
