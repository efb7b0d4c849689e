"""Log of the latest decisions of this host, shown to operators.

Decisions about single requests are far more frequent than others; they are
stored separately so that they do not evict the others.
"""

from collections import deque
from typing import NamedTuple

MAX_DECISIONS = 2000
MAX_REQUEST_DECISIONS = 4000
REQUEST_FIELD = "request_id"
DISPATCHED = "dispatched"
FORWARDED = "forwarded"
DONE = "done"
ROUTINE_EVENTS = frozenset({DISPATCHED, FORWARDED, DONE})
REPAIR_EVENTS = frozenset(
    {
        "change-refused",
        "outcomes-taken",
        "platform-row-refused",
        "repair",
        "seat-held",
        "seat-paused",
        "snapshot-in-force",
        "snapshot-refused",
    }
)

Pairs = tuple[tuple[str, str | int | float], ...]


class Decision(NamedTuple):
    """A logged decision with the values that it was based on.

    Attributes:
        at: Instant on the host's monotonic clock, in seconds.
        event: Name of the decision's event, such as ``refused``.
        version: Configuration version in force at the time.
        fields: Values that it was based on, as pairs of name and value.
    """

    at: float
    event: str
    version: int
    fields: Pairs


class DecisionLog:
    """A bounded log of decisions that evicts the oldest first.

    Attributes:
        decisions: Decisions other than those about single requests.
        request_decisions: Decisions about single requests.
    """

    def __init__(
        self,
        max_decisions: int = MAX_DECISIONS,
        max_request_decisions: int = MAX_REQUEST_DECISIONS,
    ):
        self.decisions: deque[Decision] = deque(maxlen=max_decisions)
        self.request_decisions: deque[Decision] = deque(
            maxlen=max_request_decisions
        )

    def add(self, decision: Decision) -> None:
        """Adds a decision."""
        if any(name == REQUEST_FIELD for name, _ in decision.fields):
            self.request_decisions.append(decision)
        else:
            self.decisions.append(decision)

    def about(self, value: str) -> list[Decision]:
        """Returns the decisions with a field of this value, oldest first.

        Routine request events (``ROUTINE_EVENTS``) are included only if the
        value is the id of the request.
        """
        found = [d for d in self.decisions if _mentions(d, value)]
        found += [
            d
            for d in self.request_decisions
            if (REQUEST_FIELD, value) in d.fields
            or (d.event not in ROUTINE_EVENTS and _mentions(d, value))
        ]
        return sorted(found, key=lambda decision: decision.at)

    def repairs(self) -> list[Decision]:
        """Returns the decisions about faults and recovery, oldest first."""
        return [d for d in self.decisions if d.event in REPAIR_EVENTS]


def _mentions(decision: Decision, value: str) -> bool:
    return any(field == value for _, field in decision.fields)
