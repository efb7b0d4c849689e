"""Structured logging that never blocks a request.

Each event is written to standard output as one line of key=value pairs, through
a bounded queue. Lines that do not fit are counted, and the count is logged.
Lines of successful requests have a rate limit of their own.
"""

import sys
from collections import Counter, deque
from collections.abc import Hashable

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from gevent.os import make_nonblocking, nb_write

from sardinewheel_gateway import clock
from sardinewheel_gateway.supervision import keep_running

MAX_QUEUED_LINES = 2000
MAX_ROUTINE_PER_S = 100
MAX_DEFAULT_PER_S = 400
MAX_LOGGED_KEYS = 2000
MAX_VALUE_CHARS = 400
FLUSH_INTERVAL_S = 0.25
FLUSH_TIMEOUT_S = 0.3
LEVELS = ("debug", "info", "warning", "error")


class Log:
    """Writes log lines.

    Attributes:
        dropped: Number of lines dropped because the queue was full.
        routine_limit: Rate limit of lines about successful requests.
        default_limit: Rate limit of all other lines.
        events: Occurrences of each event of at least the minimum level,
            including lines not written.
        logged: Events and keys that were logged once, the latest last.
    """

    def __init__(self, *, host: str, level: str = "info", descriptor=None):
        self.host = host
        self.min_level = LEVELS.index(level)
        self.lines: deque[str] = deque()
        self.dropped = 0
        self.events: Counter[str] = Counter()
        self.routine_limit = RateLimit(MAX_ROUTINE_PER_S)
        self.default_limit = RateLimit(MAX_DEFAULT_PER_S)
        self.logged: dict[tuple[str, Hashable], None] = {}
        self.has_lines = Event()
        self.descriptor = descriptor
        self.unwritten = b""
        self.write_lock = BoundedSemaphore()

    def start(self) -> None:
        """Starts the greenlet that writes queued lines."""
        if self.descriptor is None:
            self.descriptor = sys.stdout.fileno()
        make_nonblocking(self.descriptor)
        keep_running("log", self._write_forever, self)

    def debug(self, event: str, **fields) -> None:
        """Logs an expected event."""
        self._add(0, event, fields)

    def request(self, event: str, **fields) -> None:
        """Logs an event of a successful request, with the routine limit."""
        self._add(1, event, fields, limit=self.routine_limit)

    def info(self, event: str, **fields) -> None:
        """Logs a decision or a state change."""
        self._add(1, event, fields)

    def warning(self, event: str, **fields) -> None:
        """Logs a failure that was handled."""
        self._add(2, event, fields)

    def error(self, event: str, **fields) -> None:
        """Logs a failure that needs an operator."""
        self._add(3, event, fields)

    def warn_once(self, event: str, key: Hashable, **fields) -> None:
        """Logs a failure that was handled, the first time for a key."""
        self._add_once(2, event, key, fields)

    def error_once(self, event: str, key: Hashable, **fields) -> None:
        """Logs a failure that needs an operator, the first time for a key."""
        self._add_once(3, event, key, fields)

    def flush(self) -> None:
        """Writes the queued lines, within ``FLUSH_TIMEOUT_S``."""
        with gevent.Timeout(FLUSH_TIMEOUT_S, False):
            self._write_queued()

    def _add_once(
        self, level: int, event: str, key: Hashable, fields: dict
    ) -> None:
        """Adds a line unless there was one for the key; counts the event."""
        if (event, key) in self.logged:
            self.events[event] += 1
            return
        self.logged[event, key] = None
        if len(self.logged) > MAX_LOGGED_KEYS:
            del self.logged[next(iter(self.logged))]
        self._add(level, event, fields)

    def _add(
        self,
        level: int,
        event: str,
        fields: dict,
        *,
        limit: "RateLimit | None" = None,
    ) -> None:
        if level < self.min_level:
            return
        self.events[event] += 1
        if not (limit or self.default_limit).admits(clock.steady()):
            return
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        pairs = " ".join(f"{k}={_format_value(v)}" for k, v in fields.items())
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

    def _log_omitted(self) -> None:
        counts = {
            "reader-too-slow": self.dropped,
            "routine-rate": self.routine_limit.omitted,
            "rate": self.default_limit.omitted,
        }
        self.dropped = self.routine_limit.omitted = (
            self.default_limit.omitted
        ) = 0
        for reason, count in counts.items():
            if count:
                self.lines.append(
                    f"time={clock.wall():.3f} level=warning host={self.host} "
                    f"event=log-lines-omitted reason={reason} count={count}\n"
                )

    def _write_queued(self) -> None:
        with self.write_lock:
            self._log_omitted()
            # Values may hold text that can't be encoded, as parts of addresses.
            self.unwritten += "".join(self.lines).encode(
                errors="backslashreplace"
            )
            self.lines.clear()
            while self.unwritten:
                try:
                    written = nb_write(self.descriptor, self.unwritten)
                except OSError:
                    # The reader has closed the pipe; nowhere to report this.
                    written = len(self.unwritten)
                self.unwritten = self.unwritten[written:]


class RateLimit:
    """Admits a fixed number of events per second and counts the rest.

    Attributes:
        per_s: Maximum number of events admitted per second.
        omitted: Events not admitted since this was last reset to 0.
    """

    def __init__(self, per_s: int):
        self.per_s = per_s
        self.second = 0
        self.admitted = 0
        self.omitted = 0

    def admits(self, now: float) -> bool:
        """Returns whether an event is admitted."""
        if int(now) != self.second:
            self.second = int(now)
            self.admitted = 0
        if self.admitted >= self.per_s:
            self.omitted += 1
            return False
        self.admitted += 1
        return True


def _format_value(value) -> str:
    """Returns a value as it stands in a line.

    A value of another process can hold any text, so characters that end a line
    or that can't be shown are escaped, and long values are cut.
    """
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, bytes):
        value = value.decode("latin-1")
    text = str(value)
    if len(text) > MAX_VALUE_CHARS:
        text = f"{text[:MAX_VALUE_CHARS]}..."
    if not text.isprintable():
        text = "".join(map(_escape, text))
    if not text or any(c in text for c in ' "='):
        return '"' + text.replace('"', "'") + '"'
    return text


def _escape(character: str) -> str:
    if character.isprintable():
        return character
    if character == "\n":
        return " "
    return character.encode("unicode_escape").decode("ascii")
