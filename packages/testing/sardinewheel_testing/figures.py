"""Figures of one run, and whether the promises held in it."""

import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from sardinewheel_testing.calls import (
    AttemptOutcome,
    CallOutcome,
    CallResult,
)

WEIGHTY = 2


class Percentiles(NamedTuple):
    """Latencies in milliseconds; not a number when there are none."""

    p50: float
    p99: float
    p999: float


class KindFigures(NamedTuple):
    """Figures of one kind of request.

    Attributes:
        service: Service of the kind.
        kind: Name of the kind.
        weight: Weight units of each request.
        calls: Calls made.
        outcomes: Calls by outcome.
        latency: Latency of the calls that were done.
    """

    service: str
    kind: str
    weight: int
    calls: int
    outcomes: Counter[str]
    latency: Percentiles


class Verdict(NamedTuple):
    """Promises that did not hold, with what shows it.

    Attributes:
        doubled: Calls executed more than once though they may not be.
        lost: Calls never answered, or said to be done and never executed.
        false_not_run: Request ids said not to have run, yet executed.
        foreign_answers: Calls that got an answer that is not their own.
        over_cap: Weight over the cap, by region.
        broken_stops: Planned stops that ended in failure.
    """

    doubled: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    false_not_run: tuple[str, ...] = ()
    foreign_answers: tuple[str, ...] = ()
    over_cap: tuple[tuple[str, int], ...] = ()
    broken_stops: tuple[str, ...] = ()

    @property
    def is_kept(self) -> bool:
        """Whether every promise held."""
        return not any(self)


def percentiles(latencies_s: Iterable[float]) -> Percentiles:
    """Returns percentiles of latencies, by the nearest rank.

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


def by_kind(results: list[CallResult]) -> list[KindFigures]:
    """Returns the figures of each kind, ordered by service and kind."""
    groups: dict[tuple, list[CallResult]] = {}
    for result in results:
        rate = result.call.rate
        key = (rate.service, rate.kind, rate.weight)
        groups.setdefault(key, []).append(result)
    return [
        KindFigures(
            *key,
            len(group),
            Counter(str(r.outcome) for r in group),
            latency_of_done(group),
        )
        for key, group in sorted(groups.items())
    ]


def latency_of_done(results: list[CallResult]) -> Percentiles:
    """Returns the latency of the calls that were done."""
    return percentiles(
        r.latency_s for r in results if r.outcome is CallOutcome.DONE
    )


def weighty(results: list[CallResult]) -> list[CallResult]:
    """Returns the calls of weighty kinds."""
    return [r for r in results if r.call.rate.weight >= WEIGHTY]


def refusals_by_reason(results: list[CallResult]) -> Counter[str]:
    """Counts the attempts that were refused, by reason."""
    return Counter(
        attempt.reason or "none"
        for result in results
        for attempt in result.attempts
        if attempt.outcome is AttemptOutcome.NOT_RUN
    )


def unknowns_by_reason(results: list[CallResult]) -> Counter[str]:
    """Counts the calls that ended as unknown, by the last reason told."""
    return Counter(
        result.attempts[-1].reason or "none"
        for result in results
        if result.outcome is CallOutcome.UNKNOWN
    )


def judge(
    results: list[CallResult],
    executions: Counter[str],
    *,
    caps: dict[str, int],
    most: dict[str, int],
    stops: dict[str, int] | None = None,
) -> Verdict:
    """Returns the promises that did not hold in a run.

    Args:
        results: What callers were told.
        executions: Executions by request id, as the targets counted them.
        caps: Cap of each region in weight units.
        most: Most weight that was in flight in each region.
        stops: Exit status of each entry host that was stopped as planned.
    """
    over = {r: most.get(r, 0) - cap for r, cap in caps.items()}
    return Verdict(
        doubled=_names(r for r in results if _is_doubled(r, executions)),
        lost=_names(r for r in results if _is_lost(r, executions)),
        false_not_run=tuple(
            attempt.request_id
            for result in results
            for attempt in result.attempts
            if _is_false_not_run(attempt, executions)
        ),
        foreign_answers=_names(r for r in results if not r.is_own_answer),
        over_cap=tuple((r, n) for r, n in over.items() if n > 0),
        broken_stops=tuple(n for n, code in (stops or {}).items() if code),
    )


def _names(results: Iterable[CallResult]) -> tuple[str, ...]:
    return tuple(
        f"{r.call.rate.kind}#{r.call.index}"
        f"@{r.call.at_s:.2f}s:{r.attempts[-1] if r.attempts else 'no attempt'}"
        for r in results
    )


def _runs(result: CallResult, executions: Counter[str]) -> int:
    ids = {attempt.request_id for attempt in result.attempts}
    return sum(executions[request_id] for request_id in ids)


def _is_doubled(result: CallResult, executions: Counter[str]) -> bool:
    return not result.call.rate.repeatable and _runs(result, executions) > 1


def _is_lost(result: CallResult, executions: Counter[str]) -> bool:
    if result.outcome is CallOutcome.DONE:
        return _runs(result, executions) == 0
    return result.outcome is CallOutcome.UNANSWERED


def _is_false_not_run(attempt, executions: Counter[str]) -> bool:
    said_not_run = attempt.outcome in (
        AttemptOutcome.NOT_RUN,
        AttemptOutcome.NOT_SENT,
    )
    return said_not_run and executions[attempt.request_id] > 0
