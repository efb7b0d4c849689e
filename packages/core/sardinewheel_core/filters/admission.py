"""Gives a request room, lets it wait, or refuses it at once."""

from typing import TYPE_CHECKING

from sardinewheel_core.exchange import Exchange
from sardinewheel_core.filters.refusals import refuse
from sardinewheel_core.filters.verdict import Continue, Verdict, Wait
from sardinewheel_core.queueing import MAX_WAIT_S, MAX_WAITING
from sardinewheel_core.request import Reason

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


def apply(host: "EntryHost", now: float, exchange: Exchange) -> Verdict:
    """Occupies a target and a part of the region's cap, if both have room."""
    request = exchange.request
    slots = sum(
        s.target.slots
        for s in host.targets.states.values()
        if s.service == request.service and not s.leaving
    )
    if slots == 0:
        return refuse(host, now, exchange, Reason.NO_TARGET)
    target = host.targets.pick(request.service, now)
    if target is not None and host.allowance.take(now, request.weight):
        target.in_flight += 1
        exchange.target = target
        return Continue()
    line = host.line(request.service)
    wait_s = line.expected_wait_s(exchange.priority, slots)
    slack_s = request.deadline - now - line.service_time_s
    if wait_s > min(slack_s, MAX_WAIT_S) or len(line) >= MAX_WAITING:
        return refuse(host, now, exchange, Reason.NO_ROOM)
    return Wait()
