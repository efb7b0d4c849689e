"""Compares the runs of one experiment."""

import math
from collections import Counter
from typing import NamedTuple

from sardinewheel_testing.calls import CallOutcome, CallResult
from sardinewheel_testing.experiment_run import ExperimentRun, Measurement
from sardinewheel_testing.report import counts_line, table, verdict_lines
from sardinewheel_testing.run_statistics import (
    KindStatistics,
    Percentiles,
    Verdict,
    by_kind,
    check_promises,
    latency_of_done,
    refusals_by_reason,
    unknowns_by_reason,
    weighty,
)
from sardinewheel_testing.running_deployment import LoadPlan, TargetCounts
from sardinewheel_testing.steering import CLIENT_DELAY_S


class Series(NamedTuple):
    """A time series: pairs of seconds since the start of the load and value."""

    name: str
    points: list[tuple[float, float]]


class RunStatistics(NamedTuple):
    """Results of one run.

    Attributes:
        steering: Name of the callers' steering strategy.
        kinds: Statistics by service and kind.
        weighty: Latency of calls of weight ``WEIGHTY_MIN`` or more.
        goodput: Weight units of calls done, per second of load.
        weighty_goodput: Goodput of the calls that ``weighty`` covers.
        work_done: Weight times service time of calls done, per second of
            load: the mean weight in flight for calls that were done.
        headroom: Minimum headroom by region, in weight units.
        verdict: Violations of each promise.
        refusals: Number of refused attempts by reason.
        unknowns: Number of calls with an unknown outcome by reason.
        floor_ms: Lower bound of the median latency by kind.
        noted: Values measured by the experiment's events.
        failures: Expectations of the events that were not met.
        headroom_over_time: Minimum headroom per time step, for each region.
        latency_over_time: p99 latency of calls done by second of load, in
            milliseconds.
    """

    steering: str
    kinds: list[KindStatistics]
    weighty: Percentiles
    goodput: float
    weighty_goodput: float
    work_done: float
    headroom: dict[str, int]
    verdict: Verdict
    refusals: Counter[str]
    unknowns: Counter[str]
    floor_ms: dict[str, float]
    noted: list[Measurement]
    failures: list[str]
    headroom_over_time: list[Series]
    latency_over_time: Series

    def to_plain(self) -> dict:
        """Returns JSON-compatible values."""
        plain = self._asdict()
        plain["kinds"] = [
            {**kind._asdict(), "latency": kind.latency._asdict()}
            for kind in self.kinds
        ]
        plain["weighty"] = self.weighty._asdict()
        plain["verdict"] = self.verdict._asdict()
        return plain

    def outcomes(self, outcome: CallOutcome) -> int:
        """Returns the number of calls with an outcome."""
        return sum(kind.outcomes[outcome] for kind in self.kinds)


def compute_statistics(
    experiment_run: ExperimentRun,
    plan: LoadPlan,
    results: list[CallResult],
    target_counts: TargetCounts,
    stops: dict[str, int],
) -> RunStatistics:
    """Computes the results of a run."""
    caps = {
        r.name: r.cap for r in experiment_run.deployment.intent.regions.values()
    }
    done = [r for r in results if r.outcome is CallOutcome.DONE]
    times = experiment_run.deployment.stand_ins["service_time_s"]
    return RunStatistics(
        steering=experiment_run.steering,
        kinds=by_kind(results),
        weighty=latency_of_done(weighty(results)),
        goodput=_weight(done) / plan.seconds,
        weighty_goodput=_weight(weighty(done)) / plan.seconds,
        work_done=_work_s(done, times) / plan.seconds,
        headroom={
            r: cap - target_counts.peak_weight[r] for r, cap in caps.items()
        },
        verdict=check_promises(
            results,
            target_counts.executions,
            caps=caps,
            peak_weight=target_counts.peak_weight,
            stops=stops,
        ),
        refusals=refusals_by_reason(results),
        unknowns=unknowns_by_reason(results),
        floor_ms={
            kind: (seconds + 2 * CLIENT_DELAY_S) * 1000
            for kinds in times.values()
            for kind, seconds in kinds.items()
        },
        noted=experiment_run.measurements,
        failures=experiment_run.failures,
        headroom_over_time=_headroom_series(
            experiment_run, caps, target_counts
        ),
        latency_over_time=_latency_series(done),
    )


def _weight(done: list[CallResult]) -> int:
    return sum(result.call.workload.weight for result in done)


def _work_s(done: list[CallResult], times: dict) -> float:
    workloads = [result.call.workload for result in done]
    return sum(w.weight * times[w.service][w.kind] for w in workloads)


def _headroom_series(
    experiment_run: ExperimentRun,
    caps: dict[str, int],
    target_counts: TargetCounts,
) -> list[Series]:
    series = []
    for region, cap in caps.items():
        points = [
            (
                step * target_counts.step_s - experiment_run.load_started_at,
                float(cap - weight),
            )
            for step, weight in sorted(
                target_counts.peak_weight_by_step[region].items()
            )
        ]
        series.append(Series(region, points))
    return series


def _latency_series(done: list[CallResult]) -> Series:
    by_second: dict[int, list[CallResult]] = {}
    for result in done:
        by_second.setdefault(int(result.call.at_s), []).append(result)
    points = [
        (float(second), latency_of_done(group).p99)
        for second, group in sorted(by_second.items())
    ]
    return Series("p99 ms", points)


def format_report(runs: list[RunStatistics]) -> str:
    """Formats tables and ratios of the product to the best baseline."""
    product, *baselines = runs
    parts = [_summary(runs), _kinds(runs), _ratios(product, baselines)]
    for run in runs:
        refused, unknown = counts_line(run.refusals), counts_line(run.unknowns)
        parts.append(f"{run.steering}: refused {refused}; unknown {unknown}")
    parts += [f"{n.name} {n.value}" for n in product.noted]
    parts += [f"NOT MET: {failure}" for failure in product.failures]
    parts.append(verdict_lines(product.verdict))
    return "\n".join(parts)


def _summary(runs: list[RunStatistics]) -> str:
    rows: list[tuple] = [
        (
            "steering",
            "p50",
            "p99",
            "p99.9 weighty ms",
            "goodput weight/s",
            "weighty",
            "work done",
            "refused",
            "unknown",
            "least headroom",
            "over cap",
            "doubled",
            "lost",
            "false not run",
        )
    ]
    for run in runs:
        rows.append(
            (
                run.steering,
                *(f"{value:.0f}" for value in run.weighty),
                f"{run.goodput:.0f}",
                f"{run.weighty_goodput:.0f}",
                f"{run.work_done:.0f}",
                run.outcomes(CallOutcome.REFUSED),
                run.outcomes(CallOutcome.UNKNOWN),
                "/".join(str(h) for h in run.headroom.values()),
                len(run.verdict.over_cap),
                len(run.verdict.doubled),
                len(run.verdict.lost),
                len(run.verdict.false_not_run),
            )
        )
    return table(rows)


def _kinds(runs: list[RunStatistics]) -> str:
    heading = ["kind (weight): done of calls, p50/p99/p99.9 ms"]
    rows: list[tuple] = [(*heading, *(run.steering for run in runs), "floor")]
    for position, kind in enumerate(runs[0].kinds):
        cells = [_kind_cell(run.kinds[position]) for run in runs]
        name = f"{kind.service}/{kind.kind} ({kind.weight})"
        floor = f"{runs[0].floor_ms[kind.kind]:.0f}"
        rows.append((name, *cells, floor))
    return table(rows)


def _kind_cell(kind: KindStatistics) -> str:
    latency = "/".join(f"{value:.0f}" for value in kind.latency)
    return f"{kind.outcomes[CallOutcome.DONE]} of {kind.calls}, {latency}"


def _ratios(product: RunStatistics, baselines: list[RunStatistics]) -> str:
    p99 = _best(min, [b.weighty.p99 for b in baselines])
    goodput = _best(max, [b.goodput for b in baselines])
    headroom = _best(max, [min(b.headroom.values()) for b in baselines])
    return (
        "to the best baseline: "
        f"weighty p99 x {product.weighty.p99 / p99:.2f}, "
        f"goodput x {product.goodput / goodput:.2f}, "
        f"least headroom {min(product.headroom.values())} against {headroom}"
    )


def _best(choose, values: list[float]) -> float:
    numbers = [value for value in values if not math.isnan(value)]
    return choose(numbers) if numbers else math.nan
