"""Configuration versions in force on the entry hosts."""

import time
from typing import TYPE_CHECKING

from sardinewheel_core.codec import to_plain
from sardinewheel_core.views import View

from sardinewheel_cli.errors import NotReachedError
from sardinewheel_cli.tables import Grid, Output

if TYPE_CHECKING:
    from sardinewheel_cli.session import Session

WAIT_TIMEOUT_S = 15.0
WAIT_INTERVAL_S = 0.2
COLUMNS = ("host", "domain", "phase", "version", "age s", "answers")


def rollout(session: "Session") -> Output:
    """Returns the version in force on each host."""
    view = session.view()
    views, silent = session.views(view)
    return _output(view, views, silent)


def wait(session: "Session", version: int) -> Output:
    """Waits until a version is in force on every live host.

    Raises:
        NotReachedError: A live host does not have the version after
            ``WAIT_TIMEOUT_S`` seconds.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while True:
        view = session.view()
        views, silent = session.views(view)
        behind = [v.host for v in views if v.version < version]
        alive = {host.name for host in view.hosts if host.alive}
        behind += sorted(alive.intersection(silent))
        if not behind or time.monotonic() > deadline:
            break
        time.sleep(WAIT_INTERVAL_S)
    count = sum(v.version >= version for v in views)
    notes = [f"version {version} is in force on {count} hosts"]
    if behind:
        missing = ", ".join(behind)
        raise NotReachedError(f"{notes[0]}, not yet on: {missing}")
    output = _output(view, views, silent)
    return output._replace(notes=(*notes, *output.notes))


def missing_host_notes(view: View, silent: tuple[str, ...]) -> tuple[str, ...]:
    """Returns notes about hosts that are missing from an answer."""
    notes = []
    if silent:
        notes.append(f"no answer from: {', '.join(silent)}")
    if view.unseen:
        notes.append(
            f"seats with no live host, according to {view.host}:"
            f" {', '.join(view.unseen)}"
        )
    return tuple(notes)


def _output(view: View, views: list[View], silent: tuple[str, ...]) -> Output:
    own_views = {v.host: v for v in views}
    rows = []
    for host in view.hosts:
        answer = own_views.get(host.name)
        version = answer.version if answer else host.version
        phase = answer.phase if answer else host.phase
        age_s = 0.0 if answer else host.age_s
        rows.append(
            (host.name, host.domain, phase, version, age_s, bool(answer))
        )
    grid = Grid("rollout", COLUMNS, tuple(rows))
    media = {
        "hosts": [dict(zip(COLUMNS, row, strict=True)) for row in rows],
        "silent": silent,
        "unseen": view.unseen,
        "seen_from": to_plain(view.host),
    }
    return Output(media, (grid,), missing_host_notes(view, silent))
