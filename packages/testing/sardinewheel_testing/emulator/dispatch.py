"""Who decides about a request, and by what: the ways that are compared."""

import random
from collections.abc import Sequence
from typing import Protocol

from sardinewheel_gateway.policy import ranking
from sardinewheel_gateway.policy.loads import LoadTable
from sardinewheel_gateway.policy.objects import (
    ObjectTable,
    ObjectUse,
    Preference,
)
from sardinewheel_gateway.policy.placement import PlacementRequest, Placer


class Dispatch(Protocol):
    """A way to place requests.

    Attributes:
        name: Its name.
    """

    name: str

    def prepare(self, placer: Placer) -> None:
        """Changes how a host's placer chooses, if it does."""

    def decider(
        self,
        placer: Placer,
        ask: PlacementRequest,
        host: str,
        hosts: Sequence[str],
    ) -> str:
        """Returns the host that decides about a request.

        Args:
            placer: Placer of the host that took the request.
            ask: The request.
            host: Name of that host.
            hosts: Names of all live hosts.
        """


class Direct:
    """Each host sends to the object's target by its own stale view."""

    name = "direct"

    def prepare(self, placer: Placer) -> None:
        """Leaves the placer as it is."""

    def decider(
        self,
        placer: Placer,
        ask: PlacementRequest,
        host: str,
        hosts: Sequence[str],
    ) -> str:
        """Returns the host itself."""
        return host


class ByOwner:
    """The host that owns the object's first target decides.

    It counts exactly what its targets hold, and costs a hop.
    """

    name = "owner"

    def prepare(self, placer: Placer) -> None:
        """Leaves the placer as it is."""

    def decider(
        self,
        placer: Placer,
        ask: PlacementRequest,
        host: str,
        hosts: Sequence[str],
    ) -> str:
        """Returns the owner of the object's first target."""
        usable = placer.target_table.usable(ask.service)
        ids = tuple(target.record.target_id for target in usable)
        objects = placer.objects.of(ask.service)
        preference = objects.preference(ask.object_key, ids)
        if preference is None:
            return host
        return ranking.ranked(preference.first, hosts)[0]


class LeastLoaded(Direct):
    """A baseline: the less loaded of two targets drawn at random."""

    name = "least-loaded"

    def prepare(self, placer: Placer) -> None:
        """Lets the placer draw two targets, whatever the object."""
        placer.objects = DrawnTargets(placer.loads, placer.rng)


class DrawnTargets(ObjectTable):
    """Prefers targets by load alone, in place of those that know the object.

    Attributes:
        loads: How busy targets are.
        rng: Draws them.
    """

    def __init__(self, loads: LoadTable, rng: random.Random):
        super().__init__()
        self.loads = loads
        self.rng = rng

    def of(self, service: str) -> "DrawnTargets":
        """Returns itself: it prefers alike for all services."""
        return self

    def record_use(self, use: ObjectUse) -> None:
        """Takes no note of objects."""

    def preference(
        self, key: str, targets: tuple[str, ...]
    ) -> Preference | None:
        """Returns two targets drawn at random, the less loaded first."""
        if not targets:
            return None
        drawn = self.rng.sample(targets, min(2, len(targets)))
        drawn.sort(key=self._held)
        return Preference(drawn[0], drawn[-1] if len(drawn) > 1 else None)

    def _held(self, target_id: str) -> float:
        load = self.loads.of(target_id)
        return load.in_flight + load.others_in_flight


DISPATCHES: dict[str, Dispatch] = {
    dispatch.name: dispatch for dispatch in (Direct(), ByOwner(), LeastLoaded())
}
