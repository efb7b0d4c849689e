"""Structured logs that never block a request.

One line of key=value pairs for each event goes to standard output through a
bounded queue. Lines that don't fit are counted, and the count is logged.
"""

import sys
from collections import deque

import gevent
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write

from sardinewheel_gateway import clock

MAX_QUEUED_LINES = 2000
FLUSH_INTERVAL_S = 0.25
FLUSH_TIMEOUT_S = 0.3
LEVELS = ("debug", "info", "warning", "error")


class Log:
    """Writes log lines.

    Attributes:
        lost: Lines that were dropped because the reader was too slow.
    """

    def __init__(self, *, host: str, level: str = "info", descriptor=None):
        self.host = host
        self.least = LEVELS.index(level)
        self.lines: deque[str] = deque()
        self.lost = 0
        self.has_lines = Event()
        self.descriptor = descriptor
        self.partial = b""

    def start(self) -> None:
        """Starts the greenlet that writes."""
        if self.descriptor is None:
            self.descriptor = sys.stdout.fileno()
        make_nonblocking(self.descriptor)
        gevent.spawn(self._write_forever)

    def debug(self, event: str, **fields) -> None:
        """Logs what is expected."""
        self._add(0, event, fields)

    def info(self, event: str, **fields) -> None:
        """Logs a decision or a change."""
        self._add(1, event, fields)

    def warning(self, event: str, **fields) -> None:
        """Logs what went wrong and was handled."""
        self._add(2, event, fields)

    def error(self, event: str, **fields) -> None:
        """Logs what needs an operator."""
        self._add(3, event, fields)

    def flush(self) -> None:
        """Writes what is queued, as far as the reader takes it soon."""
        with gevent.Timeout(FLUSH_TIMEOUT_S, False):
            self._write_queued()

    def _add(self, level: int, event: str, fields: dict) -> None:
        if level < self.least:
            return
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.lost += 1
            return
        pairs = " ".join(f"{k}={_text(v)}" for k, v in fields.items())
        self.lines.append(
            f"time={clock.wall():.3f} level={LEVELS[level]} "
            f"host={self.host} event={event} {pairs}\n"
        )
        self.has_lines.set()

    def _write_forever(self) -> None:
        while True:
            self.has_lines.wait()
            gevent.sleep(FLUSH_INTERVAL_S)
            self.has_lines.clear()
            self._write_queued()

    def _write_queued(self) -> None:
        if self.lost:
            lost, self.lost = self.lost, 0
            self.lines.append(
                f"time={clock.wall():.3f} level=warning host={self.host} "
                f"event=log-lines-lost count={lost}\n"
            )
        data = self.partial + "".join(self.lines).encode()
        self.lines.clear()
        while data:
            self.partial = data
            try:
                written = nb_write(self.descriptor, data)
            except OSError:
                # Nobody reads the log; there is no place to report that.
                self.partial = b""
                return
            data = data[written:]
        self.partial = b""


def _text(value) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, bytes):
        value = value.decode("latin-1")
    text = str(value)
    if not text or any(c in text for c in ' "=\n'):
        return '"' + text.replace('"', "'").replace("\n", " ") + '"'
    return text
