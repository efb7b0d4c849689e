"""Which targets know an object: an even assignment that stays put.

Every host assigns the objects that it has heard of. Each object goes to its
highest ranked target that is not full, full being the mean number of objects,
rounded up. Hosts that know the same objects and targets agree without asking
each other, and a target that joins or leaves moves few objects.
"""

import math
from typing import NamedTuple

from sardinewheel_gateway.policy import ranking

MAX_OBJECTS = 4096


class Preference(NamedTuple):
    """Targets of an object, the one that should know it first."""

    first: str
    second: str | None


class ObjectMap:
    """Assigns the objects of one service to its targets.

    Attributes:
        keys: Known objects, the newest last.
        preferences: Targets by object, for the current targets.
    """

    def __init__(self):
        self.keys: dict[str, None] = {}
        self.targets: tuple[str, ...] = ()
        self.orders: dict[str, list[str]] = {}
        self.preferences: dict[str, Preference] = {}

    def preference(
        self, key: str, targets: tuple[str, ...]
    ) -> Preference | None:
        """Returns the targets of an object.

        Args:
            key: The object.
            targets: Ids of the usable targets, sorted.
        """
        if not targets:
            return None
        self.add(key)
        if targets != self.targets:
            self.targets = targets
            self.orders.clear()
            self.preferences.clear()
        if key not in self.preferences:
            self._assign()
        return self.preferences[key]

    def add(self, key: str) -> bool:
        """Takes an object; says whether it was new."""
        if key in self.keys:
            return False
        self.keys[key] = None
        self.preferences.clear()
        if len(self.keys) > MAX_OBJECTS:
            oldest = next(iter(self.keys))
            del self.keys[oldest]
            self.orders.pop(oldest, None)
        return True

    def _assign(self) -> None:
        limit = math.ceil(len(self.keys) / len(self.targets))
        counts = dict.fromkeys(self.targets, 0)
        for key in sorted(self.keys):
            order = self._order(key)
            first = next(x for x in order if counts[x] < limit)
            counts[first] += 1
            second = next((x for x in order if x != first), None)
            self.preferences[key] = Preference(first, second)

    def _order(self, key: str) -> list[str]:
        order = self.orders.get(key)
        if order is None:
            order = self.orders[key] = ranking.ranked(key, self.targets)
        return order
