"""What a filter decides about an exchange."""

from typing import NamedTuple

from sardinewheel_core.messages import HostState
from sardinewheel_core.request import Answer, Reason


class Continue(NamedTuple):
    """The next filter decides."""


class Wait(NamedTuple):
    """The exchange waits for room."""


class Finish(NamedTuple):
    """The exchange has its final answer."""

    answer: Answer


class Delegate(NamedTuple):
    """Another entry host goes on with the exchange."""

    host: HostState
    reason: Reason


Verdict = Continue | Wait | Finish | Delegate
