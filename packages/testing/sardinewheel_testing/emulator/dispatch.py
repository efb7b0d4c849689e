"""Dispatch strategies: which host places a request, and by which criteria."""

import random
from collections.abc import Mapping, Sequence
from typing import Protocol

from sardinewheel_gateway.policy import ranking
from sardinewheel_gateway.policy.loads import LoadTable
from sardinewheel_gateway.policy.objects import (
    ObjectTable,
    ObjectUse,
    Preference,
)
from sardinewheel_gateway.policy.placed import Placed
from sardinewheel_gateway.policy.placement import Placer
from sardinewheel_gateway.policy.placement_request import PlacementRequest
from sardinewheel_gateway.policy.room import Room
from sardinewheel_gateway.policy.service_load import ServiceLoad


class DispatchStrategy(Protocol):
    """A strategy for placing requests.

    Attributes:
        name: Name on the command line and in results.
        tells_loads: Whether hosts tell each other what they observe of
            targets' loads and objects.
    """

    name: str
    tells_loads: bool

    def configure_placer(self, placer: Placer) -> None:
        """Adapts a host's placer to the strategy, if needed."""

    def deciding_host(
        self,
        placer: Placer,
        request: PlacementRequest,
        host: str,
        hosts: Sequence[str],
    ) -> str:
        """Returns the name of the host that places a request.

        Args:
            placer: Placer of the host that received the request.
            request: The placement request.
            host: Name of the host that received the request.
            hosts: Names of all hosts not known to have failed.
        """


class DirectDispatch:
    """The receiving host places the request by its view, which may be stale."""

    name = "direct"
    tells_loads = True

    def configure_placer(self, placer: Placer) -> None:
        """Leaves the placer as it is."""

    def deciding_host(
        self,
        placer: Placer,
        request: PlacementRequest,
        host: str,
        hosts: Sequence[str],
    ) -> str:
        """Returns the receiving host."""
        return host


class OwnerDispatch:
    """The owner of the object's preferred target places the request.

    The owner sees all requests to its targets, so its in-flight counts are
    exact; the price is an additional hop.
    """

    name = "owner"
    tells_loads = True

    def configure_placer(self, placer: Placer) -> None:
        """Leaves the placer as it is."""

    def deciding_host(
        self,
        placer: Placer,
        request: PlacementRequest,
        host: str,
        hosts: Sequence[str],
    ) -> str:
        """Returns the owner of the object's preferred target."""
        usable = placer.target_table.usable(request.service)
        sizes = {x.record.target_id: x.record.slots for x in usable}
        objects = placer.objects.of(request.service)
        preference = objects.preference(request.object_key, sizes)
        if preference is None:
            return host
        return ranking.ranked(preference.first, hosts)[0]


class OwnViewDispatch(DirectDispatch):
    """Baseline: a host knows of targets only what it has observed itself."""

    name = "own-view"
    tells_loads = False


class LeastLoadedDispatch(DirectDispatch):
    """Baseline: the less loaded of two targets sampled at random."""

    name = "least-loaded"

    def configure_placer(self, placer: Placer) -> None:
        """Makes the placer sample two targets and ignore the object."""
        placer.objects = TwoRandomChoices(placer.loads, placer.rng)


class TwoRandomChoices(ObjectTable):
    """Prefers targets by load alone and ignores object affinity.

    Attributes:
        loads: Load of each target.
        rng: Source of the samples.
    """

    def __init__(self, loads: LoadTable, rng: random.Random):
        super().__init__()
        self.loads = loads
        self.rng = rng

    def of(self, service: str) -> "TwoRandomChoices":
        """Returns itself: all services share one instance."""
        return self

    def record_use(self, use: ObjectUse) -> None:
        """Does nothing: objects are not tracked."""

    def preference(
        self, key: str, targets: Mapping[str, int]
    ) -> Preference | None:
        """Returns two targets sampled at random, the less loaded first."""
        if not targets:
            return None
        sampled = self.rng.sample(tuple(targets), min(2, len(targets)))
        sampled.sort(key=self._in_flight)
        return Preference(sampled[0], sampled[-1] if len(sampled) > 1 else None)

    def order(self, key: str) -> list[str]:
        """Returns no targets: there is no order by object."""
        return []

    def _in_flight(self, target_id: str) -> float:
        load = self.loads.of(target_id)
        return load.in_flight + load.others_in_flight


class LoadBoundDispatch(DirectDispatch):
    """Baseline: requests are refused by a fixed bound on load alone."""

    name = "load-bound"

    def configure_placer(self, placer: Placer) -> None:
        """Makes the placer ignore work, time left and shares."""
        placer.room = LoadBound(placer.room.bound, placer.rng)


class LoadBound(Room):
    """Admits requests up to a fixed load."""

    def service_load(self, service: str) -> ServiceLoad:
        """Returns one without reports, so that old loads tend to 0."""
        return ServiceLoad()

    def full_load(self, request: PlacementRequest, now: float) -> float:
        """Returns the usual bound on load."""
        return self.bound.urgent if request.is_urgent else self.bound.normal

    def is_hopeless(
        self, request: PlacementRequest, placed: Placed, now: float
    ) -> bool:
        """Returns that no request is."""
        return False


DISPATCH_STRATEGIES: dict[str, DispatchStrategy] = {
    dispatch.name: dispatch
    for dispatch in (
        DirectDispatch(),
        OwnerDispatch(),
        OwnViewDispatch(),
        LeastLoadedDispatch(),
        LoadBoundDispatch(),
    )
}
