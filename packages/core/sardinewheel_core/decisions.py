"""The latest decisions of this host, kept to explain them later.

Decisions about single requests are many; they are kept apart, so that they
do not push out the others.
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
        "snapshot-in-force",
        "snapshot-refused",
    }
)

Pairs = tuple[tuple[str, str | int | float], ...]


class Decision(NamedTuple):
    """One decision with the figures it used.

    Attributes:
        at: Instant on the host's monotonic clock, in seconds.
        event: What was decided, such as ``refused``.
        version: Configuration version in force at the time.
        fields: The figures, as pairs of name and value.
    """

    at: float
    event: str
    version: int
    fields: Pairs


class DecisionLog:
    """A bounded log of decisions, oldest dropped first.

    Attributes:
        decisions: Decisions about anything but single requests.
        of_requests: Decisions about single requests.
    """

    def __init__(
        self,
        max_decisions: int = MAX_DECISIONS,
        max_request_decisions: int = MAX_REQUEST_DECISIONS,
    ):
        self.decisions: deque[Decision] = deque(maxlen=max_decisions)
        self.of_requests: deque[Decision] = deque(maxlen=max_request_decisions)

    def add(self, decision: Decision) -> None:
        """Adds a decision."""
        if any(name == REQUEST_FIELD for name, _ in decision.fields):
            self.of_requests.append(decision)
        else:
            self.decisions.append(decision)

    def about(self, value: str) -> list[Decision]:
        """Returns the decisions with a field of that value, oldest first.

        What happens to every request is left out, unless the value is the id
        of a request.
        """
        found = [d for d in self.decisions if _mentions(d, value)]
        found += [
            d
            for d in self.of_requests
            if (REQUEST_FIELD, value) in d.fields
            or (d.event not in ROUTINE_EVENTS and _mentions(d, value))
        ]
        return sorted(found, key=lambda decision: decision.at)

    def repairs(self) -> list[Decision]:
        """Returns the decisions that mended something, oldest first."""
        return [d for d in self.decisions if d.event in REPAIR_EVENTS]


def _mentions(decision: Decision, value: str) -> bool:
    return any(field == value for _, field in decision.fields)
