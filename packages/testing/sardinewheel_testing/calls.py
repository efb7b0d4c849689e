"""What callers ask for, when, and what became of it."""

import random
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple


class Rate(NamedTuple):
    """How often callers of one region ask for one kind of work.

    Attributes:
        service: Service they ask.
        kind: Kind of the requests.
        weight: Weight units of each request.
        repeatable: Whether a request may be executed more than once.
        per_s: Requests in a second, on average.
        deadline_s: Seconds after which an answer is of no use.
    """

    service: str
    kind: str
    weight: int
    repeatable: bool
    per_s: float
    deadline_s: float


class Surge(NamedTuple):
    """An interval in which every rate is multiplied.

    Attributes:
        from_s: Start, in seconds from the start of the load.
        to_s: End, in seconds from the start of the load.
        factor: What the rates are multiplied by.
    """

    from_s: float
    to_s: float
    factor: float


class Call(NamedTuple):
    """One piece of work that a caller wants done.

    Attributes:
        index: Number of the call, unique within its caller process.
        at_s: When it is made, in seconds from the start of the load.
        rate: What it asks for.
    """

    index: int
    at_s: float
    rate: Rate


class CallOutcome(StrEnum):
    """What a caller knows of its work in the end.

    ``REFUSED``: it was told "not run" until its deadline.
    ``UNANSWERED``: nobody told it anything.
    """

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    UNANSWERED = "unanswered"


class AttemptOutcome(StrEnum):
    """What a caller was told of one request id."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    LOST = "lost"
    NOT_SENT = "not-sent"


class AttemptMade(NamedTuple):
    """One request id that a caller used, and what it was told of it.

    Attributes:
        request_id: The id.
        outcome: What the caller was told.
        reason: Why, if it was told.
        ended_s: Seconds from the scheduled time of the call to the answer.
        retry_after_s: When it was asked to come back, in seconds.
    """

    request_id: str
    outcome: AttemptOutcome
    reason: str = ""
    ended_s: float = 0.0
    retry_after_s: float = 0.0


class CallResult(NamedTuple):
    """What became of a call.

    Attributes:
        call: The call.
        outcome: What the caller knows in the end.
        latency_s: Seconds from the scheduled time to the final answer.
        attempts: Request ids used for it, in order.
        is_own_answer: Whether a done answer belongs to this call.
    """

    call: Call
    outcome: CallOutcome
    latency_s: float
    attempts: tuple[AttemptMade, ...]
    is_own_answer: bool = True


def schedule(
    rates: list[Rate], surges: list[Surge], *, seconds: float, seed: int
) -> list[Call]:
    """Returns the calls of Poisson arrivals, ordered by time."""
    arrivals = []
    for position, rate in enumerate(rates):
        rng = random.Random(f"{seed}/{position}")
        arrivals += [(at, rate) for at in _times(rate, surges, seconds, rng)]
    arrivals.sort()
    return [Call(i, at, rate) for i, (at, rate) in enumerate(arrivals)]


def _times(
    rate: Rate, surges: list[Surge], seconds: float, rng: random.Random
) -> Iterator[float]:
    # Thins arrivals at the highest rate, so that rates may vary over time.
    highest = max([1.0, *(s.factor for s in surges)])
    if rate.per_s <= 0:
        return
    at = rng.expovariate(rate.per_s * highest)
    while at < seconds:
        if rng.random() < _factor(surges, at) / highest:
            yield at
        at += rng.expovariate(rate.per_s * highest)


def _factor(surges: list[Surge], at: float) -> float:
    return max(
        (s.factor for s in surges if s.from_s <= at < s.to_s), default=1.0
    )


def result_to_plain(result: CallResult) -> list:
    """Returns a result as plain values, to be written as JSON."""
    call = result.call
    return [
        [call.index, call.at_s, list(call.rate)],
        result.outcome,
        result.latency_s,
        [list(attempt) for attempt in result.attempts],
        result.is_own_answer,
    ]


def result_from_plain(plain: list) -> CallResult:
    """Returns the result that :func:`result_to_plain` wrote."""
    (index, at_s, rate), outcome, latency_s, attempts, is_own = plain
    return CallResult(
        Call(index, at_s, Rate(*rate)),
        CallOutcome(outcome),
        latency_s,
        tuple(
            AttemptMade(name, AttemptOutcome(told), *rest)
            for name, told, *rest in attempts
        ),
        is_own,
    )
