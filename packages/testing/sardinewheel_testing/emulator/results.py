"""Results of a run, from the callers' point of view."""

from statistics import quantiles
from typing import NamedTuple

from sardinewheel_testing.emulator.scenario import Kind

LATE_CREDIT_SHARE = 0.2
MIN_FOR_QUANTILES = 2


class CallResult(NamedTuple):
    """Result of a caller's request, over all of its attempts.

    Attributes:
        kind: Kind of request.
        region: Region of the caller.
        started_at: Simulated time of the first attempt, in seconds.
        response_time_s: Seconds until the response; ``None`` if there was none
            before the deadline.
        refusals: Number of attempts that were refused.
    """

    kind: Kind
    region: str
    started_at: float
    response_time_s: float | None
    refusals: int

    @property
    def met_objective(self) -> bool:
        """Whether the response came within the objective of the kind."""
        return (
            self.response_time_s is not None
            and self.response_time_s <= self.kind.objective_s
        )

    @property
    def credit(self) -> float:
        """Credit earned: full if in time, a fifth if late, 0 if unanswered."""
        if self.response_time_s is None:
            return 0.0
        share = 1.0 if self.met_objective else LATE_CREDIT_SHARE
        return share * self.kind.full_credit


class RunResult(NamedTuple):
    """Results of a run.

    Attributes:
        dispatch: Name of the dispatch strategy.
        calls: Results of all calls, by start time.
        duplicate_executions: Executions beyond the first of each attempt.
    """

    dispatch: str
    calls: list[CallResult]
    duplicate_executions: int

    @property
    def answered(self) -> int:
        """Number of calls that got a response, in time or late."""
        return sum(call.response_time_s is not None for call in self.calls)

    def credit_ratio(self, calls: list[CallResult] | None = None) -> float:
        """Returns credit earned / possible credit, by default of all calls."""
        calls = self.calls if calls is None else calls
        possible = sum(call.kind.full_credit for call in calls)
        return (
            sum(call.credit for call in calls) / possible if possible else 0.0
        )

    def credit_ratio_by(self, attribute: str) -> dict:
        """Returns the credit ratio for each kind or region.

        Args:
            attribute: ``kind`` or ``region``.
        """
        groups: dict = {}
        for call in self.calls:
            groups.setdefault(getattr(call, attribute), []).append(call)
        return {key: self.credit_ratio(calls) for key, calls in groups.items()}

    def latency_percentiles_s(self) -> tuple[float, float]:
        """Returns the median and 99th percentile response time, in seconds.

        Only answered calls count; both are NaN if there are fewer than two.
        """
        times = [
            x.response_time_s
            for x in self.calls
            if x.response_time_s is not None
        ]
        if len(times) < MIN_FOR_QUANTILES:
            return (float("nan"), float("nan"))
        percentiles = quantiles(times, n=100)
        return (percentiles[49], percentiles[98])

    def credit_ratio_over_time(
        self, step_s: float
    ) -> list[tuple[float, float]]:
        """Returns pairs of start time and credit ratio for each time step."""
        steps: dict[int, list[CallResult]] = {}
        for call in self.calls:
            steps.setdefault(int(call.started_at / step_s), []).append(call)
        return [
            (step * step_s, self.credit_ratio(calls))
            for step, calls in sorted(steps.items())
        ]
