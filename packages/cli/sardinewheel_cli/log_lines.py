"""Log lines of gateways, read back.

A line is what :mod:`sardinewheel_gateway.log` writes, perhaps with the time
and the host's name before it, as collectors of logs put them there.
"""

import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

PAIR = re.compile(r'(?P<name>[a-z_]+)=(?P<value>"[^"]*"|\S*)')


class LogLine(NamedTuple):
    """One log line.

    Attributes:
        time: Seconds since 1970, by the clock of the host.
        host: Host that wrote it.
        event: What happened.
        fields: All other fields, as text.
    """

    time: float
    host: str
    event: str
    fields: dict[str, str]

    def number(self, name: str, default: float = 0.0) -> float:
        """Returns a field as a number; the default if it is none."""
        try:
            return float(self.fields[name])
        except (KeyError, ValueError):
            return default

    def names(self, name: str) -> list[str]:
        """Returns the parts of a field that lists names."""
        return [x for x in self.fields.get(name, "").split(",") if x]


def parse(text: str) -> LogLine | None:
    """Returns the log line in a line of text, if there is one.

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
    """Yields the log lines among lines of text."""
    for text in lines:
        line = parse(text)
        if line is not None:
            yield line
