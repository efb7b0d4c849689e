"""Decides which part of a failure domain's requests is executed where.

Designed for services whose targets and callers are spread unevenly over
regions, with narrow links between them, and for targets that keep the objects
that they handled last. Requests stay near while there is room, and while the
targets there can keep their objects; the rest goes where room is left. Shares
follow room and demand, never the load that they cause themselves, so there is
no loop that could swing.
"""

import math

import xxhash

from sardinewheel_gateway.policy.shares import Room, Shares, Supply

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
        keyless_shares: The same for requests without an object, for which it
            doesn't matter what targets keep.
        updated_at: Time of the last update, by service.
        discovery_until: Time until which ``ASSUMED_OBJECTS`` applies, by
            service; infinite until a first object is known.
    """

    def __init__(self, domain: str, regions: dict[str, str]):
        self.domain = domain
        self.regions = regions
        self.room: dict[str, dict[str, Room]] = {}
        self.shares: dict[str, dict[str, Shares]] = {}
        self.keyless_shares: dict[str, dict[str, Shares]] = {}
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
        elapsed_s = now - self.updated_at.get(service, now)
        self.updated_at[service] = now
        step = MAX_STEP_PER_S * min(elapsed_s, MAX_INTERVAL_S)
        objects = self._expected_objects(service, objects, now)
        keyed = Supply(room, demand, objects, self.regions)
        self._move(self.shares, service, keyed, step)
        keyless = keyed._replace(objects=0)
        self._move(self.keyless_shares, service, keyless, step)

    def _move(
        self,
        shares: dict[str, dict[str, Shares]],
        service: str,
        supply: Supply,
        step: float,
    ) -> None:
        """Moves shares a step toward the goal, the first ones at once."""
        goals = {domain: supply.goal(domain) for domain in self.regions}
        before = shares.get(service, goals)
        shares[service] = {
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

    def keyless_group(self, service: str, key: str) -> Group:
        """Returns the failure domains for a request without an object.

        Args:
            service: Name of the service.
            key: Any text, another one for each request.
        """
        return self._group(service, key, self.keyless_shares)

    def group(self, service: str, key: str) -> Group:
        """Returns the failure domains that execute requests for an object.

        Args:
            service: Name of the service.
            key: Key of the object.
        """
        return self._group(service, key, self.shares)

    def _group(
        self, service: str, key: str, shares: dict[str, dict[str, Shares]]
    ) -> Group:
        by_domain = shares.get(service)
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
        return self._spilled_group(service, key, by_domain)

    def _spilled_group(
        self, service: str, key: str, shares: dict[str, Shares]
    ) -> Group:
        """Returns the group in another region that knows the object best."""
        region = _weighted_choice(key, shares[self.domain].regions)
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
        there = shares[domain]
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
