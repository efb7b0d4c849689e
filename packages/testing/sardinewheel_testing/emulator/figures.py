"""What callers got in a run."""

from statistics import quantiles
from typing import NamedTuple

from sardinewheel_testing.emulator.scenario import Kind

LATE_SHARE = 0.2
MIN_FOR_QUANTILES = 2


class Call(NamedTuple):
    """A caller's request with all of its attempts.

    Attributes:
        kind: Its kind.
        region: Region of the caller.
        began: When it was first sent, in simulated time.
        took_s: Seconds until its answer; nothing if none came in time.
        refusals: How often it was told to come back.
    """

    kind: Kind
    region: str
    began: float
    took_s: float | None
    refusals: int

    @property
    def is_in_time(self) -> bool:
        """Whether it was answered within its objective."""
        return self.took_s is not None and self.took_s <= self.kind.objective_s

    @property
    def credit(self) -> float:
        """Returns what it earned."""
        if self.took_s is None:
            return 0.0
        share = 1.0 if self.is_in_time else LATE_SHARE
        return share * self.kind.worth


class Figures(NamedTuple):
    """Figures of a run.

    Attributes:
        dispatch: How requests were placed.
        calls: All calls, by their begin.
        doubled: Executions beyond the first of each attempt.
    """

    dispatch: str
    calls: list[Call]
    doubled: int

    def worth(self, calls: list[Call] | None = None) -> float:
        """Returns credit earned / credit owed of calls, or of all."""
        calls = self.calls if calls is None else calls
        owed = sum(call.kind.worth for call in calls)
        return sum(call.credit for call in calls) / owed if owed else 0.0

    def worth_by(self, attribute: str) -> dict:
        """Returns the worth for each kind or region."""
        groups: dict = {}
        for call in self.calls:
            groups.setdefault(getattr(call, attribute), []).append(call)
        return {key: self.worth(calls) for key, calls in groups.items()}

    def latency_s(self) -> tuple[float, float]:
        """Returns the median and the 99th percentile of answered calls."""
        times = [x.took_s for x in self.calls if x.took_s is not None]
        if len(times) < MIN_FOR_QUANTILES:
            return (float("nan"), float("nan"))
        cuts = quantiles(times, n=100)
        return (cuts[49], cuts[98])

    def over_time(self, step_s: float) -> list[tuple[float, float]]:
        """Returns the worth of each step of time."""
        steps: dict[int, list[Call]] = {}
        for call in self.calls:
            steps.setdefault(int(call.began / step_s), []).append(call)
        return [
            (step * step_s, self.worth(calls))
            for step, calls in sorted(steps.items())
        ]
