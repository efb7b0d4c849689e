"""When refused callers should come back, so that they find room.

Each refusal books the next free instant of the room that becomes free, so
returns arrive about as fast as requests can be served.
"""

import random

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 10.0
JITTER = 0.5


class ReturnSchedule:
    """Instants at which refused callers of one service come back.

    Attributes:
        next_at: Next instant that is not booked.
    """

    def __init__(self):
        self.next_at = 0.0

    def book(
        self,
        now: float,
        interval_s: float,
        rng: random.Random,
        *,
        deadline: float,
    ) -> float:
        """Books a return and returns the seconds until then.

        A caller whose deadline is earlier will not come back, so nothing is
        booked for it.

        Args:
            now: Time on the monotonic clock, in seconds.
            interval_s: Seconds in which one request's room becomes free.
            rng: Source of the jitter.
            deadline: Instant after which the caller has no use for an answer.
        """
        at = max(now + MIN_RETRY_AFTER_S, self.next_at + interval_s)
        latest = now + MAX_RETRY_AFTER_S
        if at > latest:
            # The schedule is full: spread over its second half.
            return MAX_RETRY_AFTER_S * (1 - JITTER * rng.random())
        if at <= deadline:
            self.next_at = at
        jitter = interval_s * JITTER * rng.random()
        return at - now + jitter
