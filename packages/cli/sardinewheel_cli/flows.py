"""Request counts by traffic flow, summed over entry hosts."""

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core.traffic import TrafficView

from sardinewheel_cli.rollouts import missing_host_notes
from sardinewheel_cli.tables import Grid, Output

if TYPE_CHECKING:
    from sardinewheel_cli.session import Session

AXES = {
    "": ("service", "kind", "source", "destination", "outcome"),
    "service": ("service", "outcome"),
    "kind": ("service", "kind", "outcome"),
    "region": ("source", "destination", "outcome"),
}
HEADINGS = {"source": "from", "destination": "to"}


class FlowSum(NamedTuple):
    """Request counts of one row.

    Attributes:
        key: Values of the columns by which requests are grouped.
        recent: Requests in the recent period, ``TrafficView.recent_s``.
        total: Requests in the whole retained period, ``TrafficView.total_s``.
    """

    key: tuple[str, ...]
    recent: int
    total: int


def traffic(session: "Session", by: str) -> Output:
    """Returns request counts by flow, for the recent and the whole period."""
    view = session.view()
    answers, silent = session.fetch_each(view, "/v1/traffic", TrafficView)
    axes = AXES[by]
    sums = _sum_flows(answers, axes)
    recent_s = max((a.recent_s for a in answers), default=0.0)
    total_s = max((a.total_s for a in answers), default=0.0)
    columns = (
        *(HEADINGS.get(axis, axis) for axis in axes),
        f"last {recent_s:.0f} s",
        f"last {total_s:.0f} s",
    )
    rows = tuple((*row.key, row.recent, row.total) for row in sums)
    names = (*axes, "recent", "total")
    media = {
        "recent_s": recent_s,
        "total_s": total_s,
        "flows": [dict(zip(names, row, strict=True)) for row in rows],
        "silent": silent,
    }
    grid = Grid("requests", columns, rows)
    return Output(media, (grid,), missing_host_notes(view, silent))


def _sum_flows(
    answers: list[TrafficView], axes: tuple[str, ...]
) -> list[FlowSum]:
    recent: Counter[tuple] = Counter()
    total: Counter[tuple] = Counter()
    for answer in answers:
        for count in answer.counts:
            key = tuple(getattr(count.flow, axis) for axis in axes)
            recent[key] += count.recent
            total[key] += count.total
    return [FlowSum(key, recent[key], total[key]) for key in sorted(total)]
