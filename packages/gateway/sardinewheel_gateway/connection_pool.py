"""Idle connections that may be reused."""

import socket as std_socket
from typing import NamedTuple

from gevent import socket

from sardinewheel_gateway import clock

MAX_IDLE_PER_ADDRESS = 32


class IdleConnection(NamedTuple):
    """An idle connection in the pool, with times on the monotonic clock."""

    sock: socket.socket
    since: float
    until: float


class ConnectionPool:
    """Idle connections by key; the most recently used is reused first."""

    def __init__(self):
        self.idle: dict[str, list[IdleConnection]] = {}

    def take(self, key: str, *, max_idle_s: float) -> socket.socket | None:
        """Returns an open connection idle for ``max_idle_s`` at most."""
        stack = self.idle.get(key)
        now = clock.steady()
        while stack:
            connection = stack.pop()
            is_fresh = (
                now < connection.until and now - connection.since <= max_idle_s
            )
            if is_fresh and _has_no_pending_data(connection.sock):
                return connection.sock
            connection.sock.close()
        return None

    def put(self, key: str, sock: socket.socket, *, keep_s: float) -> None:
        """Adds an idle connection that may be reused for ``keep_s`` seconds."""
        now = clock.steady()
        stack = self.idle.setdefault(key, [])
        if len(stack) >= MAX_IDLE_PER_ADDRESS:
            stack.pop(0).sock.close()
        stack.append(IdleConnection(sock, now, now + keep_s))

    def open_keys(self) -> set[str]:
        """Returns the keys that have an open connection; closes broken ones."""
        for key, stack in list(self.idle.items()):
            kept = [x for x in stack if _has_no_pending_data(x.sock)]
            for connection in stack:
                if connection not in kept:
                    connection.sock.close()
            if kept:
                self.idle[key] = kept
            else:
                del self.idle[key]
        return set(self.idle)

    def clear(self) -> None:
        """Closes all idle connections."""
        for key in list(self.idle):
            self.drop(key)

    def drop(self, key: str) -> None:
        """Closes all idle connections of a key."""
        for connection in self.idle.pop(key, ()):
            connection.sock.close()

    def expire(self) -> None:
        """Closes connections whose keep-alive time is over."""
        now = clock.steady()
        for key, stack in list(self.idle.items()):
            kept = [x for x in stack if now < x.until]
            for old in stack:
                if now >= old.until:
                    old.sock.close()
            if kept:
                self.idle[key] = kept
            else:
                del self.idle[key]


def _has_no_pending_data(sock: socket.socket) -> bool:
    """Returns whether an idle socket has neither data nor EOF to read."""
    sock.settimeout(0.0)
    try:
        sock.recv(1, std_socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        sock.settimeout(None)
    return False
