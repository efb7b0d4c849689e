"""State of a request while this host processes it."""

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core.intent import Kind
from sardinewheel_core.outcomes import OutcomeStore
from sardinewheel_core.request import Request
from sardinewheel_core.targets import TargetState

if TYPE_CHECKING:
    from sardinewheel_core.occupancy import Occupancy

# Number of times that entry hosts forward a request.
MAX_HOPS = 2


class Stage(StrEnum):
    """Processing stage of an exchange."""

    ARRIVED = "arrived"
    CLAIMING = "claiming"
    PARKED = "parked"
    WAITING = "waiting"
    DISPATCHED = "dispatched"
    FORWARDED = "forwarded"
    ENDED = "ended"


class JoinedArrival(NamedTuple):
    """A retry that waits for the answer to an id in progress.

    Attributes:
        arrival_id: Arrival to answer.
        deadline: Deadline of the retry, on the monotonic clock in seconds.
    """

    arrival_id: int
    deadline: float


class HeldOccupancy(NamedTuple):
    """Occupancy of a lost attempt, which the target may still be executing.

    Attributes:
        occupancy: What the attempt occupies.
        until: Deadline of the request, when the occupancy is freed.
    """

    occupancy: "Occupancy"
    until: float


class Exchange:
    """A request, with the decisions that this host has made about it.

    Attributes:
        arrival_id: Arrival that started the exchange.
        joined_arrivals: Retries that wait for the same answer.
        request: The request.
        kind: Its kind, once identified.
        outcome_store: Store in which the outcome is recorded if this host owns
            the request id, or ``None``.
        shift: Name of the traffic shift that moved it, empty if none did,
            ``None`` if undecided.
        stage: Processing stage.
        attempt_id: Attempt under way, or 0.
        target: Target of the attempt under way.
        occupancy: What the attempt under way occupies.
        queued_since: When it was first queued, or ``None``.
        is_cap_limited: Whether a target has a free slot for it, but the
            region's cap has no free units.
        wait_deadline: Time after which it is refused instead of queued again.
        refused_by: Names of targets and hosts that reported that they did not
            execute it.
        attempts: Number of attempts made so far.
        dispatched_at: When the attempt under way began.
        forwarded_to: Host that it was last forwarded to.
        had_lost_attempt: Whether any attempt was lost.
        is_claimed: Whether the platform's table names this host as the owner
            of the request id.
    """

    def __init__(self, arrival_id: int, request: Request):
        self.arrival_id = arrival_id
        self.joined_arrivals: list[JoinedArrival] = []
        self.request = request
        self.kind: Kind | None = None
        self.outcome_store: OutcomeStore | None = None
        self.shift: str | None = None
        self.stage = Stage.ARRIVED
        self.attempt_id = 0
        self.target: TargetState | None = None
        self.occupancy: Occupancy | None = None
        self.queued_since: float | None = None
        self.wait_deadline = 0.0
        self.is_cap_limited = False
        self.refused_by: set[str] = set()
        self.attempts = 0
        self.dispatched_at = 0.0
        self.forwarded_to = ""
        self.had_lost_attempt = False
        self.is_claimed = False

    @property
    def is_owned(self) -> bool:
        """Whether this host owns the request id."""
        return self.outcome_store is not None

    @property
    def is_overflow(self) -> bool:
        """Whether another host forwarded it and still decides about retries."""
        return self.request.hops > 0 and not self.is_owned

    @property
    def priority(self) -> int:
        """Priority of the request's kind; 0 is served first."""
        return self.kind.priority if self.kind else 0
