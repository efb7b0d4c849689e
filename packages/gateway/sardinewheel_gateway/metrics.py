"""Counters and latency histograms in the Prometheus text format."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from itertools import accumulate
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from prometheus_client import Metric

BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1.0, 1.5, 2.5, 4.0, 8.0)
MAX_SERIES = 400
MAX_ACCOUNTS = 20
PREFIX = "sardinewheel_"
OTHER = "other"


class Series(NamedTuple):
    """Labels of a latency histogram.

    Attributes:
        service: Service that executed the requests; "own" for responses that
            this host created.
        route: Route of the requests; the reason for responses that this host
            created.
        outcome: HTTP status.
    """

    service: str
    route: str
    outcome: str


class Histogram:
    """Latency histogram of one series."""

    def __init__(self):
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def observe(self, seconds: float) -> None:
        """Records one latency."""
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.sum_s += seconds

    def cumulative(self) -> list[tuple[str, int]]:
        """Returns the upper bound and cumulative count of each bucket."""
        bounds = [*(str(bound) for bound in BUCKETS_S), "+Inf"]
        return list(zip(bounds, accumulate(self.counts), strict=True))


class Metrics:
    """Counters and latency histograms of the gateway.

    Attributes:
        counters: Counters by name.
        latencies: Histograms by series.
        accounts: Admitted and refused requests by limited account; those of
            further accounts under ``OTHER``.
    """

    def __init__(self):
        self.counters: Counter[str] = Counter()
        self.accounts: dict[str, Counter[str]] = {}
        self.latencies: dict[Series, Histogram] = {}

    def count(self, name: str) -> None:
        """Increments a counter."""
        self.counters[name] += 1

    def count_account(self, name: str, *, is_admitted: bool) -> None:
        """Counts a request of a limited account."""
        if name not in self.accounts and len(self.accounts) >= MAX_ACCOUNTS:
            name = OTHER
        counter = self.accounts.setdefault(name, Counter())
        counter["admitted" if is_admitted else "refused"] += 1

    def observe_request(self, series: Series, took_s: float) -> None:
        """Records the latency of a completed request.

        Args:
            series: Series of the request; ``OTHER`` once there are
                ``MAX_SERIES``.
            took_s: Seconds from the request head to the response.
        """
        if series not in self.latencies and len(self.latencies) >= MAX_SERIES:
            series = Series(OTHER, OTHER, series.outcome)
        self.latencies.setdefault(series, Histogram()).observe(took_s)

    def text(
        self,
        gauges: dict[str, float],
        events: dict[str, int],
        known_hosts: dict[str, int],
    ) -> bytes:
        """Returns all metrics in the text format.

        Args:
            gauges: Current values, by name.
            events: Number of log events, by name.
            known_hosts: Number of live hosts that this host knows, by region.
        """
        # Imported on first use: the library takes 10 MB, which a host whose
        # metrics are never scraped does not need.
        from prometheus_client.exposition import generate_latest

        return generate_latest(Snapshot(self, gauges, events, known_hosts))


class Snapshot(NamedTuple):
    """All metrics at one moment; a Prometheus client collector.

    Attributes:
        metrics: Counters and histograms.
        gauges: Current values, by name.
        events: Number of log events, by name.
        known_hosts: Number of live hosts that this host knows, by region.
    """

    metrics: Metrics
    gauges: dict[str, float]
    events: dict[str, int]
    known_hosts: dict[str, int]

    def collect(self) -> Iterator["Metric"]:
        """Yields the metric families."""
        from prometheus_client import core

        for name, value in self.metrics.counters.items():
            yield core.CounterMetricFamily(PREFIX + name, name, value=value)
        for name, value in self.gauges.items():
            yield core.GaugeMetricFamily(PREFIX + name, name, value=value)
        hosts = core.GaugeMetricFamily(
            f"{PREFIX}known_hosts",
            "Live hosts that this host knows, itself included",
            labels=["region"],
        )
        for region, count in self.known_hosts.items():
            hosts.add_metric([region], count)
        yield hosts
        events = core.CounterMetricFamily(
            f"{PREFIX}events", "Log events, omitted ones too", labels=["event"]
        )
        for event, count in self.events.items():
            events.add_metric([event], count)
        yield events
        accounts = core.CounterMetricFamily(
            f"{PREFIX}account_requests",
            "Requests of limited accounts, charged or refused by this host",
            labels=["account", "outcome"],
        )
        for account, counter in self.metrics.accounts.items():
            for outcome, count in counter.items():
                accounts.add_metric([account, outcome], count)
        if self.metrics.accounts:
            yield accounts
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
