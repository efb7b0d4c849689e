"""How far drains have come, over all entry hosts."""

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
    "sort",
    "name",
    "within s",
    "in flight",
    "expected s",
    "left s",
    "empty",
    "took s",
    "said by",
    "hosts",
)


class PlaceProgress(NamedTuple):
    """A drain over all hosts that have a part in it.

    Attributes:
        subject: Sort of the place.
        name: Name of the place.
        within_s: Seconds within which the operator expects it to be empty,
            or 0 when no operator ordered it.
        in_flight: Requests that still run there.
        predicted_s: Seconds that it was expected to take at first.
        left_s: Seconds that it is expected to take from now on.
        is_done: Whether every host's part is done.
        actual_s: Seconds that it took, once done.
        sources: What said that the place is leaving.
        hosts: Hosts that have a part in it.
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
    """Returns every drain with its progress."""
    view = session.view()
    answers, silent = session.fetch_each(view, "/v1/drains", DrainsView)
    places = combine(view, answers)
    rows = tuple(
        (
            SUBJECT_KEYWORDS[place.subject],
            *place[1:-2],
            ", ".join(place.sources),
            ", ".join(place.hosts),
        )
        for place in places
    )
    media = {"drains": [to_plain(place) for place in places], "silent": silent}
    grid = Grid("drains", COLUMNS, rows)
    return Output(media, (grid,), missing_host_notes(view, silent))


def combine(view: View, answers: list[DrainsView]) -> list[PlaceProgress]:
    """Returns the progress of each place, ordered; ordered drains included."""
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
    """Waits until a place is empty, and prints the progress meanwhile.

    Raises:
        NotReachedError: It is not empty in the time that was given.
    """
    key = (drain.subject, drain.name)
    deadline = time.monotonic() + drain.within_s + WAIT_MARGIN_S
    quiet = 0
    said = ""
    while quiet < REQUIRED_DONE_POLLS:
        view = session.view()
        answers, _ = session.fetch_each(view, "/v1/drains", DrainsView)
        places = {p[:2]: p for p in combine(view, answers)}
        place = places.get(key)
        quiet = quiet + 1 if place is None or place.is_done else 0
        if place is not None and said != _describe_progress(place):
            said = _describe_progress(place)
            print(said, file=sys.stderr)
        if time.monotonic() > deadline:
            raise NotReachedError(f"not empty in time: {said}")
        time.sleep(WAIT_INTERVAL_S)
    return drains(session)


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


def _describe_progress(place: PlaceProgress) -> str:
    what = f"{SUBJECT_KEYWORDS[place.subject]} {place.name}"
    if place.is_done:
        return f"{what}: empty after {place.actual_s:.1f} s"
    return (
        f"{what}: {place.in_flight} in flight, expected {place.predicted_s:.1f}"
        " s in all"
    )
