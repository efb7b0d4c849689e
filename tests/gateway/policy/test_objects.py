"""Objects are spread evenly, alike on all hosts, and stay put."""

from sardinewheel_gateway.policy.objects import ObjectMap

TARGETS = tuple(f"t{n:02}" for n in range(18))
KEYS = [str(n) for n in range(48)]


def firsts(object_map, targets=TARGETS):
    return {k: object_map.preference(k, targets).first for k in KEYS}


def filled(keys):
    object_map = ObjectMap()
    for key in keys:
        object_map.add(key)
    return object_map


def test_hosts_that_heard_in_another_order_agree():
    assert firsts(filled(KEYS)) == firsts(filled(reversed(KEYS)))


def test_no_target_has_more_than_its_even_part():
    chosen = list(firsts(filled(KEYS)).values())
    assert max(chosen.count(target) for target in TARGETS) <= 3


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


def test_without_targets_there_is_no_choice():
    assert ObjectMap().preference("1", ()) is None
