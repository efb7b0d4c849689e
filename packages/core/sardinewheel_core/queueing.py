"""Priority queue of requests that wait for capacity.

A request is queued only if it can still be served before its deadline.
Otherwise it is refused at once, with the delay after which to retry.
"""

from collections import Counter, deque
from collections.abc import Iterator
from typing import TYPE_CHECKING

from sardinewheel_core.retry_budget import RetryBudget
from sardinewheel_core.retry_schedule import RetrySchedule
from sardinewheel_core.service_time import ServiceTime

if TYPE_CHECKING:
    from sardinewheel_core.exchange import Exchange

MAX_WAIT_S = 2.0
MAX_WAIT_FRACTION = 0.4
MAX_WAITING = 64
FAIRNESS_INTERVAL = 8


class WaitQueue:
    """Requests of one service that are queued on this host.

    Attributes:
        queues: Queued exchanges by priority, each in FIFO order.
        in_flight: Number of dispatched requests by priority.
        service_time: Estimate of the duration of executions.
        dequeue_count: Number of exchanges dequeued so far, without those put
            back.
        retry_schedule: Retry times assigned to refused callers.
        retry_budget: Limit on retries of this service.
    """

    def __init__(self):
        self.queues: dict[int, deque[Exchange]] = {}
        self.in_flight: Counter[int] = Counter()
        self.service_time = ServiceTime()
        self.dequeue_count = 0
        self.retry_schedule = RetrySchedule()
        self.retry_budget = RetryBudget()

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues.values())

    def count_ahead(self, priority: int) -> int:
        """Returns the number of queued exchanges at least as urgent."""
        return sum(
            len(queue) for p, queue in self.queues.items() if p <= priority
        )

    def expected_wait_s(self, priority: int, slots: int) -> float:
        """Returns the expected wait of a request queued now, in seconds."""
        ahead = self.count_ahead(priority) + 1
        return self.service_time.mean_s * ahead / max(1, slots)

    def push(self, exchange: "Exchange") -> None:
        """Appends an exchange to the queue of its priority."""
        self.queues.setdefault(exchange.priority, deque()).append(exchange)

    def requeue(self, exchange: "Exchange") -> None:
        """Puts a dequeued exchange back at the head of its queue."""
        self.queues.setdefault(exchange.priority, deque()).appendleft(exchange)
        self.dequeue_count -= 1

    def remove(self, exchange: "Exchange") -> None:
        """Removes an exchange from any position of its queue."""
        queue = self.queues.get(exchange.priority)
        if queue is not None and exchange in queue:
            queue.remove(exchange)

    def dequeue(self, blocked: set[int]) -> "Exchange | None":
        """Dequeues the next exchange to serve.

        The most urgent priority goes first, but every
        ``FAIRNESS_INTERVAL``-th dequeue serves the least urgent one, so that
        no kind of request starves.

        Args:
            blocked: Priorities to skip, as no capacity was free for them.
        """
        priorities = sorted(
            priority
            for priority, queue in self.queues.items()
            if queue and priority not in blocked
        )
        if not priorities:
            return None
        self.dequeue_count += 1
        priority = priorities[-1] if self.is_fairness_turn else priorities[0]
        return self.queues[priority].popleft()

    @property
    def is_fairness_turn(self) -> bool:
        """Whether the latest dequeue served the least urgent priority."""
        return self.dequeue_count % FAIRNESS_INTERVAL == 0

    def heads(self) -> Iterator["Exchange"]:
        """Yields the first queued exchange of each priority."""
        for queue in self.queues.values():
            if queue:
                yield queue[0]

    def in_order(self) -> Iterator["Exchange"]:
        """Yields the queued exchanges, most urgent first."""
        for priority in sorted(self.queues):
            yield from list(self.queues[priority])

    def least_urgent(self) -> "Exchange | None":
        """Returns the last exchange of the least urgent priority."""
        for priority in sorted(self.queues, reverse=True):
            if self.queues[priority]:
                return self.queues[priority][-1]
        return None
