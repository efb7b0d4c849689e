"""Weight in flight in a region stays within its cap under random faults."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from sardinewheel_core.change import DefineSeat, RemoveSeat
from sardinewheel_core.intent import Seat

from tests.core.loaded_cluster import CAP, DOMAINS, LoadedCluster

NAMES = st.sampled_from(sorted(DOMAINS))
FAULTS = st.one_of(
    st.tuples(
        st.sampled_from(["crash_and_restart", "pause", "resume", "replace"]),
        NAMES,
    ),
    st.tuples(st.sampled_from(["load", "idle"]), NAMES),
    st.tuples(
        st.sampled_from(["cut", "platform", "noise", "seat"]), st.booleans()
    ),
)
STEPS = st.tuples(FAULTS, st.sampled_from([0.1, 0.5, 2.0, 4.0, 14.0]))


def inject_fault(cluster, fault):
    match fault:
        case "load", name:
            cluster.loaded_hosts.add(name)
        case "idle", name:
            cluster.loaded_hosts.discard(name)
        case "replace", name:
            cluster.pause(name)
            cluster.crash_and_restart(name)
        case "cut", is_link_cut:
            cluster.is_link_cut = lambda a, b: is_link_cut and a[-3] != b[-3]
        case "seat", is_defined:
            seat = DefineSeat(Seat("b-1", DOMAINS["b-1"]))
            operation = seat if is_defined else RemoveSeat("b-1")
            change_id = f"seat-{cluster.now}"
            for name in sorted(DOMAINS.keys() & cluster.hosts.keys())[:1]:
                cluster.propose(name, change_id, operation)
        case "platform", is_down:
            cluster.platform.is_down = is_down
        case "noise", is_noisy:
            cluster.loss_rate = cluster.duplication_rate = (
                0.3 if is_noisy else 0.0
            )
            cluster.max_delay_s = 4.0 if is_noisy else 0.05
        case verb, name:
            getattr(cluster, verb)(name)


@given(st.integers(0, 99), st.lists(STEPS, min_size=4, max_size=12))
@settings(
    max_examples=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
def test_weight_in_flight_stays_within_the_cap(seed, steps):
    cluster = LoadedCluster(seed=seed)
    cluster.loaded_hosts = set(DOMAINS)
    for fault, seconds in steps:
        inject_fault(cluster, fault)
        cluster.run(seconds)
    assert cluster.max_in_flight <= CAP
