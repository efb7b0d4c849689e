"""Latency percentiles, merged from the histograms of all entry hosts."""

from typing import TYPE_CHECKING, NamedTuple

from hdrh.histogram import HdrHistogram

from sardinewheel_cli.rollouts import missing_host_notes
from sardinewheel_cli.tables import Grid, Output

if TYPE_CHECKING:
    from sardinewheel_cli.session import Session

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
US_PER_MS = 1000
LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
COLUMNS = (
    "service",
    "kind",
    "weight",
    "outcome",
    "count",
    *(f"p{percentile:g} ms" for percentile in PERCENTILES),
    "max ms",
)


class LatencyClass(NamedTuple):
    """Latency histogram of one request class on one host.

    Attributes:
        service: Name of the service.
        kind: Name of the kind.
        weight: Weight class.
        outcome: Outcome of the requests.
        encoded: Histogram in the encoding of HdrHistogram.
    """

    service: str
    kind: str
    weight: int
    outcome: str
    encoded: str


class Histograms(NamedTuple):
    """Latency histograms of one host."""

    histograms: tuple[LatencyClass, ...]


def latency(session: "Session", service: str) -> Output:
    """Returns latency percentiles by service, kind, weight and outcome."""
    view = session.view()
    answers, silent = session.fetch_each(view, "/v1/histograms", Histograms)
    rows = [
        (*key, *_statistics(histogram))
        for key, histogram in sorted(merge(answers).items())
        if service in ("", key[0])
    ]
    media = {
        "latency": [dict(zip(COLUMNS, row, strict=True)) for row in rows],
        "silent": silent,
    }
    grid = Grid("latency at the entry hosts", COLUMNS, tuple(rows))
    return Output(media, (grid,), missing_host_notes(view, silent))


def merge(answers: list[Histograms]) -> dict[tuple, HdrHistogram]:
    """Merges the histograms of all hosts into one for each request class."""
    merged: dict[tuple, HdrHistogram] = {}
    for answer in answers:
        for item in answer.histograms:
            key = tuple(item[:-1])
            if key not in merged:
                merged[key] = HdrHistogram(
                    LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
                )
            merged[key].decode_and_add(item.encoded)
    return merged


def _statistics(histogram: HdrHistogram) -> tuple[float, ...]:
    values = [histogram.get_value_at_percentile(p) for p in PERCENTILES]
    values.append(histogram.get_max_value())
    milliseconds = (round(value / US_PER_MS, 3) for value in values)
    return (histogram.get_total_count(), *milliseconds)
