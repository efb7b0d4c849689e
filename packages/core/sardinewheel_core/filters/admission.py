"""Gives a request room, lets it wait, or refuses it at once."""

import math
from typing import TYPE_CHECKING

from sardinewheel_core.exchange import Exchange
from sardinewheel_core.filters.refusals import refuse
from sardinewheel_core.filters.verdict import Continue, Verdict, Wait
from sardinewheel_core.intent import Service
from sardinewheel_core.occupancy import occupy
from sardinewheel_core.queueing import MAX_WAIT_S, MAX_WAITING, WAIT_SHARE
from sardinewheel_core.request import Reason
from sardinewheel_core.targets import TargetState

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


def apply(host: "EntryHost", now: float, exchange: Exchange) -> Verdict:
    """Occupies a target and a part of the region's cap, if both have room."""
    request = exchange.request
    slots = host.targets.slots(request.service)
    if slots == 0:
        return refuse(host, now, exchange, Reason.NO_TARGET)
    if _comes_too_late(host, now, exchange):
        return refuse(host, now, exchange, Reason.DEADLINE)
    target = _target_for(host, now, exchange, slots)
    if target is not None and _fits_cap(host, now, exchange):
        occupy(host, now, exchange, target)
        return Continue()
    exchange.waits_for_units = target is not None
    return _wait_or_refuse(host, now, exchange, slots)


def room_for(host: "EntryHost", now: float, service: str) -> int:
    """Returns the requests of a service that would be dispatched at once."""
    if len(host.queue(service)):
        return 0
    return max(
        0, min(host.targets.free(service, now), host.allowance.free_units(now))
    )


def slots_for(service: Service, priority: int, slots: int) -> int:
    """Returns the slots that kinds of a priority or less urgent may occupy.

    Room reserved for more urgent kinds is left out, but one slot remains.

    Examples:
        >>> from sardinewheel_core.intent import Kind
        >>> kinds = {"confirm": Kind("confirm", 0, reserved=0.3)}
        >>> service = Service("pedidos", kinds, {})
        >>> slots_for(service, 0, 10), slots_for(service, 1, 10)
        (10, 7)
    """
    reserved = sum(
        kind.reserved
        for kind in service.kinds.values()
        if kind.priority < priority
    )
    return max(1, slots - math.ceil(reserved * slots))


def _target_for(
    host: "EntryHost", now: float, exchange: Exchange, slots: int
) -> TargetState | None:
    """Returns a target with room to which nobody has an older claim."""
    request = exchange.request
    line = host.queue(request.service)
    priority = exchange.priority
    if exchange.waiting_since is None and line.ahead_of(priority) > 0:
        return None
    service = host.configuration.intent.services[request.service]
    used = sum(n for rank, n in line.in_flight.items() if rank >= priority)
    if used >= slots_for(service, priority, slots):
        return None
    return host.targets.pick(
        request.service,
        now,
        repeatable=request.repeatable,
        excluded=frozenset(exchange.refused_by),
    )


def _fits_cap(host: "EntryHost", now: float, exchange: Exchange) -> bool:
    """Says whether the cap has room beyond what more urgent work awaits."""
    line = host.queue(exchange.request.service)
    has_waited = exchange.waiting_since is not None
    is_fair_turn = has_waited and line.is_fair_turn
    awaited = 0 if is_fair_turn else _units_awaited(host, exchange.priority)
    return exchange.request.weight + awaited <= host.allowance.free_units(now)


def _units_awaited(host: "EntryHost", priority: int) -> int:
    """Returns the most units that one more urgent waiting request needs."""
    heads = (
        head
        for line in host.queues.values()
        for head in line.heads()
        if head.priority < priority and head.waits_for_units
    )
    return max((head.request.weight for head in heads), default=0)


def _comes_too_late(host: "EntryHost", now: float, exchange: Exchange) -> bool:
    """Says whether an execution begun now would probably miss the deadline.

    While nothing runs one is let through, so that the duration that the host
    believes in cannot stay wrong for want of executions.
    """
    line = host.queue(exchange.request.service)
    if not line.in_flight.total():
        return False
    return exchange.request.deadline - now < line.executions.likely_s


def longest_wait_s(left_s: float) -> float:
    """Returns how long a request may wait, in seconds.

    A refusal has to leave the caller time to come back.

    Args:
        left_s: Seconds until the deadline.
    """
    return min(MAX_WAIT_S, WAIT_SHARE * left_s)


def _wait_or_refuse(
    host: "EntryHost", now: float, exchange: Exchange, slots: int
) -> Verdict:
    if exchange.is_overflow:
        # It waits in its sender's line, so that it waits in one line only and
        # its sender learns at once that the room it heard of is gone.
        return refuse(host, now, exchange, Reason.NO_ROOM)
    line = host.queue(exchange.request.service)
    if exchange.waiting_since is not None:
        if now > exchange.wait_until:
            return refuse(host, now, exchange, Reason.NO_ROOM)
        return Wait()
    longest_s = longest_wait_s(exchange.request.deadline - now)
    if line.expected_wait_s(exchange.priority, slots) > longest_s:
        return refuse(host, now, exchange, Reason.NO_ROOM)
    exchange.wait_until = now + longest_s
    if len(line) < MAX_WAITING:
        return Wait()
    last = line.least_urgent()
    if last.priority > exchange.priority:
        return Wait(instead_of=last)
    return refuse(host, now, exchange, Reason.NO_ROOM)
