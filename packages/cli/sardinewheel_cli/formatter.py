"""Formats changes as commands; parsing them returns the same changes."""

import json
import re
from decimal import Decimal

from sardinewheel_core.change import (
    AbortShift,
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
from sardinewheel_core.intent import (
    Intent,
    Kind,
    Region,
    Service,
    Shift,
    Subject,
    Target,
)

from sardinewheel_cli.parser import keywords

UNQUOTED_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_./:~@*+-]*")
UNQUOTED_ADDRESS = re.compile(r'[^\s",#]+:[0-9]+')
SUBJECT_KEYWORDS = {
    Subject.TARGET: "target",
    Subject.ENTRY_HOST: "host",
    Subject.DOMAIN: "domain",
    Subject.REGION: "region",
}


def format_operation(operation: Operation) -> str:
    """Formats an operation as a command.

    Examples:
        >>> format_operation(SetCap("austro", 40))
        'set cap austro 40'
    """
    match operation:
        case DefineRegion(region):
            return _region(region)
        case DefineSeat(seat):
            return f"define seat {_name(seat.name)} in {_name(seat.domain)}"
        case DefineBlock(block):
            return (
                f"define block {_name(block.prefix)} in {_name(block.region)}"
            )
        case DefineService(service):
            return _service(service)
        case RemoveSeat(name):
            return f"remove seat {_name(name)}"
        case RemoveService(name):
            return f"remove service {_name(name)}"
        case SetCap(region, cap):
            return f"set cap {_name(region)} {cap}"
        case StartShift(shift):
            return _shift(shift)
        case AbortShift(name):
            return f"abort shift {_name(name)}"
        case EndShift(name):
            return f"end shift {_name(name)}"
        case StartDrain(drain):
            drained = _subject(drain.subject, drain.name)
            return f"drain {drained} within {_seconds(drain.within_s)}"
        case EndDrain(subject, name):
            return f"undrain {_subject(subject, name)}"
    raise TypeError(f"no command for {type(operation).__name__}")


def format_intent(intent: Intent) -> list[str]:
    """Returns the commands that create an intent from an empty one."""
    operations: list[Operation] = [
        *(DefineRegion(region) for region in intent.regions.values()),
        *(DefineSeat(seat) for seat in intent.seats.values()),
        *(DefineService(service) for service in intent.services.values()),
        *(DefineBlock(block) for block in intent.blocks.values()),
    ]
    for shift in intent.shifts.values():
        operations.append(StartShift(shift._replace(aborted=False)))
        if shift.aborted:
            operations.append(AbortShift(shift.name))
    operations += [StartDrain(drain) for drain in intent.drains.values()]
    return [format_operation(operation) for operation in operations]


def _name(text: str) -> str:
    if UNQUOTED_NAME.fullmatch(text) and text not in keywords():
        return text
    return json.dumps(text)


def _address(text: str) -> str:
    return text if UNQUOTED_ADDRESS.fullmatch(text) else json.dumps(text)


def _number(value: float, factor: int = 1) -> str:
    """Formats a number so that parsing returns the same value."""
    text = format(Decimal(repr(float(value))) * factor, "f")
    return text.rstrip("0").rstrip(".") if "." in text else text


def _percent(share: float) -> str:
    return f"{_number(share, 100)}%"


def _seconds(duration_s: float) -> str:
    return f"{_number(duration_s)}s"


def _subject(subject: Subject, name: str) -> str:
    return f"{SUBJECT_KEYWORDS[subject]} {_name(name)}"


def _service(service: Service) -> str:
    lines = [f"define service {_name(service.name)}"]
    lines += [_kind(kind) for kind in service.kinds.values()]
    lines += [_target(target) for target in service.targets.values()]
    return "\n  ".join(lines)


def _region(region: Region) -> str:
    text = f"define region {_name(region.name)} cap {region.cap}"
    if not region.domains:
        return text
    domains = ", ".join(_name(domain) for domain in region.domains)
    return f"{text} domains {domains}"


def _kind(kind: Kind) -> str:
    words = [f"kind {_name(kind.name)} priority {kind.priority}"]
    if kind.weight != 1:
        words.append(f"weight {kind.weight}")
    if kind.reserved:
        words.append(f"reserved {_percent(kind.reserved)}")
    if not kind.repeatable:
        words.append("at most once")
    return " ".join(words)


def _target(target: Target) -> str:
    return (
        f"target {_name(target.name)} in {_name(target.domain)}"
        f" at {_address(target.address)} slots {target.slots}"
    )


def _shift(shift: Shift) -> str:
    return (
        f"shift {_name(shift.service)} from {_name(shift.source)}"
        f" to {_name(shift.destination)} share {_percent(shift.share)}"
        f" cap {shift.cap} per {_seconds(shift.interval_s)}"
        f" over {_seconds(shift.pace_s)} as {_name(shift.name)}"
    )
