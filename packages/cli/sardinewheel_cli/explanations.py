"""Answers ``explain`` queries: changes, usage and decisions of all hosts."""

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core.change import Change
from sardinewheel_core.codec import from_plain, to_plain
from sardinewheel_core.entities import referenced_entities
from sardinewheel_core.views import DecisionsView, DecisionView

from sardinewheel_cli import capacity
from sardinewheel_cli.commands import Explain
from sardinewheel_cli.formatter import format_operation
from sardinewheel_cli.rollouts import missing_host_notes
from sardinewheel_cli.tables import Grid, Output

if TYPE_CHECKING:
    from sardinewheel_cli.session import Session

REQUEST = "request"
REQUEST_FIELD = "request_id"
CORE_RESOURCE_TYPES = {"host": "entry-host"}
DECISION_COLUMNS = ("seconds ago", "host", "version", "decision", "fields")
CHANGE_COLUMNS = ("version", "author", "command")


class DecisionRow(NamedTuple):
    """One row of the decisions table; similar decisions share a row."""

    age_s: float
    host: str
    version: int
    event: str
    fields: str


def explain(session: "Session", statement: Explain) -> Output:
    """Returns the changes, usage and decisions that concern a resource."""
    name, resource_type = statement.name, statement.resource_type
    output = _decisions(
        session,
        f"decisions about {resource_type} {name}",
        "/v1/explain",
        about=name,
    )
    if resource_type == REQUEST:
        return output
    changes = _changes(session, resource_type, name)
    usage = capacity.resource_usage(session, resource_type, name)
    media = {**output.media, "changes": changes.media, **usage.media}
    grids = (*changes.grids, *usage.grids, *output.grids)
    return Output(media, grids, output.notes)


def repairs(session: "Session") -> Output:
    """Returns the repairs made by the hosts."""
    return _decisions(session, "repairs", "/v1/repairs")


def _changes(session: "Session", resource_type: str, name: str) -> Output:
    """Returns the latest changes that touched a resource."""
    chain = from_plain(session.fetch("/v1/versions"), tuple[Change, ...])
    resource = (CORE_RESOURCE_TYPES.get(resource_type, resource_type), name)
    rows = [
        (change.version, change.author, format_operation(o).split("\n")[0])
        for change in chain
        for o in change.operations
        if resource in referenced_entities((o,))
    ]
    grid = Grid(
        f"changes that touch {resource_type} {name}", CHANGE_COLUMNS, rows
    )
    media = [dict(zip(CHANGE_COLUMNS, row, strict=True)) for row in rows]
    return Output(media, (grid,))


def _decisions(
    session: "Session", title: str, path: str, **parameters: str
) -> Output:
    view = session.view()
    answers, silent = session.fetch_each(
        view, path, DecisionsView, **parameters
    )
    rows = _merge_similar(answers)
    grid = Grid(title, DECISION_COLUMNS, tuple(rows))
    media = {
        "decisions": [
            {"host": answer.host, **to_plain(decision)}
            for answer in answers
            for decision in answer.decisions
        ],
        "silent": silent,
        "unseen": view.unseen,
    }
    notes = missing_host_notes(view, silent)
    return Output(media, (grid,), notes)


def _merge_similar(answers: list[DecisionsView]) -> list[DecisionRow]:
    """Returns the decisions, oldest first, with similar ones in one row.

    Decisions are similar if they differ only in the request and in numeric
    fields. The row shows the latest of them.
    """
    counts: Counter[tuple] = Counter()
    latest: dict[tuple, DecisionRow] = {}
    for answer in answers:
        for decision in answer.decisions:
            row = _row(answer.host, decision)
            key = (row.host, row.event, row.version, *_text_fields(decision))
            counts[key] += 1
            if key not in latest or row.age_s < latest[key].age_s:
                latest[key] = row
    rows = [
        row._replace(event=_with_count(row.event, counts[key]))
        for key, row in latest.items()
    ]
    return sorted(rows, reverse=True)


def _row(host: str, decision: DecisionView) -> DecisionRow:
    fields = " ".join(f"{name}={value}" for name, value in decision.fields)
    return DecisionRow(
        decision.age_s, host, decision.version, decision.event, fields
    )


def _text_fields(decision: DecisionView) -> list[tuple]:
    return [
        (name, value)
        for name, value in decision.fields
        if isinstance(value, str) and name != REQUEST_FIELD
    ]


def _with_count(event: str, count: int) -> str:
    return event if count == 1 else f"{event} ({count} similar)"
