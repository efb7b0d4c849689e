"""The steering intent: what the operators want to be in force.

An :class:`Intent` is immutable. Changes to it live in
:mod:`sardinewheel_core.change`.
"""

from collections.abc import Iterator, Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple


class Target(NamedTuple):
    """A back end that executes requests of one service.

    Attributes:
        name: Unique name of the target.
        domain: Failure domain in which the target stands.
        address: ``host:port`` of its HTTP interface.
        slots: Number of requests it executes at a time.
    """

    name: str
    domain: str
    address: str
    slots: int


class Kind(NamedTuple):
    """A class of requests within a service.

    Attributes:
        name: Name of the kind, unique within its service.
        priority: 0 is served first.
        reserved: Share of the slots, 0 to 1, that kinds of a less urgent
            priority never occupy.
        weight: Units of a region's cap that one request occupies, unless the
            request says otherwise.
        repeatable: Whether a request may be executed more than once.
    """

    name: str
    priority: int
    reserved: float = 0.0
    weight: int = 1
    repeatable: bool = True


class Service(NamedTuple):
    """A service and the targets that execute its requests."""

    name: str
    kinds: Mapping[str, Kind]
    targets: Mapping[str, Target]


class Region(NamedTuple):
    """A region with its failure domains.

    Attributes:
        name: Unique name of the region.
        cap: Weight units that may be in flight in the region at a time.
        domains: Names of its failure domains.
    """

    name: str
    cap: int
    domains: tuple[str, ...]


class Seat(NamedTuple):
    """A named position for an entry host; the process in it is replaceable.

    Attributes:
        name: Unique name of the seat; an entry host is known by it.
        domain: Failure domain in which it stands.
    """

    name: str
    domain: str


class Block(NamedTuple):
    """A block of callers' addresses and the region it belongs to."""

    prefix: str
    region: str


class Shift(NamedTuple):
    """A movement of a service's traffic from one region to another.

    Attributes:
        name: Unique name of the shift.
        service: Service whose traffic moves.
        source: Region the traffic belongs to.
        destination: Region the traffic moves to.
        share: Share of the source's traffic to move in the end, 0 to 1.
        cap: Most weight units moved in any interval of ``interval_s``.
        interval_s: Length of that interval in seconds.
        pace_s: Seconds in which the moved share grows from 0 to ``share``.
        aborted: Whether the moved share returns to 0 at the same pace.
    """

    name: str
    service: str
    source: str
    destination: str
    share: float
    cap: int
    interval_s: float = 10.0
    pace_s: float = 60.0
    aborted: bool = False


class Subject(StrEnum):
    """What a drain empties."""

    TARGET = "target"
    ENTRY_HOST = "entry-host"
    DOMAIN = "domain"
    REGION = "region"


class Drain(NamedTuple):
    """An order to empty a place.

    Attributes:
        subject: Sort of the place.
        name: Name of the place.
        within_s: Seconds within which the operator expects it to be empty.
    """

    subject: Subject
    name: str
    within_s: float = 30.0


class Intent(NamedTuple):
    """All that is in force at one version of the configuration."""

    version: int
    regions: Mapping[str, Region]
    seats: Mapping[str, Seat]
    services: Mapping[str, Service]
    blocks: Mapping[str, Block]
    shifts: Mapping[str, Shift]
    drains: Mapping[tuple[Subject, str], Drain]

    @classmethod
    def empty(cls) -> "Intent":
        """Returns the intent of version 0, which defines nothing."""
        nothing = MappingProxyType({})
        return cls(0, nothing, nothing, nothing, nothing, nothing, nothing)

    def region_of(self, domain: str) -> str | None:
        """Returns the region that a failure domain belongs to."""
        for region in self.regions.values():
            if domain in region.domains:
                return region.name
        return None

    def seats_of_region(self, region: str) -> list[Seat]:
        """Returns the seats of a region, ordered by name."""
        domains = self.regions[region].domains
        seats = [s for s in self.seats.values() if s.domain in domains]
        return sorted(seats)

    def targets_of_domain(self, domain: str) -> Iterator[tuple[str, Target]]:
        """Yields service name and target for each target of a domain."""
        for service in self.services.values():
            for target in service.targets.values():
                if target.domain == domain:
                    yield service.name, target

    def target(self, name: str) -> Target | None:
        """Returns the target of that name, whatever its service."""
        for service in self.services.values():
            if name in service.targets:
                return service.targets[name]
        return None

    def is_drained(self, subject: Subject, name: str) -> bool:
        """Says whether a place is ordered to be empty, directly or not."""
        if (subject, name) in self.drains:
            return True
        if subject is Subject.TARGET:
            target = self.target(name)
            return target is not None and self.is_drained(
                Subject.DOMAIN, target.domain
            )
        if subject is Subject.ENTRY_HOST:
            return False
        if subject is Subject.DOMAIN:
            region = self.region_of(name)
            return region is not None and self.is_drained(
                Subject.REGION, region
            )
        return False
