"""Requests that were running when their targets ended."""

from typing import NamedTuple

from sardinewheel_gateway.policy.targets import TargetRecord


class TargetStart(NamedTuple):
    """One incarnation of a target.

    Attributes:
        target_id: Id of the target.
        started_ms: Start of its process, see ``TargetRecord``.
    """

    target_id: str
    started_ms: int

    @classmethod
    def of(cls, record: TargetRecord) -> "TargetStart":
        """Returns the incarnation that wrote a record."""
        return cls(record.target_id, record.started_ms)


class Run(NamedTuple):
    """A run of a request that ended with its target.

    Attributes:
        target: The target.
        began: Time at which the request was sent to it, in seconds of the
            monotonic clock.
        ended: Time at which the target was last known to run.
    """

    target: TargetStart
    began: float
    ended: float
