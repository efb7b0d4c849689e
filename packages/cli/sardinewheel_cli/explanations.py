"""Decisions of all entry hosts about one thing, in order of time."""

from typing import TYPE_CHECKING

from sardinewheel_core.codec import to_plain
from sardinewheel_core.views import DecisionsView

from sardinewheel_cli.commands import Explain
from sardinewheel_cli.rollouts import unseen_notes
from sardinewheel_cli.tables import Grid, Output

if TYPE_CHECKING:
    from sardinewheel_cli.session import Session

COLUMNS = ("seconds ago", "host", "version", "decision", "figures")


def explain(session: "Session", statement: Explain) -> Output:
    """Returns the decisions about a request, service, region or place."""
    title = f"decisions about {statement.sort} {statement.name}"
    return _decisions(session, title, "/v1/explain", about=statement.name)


def repairs(session: "Session") -> Output:
    """Returns what the hosts repaired."""
    return _decisions(session, "repairs", "/v1/repairs")


def _decisions(
    session: "Session", title: str, path: str, **parameters: str
) -> Output:
    view = session.view()
    answers, silent = session.ask_each(view, path, DecisionsView, **parameters)
    rows = [
        (d.age_s, answer.host, d.version, d.event, _figures(d.fields))
        for answer in answers
        for d in answer.decisions
    ]
    rows.sort(reverse=True)
    grid = Grid(title, COLUMNS, tuple(rows))
    media = {
        "decisions": [
            {"host": answer.host, **to_plain(decision)}
            for answer in answers
            for decision in answer.decisions
        ],
        "silent": silent,
        "unseen": view.unseen,
    }
    return Output(media, (grid,), unseen_notes(view, silent))


def _figures(fields: tuple) -> str:
    return " ".join(f"{name}={value}" for name, value in fields)
