"""Counts where traffic flows, over the last minutes."""

from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core.effects import Dispatch, Effect, Report

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

BUCKET_S = 10.0
BUCKETS = 30
DISPATCHED = "dispatched"
NOT_DONE_EVENT = "request-not-done"


class Flow(NamedTuple):
    """Requests of one sort on one way.

    Attributes:
        service: Service of the requests.
        kind: Their kind.
        source: Region they belong to, or empty when it is not known.
        destination: Region that executed them; empty when none did.
        outcome: ``dispatched``, or the reason why they were not done.
    """

    service: str
    kind: str
    source: str
    destination: str
    outcome: str


class FlowCount(NamedTuple):
    """Requests of a flow within spans that end now.

    Attributes:
        flow: The flow.
        recent: Requests in the current and the last bucket.
        total: Requests in all buckets kept.
    """

    flow: Flow
    recent: int
    total: int


class TrafficView(NamedTuple):
    """Where traffic flows through one host.

    Attributes:
        host: Name of the host.
        recent_s: Seconds that ``recent`` counts cover.
        total_s: Seconds that ``total`` counts cover.
        counts: Counts by flow.
    """

    host: str
    recent_s: float
    total_s: float
    counts: tuple[FlowCount, ...]


class TrafficCounter:
    """Counts flows in a ring of buckets, oldest dropped first.

    Attributes:
        started_at: Instant of the first bucket on the monotonic clock.
        buckets: Counts of each bucket, newest last.
    """

    def __init__(self, *, started_at: float):
        self.started_at = started_at
        self.newest = 0
        self.buckets: deque[Counter[Flow]] = deque([Counter()], maxlen=BUCKETS)

    def observe(self, now: float, host: "EntryHost", effect: Effect) -> None:
        """Counts what an effect does with a request, if anything."""
        flow = None
        match effect:
            case Dispatch():
                flow = dispatched(host, effect)
            case Report():
                flow = not_done(host, effect)
        if flow is not None:
            self.count(now, flow)

    def count(self, now: float, flow: Flow) -> None:
        """Counts one request."""
        self._advance(now)
        self.buckets[-1][flow] += 1

    def view(self, now: float, host: str) -> TrafficView:
        """Returns the counts of the last minutes."""
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
        for _ in range(min(BUCKETS, index - self.newest)):
            self.buckets.append(Counter())
        self.newest = max(self.newest, index)


def dispatched(host: "EntryHost", effect: Dispatch) -> Flow:
    """Returns the flow of a request that goes to a target."""
    intent = host.configuration.intent
    request = effect.request
    return Flow(
        request.service,
        request.kind,
        host.region_of_block(request.block) or "",
        intent.region_of(effect.target.domain) or "",
        DISPATCHED,
    )


def not_done(host: "EntryHost", effect: Report) -> Flow | None:
    """Returns the flow of a request that a host answers as not done."""
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
