"""Decision records for requests, with the load figures behind each one."""

from typing import TYPE_CHECKING

from sardinewheel_core.decisions import (
    DISPATCHED,
    DONE,
    FORWARDED,
    Decision,
    Pairs,
)
from sardinewheel_core.effects import Dispatch, Forward, Reply
from sardinewheel_core.request import Outcome

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


def record(host: "EntryHost", now: float) -> None:
    """Records each dispatch, forward and completed reply of an event."""
    version = host.configuration.version
    for effect in host.effects:
        match effect:
            case Dispatch():
                event, fields = DISPATCHED, _dispatch_fields(host, now, effect)
            case Forward():
                event, fields = FORWARDED, _forward_fields(effect)
            case Reply(_, answer) if answer.outcome is Outcome.DONE:
                event = DONE
                fields = (
                    ("request_id", answer.request_id),
                    ("status", answer.status),
                )
            case _:
                continue
        host.decisions.add(Decision(now, event, version, fields))


def _dispatch_fields(host: "EntryHost", now: float, effect: Dispatch) -> Pairs:
    request, target = effect.request, effect.target
    fields: Pairs = (
        ("request_id", request.id),
        ("service", request.service),
        ("kind", request.kind),
        ("weight", request.weight),
        ("target", target.name),
        ("region_in_flight", host.allowance.in_flight),
        ("region_limit", host.allowance.limit(now)),
    )
    state = host.targets.states.get(target.name)
    if state is None:
        return fields
    return (
        *fields,
        ("target_in_flight", state.in_flight),
        ("target_limit", state.effective_limit(now)),
    )


def _forward_fields(effect: Forward) -> Pairs:
    request = effect.request
    return (
        ("request_id", request.id),
        ("service", request.service),
        ("kind", request.kind),
        ("host", effect.host),
        ("hops", request.hops),
        ("reason", str(effect.reason)),
    )


def capacity_fields(
    host: "EntryHost", now: float, service: str
) -> dict[str, str | int | float]:
    """Returns the capacity and load of a service, for a decision's log line."""
    queue = host.queues.get(service, ())
    return {
        "region": host.region or "",
        "region_in_flight": host.allowance.in_flight,
        "region_limit": host.allowance.limit(now),
        "slots": host.targets.slots(service),
        "free": host.targets.free_slots(service, now),
        "waiting": len(queue),
    }
