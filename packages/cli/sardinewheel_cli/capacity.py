"""Headroom of regions, services and targets, aggregated over entry hosts."""

from typing import TYPE_CHECKING

from sardinewheel_core.codec import to_plain
from sardinewheel_core.intent import Intent, Service, Subject
from sardinewheel_core.views import HeadroomView, View

from sardinewheel_cli.rollouts import missing_host_notes
from sardinewheel_cli.tables import Grid, Output

if TYPE_CHECKING:
    from sardinewheel_cli.session import Session

REGION_COLUMNS = ("region", "cap", "usable", "in flight", "free", "hosts")
HOST_COLUMNS = ("host", "region", "share", "usable", "in flight", "version")
SERVICE_COLUMNS = ("service", "region", "slots", "free", "in flight", "waiting")
TARGET_COLUMNS = (
    "target",
    "domain",
    "slots",
    "usable",
    "in flight",
    "drained",
    "dispatched to by",
)


def headroom(session: "Session", *, region: str = "") -> Output:
    """Returns the headroom of all regions, or of one region."""
    view = session.view()
    answers, silent = session.fetch_each(view, "/v1/headroom", HeadroomView)
    if region:
        answers = [a for a in answers if a.region == region]
    grids = (
        _regions(view.intent, answers, region),
        _services(answers),
        _hosts(answers),
    )
    media = {
        "headroom": to_plain(answers),
        "silent": silent,
        "unseen": view.unseen,
    }
    return Output(media, grids, missing_host_notes(view, silent))


def resource_usage(session: "Session", resource_type: str, name: str) -> Output:
    """Returns the current usage of a service, region, host or target."""
    view = session.view()
    answers, _ = session.fetch_each(view, "/v1/headroom", HeadroomView)
    match resource_type:
        case "service":
            loads = [load for load in _load_rows(answers) if load[0] == name]
            grid = Grid("headroom in requests", SERVICE_COLUMNS, tuple(loads))
        case "region":
            grid = _regions(view.intent, answers, name)
        case "host":
            grid = _hosts([a for a in answers if a.host == name])
        case _:
            grid = _targets(view.intent, answers, name)
    rows = [dict(zip(grid.columns, row, strict=True)) for row in grid.rows]
    return Output({"figures": rows}, (grid,))


def targets(session: "Session", view: View, service: Service) -> Output:
    """Returns the targets of a service with their usage."""
    answers, silent = session.fetch_each(view, "/v1/headroom", HeadroomView)
    grid = _targets(view.intent, answers, *service.targets)
    media = {
        "targets": [
            dict(zip(TARGET_COLUMNS, row, strict=True)) for row in grid.rows
        ]
    }
    return Output(media, (grid,), missing_host_notes(view, silent))


def _targets(intent: Intent, answers: list[HeadroomView], *names: str) -> Grid:
    uses = {use.name: (a.host, use) for a in answers for use in a.targets}
    rows = []
    for name in names:
        target = intent.target(name)
        if target is None:
            continue
        host, use = uses.get(name, ("no host seen", None))
        rows.append(
            (
                name,
                target.domain,
                target.slots,
                use.limit if use else 0,
                use.in_flight if use else 0,
                intent.is_drained(Subject.TARGET, name),
                host,
            )
        )
    return Grid("targets", TARGET_COLUMNS, tuple(rows))


def _regions(intent: Intent, answers: list[HeadroomView], only: str) -> Grid:
    rows = []
    for region in intent.regions.values():
        if only and region.name != only:
            continue
        own = [a for a in answers if a.region == region.name]
        usable = sum(a.limit for a in own)
        in_flight = sum(a.in_flight for a in own)
        rows.append(
            (
                region.name,
                region.cap,
                usable,
                in_flight,
                usable - in_flight,
                len(own),
            )
        )
    return Grid("headroom in weight units", REGION_COLUMNS, tuple(rows))


def _services(answers: list[HeadroomView]) -> Grid:
    return Grid("headroom in requests", SERVICE_COLUMNS, _load_rows(answers))


def _load_rows(answers: list[HeadroomView]) -> tuple[tuple, ...]:
    """Returns rows of slots and requests by service and region."""
    sums: dict[tuple[str, str], list[int]] = {}
    for answer in answers:
        for load in answer.services:
            total = sums.setdefault((load.service, answer.region), [0] * 4)
            values = (load.slots, load.free, load.in_flight, load.waiting)
            for index, value in enumerate(values):
                total[index] += value
    return tuple((*key, *total) for key, total in sorted(sums.items()))


def _hosts(answers: list[HeadroomView]) -> Grid:
    rows = tuple(
        (a.host, a.region, a.share, a.limit, a.in_flight, a.version)
        for a in sorted(answers)
    )
    return Grid("shares of the hosts in weight units", HOST_COLUMNS, rows)
