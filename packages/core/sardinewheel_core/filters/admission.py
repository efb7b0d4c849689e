"""Admission control: dispatches a request, queues it or refuses it at once."""

import math
from typing import TYPE_CHECKING

from sardinewheel_core.exchange import Exchange
from sardinewheel_core.filters.refusals import refuse
from sardinewheel_core.filters.verdict import Continue, Verdict, Wait
from sardinewheel_core.intent import Service
from sardinewheel_core.occupancy import occupy
from sardinewheel_core.queueing import (
    MAX_WAIT_FRACTION,
    MAX_WAIT_S,
    MAX_WAITING,
)
from sardinewheel_core.request import Reason
from sardinewheel_core.targets import TargetState

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


def apply(host: "EntryHost", now: float, exchange: Exchange) -> Verdict:
    """Occupies a target slot and units of the region's cap if both are free."""
    request = exchange.request
    slots = host.targets.slots(request.service)
    if slots == 0:
        return refuse(host, now, exchange, Reason.NO_TARGET)
    if _would_miss_deadline(host, now, exchange):
        return refuse(host, now, exchange, Reason.DEADLINE)
    target = _available_target(host, now, exchange, slots)
    if target is not None and _fits_region_cap(host, now, exchange):
        occupy(host, now, exchange, target)
        return Continue()
    exchange.is_cap_limited = target is not None
    return _wait_or_refuse(host, now, exchange, slots)


def immediate_capacity(host: "EntryHost", now: float, service: str) -> int:
    """Returns how many requests of a service could be dispatched at once."""
    if len(host.queue(service)):
        return 0
    return max(
        0,
        min(
            host.targets.free_slots(service, now),
            host.allowance.free_units(now),
        ),
    )


def unreserved_slots(service: Service, priority: int, slots: int) -> int:
    """Returns the slots available to a priority and all less urgent ones.

    Slots reserved for more urgent kinds are subtracted, but at least one slot
    remains.

    Examples:
        >>> from sardinewheel_core.intent import Kind
        >>> kinds = {"confirm": Kind("confirm", 0, reserved=0.3)}
        >>> service = Service("pedidos", kinds, {})
        >>> unreserved_slots(service, 0, 10), unreserved_slots(service, 1, 10)
        (10, 7)
    """
    reserved = sum(
        kind.reserved
        for kind in service.kinds.values()
        if kind.priority < priority
    )
    return max(1, slots - math.ceil(reserved * slots))


def _available_target(
    host: "EntryHost", now: float, exchange: Exchange, slots: int
) -> TargetState | None:
    """Returns a target with a free slot unless queued requests go first."""
    request = exchange.request
    queue = host.queue(request.service)
    priority = exchange.priority
    if exchange.queued_since is None and queue.count_ahead(priority) > 0:
        return None
    service = host.configuration.intent.services[request.service]
    occupied = sum(n for p, n in queue.in_flight.items() if p >= priority)
    if occupied >= unreserved_slots(service, priority, slots):
        return None
    return host.targets.pick(
        request.service,
        now,
        repeatable=request.repeatable,
        excluded=frozenset(exchange.refused_by),
    )


def _fits_region_cap(host: "EntryHost", now: float, exchange: Exchange) -> bool:
    """Returns whether the cap has enough free units for the request.

    Units that more urgent queued requests need are not free for it, except on
    a fairness turn.
    """
    queue = host.queue(exchange.request.service)
    has_waited = exchange.queued_since is not None
    is_fairness_turn = has_waited and queue.is_fairness_turn
    needed_units = (
        0
        if is_fairness_turn
        else _units_needed_by_more_urgent(host, exchange.priority)
    )
    return exchange.request.weight + needed_units <= host.allowance.free_units(
        now
    )


def _units_needed_by_more_urgent(host: "EntryHost", priority: int) -> int:
    """Returns the largest weight of the more urgent requests awaiting units."""
    heads = (
        head
        for queue in host.queues.values()
        for head in queue.heads()
        if head.priority < priority and head.is_cap_limited
    )
    return max((head.request.weight for head in heads), default=0)


def _would_miss_deadline(
    host: "EntryHost", now: float, exchange: Exchange
) -> bool:
    """Returns whether an execution started now would likely miss the deadline.

    Returns ``False`` while nothing is in flight; otherwise an estimate that is
    too high would never be corrected by new executions.
    """
    queue = host.queue(exchange.request.service)
    if not queue.in_flight.total():
        return False
    return exchange.request.deadline - now < queue.service_time.upper_estimate_s


def max_wait_s(left_s: float) -> float:
    """Returns how long a request may be queued, in seconds.

    A refusal must leave the caller enough time to retry.

    Args:
        left_s: Seconds until the deadline.
    """
    return min(MAX_WAIT_S, MAX_WAIT_FRACTION * left_s)


def _wait_or_refuse(
    host: "EntryHost", now: float, exchange: Exchange, slots: int
) -> Verdict:
    if exchange.is_overflow:
        # Only the forwarding host queues it. The refusal shows that host at
        # once that the announced capacity is used up.
        return refuse(host, now, exchange, Reason.NO_ROOM)
    queue = host.queue(exchange.request.service)
    if exchange.queued_since is not None:
        if now > exchange.wait_deadline:
            return refuse(host, now, exchange, Reason.NO_ROOM)
        return Wait()
    wait_limit_s = max_wait_s(exchange.request.deadline - now)
    if queue.expected_wait_s(exchange.priority, slots) > wait_limit_s:
        return refuse(host, now, exchange, Reason.NO_ROOM)
    exchange.wait_deadline = now + wait_limit_s
    if len(queue) < MAX_WAITING:
        return Wait()
    last = queue.least_urgent()
    if last.priority > exchange.priority:
        return Wait(replaced=last)
    return refuse(host, now, exchange, Reason.NO_ROOM)
