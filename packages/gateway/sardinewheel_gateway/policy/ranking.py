"""Rendezvous hashing: the same order on every host, without a message."""

from bisect import insort
from collections.abc import Iterable
from heapq import nsmallest
from typing import NamedTuple

import xxhash

MAX_CACHED_RANKS = 8
MIN_CACHED_RANKS = 2


def score(key: str, member: str) -> int:
    """Returns the rank value of a member for a key; the highest comes first.

    Examples:
        >>> score("a", "b") == score("a", "b")
        True
    """
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


class RankedMember(NamedTuple):
    """A member and its place for a key; smaller places come first.

    Attributes:
        negative_score: Score of the member for the key, negated.
        member: The member.
    """

    negative_score: int
    member: str

    @classmethod
    def of(cls, key: str, member: str) -> "RankedMember":
        """Returns the place of a member for a key."""
        return cls(-score(key, member), member)


class Ranking:
    """Orders of the same members for many keys.

    Of each key only the first ``MAX_CACHED_RANKS`` places are kept, so that the
    memory does not grow with keys times members.

    Attributes:
        members: All members.
        kept: The first places of each key, by key.
    """

    def __init__(self):
        self.members: tuple[str, ...] = ()
        self.kept: dict[str, list[RankedMember]] = {}

    def first(self, key: str, *, keep: bool) -> list[str]:
        """Returns the first members for a key, two at least if there are.

        Args:
            key: The key.
            keep: Whether the places should be kept for the next time.
        """
        places = self.kept.get(key)
        if places is None or len(places) < self._needed:
            least = nsmallest(MAX_CACHED_RANKS, self._places(key))
            places = [RankedMember(*place) for place in least]
            if keep:
                self.kept[key] = places
        return [place.member for place in places]

    def whole(self, key: str) -> list[str]:
        """Returns all members in the order of a key."""
        return [member for _, member in sorted(self._places(key))]

    def forget(self, key: str) -> None:
        """Forgets the places of a key."""
        self.kept.pop(key, None)

    def set_members(self, members: tuple[str, ...]) -> None:
        """Replaces the members; what is kept follows."""
        joined = set(members) - set(self.members)
        left = set(self.members) - set(members)
        before = len(self.members)
        self.members = members
        for key, places in self.kept.items():
            has_all = len(places) == before
            if left:
                places[:] = [x for x in places if x.member not in left]
            _add(
                places,
                (RankedMember.of(key, x) for x in joined),
                has_all=has_all,
            )

    @property
    def _needed(self) -> int:
        return min(MIN_CACHED_RANKS, len(self.members))

    def _places(self, key: str) -> list[tuple[int, str]]:
        return [(-score(key, member), member) for member in self.members]


def _add(
    places: list[RankedMember], joined: Iterable[RankedMember], *, has_all: bool
) -> None:
    """Adds places that joined, as far as they belong to the first ones.

    Args:
        places: The first places, without those that left.
        joined: Places to add.
        has_all: Whether no other places exist behind the first ones.
    """
    last = places[-1] if places else None
    for place in joined:
        if has_all or (last is not None and place < last):
            insort(places, place)
    del places[MAX_CACHED_RANKS:]


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Returns members in the order that the key gives them."""
    return sorted(members, key=lambda m: (score(key, m), m), reverse=True)
