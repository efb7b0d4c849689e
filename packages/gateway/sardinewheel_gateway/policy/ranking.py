"""Weighted rendezvous hashing: all hosts compute the same order independently.

The load: objects whose requests are cheaper at a target that has handled them,
and targets that come, go and change their size.
"""

from bisect import insort
from collections.abc import Iterable, Mapping
from heapq import nsmallest
from math import log
from typing import NamedTuple

import xxhash

MAX_CACHED_RANKS = 8
MIN_CACHED_RANKS = 2
# Scales a score to (0, 1].
SCORE_SCALE = 2.0**-64


def score(key: str, member: str) -> int:
    """Returns the score of a member for a key; the highest ranks first.

    Examples:
        >>> score("a", "b") == score("a", "b")
        True
    """
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


class RankedMember(NamedTuple):
    """A member with its place in the order of a key; sorts by rank.

    The hash of a key and a member is taken as an instant at which a member of
    weight 1 fires; one of weight *w* fires *w* times as early. The earliest
    ranks first, so a member is first for a share of the keys in proportion to
    its weight, and a change of one weight changes the place of that member
    only. Members of equal weight rank by their scores, the highest first.

    Attributes:
        delay: ``-ln(u) / weight``, for the score scaled to ``u`` in (0, 1].
        negative_score: Score of the member for the key, negated. Orders those
            whose scores differ by less than a float can tell.
        member: The member.

    Examples:
        >>> RankedMember.of("k", "a", 9) < RankedMember.of("k", "a", 3)
        True
    """

    delay: float
    negative_score: int
    member: str

    @classmethod
    def of(cls, key: str, member: str, weight: int) -> "RankedMember":
        """Returns the ranked member for a key."""
        return cls(*_rank(key, member, weight))


class Ranking:
    """Ranks one set of weighted members for many keys.

    Only the first ``MAX_CACHED_RANKS`` ranks of a key are cached, so memory
    does not grow with keys times members.

    Attributes:
        weights: Weight of each member, at least 1.
        cached_ranks: Cached highest-ranked members by key, in rank order.
    """

    def __init__(self):
        self.weights: Mapping[str, int] = {}
        self.cached_ranks: dict[str, list[RankedMember]] = {}

    def first(self, key: str, *, keep: bool) -> list[str]:
        """Returns the highest-ranked members for a key, at least two if any.

        Args:
            key: Key to rank the members for.
            keep: Whether to cache the result.
        """
        return [x.member for x in self.first_ranks(key, keep=keep)]

    def first_ranks(self, key: str, *, keep: bool) -> list[RankedMember]:
        """Returns what :meth:`first` does, with the places in the order."""
        ranks = self.cached_ranks.get(key)
        if ranks is None or len(ranks) < self._needed:
            least = nsmallest(MAX_CACHED_RANKS, self._all_ranks(key))
            ranks = [RankedMember(*ranked_member) for ranked_member in least]
            if keep:
                self.cached_ranks[key] = ranks
        return ranks

    def full_order(self, key: str) -> list[str]:
        """Returns all members in rank order for a key."""
        return [member for _, _, member in sorted(self._all_ranks(key))]

    def forget(self, key: str) -> None:
        """Drops the cached ranks of a key."""
        self.cached_ranks.pop(key, None)

    def set_members(self, weights: Mapping[str, int]) -> None:
        """Replaces the members and updates the cached ranks.

        Only members that join, leave or change their weight are ranked anew.

        Args:
            weights: Weight of each member; kept, and not to be modified later.
        """
        before = self.weights
        self.weights = weights
        joined = dict(weights.items() - before.items())
        left = dict(before.items() - weights.items())
        for key, ranks in self.cached_ranks.items():
            has_all = len(ranks) == len(before)
            if left:
                ranks[:] = [x for x in ranks if x.member not in left]
            _insert_joined(
                ranks,
                (RankedMember.of(key, *item) for item in joined.items()),
                has_all=has_all,
            )

    def copy(self) -> "Ranking":
        """Returns a copy whose changes leave this ranking as it is."""
        copied = Ranking()
        copied.weights = self.weights
        ranks = self.cached_ranks.items()
        copied.cached_ranks = {key: list(cached) for key, cached in ranks}
        return copied

    @property
    def _needed(self) -> int:
        return min(MIN_CACHED_RANKS, len(self.weights))

    def _all_ranks(self, key: str) -> list[tuple[float, int, str]]:
        return [_rank(key, *item) for item in self.weights.items()]


def _rank(key: str, member: str, weight: int) -> tuple[float, int, str]:
    """Returns the fields of a ranked member, without the cost of creating it.

    The delay falls as the score rises, also after rounding.
    """
    points = score(key, member)
    return log((points + 1) * SCORE_SCALE) / -weight, -points, member


def _insert_joined(
    ranks: list[RankedMember], joined: Iterable[RankedMember], *, has_all: bool
) -> None:
    """Inserts new members into the cached ranks of a key.

    Args:
        ranks: Cached ranks without removed members; modified in place.
        joined: New members to insert.
        has_all: Whether ``ranks`` held every member. Otherwise uncached
            members follow, and a new member is inserted only if it ranks
            before the last cached one.
    """
    last = ranks[-1] if ranks else None
    for ranked_member in joined:
        if has_all or (last is not None and ranked_member < last):
            insort(ranks, ranked_member)
    del ranks[MAX_CACHED_RANKS:]


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Returns members in rank order for a key."""
    return sorted(members, key=lambda m: (score(key, m), m), reverse=True)
