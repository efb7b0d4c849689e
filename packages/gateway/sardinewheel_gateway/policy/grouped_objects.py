"""Assigns objects to targets within groups of failure domains."""

from typing import NamedTuple

from sardinewheel_gateway.policy.locality import EVERYWHERE, Group
from sardinewheel_gateway.policy.objects import ObjectMap, ObjectTable

MAX_MAPS = 128


class GroupKey(NamedTuple):
    """Targets of a service among which its objects are assigned.

    Attributes:
        service: The service.
        homes: Regions that may execute the requests; empty for all.
        group: Failure domains that may; empty for all.
    """

    service: str
    homes: frozenset[str] = frozenset()
    group: Group = EVERYWHERE


class GroupedObjects:
    """Object maps by service, home regions and failure domains.

    Each holds all objects of its service, so that all hosts assign an object
    to the same target of a group.

    Attributes:
        maps: Object maps of the groups.
    """

    def __init__(self):
        self.maps: dict[GroupKey, ObjectMap] = {}

    def of(self, key: GroupKey, table: ObjectTable) -> ObjectMap:
        """Returns the objects of a service as assigned within a group.

        Args:
            key: The service and the group.
            table: The objects of all services.
        """
        if key == GroupKey(key.service):
            return table.of(key.service)
        found = self.maps.get(key)
        if found is None:
            if len(self.maps) >= MAX_MAPS:
                self.maps.clear()
            found = self.maps[key] = ObjectMap()
            _copy_objects(table.of(key.service), found)
        return found

    def rebalance(self, table: ObjectTable) -> None:
        """Rebalances all services whose objects changed, and their groups."""
        for key, grouped in self.maps.items():
            source = table.of(key.service)
            if source.is_stale or len(source.routes) != len(grouped.routes):
                _copy_objects(source, grouped)
                grouped.rebalance()
        table.rebalance()


def _copy_objects(source: ObjectMap, grouped: ObjectMap) -> None:
    """Replaces the objects of a group by those of its service."""
    for key in grouped.routes.keys() - source.routes.keys():
        grouped.ranking.forget(key)
    grouped.routes = {key: set(uses) for key, uses in source.routes.items()}
