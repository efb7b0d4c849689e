"""The intent: the configuration that operators want to be in force.

An :class:`Intent` is immutable. Changes to it are defined in
:mod:`sardinewheel_core.change`.
"""

from collections.abc import Iterator, Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple


class Target(NamedTuple):
    """A back end that executes the requests of one service.

    Attributes:
        name: Unique name of the target.
        domain: Failure domain that contains the target.
        address: ``host:port`` of its HTTP interface.
        slots: Maximum number of requests it executes concurrently.
    """

    name: str
    domain: str
    address: str
    slots: int


class Kind(NamedTuple):
    """A class of requests within a service.

    Attributes:
        name: Name of the kind, unique within its service.
        priority: Priority; 0 is the highest.
        reserved: Fraction of the slots, at least 0 and below 1, that kinds of
            a lower priority may not occupy.
        weight: Units of the region cap that one request occupies, unless the
            request states its own weight.
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
        cap: Maximum weight units in flight in the region.
        domains: Names of its failure domains.
    """

    name: str
    cap: int
    domains: tuple[str, ...]


class Seat(NamedTuple):
    """A stable identity for one entry host process, which may be replaced.

    Attributes:
        name: Unique name of the seat, used as the name of its entry host.
        domain: Failure domain that contains the seat.
    """

    name: str
    domain: str


class Block(NamedTuple):
    """A block of caller addresses and the region that it is assigned to."""

    prefix: str
    region: str


class Shift(NamedTuple):
    """A gradual move of a service's traffic from one region to another.

    Attributes:
        name: Unique name of the shift.
        service: Service whose traffic is moved.
        source: Region whose traffic is moved.
        destination: Region that receives the traffic.
        share: Final fraction of the source's traffic to move, above 0, at
            most 1.
        cap: Maximum weight units moved in any interval of ``interval_s``.
        interval_s: Length of that interval in seconds.
        pace_s: Seconds in which the moved share grows from 0 to ``share``.
        aborted: Whether the moved share decreases to 0 at the same rate.
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
    """What a drain applies to."""

    TARGET = "target"
    ENTRY_HOST = "entry-host"
    DOMAIN = "domain"
    REGION = "region"


class Drain(NamedTuple):
    """An operator's order to drain a target, host, failure domain or region.

    Attributes:
        subject: What is drained.
        name: Name of what is drained.
        within_s: Seconds within which the operator expects the drain to
            complete.
    """

    subject: Subject
    name: str
    within_s: float = 30.0


class Intent(NamedTuple):
    """The complete configuration at one version."""

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
        """Returns the region that contains a failure domain, if any."""
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
        """Yields service name and target for the targets of a domain."""
        for service in self.services.values():
            for target in service.targets.values():
                if target.domain == domain:
                    yield service.name, target

    def target(self, name: str) -> Target | None:
        """Returns the target with a name, searching all services."""
        for service in self.services.values():
            if name in service.targets:
                return service.targets[name]
        return None

    def is_drained(self, subject: Subject, name: str) -> bool:
        """Returns whether a subject is drained, directly or by its container.

        A target is also drained with its failure domain, and a failure domain
        with its region. An entry host is drained only directly.
        """
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
