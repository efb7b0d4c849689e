"""Entities of the intent that the operations of a change read or write."""

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


class Entity(NamedTuple):
    """An entity of the intent, identified by type and name."""

    entity_type: str
    name: str


def referenced_entities(operations: tuple[Operation, ...]) -> frozenset[Entity]:
    """Returns the entities that operations read or write.

    Examples:
        >>> sorted(referenced_entities((SetCap("austro", 40),)))
        [Entity(entity_type='region', name='austro')]
    """
    return frozenset(entity for o in operations for entity in _referenced_by(o))


def is_independent(operations: tuple[Operation, ...], other: Change) -> bool:
    """Returns whether operations share no referenced entity with a change."""
    referenced = referenced_entities(other.operations)
    return referenced.isdisjoint(referenced_entities(operations))


def _referenced_by(operation: Operation) -> tuple[Entity, ...]:
    match operation:
        case DefineRegion(region):
            return Entity("region", region.name), *_domains(region.domains)
        case DefineSeat(seat):
            return Entity("entry-host", seat.name), *_domains((seat.domain,))
        case RemoveSeat(name):
            return (Entity("entry-host", name),)
        case DefineService(service):
            targets = service.targets.values()
            names = (Entity("target", t.name) for t in targets)
            domains = _domains(tuple(t.domain for t in targets))
            return Entity("service", service.name), *names, *domains
        case RemoveService(name):
            return (Entity("service", name),)
        case DefineBlock(block):
            return Entity("block", block.prefix), Entity("region", block.region)
        case SetCap(region):
            return (Entity("region", region),)
        case StartShift(shift):
            return (
                Entity("shift", shift.name),
                Entity("service", shift.service),
                Entity("region", shift.source),
                Entity("region", shift.destination),
            )
        case AbortShift(name) | EndShift(name):
            return (Entity("shift", name),)
        case StartDrain((subject, name, *_)) | EndDrain(subject, name):
            return (Entity(str(subject), name),)
    return ()


def _domains(names: tuple[str, ...]) -> tuple[Entity, ...]:
    return tuple(Entity("domain", name) for name in names)
