"""One HTTP request and its response over one connection, sent once.

``geventhttpclient``'s own client sends a request again when a pooled
connection breaks; a request that may not be repeated must not leave twice,
so the sockets are driven here and only its parser is used.
"""

from typing import NamedTuple

import gevent
from gevent import socket
from geventhttpclient._parser import HTTPParseError
from geventhttpclient.response import HTTPSocketResponse

from sardinewheel_entry import addresses

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_S = 5.0
MAX_IDLE_PER_ADDRESS = 64
READ_BLOCK_BYTES = 64 * 1024


class NotSentError(Exception):
    """No byte of the request left this process."""


class ConnectionLostError(Exception):
    """Bytes left, and no whole response came back."""


class HttpResponse(NamedTuple):
    """A whole response.

    Attributes:
        status: HTTP status.
        headers: Header names in lower case, and values.
        body: The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class Connections:
    """Idle connections by address, newest used first."""

    def __init__(self):
        self.idle: dict[str, list[tuple[float, socket.socket]]] = {}

    def take(self, address: str, *, now: float, fresh: bool) -> socket.socket:
        """Returns a connection to an address.

        Args:
            address: ``host:port``.
            now: Time on the monotonic clock, in seconds.
            fresh: Whether an idle connection must not be used.

        Raises:
            NotSentError: No connection could be made.
        """
        stack = self.idle.get(address, [])
        while stack and not fresh:
            used_at, sock = stack.pop()
            if now - used_at < MAX_IDLE_S and _is_quiet(sock):
                return sock
            sock.close()
        try:
            sock = socket.create_connection(
                addresses.split(address), timeout=CONNECT_TIMEOUT_S
            )
        except OSError as error:
            raise NotSentError(str(error)) from error
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def put(self, address: str, sock: socket.socket, *, now: float) -> None:
        """Keeps a connection for later use."""
        stack = self.idle.setdefault(address, [])
        if len(stack) < MAX_IDLE_PER_ADDRESS:
            stack.append((now, sock))
        else:
            sock.close()


def _is_quiet(sock: socket.socket) -> bool:
    """Says whether nothing, not even the end, waits on an idle socket."""
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
    """Sends a request.

    Raises:
        ConnectionLostError: The connection broke; bytes may have left.
    """
    try:
        sock.sendall(head + body)
    except OSError as error:
        raise ConnectionLostError(str(error)) from error


def receive(sock: socket.socket, method: str) -> tuple[HttpResponse, bool]:
    """Reads a whole response.

    Returns:
        The response and whether the connection may be used again.

    Raises:
        ConnectionLostError: The connection broke before the response ended.
    """
    try:
        response = HTTPSocketResponse(
            sock, block_size=READ_BLOCK_BYTES, method=method
        )
        body = bytes(response.read())
    except (OSError, HTTPParseError, gevent.Timeout) as error:
        raise ConnectionLostError(str(error)) from error
    headers = {k.lower(): v for k, v in response.items()}
    keep = response.message_complete and not response.should_close()
    return HttpResponse(response.status_code, headers, body), keep


def head_of(
    method: str, path: str, address: str, headers: dict[str, str], length: int
) -> bytes:
    """Returns the request line and headers as bytes."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {length}", "", ""]
    return "\r\n".join(lines).encode("latin-1")
