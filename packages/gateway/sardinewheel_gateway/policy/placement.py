"""Chooses the target of a request, or refuses the request immediately.

Designed for a workload in which a request is three times as cheap at a target
that has handled its object before. Of the two targets of an object, the one is
chosen whose queue and work take less time; a target that would have to learn
the object first is so left out until the other one's queue is long. A request
that would wait longer than callers do at both of its targets is refused before
it uses any target capacity.
"""

import random

from sardinewheel_gateway.policy.announcements import AnnouncementTable
from sardinewheel_gateway.policy.cold_admission import ColdAdmission
from sardinewheel_gateway.policy.known_objects import KnownObjects
from sardinewheel_gateway.policy.limit_admission import LimitAdmission
from sardinewheel_gateway.policy.loads import LoadTable
from sardinewheel_gateway.policy.objects import ObjectTable, ObjectUse
from sardinewheel_gateway.policy.placed import (
    MAX_LOAD_AGE_S,
    Placed,
    Refused,
)
from sardinewheel_gateway.policy.placement_request import PlacementRequest
from sardinewheel_gateway.policy.room import Bound, Room
from sardinewheel_gateway.policy.targets import Target, TargetTable
from sardinewheel_gateway.policy.usable_targets import UsableTargets

# Estimated requests at a target, divided by its slots: the load up to which a
# spare target of the object's order is used, and the loads from which normal
# and urgent requests are refused.
SPILLOVER_LOAD = 2.0
FULL_LOAD = 2.67
URGENT_FULL_LOAD = 3.67
# Work that an object new to a target adds to a request, in executions of known
# objects.
NEW_OBJECT_WORK = 1.33
# Share of the requests for an object that teach it to its first target, while
# that has a free slot and only another target knows the object.
LEARNING_SHARE = 0.5
ERROR_SHARE_LIMIT = 0.35
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 1.0
RETRY_AFTER_JITTER = 0.5
# Time over which callers return that wait for the same target.
RETURN_SPREAD_S = 0.5
NO_TARGET_RETRY_AFTER_S = 0.5
MAX_CACHED_USABLE = 64
# Targets asked for a free slot before a refusal, and the age up to which the
# report of one holds.
FREE_SLOT_SAMPLES = 4
MAX_FREE_SLOT_AGE_S = 0.5


class Placer:
    """Assigns requests to targets.

    Attributes:
        target_table: The targets.
        loads: Load and health of the targets.
        announcements: What the targets announce in their responses.
        limit_admission: Admission control for targets that name a limit.
        cold_admission: Admission control for cold targets.
        objects: Objects by service.
        known_objects: The objects that targets have handled recently.
        cold_rates: Requests per second that a cold target can handle, by
            service.
        regions: Region of each failure domain.
        room: Decides who is admitted to targets that are short of room.
        usable: Cache of usable targets by service and home regions.
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
    ):
        self.target_table = target_table
        self.loads = loads
        self.announcements = announcements
        self.limit_admission = limit_admission
        self.cold_admission = cold_admission
        self.regions = regions
        self.rng = rng
        self.room = Room(Bound(FULL_LOAD, URGENT_FULL_LOAD), rng)
        self.objects = ObjectTable()
        self.known_objects = KnownObjects()
        self.cold_rates: dict[str, float] = {}
        self.usable: dict[tuple[str, frozenset[str]], UsableTargets] = {}

    def place(self, request: PlacementRequest, now: float) -> Placed | Refused:
        """Returns the target for a request, or a refusal."""
        usable = self.usable_targets(request)
        if not usable.ids:
            return Refused(
                "no-target", self._retry_after_s(NO_TARGET_RETRY_AFTER_S)
            )
        candidates = self._candidates(request, usable, now)
        if not candidates:
            return self._refuse_without_candidates(request, usable, now)
        best = self._best(candidates, request, now)
        refused = self._refuse_for_room(request, best, now)
        may_use_any = self.room.is_dividing and not request.object_key
        if refused is not None and may_use_any:
            free = self._with_free_slot(request, usable, now)
            best, refused = (best, refused) if free is None else (free, None)
        self.room.record_decision(request, now, is_admitted=refused is None)
        return best if refused is None else refused

    def _best(
        self, candidates: list[Placed], request: PlacementRequest, now: float
    ) -> Placed:
        """Returns the target that is expected to respond first.

        The first one counts as if it knew the object while no target does, and
        for a share of the requests while it has a free slot: it is where the
        object becomes known, also if it was away.
        """
        candidates = [self._informed(x, request, now) for x in candidates]
        first = candidates[0]
        is_known = any(placed.knows_object for placed in candidates)
        may_learn = first.wait == 0.0 and self.rng.random() < LEARNING_SHARE
        learner = first if may_learn or not is_known else None
        return min(
            candidates,
            key=lambda placed: _cost(placed, is_learner=placed is learner),
        )

    def _informed(
        self, placed: Placed, request: PlacementRequest, now: float
    ) -> Placed:
        """Returns a choice that says whether the target knows the object."""
        key = request.object_key
        knows_object = not key or self.known_objects.knows(
            placed.target.record.target_id, request.route.name, key, now=now
        )
        return placed._replace(knows_object=knows_object)

    def _refuse_for_room(
        self, request: PlacementRequest, best: Placed, now: float
    ) -> Refused | None:
        """Returns the refusal of a request for which there is no room."""
        if self.room.is_hopeless(request, best, now):
            reason = "deadline-unreachable"
        elif best.expected_load >= self.room.full_load(request, now):
            reason = "overload"
        else:
            return None
        wait_s = self.room.drain_s(request, best.expected_load)
        wait_s = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wait_s))
        return Refused(reason, wait_s, best.expected_load)

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

    def copy(self, service: str, rng: random.Random) -> "Placer":
        """Returns a placer of the same state, whose choices change none of it.

        Args:
            service: The service whose requests it can place.
            rng: Its source of random numbers.
        """
        copied = Placer(
            target_table=self.target_table,
            loads=self.loads.copy(),
            announcements=self.announcements,
            limit_admission=self.limit_admission.copy(),
            cold_admission=self.cold_admission.copy(),
            regions=self.regions,
            rng=rng,
        )
        copied.objects = self.objects.copy(service)
        copied.known_objects = self.known_objects.copy()
        copied.cold_rates = self.cold_rates
        copied.room = self.room.copy(rng)
        return copied

    def usable_targets(self, request: PlacementRequest) -> UsableTargets:
        """Returns the targets that may execute a request, also if not now."""
        source = self.target_table.usable(request.service)
        homes = request.home_regions
        known = self.usable.get((request.service, homes))
        if known is not None and known.source is source:
            return known
        targets = source
        if homes:
            targets = [
                target
                for target in source
                if self.regions.get(target.record.domain) in homes
            ]
        if len(self.usable) >= MAX_CACHED_USABLE:
            self.usable.clear()
        usable = UsableTargets.of(source, targets)
        self.usable[request.service, homes] = usable
        return usable

    def _candidates(
        self, request: PlacementRequest, usable: UsableTargets, now: float
    ) -> list[Placed]:
        """Returns up to two available targets in order of preference."""
        preferred = self.preferred(request, usable)
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
        order = self.order(request)
        following = [x for x in order if x not in preferred]
        for placed in self._available(following, usable.by_id, request, now):
            if placed.load < SPILLOVER_LOAD:
                return placed
        rest = [x for x in usable.ids if x not in preferred]
        self.rng.shuffle(rest)
        others = self._available(rest, usable.by_id, request, now)
        return min(others, key=lambda placed: placed.load, default=None)

    def _with_free_slot(
        self, request: PlacementRequest, usable: UsableTargets, now: float
    ) -> Placed | None:
        """Returns a target known to be idle in part, of a few at random.

        Only for requests without object: others would take three times the
        work there, and displace objects that the target knows.
        """
        count = min(FREE_SLOT_SAMPLES, len(usable.ids))
        sampled = self.rng.sample(usable.ids, count)
        for placed in self._available(sampled, usable.by_id, request, now):
            is_fresh = placed.load_age_s < MAX_FREE_SLOT_AGE_S
            if is_fresh and placed.delay < 1.0:
                return placed._replace(choice="spare")
        return None

    def order(self, request: PlacementRequest) -> list[str]:
        """Returns the first targets in the order of the request's object."""
        if not request.object_key:
            return []
        return self.objects.of(request.service).order(request.object_key)

    def preferred(
        self, request: PlacementRequest, usable: UsableTargets
    ) -> list[str]:
        """Returns up to two targets to try first; records the object's use."""
        if not request.object_key:
            return usable.sample(self.rng)
        use = ObjectUse(request.service, request.route.name, request.object_key)
        self.objects.record_use(use)
        chosen = self.objects.of(request.service).preference(
            request.object_key, usable.weights
        )
        return [x for x in chosen or () if x is not None]

    def _available(
        self,
        ids: list[str],
        by_id: dict[str, Target],
        request: PlacementRequest,
        now: float,
    ) -> list[Placed]:
        """Returns the targets that may receive this request now."""
        return [
            self.placed(by_id[target_id], rank, now)
            for rank, target_id in enumerate(ids)
            if not self.obstacle(by_id[target_id], request, rank, now)
        ]

    def placed(self, target: Target, rank: int, now: float) -> Placed:
        """Returns the choice of a target, with the data behind it."""
        target_id = target.record.target_id
        load = self.loads.of(target_id)
        relative = load.estimate(now) / max(1, target.record.slots)
        age_s = min(MAX_LOAD_AGE_S, now - load.reported_at)
        return Placed(
            target,
            relative,
            f"rank-{rank}",
            age_s,
            limit=self.announcements.limits.get(target_id),
            slowdown=load.slowdown_at(now),
            expected_load=self.room.expected_load(
                target.record.service, relative, age_s=age_s, now=now
            ),
        )

    def obstacle(
        self, target: Target, request: PlacementRequest, rank: int, now: float
    ) -> str:
        """Returns why a target may not receive a request now, or ``""``."""
        target_id = target.record.target_id
        load = self.loads.of(target_id)
        if target_id in request.tried:
            return "tried"
        if load.is_down(now):
            return "down"
        if load.pause_left_s(now):
            return "paused"
        if load.error_share > ERROR_SHARE_LIMIT and rank == 0:
            return "errors"
        if not self._admits_cold(target, now):
            return "cold"
        limit = self.announcements.limits.get(target_id)
        if limit is not None and self.limit_admission.wait_s(
            target_id, limit, now, is_urgent=request.is_urgent
        ):
            return "limited"
        return ""

    def _admits_cold(self, target: Target, now: float) -> bool:
        if not target.is_cold(now):
            return True
        rate = self.cold_rates.get(target.record.service, 0.0)
        return self.cold_admission.admits(target.record.target_id, rate, now)

    def _retry_after_s(self, wait_s: float) -> float:
        spread = 1.0 + RETRY_AFTER_JITTER * self.rng.random()
        return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wait_s * spread))


def _cost(placed: Placed, *, is_learner: bool) -> float:
    """Returns the time to a response, in executions of known objects.

    Args:
        placed: The choice of a target.
        is_learner: Whether the object becomes known there.
    """
    is_quick = placed.knows_object or is_learner
    work = 1.0 if is_quick else 1.0 + NEW_OBJECT_WORK
    return (placed.wait + work) * placed.slowdown
