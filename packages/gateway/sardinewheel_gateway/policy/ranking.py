"""Rendezvous hashing: every host computes the same order independently."""

from bisect import insort
from collections.abc import Iterable
from heapq import nsmallest
from typing import NamedTuple

import xxhash

MAX_CACHED_RANKS = 8
MIN_CACHED_RANKS = 2


def score(key: str, member: str) -> int:
    """Returns the score of a member for a key; the highest ranks first.

    Examples:
        >>> score("a", "b") == score("a", "b")
        True
    """
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


class RankedMember(NamedTuple):
    """A member with its score for a key; sorts by rank.

    Attributes:
        negative_score: Score of the member for the key, negated.
        member: The member.
    """

    negative_score: int
    member: str

    @classmethod
    def of(cls, key: str, member: str) -> "RankedMember":
        """Returns the ranked member for a key."""
        return cls(-score(key, member), member)


class Ranking:
    """Ranks one set of members for many keys.

    Only the first ``MAX_CACHED_RANKS`` ranks of a key are cached, so memory
    does not grow with keys times members.

    Attributes:
        members: All members.
        cached_ranks: Cached highest-ranked members by key, in rank order.
    """

    def __init__(self):
        self.members: tuple[str, ...] = ()
        self.cached_ranks: dict[str, list[RankedMember]] = {}

    def first(self, key: str, *, keep: bool) -> list[str]:
        """Returns the highest-ranked members for a key, at least two if any.

        Args:
            key: Key to rank the members for.
            keep: Whether to cache the result.
        """
        ranks = self.cached_ranks.get(key)
        if ranks is None or len(ranks) < self._needed:
            least = nsmallest(MAX_CACHED_RANKS, self._all_ranks(key))
            ranks = [RankedMember(*ranked_member) for ranked_member in least]
            if keep:
                self.cached_ranks[key] = ranks
        return [ranked_member.member for ranked_member in ranks]

    def full_order(self, key: str) -> list[str]:
        """Returns all members in rank order for a key."""
        return [member for _, member in sorted(self._all_ranks(key))]

    def forget(self, key: str) -> None:
        """Drops the cached ranks of a key."""
        self.cached_ranks.pop(key, None)

    def set_members(self, members: tuple[str, ...]) -> None:
        """Replaces the members and updates the cached ranks."""
        joined = set(members) - set(self.members)
        left = set(self.members) - set(members)
        before = len(self.members)
        self.members = members
        for key, ranks in self.cached_ranks.items():
            has_all = len(ranks) == before
            if left:
                ranks[:] = [x for x in ranks if x.member not in left]
            _insert_joined(
                ranks,
                (RankedMember.of(key, x) for x in joined),
                has_all=has_all,
            )

    @property
    def _needed(self) -> int:
        return min(MIN_CACHED_RANKS, len(self.members))

    def _all_ranks(self, key: str) -> list[tuple[int, str]]:
        return [(-score(key, member), member) for member in self.members]


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
