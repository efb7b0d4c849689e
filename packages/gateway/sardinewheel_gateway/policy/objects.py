"""Which targets know an object: an even assignment that stays put.

Every host assigns the objects that it has heard of. Each object goes to its
highest ranked target that has room for it: rendezvous hashing with bounded
loads. An object weighs as much as the routes that use it. Hosts that know the
same objects and targets agree without asking each other, and a target that
joins or leaves moves few objects, the fewer the more room there is.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from sardinewheel_gateway.policy.ranking import Ranking

LOAD_BOUND_FACTOR = 1.5
MAX_OBJECTS = 4096
MAX_BALANCED_OBJECTS = 1024
# Evening out reads the order of each object, of all targets once.
MAX_BALANCED_PAIRS = 1024 * 256


class ObjectUse(NamedTuple):
    """An object that requests of a route concern.

    Attributes:
        service: Service that executes the requests.
        route: Name of the route.
        key: The object.
    """

    service: str
    route: str
    key: str


class Preference(NamedTuple):
    """Targets of an object, the one that should know it first."""

    first: str
    second: str | None


class ObjectMap:
    """Assigns the objects of one service to its targets.

    Attributes:
        routes: Routes that use an object, by object; the oldest object first.
        ranking: The targets in the order of each object.
        preferences: Targets by object.
        is_stale: Whether objects came that aren't evened out yet.
    """

    def __init__(self):
        self.routes: dict[str, set[str]] = {}
        self.ranking = Ranking()
        self.preferences: dict[str, Preference] = {}
        self.is_stale = False

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
        if targets != self.ranking.members:
            self.ranking.set_members(targets)
            self.rebalance()
        found = self.preferences.get(key)
        return found or _first_two(self._first(key))

    def add(self, key: str, route: str) -> bool:
        """Takes an object's use by a route; says whether it was new."""
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
        """Forgets the use by routes that are no longer in force."""
        kept = {key: uses & routes for key, uses in self.routes.items()}
        kept = {key: uses for key, uses in kept.items() if uses}
        if kept != self.routes:
            for key in self.routes.keys() - kept.keys():
                self.ranking.forget(key)
            self.routes = kept
            self.is_stale = True

    def rebalance(self) -> None:
        """Evens the objects out over the targets."""
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
            whole = self.ranking.whole(key)
            first = _first_below_limit(whole, weight, limit, loads)
            first = first or min(whole, key=loads.__getitem__)
        loads[first] += weight
        second = next((x for x in order if x != first), None)
        return Preference(first, second)

    def _first(self, key: str) -> list[str]:
        """Returns the highest ranked targets of an object."""
        return self.ranking.first(key, keep=key in self.routes)


def _first_below_limit(
    order: list[str], weight: int, limit: int, loads: dict[str, int]
) -> str | None:
    """Returns the first target that still has room for a weight."""
    return next((x for x in order if loads[x] + weight <= limit), None)


def _first_two(order: list[str]) -> Preference:
    return Preference(order[0], order[1] if len(order) > 1 else None)


class ObjectTable:
    """The objects of all services.

    Attributes:
        maps: Objects by service.
        news: Uses that this host found out itself and hasn't told yet.
    """

    def __init__(self):
        self.maps: dict[str, ObjectMap] = {}
        self.news: list[ObjectUse] = []

    def of(self, service: str) -> ObjectMap:
        """Returns the objects of a service."""
        found = self.maps.get(service)
        if found is None:
            found = self.maps[service] = ObjectMap()
        return found

    def record_use(self, use: ObjectUse) -> None:
        """Takes an object that a request of this host concerns."""
        if self.of(use.service).add(use.key, use.route):
            self.news.append(use)

    def merge(self, uses: Iterable[ObjectUse]) -> None:
        """Takes objects that another host tells."""
        for use in uses:
            self.of(use.service).add(use.key, use.route)

    def take_unsent(self) -> list[ObjectUse]:
        """Returns what other hosts haven't been told, once."""
        news, self.news = self.news, []
        return news

    def all(self) -> list[ObjectUse]:
        """Returns all uses that are known."""
        return [
            ObjectUse(service, route, key)
            for service, object_map in self.maps.items()
            for key, routes in object_map.routes.items()
            for route in sorted(routes)
        ]

    def rebalance(self) -> None:
        """Evens out what changed."""
        for object_map in self.maps.values():
            if object_map.is_stale:
                object_map.rebalance()

    def keep(self, routes: Iterable[str]) -> None:
        """Forgets the use by routes that are no longer in force."""
        names = frozenset(routes)
        for object_map in self.maps.values():
            object_map.keep(names)
