"""What the placer answers: the target of a request, or a refusal."""

from typing import NamedTuple

from sardinewheel_gateway.policy.announcements import Limit
from sardinewheel_gateway.policy.finish_estimate import queue_per_slot
from sardinewheel_gateway.policy.targets import Target

MAX_LOAD_AGE_S = 999.0


class Placed(NamedTuple):
    """The target chosen for a request, and the data behind the choice.

    Attributes:
        target: The target.
        load: Estimated requests at the target, divided by its slots.
        choice: ``rank-0`` or ``rank-1`` for the preferred targets, ``spare``
            for any other.
        load_age_s: Seconds since the target last reported its load, at most
            ``MAX_LOAD_AGE_S``, also if it never has.
        limit: Limit that the target names, if any.
        slowdown: Time that work takes there now, relative to the usual time.
        expected_load: ``load``, but nearer to the mean of the service the
            older the report is.
        knows_object: Whether it is known to have handled the object recently.
    """

    target: Target
    load: float
    choice: str
    load_age_s: float = 0.0
    limit: Limit | None = None
    slowdown: float = 1.0
    expected_load: float = 0.0
    knows_object: bool = True

    @property
    def wait(self) -> float:
        """Executions for which the request would wait for a slot."""
        return queue_per_slot(self.load, self.target.record.slots)

    @property
    def delay(self) -> float:
        """Load, as it would be without the slowdown of the target."""
        return self.load * self.slowdown


class Refused(NamedTuple):
    """A refusal of a request that no target has executed.

    Attributes:
        reason: ``no-target``, ``targets-down``, ``targets-limited``,
            ``targets-paused``, ``deadline-unreachable`` or ``overload`` from
            the placer; other reasons come from the attempts and their limits.
        retry_after_s: Seconds after which the caller may retry.
        load: Load expected at the best target, divided by its slots; 0 without
            one.
    """

    reason: str
    retry_after_s: float
    load: float = 0.0
