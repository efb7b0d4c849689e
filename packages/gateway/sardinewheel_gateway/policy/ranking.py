"""Rendezvous hashing: the same order on every host, without a message."""

from collections.abc import Iterable

import xxhash


def score(key: str, member: str) -> int:
    """Returns the rank value of a member for a key; the highest comes first.

    Examples:
        >>> score("a", "b") == score("a", "b")
        True
    """
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Returns members in the order that the key gives them."""
    return sorted(members, key=lambda m: (score(key, m), m), reverse=True)
