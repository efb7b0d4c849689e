"""Objects are spread evenly, alike on all hosts, and stay put."""

import math
import tracemalloc

from sardinewheel_gateway.policy.objects import (
    LOAD_BOUND_FACTOR,
    MAX_BALANCED_OBJECTS,
    MAX_BALANCED_PAIRS,
    MAX_OBJECTS,
    ObjectMap,
    ObjectTable,
    ObjectUse,
)

TARGETS = tuple(f"t{n:02}" for n in range(18))
KEYS = [str(n) for n in range(48)]


def firsts(object_map, targets=TARGETS):
    return {
        key: object_map.preference(key, targets).first
        for key in object_map.routes
    }


def filled(keys=KEYS, route="status"):
    object_map = ObjectMap()
    for key in keys:
        object_map.add(key, route)
    return object_map


def loads(object_map, targets=TARGETS):
    chosen = firsts(object_map, targets)
    return {
        target: sum(
            len(object_map.routes[key])
            for key, first in chosen.items()
            if first == target
        )
        for target in targets
    }


def test_hosts_that_heard_in_another_order_agree():
    assert firsts(filled(KEYS)) == firsts(filled(reversed(KEYS)))


def test_a_host_that_saw_its_targets_come_one_by_one_agrees():
    late = filled()
    for count in range(1, len(TARGETS) + 1):
        late.preference("0", tuple(sorted(TARGETS[-count:])))
    assert firsts(late) == firsts(filled())


def most(total, targets):
    """Returns the most that a target may have."""
    return math.ceil(LOAD_BOUND_FACTOR * total / len(targets))


def test_no_target_has_much_more_than_its_even_part():
    assert max(loads(filled()).values()) <= most(len(KEYS), TARGETS)


def test_objects_that_more_routes_use_weigh_more():
    object_map = filled([str(n) for n in range(250)])
    for n in range(125):
        object_map.add(str(n), "confirm")
    targets = tuple(f"t{n:03}" for n in range(204))
    spread = loads(object_map, targets)
    assert max(spread.values()) <= most(250 + 125, targets)


def test_an_object_that_fits_nowhere_goes_where_least_is():
    object_map = filled(["1", "2"])
    for route in ("confirm", "archive", "print"):
        object_map.add("1", route)
        object_map.add("2", route)
    targets = tuple(f"t{n}" for n in range(6))
    assert most(8, targets) < 4
    assert max(loads(object_map, targets).values()) == 4


def test_a_target_that_joins_moves_few_objects():
    before = firsts(filled(KEYS))
    after = firsts(filled(KEYS), tuple(sorted((*TARGETS, "t99"))))
    moved = [key for key in KEYS if before[key] != after[key]]
    assert len(moved) <= len(KEYS) // 3


def test_a_target_that_leaves_moves_its_own_objects_and_few_others():
    before = firsts(filled(KEYS))
    after = firsts(filled(KEYS), TARGETS[1:])
    others = [
        k for k in KEYS if before[k] != TARGETS[0] and before[k] != after[k]
    ]
    assert len(others) <= len(KEYS) // 4


def test_the_second_choice_is_another_target():
    object_map = filled(KEYS)
    for key in KEYS:
        chosen = object_map.preference(key, TARGETS)
        assert chosen.second not in (None, chosen.first)


def test_an_object_not_heard_of_goes_to_its_highest_ranked_target():
    chosen = ObjectMap().preference("new", TARGETS)
    assert chosen == ObjectMap().preference("new", TARGETS)


def test_without_targets_there_is_no_choice():
    assert ObjectMap().preference("1", ()) is None


def test_many_objects_are_bounded_and_not_evened_out():
    object_map = filled(str(n) for n in range(MAX_OBJECTS + 50))
    assert len(object_map.routes) == MAX_OBJECTS > MAX_BALANCED_OBJECTS
    object_map.preference("1", TARGETS)
    assert not object_map.preferences


def test_routes_that_are_gone_no_longer_count():
    object_map = filled(["1", "2"])
    object_map.add("1", "confirm")
    object_map.keep(frozenset({"confirm"}))
    assert object_map.routes == {"1": {"confirm"}}


def test_what_a_host_finds_out_is_told_once():
    objects, other = ObjectTable(), ObjectTable()
    use = ObjectUse("orders", "status", "17")
    objects.record_use(use)
    objects.record_use(use)
    news = objects.take_unsent()
    assert news == [use]
    assert objects.take_unsent() == []
    other.merge(news)
    assert other.all() == [use]
    assert other.take_unsent() == []


def test_an_object_that_no_route_uses_any_longer_is_forgotten_whole():
    object_map = filled(KEYS, route="old")
    object_map.add("1", "status")
    firsts(object_map)
    object_map.keep(frozenset({"status"}))
    assert set(object_map.routes) == set(object_map.ranking.kept) == {"1"}


def test_objects_are_not_evened_out_over_very_many_targets():
    object_map = filled([str(n) for n in range(500)])
    targets = tuple(f"i-{n:08x}" for n in range(1500))
    assert len(object_map.routes) * len(targets) > MAX_BALANCED_PAIRS
    chosen = object_map.preference("1", targets)
    assert chosen == ObjectMap().preference("1", targets)
    assert not object_map.preferences


def test_the_memory_does_not_grow_with_objects_times_targets():
    targets = tuple(f"i-{n:08x}" for n in range(400))
    object_map = ObjectMap()
    tracemalloc.start()
    for number in range(MAX_OBJECTS):
        object_map.add(f"o{number}", "status")
        object_map.preference(f"o{number}", targets)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert used_bytes < 12 * 1024 * 1024


def test_an_object_whose_first_targets_are_full_goes_to_another():
    targets = tuple(f"i-{n:08x}" for n in range(250))
    object_map = ObjectMap()
    for number in range(MAX_BALANCED_OBJECTS):
        object_map.add(f"o{number}", "status")
    chosen = loads(object_map, targets)
    assert max(chosen.values()) <= most(MAX_BALANCED_OBJECTS, targets)
