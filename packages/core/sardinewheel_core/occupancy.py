"""Capacity that an attempt occupies while it may be executing."""

from typing import TYPE_CHECKING, NamedTuple

from sardinewheel_core.exchange import Exchange
from sardinewheel_core.targets import TargetState

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost


class Occupancy(NamedTuple):
    """A target slot and units of the region's cap, counted by priority.

    Attributes:
        target: Target whose slot is occupied.
        priority: Priority of the request's kind.
        weight: Occupied units of the region's cap.
    """

    target: TargetState
    priority: int
    weight: int


def occupy(
    host: "EntryHost", now: float, exchange: Exchange, target: TargetState
) -> bool:
    """Occupies a target slot and units of the region's cap for an exchange.

    Returns:
        Whether the cap had enough free units; otherwise nothing is occupied.
    """
    weight = exchange.request.weight
    if not host.allowance.try_acquire(now, weight):
        return False
    target.in_flight += 1
    host.queue(target.service).in_flight[exchange.priority] += 1
    exchange.target = target
    exchange.occupancy = Occupancy(target, exchange.priority, weight)
    return True


def release(host: "EntryHost", occupancy: Occupancy) -> None:
    """Frees what :func:`occupy` occupied."""
    occupancy.target.in_flight -= 1
    queue = host.queue(occupancy.target.service)
    queue.in_flight[occupancy.priority] -= 1
    host.allowance.release(occupancy.weight)
