"""Changes to the desired configuration (:class:`Intent`).

A :class:`Change` is a list of operations that is applied atomically. Applying
a change is a pure function, so entry hosts that apply the same sequence of
changes hold the same intent.
"""

from types import MappingProxyType
from typing import NamedTuple

from sardinewheel_core.blocks import parse_block
from sardinewheel_core.errors import ChangeRejectedError, Finding
from sardinewheel_core.intent import (
    Block,
    Drain,
    Intent,
    Region,
    Seat,
    Service,
    Shift,
    Subject,
)


class DefineRegion(NamedTuple):
    """Creates or replaces a region."""

    region: Region


class DefineSeat(NamedTuple):
    """Creates or replaces a seat."""

    seat: Seat


class RemoveSeat(NamedTuple):
    """Removes a seat."""

    name: str


class DefineService(NamedTuple):
    """Creates or replaces a service."""

    service: Service


class RemoveService(NamedTuple):
    """Removes a service and its shifts."""

    name: str


class DefineBlock(NamedTuple):
    """Assigns a block of caller addresses to a region."""

    block: Block


class SetCap(NamedTuple):
    """Sets the maximum weight units in flight in a region."""

    region: str
    cap: int


class StartShift(NamedTuple):
    """Starts moving traffic from one region to another."""

    shift: Shift


class AbortShift(NamedTuple):
    """Reverses a shift: its moved share decreases to 0 at the same rate."""

    name: str


class EndShift(NamedTuple):
    """Removes a shift; its traffic is served by the source region again."""

    name: str


class StartDrain(NamedTuple):
    """Starts draining a target, entry host, failure domain or region."""

    drain: Drain


class EndDrain(NamedTuple):
    """Ends a drain, so that its subject receives requests again."""

    subject: Subject
    name: str


Operation = (
    DefineRegion
    | DefineSeat
    | RemoveSeat
    | DefineService
    | RemoveService
    | DefineBlock
    | SetCap
    | StartShift
    | AbortShift
    | EndShift
    | StartDrain
    | EndDrain
)

OPERATION_TYPES: tuple[type, ...] = (
    DefineRegion,
    DefineSeat,
    RemoveSeat,
    DefineService,
    RemoveService,
    DefineBlock,
    SetCap,
    StartShift,
    AbortShift,
    EndShift,
    StartDrain,
    EndDrain,
)


class Change(NamedTuple):
    """One configuration change and the version that it creates.

    Attributes:
        version: Version that the change creates.
        change_id: Unique id; looked up when the reply to a submission was
            lost.
        author: Operator who made the change.
        operations: Operations, applied in order.
    """

    version: int
    change_id: str
    author: str
    operations: tuple[Operation, ...]


def apply_change(intent: Intent, change: Change) -> Intent:
    """Returns the intent that results from a change.

    Args:
        intent: Intent at the version immediately before the change.
        change: Change to apply.

    Raises:
        ChangeRejectedError: The version of the change is not the next one,
            or an operation refers to an undefined name or would make the
            intent inconsistent. Carries all findings.

    Examples:
        >>> from sardinewheel_core.intent import Intent, Region
        >>> region = Region("austro", 40, ("cuenca-centro",))
        >>> change = Change(1, "c-1", "ana", (DefineRegion(region),))
        >>> apply_change(Intent.empty(), change).regions["austro"].cap
        40
    """
    if change.version != intent.version + 1:
        finding = Finding(
            "version", str(change.version), str(intent.version + 1)
        )
        raise ChangeRejectedError((finding,))
    findings: list[Finding] = []
    for index, operation in enumerate(change.operations):
        found = _findings(intent, operation, f"operations[{index}]")
        findings.extend(found)
        if not found:
            intent = _apply(intent, operation)
    if findings:
        raise ChangeRejectedError(tuple(findings))
    return intent._replace(version=change.version)


def _with(mapping, key, value):
    return MappingProxyType({**mapping, key: value})


def _without(mapping, key):
    return MappingProxyType({k: v for k, v in mapping.items() if k != key})


def _apply(intent: Intent, operation: Operation) -> Intent:
    match operation:
        case DefineRegion(region):
            return intent._replace(
                regions=_with(intent.regions, region.name, region)
            )
        case DefineSeat(seat):
            return intent._replace(seats=_with(intent.seats, seat.name, seat))
        case RemoveSeat(name):
            return intent._replace(seats=_without(intent.seats, name))
        case DefineService(service):
            return intent._replace(
                services=_with(intent.services, service.name, service)
            )
        case RemoveService(name):
            shifts = {
                k: v for k, v in intent.shifts.items() if v.service != name
            }
            return intent._replace(
                services=_without(intent.services, name),
                shifts=MappingProxyType(shifts),
            )
        case DefineBlock(block):
            return intent._replace(
                blocks=_with(intent.blocks, block.prefix, block)
            )
        case SetCap(region, cap):
            changed = intent.regions[region]._replace(cap=cap)
            return intent._replace(
                regions=_with(intent.regions, region, changed)
            )
        case StartShift(shift):
            return intent._replace(
                shifts=_with(intent.shifts, shift.name, shift)
            )
        case AbortShift(name):
            aborted = intent.shifts[name]._replace(aborted=True)
            return intent._replace(shifts=_with(intent.shifts, name, aborted))
        case EndShift(name):
            return intent._replace(shifts=_without(intent.shifts, name))
        case StartDrain(drain):
            key = (drain.subject, drain.name)
            return intent._replace(drains=_with(intent.drains, key, drain))
        case EndDrain(subject, name):
            return intent._replace(
                drains=_without(intent.drains, (subject, name))
            )


def _findings(intent: Intent, operation: Operation, path: str) -> list[Finding]:
    """Returns the findings of validating one operation against an intent."""

    def check_known(value: str, names, what: str) -> list[Finding]:
        if value in names:
            return []
        return [Finding(path, repr(value), f"{what}, one of {sorted(names)}")]

    domains = {d for r in intent.regions.values() for d in r.domains}
    match operation:
        case DefineRegion(region):
            return _cap_findings(region.cap, path) + _domain_findings(
                intent, region, path
            )
        case DefineSeat(seat):
            return check_known(seat.domain, domains, "a failure domain")
        case RemoveSeat(name):
            return check_known(name, intent.seats, "a seat")
        case DefineService(service):
            return _service_findings(service, domains, path)
        case RemoveService(name):
            return check_known(name, intent.services, "a service")
        case DefineBlock(block):
            found = check_known(block.region, intent.regions, "a region")
            return found + _block_findings(block, path)
        case SetCap(region, cap):
            return check_known(
                region, intent.regions, "a region"
            ) + _cap_findings(cap, path)
        case StartShift(shift):
            found = check_known(shift.service, intent.services, "a service")
            found += check_known(shift.source, intent.regions, "a region")
            found += check_known(shift.destination, intent.regions, "a region")
            return found + _shift_findings(intent, shift, path)
        case AbortShift(name) | EndShift(name):
            return check_known(name, intent.shifts, "a shift")
        case StartDrain(drain):
            return check_known(
                drain.name,
                _names_of(intent, drain.subject),
                f"a {drain.subject}",
            )
        case EndDrain(subject, name):
            drained = {n for s, n in intent.drains if s == subject}
            return check_known(name, drained, f"a drained {subject}")
    return [Finding(path, type(operation).__name__, "a known operation")]


def _names_of(intent: Intent, subject: Subject) -> set[str]:
    if subject is Subject.REGION:
        return set(intent.regions)
    if subject is Subject.DOMAIN:
        return {d for r in intent.regions.values() for d in r.domains}
    if subject is Subject.ENTRY_HOST:
        return set(intent.seats)
    return {t for s in intent.services.values() for t in s.targets}


def _block_findings(block: Block, path: str) -> list[Finding]:
    if parse_block(block.prefix) is not None:
        return []
    expected = "an address prefix such as 203.0.113.0/24"
    return [Finding(f"{path}.prefix", repr(block.prefix), expected)]


def _cap_findings(cap: int, path: str) -> list[Finding]:
    if cap >= 0:
        return []
    return [Finding(f"{path}.cap", str(cap), "0 or more weight units")]


def _domain_findings(
    intent: Intent, region: Region, path: str
) -> list[Finding]:
    found = []
    for domain in region.domains:
        holder = intent.region_of(domain)
        if holder not in (None, region.name):
            found.append(
                Finding(
                    f"{path}.domains",
                    repr(domain),
                    f"a failure domain outside region {holder!r}",
                )
            )
    return found


def _service_findings(
    service: Service, domains: set[str], path: str
) -> list[Finding]:
    found = []
    for target in service.targets.values():
        item_path = f"{path}.targets.{target.name}"
        if target.domain not in domains:
            found.append(
                Finding(
                    f"{item_path}.domain",
                    repr(target.domain),
                    f"a failure domain, one of {sorted(domains)}",
                )
            )
        if target.slots < 1:
            found.append(
                Finding(f"{item_path}.slots", str(target.slots), "1 or more")
            )
    for kind in service.kinds.values():
        item_path = f"{path}.kinds.{kind.name}"
        if not 0 <= kind.reserved < 1:
            found.append(
                Finding(
                    f"{item_path}.reserved", str(kind.reserved), "0 to below 1"
                )
            )
        if kind.weight < 1:
            found.append(
                Finding(f"{item_path}.weight", str(kind.weight), "1 or more")
            )
    return found


def _shift_findings(intent: Intent, shift: Shift, path: str) -> list[Finding]:
    found = []
    if shift.name in intent.shifts:
        found.append(
            Finding(f"{path}.name", repr(shift.name), "a name not in use")
        )
    if shift.source == shift.destination:
        found.append(
            Finding(
                f"{path}.destination",
                repr(shift.destination),
                "a region other than the source",
            )
        )
    if not 0 < shift.share <= 1:
        found.append(
            Finding(f"{path}.share", str(shift.share), "above 0, at most 1")
        )
    if shift.cap < 1:
        found.append(Finding(f"{path}.cap", str(shift.cap), "1 or more"))
    if shift.interval_s <= 0 or shift.pace_s <= 0:
        found.append(
            Finding(
                f"{path}.interval_s",
                f"{shift.interval_s}, pace {shift.pace_s}",
                "seconds above 0",
            )
        )
    return found
