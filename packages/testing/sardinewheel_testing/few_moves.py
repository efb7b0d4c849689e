"""Compares assignments of objects to targets under one load.

For each number of targets: the objects that move when 1 % of the targets leave,
join or double their size, by the least possible; how far shares of objects are
from shares of size; the largest load under skewed popularity; and the cost.
"""

import math
import random
import time
import tracemalloc
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import NamedTuple, Protocol

import xxhash
from sardinewheel_gateway.policy import ranking
from sardinewheel_gateway.policy.objects import ObjectMap

SEED = 7
SIZES_SLOTS = (3, 6, 9, 12)
OBJECTS = 1000
# Targets, changes of each kind, and keys by which shares are measured.
SITES = ((16, 16, 100_000), (250, 16, 40_000), (4000, 1, 4000))
CHANGED_SHARE = 0.01
MAGLEV_ENTRIES_PER_TARGET = 100
PROBES = 21
POPULARITY_EXPONENT = 0.9
DECISIONS = 200

Sizes = Mapping[str, int]


class Assignment(Protocol):
    """Assigns keys to one set of targets.

    Attributes:
        name: Name in the table.
    """

    name: str

    def set_targets(self, sizes: Sizes) -> None:
        """Replaces the targets."""

    def first(self, key: str) -> str:
        """Returns the target of a key."""


class Rendezvous:
    """Rendezvous hashing that ignores sizes."""

    name = "rendezvous"

    def set_targets(self, sizes: Sizes) -> None:
        """Replaces the targets."""
        self.targets = tuple(sizes)

    def first(self, key: str) -> str:
        """Returns the target of a key."""
        return max(self.targets, key=lambda target: ranking.score(key, target))


class WeightedRendezvous:
    """Rendezvous hashing by size, without a cache."""

    name = "weighted rendezvous"

    def __init__(self):
        self.ranking = ranking.Ranking()

    def set_targets(self, sizes: Sizes) -> None:
        """Replaces the targets."""
        self.ranking.set_members(sizes)

    def first(self, key: str) -> str:
        """Returns the target of a key."""
        return self.ranking.first(key, keep=False)[0]


class BoundedRendezvous:
    """The product's: by size, bounded while objects and targets are few."""

    name = "and bounded, cached"

    def __init__(self):
        self.objects = ObjectMap()
        for key in _objects():
            self.objects.add(key, "status")

    def set_targets(self, sizes: Sizes) -> None:
        """Replaces the targets."""
        self.sizes = sizes
        self.objects.preference("", sizes)

    def first(self, key: str) -> str:
        """Returns the target of a key."""
        return self.objects.preference(key, self.sizes).first


class Maglev:
    """Maglev's table: targets take entries in turns, larger ones more often."""

    name = "Maglev"

    def __init__(self):
        self.entries = 0

    def set_targets(self, sizes: Sizes) -> None:
        """Builds the table anew; the first targets determine its size."""
        if not self.entries:
            self.entries = _prime_from(MAGLEV_ENTRIES_PER_TARGET * len(sizes))
        self.table: list[str | None] = [None] * self.entries
        walks = {target: self._walk(target) for target in sizes}
        credits = dict.fromkeys(sizes, 0.0)
        largest, free = max(sizes.values()), self.entries
        while free:
            for target, size in sizes.items():
                credits[target] += size / largest
                if credits[target] < 1 or not free:
                    continue
                credits[target] -= 1
                walk = walks[target]
                entry = next(x for x in walk if self.table[x] is None)
                self.table[entry] = target
                free -= 1

    def first(self, key: str) -> str:
        """Returns the target of a key."""
        return self.table[_hash(key) % self.entries]

    def _walk(self, target: str) -> Iterator[int]:
        offset = _hash(f"offset {target}") % self.entries
        step = _hash(f"step {target}") % (self.entries - 1) + 1
        return ((offset + n * step) % self.entries for n in range(self.entries))


class MultiProbe:
    """A ring with a point for each slot; the probe next to a point wins."""

    name = "multi-probe"

    def set_targets(self, sizes: Sizes) -> None:
        """Builds the ring anew."""
        self.ring = sorted(
            (_hash(f"{target} {n}"), target)
            for target, size in sizes.items()
            for n in range(size)
        )
        self.points = [point for point, _ in self.ring]

    def first(self, key: str) -> str:
        """Returns the target of a key."""
        return min(self._probe(f"{key} {n}") for n in range(PROBES))[1]

    def _probe(self, text: str) -> tuple[int, str]:
        probe = _hash(text)
        index = bisect_left(self.points, probe) % len(self.ring)
        point, target = self.ring[index]
        return (point - probe) % 2**64, target


class Result(NamedTuple):
    """Figures of one assignment.

    Attributes:
        left: Objects moved when targets leave, by the least possible.
        joined: The same when they join.
        resized: The same when they double their size; 0 if sizes don't count.
        size_error: Largest error of a share by size, over the sizes.
        spread: Variance of the targets' counts of keys, by that of chance.
        peak: Largest load under skewed popularity, by the share of size.
        decision_us: Microseconds for a decision.
        change_ms: Milliseconds to take in that targets doubled their size.
        target_bytes: Memory by target.
    """

    left: float
    joined: float
    resized: float
    size_error: float
    spread: float
    peak: float
    decision_us: float
    change_ms: float
    target_bytes: float


ASSIGNMENTS: tuple[Callable[[], Assignment], ...] = (
    Rendezvous,
    WeightedRendezvous,
    BoundedRendezvous,
    Maglev,
    MultiProbe,
)


def measure(
    create: Callable[[], Assignment], count: int, changes: int, keys: int
) -> Result:
    """Returns the figures of an assignment to ``count`` targets."""
    rng = random.Random(SEED)
    sizes = {f"i-{rng.getrandbits(32):08x}": 0 for _ in range(count)}
    sizes = {x: rng.choice(SIZES_SLOTS) for x in sizes}
    assignment, target_bytes = _create(create, sizes)
    before = _firsts(assignment, _objects())
    started_at = time.perf_counter()
    for key in _objects()[:DECISIONS]:
        assignment.first(key)
    decision_s = (time.perf_counter() - started_at) / DECISIONS
    peak = _peak(before, sizes)
    counts = Counter(map(assignment.first, map(str, range(keys))))
    at_once = math.ceil(CHANGED_SHARE * count)
    groups = [set(rng.sample(sorted(sizes), at_once)) for _ in range(changes)]
    moved, least, change_s = _changes(assignment, before, sizes, groups)
    return Result(
        *(moved[x] / least[x] if least[x] else 0.0 for x in range(3)),
        _size_error(counts, sizes),
        _spread(counts, sizes),
        peak,
        1e6 * decision_s,
        1e3 * change_s,
        target_bytes,
    )


def _changes(
    assignment: Assignment,
    before: dict[str, str],
    sizes: Sizes,
    groups: Sequence[set[str]],
) -> tuple[list[int], list[int], float]:
    """Returns objects moved and least by change, and seconds for a resize."""
    moved, least, change_s = [0, 0, 0], [0, 0, 0], 0.0
    for group in groups:
        own = _own(before, group)
        assignment.set_targets({x: sizes[x] for x in sizes if x not in group})
        away = _firsts(assignment, before)
        assignment.set_targets(sizes)
        back = _firsts(assignment, before)
        started_at = time.perf_counter()
        assignment.set_targets(
            {x: y * (2 if x in group else 1) for x, y in sizes.items()}
        )
        change_s += time.perf_counter() - started_at
        doubled = _firsts(assignment, before)
        for n, (one, other) in enumerate(
            ((before, away), (away, back), (back, doubled))
        ):
            moved[n] += sum(one[key] != other[key] for key in one)
        least[0] += own
        least[1] += _own(back, group)
        least[2] += abs(_own(doubled, group) - own)
    return moved, least, change_s / len(groups)


def _create(
    create: Callable[[], Assignment], sizes: Sizes
) -> tuple[Assignment, float]:
    """Returns an assignment, and its memory in bytes by target."""
    tracemalloc.start()
    assignment = create()
    used_before, _ = tracemalloc.get_traced_memory()
    assignment.set_targets(sizes)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return assignment, (used - used_before) / len(sizes)


def _firsts(assignment: Assignment, keys: Sequence[str]) -> dict[str, str]:
    return {key: assignment.first(key) for key in keys}


def _own(firsts: dict[str, str], group: set[str]) -> int:
    return sum(first in group for first in firsts.values())


def _size_error(counts: Counter[str], sizes: Sizes) -> float:
    by_size: Counter[int] = Counter()
    expected: Counter[int] = Counter()
    for target, size in sizes.items():
        by_size[size] += counts[target]
        expected[size] += size
    scale = sum(sizes.values()) / counts.total()
    return max(abs(by_size[x] * scale / expected[x] - 1) for x in expected)


def _spread(counts: Counter[str], sizes: Sizes) -> float:
    scale = counts.total() / sum(sizes.values())
    squares = ((counts[x] - scale * sizes[x]) ** 2 / sizes[x] for x in sizes)
    return sum(squares) / scale / (len(sizes) - 1)


def _peak(firsts: dict[str, str], sizes: Sizes) -> float:
    loads: Counter[str] = Counter()
    for rank, first in enumerate(firsts.values(), start=1):
        loads[first] += rank**-POPULARITY_EXPONENT
    scale = sum(sizes.values()) / sum(loads.values())
    return max(loads[x] * scale / sizes[x] for x in sizes)


def _objects() -> list[str]:
    return [f"object-{n}" for n in range(OBJECTS)]


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def _prime_from(number: int) -> int:
    while any(number % n == 0 for n in range(2, math.isqrt(number) + 1)):
        number += 1
    return number


def main() -> None:
    """Prints a row of figures for each number of targets and assignment."""
    print("| targets | assignment |", " | ".join(Result._fields), "|")
    print("|---|---|" + "---|" * len(Result._fields))
    for count, changes, keys in SITES:
        for create in ASSIGNMENTS:
            result = measure(create, count, changes, keys)
            cells = " | ".join(f"{x:.3f}" for x in result[:6])
            costs = " | ".join(f"{x:.1f}" for x in result[6:])
            print(f"| {count} | {create.name} | {cells} | {costs} |")


if __name__ == "__main__":
    main()
