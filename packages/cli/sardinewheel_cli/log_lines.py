"""Parser for the log lines of gateways.

Lines have the format written by :mod:`sardinewheel_gateway.log`. A prefix, such
as the time and host name added by a log collector, is ignored.
"""

import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

PAIR = re.compile(r'(?P<name>[a-z_]+)=(?P<value>"[^"]*"|\S*)')


class LogLine(NamedTuple):
    """One log line.

    Attributes:
        time: Seconds since the Unix epoch, by the clock of the host.
        host: Name of the host that wrote the line.
        event: Name of the event.
        fields: All other fields except the level, as text.
    """

    time: float
    host: str
    event: str
    fields: dict[str, str]

    def number(self, name: str, default: float = 0.0) -> float:
        """Returns a field as a number, or the default if it is not numeric."""
        try:
            return float(self.fields[name])
        except (KeyError, ValueError):
            return default

    def names(self, name: str) -> list[str]:
        """Returns the items of a comma-separated field."""
        return [x for x in self.fields.get(name, "").split(",") if x]


def parse(text: str) -> LogLine | None:
    """Parses a line of text; returns ``None`` if it is not a log line.

    Examples:
        >>> parse("time=2.5 level=info host=a event=target-gone target=i-1")[1:]
        ('a', 'target-gone', {'target': 'i-1'})
        >>> parse("Traceback (most recent call last):") is None
        True
    """
    pairs = {m["name"]: m["value"].strip('"') for m in PAIR.finditer(text)}
    try:
        time = float(pairs.pop("time"))
        host = pairs.pop("host")
        event = pairs.pop("event")
    except (KeyError, ValueError):
        return None
    pairs.pop("level", None)
    return LogLine(time, host, event, pairs)


def read(lines: Iterable[str]) -> Iterator[LogLine]:
    """Parses lines of text, skipping those that are not log lines."""
    for text in lines:
        line = parse(text)
        if line is not None:
            yield line
