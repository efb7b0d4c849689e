"""Computes which part of a failure domain's requests fits where.

Designed for services whose targets and callers are spread unevenly over
regions, and for targets that keep the objects that they handled last.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from sardinewheel_gateway.policy.objects import LOAD_BOUND_FACTOR
from sardinewheel_gateway.policy.targets import Target

# Objects that a target is expected to keep.
KEPT_OBJECTS = 20
# Mean objects per target at which no target has more than it keeps.
OBJECTS_PER_TARGET = int(KEPT_OBJECTS / LOAD_BOUND_FACTOR)
# Part by which a region may be busier than the mean before requests leave it,
# so that small differences of demand move nothing.
ROOM_MARGIN = 0.1


class Room(NamedTuple):
    """Targets of one service in one failure domain.

    Attributes:
        targets: Number of usable targets.
        slots: Requests that they execute concurrently.
    """

    targets: int = 0
    slots: int = 0


def room_of(targets: Iterable[Target]) -> dict[str, Room]:
    """Returns the room of usable targets by failure domain."""
    room: dict[str, Room] = {}
    for target in targets:
        record = target.record
        known = room.get(record.domain, Room())
        slots = known.slots + max(1, record.slots)
        room[record.domain] = Room(known.targets + 1, slots)
    return room


class Shares(NamedTuple):
    """Where a failure domain's requests of a service are executed.

    Attributes:
        domain: Share executed in the domain itself.
        region: Share executed anywhere in its region.
        everywhere: Share executed by any target of the service.
        regions: Shares executed in other regions, which have free room.
    """

    domain: float
    region: float
    everywhere: float
    regions: dict[str, float]

    def distance(self, other: "Shares") -> float:
        """Returns the share of requests whose place differs."""
        names = self.regions.keys() | other.regions.keys()
        differences = [
            abs(mine - theirs)
            for mine, theirs in zip(self[:3], other[:3], strict=True)
        ]
        differences += [
            abs(self.regions.get(name, 0.0) - other.regions.get(name, 0.0))
            for name in names
        ]
        return sum(differences) / 2

    def toward(self, goal: "Shares", max_step: float) -> "Shares":
        """Returns shares at most ``max_step`` away, in the direction of goal.

        Examples:
            >>> near = Shares(1.0, 0.0, 0.0, {})
            >>> far = Shares(0.5, 0.0, 0.0, {"south": 0.5})
            >>> near.toward(far, 0.125).regions
            {'south': 0.125}
        """
        distance = self.distance(goal)
        if distance <= max_step:
            return goal
        part = max_step / distance
        names = sorted(self.regions.keys() | goal.regions.keys())
        mixed = [
            mine + part * (theirs - mine)
            for mine, theirs in zip(self[:3], goal[:3], strict=True)
        ]
        regions = {
            name: (1 - part) * self.regions.get(name, 0.0)
            + part * goal.regions.get(name, 0.0)
            for name in names
        }
        return Shares(*mixed, regions)


class Supply(NamedTuple):
    """Room and demand of a service.

    Attributes:
        room: Room by failure domain.
        demand: Requests per second by failure domain, in any unit; those
            that are missing count as the mean of the others.
        objects: Number of known objects.
        regions: Region of each failure domain.
    """

    room: dict[str, Room]
    demand: dict[str, float]
    objects: int
    regions: dict[str, str]

    def goal(self, domain: str) -> Shares:
        """Returns the shares of a failure domain that fit room and demand."""
        home = self.regions[domain]
        members = self._members(home)
        in_region = self._fit(members)
        by_region, by_domain = self._kept(domain, members, in_region)
        by_domain = min(by_domain, self._fit([domain]))
        kept = by_region / in_region if in_region else 1.0
        spilled = self._spilled(home, kept * (1.0 - in_region))
        rest = 1.0 - by_region - sum(spilled.values())
        return Shares(by_domain, by_region - by_domain, max(0.0, rest), spilled)

    def _members(self, region: str) -> list[str]:
        return [x for x, name in self.regions.items() if name == region]

    def _fit(self, domains: Iterable[str]) -> float:
        """Returns the share of the demand of domains that fits their room."""
        slots, demand = self._fractions(domains)
        room = (1.0 + ROOM_MARGIN) * slots
        return 1.0 if room >= demand else room / demand

    def _spilled(self, home: str, share: float) -> dict[str, float]:
        """Returns a share divided among other regions by their free room."""
        free = {
            region: max(0.0, slots - demand)
            for region in sorted(set(self.regions.values()) - {home})
            for slots, demand in [self._fractions(self._members(region))]
        }
        total = sum(free.values())
        if share <= 0.0 or total <= 0.0:
            return {}
        return {name: share * x / total for name, x in free.items() if x}

    def _fractions(self, domains: Iterable[str]) -> tuple[float, float]:
        """Returns the parts that domains have of all slots and demand."""
        domains = list(domains)
        slots = sum(room.slots for room in self.room.values())
        mean = sum(self.demand.values()) / max(1, len(self.demand))
        demands = {x: self.demand.get(x, mean) for x in self.regions}
        total = sum(demands.values())
        if total <= 0.0:
            demands = dict.fromkeys(self.regions, 1.0)
            total = float(len(demands))
        own_slots = sum(self.room.get(x, Room()).slots for x in domains)
        own_demand = sum(demands[x] for x in domains)
        return own_slots / max(1, slots), own_demand / total

    def _kept(
        self, domain: str, members: list[str], share: float
    ) -> tuple[float, float]:
        """Returns the shares of the objects that targets nearby can keep.

        Each object placed by domain is kept by one target of each domain, by
        region by one of each region, otherwise by one altogether.

        Args:
            domain: The failure domain.
            members: All failure domains of its region.
            share: Share of the objects that the region has room for.

        Returns:
            The share by domain or region, and the share by domain alone.
        """
        wide = self._objects_per_target(self.room, 1.0)
        near = self._objects_per_target(members, share)
        own = self._objects_per_target([domain], share)
        by_region = share * _kept_share(near, wide)
        if by_region < share:
            return by_region, 0.0
        return share, share * _kept_share(own, near)

    def _objects_per_target(
        self, domains: Iterable[str], share: float
    ) -> float:
        targets = sum(self.room.get(x, Room()).targets for x in domains)
        return share * self.objects / targets if targets else math.inf


def _kept_share(near: float, wide: float) -> float:
    """Returns the share of the objects that targets nearby can keep.

    Args:
        near: Objects per target if all are kept nearby.
        wide: Objects per target if all are kept within the wider group.
    """
    if near <= OBJECTS_PER_TARGET:
        return 1.0
    if wide >= OBJECTS_PER_TARGET or math.isinf(near):
        return 0.0
    return (OBJECTS_PER_TARGET - wide) / (near - wide)
