"""Which targets know an object: an even assignment that stays put.

Every host assigns the objects that it has heard of. Each object goes to its
highest ranked target that has room for it: rendezvous hashing with bounded
loads. An object weighs as much as the routes that use it. Hosts that know the
same objects and targets agree without asking each other, and a target that
joins or leaves moves few objects, the fewer the more room there is.
"""

import math
from bisect import insort
from collections.abc import Iterable
from typing import NamedTuple

from sardinewheel_gateway.policy import ranking

ROOM = 1.5
MAX_OBJECTS = 4096
MAX_EVENED_OBJECTS = 1024


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
        targets: Ids of the targets, sorted.
        preferences: Targets by object.
        is_stale: Whether objects came that aren't evened out yet.
    """

    def __init__(self):
        self.routes: dict[str, set[str]] = {}
        self.targets: tuple[str, ...] = ()
        self.orders: dict[str, list[tuple[int, str]]] = {}
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
        if targets != self.targets:
            self._set_targets(targets)
        found = self.preferences.get(key)
        return found or _first_two(self._order(key))

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
            self.orders.pop(oldest, None)
            self.preferences.pop(oldest, None)
        return True

    def keep(self, routes: frozenset[str]) -> None:
        """Forgets the use by routes that are no longer in force."""
        kept = {key: used & routes for key, used in self.routes.items()}
        kept = {key: used for key, used in kept.items() if used}
        if kept != self.routes:
            self.routes = kept
            self.is_stale = True

    def refresh(self) -> None:
        """Evens the objects out over the targets."""
        self.is_stale = False
        self.preferences.clear()
        if not self.targets or len(self.routes) > MAX_EVENED_OBJECTS:
            return
        total = sum(len(used) for used in self.routes.values())
        limit = math.ceil(ROOM * total / len(self.targets))
        loads = dict.fromkeys(self.targets, 0)
        for key in sorted(self.routes):
            weight = len(self.routes[key])
            self.preferences[key] = self._assign(key, weight, limit, loads)

    def _assign(
        self, key: str, weight: int, limit: int, loads: dict[str, int]
    ) -> Preference:
        order = [target for _, target in self._order(key)]
        first = next((x for x in order if loads[x] + weight <= limit), None)
        if first is None:
            first = min(order, key=loads.__getitem__)
        loads[first] += weight
        second = next((x for x in order if x != first), None)
        return Preference(first, second)

    def _order(self, key: str) -> list[tuple[int, str]]:
        """Returns the targets as the object ranks them."""
        order = self.orders.get(key)
        if order is None:
            order = [_ranked(key, target) for target in self.targets]
            order.sort()
            if key in self.routes:
                self.orders[key] = order
        return order

    def _set_targets(self, targets: tuple[str, ...]) -> None:
        joined = set(targets) - set(self.targets)
        left = set(self.targets) - set(targets)
        self.targets = targets
        for key, order in self.orders.items():
            if left:
                order[:] = [place for place in order if place[1] not in left]
            for target in joined:
                insort(order, _ranked(key, target))
        self.refresh()


def _ranked(key: str, target: str) -> tuple[int, str]:
    return (-ranking.score(key, target), target)


def _first_two(order: list[tuple[int, str]]) -> Preference:
    second = order[1][1] if len(order) > 1 else None
    return Preference(order[0][1], second)


class ObjectBook:
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

    def used(self, use: ObjectUse) -> None:
        """Takes an object that a request of this host concerns."""
        if self.of(use.service).add(use.key, use.route):
            self.news.append(use)

    def learn(self, uses: Iterable[ObjectUse]) -> None:
        """Takes objects that another host tells."""
        for use in uses:
            self.of(use.service).add(use.key, use.route)

    def take_news(self) -> list[ObjectUse]:
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

    def refresh(self) -> None:
        """Evens out what changed."""
        for object_map in self.maps.values():
            if object_map.is_stale:
                object_map.refresh()

    def keep(self, routes: Iterable[str]) -> None:
        """Forgets the use by routes that are no longer in force."""
        names = frozenset(routes)
        for object_map in self.maps.values():
            object_map.keep(names)
