"""Request metrics: latency histograms, and counters and timers for statsd."""

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
    """Class of requests that share one histogram.

    Attributes:
        service: Name of the service.
        kind: Name of the request kind.
        weight: Weight class: the highest power of two that is at most the
            weight.
        outcome: Outcome of the request.
    """

    service: str
    kind: str
    weight: int
    outcome: str


OVERFLOW_CLASS = RequestClass("other", "", 0, "")


class Metrics:
    """Latencies and counts of answered requests.

    Attributes:
        histograms: Latency in microseconds, by request class; beyond
            ``MAX_CLASSES`` classes, all new ones share ``OVERFLOW_CLASS``.
        reasons: Number of answers other than "done", by reason.
        client: Client that sends counters and timers to statsd, or ``None``.
    """

    def __init__(self, client: StatsClient | None = None):
        self.client = client
        self.histograms: dict[RequestClass, HdrHistogram] = {}
        self.reasons: dict[str, int] = {}

    @classmethod
    def from_address(cls, address: str) -> "Metrics":
        """Returns metrics that also send to statsd unless the address is empty.

        Args:
            address: ``host:port`` of statsd, or empty.
        """
        if not address:
            return cls()
        return cls(StatsClient(*addresses.split(address)))

    def record(
        self, request: Request, answer: Answer, latency_s: float
    ) -> None:
        """Records one answered request.

        Args:
            request: The request.
            answer: Its final answer.
            latency_s: Time from arrival to answer, in seconds.
        """
        key = RequestClass(
            request.service,
            request.kind,
            weight_class(request.weight),
            str(answer.outcome),
        )
        latency_us = min(HIGHEST_US, max(LOWEST_US, int(latency_s * US_PER_S)))
        self._histogram(key).record_value(latency_us)
        reason = answer_reason(answer)
        if answer.outcome is not Outcome.DONE:
            self.reasons[reason] = self.reasons.get(reason, 0) + 1
        if self.client is not None:
            name = f"{_escape(key.service)}.{_escape(key.kind)}.{key.outcome}"
            self.client.incr(f"requests.{name}")
            self.client.timing(f"latency.{name}", latency_s * 1000)

    def report(self) -> list[dict]:
        """Returns the histogram of every class, with count and percentiles."""
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
                key = OVERFLOW_CLASS
            histogram = self.histograms.setdefault(
                key, HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            )
        return histogram


def weight_class(weight: int) -> int:
    """Returns the highest power of two that is at most the weight.

    Examples:
        >>> [weight_class(w) for w in (1, 2, 3, 9)]
        [1, 2, 2, 8]
    """
    return 1 << max(0, weight.bit_length() - 1)


def answer_reason(answer: Answer) -> Reason:
    """Returns the reason of the refusal if there is one, else of the answer."""
    return answer.refusal.reason if answer.refusal else answer.reason


def _escape(name: str) -> str:
    return "".join(c if c.isalnum() or c in "-_" else "_" for c in name)
