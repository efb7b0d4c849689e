"""Loads that are played on the product's policy: what callers get."""

import pytest
from sardinewheel_testing.emulator.dispatch import DISPATCHES
from sardinewheel_testing.emulator.emulation import Emulation
from sardinewheel_testing.emulator.scenario import (
    KINDS,
    REGIONS,
    SCENARIOS,
    Scenario,
)

SEED = 7


def play(scenario, dispatch="direct", seed=SEED):
    """Returns figures of a run."""
    return Emulation(scenario, DISPATCHES[dispatch], seed=seed).run()


@pytest.fixture(scope="module")
def runs():
    """Returns the runs of each scenario with the product's way to place."""
    return {name: play(scenario) for name, scenario in SCENARIOS.items()}


def test_a_seed_gives_the_same_run_again(runs):
    assert play(SCENARIOS["surge"]) == runs["surge"]


def test_each_call_ends_once(runs):
    for run in runs.values():
        begins = [(call.began, call.kind.name) for call in run.calls]
        assert len(set(begins)) == len(begins)
        assert len(begins) > 2000


@pytest.mark.parametrize("name", SCENARIOS)
def test_no_request_is_executed_twice(runs, name):
    assert runs[name].doubled == 0


@pytest.mark.parametrize("name", ["steady", "surge", "slow-targets"])
def test_targets_that_know_the_object_serve_far_more_in_time(runs, name):
    baseline = play(SCENARIOS[name], "least-loaded")
    assert runs[name].worth() > baseline.worth() + 0.15


@pytest.mark.parametrize("name", SCENARIOS)
def test_the_urgent_kind_is_served_no_less_often(runs, name):
    served = {}
    for kind in KINDS:
        calls = [call for call in runs[name].calls if call.kind == kind]
        answered = [call for call in calls if call.took_s is not None]
        served[kind.priority] = len(answered) / len(calls)
    assert served[0] >= served[1] - 0.05


@pytest.mark.parametrize("name", SCENARIOS)
def test_no_region_is_served_much_worse_than_all(runs, name):
    run = runs[name]
    assert min(run.worth_by("region").values()) > run.worth() - 0.1


def test_a_surge_ends_with_the_callers_who_can_be_served(runs):
    """Half again as many as targets can take; then all is well at once."""
    points = dict(runs["surge"].over_time(1.0))
    before = sum(points[n] for n in range(6, 10)) / 4
    after = sum(points[n] for n in range(22, 26)) / 4
    assert after > before - 0.1


def test_hosts_that_are_lost_lose_only_what_they_held(runs):
    lost = SCENARIOS["hosts-lost"].lost
    unanswered = [x for x in runs["hosts-lost"].calls if x.took_s is None]
    near = [
        call
        for call in unanswered
        if lost.begin_s - 4.0 < call.began < lost.begin_s + 1.5
    ]
    assert len(unanswered) - len(near) <= 2


def test_an_owner_that_dies_loses_more_than_the_host_that_was_asked(runs):
    def unanswered(run):
        return sum(call.took_s is None for call in run.calls)

    by_owner = play(SCENARIOS["hosts-lost"], "owner")
    assert unanswered(runs["hosts-lost"]) < unanswered(by_owner)


def test_an_object_that_alone_fills_a_target_is_spread_over_two():
    """All requests concern one object, 1.6 times what one target can take."""
    scenario = Scenario(
        "hot",
        tuple(k._replace(rate_per_s=k.rate_per_s / 4) for k in KINDS),
        objects=1,
        seconds=10.0,
    )
    emulation = Emulation(scenario, DISPATCHES["direct"], seed=SEED)
    run = emulation.run()
    counts = sorted(len(t.executed) for t in emulation.targets.values())
    assert counts[-2] > 0.2 * counts[-1]
    assert sum(call.took_s is not None for call in run.calls) > 0.85 * len(
        run.calls
    )


def test_targets_of_all_regions_share_the_load():
    emulation = Emulation(SCENARIOS["steady"], DISPATCHES["direct"], seed=SEED)
    emulation.run()
    counts = [len(t.executed) for t in emulation.targets.values()]
    assert max(counts) < 2.0 * sum(counts) / len(counts)
    assert {t.region for t in emulation.targets.values()} == set(REGIONS)
