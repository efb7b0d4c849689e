"""Counters and latency histograms, in the usual text format."""

from bisect import bisect_left

BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1.0, 1.5, 2.5, 4.0, 8.0)
MAX_SERIES = 400
PREFIX = "sardinewheel_"


class Histogram:
    """Latencies of one series, by bucket."""

    def __init__(self):
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def observe(self, seconds: float) -> None:
        """Takes one latency."""
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.sum_s += seconds


class Metrics:
    """Counts what the gateway does.

    Attributes:
        counters: Counts by name.
        latencies: Histograms by service, route and outcome.
    """

    def __init__(self):
        self.counters: dict[str, int] = {}
        self.latencies: dict[tuple[str, str, str], Histogram] = {}

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.counters[name] = self.counters.get(name, 0) + 1

    def answered(
        self, service: str, route: str, outcome: str, took_s: float
    ) -> None:
        """Takes an answered request.

        Args:
            service: Service that executed it, or "own".
            route: Its route, or why this host answered itself.
            outcome: HTTP status.
            took_s: Seconds from its head to its answer.
        """
        key = (service, route, outcome)
        if key not in self.latencies and len(self.latencies) >= MAX_SERIES:
            key = ("other", "other", outcome)
        self.latencies.setdefault(key, Histogram()).observe(took_s)

    def text(self, gauges: dict[str, float]) -> str:
        """Returns all series as text.

        Args:
            gauges: Present values, by name.
        """
        lines = [f"{PREFIX}{n}_total {v}" for n, v in self.counters.items()]
        lines += [f"{PREFIX}{n} {v}" for n, v in gauges.items()]
        for key, histogram in self.latencies.items():
            lines += _histogram_lines(key, histogram)
        return "\n".join(lines) + "\n"


def _histogram_lines(
    key: tuple[str, str, str], histogram: Histogram
) -> list[str]:
    service, route, outcome = key
    labels = f'service="{service}",route="{route}",outcome="{outcome}"'
    name = f"{PREFIX}request_seconds"
    lines = []
    total = 0
    for bound, count in zip(
        (*BUCKETS_S, "+Inf"), histogram.counts, strict=True
    ):
        total += count
        lines.append(f'{name}_bucket{{{labels},le="{bound}"}} {total}')
    lines.append(f"{name}_sum{{{labels}}} {histogram.sum_s:.6f}")
    lines.append(f"{name}_count{{{labels}}} {total}")
    return lines
