"""Free slots of targets: slow start, shedding and misleading reports."""

import random

import pytest
from sardinewheel_core.intent import Target
from sardinewheel_core.targets import (
    REPORT_TTL_S,
    WARM_AFTER_ANSWERS,
    TargetPool,
)


@pytest.fixture
def pool():
    pool = TargetPool(rng=random.Random(1))
    targets = [Target(n, "quito-bodega", "127.0.0.1:1", 4) for n in ("a", "b")]
    pool.set_owned([("pedidos", t) for t in targets])
    return pool


def warm(state):
    for _ in range(WARM_AFTER_ANSWERS):
        state.record_success()


def test_new_target_starts_with_one_slot_and_grows(pool):
    state = pool.states["a"]
    assert state.free_slots(0.0) == 1
    state.record_success()
    assert state.free_slots(0.0) == 2


def test_shedding_target_is_paused_and_its_limit_halved(pool):
    state = pool.states["a"]
    warm(state)
    state.record_failure(10.0, pool.rng)
    assert state.free_slots(10.0) == 0
    assert state.free_slots(11.0) == 2


def test_report_of_no_load_does_not_raise_free_slots(pool):
    state = pool.states["a"]
    warm(state)
    state.in_flight = 4
    state.apply_load_report(0.0, healthy=True, in_flight=0)
    assert state.free_slots(0.0) == 0


def test_report_of_full_load_leaves_half_of_the_slots(pool):
    state = pool.states["a"]
    warm(state)
    state.apply_load_report(0.0, healthy=True, in_flight=1000)
    assert state.free_slots(0.0) == 2
    assert state.free_slots(REPORT_TTL_S + 1.0) == 4


def test_unhealthy_target_is_picked_last(pool):
    for state in pool.states.values():
        warm(state)
    pool.states["a"].apply_load_report(0.0, healthy=False, in_flight=0)
    assert pool.pick("pedidos", 0.0).target.name == "b"
    pool.states["b"].in_flight = 4
    assert pool.pick("pedidos", 0.0).target.name == "a"


def test_non_repeatable_work_avoids_cold_targets(pool):
    warm(pool.states["a"])
    pool.states["a"].in_flight = 3
    assert pool.pick("pedidos", 0.0, repeatable=False).target.name == "a"
    assert pool.pick("pedidos", 0.0, repeatable=True).target.name == "b"
