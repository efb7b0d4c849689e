"""The weight in flight in a region against its cap, whatever fails."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from sardinewheel_core.change import DefineSeat, RemoveSeat
from sardinewheel_core.intent import Seat

from tests.core.loaded_house import CAP, DOMAINS, LoadedHouse

NAMES = st.sampled_from(sorted(DOMAINS))
FAULTS = st.one_of(
    st.tuples(st.sampled_from(["crash", "pause", "wake", "replace"]), NAMES),
    st.tuples(st.sampled_from(["load", "idle"]), NAMES),
    st.tuples(
        st.sampled_from(["cut", "platform", "noise", "seat"]), st.booleans()
    ),
)
STEPS = st.tuples(FAULTS, st.sampled_from([0.1, 0.5, 2.0, 4.0, 14.0]))


def bring_about(house, fault):
    match fault:
        case "load", name:
            house.loaded.add(name)
        case "idle", name:
            house.loaded.discard(name)
        case "replace", name:
            house.pause(name)
            house.crash(name)
        case "cut", is_link_cut:
            house.is_link_cut = lambda a, b: is_link_cut and a[-3] != b[-3]
        case "seat", is_there:
            seat = DefineSeat(Seat("b-1", DOMAINS["b-1"]))
            operation = seat if is_there else RemoveSeat("b-1")
            change_id = f"seat-{house.now}"
            for name in sorted(DOMAINS.keys() & house.hosts.keys())[:1]:
                house.propose(name, change_id, operation)
        case "platform", is_down:
            house.platform.is_down = is_down
        case "noise", is_noisy:
            house.loss_rate = house.duplication_rate = 0.3 if is_noisy else 0.0
            house.max_delay_s = 4.0 if is_noisy else 0.05
        case verb, name:
            getattr(house, verb)(name)


@given(st.integers(0, 99), st.lists(STEPS, min_size=4, max_size=12))
@settings(
    max_examples=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
def test_weight_in_flight_stays_within_the_cap(seed, steps):
    house = LoadedHouse(seed=seed)
    house.loaded = set(DOMAINS)
    for fault, seconds in steps:
        bring_about(house, fault)
        house.run(seconds)
    assert house.most <= CAP
