"""Requests that wait for room, most urgent first.

A request waits only while it can still be served before its deadline. What
cannot is refused at once, with the time after which there should be room.
"""

from collections import Counter, deque
from collections.abc import Iterator
from typing import TYPE_CHECKING

from sardinewheel_core.retry_budget import RetryBudget
from sardinewheel_core.returns import ReturnSchedule
from sardinewheel_core.service_time import ServiceTime

if TYPE_CHECKING:
    from sardinewheel_core.exchange import Exchange

MAX_WAIT_S = 2.0
WAIT_SHARE = 0.4
MAX_WAITING = 64
FAIR_TURN = 8


class WaitingLine:
    """Requests of one service that wait on this host.

    Attributes:
        lines: Waiting exchanges by priority, each first come first served.
        in_flight: Dispatched requests by priority.
        executions: What is known of the duration of executions.
        turns: Exchanges taken out to be served so far.
        returns: When refused callers come back.
        budget: Retries that may be made.
    """

    def __init__(self):
        self.lines: dict[int, deque[Exchange]] = {}
        self.in_flight: Counter[int] = Counter()
        self.executions = ServiceTime()
        self.turns = 0
        self.returns = ReturnSchedule()
        self.budget = RetryBudget()

    def __len__(self) -> int:
        return sum(len(line) for line in self.lines.values())

    def ahead_of(self, priority: int) -> int:
        """Returns how many wait that are at least as urgent."""
        return sum(
            len(line) for rank, line in self.lines.items() if rank <= priority
        )

    def expected_wait_s(self, priority: int, slots: int) -> float:
        """Returns the wait of a request that joins now, in seconds."""
        ahead = self.ahead_of(priority) + 1
        return self.executions.mean_s * ahead / max(1, slots)

    def push(self, exchange: "Exchange") -> None:
        """Adds an exchange at the end of its priority."""
        self.lines.setdefault(exchange.priority, deque()).append(exchange)

    def push_back(self, exchange: "Exchange") -> None:
        """Returns an exchange that was taken out to its place."""
        self.lines.setdefault(exchange.priority, deque()).appendleft(exchange)
        self.turns -= 1

    def remove(self, exchange: "Exchange") -> None:
        """Takes an exchange out, wherever it stands."""
        line = self.lines.get(exchange.priority)
        if line is not None and exchange in line:
            line.remove(exchange)

    def take_next(self, blocked: set[int]) -> "Exchange | None":
        """Takes out the exchange whose turn it is.

        The most urgent goes first, but each ``FAIR_TURN``-th turn is the
        least urgent's, so that no kind waits for ever.

        Args:
            blocked: Priorities that found no room; they are passed over.
        """
        ranks = sorted(
            rank
            for rank, line in self.lines.items()
            if line and rank not in blocked
        )
        if not ranks:
            return None
        self.turns += 1
        rank = ranks[-1] if self.is_fair_turn else ranks[0]
        return self.lines[rank].popleft()

    @property
    def is_fair_turn(self) -> bool:
        """Whether this turn is the least urgent's."""
        return self.turns % FAIR_TURN == 0

    def heads(self) -> Iterator["Exchange"]:
        """Yields the first waiting exchange of each priority."""
        for line in self.lines.values():
            if line:
                yield line[0]

    def in_order(self) -> Iterator["Exchange"]:
        """Yields the waiting exchanges, most urgent first."""
        for priority in sorted(self.lines):
            yield from list(self.lines[priority])

    def least_urgent(self) -> "Exchange | None":
        """Returns the last exchange of the least urgent priority."""
        for priority in sorted(self.lines, reverse=True):
            if self.lines[priority]:
                return self.lines[priority][-1]
        return None
