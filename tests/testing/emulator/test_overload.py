"""A minute in which callers ask for several times what targets execute."""

import pytest
from sardinewheel_testing.emulator.dispatch import DISPATCH_STRATEGIES
from sardinewheel_testing.emulator.emulation import Emulation
from sardinewheel_testing.emulator.scenario import KINDS, Kind, Scenario

SEED = 7
FEW_TARGETS = {"hosts": 5, "targets": 6, "duration_s": 60.0}
OVERLOAD = Scenario("overload", KINDS, objects=300, **FEW_TARGETS)
SHORT, LONG = (
    Kind("bundle", 24.0, 0.8, 0.82, 6.6, 1.8, 0, True),
    Kind("board", 14.0, 4.0, 5.1, 20.4, 0.5, 1, True),
)
LONG_BURST = Scenario("long", (SHORT, LONG), objects=100, **FEW_TARGETS)


def run(scenario, dispatch):
    strategy = DISPATCH_STRATEGIES[dispatch]
    return Emulation(scenario, strategy, seed=SEED).run()


def in_time_share(result, *kinds):
    calls = [x for x in result.calls if not kinds or x.kind in kinds]
    return sum(x.met_objective for x in calls) / len(calls)


def late_share(result):
    late = [
        x
        for x in result.calls
        if x.response_time_s is not None and not x.met_objective
    ]
    return len(late) / len(result.calls)


def served_share(result, kind):
    calls = [x for x in result.calls if x.kind == kind]
    served = [x for x in calls if x.response_time_s is not None]
    return len(served) / len(calls)


@pytest.fixture(scope="module")
def before():
    return run(OVERLOAD, "load-bound")


@pytest.fixture(scope="module")
def after():
    return run(OVERLOAD, "direct")


def test_overload_is_met_by_refusals_rather_than_late_responses(before, after):
    assert in_time_share(after) > 1.5 * in_time_share(before)
    assert late_share(after) < late_share(before)
    assert after.credit_ratio() > 1.3 * before.credit_ratio()


def test_overload_starves_no_kind(after):
    urgent, other = (
        served_share(after, kind)
        for kind in sorted(KINDS, key=lambda kind: kind.priority)
    )
    assert urgent > other > 0.25 * urgent


def test_burst_of_long_requests_does_not_starve_short_ones():
    before, after = run(LONG_BURST, "load-bound"), run(LONG_BURST, "direct")
    assert in_time_share(after, SHORT) > in_time_share(before, SHORT)
    assert served_share(after, SHORT) > served_share(after, LONG)
    assert served_share(after, LONG) > 0.25 * served_share(after, SHORT)
    assert after.credit_ratio() > before.credit_ratio()
