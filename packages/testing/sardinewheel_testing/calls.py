"""Load schedules, calls and their results."""

import random
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple


class Workload(NamedTuple):
    """The requests of one kind from the callers of one region.

    Attributes:
        service: Service that the requests are sent to.
        kind: Kind of the requests.
        weight: Weight units of each request.
        repeatable: Whether a request may be executed more than once.
        per_s: Mean number of requests per second.
        deadline_s: Seconds after which the caller gives up.
    """

    service: str
    kind: str
    weight: int
    repeatable: bool
    per_s: float
    deadline_s: float


class Surge(NamedTuple):
    """An interval of increased load.

    Attributes:
        from_s: Start, in seconds from the start of the load.
        to_s: End, in seconds from the start of the load.
        factor: Factor that all request rates are multiplied by.
    """

    from_s: float
    to_s: float
    factor: float


class Call(NamedTuple):
    """A logical request of a caller, made in one or more attempts.

    Attributes:
        index: Number of the call, unique within its caller process.
        at_s: Scheduled time, in seconds from the start of the load.
        workload: Workload that the call belongs to.
    """

    index: int
    at_s: float
    workload: Workload


class CallOutcome(StrEnum):
    """Final outcome of a call, as seen by the caller.

    ``DONE``: an attempt was executed and answered.
    ``REFUSED``: attempts were refused until the deadline.
    ``UNKNOWN``: an attempt may have been executed.
    ``UNANSWERED``: the caller received no outcome.
    """

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    UNANSWERED = "unanswered"


class AttemptOutcome(StrEnum):
    """Outcome of an attempt, as seen by the caller.

    ``DONE``: the request was executed and answered.
    ``NOT_RUN``: the request was refused and not executed.
    ``UNKNOWN``: a response arrived that leaves open whether the request was
    executed.
    ``LOST``: no outcome was received; the request may have been executed.
    ``NOT_SENT``: no connection could be made.
    """

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    LOST = "lost"
    NOT_SENT = "not-sent"


class AttemptMade(NamedTuple):
    """An attempt of a call, with its own request id.

    Attributes:
        request_id: The request id.
        outcome: Outcome of the attempt.
        reason: Reason for the outcome, if given.
        ended_s: Seconds from the scheduled time of the call to the end of the
            attempt.
        retry_after_s: Delay before a retry that the response requested, in
            seconds.
    """

    request_id: str
    outcome: AttemptOutcome
    reason: str = ""
    ended_s: float = 0.0
    retry_after_s: float = 0.0


class CallResult(NamedTuple):
    """The result of a call.

    Attributes:
        call: The call.
        outcome: Final outcome.
        latency_s: Seconds from the scheduled time to the final outcome.
        attempts: Attempts in order.
        is_matching_answer: Whether the response of a done call has the body
            expected for this call.
    """

    call: Call
    outcome: CallOutcome
    latency_s: float
    attempts: tuple[AttemptMade, ...]
    is_matching_answer: bool = True


def schedule(
    workloads: list[Workload], surges: list[Surge], *, seconds: float, seed: int
) -> list[Call]:
    """Returns calls with Poisson arrivals, ordered by time."""
    arrivals = []
    for position, workload in enumerate(workloads):
        rng = random.Random(f"{seed}/{position}")
        arrivals += [
            (at, workload)
            for at in _arrival_times(workload, surges, seconds, rng)
        ]
    arrivals.sort()
    return [Call(i, at, workload) for i, (at, workload) in enumerate(arrivals)]


def _arrival_times(
    workload: Workload, surges: list[Surge], seconds: float, rng: random.Random
) -> Iterator[float]:
    # Thinning: draws arrivals at the highest rate and drops some of them, so
    # that the rate can vary over time.
    highest = max([1.0, *(s.factor for s in surges)])
    if workload.per_s <= 0:
        return
    at = rng.expovariate(workload.per_s * highest)
    while at < seconds:
        if rng.random() < _surge_factor(surges, at) / highest:
            yield at
        at += rng.expovariate(workload.per_s * highest)


def _surge_factor(surges: list[Surge], at: float) -> float:
    return max(
        (s.factor for s in surges if s.from_s <= at < s.to_s), default=1.0
    )


def result_to_plain(result: CallResult) -> list:
    """Returns a result as JSON-compatible values."""
    call = result.call
    return [
        [call.index, call.at_s, list(call.workload)],
        result.outcome,
        result.latency_s,
        [list(attempt) for attempt in result.attempts],
        result.is_matching_answer,
    ]


def result_from_plain(plain: list) -> CallResult:
    """Returns the result that :func:`result_to_plain` wrote."""
    (index, at_s, workload), outcome, latency_s, attempts, is_matching = plain
    return CallResult(
        Call(index, at_s, Workload(*workload)),
        CallOutcome(outcome),
        latency_s,
        tuple(
            AttemptMade(request_id, AttemptOutcome(attempt_outcome), *rest)
            for request_id, attempt_outcome, *rest in attempts
        ),
        is_matching,
    )
