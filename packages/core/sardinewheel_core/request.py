"""Requests from callers, and their final answers."""

from enum import StrEnum
from typing import NamedTuple


class Request(NamedTuple):
    """A caller's request, without its body.

    Attributes:
        id: Request id. The id of a non-repeatable request starts with a ticket
            (see :mod:`sardinewheel_core.ticket`) or is claimed in the
            platform's table (see :mod:`sardinewheel_core.claims`).
        service: Service that executes it.
        kind: Kind within the service.
        weight: Units of the region's cap that it occupies while in flight.
        repeatable: Whether it may be executed more than once.
        deadline: Time on the entry host's monotonic clock, in seconds, after
            which the caller no longer uses an answer.
        block: Address block (CIDR) of the caller.
        hops: Number of entry hosts that have already forwarded it.
        has_replayable_body: Whether the driver still holds the whole body, so
            that it can be sent again.
        delegated: Whether the host that owns the request id delegated the
            execution to this host.
        attempt: Unique id of a delegated attempt, to detect duplicates.
        is_first_attempt: Whether the caller declares that it has not sent
            this id before.
        fingerprint: Digest of the request, to tell a retry from a different
            request that reuses the id by mistake.
    """

    id: str
    service: str
    kind: str
    weight: int
    repeatable: bool
    deadline: float
    block: str = ""
    hops: int = 0
    has_replayable_body: bool = True
    delegated: bool = False
    attempt: str = ""
    is_first_attempt: bool = False
    fingerprint: str = ""


class Outcome(StrEnum):
    """Final or current outcome of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    PENDING = "pending"


class Reason(StrEnum):
    """Why a request was refused or forwarded, or why its outcome is unknown.

    ``NO_ROOM``: no capacity is free and the request may not be queued for it.
    ``OUTRANKED``: a more urgent request replaced it in a full queue.
    ``PLATFORM_AWAY``: the platform did not confirm in time who owns the id.
    ``CLAIM_UNREADABLE``: the row that says who owns the id is malformed.
    ``BOOK_FULL``: the outcome store has reached its maximum size.
    ``MAY_NOT_SEND``: the host was no longer allowed to send the first byte, for
    example after a pause of its process.
    """

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
    CLAIM_UNREADABLE = "claim-unreadable"
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
    MAY_NOT_SEND = "paused"
    DUPLICATE = "duplicate"


class Refusal(NamedTuple):
    """Why a request was not executed, and when and where to retry it.

    Attributes:
        reason: Why it was refused.
        retry_after_s: Seconds after which capacity is expected to be free.
        retry_at: Names of entry hosts to retry at, best first.
    """

    reason: Reason
    retry_after_s: float = 0.0
    retry_at: tuple[str, ...] = ()


class Answer(NamedTuple):
    """The final answer to one request.

    Attributes:
        request_id: Id of the request.
        outcome: Outcome of the request.
        attempt_id: Attempt whose response carries the body, when done.
        status: HTTP status of the target's response, when done.
        refusal: Set when the request was not executed.
        reason: Why the outcome is unknown, or ``NONE``.
    """

    request_id: str
    outcome: Outcome
    attempt_id: int = 0
    status: int = 0
    refusal: Refusal | None = None
    reason: Reason = Reason.NONE
