"""Statistics of one run, and checks that the product kept its promises."""

import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from sardinewheel_testing.calls import (
    AttemptOutcome,
    CallOutcome,
    CallResult,
)

WEIGHTY_MIN = 2


class Percentiles(NamedTuple):
    """Latencies in milliseconds; NaN without samples."""

    p50: float
    p99: float
    p999: float


class KindStatistics(NamedTuple):
    """Statistics of one kind of request.

    Attributes:
        service: Service of the kind.
        kind: Name of the kind.
        weight: Weight units of each request.
        calls: Number of calls.
        outcomes: Number of calls by outcome.
        latency: Latency of the calls done.
    """

    service: str
    kind: str
    weight: int
    calls: int
    outcomes: Counter[str]
    latency: Percentiles


class Verdict(NamedTuple):
    """Violations of each promise; empty where the promise was kept.

    Attributes:
        doubled: Calls that must not be repeated but were executed more than
            once.
        lost: Calls that were never answered, or were reported as done but not
            executed.
        false_not_run: Request ids that were reported as not run but executed.
        foreign_answers: Calls that got the response of another call.
        over_cap: Regions whose peak weight exceeded the cap, and by how much.
        broken_stops: Entry hosts with a non-zero exit status after a planned
            stop.
    """

    doubled: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    false_not_run: tuple[str, ...] = ()
    foreign_answers: tuple[str, ...] = ()
    over_cap: tuple[tuple[str, int], ...] = ()
    broken_stops: tuple[str, ...] = ()

    @property
    def is_kept(self) -> bool:
        """Whether no promise was broken."""
        return not any(self)


def percentiles(latencies_s: Iterable[float]) -> Percentiles:
    """Returns nearest-rank percentiles of latencies in seconds.

    Examples:
        >>> percentiles([0.001, 0.002, 0.003])
        Percentiles(p50=2.0, p99=3.0, p999=3.0)
    """
    ordered = sorted(latencies_s)
    if not ordered:
        return Percentiles(math.nan, math.nan, math.nan)

    def at(share: float) -> float:
        rank = max(1, math.ceil(share * len(ordered)))
        return round(ordered[rank - 1] * 1000, 3)

    return Percentiles(at(0.5), at(0.99), at(0.999))


def by_kind(results: list[CallResult]) -> list[KindStatistics]:
    """Returns the statistics of each kind, ordered by service and kind."""
    groups: dict[tuple, list[CallResult]] = {}
    for result in results:
        workload = result.call.workload
        key = (workload.service, workload.kind, workload.weight)
        groups.setdefault(key, []).append(result)
    return [
        KindStatistics(
            *key,
            len(group),
            Counter(str(r.outcome) for r in group),
            latency_of_done(group),
        )
        for key, group in sorted(groups.items())
    ]


def latency_of_done(results: list[CallResult]) -> Percentiles:
    """Returns the latency percentiles of the calls done."""
    return percentiles(
        r.latency_s for r in results if r.outcome is CallOutcome.DONE
    )


def weighty(results: list[CallResult]) -> list[CallResult]:
    """Returns the calls of weight ``WEIGHTY_MIN`` or more."""
    return [r for r in results if r.call.workload.weight >= WEIGHTY_MIN]


def refusals_by_reason(results: list[CallResult]) -> Counter[str]:
    """Counts attempts that were refused (not run), by reason."""
    return Counter(
        attempt.reason or "none"
        for result in results
        for attempt in result.attempts
        if attempt.outcome is AttemptOutcome.NOT_RUN
    )


def unknowns_by_reason(results: list[CallResult]) -> Counter[str]:
    """Counts calls with an unknown outcome, by reason of the last attempt."""
    return Counter(
        result.attempts[-1].reason or "none"
        for result in results
        if result.outcome is CallOutcome.UNKNOWN
    )


def check_promises(
    results: list[CallResult],
    executions: Counter[str],
    *,
    caps: dict[str, int],
    peak_weight: dict[str, int],
    stops: dict[str, int] | None = None,
) -> Verdict:
    """Returns the violations of each promise in a run.

    Args:
        results: Results of all calls.
        executions: Number of executions by request id, counted by targets.
        caps: Cap by region, in weight units.
        peak_weight: Maximum weight in flight, by region.
        stops: Exit status by name of each entry host that was stopped as
            planned.
    """
    excess = {r: peak_weight.get(r, 0) - cap for r, cap in caps.items()}
    return Verdict(
        doubled=_descriptions(r for r in results if _is_doubled(r, executions)),
        lost=_descriptions(r for r in results if _is_lost(r, executions)),
        false_not_run=tuple(
            attempt.request_id
            for result in results
            for attempt in result.attempts
            if _is_false_not_run(attempt, executions)
        ),
        foreign_answers=_descriptions(
            r for r in results if not r.is_matching_answer
        ),
        over_cap=tuple((r, n) for r, n in excess.items() if n > 0),
        broken_stops=tuple(n for n, code in (stops or {}).items() if code),
    )


def _descriptions(results: Iterable[CallResult]) -> tuple[str, ...]:
    return tuple(
        f"{r.call.workload.kind}#{r.call.index}"
        f"@{r.call.at_s:.2f}s:{r.attempts[-1] if r.attempts else 'no attempt'}"
        for r in results
    )


def _execution_count(result: CallResult, executions: Counter[str]) -> int:
    ids = {attempt.request_id for attempt in result.attempts}
    return sum(executions[request_id] for request_id in ids)


def _is_doubled(result: CallResult, executions: Counter[str]) -> bool:
    return (
        not result.call.workload.repeatable
        and _execution_count(result, executions) > 1
    )


def _is_lost(result: CallResult, executions: Counter[str]) -> bool:
    if result.outcome is CallOutcome.DONE:
        return _execution_count(result, executions) == 0
    return result.outcome is CallOutcome.UNANSWERED


def _is_false_not_run(attempt, executions: Counter[str]) -> bool:
    is_reported_not_run = attempt.outcome in (
        AttemptOutcome.NOT_RUN,
        AttemptOutcome.NOT_SENT,
    )
    return is_reported_not_run and executions[attempt.request_id] > 0
