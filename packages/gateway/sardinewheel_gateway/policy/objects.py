"""Balanced, stable assignment of objects to targets.

Uses rendezvous hashing with bounded loads: each object is assigned to its
highest-ranked target whose load stays within the limit. The weight of an
object is the number of routes that use it. Each host assigns the objects that
it knows; hosts with the same objects and targets compute the same assignment
without communication. A target that joins or leaves moves few objects; a
higher ``LOAD_BOUND_FACTOR`` moves fewer.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from sardinewheel_gateway.policy.ranking import Ranking

LOAD_BOUND_FACTOR = 1.5
MAX_OBJECTS = 4096
MAX_BALANCED_OBJECTS = 1024
# Balancing computes the ranks of all targets once for each object.
MAX_BALANCED_PAIRS = 1024 * 256


class ObjectUse(NamedTuple):
    """The use of an object by the requests of a route.

    Attributes:
        service: Service that executes the requests.
        route: Name of the route.
        key: Key of the object.
    """

    service: str
    route: str
    key: str


class Preference(NamedTuple):
    """Targets of an object in order of preference."""

    first: str
    second: str | None


class ObjectMap:
    """Assigns the objects of one service to its targets.

    Attributes:
        routes: Names of the routes that use an object, by object key in
            order of insertion.
        ranking: Ranks the targets for each object.
        preferences: Balanced targets by object key.
        is_stale: Whether uses were added or dropped since the last balancing.
    """

    def __init__(self):
        self.routes: dict[str, set[str]] = {}
        self.ranking = Ranking()
        self.preferences: dict[str, Preference] = {}
        self.is_stale = False

    def preference(
        self, key: str, targets: tuple[str, ...]
    ) -> Preference | None:
        """Returns the targets of an object, or ``None`` without targets.

        Args:
            key: Key of the object.
            targets: Ids of the usable targets, sorted.
        """
        if not targets:
            return None
        if targets != self.ranking.members:
            self.ranking.set_members(targets)
            self.rebalance()
        found = self.preferences.get(key)
        return found or _first_two(self._first(key))

    def order(self, key: str) -> list[str]:
        """Returns the first targets of an object, by rank alone."""
        return self._first(key)

    def add(self, key: str, route: str) -> bool:
        """Adds the use of an object by a route; returns whether it was new."""
        routes = self.routes.setdefault(key, set())
        if route in routes:
            return False
        routes.add(route)
        self.is_stale = True
        if len(self.routes) > MAX_OBJECTS:
            oldest = next(iter(self.routes))
            del self.routes[oldest]
            self.ranking.forget(oldest)
            self.preferences.pop(oldest, None)
        return True

    def keep(self, routes: frozenset[str]) -> None:
        """Drops the uses by routes that are not in ``routes``."""
        kept = {key: uses & routes for key, uses in self.routes.items()}
        kept = {key: uses for key, uses in kept.items() if uses}
        if kept != self.routes:
            for key in self.routes.keys() - kept.keys():
                self.ranking.forget(key)
            self.routes = kept
            self.is_stale = True

    def rebalance(self) -> None:
        """Assigns all objects anew, bounding the load of each target."""
        self.is_stale = False
        self.preferences.clear()
        targets = self.ranking.members
        pairs = len(self.routes) * len(targets)
        if not targets or len(self.routes) > MAX_BALANCED_OBJECTS:
            return
        if pairs > MAX_BALANCED_PAIRS:
            return
        total = sum(len(uses) for uses in self.routes.values())
        limit = math.ceil(LOAD_BOUND_FACTOR * total / len(targets))
        loads = dict.fromkeys(targets, 0)
        for key in sorted(self.routes):
            weight = len(self.routes[key])
            self.preferences[key] = self._assign(key, weight, limit, loads)

    def _assign(
        self, key: str, weight: int, limit: int, loads: dict[str, int]
    ) -> Preference:
        order = self._first(key)
        first = _first_below_limit(order, weight, limit, loads)
        if first is None:
            whole = self.ranking.full_order(key)
            first = _first_below_limit(whole, weight, limit, loads)
            first = first or min(whole, key=loads.__getitem__)
        loads[first] += weight
        second = next((x for x in order if x != first), None)
        return Preference(first, second)

    def _first(self, key: str) -> list[str]:
        """Returns the highest-ranked targets of an object."""
        return self.ranking.first(key, keep=key in self.routes)


def _first_below_limit(
    order: list[str], weight: int, limit: int, loads: dict[str, int]
) -> str | None:
    """Returns the first target whose load stays within the limit."""
    return next((x for x in order if loads[x] + weight <= limit), None)


def _first_two(order: list[str]) -> Preference:
    return Preference(order[0], order[1] if len(order) > 1 else None)


class ObjectTable:
    """The objects of all services.

    Attributes:
        maps: Objects by service.
        unsent: Uses that this host observed and has not yet sent to others.
    """

    def __init__(self):
        self.maps: dict[str, ObjectMap] = {}
        self.unsent: list[ObjectUse] = []

    def of(self, service: str) -> ObjectMap:
        """Returns the objects of a service."""
        found = self.maps.get(service)
        if found is None:
            found = self.maps[service] = ObjectMap()
        return found

    def record_use(self, use: ObjectUse) -> None:
        """Records the object of a request handled by this host."""
        if self.of(use.service).add(use.key, use.route):
            self.unsent.append(use)

    def merge(self, uses: Iterable[ObjectUse]) -> None:
        """Adds uses received from another host."""
        for use in uses:
            self.of(use.service).add(use.key, use.route)

    def take_unsent(self) -> list[ObjectUse]:
        """Returns and clears the uses not yet sent to other hosts."""
        unsent, self.unsent = self.unsent, []
        return unsent

    def all(self) -> list[ObjectUse]:
        """Returns all known uses."""
        return [
            ObjectUse(service, route, key)
            for service, object_map in self.maps.items()
            for key, routes in object_map.routes.items()
            for route in sorted(routes)
        ]

    def rebalance(self) -> None:
        """Rebalances the services whose objects changed."""
        for object_map in self.maps.values():
            if object_map.is_stale:
                object_map.rebalance()

    def keep(self, routes: Iterable[str]) -> None:
        """Drops the uses by routes that are not in ``routes``."""
        names = frozenset(routes)
        for object_map in self.maps.values():
            object_map.keep(names)
