"""Histograms by service, kind and weight, and counters for statsd."""

from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from sardinewheel_core.request import Answer, Outcome, Reason, Request
from statsd import StatsClient

from sardinewheel_entry import addresses

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MAX_CLASSES = 500
US_PER_S = 1_000_000


class RequestClass(NamedTuple):
    """What requests are counted by.

    Attributes:
        service: Name of the service.
        kind: Name of the kind.
        weight: Weight class: the highest power of two up to the weight.
        outcome: What became of the request.
    """

    service: str
    kind: str
    weight: int
    outcome: str


OTHER_CLASS = RequestClass("other", "", 0, "")


class Metrics:
    """Counts answered requests; latencies are in microseconds.

    Attributes:
        histograms: Latency by class.
        reasons: Answers other than "done", by reason.
        client: Where counters and timers are sent, if anywhere.
    """

    def __init__(self, client: StatsClient | None = None):
        self.client = client
        self.histograms: dict[RequestClass, HdrHistogram] = {}
        self.reasons: dict[str, int] = {}

    @classmethod
    def from_address(cls, address: str) -> "Metrics":
        """Returns metrics that are also sent to ``host:port``, if given."""
        if not address:
            return cls()
        return cls(StatsClient(*addresses.split(address)))

    def record(self, request: Request, answer: Answer, took_s: float) -> None:
        """Counts one answered request."""
        key = RequestClass(
            request.service,
            request.kind,
            weight_class(request.weight),
            str(answer.outcome),
        )
        took_us = min(HIGHEST_US, max(LOWEST_US, int(took_s * US_PER_S)))
        self._histogram(key).record_value(took_us)
        reason = reason_of(answer)
        if answer.outcome is not Outcome.DONE:
            self.reasons[reason] = self.reasons.get(reason, 0) + 1
        if self.client is not None:
            name = f"{_safe(key.service)}.{_safe(key.kind)}.{key.outcome}"
            self.client.incr(f"requests.{name}")
            self.client.timing(f"latency.{name}", took_s * 1000)

    def report(self) -> list[dict]:
        """Returns every class with its count and percentiles."""
        return [
            {
                **key._asdict(),
                "count": histogram.get_total_count(),
                "max_us": histogram.get_max_value(),
                "encoded": histogram.encode().decode("ascii"),
                "percentiles_us": {
                    str(p): histogram.get_value_at_percentile(p)
                    for p in PERCENTILES
                },
            }
            for key, histogram in sorted(self.histograms.items())
        ]

    def _histogram(self, key: RequestClass) -> HdrHistogram:
        histogram = self.histograms.get(key)
        if histogram is None:
            if len(self.histograms) >= MAX_CLASSES:
                key = OTHER_CLASS
            histogram = self.histograms.setdefault(
                key, HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            )
        return histogram


def weight_class(weight: int) -> int:
    """Returns the highest power of two that is at most a weight.

    Examples:
        >>> [weight_class(w) for w in (1, 2, 3, 9)]
        [1, 2, 2, 8]
    """
    return 1 << max(0, weight.bit_length() - 1)


def reason_of(answer: Answer) -> Reason:
    """Returns why a request was not done."""
    return answer.refusal.reason if answer.refusal else answer.reason


def _safe(name: str) -> str:
    return "".join(c if c.isalnum() or c in "-_" else "_" for c in name)
