"""Schedules the retries of refused callers.

Each refusal reserves the next time at which capacity is expected to become
free, so that retries arrive about as fast as requests can be served.
"""

import random

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 10.0
JITTER = 0.5


class RetrySchedule:
    """Retry times assigned to refused callers of one service.

    Attributes:
        last_reserved_at: Latest reserved time; the next is an interval later.
    """

    def __init__(self):
        self.last_reserved_at = 0.0

    def reserve(
        self,
        now: float,
        interval_s: float,
        rng: random.Random,
        *,
        deadline: float,
    ) -> float:
        """Reserves a retry time and returns the seconds until then.

        A caller whose deadline is earlier will not retry, so no time is
        reserved for it.

        Args:
            now: Time on the monotonic clock, in seconds.
            interval_s: Expected time between two completions, in seconds.
            rng: Random generator for the jitter.
            deadline: Time after which the caller no longer uses an answer.
        """
        at = max(now + MIN_RETRY_AFTER_S, self.last_reserved_at + interval_s)
        latest = now + MAX_RETRY_AFTER_S
        if at > latest:
            # The schedule is full: spread retries over its second half.
            return MAX_RETRY_AFTER_S * (1 - JITTER * rng.random())
        if at <= deadline:
            self.last_reserved_at = at
        jitter = interval_s * JITTER * rng.random()
        return at - now + jitter
