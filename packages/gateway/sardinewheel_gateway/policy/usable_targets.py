"""The targets that may execute the requests of a route."""

import random
from itertools import accumulate
from typing import NamedTuple

from sardinewheel_gateway.policy.targets import Target

# Draws for two different targets, where sizes differ.
MAX_DRAWS = 4


class UsableTargets(NamedTuple):
    """Targets that may execute the requests of a route.

    Attributes:
        source: All usable targets of the service, before the filter on home
            regions.
        ids: Target ids, sorted.
        by_id: Targets by id.
        weights: Size of each target in slots, at least 1, by id.
        size_sums: Running totals of the sizes, in the order of ``ids``; empty
            if all are equal.
    """

    source: list[Target]
    ids: tuple[str, ...]
    by_id: dict[str, Target]
    weights: dict[str, int]
    size_sums: tuple[int, ...]

    @classmethod
    def of(cls, source: list[Target], targets: list[Target]) -> "UsableTargets":
        """Returns an instance for a sorted subset of ``source``."""
        by_id = {target.record.target_id: target for target in targets}
        weights = {x: max(1, by_id[x].record.slots) for x in by_id}
        are_equal = len(set(weights.values())) <= 1
        size_sums = () if are_equal else tuple(accumulate(weights.values()))
        return cls(source, tuple(by_id), by_id, weights, size_sums)

    def sample(self, rng: random.Random) -> list[str]:
        """Returns up to two targets at random, the first by size."""
        if not self.size_sums:
            return rng.sample(self.ids, min(2, len(self.ids)))
        first, *rest = rng.choices(
            self.ids, cum_weights=self.size_sums, k=MAX_DRAWS
        )
        second = next((x for x in rest if x != first), None)
        return [first] if second is None else [first, second]
