"""What a filter decides about an exchange."""

from typing import NamedTuple

from sardinewheel_core.exchange import Exchange
from sardinewheel_core.messages import HostState
from sardinewheel_core.request import Answer, Reason


class Continue(NamedTuple):
    """The next filter decides."""


class Wait(NamedTuple):
    """The exchange waits for room.

    Attributes:
        instead_of: Less urgent exchange that gives up its place, if any.
    """

    instead_of: Exchange | None = None


class Claim(NamedTuple):
    """The exchange waits until its id is claimed in the platform's table."""


class Park(NamedTuple):
    """The exchange waits until a successor has taken this host's records."""


class Join(NamedTuple):
    """The exchange gets the answer of another one of the same id."""

    exchange: Exchange


class Finish(NamedTuple):
    """The exchange has its final answer."""

    answer: Answer


class Delegate(NamedTuple):
    """Another entry host goes on with the exchange."""

    host: HostState
    reason: Reason


Verdict = Continue | Wait | Claim | Park | Join | Finish | Delegate
