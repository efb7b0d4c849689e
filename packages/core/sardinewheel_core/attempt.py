"""Results of attempts to have a request executed."""

from enum import StrEnum
from typing import NamedTuple

from sardinewheel_core.request import Reason


class Ending(StrEnum):
    """How an attempt ended.

    ``NOT_SENT``: no byte of the request left this host.
    ``REFUSED``: the target or peer reports that it did not run the request.
    ``ANSWERED``: a complete response arrived.
    ``LOST``: bytes were sent, but no complete response arrived.
    """

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    ANSWERED = "answered"
    LOST = "lost"


class AttemptResult(NamedTuple):
    """Result of one attempt.

    Attributes:
        ending: How it ended.
        status: HTTP status of the response, when there is one.
        reason: Why it was refused or lost.
        retry_after_s: Delay before a retry that the target or peer requested,
            in seconds, or 0.
        draining: Whether the target announced that it is draining.
        duration_s: Seconds from dispatch to the end.
    """

    ending: Ending
    status: int = 0
    reason: Reason = Reason.NONE
    retry_after_s: float = 0.0
    draining: bool = False
    duration_s: float = 0.0
