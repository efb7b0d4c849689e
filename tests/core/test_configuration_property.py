"""Under random faults, versions never decrease and hosts agree on each."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from sardinewheel_core.change import DefineBlock, DefineRegion
from sardinewheel_core.configuration import change_key, decode_change
from sardinewheel_core.effects import ProposalState
from sardinewheel_core.intent import Block, Region
from sardinewheel_testing.fake_cluster import FakeCluster

NAMES = ("a-1", "a-2", "b-1", "b-2")
REGION = Region("austro", 1, ("a", "b"))

PROPOSALS = st.tuples(
    st.just("propose"),
    st.sampled_from(NAMES),
    st.sampled_from([f"c{index}" for index in range(8)]),
    st.sampled_from((0, 0, 0, 2, 3)),
)
FAULTS = st.one_of(
    st.tuples(st.just("restart"), st.sampled_from(NAMES)),
    st.tuples(st.just("lose answers"), st.integers(1, 2)),
    st.tuples(st.just("platform down"), st.booleans()),
    st.tuples(st.just("cut"), st.sampled_from(("", "a", "b"))),
    st.tuples(st.just("run"), st.sampled_from((0.1, 0.5, 2.0))),
)
STEPS = st.one_of(PROPOSALS, PROPOSALS, FAULTS)


class InvariantChecker:
    """Checks the safety properties that must hold after each step."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.versions = {}
        self.intents = {}

    def check(self):
        for name, host in self.cluster.hosts.items():
            intent = host.configuration.intent
            key = (name, host.identity.incarnation)
            assert intent.version >= self.versions.get(key, 0)
            self.versions[key] = intent.version
            known = self.intents.setdefault(intent.version, intent)
            assert intent == known, intent.version


def apply_step(cluster, step):
    match step:
        case ("propose", name, change_id, base):
            operation = DefineBlock(
                Block(f"10.{change_id[1:]}.0.0/16", "austro")
            )
            cluster.propose(name, change_id, operation, base_version=base)
        case ("restart", name):
            cluster.start(name, name[0], seeds=NAMES)
        case ("lose answers", count):
            cluster.platform.lost_responses = count
        case ("platform down", is_down):
            cluster.platform.is_down = is_down
        case ("cut", domain):
            cluster.is_link_cut = lambda x, y: bool(domain) and (x[0] != y[0])
            cluster.is_platform_unreachable = lambda x: x[0] == domain
        case ("run", seconds):
            cluster.run(seconds)


@settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(STEPS, min_size=10, max_size=30), st.integers(0, 99))
def test_versions_never_decrease_and_agree(steps, seed):
    cluster = FakeCluster(seed=seed)
    cluster.loss_rate, cluster.duplication_rate, cluster.max_delay_s = (
        0.2,
        0.2,
        1.5,
    )
    checker = InvariantChecker(cluster)
    for name in NAMES:
        cluster.start(name, name[0], seeds=NAMES)
    cluster.propose("a-1", "first", DefineRegion(REGION))
    cluster.run(2.0)
    for step in steps:
        apply_step(cluster, step)
        cluster.run(0.1)
        checker.check()
    cluster.platform.is_down = False
    cluster.platform.lost_responses = 0
    cluster.is_link_cut = lambda x, y: False
    cluster.is_platform_unreachable = lambda x: False
    for _ in range(30):
        cluster.run(0.5)
        checker.check()
    head = cluster.platform.rows["config/head"][0]
    assert {h.configuration.version for h in cluster.hosts.values()} == {head}
    rows = [cluster.platform.rows[change_key(v)][1] for v in range(1, head + 1)]
    changes = {c.change_id: c.version for c in map(decode_change, rows)}
    assert len(changes) == head
    endings = cluster.ended.values()
    assert not any(e.findings for e in endings if _was_valid(e))
    accepted = {e.version for e in endings if e.state is ProposalState.ACCEPTED}
    assert accepted <= set(changes.values())


def _was_valid(ended):
    """Returns whether no finding concerns the base version or the platform."""
    paths = {finding.place for finding in ended.findings}
    return not paths & {"base_version", "platform"}
