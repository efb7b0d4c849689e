"""Random faults never make a version fall or two hosts disagree on one."""

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


class Watch:
    """Checks after each step what must hold at every instant."""

    def __init__(self, house):
        self.house = house
        self.versions = {}
        self.intents = {}

    def check(self):
        for name, host in self.house.hosts.items():
            intent = host.configuration.intent
            key = (name, host.identity.incarnation)
            assert intent.version >= self.versions.get(key, 0)
            self.versions[key] = intent.version
            known = self.intents.setdefault(intent.version, intent)
            assert intent == known, intent.version


def take_step(house, step):
    match step:
        case ("propose", name, change_id, base):
            mark = DefineBlock(Block(f"10.{change_id[1:]}.0.0/16", "austro"))
            house.propose(name, change_id, mark, base_version=base)
        case ("restart", name):
            house.start(name, name[0], seeds=NAMES)
        case ("lose answers", count):
            house.platform.lost_responses = count
        case ("platform down", is_down):
            house.platform.is_down = is_down
        case ("cut", domain):
            house.is_link_cut = lambda x, y: bool(domain) and (x[0] != y[0])
            house.is_platform_unreachable = lambda x: x[0] == domain
        case ("run", seconds):
            house.run(seconds)


@settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(STEPS, min_size=10, max_size=30), st.integers(0, 99))
def test_versions_never_fall_and_agree(steps, seed):
    house = FakeCluster(seed=seed)
    house.loss_rate, house.duplication_rate, house.max_delay_s = 0.2, 0.2, 1.5
    watch = Watch(house)
    for name in NAMES:
        house.start(name, name[0], seeds=NAMES)
    house.propose("a-1", "first", DefineRegion(REGION))
    house.run(2.0)
    for step in steps:
        take_step(house, step)
        house.run(0.1)
        watch.check()
    house.platform.is_down = False
    house.platform.lost_responses = 0
    house.is_link_cut = lambda x, y: False
    house.is_platform_unreachable = lambda x: False
    for _ in range(30):
        house.run(0.5)
        watch.check()
    head = house.platform.rows["config/head"][0]
    assert {h.configuration.version for h in house.hosts.values()} == {head}
    rows = [house.platform.rows[change_key(v)][1] for v in range(1, head + 1)]
    changes = {c.change_id: c.version for c in map(decode_change, rows)}
    assert len(changes) == head
    ends = house.ended.values()
    assert not any(e.findings for e in ends if _was_valid(e))
    accepted = {e.version for e in ends if e.state is ProposalState.ACCEPTED}
    assert accepted <= set(changes.values())


def _was_valid(ended):
    """Says whether only the platform's state can have spoken against it."""
    places = {finding.place for finding in ended.findings}
    return not places & {"base_version", "platform"}
