"""Decides which requests a host that stops may still send to targets.

Answers callers whose requests come late: bodies that end long after their
heads, work that takes longer than the host has left, second attempts. The end
of the process would cut them, while another host could have served them.
"""

from typing import NamedTuple

# Requests of a route differ in the work that they ask for.
FINISH_MARGIN = 2.0


class GracePeriod(NamedTuple):
    """What is left for requests at a host that stops.

    Attributes:
        accepts_until: Time until which requests are sent that are expected, but
            not certain to end, on the monotonic clock.
        ends_at: Time by which the last response must begin.
    """

    accepts_until: float
    ends_at: float

    def has_time(self, *, deadline: float, finish_s: float, now: float) -> bool:
        """Returns whether a request that is sent now ends before the host.

        It does if its deadline comes first: it is answered then at the latest.

        Args:
            deadline: Time at which its final response is due.
            finish_s: Expected seconds until the target's response.
            now: Time, on the monotonic clock.

        Examples:
            >>> grace_period = GracePeriod(accepts_until=2.5, ends_at=5.0)
            >>> grace_period.has_time(deadline=4.9, finish_s=9.0, now=4.8)
            True
            >>> grace_period.has_time(deadline=20.0, finish_s=1.0, now=2.0)
            True
            >>> grace_period.has_time(deadline=20.0, finish_s=1.0, now=2.6)
            False
        """
        if deadline <= self.ends_at:
            return True
        expected_end = now + FINISH_MARGIN * finish_s
        return now <= self.accepts_until and expected_end <= self.ends_at
