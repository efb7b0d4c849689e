"""Chooses the target of a request, or refuses the request immediately.

Designed for a workload in which a request is three times as cheap at a target
that has handled its object before. Queueing at that target is therefore faster
than executing elsewhere until its queue takes about as long as a second
execution. A request that would wait longer than callers do at both of its
targets is refused before it uses any target capacity.
"""

import math
import random
from typing import NamedTuple

from sardinewheel_gateway.policy.accounts import Account
from sardinewheel_gateway.policy.announcements import (
    AnnouncementTable,
    Limit,
)
from sardinewheel_gateway.policy.cold_admission import ColdAdmission
from sardinewheel_gateway.policy.grouped_objects import (
    GroupedObjects,
    GroupKey,
)
from sardinewheel_gateway.policy.limit_admission import LimitAdmission
from sardinewheel_gateway.policy.loads import LoadTable
from sardinewheel_gateway.policy.locality import EVERYWHERE, Group, Locality
from sardinewheel_gateway.policy.objects import ObjectTable, ObjectUse
from sardinewheel_gateway.policy.routes import Route, common_homes
from sardinewheel_gateway.policy.targets import Target, TargetTable

# Estimated requests at a target, divided by its slots: the load from which the
# second target is considered too, and the loads from which normal and urgent
# requests are refused.
SPILLOVER_LOAD = 2.0
FULL_LOAD = 2.67
URGENT_FULL_LOAD = 3.67
ERROR_SHARE_LIMIT = 0.35
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 1.0
RETRY_AFTER_JITTER = 0.5
# Time over which callers return that wait for the same target.
RETURN_SPREAD_S = 0.5
NO_TARGET_RETRY_AFTER_S = 0.5
MAX_LOAD_AGE_S = 999.0
MAX_CACHED_USABLE = 64


class PlacementRequest(NamedTuple):
    """Properties of a request that determine its target.

    Attributes:
        service: Service that executes the request.
        route: Route of the request.
        object_key: Key of the object that the request concerns, or an empty
            string.
        is_urgent: Whether its priority is higher than the lowest priority
            among the routes of its service.
        tried: Ids of targets that were already tried, also unreachable ones.
        account: The caller's account, if any.
        deadline: Time at which the caller stops waiting, on the monotonic
            clock.
    """

    service: str
    route: Route
    object_key: str
    is_urgent: bool
    tried: frozenset[str] = frozenset()
    account: Account | None = None
    deadline: float = math.inf

    @property
    def home_regions(self) -> frozenset[str]:
        """Regions that may execute it; empty for all."""
        return common_homes(self.route, self.account)


class Placed(NamedTuple):
    """The target chosen for a request, and the data behind the choice.

    Attributes:
        target: The target.
        load: Estimated requests at the target, divided by its slots.
        choice: ``rank-0`` or ``rank-1`` for the preferred targets, ``spare``
            for any other.
        load_age_s: Seconds since the target last reported its load, at most
            ``MAX_LOAD_AGE_S``, also if it never has.
        limit: Limit that the target names, if any.
    """

    target: Target
    load: float
    choice: str
    load_age_s: float = 0.0
    limit: Limit | None = None


class Refused(NamedTuple):
    """A refusal of a request that no target has executed.

    Attributes:
        reason: ``no-target``, ``targets-down``, ``targets-limited``,
            ``targets-paused`` or ``overload`` from the placer; other reasons
            come from the attempts and their limits.
        retry_after_s: Seconds after which the caller may retry.
        load: Load of the best target divided by its slots; 0 without one.
    """

    reason: str
    retry_after_s: float
    load: float = 0.0


class UsableTargets(NamedTuple):
    """Targets that may execute the requests of a route.

    Attributes:
        source: All usable targets of the service, before the filter on home
            regions and failure domains.
        ids: Target ids, sorted.
        by_id: Targets by id.
        key: What they were selected by.
    """

    source: list[Target]
    ids: tuple[str, ...]
    by_id: dict[str, Target]
    key: GroupKey

    @classmethod
    def of(
        cls, source: list[Target], targets: list[Target], key: GroupKey
    ) -> "UsableTargets":
        """Returns an instance for a sorted subset of ``source``."""
        by_id = {target.record.target_id: target for target in targets}
        return cls(source, tuple(by_id), by_id, key)


class Placer:
    """Assigns requests to targets.

    Attributes:
        target_table: The targets.
        loads: Load and health of the targets.
        announcements: What the targets announce in their responses.
        limit_admission: Admission control for targets that name a limit.
        cold_admission: Admission control for cold targets.
        objects: Objects by service.
        grouped_objects: Objects by service and group of failure domains.
        locality: Which failure domains execute a request; None for all.
        cold_rates: Requests per second that a cold target can handle, by
            service.
        regions: Region of each failure domain.
        usable: Cache of usable targets by service, home regions and failure
            domains.
    """

    def __init__(
        self,
        *,
        target_table: TargetTable,
        loads: LoadTable,
        announcements: AnnouncementTable,
        limit_admission: LimitAdmission,
        cold_admission: ColdAdmission,
        regions: dict[str, str],
        rng: random.Random,
        locality: Locality | None = None,
    ):
        self.target_table = target_table
        self.loads = loads
        self.announcements = announcements
        self.limit_admission = limit_admission
        self.cold_admission = cold_admission
        self.regions = regions
        self.rng = rng
        self.objects = ObjectTable()
        self.grouped_objects = GroupedObjects()
        self.locality = locality
        self.cold_rates: dict[str, float] = {}
        self.usable: dict[GroupKey, UsableTargets] = {}

    def rebalance(self) -> None:
        """Rebalances the objects of all services that changed."""
        self.grouped_objects.rebalance(self.objects)

    def place(self, request: PlacementRequest, now: float) -> Placed | Refused:
        """Returns the target for a request, or a refusal."""
        usable = self._usable(request)
        if not usable.ids:
            return Refused(
                "no-target", self._retry_after_s(NO_TARGET_RETRY_AFTER_S)
            )
        candidates = self._nearby_candidates(request, now)
        candidates = candidates or self._candidates(request, usable, now)
        if not candidates:
            return self._refuse_without_candidates(request, usable, now)
        first = candidates[0]
        if first.load < SPILLOVER_LOAD or len(candidates) == 1:
            best = first
        else:
            best = min(candidates, key=lambda placed: placed.load)
        if best.load >= (URGENT_FULL_LOAD if request.is_urgent else FULL_LOAD):
            wait_s = (
                (best.load - FULL_LOAD + 1.0) * request.route.objective_s / 4
            )
            return Refused("overload", self._retry_after_s(wait_s), best.load)
        return best

    def _refuse_without_candidates(
        self, request: PlacementRequest, usable: UsableTargets, now: float
    ) -> Refused:
        """Returns the refusal of a request that no target may receive now."""
        waiting = [self._announced_wait(request, x, now) for x in usable.ids]
        refusals = [refused for refused in waiting if refused is not None]
        if not refusals:
            wait_s = self._retry_after_s(NO_TARGET_RETRY_AFTER_S)
            return Refused("targets-down", wait_s)
        shortest = min(refusals, key=lambda refused: refused.retry_after_s)
        wait_s = max(MIN_RETRY_AFTER_S, shortest.retry_after_s)
        wait_s += RETURN_SPREAD_S * self.rng.random()
        return shortest._replace(retry_after_s=wait_s)

    def _announced_wait(
        self, request: PlacementRequest, target_id: str, now: float
    ) -> Refused | None:
        """Returns the refusal that a target has announced, if any."""
        pause_s = self.loads.of(target_id).pause_left_s(now)
        if pause_s:
            return Refused("targets-paused", pause_s)
        limit = self.announcements.limits.get(target_id)
        if limit is None:
            return None
        wait_s = self.limit_admission.wait_s(
            target_id, limit, now, is_urgent=request.is_urgent
        )
        return Refused("targets-limited", wait_s)

    def _usable(
        self, request: PlacementRequest, group: Group = EVERYWHERE
    ) -> UsableTargets:
        source = self.target_table.usable(request.service)
        homes = request.home_regions
        key = GroupKey(request.service, homes, group)
        known = self.usable.get(key)
        if known is not None and known.source is source:
            return known
        targets = [
            target
            for target in source
            if (not group or target.record.domain in group)
            and (not homes or self.regions.get(target.record.domain) in homes)
        ]
        if len(self.usable) >= MAX_CACHED_USABLE:
            self.usable.clear()
        usable = UsableTargets.of(source, targets, key)
        self.usable[key] = usable
        return usable

    def _nearby_candidates(
        self, request: PlacementRequest, now: float
    ) -> list[Placed]:
        """Returns the available targets where the request is to be executed.

        Returns:
            Empty if that may be anywhere, or if no target there is available.
        """
        if self.locality is None:
            return []
        service, key = request.service, request.object_key
        if key:
            group = self.locality.group(service, key)
        else:
            text = f"{self.rng.random()}"
            group = self.locality.keyless_group(service, text)
        if not group:
            return []
        usable = self._usable(request, group)
        if not usable.ids:
            return []
        preferred = self._preferred(request, usable)
        found = self._available(preferred, usable.by_id, request, now)
        if not request.object_key:
            found.sort(key=lambda placed: placed.load)
        return found

    def _candidates(
        self, request: PlacementRequest, usable: UsableTargets, now: float
    ) -> list[Placed]:
        """Returns up to two available targets in order of preference."""
        preferred = self._preferred(request, usable)
        found = self._available(preferred, usable.by_id, request, now)
        if found:
            return found
        spare = self._spare(request, usable, preferred, now)
        return [] if spare is None else [spare._replace(choice="spare")]

    def _spare(
        self,
        request: PlacementRequest,
        usable: UsableTargets,
        preferred: list[str],
        now: float,
    ) -> Placed | None:
        """Returns the target to use in place of the preferred ones.

        The next ones in the order of the object come first: they have handled
        it if the preferred ones are unavailable for some time.
        """
        order = self._order(request)
        following = [x for x in order if x not in preferred]
        for placed in self._available(following, usable.by_id, request, now):
            if placed.load < SPILLOVER_LOAD:
                return placed
        rest = [x for x in usable.ids if x not in preferred]
        self.rng.shuffle(rest)
        others = self._available(rest, usable.by_id, request, now)
        return min(others, key=lambda placed: placed.load, default=None)

    def _order(self, request: PlacementRequest) -> list[str]:
        """Returns the first targets in the order of the request's object."""
        if not request.object_key:
            return []
        return self.objects.of(request.service).order(request.object_key)

    def _preferred(
        self, request: PlacementRequest, usable: UsableTargets
    ) -> list[str]:
        if not request.object_key:
            return self.rng.sample(usable.ids, min(2, len(usable.ids)))
        use = ObjectUse(request.service, request.route.name, request.object_key)
        self.objects.record_use(use)
        objects = self.grouped_objects.of(usable.key, self.objects)
        chosen = objects.preference(request.object_key, usable.ids)
        return [x for x in chosen or () if x is not None]

    def _available(
        self,
        ids: list[str],
        by_id: dict[str, Target],
        request: PlacementRequest,
        now: float,
    ) -> list[Placed]:
        """Returns the targets that may receive this request now."""
        found = []
        for rank, target_id in enumerate(ids):
            target = by_id[target_id]
            load = self.loads.of(target_id)
            if target_id in request.tried or load.is_down(now):
                continue
            if load.pause_left_s(now):
                continue
            if load.error_share > ERROR_SHARE_LIMIT and rank == 0:
                continue
            if not self._admits_cold(target, now):
                continue
            limit = self.announcements.limits.get(target_id)
            if limit is not None and self.limit_admission.wait_s(
                target_id, limit, now, is_urgent=request.is_urgent
            ):
                continue
            relative = load.estimate(now) / max(1, target.record.slots)
            age_s = min(MAX_LOAD_AGE_S, now - load.reported_at)
            found.append(Placed(target, relative, f"rank-{rank}", age_s, limit))
        return found

    def _admits_cold(self, target: Target, now: float) -> bool:
        if not target.is_cold(now):
            return True
        rate = self.cold_rates.get(target.record.service, 0.0)
        return self.cold_admission.admits(target.record.target_id, rate, now)

    def _retry_after_s(self, wait_s: float) -> float:
        spread = 1.0 + RETRY_AFTER_JITTER * self.rng.random()
        return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wait_s * spread))
