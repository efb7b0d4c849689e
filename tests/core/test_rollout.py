"""Configuration spreads, survives bad rows and replaced hosts."""

import pytest
from sardinewheel_core.change import DefineRegion, SetCap
from sardinewheel_core.configuration import (
    MAX_CHANGES_KEPT,
    change_key,
    encode_change,
    encode_intent,
)
from sardinewheel_core.effects import MessageArrived
from sardinewheel_core.intent import Region
from sardinewheel_core.messages import ChangesSent, Phase, SnapshotPart
from sardinewheel_testing.fake_cluster import FakeCluster

DOMAINS = ("quito-bodega", "quito-curtiembre")
NORTE = Region("sierra-norte", 10, DOMAINS)


def started(count=3):
    """Returns a house with some hosts a domain and version 1 in force."""
    house = FakeCluster()
    for domain in DOMAINS:
        for index in range(count):
            house.start(f"{domain}-{index}", domain, seeds=(f"{DOMAINS[0]}-0",))
    house.propose(f"{DOMAINS[0]}-0", "first", DefineRegion(NORTE))
    house.run(4.0)
    return house


def versions(house):
    return {host.configuration.version for host in house.hosts.values()}


def set_caps(house, count, *, name=f"{DOMAINS[0]}-0"):
    for cap in range(count):
        house.propose(name, f"cap-{cap}-{house.now}", SetCap(NORTE.name, cap))
        house.run(0.1)


def test_accepted_change_is_pushed_at_once():
    house = started()
    house.propose(f"{DOMAINS[0]}-0", "a", SetCap(NORTE.name, 11))
    house.run(0.4)
    assert versions(house) == {2}


def test_fresh_host_gets_it_from_neighbours_while_platform_is_down():
    house = started()
    house.platform.is_down = True
    house.run(1.0)
    fresh = house.start("quito-bodega-9", "quito-bodega", (f"{DOMAINS[1]}-0",))
    assert fresh.phase is Phase.JOINING
    house.run(5.0)
    assert fresh.configuration.version == 1
    assert fresh.phase is Phase.READY


def test_host_without_configuration_is_not_ready():
    house = FakeCluster()
    house.platform.is_down = True
    host = house.start("quito-bodega-0", "quito-bodega")
    house.run(20.0)
    assert host.phase is Phase.JOINING


def test_changes_kept_are_bounded_and_a_fresh_host_gets_a_snapshot():
    house = started(count=1)
    set_caps(house, MAX_CHANGES_KEPT + 20)
    first = house.hosts[f"{DOMAINS[0]}-0"]
    assert len(first.configuration.changes) == MAX_CHANGES_KEPT
    house.platform.is_down = True
    fresh = house.start("quito-bodega-9", "quito-bodega", (f"{DOMAINS[1]}-0",))
    house.run(4.0)
    assert fresh.configuration.intent == first.configuration.intent


def test_fresh_host_alone_reads_the_latest_snapshot_of_the_store():
    house = started(count=1)
    set_caps(house, 320)
    last = house.hosts[f"{DOMAINS[0]}-0"].configuration.intent
    house.hosts.clear()
    house.sent.clear()
    fresh = house.start("quito-bodega-9", "quito-bodega")
    house.run(1.5)
    assert fresh.configuration.intent == last
    assert fresh.phase is Phase.READY
    assert fresh.rollout.reads < 5


@pytest.mark.parametrize(
    "value",
    ["", "not json", "[]", '{"version": 2}', "[" * 100_000, "null"],
)
def test_malformed_row_is_reported_and_nothing_is_lost(value):
    house = started(count=1)
    house.platform.rows["config/head"] = (2, "{}")
    house.platform.rows[change_key(2)] = (1, value)
    house.run(5.0)
    assert versions(house) == {1}
    names = [name for name, _ in house.reports_of("change-refused")]
    assert sorted(names) == sorted(house.hosts)


def test_row_under_the_wrong_key_is_refused():
    house = started(count=1)
    row = house.platform.rows[change_key(1)]
    house.platform.rows[change_key(2)] = row
    house.run(3.0)
    assert versions(house) == {1}
    assert house.reports_of("change-refused")


def test_change_that_does_not_apply_is_reported_once():
    house = started(count=1)
    change = house.hosts[f"{DOMAINS[0]}-0"].configuration.changes[1]
    bad = change._replace(version=2, operations=(SetCap("atlantis", 1),))
    house.platform.rows["config/head"] = (2, "{}")
    house.platform.rows[change_key(2)] = (1, encode_change(bad))
    house.run(10.0)
    assert versions(house) == {1}
    assert len(house.reports_of("change-refused")) == len(house.hosts)


def test_gap_is_not_jumped_and_the_missing_change_is_asked_for():
    house = started(count=1)
    ahead, behind = (f"{domain}-0" for domain in DOMAINS)
    house.is_link_cut = lambda a, b: True
    house.is_platform_unreachable = lambda host: host == behind
    set_caps(house, 2)
    house.is_link_cut = lambda a, b: False
    changes = house.hosts[ahead].configuration.changes
    message = ChangesSent((changes[3],))
    house.feed(behind, MessageArrived(ahead, message))
    assert house.hosts[behind].configuration.version == 1
    house.run(0.4)
    assert house.hosts[behind].configuration.version == 3


def test_polls_slow_down_while_the_platform_is_away():
    house = started(count=1)
    host = house.hosts[f"{DOMAINS[0]}-0"]
    before = host.rollout.reads
    house.run(30.0)
    served = host.rollout.reads - before
    house.platform.is_down = True
    house.run(10.0)
    before = host.rollout.reads
    house.run(30.0)
    assert host.rollout.reads - before < served / 2


def test_two_hosts_of_a_domain_poll():
    house = started(count=5)
    before = {n: h.rollout.reads for n, h in house.hosts.items()}
    house.run(10.0)
    polled = {n for n, h in house.hosts.items() if h.rollout.reads > before[n]}
    assert len(polled) == 4


def test_older_snapshot_is_not_taken():
    """Counterexample of specs/configuration.py: a host's version falls."""
    house = started(count=1)
    name = f"{DOMAINS[0]}-0"
    older = house.hosts[name].configuration.intent
    set_caps(house, 2)
    text = encode_intent(older)
    part = SnapshotPart(older.version, 0, 1, text)
    house.feed(name, MessageArrived(f"{DOMAINS[1]}-0", part))
    configuration = house.hosts[name].configuration
    assert not configuration.load_snapshot(older)
    assert configuration.version == 3
