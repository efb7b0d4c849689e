"""Counters and latency histograms, in the usual text format."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from itertools import accumulate
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from prometheus_client import Metric

BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1.0, 1.5, 2.5, 4.0, 8.0)
MAX_SERIES = 400
PREFIX = "sardinewheel_"
OTHER = "other"


class Series(NamedTuple):
    """What a histogram is kept for.

    Attributes:
        service: Service that executed the requests, or "own".
        route: Their route, or why this host answered itself.
        outcome: HTTP status.
    """

    service: str
    route: str
    outcome: str


class Histogram:
    """Latencies of one series, by bucket."""

    def __init__(self):
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def observe(self, seconds: float) -> None:
        """Takes one latency."""
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.sum_s += seconds

    def cumulative(self) -> list[tuple[str, int]]:
        """Returns upper bound, as text, and count of each bucket."""
        bounds = [*(str(bound) for bound in BUCKETS_S), "+Inf"]
        return list(zip(bounds, accumulate(self.counts), strict=True))


class Metrics:
    """Counts what the gateway does.

    Attributes:
        counters: Counts by name.
        latencies: Histograms by series.
    """

    def __init__(self):
        self.counters: Counter[str] = Counter()
        self.latencies: dict[Series, Histogram] = {}

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.counters[name] += 1

    def answered(self, series: Series, took_s: float) -> None:
        """Takes an answered request.

        Args:
            series: What it counts for.
            took_s: Seconds from its head to its answer.
        """
        if series not in self.latencies and len(self.latencies) >= MAX_SERIES:
            series = Series(OTHER, OTHER, series.outcome)
        self.latencies.setdefault(series, Histogram()).observe(took_s)

    def text(self, gauges: dict[str, float], events: dict[str, int]) -> bytes:
        """Returns all series as text.

        Args:
            gauges: Present values, by name.
            events: Log events so far, by name.
        """
        # It takes 10 MB, which a host that nobody observes does without.
        from prometheus_client.exposition import generate_latest

        return generate_latest(Snapshot(self, gauges, events))


class Snapshot(NamedTuple):
    """All series at one moment; a collector for the client library.

    Attributes:
        metrics: Counters and histograms.
        gauges: Present values, by name.
        events: Log events so far, by name.
    """

    metrics: Metrics
    gauges: dict[str, float]
    events: dict[str, int]

    def collect(self) -> Iterator["Metric"]:
        """Yields the families of series."""
        from prometheus_client import core

        for name, value in self.metrics.counters.items():
            yield core.CounterMetricFamily(PREFIX + name, name, value=value)
        for name, value in self.gauges.items():
            yield core.GaugeMetricFamily(PREFIX + name, name, value=value)
        events = core.CounterMetricFamily(
            f"{PREFIX}events", "Log events, omitted ones too", labels=["event"]
        )
        for event, count in self.events.items():
            events.add_metric([event], count)
        yield events
        latencies = core.HistogramMetricFamily(
            f"{PREFIX}request_seconds",
            "Time from a request's head to its answer",
            labels=Series._fields,
        )
        for series, histogram in self.metrics.latencies.items():
            latencies.add_metric(
                series, histogram.cumulative(), histogram.sum_s
            )
        yield latencies
