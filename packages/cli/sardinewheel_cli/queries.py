"""Answers ``show`` queries."""

import urllib.parse
from collections.abc import Callable
from typing import TYPE_CHECKING

from sardinewheel_core.change import Change
from sardinewheel_core.codec import from_plain, to_plain
from sardinewheel_core.intent import Intent, Subject
from sardinewheel_core.operator_messages import ChangeReply
from sardinewheel_core.views import View

from sardinewheel_cli import (
    capacity,
    drain_progress,
    explanations,
    flows,
    latencies,
    rollouts,
)
from sardinewheel_cli.client import CHANGE_TIMEOUT_S
from sardinewheel_cli.commands import Show
from sardinewheel_cli.errors import AnswerRefusedError
from sardinewheel_cli.formatter import format_intent, format_operation
from sardinewheel_cli.tables import Grid, Output

if TYPE_CHECKING:
    from sardinewheel_cli.session import Session


def show(session: "Session", statement: Show) -> Output:
    """Runs a ``show`` query."""
    match statement.view:
        case "rollout" | "hosts":
            return rollouts.rollout(session)
        case "versions":
            return _versions(session)
        case "drains":
            return drain_progress.drains(session)
        case "headroom":
            return capacity.headroom(session)
        case "traffic":
            return flows.traffic(session, statement.by)
        case "latency":
            return latencies.latency(session, statement.name)
        case "repairs":
            return explanations.repairs(session)
        case "change":
            return _change(session, statement.name)
    view = session.view()
    output = _show_intent(session, view, statement)
    note = f"version {view.version}, as in force on {view.host} ({view.phase})"
    return output._replace(notes=(*output.notes, note))


def _show_intent(session: "Session", view: View, statement: Show) -> Output:
    intent = view.intent
    if statement.view == "service":
        return _service(session, view, statement.name)
    if statement.view == "region":
        return _region(session, view, statement.name)
    if statement.view == "intent":
        return _commands(intent)
    grid = INTENT_GRIDS[statement.view](intent)
    return _grid_output(grid)


def _grid_output(grid: Grid) -> Output:
    rows = [dict(zip(grid.columns, row, strict=True)) for row in grid.rows]
    return Output({grid.title: rows}, (grid,))


def _commands(intent: Intent) -> Output:
    commands = format_intent(intent)
    media = {"intent": to_plain(intent), "commands": commands}
    return Output(media, notes=tuple(commands))


def _services(intent: Intent) -> Grid:
    rows = []
    for service in intent.services.values():
        slots = sum(target.slots for target in service.targets.values())
        kinds = ", ".join(service.kinds)
        rows.append((service.name, kinds, len(service.targets), slots))
    return Grid("services", ("service", "kinds", "targets", "slots"), rows)


def _regions(intent: Intent) -> Grid:
    rows = [
        (
            region.name,
            region.cap,
            ", ".join(region.domains),
            len(intent.seats_of_region(region.name)),
            intent.is_drained(Subject.REGION, region.name),
        )
        for region in intent.regions.values()
    ]
    columns = ("region", "cap", "domains", "seats", "drained")
    return Grid("regions", columns, tuple(rows))


def _caps(intent: Intent) -> Grid:
    rows = tuple((r.name, r.cap) for r in intent.regions.values())
    return Grid("caps", ("region", "cap"), rows)


def _domains(intent: Intent) -> Grid:
    rows = []
    for region in intent.regions.values():
        for domain in region.domains:
            seats = [s for s in intent.seats.values() if s.domain == domain]
            targets = list(intent.targets_of_domain(domain))
            drained = intent.is_drained(Subject.DOMAIN, domain)
            rows.append(
                (domain, region.name, len(seats), len(targets), drained)
            )
    columns = ("domain", "region", "seats", "targets", "drained")
    return Grid("domains", columns, tuple(rows))


def _seats(intent: Intent) -> Grid:
    rows = [
        (
            seat.name,
            seat.domain,
            intent.region_of(seat.domain) or "",
            intent.is_drained(Subject.ENTRY_HOST, seat.name),
        )
        for seat in intent.seats.values()
    ]
    return Grid("seats", ("seat", "domain", "region", "drained"), tuple(rows))


def _shifts(intent: Intent) -> Grid:
    rows = [
        (
            s.name,
            s.service,
            s.source,
            s.destination,
            f"{s.share:.1%}",
            s.cap,
            s.interval_s,
            s.pace_s,
            s.aborted,
        )
        for s in intent.shifts.values()
    ]
    columns = (
        "shift",
        "service",
        "from",
        "to",
        "share",
        "cap",
        "per s",
        "over s",
        "aborted",
    )
    return Grid("shifts", columns, tuple(rows))


def _blocks(intent: Intent) -> Grid:
    rows = tuple(tuple(block) for block in intent.blocks.values())
    return Grid("blocks", ("block", "region"), rows)


INTENT_GRIDS: dict[str, Callable[[Intent], Grid]] = {
    "services": _services,
    "regions": _regions,
    "caps": _caps,
    "domains": _domains,
    "seats": _seats,
    "shifts": _shifts,
    "blocks": _blocks,
}


def _service(session: "Session", view: View, name: str) -> Output:
    service = view.intent.services.get(name)
    if service is None:
        raise AnswerRefusedError(_not_found("service", name, view))
    kinds = tuple(
        (k.name, k.priority, k.weight, f"{k.reserved:.0%}", not k.repeatable)
        for k in service.kinds.values()
    )
    columns = ("kind", "priority", "weight", "reserved", "at most once")
    targets = capacity.targets(session, view, service)
    grids = (Grid(f"kinds of {name}", columns, kinds), *targets.grids)
    media = {"service": to_plain(service), **targets.media}
    return Output(media, grids, targets.notes)


def _region(session: "Session", view: View, name: str) -> Output:
    region = view.intent.regions.get(name)
    if region is None:
        raise AnswerRefusedError(_not_found("region", name, view))
    output = capacity.headroom(session, region=name)
    media = {"region": to_plain(region), **output.media}
    return output._replace(media=media)


def _not_found(resource_type: str, name: str, view: View) -> str:
    return (
        f"no {resource_type} {name!r} in version {view.version} on {view.host}"
    )


def _versions(session: "Session") -> Output:
    view = session.view()
    views, silent = session.views(view)
    chain = from_plain(session.fetch("/v1/versions"), tuple[Change, ...])
    rows = []
    for change in chain:
        applied = sum(v.version >= change.version for v in views)
        operations = "; ".join(
            format_operation(o).split("\n")[0] for o in change.operations
        )
        where = f"{applied} of {len(views)} hosts"
        rows.append((change.version, change.author, where, operations))
    columns = ("version", "author", "in force on", "commands")
    grid = Grid("versions", columns, tuple(rows))
    media = {"versions": to_plain(chain), "silent": silent}
    return Output(media, (grid,), rollouts.missing_host_notes(view, silent))


def _change(session: "Session", change_id: str) -> Output:
    path = f"/v1/changes/{urllib.parse.quote(change_id, safe='')}"
    reply = session.client.get(path, timeout_s=CHANGE_TIMEOUT_S)
    answer = from_plain(reply.media, ChangeReply)
    text = f"change {change_id}: {answer.state}"
    if answer.version:
        text += f" as version {answer.version}"
    return Output({"change": to_plain(answer)}, notes=(text,))
