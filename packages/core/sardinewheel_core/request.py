"""Requests of callers and the answers they get."""

from enum import StrEnum
from typing import NamedTuple


class Request(NamedTuple):
    """A caller's request, without its body.

    Attributes:
        id: Request id. A request that may not be repeated carries an id that
            starts with a ticket (see :mod:`sardinewheel_core.ticket`).
        service: Service that is to execute it.
        kind: Kind within the service.
        weight: Units of a region's cap that it occupies while in flight.
        repeatable: Whether it may be executed more than once.
        deadline: Instant on the entry host's monotonic clock, in seconds,
            after which its answer is of no use.
        block: Caller block the request comes from.
        hops: Entry hosts it has already passed.
        resendable: Whether the driver still has the whole body to send again.
        delegated: Whether the host that owns the ticket handed the execution
            to this one.
        attempt: Unique name of a delegated attempt, to recognize a copy.
        is_first: Whether the caller says that it never sent this id before.
        fingerprint: Digest of what is asked for, to tell a retry from another
            request that uses the same id by mistake.
    """

    id: str
    service: str
    kind: str
    weight: int
    repeatable: bool
    deadline: float
    block: str = ""
    hops: int = 0
    resendable: bool = True
    delegated: bool = False
    attempt: str = ""
    is_first: bool = False
    fingerprint: str = ""


class Outcome(StrEnum):
    """What became of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    PENDING = "pending"


class Reason(StrEnum):
    """Why a request was refused, forwarded, held or left unknown."""

    NONE = "none"
    NOT_READY = "not-ready"
    LEAVING = "leaving"
    UNKNOWN_SERVICE = "unknown-service"
    DEADLINE = "deadline"
    NO_ROOM = "no-room"
    REGION_CAP = "region-cap"
    NO_TARGET = "no-target"
    TARGET_SHED = "target-shed"
    OUTRANKED = "outranked"
    RETRY_BUDGET = "retry-budget"
    CANCELLED = "cancelled"
    TICKET_MISSING = "ticket-missing"
    TICKET_EXPIRED = "ticket-expired"
    OWNER_GONE = "owner-gone"
    OWNER_UNREACHABLE = "owner-unreachable"
    PLATFORM_AWAY = "platform-away"
    BOOK_FULL = "book-full"
    CONNECTION_LOST = "connection-lost"
    IN_PROGRESS = "in-progress"
    HOP_LIMIT = "hop-limit"
    SHIFTED = "shifted"
    OVERFLOW = "overflow"
    TICKET_OWNER = "ticket-owner"
    SUPERSEDED = "superseded"
    ID_REUSED = "id-reused"
    NOT_SEEN = "not-seen"
    PAUSED = "paused"
    DUPLICATE = "duplicate"


class Refusal(NamedTuple):
    """Why a request did not run, and when and where to come back.

    Attributes:
        reason: Why it was refused.
        retry_after_s: Seconds after which there should be room.
        retry_at: Names of entry hosts to come back to, best first.
    """

    reason: Reason
    retry_after_s: float = 0.0
    retry_at: tuple[str, ...] = ()


class Answer(NamedTuple):
    """The final answer to one request.

    Attributes:
        request_id: Request that it belongs to.
        outcome: What became of the request.
        attempt_id: Attempt whose response carries the body, when done.
        status: HTTP status of the target's response, when done.
        refusal: Set when the request did not run.
        reason: Why the outcome is unknown, or ``NONE``.
    """

    request_id: str
    outcome: Outcome
    attempt_id: int = 0
    status: int = 0
    refusal: Refusal | None = None
    reason: Reason = Reason.NONE
