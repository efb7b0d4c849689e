"""News of requests that crash targets, as hosts pass them on to each other.

Times leave a host as ages, since hosts share no clock. Each host passes an item
on in a few rounds, so that it spreads like an epidemic and the traffic of a
host does not grow with the fleet.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from sardinewheel_gateway.policy.crash_suspects import (
    REFUSAL_EXPIRY_S,
    Refusal,
    Run,
    TargetStart,
)

# Rounds in which a host passes an item on.
ROUNDS = 4
MAX_ITEMS = 12
MAX_QUEUED = 512
DIGEST_LENGTH = 16
LOSS = 0
COMPLETION = 1
REFUSAL = 2


class Loss(NamedTuple):
    """A run of a request that ended with its target."""

    digest: str
    run: Run


class Completion(NamedTuple):
    """A run that ended well, which clears the request, or a lifted refusal.

    Attributes:
        digest: Digest of the request.
        at: Time of its end, in seconds of the monotonic clock.
    """

    digest: str
    at: float


class Refused(NamedTuple):
    """A request that is refused."""

    digest: str
    refusal: Refusal


Item = Loss | Completion | Refused


class NewsQueue:
    """Items that this host still has to pass on.

    Attributes:
        rounds_left: Rounds in which an item is still sent, the oldest first.
    """

    def __init__(self):
        self.rounds_left: dict[Item, int] = {}

    def add(self, item: Item) -> None:
        """Adds an item; the oldest one goes if there are too many."""
        self.rounds_left[item] = ROUNDS
        if len(self.rounds_left) > MAX_QUEUED:
            del self.rounds_left[next(iter(self.rounds_left))]

    def take(self) -> list[Item]:
        """Returns the items to send now, refusals first."""
        by_weight = sorted(
            self.rounds_left,
            key=lambda item: (isinstance(item, Loss), -self.rounds_left[item]),
        )
        taken = by_weight[:MAX_ITEMS]
        for item in taken:
            self.rounds_left[item] -= 1
            if not self.rounds_left[item]:
                del self.rounds_left[item]
        return taken


def to_plain(items: Iterable[Item], now: float) -> list[list]:
    """Returns items as nested lists, for serialization."""
    return [_item_to_plain(item, now) for item in items]


def from_plain(plain: Iterable[list], now: float) -> list[Item]:
    """Returns the items encoded by ``to_plain``.

    Items of kinds of later builds are left out.

    Raises:
        TypeError: The lists do not encode items.
        ValueError: A field is out of its range.
    """
    items = (_item_from_plain(*fields, now=now) for fields in plain)
    return [item for item in items if item is not None]


def _item_to_plain(item: Item, now: float) -> list:
    match item:
        case Loss(digest, Run((target_id, started_ms), began, ended)):
            ages = _age_s(began, now), _age_s(ended, now)
            return [LOSS, digest, target_id, started_ms, *ages]
        case Completion(digest, at):
            return [COMPLETION, digest, _age_s(at, now)]
        case Refused(digest, Refusal(since, asked_at, losses)):
            ages = _age_s(since, now), _age_s(asked_at, now)
            return [REFUSAL, digest, losses, *ages]
    raise TypeError(f"{item!r} is no news")


def _item_from_plain(
    kind: int, digest: str, *fields: Any, now: float
) -> Item | None:
    """Returns an item; None if it is of a kind of a later build."""
    if kind not in (LOSS, COMPLETION, REFUSAL):
        return None
    if not isinstance(digest, str) or len(digest) != DIGEST_LENGTH:
        raise ValueError(f"digest {digest!r} of a request")
    if kind == LOSS:
        target_id, started_ms, began_age_s, ended_age_s, *_ = fields
        began, ended = (_time(x, now) for x in (began_age_s, ended_age_s))
        start = TargetStart(str(target_id), int(started_ms))
        return Loss(digest, Run(start, min(began, ended), ended))
    if kind == COMPLETION:
        age_s, *_ = fields
        return Completion(digest, _time(age_s, now))
    losses, age_s, asked_age_s, *_ = fields
    asked_at = _time(asked_age_s, now)
    since = _time(age_s, now, max_age_s=float("inf"))
    return Refused(digest, Refusal(since, asked_at, int(losses)))


def _age_s(time: float, now: float) -> float:
    """Returns the seconds since a time; 0 if it is after ``now``.

    An item may have changed since ``now`` was read.
    """
    return max(0.0, now - time)


def _time(
    age_s: float, now: float, *, max_age_s: float = REFUSAL_EXPIRY_S
) -> float:
    """Returns the time that was some seconds ago.

    Raises:
        ValueError: The age is negative, too large or not a number.
    """
    if not 0.0 <= age_s <= max_age_s:
        raise ValueError(f"age {age_s!r} s of news")
    return now - age_s
