"""Which things of the intent an operation touches."""

from typing import NamedTuple

from sardinewheel_core.change import (
    AbortShift,
    Change,
    DefineBlock,
    DefineRegion,
    DefineSeat,
    DefineService,
    EndDrain,
    EndShift,
    Operation,
    RemoveSeat,
    RemoveService,
    SetCap,
    StartDrain,
    StartShift,
)


class Thing(NamedTuple):
    """A thing of the intent, by sort and name."""

    sort: str
    name: str


def things_touched(operations: tuple[Operation, ...]) -> frozenset[Thing]:
    """Returns the things that operations read or write.

    Examples:
        >>> sorted(things_touched((SetCap("austro", 40),)))
        [Thing(sort='region', name='austro')]
    """
    return frozenset(thing for o in operations for thing in _touched(o))


def is_independent(operations: tuple[Operation, ...], other: Change) -> bool:
    """Says whether operations touch nothing that a change touches."""
    touched = things_touched(other.operations)
    return touched.isdisjoint(things_touched(operations))


def _touched(operation: Operation) -> tuple[Thing, ...]:
    match operation:
        case DefineRegion(region):
            return Thing("region", region.name), *_domains(region.domains)
        case DefineSeat(seat):
            return Thing("entry-host", seat.name), *_domains((seat.domain,))
        case RemoveSeat(name):
            return (Thing("entry-host", name),)
        case DefineService(service):
            targets = service.targets.values()
            names = (Thing("target", t.name) for t in targets)
            domains = _domains(tuple(t.domain for t in targets))
            return Thing("service", service.name), *names, *domains
        case RemoveService(name):
            return (Thing("service", name),)
        case DefineBlock(block):
            return Thing("block", block.prefix), Thing("region", block.region)
        case SetCap(region):
            return (Thing("region", region),)
        case StartShift(shift):
            return (
                Thing("shift", shift.name),
                Thing("service", shift.service),
                Thing("region", shift.source),
                Thing("region", shift.destination),
            )
        case AbortShift(name) | EndShift(name):
            return (Thing("shift", name),)
        case StartDrain((subject, name, *_)) | EndDrain(subject, name):
            return (Thing(str(subject), name),)
    return ()


def _domains(names: tuple[str, ...]) -> tuple[Thing, ...]:
    return tuple(Thing("domain", name) for name in names)
