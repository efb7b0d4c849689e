"""The latest decisions of this host, kept to explain them later."""

from collections import deque
from typing import NamedTuple

MAX_DECISIONS = 2000
REPAIR_EVENTS = frozenset({"platform-row-refused"})


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
    fields: tuple[tuple[str, str | int | float], ...]


class DecisionLog:
    """A bounded log of decisions, oldest dropped first."""

    def __init__(self, max_decisions: int = MAX_DECISIONS):
        self.decisions: deque[Decision] = deque(maxlen=max_decisions)

    def add(self, decision: Decision) -> None:
        """Adds a decision."""
        self.decisions.append(decision)

    def about(self, value: str) -> list[Decision]:
        """Returns the decisions with a field of that value, oldest first."""
        return [
            d for d in self.decisions if any(v == value for _, v in d.fields)
        ]

    def repairs(self) -> list[Decision]:
        """Returns the decisions that mended something, oldest first."""
        return [d for d in self.decisions if d.event in REPAIR_EVENTS]
