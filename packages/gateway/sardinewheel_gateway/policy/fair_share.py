"""Divides a service's room among client accounts and routes.

Answers an account at seven times its usual load, and a burst of a route whose
requests hold a slot for seconds, at a service that is short of room: who uses
more than its max-min share of the recent slot-seconds is refused earlier, so
the excess costs those who cause it.

Each host divides what passes through it. Callers spread over the hosts, so the
shares that hosts find alone are close to those of all together; no messages
pass, and a host that is cut off goes on as before.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

# Time after which a past slot-second counts 1/e.
MEMORY_S = 2.0
# Time for which a computed level is reused.
LEVEL_AGE_S = 0.1
# A key that is served less than this part as often as all is not refused
# earlier than others.
STARVED_PART = 0.35
MIN_WEIGHT = 1e-3
# Slot-seconds below which a key is forgotten.
FORGOTTEN_SLOT_S = 1e-4


class Demand(NamedTuple):
    """Recent demand of one key.

    Attributes:
        asked_slot_s: Slot-seconds asked for, decayed.
        used_slot_s: Slot-seconds admitted, decayed.
        weight: Weight of the key's share.
        at: Time of the last update, on the monotonic clock.
    """

    asked_slot_s: float
    used_slot_s: float
    weight: float
    at: float

    def at_time(self, now: float) -> "Demand":
        """Returns the demand decayed to a time."""
        decay = math.exp(-max(0.0, now - self.at) / MEMORY_S)
        return Demand(
            self.asked_slot_s * decay,
            self.used_slot_s * decay,
            self.weight,
            now,
        )

    @property
    def served_share(self) -> float:
        """Share of what was asked for that was admitted; 1 for nothing."""
        if self.asked_slot_s <= 0.0:
            return 1.0
        return self.used_slot_s / self.asked_slot_s


class FairShare:
    """Recent demand of the keys that compete for one service.

    Attributes:
        demands: Demand by key.
        level_slot_s: Max-min share per weight of the recent slot-seconds.
        served_share: Share of all that was asked for that was admitted.
        computed_at: Time at which these two were computed.

    Examples:
        >>> share = FairShare()
        >>> for _ in range(7):
        ...     share.record("hot", 1.0, now=0.0, is_admitted=True)
        >>> share.record("usual", 1.0, now=0.0, is_admitted=False)
        >>> share.is_over("hot", 0.0), share.is_over("usual", 0.0)
        (True, False)
    """

    def __init__(self):
        self.demands: dict[str, Demand] = {}
        self.level_slot_s = math.inf
        self.served_share = 1.0
        self.computed_at = -math.inf

    def record(
        self,
        key: str,
        work_s: float,
        *,
        now: float,
        is_admitted: bool,
        weight: float = 1.0,
    ) -> None:
        """Records that a request was admitted or refused."""
        known = self.demands.get(key)
        if known is None:
            known = Demand(0.0, 0.0, weight, now)
        known = known.at_time(now)
        self.demands[key] = Demand(
            known.asked_slot_s + work_s,
            known.used_slot_s + work_s * is_admitted,
            weight,
            now,
        )

    def served_share_at(self, now: float) -> float:
        """Returns the share of all work asked for that was admitted."""
        self._refresh(now)
        return self.served_share

    def is_over(self, key: str, now: float) -> bool:
        """Returns whether a key uses more than its max-min share."""
        self._refresh(now)
        demand = self.demands.get(key)
        if demand is None or self.is_starved(key, now):
            return False
        used_slot_s = demand.at_time(now).used_slot_s
        return used_slot_s > self.level_slot_s * demand.weight

    def is_starved(self, key: str, now: float) -> bool:
        """Returns whether a key is served much less often than all are."""
        self._refresh(now)
        demand = self.demands.get(key)
        if demand is None:
            return False
        return demand.served_share < STARVED_PART * self.served_share

    def _refresh(self, now: float) -> None:
        if now - self.computed_at < LEVEL_AGE_S:
            return
        self.computed_at = now
        decayed = {key: x.at_time(now) for key, x in self.demands.items()}
        self.demands = {
            key: x
            for key, x in decayed.items()
            if x.asked_slot_s > FORGOTTEN_SLOT_S
        }
        asked = sum(x.asked_slot_s for x in self.demands.values())
        used = sum(x.used_slot_s for x in self.demands.values())
        self.served_share = used / asked if asked else 1.0
        self.level_slot_s = max_min_level(self.demands.values(), used)


def max_min_level(demands: Iterable[Demand], room_slot_s: float) -> float:
    """Returns the max-min share per weight of an amount of room.

    Args:
        demands: All demands.
        room_slot_s: Slot-seconds to divide.

    Returns:
        Infinity if the room meets all demands.

    Examples:
        >>> small, large = Demand(1, 0, 1, 0), Demand(9, 0, 1, 0)
        >>> max_min_level([small, large], 4.0)
        3.0
        >>> max_min_level([small, large], 10.0)
        inf
    """
    order = sorted(
        (x.asked_slot_s / max(MIN_WEIGHT, x.weight), x) for x in demands
    )
    left = room_slot_s
    weight = sum(x.weight for _, x in order)
    for per_weight, demand in order:
        if per_weight * weight > left + FORGOTTEN_SLOT_S:
            return left / max(MIN_WEIGHT, weight)
        left -= demand.asked_slot_s
        weight -= demand.weight
    return math.inf
