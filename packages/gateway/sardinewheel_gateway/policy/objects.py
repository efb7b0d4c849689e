"""Balanced, stable assignment of objects to targets.

The load: requests that are cheaper at a target that has handled their object,
while targets come, go and change their size.

Uses weighted rendezvous hashing with bounded loads: each object is assigned to
its highest-ranked target whose load stays within the limit, which is in
proportion to the target's size. Where sizes differ, the objects that rank a
target earliest stay and the others overflow; where all are equal, objects are
assigned in the order of their keys, as by earlier builds. The load of an object
is the number of routes that use it. Each host assigns the objects that it
knows; hosts with the same objects and targets compute the same assignment
without communication. A target that joins, leaves or changes its size moves few
objects; a higher ``LOAD_BOUND_FACTOR`` moves fewer.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sardinewheel_gateway.policy.ranking import (
    SCORE_SCALE,
    RankedMember,
    Ranking,
    score,
)

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
        self, key: str, targets: Mapping[str, int]
    ) -> Preference | None:
        """Returns the targets of an object, or ``None`` without targets.

        Args:
            key: Key of the object.
            targets: Size of each usable target by id; not to be modified
                later.
        """
        if not targets:
            return None
        if targets is not self.ranking.weights:
            self._set_targets(targets)
        found = self.preferences.get(key)
        return found or _first_two(self._first(key))

    def copy(self) -> "ObjectMap":
        """Returns a copy whose changes leave this map as it is."""
        copied = ObjectMap()
        copied.routes = {key: set(uses) for key, uses in self.routes.items()}
        copied.ranking = self.ranking.copy()
        copied.preferences = dict(self.preferences)
        copied.is_stale = self.is_stale
        return copied

    def _set_targets(self, targets: Mapping[str, int]) -> None:
        """Replaces the targets; equal ones cost no more than a comparison."""
        if targets == self.ranking.weights:
            self.ranking.weights = targets
            return
        self.ranking.set_members(targets)
        self.rebalance()

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
        targets = self.ranking.weights
        pairs = len(self.routes) * len(targets)
        if not targets or len(self.routes) > MAX_BALANCED_OBJECTS:
            return
        if pairs > MAX_BALANCED_PAIRS:
            return
        uses = {key: len(routes) for key, routes in self.routes.items()}
        rooms = _limits(targets, sum(uses.values()))
        for key, first in self._firsts(uses, rooms).items():
            order = self._first(key)
            second = next((x for x in order if x != first), None)
            self.preferences[key] = Preference(first, second)

    def _firsts(
        self, uses: dict[str, int], rooms: dict[str, int]
    ) -> dict[str, str]:
        """Returns the first target of each object.

        Args:
            uses: Load of each object.
            rooms: Load for which each target has room; modified in place.
        """
        firsts: dict[str, str] = {}
        if _differ(self.ranking.weights):
            self._assign_by_rank(uses, rooms, firsts)
        for key in sorted(uses.keys() - firsts.keys()):
            firsts[key] = self._first_with_room(key, uses[key], rooms)
            rooms[firsts[key]] -= uses[key]
        return firsts

    def _assign_by_rank(
        self,
        uses: dict[str, int],
        rooms: dict[str, int],
        firsts: dict[str, str],
    ) -> None:
        """Assigns objects to their cached ranks, the earliest rank first.

        A target so keeps the objects that rank it earliest, and those that a
        change moves displace few others.
        """
        for ranked_member, key in self._pairs():
            target = ranked_member.member
            if key not in firsts and uses[key] <= rooms[target]:
                firsts[key] = target
                rooms[target] -= uses[key]

    def _first_with_room(
        self, key: str, load: int, rooms: dict[str, int]
    ) -> str:
        """Returns the first target of an object that has room for it."""
        order = self._first(key)
        found = next((x for x in order if load <= rooms[x]), None)
        if found is not None:
            return found
        whole = self.ranking.full_order(key)
        found = next((x for x in whole if load <= rooms[x]), None)
        return found or max(whole, key=rooms.__getitem__)

    def _pairs(self) -> list[tuple[RankedMember, str]]:
        """Returns each object with its highest-ranked targets, by rank."""
        return sorted(
            (ranked_member, key)
            for key in self.routes
            for ranked_member in self.ranking.first_ranks(key, keep=True)
        )

    def _first(self, key: str) -> list[str]:
        """Returns the highest-ranked targets of an object."""
        return self.ranking.first(key, keep=key in self.routes)


def _limits(targets: Mapping[str, int], total: int) -> dict[str, int]:
    """Returns the most load of each target, in proportion to its size.

    Limits of targets of different sizes are rounded at a point of their own,
    so few of them change with one target. Earlier builds know equal sizes
    only: their limits stay the same.
    """
    share = LOAD_BOUND_FACTOR * total / sum(targets.values())
    if not _differ(targets):
        return {x: math.ceil(share * size) for x, size in targets.items()}
    return {
        x: math.floor(share * size + SCORE_SCALE * score("", x)) + 1
        for x, size in targets.items()
    }


def _differ(sizes: Mapping[str, int]) -> bool:
    return len(set(sizes.values())) > 1


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

    def copy(self, service: str) -> "ObjectTable":
        """Returns a copy with the objects of one service."""
        copied = ObjectTable()
        if service in self.maps:
            copied.maps[service] = self.maps[service].copy()
        return copied

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
