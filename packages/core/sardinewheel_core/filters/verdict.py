"""Verdicts: the possible decisions of a filter about an exchange."""

from typing import NamedTuple

from sardinewheel_core.exchange import Exchange
from sardinewheel_core.messages import HostState
from sardinewheel_core.request import Answer, Reason


class Continue(NamedTuple):
    """The exchange continues with the next filter."""


class Wait(NamedTuple):
    """The exchange is queued until capacity is free.

    Attributes:
        replaced: Less urgent exchange to evict from the full queue, if any.
    """

    replaced: Exchange | None = None


class Claim(NamedTuple):
    """The exchange waits until its id is claimed in the platform's table."""


class Park(NamedTuple):
    """The exchange waits until a successor has this host's outcome records."""


class Join(NamedTuple):
    """The exchange gets the answer of an earlier one with the same id."""

    exchange: Exchange


class Finish(NamedTuple):
    """The exchange ends with a final answer."""

    answer: Answer


class Delegate(NamedTuple):
    """The exchange is forwarded to another entry host."""

    host: HostState
    reason: Reason


Verdict = Continue | Wait | Claim | Park | Join | Finish | Delegate
