"""How far drains have come on this host, and when they will be done."""

from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core import leaving
from sardinewheel_core.intent import Subject, Target

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

LONGEST_DECAY = 0.98

Place = tuple[Subject, str]


class DrainProgress(NamedTuple):
    """A drain as far as this host has a part in it.

    Attributes:
        subject: Sort of the place.
        name: Name of the place.
        source: What said first that the place is leaving.
        in_flight: Requests of this host that still run there.
        age_s: Seconds since this host learned of it.
        predicted_s: Seconds that it was expected to take at first.
        left_s: Seconds that it is expected to take from now on.
        is_done: Whether this host's part is done.
        actual_s: Seconds that it took, once done.
    """

    subject: Subject
    name: str
    source: str
    in_flight: int
    age_s: float
    predicted_s: float
    left_s: float
    is_done: bool
    actual_s: float


class InFlight(NamedTuple):
    """A request that may be executing.

    Attributes:
        target: Where it runs; nothing while it waits or is handed on.
        service: Its service.
        since: When it was dispatched.
        deadline: When it has ended at the latest.
    """

    target: Target | None
    service: str
    since: float
    deadline: float


class DrainRecord:
    """A drain that this host has a part in.

    Attributes:
        source: What said first that the place is leaving.
        started_at: When this host learned of it.
        in_flight: Requests in flight there at that time.
        predicted_s: Seconds that it was expected to take at that time.
        done_at: When nothing was in flight any more, or nothing.
    """

    def __init__(
        self, source: str, *, now: float, in_flight: int, predicted_s: float
    ):
        self.source = source
        self.started_at = now
        self.in_flight = in_flight
        self.predicted_s = predicted_s
        self.done_at: float | None = None


class DrainBook:
    """Drains that this host has a part in.

    Attributes:
        records: Drains by place.
        longest_s: Longest duration of late by service; it decays.
    """

    def __init__(self):
        self.records: dict[Place, DrainRecord] = {}
        self.longest_s: dict[str, float] = {}

    def observe(self, service: str, duration_s: float) -> None:
        """Learns from the duration of an execution."""
        longest_s = self.longest_s.get(service, 0.0) * LONGEST_DECAY
        self.longest_s[service] = max(duration_s, longest_s)

    def left_s(self, now: float, request: InFlight) -> float:
        """Returns the seconds that a request is expected to take from now."""
        until_deadline_s = max(0.0, request.deadline - now)
        longest_s = self.longest_s.get(request.service)
        if longest_s is None or request.since + longest_s <= now:
            return until_deadline_s
        return min(until_deadline_s, request.since + longest_s - now)


def on_tick(host: "EntryHost", now: float) -> None:
    """Notes drains that began, are done, or were called off."""
    if not host.configuration.intent.drains and not host.leaving.until:
        host.drains.records.clear()
        return
    places = _places(host, now)
    records = host.drains.records
    for place in [p for p in records if p not in places]:
        del records[place]
    for place, source in places.items():
        requests = list(_requests_in(host, place))
        if place not in records:
            _begin(host, now, place, source, requests)
        if not requests and records[place].done_at is None:
            _end(host, now, place, records[place])


def progress(host: "EntryHost", now: float) -> list[DrainProgress]:
    """Returns how far each drain has come on this host."""
    return [
        _progress(host, now, place, record)
        for place, record in host.drains.records.items()
    ]


def _begin(
    host: "EntryHost",
    now: float,
    place: Place,
    source: str,
    requests: list[InFlight],
) -> None:
    predicted_s = _left_s(host, now, requests)
    record = DrainRecord(
        source, now=now, in_flight=len(requests), predicted_s=predicted_s
    )
    host.drains.records[place] = record
    host.report(
        now,
        "drain-began",
        subject=str(place[0]),
        name=place[1],
        source=source,
        in_flight=len(requests),
        predicted_s=round(predicted_s, 3),
    )


def _end(
    host: "EntryHost", now: float, place: Place, record: DrainRecord
) -> None:
    record.done_at = now
    host.report(
        now,
        "drain-done",
        subject=str(place[0]),
        name=place[1],
        source=record.source,
        in_flight=record.in_flight,
        predicted_s=round(record.predicted_s, 3),
        actual_s=round(now - record.started_at, 3),
    )


def _progress(
    host: "EntryHost", now: float, place: Place, record: DrainRecord
) -> DrainProgress:
    requests = list(_requests_in(host, place))
    is_done = record.done_at is not None and not requests
    end = record.done_at if is_done else now
    return DrainProgress(
        subject=place[0],
        name=place[1],
        source=record.source,
        in_flight=len(requests),
        age_s=now - record.started_at,
        predicted_s=record.predicted_s,
        left_s=_left_s(host, now, requests),
        is_done=is_done,
        actual_s=end - record.started_at if is_done else 0.0,
    )


def _places(host: "EntryHost", now: float) -> dict[Place, str]:
    """Returns the drained places in which this host has a part."""
    intent, own = host.configuration.intent, host.identity.name
    owned = [state.target for state in host.targets.states.values()]
    places: dict[Place, str] = {}
    for subject, name in intent.drains:
        is_here = subject is Subject.ENTRY_HOST and name == own
        if is_here or any(_is_in(host, t, (subject, name)) for t in owned):
            places[subject, name] = leaving.Source.INTENT
    for target in owned:
        source = host.leaving.source_of(now, target.name)
        if source is not None:
            places.setdefault((Subject.TARGET, target.name), source)
    return places


def _requests_in(host: "EntryHost", place: Place) -> Iterator[InFlight]:
    is_own_host = place == (Subject.ENTRY_HOST, host.identity.name)
    for request in _in_flight(host):
        target = request.target
        if is_own_host or (target and _is_in(host, target, place)):
            yield request


def _in_flight(host: "EntryHost") -> Iterator[InFlight]:
    for exchange in host.in_progress.values():
        yield InFlight(
            exchange.target.target if exchange.target else None,
            exchange.request.service,
            exchange.dispatched_at,
            exchange.request.deadline,
        )
    for held in host.lost_attempts:
        state = held.occupancy.target
        yield InFlight(state.target, state.service, held.until, held.until)


def _is_in(host: "EntryHost", target: Target, place: Place) -> bool:
    subject, name = place
    if subject is Subject.TARGET:
        return target.name == name
    if subject is Subject.DOMAIN:
        return target.domain == name
    if subject is Subject.REGION:
        return host.configuration.intent.region_of(target.domain) == name
    return False


def _left_s(host: "EntryHost", now: float, requests: list[InFlight]) -> float:
    left = (host.drains.left_s(now, request) for request in requests)
    return max(left, default=0.0)
