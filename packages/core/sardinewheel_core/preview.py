"""Preview of a change: differences, and guarantees that it puts at risk.

The functions are pure: they depend only on the intent in force, the operations
and the current usage.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from sardinewheel_core.change import (
    Change,
    DefineRegion,
    Operation,
    RemoveService,
    SetCap,
    StartShift,
    apply_change,
)
from sardinewheel_core.errors import ChangeRejectedError, Finding
from sardinewheel_core.intent import Intent, Service, Subject


class Promise(StrEnum):
    """A guarantee that a change may put at risk.

    An operator who names the guarantee forces the change.

    ``DRAIN_ROOM``: the remaining capacity covers the load of the targets,
    regions or entry hosts that are drained or removed.
    ``REGION_CAP``: a region's cap covers the weight units in flight.
    ``SERVICE_IN_USE``: a service with requests in flight is not removed.
    """

    DRAIN_ROOM = "drain-room"
    REGION_CAP = "region-cap"
    SERVICE_IN_USE = "service-in-use"


class Strain(NamedTuple):
    """A guarantee that a change would put at risk.

    Attributes:
        promise: The guarantee; an operator names it to force the change.
        subject: What lacks capacity, such as ``service pedidos``.
        unit: Unit of ``needed`` and ``left``.
        needed: Required amount.
        left: Amount that remains after the change.
    """

    promise: Promise
    subject: str
    unit: str
    needed: int
    left: int

    def __str__(self) -> str:
        return (
            f"{self.promise}: {self.subject} needs {self.needed} {self.unit},"
            f" the change leaves {self.left}"
        )


class RegionUse(NamedTuple):
    """Weight units in flight in one region."""

    region: str
    weight: int


class ServiceUse(NamedTuple):
    """Number of requests in flight of one service."""

    service: str
    in_flight: int


class Usage(NamedTuple):
    """Requests in flight by region and by service; either may be partial."""

    regions: tuple[RegionUse, ...] = ()
    services: tuple[ServiceUse, ...] = ()

    def weight(self, region: str) -> int:
        """Returns the weight units in flight in a region."""
        return sum(u.weight for u in self.regions if u.region == region)

    def in_flight(self, service: str) -> int:
        """Returns the number of requests in flight of a service."""
        return sum(u.in_flight for u in self.services if u.service == service)

    def element_wise_max(self, other: "Usage") -> "Usage":
        """Returns the larger value per region and per service of two usages.

        Each usage may cover only some of the hosts.
        """
        regions = {u.region for u in self.regions + other.regions}
        services = {u.service for u in self.services + other.services}
        return Usage(
            tuple(
                RegionUse(name, max(self.weight(name), other.weight(name)))
                for name in sorted(regions)
            ),
            tuple(
                ServiceUse(
                    name, max(self.in_flight(name), other.in_flight(name))
                )
                for name in sorted(services)
            ),
        )


class Difference(NamedTuple):
    """One difference between two intents.

    Attributes:
        place: Path of the value, such as ``regions.austro.cap``.
        before: Value before the change, as text; empty when absent.
        after: Value after the change, as text; empty when absent.
    """

    place: str
    before: str
    after: str


class Preview(NamedTuple):
    """Effect of a change if it were applied now.

    Attributes:
        version: Version that the preview is based on.
        findings: Validation errors of the change.
        differences: Differences that the change would make.
        strains: Guarantees that the change would put at risk.
    """

    version: int
    findings: tuple[Finding, ...] = ()
    differences: tuple[Difference, ...] = ()
    strains: tuple[Strain, ...] = ()

    def unforced(self, forced: tuple[str, ...]) -> tuple[Strain, ...]:
        """Returns the guarantees at risk that the operator did not force."""
        return tuple(s for s in self.strains if s.promise not in forced)


def preview(
    intent: Intent, operations: tuple[Operation, ...], usage: Usage
) -> Preview:
    """Returns the effect that operations would have on an intent.

    Args:
        intent: Intent in force.
        operations: Operations of the change.
        usage: Current usage.

    Examples:
        >>> from sardinewheel_core.intent import Region
        >>> define = DefineRegion(Region("austro", 40, ("cuenca-centro",)))
        >>> preview(Intent.empty(), (define,), Usage()).differences[0].place
        'regions.austro'
    """
    change = Change(intent.version + 1, "preview", "", operations)
    try:
        changed = apply_change(intent, change)
    except ChangeRejectedError as error:
        return Preview(intent.version, findings=error.findings)
    strains = [
        *_capacity_strains(intent, changed, usage),
        *_entry_host_strains(intent, changed),
        *_cap_strains(changed, operations, usage),
        *_removal_strains(operations, usage),
    ]
    return Preview(
        intent.version,
        differences=differences(intent, changed),
        strains=tuple(dict.fromkeys(strains)),
    )


def force_findings(forced: tuple[str, ...]) -> tuple[Finding, ...]:
    """Returns a finding for each forced name that is not a known guarantee."""
    known = tuple(str(promise) for promise in Promise)
    return tuple(
        Finding(f"force[{index}]", repr(name), f"one of {known}")
        for index, name in enumerate(forced)
        if name not in known
    )


def differences(before: Intent, after: Intent) -> tuple[Difference, ...]:
    """Returns the differences between two intents.

    They are ordered by field of the intent, then by key.
    """
    found: list[Difference] = []
    for name in Intent._fields:
        old, new = getattr(before, name), getattr(after, name)
        if isinstance(old, Mapping):
            found += _mapping_differences(name, old, new)
    return tuple(found)


def _mapping_differences(
    path: str, old: Mapping, new: Mapping
) -> list[Difference]:
    found: list[Difference] = []
    for key in sorted(old.keys() | new.keys()):
        name = ".".join(key) if isinstance(key, tuple) else key
        item_path = f"{path}.{name}"
        if key in old and key in new:
            found += _value_differences(item_path, old[key], new[key])
        else:
            found.append(
                Difference(item_path, _text(old.get(key)), _text(new.get(key)))
            )
    return found


def _value_differences(path: str, old, new) -> list[Difference]:
    found: list[Difference] = []
    for field in old._fields:
        before, after = getattr(old, field), getattr(new, field)
        item_path = f"{path}.{field}"
        if before == after:
            continue
        if isinstance(before, Mapping):
            found += _mapping_differences(item_path, before, after)
        else:
            found.append(Difference(item_path, _text(before), _text(after)))
    return found


def _text(value) -> str:
    if value is None:
        return ""
    if not hasattr(value, "_fields"):
        return str(value)
    fields = zip(value._fields, value, strict=True)
    plain = ((k, v) for k, v in fields if not isinstance(v, Mapping))
    return " ".join(f"{name}={item}" for name, item in plain)


def _available_slots(intent: Intent, service: Service) -> int:
    return sum(
        target.slots
        for target in service.targets.values()
        if not intent.is_drained(Subject.TARGET, target.name)
    )


def _available_regions(intent: Intent, service: Service) -> set[str]:
    """Returns the regions with an undrained target of the service."""
    regions = {
        intent.region_of(target.domain)
        for target in service.targets.values()
        if not intent.is_drained(Subject.TARGET, target.name)
    }
    return {region for region in regions if region is not None}


def _capacity_strains(
    before: Intent, after: Intent, usage: Usage
) -> list[Strain]:
    """Checks that services whose targets are removed keep enough capacity."""
    strains = []
    for name, old in before.services.items():
        new = after.services.get(name)
        if new is None:
            continue
        slots_before, slots_after = (
            _available_slots(before, old),
            _available_slots(after, new),
        )
        reserved = sum(kind.reserved for kind in new.kinds.values())
        needed = max(usage.in_flight(name), round(reserved * slots_before))
        if slots_after < slots_before and slots_after < max(needed, 1):
            strains.append(
                _capacity_strain(
                    f"service {name}", "slots", needed, slots_after
                )
            )
        lost = _available_regions(before, old) - _available_regions(after, new)
        if lost:
            strains += _region_strains(before, after, new, usage)
    return strains


def _region_strains(
    before: Intent, after: Intent, service: Service, usage: Usage
) -> list[Strain]:
    """Checks that the caps of the remaining regions cover the load."""
    old = before.services[service.name]
    needed = sum(usage.weight(r) for r in _available_regions(before, old))
    available_regions = _available_regions(after, service)
    left = sum(after.regions[region].cap for region in available_regions)
    if left >= max(needed, 1):
        return []
    subject = f"service {service.name}"
    return [_capacity_strain(subject, "weight units of cap", needed, left)]


def _capacity_strain(subject: str, unit: str, needed: int, left: int) -> Strain:
    return Strain(Promise.DRAIN_ROOM, subject, unit, max(needed, 1), left)


def _entry_host_strains(before: Intent, after: Intent) -> list[Strain]:
    """Checks that each region keeps at least one undrained entry host."""
    strains = []
    for name in before.regions:
        seats_before = _available_seats(before, name)
        seats_after = (
            _available_seats(after, name) if name in after.regions else 0
        )
        if seats_before and not seats_after:
            strains.append(
                _capacity_strain(f"region {name}", "entry hosts", 1, 0)
            )
    return strains


def _available_seats(intent: Intent, region: str) -> int:
    return sum(
        not intent.is_drained(Subject.ENTRY_HOST, seat.name)
        for seat in intent.seats_of_region(region)
    )


def _cap_strains(
    after: Intent, operations: tuple[Operation, ...], usage: Usage
) -> list[Strain]:
    """Checks region caps against the current load plus load to be shifted."""
    strains = []
    for operation in operations:
        match operation:
            case SetCap(region) | DefineRegion((region, *_)):
                needed = usage.weight(region)
            case StartShift(shift):
                region = shift.destination
                moved = shift.share * usage.weight(shift.source)
                needed = usage.weight(region) + round(moved)
            case _:
                continue
        cap = after.regions[region].cap
        if cap < needed:
            strains.append(
                Strain(
                    Promise.REGION_CAP,
                    f"region {region}",
                    "weight units",
                    needed,
                    cap,
                )
            )
    return strains


def _removal_strains(
    operations: tuple[Operation, ...], usage: Usage
) -> list[Strain]:
    """Checks that no removed service has requests in flight."""
    return [
        Strain(
            Promise.SERVICE_IN_USE,
            f"service {operation.name}",
            "requests in flight",
            usage.in_flight(operation.name),
            0,
        )
        for operation in operations
        if isinstance(operation, RemoveService)
        and usage.in_flight(operation.name)
    ]
