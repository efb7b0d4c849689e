"""Configuration rollout, including malformed rows and replaced hosts."""

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


def start_cluster(count=3):
    """Returns a cluster with version 1 in force; ``count`` is per domain."""
    cluster = FakeCluster()
    for domain in DOMAINS:
        for index in range(count):
            cluster.start(
                f"{domain}-{index}", domain, seeds=(f"{DOMAINS[0]}-0",)
            )
    cluster.propose(f"{DOMAINS[0]}-0", "first", DefineRegion(NORTE))
    cluster.run(4.0)
    return cluster


def versions(cluster):
    return {host.configuration.version for host in cluster.hosts.values()}


def set_caps(cluster, count, *, name=f"{DOMAINS[0]}-0"):
    for cap in range(count):
        cluster.propose(
            name, f"cap-{cap}-{cluster.now}", SetCap(NORTE.name, cap)
        )
        cluster.run(0.1)


def test_accepted_change_is_pushed_at_once():
    cluster = start_cluster()
    cluster.propose(f"{DOMAINS[0]}-0", "a", SetCap(NORTE.name, 11))
    cluster.run(0.4)
    assert versions(cluster) == {2}


def test_new_host_gets_configuration_from_peers_while_platform_is_down():
    cluster = start_cluster()
    cluster.platform.is_down = True
    cluster.run(1.0)
    new_host = cluster.start(
        "quito-bodega-9", "quito-bodega", (f"{DOMAINS[1]}-0",)
    )
    assert new_host.phase is Phase.JOINING
    cluster.run(5.0)
    assert new_host.configuration.version == 1
    assert new_host.phase is Phase.READY


def test_host_without_configuration_is_not_ready():
    cluster = FakeCluster()
    cluster.platform.is_down = True
    host = cluster.start("quito-bodega-0", "quito-bodega")
    cluster.run(20.0)
    assert host.phase is Phase.JOINING


def test_changes_kept_are_bounded_and_a_new_host_gets_a_snapshot():
    cluster = start_cluster(count=1)
    set_caps(cluster, MAX_CHANGES_KEPT + 20)
    first = cluster.hosts[f"{DOMAINS[0]}-0"]
    assert len(first.configuration.changes) == MAX_CHANGES_KEPT
    cluster.platform.is_down = True
    new_host = cluster.start(
        "quito-bodega-9", "quito-bodega", (f"{DOMAINS[1]}-0",)
    )
    cluster.run(4.0)
    assert new_host.configuration.intent == first.configuration.intent


def test_new_host_alone_reads_the_latest_snapshot_of_the_store():
    cluster = start_cluster(count=1)
    set_caps(cluster, 320)
    last = cluster.hosts[f"{DOMAINS[0]}-0"].configuration.intent
    cluster.hosts.clear()
    cluster.sent.clear()
    new_host = cluster.start("quito-bodega-9", "quito-bodega")
    cluster.run(1.5)
    assert new_host.configuration.intent == last
    assert new_host.phase is Phase.READY
    assert new_host.rollout.reads < 5


@pytest.mark.parametrize(
    "value",
    ["", "not json", "[]", '{"version": 2}', "[" * 100_000, "null"],
)
def test_malformed_row_is_reported_and_not_applied(value):
    cluster = start_cluster(count=1)
    cluster.platform.rows["config/head"] = (2, "{}")
    cluster.platform.rows[change_key(2)] = (1, value)
    cluster.run(5.0)
    assert versions(cluster) == {1}
    names = [name for name, _ in cluster.reports_of("change-refused")]
    assert sorted(names) == sorted(cluster.hosts)


def test_row_under_the_wrong_key_is_refused():
    cluster = start_cluster(count=1)
    row = cluster.platform.rows[change_key(1)]
    cluster.platform.rows[change_key(2)] = row
    cluster.run(3.0)
    assert versions(cluster) == {1}
    assert cluster.reports_of("change-refused")


def test_change_that_does_not_apply_is_reported_once():
    cluster = start_cluster(count=1)
    change = cluster.hosts[f"{DOMAINS[0]}-0"].configuration.changes[1]
    bad = change._replace(version=2, operations=(SetCap("atlantis", 1),))
    cluster.platform.rows["config/head"] = (2, "{}")
    cluster.platform.rows[change_key(2)] = (1, encode_change(bad))
    cluster.run(10.0)
    assert versions(cluster) == {1}
    assert len(cluster.reports_of("change-refused")) == len(cluster.hosts)


def test_version_gap_is_not_skipped_and_the_missing_change_is_requested():
    cluster = start_cluster(count=1)
    ahead, behind = (f"{domain}-0" for domain in DOMAINS)
    cluster.is_link_cut = lambda a, b: True
    cluster.is_platform_unreachable = lambda host: host == behind
    set_caps(cluster, 2)
    cluster.is_link_cut = lambda a, b: False
    changes = cluster.hosts[ahead].configuration.changes
    message = ChangesSent((changes[3],))
    cluster.feed(behind, MessageArrived(ahead, message))
    assert cluster.hosts[behind].configuration.version == 1
    cluster.run(0.4)
    assert cluster.hosts[behind].configuration.version == 3


def test_polls_slow_down_while_the_platform_is_unavailable():
    cluster = start_cluster(count=1)
    host = cluster.hosts[f"{DOMAINS[0]}-0"]
    before = host.rollout.reads
    cluster.run(30.0)
    reads_while_up = host.rollout.reads - before
    cluster.platform.is_down = True
    cluster.run(10.0)
    before = host.rollout.reads
    cluster.run(30.0)
    assert host.rollout.reads - before < reads_while_up / 2


def test_two_hosts_of_a_domain_poll():
    cluster = start_cluster(count=5)
    before = {n: h.rollout.reads for n, h in cluster.hosts.items()}
    cluster.run(10.0)
    polled = {
        n for n, h in cluster.hosts.items() if h.rollout.reads > before[n]
    }
    assert len(polled) == 4


def test_older_snapshot_is_not_loaded():
    """Counterexample of specs/configuration.py: a host's version decreases."""
    cluster = start_cluster(count=1)
    name = f"{DOMAINS[0]}-0"
    older = cluster.hosts[name].configuration.intent
    set_caps(cluster, 2)
    text = encode_intent(older)
    part = SnapshotPart(older.version, 0, 1, text)
    cluster.feed(name, MessageArrived(f"{DOMAINS[1]}-0", part))
    configuration = cluster.hosts[name].configuration
    assert not configuration.load_snapshot(older)
    assert configuration.version == 3
