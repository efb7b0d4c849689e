"""A request while this host works on it."""

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core.intent import Kind
from sardinewheel_core.outcomes import OutcomeBook
from sardinewheel_core.request import Request
from sardinewheel_core.targets import TargetState

if TYPE_CHECKING:
    from sardinewheel_core.occupancy import Occupancy


class Stage(StrEnum):
    """Where an exchange stands."""

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
        deadline: Instant by which its caller wants an answer.
    """

    arrival_id: int
    deadline: float


class HeldRoom(NamedTuple):
    """Room of an attempt that was lost and may still be running.

    Attributes:
        occupancy: What it occupies.
        until: Deadline of the request.
    """

    occupancy: "Occupancy"
    until: float


class Exchange:
    """A request with what this host decided about it so far.

    Attributes:
        arrival_id: Arrival that began it.
        joined: Retries that wait for the same answer.
        request: The request.
        kind: Its kind, once identified.
        book: Book that its outcome belongs in, when this host owns its id.
        shift: Shift that moved it, empty if none did, nothing if undecided.
        stage: Where it stands.
        attempt_id: Attempt under way, or 0.
        target: Target of the attempt under way.
        occupancy: What the attempt under way occupies.
        waiting_since: When it began to wait for room, or nothing.
        waits_for_units: Whether a target has a slot for it, but the region's
            cap has no room.
        wait_until: When it has waited long enough to be refused.
        refused_by: Targets and hosts that said they did not run it.
        attempts: Attempts made so far.
        dispatched_at: When the attempt under way began.
        forwarded_to: Host of the latest hand-on.
        was_lost: Whether an attempt was lost.
        is_claimed: Whether the platform's table names this host its owner.
    """

    def __init__(self, arrival_id: int, request: Request):
        self.arrival_id = arrival_id
        self.joined: list[JoinedArrival] = []
        self.request = request
        self.kind: Kind | None = None
        self.book: OutcomeBook | None = None
        self.shift: str | None = None
        self.stage = Stage.ARRIVED
        self.attempt_id = 0
        self.target: TargetState | None = None
        self.occupancy: Occupancy | None = None
        self.waiting_since: float | None = None
        self.wait_until = 0.0
        self.waits_for_units = False
        self.refused_by: set[str] = set()
        self.attempts = 0
        self.dispatched_at = 0.0
        self.forwarded_to = ""
        self.was_lost = False
        self.is_claimed = False

    @property
    def is_owned(self) -> bool:
        """Whether this host decides whether its id runs."""
        return self.book is not None

    @property
    def is_overflow(self) -> bool:
        """Whether another host sent it on and decides what to do next."""
        return self.request.hops > 0 and not self.is_owned

    @property
    def priority(self) -> int:
        """Priority of its kind; 0 is served first."""
        return self.kind.priority if self.kind else 0
