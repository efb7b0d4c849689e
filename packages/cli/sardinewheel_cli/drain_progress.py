"""Progress of drains, aggregated over all entry hosts."""

import sys
import time
from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core.codec import to_plain
from sardinewheel_core.drains import DrainProgress
from sardinewheel_core.intent import Drain, Subject
from sardinewheel_core.views import DrainsView, View

from sardinewheel_cli.errors import NotReachedError
from sardinewheel_cli.formatter import SUBJECT_KEYWORDS
from sardinewheel_cli.rollouts import missing_host_notes
from sardinewheel_cli.tables import Grid, Output

if TYPE_CHECKING:
    from sardinewheel_cli.session import Session

WAIT_INTERVAL_S = 0.3
WAIT_MARGIN_S = 5.0
REQUIRED_DONE_POLLS = 2
COLUMNS = (
    "type",
    "name",
    "within s",
    "in flight",
    "predicted s",
    "left s",
    "empty",
    "took s",
    "sources",
    "hosts",
)


class PlaceProgress(NamedTuple):
    """Progress of the drain of a target, host, domain or region.

    The class name is part of the JSON output.

    Attributes:
        subject: Type of the drained resource.
        name: Name of the drained resource.
        within_s: Seconds within which the operator expects it to be empty,
            or 0 if no operator ordered the drain.
        in_flight: Requests in flight at the resource.
        predicted_s: Predicted total duration in seconds, from the start.
        left_s: Predicted remaining duration in seconds.
        is_done: Whether the drain is done on every host.
        actual_s: Actual duration in seconds, once done.
        sources: Sources that reported the resource as leaving.
        hosts: Hosts that reported progress of the drain.
    """

    subject: Subject
    name: str
    within_s: float
    in_flight: int
    predicted_s: float
    left_s: float
    is_done: bool
    actual_s: float
    sources: tuple[str, ...]
    hosts: tuple[str, ...]


def drains(session: "Session") -> Output:
    """Returns the progress of all drains."""
    view = session.view()
    answers, silent = session.fetch_each(view, "/v1/drains", DrainsView)
    entries = combine(view, answers)
    rows = tuple(
        (
            SUBJECT_KEYWORDS[entry.subject],
            *entry[1:-2],
            ", ".join(entry.sources),
            ", ".join(entry.hosts),
        )
        for entry in entries
    )
    media = {"drains": [to_plain(entry) for entry in entries], "silent": silent}
    grid = Grid("drains", COLUMNS, rows)
    return Output(media, (grid,), missing_host_notes(view, silent))


def combine(view: View, answers: list[DrainsView]) -> list[PlaceProgress]:
    """Merges the answers of all hosts into one entry for each drain.

    Returns:
        The entries, sorted by type and name. Drains of the intent that no host
        reports are included.
    """
    parts: dict[tuple[Subject, str], list[tuple[str, DrainProgress]]] = {
        key: [] for key in view.intent.drains
    }
    for answer in answers:
        for part in answer.drains:
            key = (part.subject, part.name)
            parts.setdefault(key, []).append((answer.host, part))
    return [
        _combine_parts(view.intent.drains.get(key), *key, parts[key])
        for key in sorted(parts)
    ]


def wait(session: "Session", drain: Drain) -> Output:
    """Waits until a drain is done, printing progress to standard error.

    Raises:
        NotReachedError: The drain is not done ``WAIT_MARGIN_S`` seconds
            after the time that the drain allows.
    """
    deadline = time.monotonic() + drain.within_s + WAIT_MARGIN_S
    done_polls = 0
    last_line = ""
    while True:
        entry = _poll(session, drain)
        done_polls = done_polls + 1 if entry is None or entry.is_done else 0
        if entry is not None and last_line != _describe_progress(entry):
            last_line = _describe_progress(entry)
            print(last_line, file=sys.stderr)
        if done_polls >= REQUIRED_DONE_POLLS:
            return drains(session)
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise NotReachedError(f"drain timed out: {last_line}")
        # The last poll is made at the deadline.
        time.sleep(min(WAIT_INTERVAL_S, left_s))


def _poll(session: "Session", drain: Drain) -> PlaceProgress | None:
    """Returns the progress of one drain, or ``None`` if it is not known."""
    view = session.view()
    answers, _ = session.fetch_each(view, "/v1/drains", DrainsView)
    entries = {e[:2]: e for e in combine(view, answers)}
    return entries.get((drain.subject, drain.name))


def _combine_parts(
    drain: Drain | None,
    subject: Subject,
    name: str,
    parts: list[tuple[str, DrainProgress]],
) -> PlaceProgress:
    progress = [part for _, part in parts]
    return PlaceProgress(
        subject=subject,
        name=name,
        within_s=drain.within_s if drain else 0.0,
        in_flight=sum(p.in_flight for p in progress),
        predicted_s=max((p.predicted_s for p in progress), default=0.0),
        left_s=max((p.left_s for p in progress), default=0.0),
        is_done=all(p.is_done for p in progress),
        actual_s=max((p.actual_s for p in progress), default=0.0),
        sources=tuple(sorted({p.source for p in progress})),
        hosts=tuple(sorted(host for host, _ in parts)),
    )


def _describe_progress(entry: PlaceProgress) -> str:
    label = f"{SUBJECT_KEYWORDS[entry.subject]} {entry.name}"
    if entry.is_done:
        return f"{label}: empty after {entry.actual_s:.1f} s"
    return (
        f"{label}: {entry.in_flight} in flight, predicted to take"
        f" {entry.predicted_s:.1f} s in total"
    )
