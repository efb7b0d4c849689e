"""Decides which part of a failure domain's requests is executed where.

Designed for services whose targets and callers are spread unevenly over
regions, with narrow links between them, and for targets that keep the objects
that they handled last. Requests stay near while there is room, and while the
targets there can keep their objects; the rest goes where room is left. Shares
follow room and demand, never the load that they cause themselves, so there is
no loop that could swing.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from sardinewheel_gateway.policy.targets import Target

# Objects that a target is expected to keep.
OBJECTS_PER_TARGET = 20
# Objects that a service is taken to have until callers have named most of them.
ASSUMED_OBJECTS = 256
DISCOVERY_S = 10.0
# Share of a domain's requests that may change its place within a second.
MAX_STEP_PER_S = 0.04
# Changes smaller than this share are left out.
DEAD_BAND = 0.01
UPDATE_INTERVAL_S = 0.5
# A host that was held up makes up for no more than this.
MAX_INTERVAL_S = 1.0

# Failure domains that execute a request, sorted; empty for all of them.
Group = tuple[str, ...]
EVERYWHERE: Group = ()


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
        return 1.0 if slots >= demand else slots / demand

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


class Locality:
    """Chooses the failure domains that execute the requests of this host.

    Hosts with the same records, objects and demand choose the same domains
    without communication. A host that knows no other's demand takes it as
    equal.

    Attributes:
        domain: Failure domain of this host.
        regions: Region of each failure domain.
        room: Latest room by service and failure domain.
        shares: Shares in force, by service and failure domain.
        updated_at: Time of the last update, by service.
        discovery_until: Time until which ``ASSUMED_OBJECTS`` applies, by
            service; infinite until a first object is known.
    """

    def __init__(self, domain: str, regions: dict[str, str]):
        self.domain = domain
        self.regions = regions
        self.room: dict[str, dict[str, Room]] = {}
        self.shares: dict[str, dict[str, Shares]] = {}
        self.updated_at: dict[str, float] = {}
        self.discovery_until: dict[str, float] = {}

    def is_due(self, service: str, now: float) -> bool:
        """Returns whether the shares of a service are to be updated."""
        updated_at = self.updated_at.get(service, -math.inf)
        return now - updated_at >= UPDATE_INTERVAL_S

    def update(
        self,
        service: str,
        room: dict[str, Room],
        *,
        objects: int,
        demand: dict[str, float],
        now: float,
    ) -> None:
        """Moves the shares of a service a step toward what fits.

        Args:
            service: Name of the service.
            room: Room by failure domain.
            objects: Number of known objects of the service.
            demand: Requests per second by failure domain, as far as known.
            now: Seconds of the monotonic clock.
        """
        self.room[service] = room
        objects = self._expected_objects(service, objects, now)
        supply = Supply(room, demand, objects, self.regions)
        goals = {domain: supply.goal(domain) for domain in self.regions}
        before = self.shares.get(service)
        elapsed_s = now - self.updated_at.get(service, now)
        self.updated_at[service] = now
        if before is None:
            self.shares[service] = goals
            return
        step = MAX_STEP_PER_S * min(elapsed_s, MAX_INTERVAL_S)
        self.shares[service] = {
            domain: _stepped(before[domain], goal, step)
            for domain, goal in goals.items()
        }

    def _expected_objects(self, service: str, known: int, now: float) -> int:
        """Returns the number of objects, or an assumption at first.

        A host that starts among others receives the objects that they know.
        """
        if service not in self.discovery_until:
            self.discovery_until[service] = -math.inf if known else math.inf
        until = self.discovery_until[service]
        if known and until == math.inf:
            until = self.discovery_until[service] = now + DISCOVERY_S
        return known if now >= until else max(known, ASSUMED_OBJECTS)

    def group(self, service: str, key: str) -> Group:
        """Returns the failure domains that execute requests for an object.

        Args:
            service: Name of the service.
            key: Key of the object, or any text for a request without one.
        """
        by_domain = self.shares.get(service)
        if by_domain is None or self.domain not in by_domain:
            return EVERYWHERE
        point = position(key)
        own = by_domain[self.domain]
        if point < own.domain:
            return (self.domain,)
        if point < own.domain + own.region:
            return self._region_group(self.regions[self.domain])
        if point < own.domain + own.region + own.everywhere:
            return EVERYWHERE
        return self._spilled_group(service, key, own)

    def _spilled_group(self, service: str, key: str, own: Shares) -> Group:
        """Returns the group in another region that knows the object best."""
        region = _weighted_choice(key, own.regions)
        if region is None:
            return EVERYWHERE
        room = self.room[service]
        slots = {
            domain: room[domain].slots
            for domain in self._region_group(region)
            if domain in room
        }
        domain = _weighted_choice(key, slots)
        if domain is None:
            return EVERYWHERE
        there = self.shares[service][domain]
        by_domain = there.domain
        if by_domain <= position(key) < by_domain + there.region:
            return self._region_group(region)
        return (domain,)

    def _region_group(self, region: str) -> Group:
        return tuple(
            sorted(x for x, name in self.regions.items() if name == region)
        )


def position(key: str) -> float:
    """Returns a uniform position of a key in the interval from 0 to 1.

    Examples:
        >>> 0.0 <= position("a") < 1.0
        True
    """
    return xxhash.xxh3_64_intdigest(f"{key}\0position".encode()) / 2**64


def _stepped(before: Shares, goal: Shares, max_step: float) -> Shares:
    """Returns shares one step closer to the goal, if it is far enough."""
    if before.distance(goal) < DEAD_BAND:
        return before
    return before.toward(goal, max_step)


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


def _weighted_choice(key: str, weights: dict[str, float]) -> str | None:
    """Returns a name by weighted rendezvous hashing; None without weights.

    A weight that changes moves only keys to or from its own name.
    """
    scores = {
        name: -math.log((_digest(key, name) + 1) / (2**64 + 1)) / weight
        for name, weight in weights.items()
        if weight > 0.0
    }
    return min(scores, key=scores.__getitem__) if scores else None


def _digest(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0in\0{name}".encode())
