"""What an attempt occupies while it may be executing."""

from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core.exchange import Exchange
from sardinewheel_core.targets import TargetState

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


class Occupancy(NamedTuple):
    """A slot of a target, units of the region's cap, and a priority's place.

    Attributes:
        target: Target whose slot is taken.
        priority: Priority of the request's kind.
        weight: Units of the region's cap.
    """

    target: TargetState
    priority: int
    weight: int


def occupy(
    host: "EntryHost", now: float, exchange: Exchange, target: TargetState
) -> bool:
    """Occupies a slot and units for an exchange; says whether both fit."""
    weight = exchange.request.weight
    if not host.allowance.try_acquire(now, weight):
        return False
    target.in_flight += 1
    host.queue(target.service).in_flight[exchange.priority] += 1
    exchange.target = target
    exchange.occupancy = Occupancy(target, exchange.priority, weight)
    return True


def vacate(host: "EntryHost", occupancy: Occupancy) -> None:
    """Frees what :func:`occupy` took."""
    occupancy.target.in_flight -= 1
    line = host.queue(occupancy.target.service)
    line.in_flight[occupancy.priority] -= 1
    host.allowance.release(occupancy.weight)
