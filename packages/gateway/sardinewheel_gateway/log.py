"""Structured logs that never block a request.

One line of key=value pairs for each event goes to standard output through a
bounded queue. Lines that don't fit are counted, and the count is logged.
Routine lines, of requests that went as they should, are limited by rate.
"""

import sys
from collections import Counter, deque

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from gevent.os import make_nonblocking, nb_write

from sardinewheel_gateway import clock

MAX_QUEUED_LINES = 2000
MAX_ROUTINE_PER_S = 100
MAX_OTHERS_PER_S = 400
FLUSH_INTERVAL_S = 0.25
FLUSH_TIMEOUT_S = 0.3
LEVELS = ("debug", "info", "warning", "error")


class Log:
    """Writes log lines.

    Attributes:
        lost: Lines that were dropped because the reader was too slow.
        routine: Limits lines of requests that went as they should.
        others: Limits all other lines.
        events: How often each event was logged, or would have been.
    """

    def __init__(self, *, host: str, level: str = "info", descriptor=None):
        self.host = host
        self.least = LEVELS.index(level)
        self.lines: deque[str] = deque()
        self.lost = 0
        self.events: Counter[str] = Counter()
        self.routine = RateLimit(MAX_ROUTINE_PER_S)
        self.others = RateLimit(MAX_OTHERS_PER_S)
        self.has_lines = Event()
        self.descriptor = descriptor
        self.partial = b""
        self.writing = BoundedSemaphore()

    def start(self) -> None:
        """Starts the greenlet that writes."""
        if self.descriptor is None:
            self.descriptor = sys.stdout.fileno()
        make_nonblocking(self.descriptor)
        gevent.spawn(self._write_forever)

    def debug(self, event: str, **fields) -> None:
        """Logs what is expected."""
        self._add(0, event, fields)

    def request(self, event: str, **fields) -> None:
        """Logs a decision on a request that goes as it should."""
        self._add(1, event, fields, limit=self.routine)

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

    def _add(
        self,
        level: int,
        event: str,
        fields: dict,
        *,
        limit: "RateLimit | None" = None,
    ) -> None:
        if level < self.least:
            return
        self.events[event] += 1
        if not (limit or self.others).admits(clock.steady()):
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

    def _note_omitted(self) -> None:
        counts = {
            "reader-too-slow": self.lost,
            "routine-rate": self.routine.omitted,
            "rate": self.others.omitted,
        }
        self.lost = self.routine.omitted = self.others.omitted = 0
        for reason, count in counts.items():
            if count:
                self.lines.append(
                    f"time={clock.wall():.3f} level=warning host={self.host} "
                    f"event=log-lines-omitted reason={reason} count={count}\n"
                )

    def _write_queued(self) -> None:
        with self.writing:
            self._note_omitted()
            self.partial += "".join(self.lines).encode()
            self.lines.clear()
            while self.partial:
                try:
                    written = nb_write(self.descriptor, self.partial)
                except OSError:
                    # Nobody reads the log; there is no place to report that.
                    written = len(self.partial)
                self.partial = self.partial[written:]


class RateLimit:
    """Admits a number of events in each second, and counts the rest.

    Attributes:
        per_s: Events that are admitted in one second.
        omitted: Events that weren't, since this was last set to 0.
    """

    def __init__(self, per_s: int):
        self.per_s = per_s
        self.second = 0
        self.admitted = 0
        self.omitted = 0

    def admits(self, now: float) -> bool:
        """Says whether an event is admitted."""
        if int(now) != self.second:
            self.second = int(now)
            self.admitted = 0
        if self.admitted >= self.per_s:
            self.omitted += 1
            return False
        self.admitted += 1
        return True


def _text(value) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, bytes):
        value = value.decode("latin-1")
    text = str(value)
    if not text or any(c in text for c in ' "=\n'):
        return '"' + text.replace('"', "'").replace("\n", " ") + '"'
    return text
