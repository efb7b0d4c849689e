"""Requests stay near as far as there is room, and move slowly."""

import itertools
import math
import random

import pytest
from sardinewheel_gateway.policy.locality import (
    DEAD_BAND,
    MAX_STEP_PER_S,
    Locality,
)
from sardinewheel_gateway.policy.shares import (
    OBJECTS_PER_TARGET,
    ROOM_MARGIN,
    Room,
    Shares,
)

REGIONS = {
    "west-a": "west",
    "west-b": "west",
    "mid-a": "mid",
    "mid-b": "mid",
    "north-a": "north",
    "north-b": "north",
}
KEYS = [f"object-{n}" for n in range(1000)]
UNEVEN = (20, 24, 5)
ROOM = 1.0 + ROOM_MARGIN


def room(west=20, mid=20, north=20, slots=3):
    sizes = {"west": west, "mid": mid, "north": north}
    return {
        domain: Room(sizes[region], sizes[region] * slots)
        for domain, region in REGIONS.items()
    }


def locality(domain="north-a", *sizes, objects=65, demand=None):
    made = Locality(domain, REGIONS)
    made.update(
        "s", room(*sizes), objects=objects, demand=demand or {}, now=0.0
    )
    return made


def regions_of(made, keys=KEYS):
    """Returns the region in which each object's requests are executed."""
    groups = {key: made.group("s", key) for key in keys}
    return {
        key: REGIONS[group[0]] if group else "all"
        for key, group in groups.items()
    }


def share_in(made, region):
    return list(regions_of(made).values()).count(region) / len(KEYS)


def moved(before, after):
    return sum(before[key] != after[key] for key in before) / len(before)


def test_domain_with_room_executes_all_of_its_requests():
    assert locality("west-a", *UNEVEN).shares["s"]["west-a"].domain == 1.0


def test_region_short_of_room_spills_in_proportion_to_free_room():
    made = locality("north-a", *UNEVEN)
    assert share_in(made, "north") == pytest.approx(ROOM * 0.306, abs=0.04)
    assert share_in(made, "west") == pytest.approx(0.215, abs=0.04)
    assert share_in(made, "mid") == pytest.approx(0.449, abs=0.04)


def test_spilled_object_goes_where_callers_of_that_region_send_it():
    north = locality("north-a", *UNEVEN)
    spilled = {key: north.group("s", key) for key in KEYS}
    abroad = [key for key, x in spilled.items() if x == ("mid-b",)]
    there = locality("mid-b", *UNEVEN)
    assert abroad
    assert {there.group("s", key) for key in abroad} == {("mid-b",)}


def test_all_hosts_of_a_domain_choose_alike():
    first, second = locality("north-b", *UNEVEN), locality("north-b", *UNEVEN)
    assert [first.group("s", key) for key in KEYS] == [
        second.group("s", key) for key in KEYS
    ]


def test_objects_that_targets_nearby_cannot_keep_are_placed_everywhere():
    made = locality("west-a", 2, 2, 2, objects=13 * OBJECTS_PER_TARGET)
    assert made.shares["s"]["west-a"] == Shares(0.0, 0.0, 1.0, {})


def test_objects_that_only_the_region_can_keep_are_placed_in_it():
    made = locality("west-a", 4, 4, 4, objects=8 * OBJECTS_PER_TARGET)
    assert made.shares["s"]["west-a"] == Shares(0.0, 1.0, 0.0, {})


def test_region_without_targets_is_left_at_once():
    made = locality("north-a", 20, 20, 0)
    assert share_in(made, "north") == 0.0


def test_shares_move_by_a_bounded_step_and_arrive():
    made = locality("north-a")
    before = regions_of(made)
    now = 0.0
    for _ in range(60):
        now += 0.5
        made.update("s", room(*UNEVEN), objects=65, demand={}, now=now)
        after = regions_of(made)
        assert moved(before, after) <= 0.5 * MAX_STEP_PER_S + 0.02
        before = after
    assert share_in(made, "north") == pytest.approx(ROOM * 0.306, abs=0.04)


def test_long_pause_does_not_allow_a_larger_step():
    made = locality("north-a")
    made.update("s", room(*UNEVEN), objects=65, demand={}, now=60.0)
    assert made.shares["s"]["north-a"].domain >= 1.0 - 2 * MAX_STEP_PER_S - 1e-9


def test_small_changes_of_room_move_nothing():
    made = locality("north-a", *UNEVEN)
    before = made.shares["s"]
    made.update("s", room(20, 24, 5, 3), objects=66, demand={}, now=1.0)
    assert made.shares["s"] == before


def test_small_difference_of_demand_moves_nothing():
    demand = dict.fromkeys(REGIONS, 10.0) | {"west-a": 10.9, "west-b": 10.9}
    made = locality("west-a", 20, 20, 20, demand=demand)
    assert made.shares["s"]["west-a"].domain == 1.0


def test_measured_demand_replaces_the_equal_one():
    demand = dict.fromkeys(REGIONS, 10.0) | {"west-a": 30.0, "west-b": 30.0}
    made = locality("west-a", 20, 20, 20, demand=demand)
    assert made.shares["s"]["west-a"].domain == pytest.approx(ROOM * 5 / 9)


def test_many_objects_are_assumed_until_callers_named_them():
    made = locality("west-a", 2, 2, 2, objects=0)
    assert made.shares["s"]["west-a"].everywhere == 1.0
    for second in range(1, 60):
        made.update("s", room(2, 2, 2), objects=20, demand={}, now=second)
    assert made.shares["s"]["west-a"].domain == 1.0


def test_requests_without_an_object_stay_whatever_targets_keep():
    made = locality("west-a", 2, 2, 2, objects=1000)
    assert made.group("s", "k") == ()
    assert made.keyless_group("s", "k") == ("west-a",)


class Loop:
    """Two regions with waves of demand; one rule sets the spilled share.

    Reports are ``delay`` steps of half a second old, and a third of them is
    lost, so that the one before counts on.
    """

    def __init__(self, delay=4):
        self.delay = delay
        self.domains = {"west-a": "west", "mid-a": "mid"}
        self.locality = Locality("west-a", self.domains)
        self.rng = random.Random(5)
        self.spilled = 0.0
        self.queues = [(0.0, 0.0)] * (self.delay + 1)
        self.reported_queues = self.queues[0]
        self.demands = []
        self.reported = {}
        self.shares = []

    def run(self, rule, demand, steps=400):
        for step in range(steps):
            west, mid = demand(step), 60.0
            self.demands.append({"west-a": west, "mid-a": mid})
            self._serve(west, mid)
            if self.rng.random() > 1 / 3:
                self.reported = self.demands[-self.delay :][0]
                self.reported_queues = self.queues[-self.delay]
            rule(self, step)
            self.shares.append(self.spilled)
        return self.shares

    def _serve(self, west, mid):
        spilled = west * self.spilled
        before = self.queues[-1]
        arriving = (west - spilled, mid + spilled)
        pairs = zip(before, arriving, strict=True)
        self.queues.append(tuple(max(0.0, q + x - 100) for q, x in pairs))

    def naive(self, step):
        """Spills all while the queue here is the longer one."""
        here, there = self.reported_queues
        self.spilled = 1.0 if here > there else 0.0

    def by_demand(self, step):
        slots = {domain: Room(20, 100) for domain in self.domains}
        self.locality.update(
            "s", slots, objects=50, demand=self.reported, now=step / 2
        )
        self.spilled = sum(self.locality.shares["s"]["west-a"].regions.values())


def turns(shares):
    """Returns how often the share changes its direction."""
    steps = [b - a for a, b in itertools.pairwise(shares) if abs(b - a) > 1e-9]
    return sum(a * b < 0 for a, b in itertools.pairwise(steps))


def test_naive_rule_swings_on_steady_demand_and_ours_comes_to_rest():
    def steady(_step):
        return 130.0

    naive = Loop().run(Loop.naive, steady)
    ours = Loop().run(Loop.by_demand, steady)
    assert turns(naive) > 10
    assert max(naive[-50:]) - min(naive[-50:]) == 1.0
    assert turns(ours) == 0
    assert ours[-1] == pytest.approx(1 - ROOM * 95 / 130, abs=0.02)


def test_share_turns_only_as_often_as_demand_does():
    def wave(step):
        return 110.0 + 40.0 * math.sin(2 * math.pi * step / 72)

    shares = Loop().run(Loop.by_demand, wave)
    assert turns(shares) <= 2 * 400 / 72 + 2
    per_window = zip(shares, shares[4:], strict=False)
    assert max(abs(b - a) for a, b in per_window) <= 2 * MAX_STEP_PER_S + 1e-9


def test_host_without_reports_returns_to_its_own_region():
    loop = Loop()
    loop.run(Loop.by_demand, lambda _step: 130.0)
    loop.reported = {}
    for step in range(400, 440):
        loop.by_demand(step)
    assert loop.spilled <= DEAD_BAND


def test_host_of_an_unknown_domain_uses_all_targets():
    assert locality("elsewhere").group("s", "k") == ()
