"""Progress of drains on this host, with predicted completion times."""

from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core import drain_signals
from sardinewheel_core.intent import Subject, Target

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

MAX_DURATION_DECAY = 0.98

DrainKey = tuple[Subject, str]


class DrainProgress(NamedTuple):
    """Progress of a drain on this host.

    Attributes:
        subject: What is drained.
        name: Name of what is drained.
        source: :class:`~sardinewheel_core.drain_signals.DrainSource` that
            first reported the drain.
        in_flight: Requests of this host that are still in flight there.
        age_s: Seconds since this host learned of the drain.
        predicted_s: Duration predicted when the drain began, in seconds.
        left_s: Predicted seconds until completion.
        is_done: Whether this host has no more requests in flight there.
        actual_s: Duration in seconds once completed, otherwise 0.
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
        target: Target that executes it; None while it is queued or
            forwarded.
        service: Service of the request.
        since: Instant at which it was dispatched.
        deadline: Instant by which it has ended at the latest.
    """

    target: Target | None
    service: str
    since: float
    deadline: float


class DrainRecord:
    """A drain that involves this host.

    Attributes:
        source: :class:`~sardinewheel_core.drain_signals.DrainSource` that
            first reported the drain.
        started_at: Instant at which this host learned of the drain.
        in_flight: Requests in flight at that instant.
        predicted_s: Duration predicted at that instant, in seconds.
        done_at: Instant at which no request was in flight any more, or None.
    """

    def __init__(
        self, source: str, *, now: float, in_flight: int, predicted_s: float
    ):
        self.source = source
        self.started_at = now
        self.in_flight = in_flight
        self.predicted_s = predicted_s
        self.done_at: float | None = None


class DrainTracker:
    """Drains that involve this host, and estimates of request durations.

    Attributes:
        records: Drains by subject and name.
        max_duration_s: Longest recent execution by service, in seconds;
            decays by ``MAX_DURATION_DECAY`` with each execution.
    """

    def __init__(self):
        self.records: dict[DrainKey, DrainRecord] = {}
        self.max_duration_s: dict[str, float] = {}

    def observe(self, service: str, duration_s: float) -> None:
        """Updates the longest recent duration with an execution."""
        max_duration_s = (
            self.max_duration_s.get(service, 0.0) * MAX_DURATION_DECAY
        )
        self.max_duration_s[service] = max(duration_s, max_duration_s)

    def left_s(self, now: float, request: InFlight) -> float:
        """Returns the predicted seconds until a request has ended."""
        until_deadline_s = max(0.0, request.deadline - now)
        max_duration_s = self.max_duration_s.get(request.service)
        if max_duration_s is None or request.since + max_duration_s <= now:
            return until_deadline_s
        return min(until_deadline_s, request.since + max_duration_s - now)


def on_tick(host: "EntryHost", now: float) -> None:
    """Records drains that began, completed or were cancelled."""
    if not host.configuration.intent.drains and not host.drain_signals.until:
        host.drains.records.clear()
        return
    sources = _drain_sources(host, now)
    records = host.drains.records
    for key in [k for k in records if k not in sources]:
        del records[key]
    for key, source in sources.items():
        requests = list(_requests_covered(host, key))
        if key not in records:
            _begin(host, now, key, source, requests)
        if not requests and records[key].done_at is None:
            _end(host, now, key, records[key])


def progress(host: "EntryHost", now: float) -> list[DrainProgress]:
    """Returns the progress of each drain on this host."""
    return [
        _progress(host, now, key, record)
        for key, record in host.drains.records.items()
    ]


def _begin(
    host: "EntryHost",
    now: float,
    key: DrainKey,
    source: str,
    requests: list[InFlight],
) -> None:
    predicted_s = _left_s(host, now, requests)
    record = DrainRecord(
        source, now=now, in_flight=len(requests), predicted_s=predicted_s
    )
    host.drains.records[key] = record
    host.report(
        now,
        "drain-began",
        subject=str(key[0]),
        name=key[1],
        source=source,
        in_flight=len(requests),
        predicted_s=round(predicted_s, 3),
    )


def _end(
    host: "EntryHost", now: float, key: DrainKey, record: DrainRecord
) -> None:
    record.done_at = now
    host.report(
        now,
        "drain-done",
        subject=str(key[0]),
        name=key[1],
        source=record.source,
        in_flight=record.in_flight,
        predicted_s=round(record.predicted_s, 3),
        actual_s=round(now - record.started_at, 3),
    )


def _progress(
    host: "EntryHost", now: float, key: DrainKey, record: DrainRecord
) -> DrainProgress:
    requests = list(_requests_covered(host, key))
    is_done = record.done_at is not None and not requests
    end = record.done_at if is_done else now
    return DrainProgress(
        subject=key[0],
        name=key[1],
        source=record.source,
        in_flight=len(requests),
        age_s=now - record.started_at,
        predicted_s=record.predicted_s,
        left_s=_left_s(host, now, requests),
        is_done=is_done,
        actual_s=end - record.started_at if is_done else 0.0,
    )


def _drain_sources(host: "EntryHost", now: float) -> dict[DrainKey, str]:
    """Returns the source of each drain that involves this host."""
    intent, own = host.configuration.intent, host.identity.name
    owned = [state.target for state in host.targets.states.values()]
    sources: dict[DrainKey, str] = {}
    for subject, name in intent.drains:
        is_here = subject is Subject.ENTRY_HOST and name == own
        if is_here or any(_is_covered(host, t, (subject, name)) for t in owned):
            sources[subject, name] = drain_signals.DrainSource.INTENT
    for target in owned:
        source = host.drain_signals.source_of(now, target.name)
        if source is not None:
            sources.setdefault((Subject.TARGET, target.name), source)
    return sources


def _requests_covered(host: "EntryHost", key: DrainKey) -> Iterator[InFlight]:
    is_own_host = key == (Subject.ENTRY_HOST, host.identity.name)
    for request in _in_flight(host):
        target = request.target
        if is_own_host or (target and _is_covered(host, target, key)):
            yield request


def _in_flight(host: "EntryHost") -> Iterator[InFlight]:
    for exchange in host.in_progress.values():
        yield InFlight(
            exchange.target.target if exchange.target else None,
            exchange.request.service,
            exchange.dispatched_at,
            exchange.request.deadline,
        )
    for lost in host.lost_attempts:
        state = lost.occupancy.target
        yield InFlight(state.target, state.service, lost.until, lost.until)


def _is_covered(host: "EntryHost", target: Target, key: DrainKey) -> bool:
    subject, name = key
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
