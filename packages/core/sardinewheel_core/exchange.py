"""A request while this host works on it."""

from enum import StrEnum
from typing import TYPE_CHECKING

from sardinewheel_core.intent import Kind
from sardinewheel_core.request import Request
from sardinewheel_core.targets import TargetState
from sardinewheel_core.ticket import Ticket

if TYPE_CHECKING:
    from sardinewheel_core.occupancy import Occupancy


class Stage(StrEnum):
    """Where an exchange stands."""

    ARRIVED = "arrived"
    WAITING = "waiting"
    DISPATCHED = "dispatched"
    FORWARDED = "forwarded"
    ENDED = "ended"


class Exchange:
    """A request with what this host decided about it so far.

    Attributes:
        arrival_ids: Arrivals that wait for the answer; a retry of an id in
            progress joins the first.
        request: The request.
        kind: Its kind, once identified.
        ticket: The ticket in its id, when this host owns it.
        region: Region that is to execute it, once placed.
        stage: Where it stands.
        attempt_id: Attempt under way, or 0.
        target: Target of the attempt under way.
        occupancy: What the attempt under way occupies.
        waiting_since: When it began to wait for room, or nothing.
        refused_by: Targets and hosts that said they did not run it.
        attempts: Attempts made so far.
        dispatched_at: When the attempt under way began.
        forwarded_to: Host of the latest hand-on.
    """

    def __init__(self, arrival_id: int, request: Request):
        self.arrival_ids = [arrival_id]
        self.request = request
        self.kind: Kind | None = None
        self.ticket: Ticket | None = None
        self.region: str | None = None
        self.stage = Stage.ARRIVED
        self.attempt_id = 0
        self.target: TargetState | None = None
        self.occupancy: Occupancy | None = None
        self.waiting_since: float | None = None
        self.refused_by: set[str] = set()
        self.attempts = 0
        self.dispatched_at = 0.0
        self.forwarded_to = ""

    @property
    def priority(self) -> int:
        """Priority of its kind; 0 is served first."""
        return self.kind.priority if self.kind else 0
