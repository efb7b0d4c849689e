"""Request counts by source and destination region over recent minutes."""

from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core.effects import Dispatch, Effect, Report

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

BUCKET_S = 10.0
BUCKET_COUNT = 30
DISPATCHED = "dispatched"
NOT_DONE_EVENT = "request-not-done"


class Flow(NamedTuple):
    """Key by which requests are counted.

    Attributes:
        service: Service of the requests.
        kind: Kind of the requests.
        source: Region that the requests belong to, or empty if unknown.
        destination: Region of the target that they were dispatched to, or
            empty if they were not dispatched.
        outcome: ``dispatched``, or the reason why they were not executed.
    """

    service: str
    kind: str
    source: str
    destination: str
    outcome: str


class FlowCount(NamedTuple):
    """Numbers of requests of a flow in two periods that end now.

    Attributes:
        flow: Key of the counted requests.
        recent: Requests in the current and the previous bucket.
        total: Requests in all retained buckets.
    """

    flow: Flow
    recent: int
    total: int


class TrafficView(NamedTuple):
    """Request counts by flow on one host.

    Attributes:
        host: Name of the host.
        recent_s: Seconds covered by the ``recent`` counts.
        total_s: Seconds covered by the ``total`` counts.
        counts: Counts by flow.
    """

    host: str
    recent_s: float
    total_s: float
    counts: tuple[FlowCount, ...]


class TrafficCounter:
    """Counts requests by flow in a ring buffer of time buckets.

    Attributes:
        started_at: Start of the first bucket on the monotonic clock.
        newest: Index of the newest bucket since ``started_at``.
        buckets: Counts of each retained bucket, newest last.
    """

    def __init__(self, *, started_at: float):
        self.started_at = started_at
        self.newest = 0
        self.buckets: deque[Counter[Flow]] = deque(
            [Counter()], maxlen=BUCKET_COUNT
        )

    def observe(self, now: float, host: "EntryHost", effect: Effect) -> None:
        """Counts the request of an effect that dispatches or rejects one."""
        flow = None
        match effect:
            case Dispatch():
                flow = dispatched_flow(host, effect)
            case Report():
                flow = not_done_flow(host, effect)
        if flow is not None:
            self.count(now, flow)

    def count(self, now: float, flow: Flow) -> None:
        """Counts one request of a flow."""
        self._advance(now)
        self.buckets[-1][flow] += 1

    def view(self, now: float, host: str) -> TrafficView:
        """Returns the counts of the retained buckets."""
        self._advance(now)
        recent = sum(list(self.buckets)[-2:], Counter())
        total = sum(self.buckets, Counter())
        counts = (FlowCount(f, recent[f], n) for f, n in sorted(total.items()))
        in_bucket_s = now - self.started_at - self.newest * BUCKET_S
        return TrafficView(
            host,
            recent_s=in_bucket_s + min(1, self.newest) * BUCKET_S,
            total_s=in_bucket_s + (len(self.buckets) - 1) * BUCKET_S,
            counts=tuple(counts),
        )

    def _advance(self, now: float) -> None:
        index = int((now - self.started_at) / BUCKET_S)
        for _ in range(min(BUCKET_COUNT, index - self.newest)):
            self.buckets.append(Counter())
        self.newest = max(self.newest, index)


def dispatched_flow(host: "EntryHost", effect: Dispatch) -> Flow:
    """Returns the flow of a request dispatched to a target."""
    intent = host.configuration.intent
    request = effect.request
    return Flow(
        request.service,
        request.kind,
        host.region_of_block(request.block) or "",
        intent.region_of(effect.target.domain) or "",
        DISPATCHED,
    )


def not_done_flow(host: "EntryHost", effect: Report) -> Flow | None:
    """Returns the flow of a request reported as not done, otherwise None."""
    if effect.event != NOT_DONE_EVENT:
        return None
    fields = dict(effect.fields)
    return Flow(
        str(fields.get("service", "")),
        str(fields.get("kind", "")),
        host.region or "",
        "",
        str(fields.get("reason", "")),
    )
