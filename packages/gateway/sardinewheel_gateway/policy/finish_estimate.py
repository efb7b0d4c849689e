"""Estimates when a target would finish a request.

Answers a load in which targets queue, differ in what waits there, and turn slow
for half a second at a time: the number of requests alone doesn't tell whether a
response still comes within the caller's deadline.
"""

from typing import NamedTuple


class FinishEstimate(NamedTuple):
    """Time until a target would finish a request that is sent to it now.

    Attributes:
        wait_s: Seconds in the target's queue.
        work_s: Seconds of execution.
    """

    wait_s: float
    work_s: float

    @property
    def finish_s(self) -> float:
        """Seconds until the response."""
        return self.wait_s + self.work_s

    @classmethod
    def of(
        cls,
        *,
        load: float,
        slots: int,
        slowdown: float,
        work_s: float,
        service_work_s: float,
    ) -> "FinishEstimate":
        """Returns the estimate for a target.

        Args:
            load: Requests at the target, divided by its slots.
            slots: Requests that it executes concurrently.
            slowdown: Time that work takes there now, relative to the usual.
            work_s: Usual seconds of execution of the request.
            service_work_s: Usual seconds of execution of what waits there.

        Examples:
            >>> estimate = FinishEstimate.of(
            ...     load=2.0,
            ...     slots=4,
            ...     slowdown=2.0,
            ...     work_s=0.3,
            ...     service_work_s=0.4,
            ... )
            >>> estimate.wait_s, estimate.work_s
            (1.0, 0.6)
        """
        wait_s = queue_per_slot(load, slots) * service_work_s
        return cls(wait_s * slowdown, work_s * slowdown)


def queue_per_slot(load: float, slots: int) -> float:
    """Returns the executions that a new request waits for in its slot.

    Args:
        load: Requests at the target, divided by its slots.
        slots: Requests that it executes concurrently.

    Examples:
        >>> queue_per_slot(0.75, 4)
        0.0
        >>> queue_per_slot(2.0, 4)
        1.25
    """
    return max(0.0, load - 1.0 + 1.0 / max(1, slots))
